"""The HTTP server of a node process."""

import ssl

from tornado.httpserver import HTTPServer

from drumbay.api.application import (
    MAX_BODY_BYTES,
    MAX_HEADER_BYTES,
    make_application,
)
from drumbay.api.intake import RequestIntake
from drumbay.api.interface import NodeInterface
from drumbay.clock import Clock
from drumbay.comm.listener import Listener
from drumbay.comm.network_address import NetworkAddress
from drumbay.exceptions import ConfigurationError
from drumbay.settings import HttpSettings

IDLE_POLL_SECONDS = 0.05
FLUSH_DELAY_SECONDS = 0.25


class CertificateError(ConfigurationError):
    """The certificate or the private key of the HTTP interface cannot be used."""

    code = "invalid_certificate"


class NodeHttpServer:
    """Serves callers, trainers and operators.

    Args:
        node: Executes the operations.
        settings: Address, certificate and authentication.
        clock: Source of the current time.
    """

    def __init__(self, node: NodeInterface, settings: HttpSettings, clock: Clock) -> None:
        """Create a server; :meth:`start` starts listening."""
        self._settings = settings
        self._clock = clock
        self._intake = RequestIntake()
        self._server = HTTPServer(
            make_application(node, settings.authentication, self._intake),
            ssl_options=_ssl_context(settings),
            max_body_size=MAX_BODY_BYTES,
            max_header_size=MAX_HEADER_BYTES,
        )
        self._listener = Listener(self._server)

    @property
    def in_flight(self) -> int:
        """Return the number of requests whose response is not completely written."""
        return self._intake.in_flight

    def start(self) -> None:
        """Start listening.

        Raises:
            OSError: The address cannot be used.
        """
        self._listener.listen(NetworkAddress(self._settings.host, self._settings.port))

    def reject_new_requests(self) -> None:
        """Keep accepting connections, but answer new requests with a typed error."""
        self._intake.is_stopping = True

    async def wait_idle(self) -> None:
        """Wait until no request is in flight."""
        while self._intake.in_flight > 0:
            await self._clock.sleep(IDLE_POLL_SECONDS)

    async def stop_listening(self) -> None:
        """Accept queued connections, then no more; open connections stay open."""
        await self._listener.close()

    async def close(self) -> None:
        """Close all open connections."""
        # Gives queued bytes time to be sent: a streamed response counts as written once its last
        # bytes are queued.
        await self._clock.sleep(FLUSH_DELAY_SECONDS)
        await self._server.close_all_connections()


def _ssl_context(settings: HttpSettings) -> ssl.SSLContext | None:
    if settings.certificate_file is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    try:
        context.load_cert_chain(settings.certificate_file, settings.private_key_file)
    except (OSError, ssl.SSLError) as error:
        raise CertificateError(f"{settings.certificate_file}: {error}") from error
    return context
