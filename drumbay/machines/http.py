"""Reads the machine list over HTTP: a JSON array of machines."""

import msgspec
from tornado.httpclient import AsyncHTTPClient, HTTPClientError

from drumbay.machines.interface import MachineListUnavailableError, MachineRecord

REQUEST_TIMEOUT_SECONDS = 2.0


class HttpMachineListClient:
    """Implements :class:`drumbay.machines.interface.MachineListClient` over HTTP.

    Args:
        url: URL of the list.
    """

    def __init__(self, url: str) -> None:
        """Use the list at ``url``."""
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
            return msgspec.json.decode(response.body, type=tuple[MachineRecord, ...])
        except (OSError, HTTPClientError, msgspec.MsgspecError) as error:
            raise MachineListUnavailableError(str(error)) from error
