"""An emulated, rate-limited store of weight versions."""

import msgspec

from drumbay.clock import Clock
from drumbay.exceptions import DrumbayError, UnavailableError
from drumbay.identifiers import BackendId, WeightVersion
from drumbay.standins.execution_log import VersionPublished, WeightsFetched
from drumbay.standins.simple_process import SimpleProcess


class UnknownVersionError(DrumbayError):
    """The store holds no such version of the model."""

    code = "unknown_version"


class VersionConflictError(DrumbayError):
    """A version was published that is not newer than the newest one."""

    code = "version_conflict"


class WeightStoreDownError(UnavailableError):
    """The store is down."""

    code = "weight_store_down"


class WeightStoreParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Sizes and rates of the store.

    Attributes:
        bytes_per_second: Rate shared by all readers.
        version_bytes: Size of one version of a model.
        part_bytes: Unit in which readers take turns.
    """

    bytes_per_second: float = 2.0e9
    version_bytes: int = 2_000_000_000
    part_bytes: int = 100_000_000


class WeightStoreModel(SimpleProcess):
    """Versions of models, served to readers at a limited rate; they outlive a crash."""

    def __init__(
        self, clock: Clock, name: str, parameters: WeightStoreParameters | None = None
    ) -> None:
        """Create an empty store."""
        super().__init__()
        self._clock = clock
        self._name = name
        self._parameters = parameters or WeightStoreParameters()
        self._versions: dict[str, list[WeightVersion]] = {}
        self._free_at_seconds = 0.0

    @property
    def parameters(self) -> WeightStoreParameters:
        """Sizes and rates."""
        return self._parameters

    def publish(self, model: str, version: WeightVersion) -> None:
        """Add a version, newer than all others of the model.

        Raises:
            WeightStoreDownError: The store is down.
            VersionConflictError: The version is not newer than the newest one.
        """
        self._check_up()
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
        self._check_up()
        return tuple(self._versions.get(model, ()))

    def check_version(self, model: str, version: WeightVersion) -> None:
        """Check that the store can serve a version.

        Raises:
            WeightStoreDownError: The store is down.
            UnknownVersionError: There is no such version.
        """
        self._check_up()
        if version not in self._versions.get(model, ()):
            raise UnknownVersionError(f"{model} version {version}")

    async def wait_part(self, part_bytes: int) -> None:
        """Wait for the turn to send some bytes, and reserve the time they take."""
        now = self._clock.monotonic()
        start = max(now, self._free_at_seconds)
        self._free_at_seconds = start + part_bytes / self._parameters.bytes_per_second
        await self._clock.sleep(self._free_at_seconds - now)
        await self._gate.passed()

    async def fetch(self, model: str, version: WeightVersion, reader: BackendId) -> None:
        """Return once a reader has the whole weights of a version.

        Raises:
            WeightStoreDownError: The store is down.
            UnknownVersionError: There is no such version.
        """
        remaining = self._parameters.version_bytes
        while remaining > 0:
            self.check_version(model, version)
            part_bytes = min(remaining, self._parameters.part_bytes)
            await self.wait_part(part_bytes)
            remaining -= part_bytes
        self.check_version(model, version)
        self.record_fetched(model, version, reader)

    def record_fetched(self, model: str, version: WeightVersion, reader: BackendId) -> None:
        """Log that a reader has the whole weights."""
        self.log.append(
            WeightsFetched(
                time_seconds=self._clock.monotonic(),
                source=self._name,
                model=model,
                weight_version=version,
                reader=reader,
            )
        )

    def _check_up(self) -> None:
        if self.crashed:
            raise WeightStoreDownError(f"{self._name} is down")
