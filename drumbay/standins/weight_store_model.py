"""Emulated weight store with limited bandwidth."""

import msgspec

from drumbay.clock import Clock
from drumbay.exceptions import DrumbayError, UnavailableError
from drumbay.identifiers import BackendId, WeightVersion
from drumbay.standins.execution_log import VersionPublished, WeightsFetched
from drumbay.standins.simple_process import SimpleProcess


class UnknownVersionError(DrumbayError):
    """The store does not have the version of the model."""

    code = "unknown_version"


class VersionConflictError(DrumbayError):
    """A published version is not newer than the latest one."""

    code = "version_conflict"


class WeightStoreDownError(UnavailableError):
    """The store is down."""

    code = "weight_store_down"


class WeightStoreParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Configuration of the weight store.

    Attributes:
        bytes_per_second: Bandwidth shared by all readers.
        version_bytes: Size of one version of a model.
        part_bytes: Size of the parts in which weights are sent to readers.
    """

    bytes_per_second: float = 2.0e9
    version_bytes: int = 2_000_000_000
    part_bytes: int = 100_000_000


class WeightStoreModel(SimpleProcess):
    """Weight versions of models, kept across crashes and served with limited bandwidth."""

    def __init__(
        self, clock: Clock, name: str, parameters: WeightStoreParameters | None = None
    ) -> None:
        """Create an empty store."""
        super().__init__()
        self._clock = clock
        self._name = name
        self._parameters = parameters or WeightStoreParameters()
        self._versions: dict[str, list[WeightVersion]] = {}
        self._next_send_at_seconds = 0.0

    @property
    def parameters(self) -> WeightStoreParameters:
        """Configuration of the store."""
        return self._parameters

    def publish(self, model: str, version: WeightVersion) -> None:
        """Add a version, which must be newer than all others of the model.

        Raises:
            WeightStoreDownError: The store is down.
            VersionConflictError: The version is not newer than the latest one.
        """
        self._check_running()
        versions = self._versions.setdefault(model, [])
        if versions and version <= versions[-1]:
            raise VersionConflictError(f"{model}: {version} is not above {versions[-1]}")
        versions.append(version)
        self.log.append(
            VersionPublished(
                time_seconds=self._clock.monotonic(),
                source=self._name,
                model=model,
                weight_version=version,
            )
        )

    def versions(self, model: str) -> tuple[WeightVersion, ...]:
        """Return the versions of a model, oldest first.

        Raises:
            WeightStoreDownError: The store is down.
        """
        self._check_running()
        return tuple(self._versions.get(model, ()))

    def check_version(self, model: str, version: WeightVersion) -> None:
        """Check that the store can serve a version.

        Raises:
            WeightStoreDownError: The store is down.
            UnknownVersionError: The version does not exist.
        """
        self._check_running()
        if version not in self._versions.get(model, ()):
            raise UnknownVersionError(f"{model} version {version}")

    async def reserve_bandwidth(self, part_bytes: int) -> None:
        """Reserve bandwidth after earlier callers, and wait for the transfer of a part."""
        now = self._clock.monotonic()
        start = max(now, self._next_send_at_seconds)
        self._next_send_at_seconds = start + part_bytes / self._parameters.bytes_per_second
        await self._clock.sleep(self._next_send_at_seconds - now)
        await self._gate.wait_open()

    async def fetch(self, model: str, version: WeightVersion, reader: BackendId) -> None:
        """Return when a reader has received all weights of a version.

        Raises:
            WeightStoreDownError: The store is down.
            UnknownVersionError: The version does not exist.
        """
        remaining = self._parameters.version_bytes
        while remaining > 0:
            self.check_version(model, version)
            part_bytes = min(remaining, self._parameters.part_bytes)
            await self.reserve_bandwidth(part_bytes)
            remaining -= part_bytes
        self.check_version(model, version)
        self.record_fetched(model, version, reader)

    def record_fetched(self, model: str, version: WeightVersion, reader: BackendId) -> None:
        """Log that a reader has received all weights of a version."""
        self.log.append(
            WeightsFetched(
                time_seconds=self._clock.monotonic(),
                source=self._name,
                model=model,
                weight_version=version,
                reader=reader,
            )
        )

    def _check_running(self) -> None:
        if self.crashed:
            raise WeightStoreDownError(f"{self._name} is down")
