"""Settings of one node: a validated TOML file, with overrides from the command line."""

from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta

from drumbay.comm.interface import Address
from drumbay.exceptions import ConfigurationError
from drumbay.placement.topology import Topology
from drumbay.resources.schema import Name

Port = Annotated[int, Meta(ge=1, le=65535)]
HostAddress = Annotated[str, Meta(pattern=r"^[0-9a-fA-F.:]+$")]
"""An IP address; host names are not resolved."""

PeerAddress = Annotated[str, Meta(pattern=r"^[0-9a-fA-F.:\[\]]+:[0-9]+$")]

MIN_CLUSTER_KEY_BYTES = 32


class SettingsError(ConfigurationError):
    """A settings file is not valid.

    Attributes:
        file: The file.
        key: Dotted path of the invalid key; empty if the error concerns the whole file.
        expected: Description of the expected value.
    """

    code = "invalid_settings"

    def __init__(self, file: Path, key: str, expected: str) -> None:
        """Format the message from the file, the key and the expected value."""
        super().__init__(f"{file}: {key or '(file)'}: {expected}")
        self.file = file
        self.key = key
        self.expected = expected


class _Section(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base of the sections: an unknown key is an error."""


class HttpSettings(_Section, frozen=True, kw_only=True):
    """Where callers, trainers and operators reach the node.

    Attributes:
        host: IP address to listen on.
        port: TCP port.
        certificate_file: PEM certificate chain; TLS is used if set. Relative paths of files
            start at the folder of the settings file.
        private_key_file: PEM private key of the certificate.
        authentication: Whether bearer tokens are required.
    """

    host: HostAddress
    port: Port
    certificate_file: str | None = None
    private_key_file: str | None = None
    authentication: bool = False


class PeerSettings(_Section, frozen=True, kw_only=True):
    """How the node talks to other nodes (TCP and UDP on one port).

    Attributes:
        host: IP address to listen on and to announce.
        port: Port number, TCP and UDP.
        cluster_key_file: File with the key that authenticates frames.
        seeds: Addresses ``IP:port`` of nodes to join through.
    """

    host: HostAddress
    port: Port
    cluster_key_file: str
    seeds: tuple[PeerAddress, ...] = ()

    @property
    def address(self) -> Address:
        """Return the address announced to other nodes."""
        return Address(host=self.host, port=self.port)

    def seed_addresses(self) -> tuple[Address, ...]:
        """Return the seeds as addresses, without this node itself."""
        addresses = (_parse_peer_address(seed) for seed in self.seeds)
        return tuple(address for address in addresses if address != self.address)


class KeyValueSettings(_Section, frozen=True, kw_only=True):
    """Where the platform's key-value service is reached."""

    urls: Annotated[tuple[str, ...], Meta(min_length=1)]


class MachineListSettings(_Section, frozen=True, kw_only=True):
    """Where the platform's list of live and leaving machines is read."""

    url: str


class WeightStoreSettings(_Section, frozen=True, kw_only=True):
    """Where published weight versions are listed."""

    url: str
    poll_interval_seconds: Annotated[float, Meta(gt=0)] = 1.0


class BackendSettings(_Section, frozen=True, kw_only=True):
    """How back ends are reached.

    Attributes:
        certificate_authority_file: PEM certificates that sign those of back ends with an
            ``https`` address; the system's are used if not set.
    """

    certificate_authority_file: str | None = None


class LogSettings(_Section, frozen=True, kw_only=True):
    """What is logged."""

    level: str = "INFO"


class StopSettings(_Section, frozen=True, kw_only=True):
    """How the node stops.

    Attributes:
        lame_duck_seconds: How long a stopping node at least goes on accepting connections,
            and refuses their requests, so that callers and load balancers learn of the stop
            by an answer and not by a refused connection.
    """

    lame_duck_seconds: Annotated[float, Meta(ge=0, le=60)] = 2.0


DEFAULT_WEIGHT_STORE = WeightStoreSettings(url="")


class NodeSettings(_Section, frozen=True, kw_only=True):
    """Settings of one node.

    Attributes:
        node_id: Name of the node, unique in the cluster.
        zone: Availability zone.
        region: Region of the zone.
        regions: Regions of the back ends' zones; that of ``zone`` need not be listed.
        http: Address for callers, trainers and operators.
        peers: Address and key for other nodes.
        key_value: The platform's key-value service.
        machine_list: The platform's machine list, if there is one.
        weight_store: The weight store, if new versions are to be noticed there.
        backends: How back ends are reached.
        data_folder: Folder for bulk data; a node without one keeps nothing on disk.
        logs: Logging.
        stop: The planned stop.
    """

    node_id: Name
    zone: Name
    region: Name
    http: HttpSettings
    peers: PeerSettings
    key_value: KeyValueSettings
    machine_list: MachineListSettings | None = None
    weight_store: WeightStoreSettings | None = None
    backends: BackendSettings = BackendSettings()
    data_folder: str | None = None
    logs: LogSettings = LogSettings()
    stop: StopSettings = StopSettings()
    regions: dict[Name, Name] = {}

    @property
    def topology(self) -> Topology:
        """Return the known zones with their regions."""
        return Topology(zone=self.zone, regions={**self.regions, self.zone: self.region})

    @property
    def weight_store_interval_seconds(self) -> float:
        """Return the time between two reads of the weight store."""
        return (self.weight_store or DEFAULT_WEIGHT_STORE).poll_interval_seconds


class SettingsOverrides(msgspec.Struct, frozen=True, kw_only=True):
    """Command line overrides; ``None`` keeps the value of the file."""

    node_id: str | None = None
    zone: str | None = None
    region: str | None = None
    http_port: int | None = None
    peer_port: int | None = None
    data_folder: str | None = None


def _parse_peer_address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return Address(host=host.strip("[]"), port=int(port))


def load_settings(file: Path, overrides: SettingsOverrides | None = None) -> NodeSettings:
    """Read and validate a settings file.

    Raises:
        SettingsError: The file cannot be read, or a value is not valid.
    """
    try:
        document = msgspec.toml.decode(file.read_bytes())
    except OSError as error:
        raise SettingsError(file, "", f"a readable file ({error.strerror})") from error
    except msgspec.DecodeError as error:
        raise SettingsError(file, "", f"TOML ({error})") from error
    _apply_overrides(document, overrides or SettingsOverrides())
    try:
        settings = msgspec.convert(document, NodeSettings)
    except msgspec.ValidationError as error:
        expected, key = split_validation_error(error)
        raise SettingsError(file, key, expected) from error
    _check_addresses(file, settings)
    _check_regions(file, settings)
    return _resolve_file_paths(file, settings)


def split_validation_error(error: msgspec.ValidationError) -> tuple[str, str]:
    """Split a validation error into its description and the dotted path of the key."""
    expected, _, path = str(error).partition(" - at `")
    key = path.removesuffix("`").removeprefix("$").lstrip(".")
    return expected, key


def _apply_overrides(document: dict[str, object], overrides: SettingsOverrides) -> None:
    for name in ("node_id", "zone", "region", "data_folder"):
        value = getattr(overrides, name)
        if value is not None:
            document[name] = value
    for section, port in (("http", overrides.http_port), ("peers", overrides.peer_port)):
        table = document.get(section)
        if port is not None and isinstance(table, dict):
            table["port"] = port


def _check_addresses(file: Path, settings: NodeSettings) -> None:
    http = settings.http
    if (http.host, http.port) == (settings.peers.host, settings.peers.port):
        raise SettingsError(file, "peers.port", "an address other than that of http")
    if (http.certificate_file is None) != (http.private_key_file is None):
        raise SettingsError(file, "http", "certificate_file and private_key_file together")
    if len(set(settings.peers.seeds)) != len(settings.peers.seeds):
        raise SettingsError(file, "peers.seeds", "each address once")


def _check_regions(file: Path, settings: NodeSettings) -> None:
    if settings.regions.get(settings.zone, settings.region) != settings.region:
        raise SettingsError(file, f"regions.{settings.zone}", f"{settings.region}, as in region")


def _resolve_file_paths(file: Path, settings: NodeSettings) -> NodeSettings:
    """Return the settings with certificate paths resolved relative to the settings file.

    Raises:
        SettingsError: One of them cannot be read.
    """
    http = msgspec.structs.replace(
        settings.http,
        certificate_file=_resolve_readable(
            file, "http.certificate_file", settings.http.certificate_file
        ),
        private_key_file=_resolve_readable(
            file, "http.private_key_file", settings.http.private_key_file
        ),
    )
    authority = settings.backends.certificate_authority_file
    backends = BackendSettings(
        certificate_authority_file=_resolve_readable(
            file, "backends.certificate_authority_file", authority
        )
    )
    return msgspec.structs.replace(settings, http=http, backends=backends)


def _resolve_readable(file: Path, key: str, path: str | None) -> str | None:
    if path is None:
        return None
    resolved = file.parent / path
    try:
        resolved.read_bytes()
    except OSError as error:
        raise SettingsError(file, key, f"a readable file ({error.strerror})") from error
    return str(resolved)


def load_cluster_key(settings: NodeSettings, settings_file: Path) -> bytes:
    """Read the cluster key; a relative path starts at the folder of the settings file.

    Raises:
        SettingsError: The file cannot be read or the key is too short.
    """
    path = settings_file.parent / settings.peers.cluster_key_file
    try:
        key = path.read_bytes().strip()
    except OSError as error:
        raise SettingsError(
            settings_file, "peers.cluster_key_file", f"a readable file ({error.strerror})"
        ) from error
    if len(key) < MIN_CLUSTER_KEY_BYTES:
        raise SettingsError(
            settings_file,
            "peers.cluster_key_file",
            f"a key of at least {MIN_CLUSTER_KEY_BYTES} bytes",
        )
    return key
