"""Choice of a back end for one attempt, with its bookkeeping and its decision record."""

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
from drumbay.requests.errors import NoBackendError
from drumbay.requests.route_table import CompiledRoute
from drumbay.routing.backend_choice import ChoicePolicy, ChoiceRequest, choose_backend
from drumbay.routing.directory import AttemptOutcome, BackendDirectory
from drumbay.routing.prefix_index import affinity_hashes

NO_BACKEND_RETRY_AFTER_SECONDS = 1.0


_SUCCESS_OF = {AttemptResult.SUCCEEDED: True, AttemptResult.FAILED: False}
"""What an end tells the circuit breaker; refusals and cancellations tell nothing."""


class AttemptNeeds(msgspec.Struct, frozen=True, kw_only=True):
    """What one attempt needs of a back end.

    Attributes:
        subject_kind: Kind of the subject in decision records.
        subject_id: Request or sample.
        attempt_id: The attempt.
        compiled: The route.
        prompt: Prompt text, for prefix affinity.
        required_version: The only version accepted.
        oldest_version: Oldest version accepted.
        already_tried: Back ends of earlier attempts.
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
    """Chooses back ends and keeps count of the attempts on them.

    Args:
        clock: Time.
        zone: Zone of this node.
        directory: Back ends as this node knows them.
        recorder: Takes the decision records.
        random: Source of the choice's samples.
        policy: Weights and limits of the choice.
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

    def choose(self, needs: AttemptNeeds) -> BackendAddress:
        """Choose the back end of one attempt and record the decision.

        Raises:
            NoBackendError: No back end is eligible now.
        """
        now = self._clock.monotonic()
        route = needs.compiled.route
        hashes = affinity_hashes(route.model, needs.prompt)
        affinity = self._directory.prefixes.affinities(hashes, needs.required_version)
        request = ChoiceRequest(
            now=now,
            zone=self._zone,
            selects=needs.compiled.selects,
            model=route.model,
            required_version=needs.required_version,
            oldest_version=needs.oldest_version,
            already_tried=needs.already_tried,
            priority=route.priority,
            prefix_affinity=affinity,
        )
        choice = choose_backend(
            request, self._directory.watched_views(now), self._policy, self._random
        )
        chosen = choice.chosen
        address = self._directory.address(chosen.backend_id) if chosen else None
        if chosen is not None and chosen.weight_version is not None:
            # Own requests are what a node surely hears of; events of the engine come late,
            # and at larger sizes they are not asked for.
            prefixes = self._directory.prefixes
            prefixes.record_dispatch(chosen.backend_id, hashes, chosen.weight_version)
        self._recorder.record(
            needs.subject_kind,
            needs.subject_id,
            "dispatched" if address else "no_backend",
            detail=f"route {route.name}, attempt {needs.attempt_id}",
            candidates=choice.verdicts(),
        )
        if address is None:
            raise NoBackendError(
                f"no back end of route {route.name} can serve now",
                execution=Execution.NOT_RUN,
                retry_after_seconds=NO_BACKEND_RETRY_AFTER_SECONDS,
            )
        if needs.already_tried:
            self._metrics.record_retry(route.name)
        return address

    @contextmanager
    def attempt(self, address: BackendAddress, attempt_id: AttemptId) -> Iterator[None]:
        """Count an attempt while the block runs; its exception tells how it ended.

        Raises:
            BackendRefusedError: The circuit breaker does not admit the attempt now.
        """
        backend_id = address.backend_id
        permit = self._directory.start_attempt(backend_id, attempt_id, self._clock.monotonic())
        if permit is None:
            self._metrics.record_attempt(AttemptResult.REFUSED)
            raise BackendRefusedError("circuit_open")
        end = AttemptResult.CANCELLED
        try:
            yield
            end = AttemptResult.SUCCEEDED
        except BackendRefusedError:
            end = AttemptResult.REFUSED
            raise
        except BackendError:
            end = AttemptResult.FAILED
            raise
        finally:
            outcome = AttemptOutcome(succeeded=_SUCCESS_OF.get(end))
            self._metrics.record_attempt(end)
            self._directory.finish_attempt(
                backend_id, attempt_id, permit, outcome, self._clock.monotonic()
            )

    def records_of(self, kind: SubjectKind, subject_id: str) -> tuple[DecisionRecord, ...]:
        """Return the decision records of a subject."""
        return self._recorder.find(kind, subject_id)
