"""HTTP client of the weight store: ``GET /v1/models/{model}/versions``."""

from urllib.parse import quote

import msgspec
from tornado.httpclient import AsyncHTTPClient, HTTPClientError

from drumbay.identifiers import WeightVersion
from drumbay.weights.store_interface import WeightStoreUnavailableError

REQUEST_TIMEOUT_SECONDS = 2.0


class _VersionList(msgspec.Struct, frozen=True, kw_only=True):
    """Response of the weight store."""

    versions: tuple[WeightVersion, ...]


class HttpWeightStoreClient:
    """Implements :class:`drumbay.weights.store_interface.WeightStoreClient` over HTTP.

    Args:
        url: Base URL of the weight store.
    """

    def __init__(self, url: str) -> None:
        """Create a client of the store at ``url``."""
        self._url = url.rstrip("/")

    async def versions(self, model: str) -> tuple[WeightVersion, ...]:
        """Return the published versions of a model, oldest first.

        Raises:
            WeightStoreUnavailableError: The versions could not be read.
        """
        url = f"{self._url}/v1/models/{quote(model, safe='')}/versions"
        try:
            response = await AsyncHTTPClient().fetch(url, request_timeout=REQUEST_TIMEOUT_SECONDS)
            return msgspec.json.decode(response.body, type=_VersionList).versions
        except (OSError, HTTPClientError, msgspec.MsgspecError) as error:
            raise WeightStoreUnavailableError(str(error)) from error
