"""The HTTP server of a node process."""

import ssl

from tornado.httpserver import HTTPServer

from drumbay.api.application import (
    MAXIMUM_BODY_BYTES,
    MAXIMUM_HEADER_BYTES,
    make_application,
)
from drumbay.api.interface import NodeInterface
from drumbay.exceptions import ConfigurationError
from drumbay.settings import HttpSettings


class CertificateError(ConfigurationError):
    """The certificate or the private key of the HTTP interface cannot be used."""

    code = "invalid_certificate"


def start_http_server(node: NodeInterface, settings: HttpSettings) -> HTTPServer:
    """Listen for callers, trainers and operators.

    Raises:
        CertificateError: The certificate or private key cannot be used.
        OSError: The address cannot be used.
    """
    server = HTTPServer(
        make_application(node, settings.authentication),
        ssl_options=_ssl_context(settings),
        max_body_size=MAXIMUM_BODY_BYTES,
        max_header_size=MAXIMUM_HEADER_BYTES,
    )
    server.listen(settings.port, settings.host)
    return server


def _ssl_context(settings: HttpSettings) -> ssl.SSLContext | None:
    if settings.certificate_file is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    try:
        context.load_cert_chain(settings.certificate_file, settings.private_key_file)
    except (OSError, ssl.SSLError) as error:
        raise CertificateError(f"{settings.certificate_file}: {error}") from error
    return context
