"""TLS: a node serves HTTPS; the command line and the backend client verify certificates."""

import asyncio
import contextlib
import ipaddress
import ssl
import tempfile
import unittest
from datetime import UTC, datetime, timedelta
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID
from tornado.testing import bind_unused_port
from typer.testing import CliRunner

from drumbay.backends.connector import HttpCall, HttpConnector
from drumbay.backends.interface import BackendNotReachedError
from drumbay.cli.client import NodeClient
from drumbay.cli.errors import ExitCode, ServerUnreachableError
from drumbay.cli.main import make_app
from drumbay.clock import SystemClock
from drumbay.node.server import CertificateError, NodeHttpServer
from drumbay.settings import HttpSettings, SettingsError, load_settings
from tests.api_node import FakeNode
from tests.test_settings import VALID

app = make_app([])


def write_certificate(folder: Path, name: str, address: str) -> None:
    """Write a self-signed certificate for an IP address and its private key."""
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
    alternative_name = x509.SubjectAlternativeName([x509.IPAddress(ipaddress.ip_address(address))])
    now = datetime.now(UTC)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(subject)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - timedelta(days=1))
        .not_valid_after(now + timedelta(days=1))
        .add_extension(alternative_name, critical=False)
        .sign(key, hashes.SHA256())
    )
    pem = serialization.Encoding.PEM
    no_encryption = serialization.NoEncryption()
    private_key_pem = key.private_bytes(pem, serialization.PrivateFormat.PKCS8, no_encryption)
    (folder / f"{name}.crt").write_bytes(certificate.public_bytes(pem))
    (folder / f"{name}.key").write_bytes(private_key_pem)


class TlsTestCase(unittest.IsolatedAsyncioTestCase):
    folder: Path

    @classmethod
    def setUpClass(cls) -> None:
        super().setUpClass()
        folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(folder.cleanup)
        cls.folder = Path(folder.name)
        write_certificate(cls.folder, "node", "127.0.0.1")
        write_certificate(cls.folder, "elsewhere", "10.0.0.9")

    def start_server(self, name: str) -> str:
        """Serve a fake node with a certificate; return its base URL."""
        socket, port = bind_unused_port()
        socket.close()
        server = NodeHttpServer(FakeNode(), self.settings(name, port), SystemClock())
        server.start()
        self.addAsyncCleanup(server.stop_listening)
        return f"https://127.0.0.1:{port}"

    def settings(self, name: str, port: int) -> HttpSettings:
        return HttpSettings(
            host="127.0.0.1",
            port=port,
            certificate_file=str(self.folder / f"{name}.crt"),
            private_key_file=str(self.folder / f"{name}.key"),
        )

    async def fetch(self, url: str, authority: str | None) -> int:
        """Fetch with the backend client; return the status."""
        file = None if authority is None else str(self.folder / authority)
        connector = HttpConnector(certificate_authority_file=file)
        with contextlib.closing(connector):
            response = await connector.exchange(
                HttpCall(method="GET", url=f"{url}/healthz", headers={}, timeout_seconds=5.0)
            )
            await response.body(1024)
            return response.status


class BackendTlsTest(TlsTestCase):
    async def test_certificate_of_a_trusted_authority_is_accepted(self) -> None:
        self.assertEqual(await self.fetch(self.start_server("node"), "node.crt"), 200)

    async def test_unverified_backends_get_no_request(self) -> None:
        for name, authority in (("node", None), ("node", "elsewhere.crt"), ("elsewhere", None)):
            case = self.subTest(name=name, authority=authority)
            with case, self.assertRaises(BackendNotReachedError):
                await self.fetch(self.start_server(name), authority)

    async def test_certificate_for_another_address_is_rejected(self) -> None:
        with self.assertRaises(BackendNotReachedError):
            await self.fetch(self.start_server("elsewhere"), "elsewhere.crt")


class CommandLineTlsTest(TlsTestCase):
    async def status_from(self, name: str, authority: str | None) -> str:
        file = None if authority is None else self.folder / authority
        client = NodeClient(self.start_server(name), certificate_authority_file=file)
        return (await asyncio.to_thread(client.status)).node_id

    async def test_client_verifies_the_certificate(self) -> None:
        self.assertEqual(await self.status_from("node", "node.crt"), "node-1")
        for name, authority in (("node", None), ("elsewhere", "elsewhere.crt")):
            with self.subTest(name=name), self.assertRaises(ServerUnreachableError):
                await self.status_from(name, authority)

    async def test_ca_file_option(self) -> None:
        arguments = ["status", "--server", self.start_server("node")]
        runner = CliRunner()
        trusting_arguments = [*arguments, "--ca-file", str(self.folder / "node.crt")]
        result = await asyncio.to_thread(runner.invoke, app, trusting_arguments)
        self.assertEqual(result.exit_code, ExitCode.SUCCESS, result.output)
        result = await asyncio.to_thread(runner.invoke, app, arguments)
        self.assertEqual(result.exit_code, ExitCode.UNREACHABLE, result.output)

    async def test_plain_http_is_not_served_on_a_tls_port(self) -> None:
        client = NodeClient(self.start_server("node").replace("https", "http"))
        with self.assertRaises(ServerUnreachableError):
            await asyncio.to_thread(client.status)


class TlsSettingsTest(TlsTestCase):
    def load(self, text: str) -> None:
        file = self.folder / "node.toml"
        file.write_text(text)
        settings = load_settings(file)
        self.assertEqual(
            settings.backends.certificate_authority_file, str(self.folder / "node.crt")
        )

    def test_paths_are_relative_to_the_settings_file(self) -> None:
        self.load(VALID + '[backends]\ncertificate_authority_file = "node.crt"\n')

    def test_missing_certificate_file(self) -> None:
        with self.assertRaises(SettingsError) as caught:
            self.load(VALID + '[backends]\ncertificate_authority_file = "none.crt"\n')
        self.assertEqual(caught.exception.key, "backends.certificate_authority_file")

    def test_key_that_does_not_match_the_certificate(self) -> None:
        (self.folder / "mixed.crt").write_bytes((self.folder / "node.crt").read_bytes())
        (self.folder / "mixed.key").write_bytes((self.folder / "elsewhere.key").read_bytes())
        with self.assertRaises(CertificateError) as caught:
            NodeHttpServer(FakeNode(), self.settings("mixed", 1), SystemClock())
        self.assertIsInstance(caught.exception.__cause__, ssl.SSLError)
