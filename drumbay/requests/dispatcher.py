"""Selection of a backend for one attempt, with attempt accounting and a decision record."""

from collections.abc import Iterator
from contextlib import contextmanager
from random import Random

import msgspec

from drumbay.backends.interface import BackendAddress, BackendError, BackendRefusedError
from drumbay.clock import Clock
from drumbay.exceptions import Execution
from drumbay.explain.recorder import DecisionRecorder
from drumbay.explain.records import DecisionRecord, SubjectKind
from drumbay.identifiers import AttemptId, BackendId, WeightVersion
from drumbay.observability.metrics import AttemptResult, NodeMetrics
from drumbay.placement.regions import AllowedRegions
from drumbay.requests.errors import NoBackendError
from drumbay.requests.route_table import CompiledRoute, RouteTable
from drumbay.routing.backend_choice import ChoicePolicy, ChoiceRequest, choose_backend
from drumbay.routing.directory import AttemptOutcome, BackendDirectory
from drumbay.routing.prefix_index import affinity_hashes

NO_BACKEND_RETRY_AFTER_SECONDS = 1.0


_CIRCUIT_OUTCOMES = {AttemptResult.SUCCEEDED: True, AttemptResult.FAILED: False}
"""Whether an attempt counts as success; other results do not affect the circuit breaker."""


class AttemptRequirements(msgspec.Struct, frozen=True, kw_only=True):
    """Requirements of one attempt on a backend.

    Attributes:
        subject_kind: Kind of the subject in decision records.
        subject_id: Request or sample id.
        attempt_id: Attempt id.
        compiled: Compiled route of the request.
        prompt: Prompt text, for prefix affinity.
        required_version: The only weight version accepted; ``None`` accepts any.
        oldest_version: The oldest weight version accepted; ``None`` accepts any.
        already_tried: Backends of earlier attempts.
    """

    subject_kind: SubjectKind
    subject_id: str
    attempt_id: AttemptId
    compiled: CompiledRoute
    prompt: str = ""
    required_version: WeightVersion | None = None
    oldest_version: WeightVersion | None = None
    already_tried: frozenset[BackendId] = frozenset()


class Dispatcher:
    """Selects backends and tracks the attempts on them.

    Args:
        clock: Time source.
        zone: Zone of this node.
        directory: Backends known to this node.
        recorder: Stores the decision records.
        random: Random source for sampling candidates.
        policy: Weights and limits of the selection.
        metrics: Counts attempts and retries.
    """

    def __init__(
        self,
        clock: Clock,
        zone: str,
        directory: BackendDirectory,
        recorder: DecisionRecorder,
        random: Random,
        policy: ChoicePolicy | None = None,
        metrics: NodeMetrics | None = None,
    ) -> None:
        """Create a dispatcher."""
        self._clock = clock
        self._zone = zone
        self._directory = directory
        self._recorder = recorder
        self._random = random
        self._policy = policy or ChoicePolicy()
        self._metrics = metrics or NodeMetrics()
        self._routes = RouteTable(())

    def set_routes(self, routes: RouteTable) -> None:
        """Replace the routes with those of the current configuration."""
        self._routes = routes

    def _allowed_regions(self, compiled: CompiledRoute) -> AllowedRegions:
        """Return the regions that the route allowed on arrival and still allows."""
        current = self._routes.with_name(compiled.route.name)
        if current is None or current is compiled:
            return compiled.allowed_regions
        return compiled.allowed_regions.intersect(current.allowed_regions)

    def choose(self, requirements: AttemptRequirements) -> BackendAddress:
        """Select the backend of one attempt and record the decision.

        Raises:
            NoBackendError: No backend is eligible.
        """
        now = self._clock.monotonic()
        route = requirements.compiled.route
        hashes = affinity_hashes(route.model, requirements.prompt)
        affinity = self._directory.prefixes.affinities(hashes, requirements.required_version)
        request = ChoiceRequest(
            now=now,
            zone=self._zone,
            matches_selector=requirements.compiled.matches,
            allowed_regions=self._allowed_regions(requirements.compiled),
            model=route.model,
            required_version=requirements.required_version,
            oldest_version=requirements.oldest_version,
            already_tried=requirements.already_tried,
            priority=route.priority,
            prefix_affinity=affinity,
        )
        choice = choose_backend(
            request, self._directory.watched_views(now), self._policy, self._random
        )
        chosen = choice.chosen
        address = self._directory.address(chosen.backend_id) if chosen else None
        if chosen is not None and chosen.weight_version is not None:
            # Cache events arrive late, and this node may not poll the engine at all.
            prefixes = self._directory.prefixes
            prefixes.record_dispatch(chosen.backend_id, hashes, chosen.weight_version)
        self._recorder.record(
            requirements.subject_kind,
            requirements.subject_id,
            "dispatched" if address else "no_backend",
            detail=f"route {route.name}, attempt {requirements.attempt_id}",
            candidates=choice.verdicts(),
        )
        if address is None:
            raise NoBackendError(
                f"no back end of route {route.name} can serve now",
                execution=Execution.NOT_RUN,
                retry_after_seconds=NO_BACKEND_RETRY_AFTER_SECONDS,
            )
        if requirements.already_tried:
            self._metrics.record_retry(route.name)
        return address

    @contextmanager
    def attempt(self, address: BackendAddress, attempt_id: AttemptId) -> Iterator[None]:
        """Track an attempt while the block runs; its exception determines the result.

        Raises:
            BackendRefusedError: The circuit breaker does not admit the attempt now.
        """
        backend_id = address.backend_id
        permit = self._directory.start_attempt(backend_id, attempt_id, self._clock.monotonic())
        if permit is None:
            self._metrics.record_attempt(AttemptResult.REFUSED)
            raise BackendRefusedError("circuit_open")
        result = AttemptResult.CANCELLED
        try:
            yield
            result = AttemptResult.SUCCEEDED
        except BackendRefusedError:
            result = AttemptResult.REFUSED
            raise
        except BackendError:
            result = AttemptResult.FAILED
            raise
        finally:
            outcome = AttemptOutcome(succeeded=_CIRCUIT_OUTCOMES.get(result))
            self._metrics.record_attempt(result)
            self._directory.finish_attempt(
                backend_id, attempt_id, permit, outcome, self._clock.monotonic()
            )

    def decision_records(self, kind: SubjectKind, subject_id: str) -> tuple[DecisionRecord, ...]:
        """Return the decision records of a subject."""
        return self._recorder.find(kind, subject_id)
