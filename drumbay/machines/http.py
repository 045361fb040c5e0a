"""HTTP client of the machine list, a JSON object with an array ``machines``."""

import msgspec
from tornado.httpclient import AsyncHTTPClient, HTTPClientError

from drumbay.machines.interface import MachineListUnavailableError, MachineRecord

REQUEST_TIMEOUT_SECONDS = 2.0


class MachineListPage(msgspec.Struct, frozen=True, kw_only=True):
    """Response of the platform; unknown fields are ignored, also those of machines."""

    machines: tuple[MachineRecord, ...]


class HttpMachineListClient:
    """Implements :class:`drumbay.machines.interface.MachineListClient` over HTTP.

    Args:
        url: URL of the list.
    """

    def __init__(self, url: str) -> None:
        """Create a client of the list at ``url``."""
        self._url = url

    async def read(self) -> tuple[MachineRecord, ...]:
        """Return the machines.

        Raises:
            MachineListUnavailableError: The list could not be read.
        """
        try:
            response = await AsyncHTTPClient().fetch(
                self._url, request_timeout=REQUEST_TIMEOUT_SECONDS
            )
            return msgspec.json.decode(response.body, type=MachineListPage).machines
        except (OSError, HTTPClientError, msgspec.MsgspecError) as error:
            raise MachineListUnavailableError(str(error)) from error
