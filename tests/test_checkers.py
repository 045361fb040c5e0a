"""Each checker accepts valid histories and reports violations."""

import itertools
import unittest
from collections.abc import Sequence
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from drumbay.identifiers import (
    BackendId,
    BootId,
    Fence,
    NodeId,
    Revision,
    SampleId,
    StreamName,
    WeightVersion,
)
from drumbay.simulation.checkers import Limits, Promise, check_all
from drumbay.simulation.checkers.linearizability import is_linearizable
from drumbay.simulation.history import (
    AnyHistoryEvent,
    BackendLeaving,
    BackendReturned,
    BackendStopped,
    CompletionReturned,
    ConfigurationAccepted,
    ConfigurationInForce,
    ExecutionAborted,
    ExecutionFinished,
    ExecutionStarted,
    History,
    KeyValueOutage,
    LeaseHeld,
    NodeDisturbed,
    NodeRestored,
    NodeStarted,
    OrderAccepted,
    PlannedStopStarted,
    RegisterOperation,
    RegisterOperationKind,
    ReplicaSetCommitted,
    RequestInvoked,
    RequestOutcome,
    RequestReturned,
    SampleConsumed,
    StepRequested,
    TokensProduced,
    VersionSpan,
)

NODE = NodeId("node-1")
OTHER_NODE = NodeId("node-2")
THIRD_NODE = NodeId("node-3")
ENGINE = BackendId("modelos-1")
STREAM = StreamName("callsigns")
READ = RegisterOperationKind.READ
WRITE = RegisterOperationKind.WRITE
COMPARE_AND_SET = RegisterOperationKind.COMPARE_AND_SET


def invoked(at: float, name: str = "a", *, repeatable: bool = False) -> RequestInvoked:
    return RequestInvoked(
        time_seconds=at,
        invocation_id=f"{name}@{at}",
        operation_id=name,
        node_id=NODE,
        repeatable=repeatable,
    )


def returned(
    at: float, request: RequestInvoked, outcome: RequestOutcome, answer: bytes = b""
) -> RequestReturned:
    return RequestReturned(
        time_seconds=at, invocation_id=request.invocation_id, outcome=outcome, answer=answer
    )


def started(at: float, name: str = "a") -> ExecutionStarted:
    return ExecutionStarted(
        time_seconds=at, execution_id=f"{name}#{at}", backend_id=ENGINE, operation_id=name
    )


def finished(at: float, run: ExecutionStarted, answer: bytes) -> ExecutionFinished:
    return ExecutionFinished(time_seconds=at, execution_id=run.execution_id, answer=answer)


def span(version: int, first: int, *tokens: int) -> VersionSpan:
    return VersionSpan(weight_version=WeightVersion(version), first_index=first, token_ids=tokens)


def produced(at: float, tokens: VersionSpan, *, last: bool = False) -> TokensProduced:
    return TokensProduced(
        time_seconds=at,
        execution_id="a#1",
        operation_id="a",
        weight_version=tokens.weight_version,
        first_index=tokens.first_index,
        token_ids=tokens.token_ids,
        finished=last,
    )


def consumed(at: float, *spans: VersionSpan, trainer: int = 2, name: str = "s0") -> SampleConsumed:
    return SampleConsumed(
        time_seconds=at,
        stream=STREAM,
        sample_id=SampleId(name),
        operation_id="a",
        trainer_version=WeightVersion(trainer),
        spans=spans,
    )


def requested(at: float, step: int, *names: str) -> StepRequested:
    sample_ids = tuple(SampleId(name) for name in names)
    return StepRequested(time_seconds=at, stream=STREAM, step=step, sample_ids=sample_ids)


def in_force(at: float, revision: int, boot: int = 1) -> ConfigurationInForce:
    return ConfigurationInForce(
        time_seconds=at, node_id=NODE, boot_id=BootId(str(boot)), revision=Revision(revision)
    )


def accepted(at: float, revision: int) -> ConfigurationAccepted:
    return ConfigurationAccepted(time_seconds=at, revision=Revision(revision))


def node_started(at: float) -> NodeStarted:
    return NodeStarted(time_seconds=at, node_id=NODE, boot_id=BootId("1"))


def operation(
    kind: RegisterOperationKind,
    invoked_at: float,
    returned_at: float | None,
    value: str | None,
    expected: str | None = None,
    succeeded: bool = True,
) -> RegisterOperation:
    return RegisterOperation(
        time_seconds=invoked_at,
        key="route/consulta",
        kind=kind,
        returned_seconds=returned_at,
        value=value,
        expected=expected,
        succeeded=succeeded,
    )


class CheckerTest(unittest.TestCase):
    def assert_good(self, *events: AnyHistoryEvent, limits: Limits | None = None) -> None:
        self.assertEqual(check_all(History(events), limits or Limits()), ())

    def assert_bad(
        self, promise: Promise, *events: AnyHistoryEvent, limits: Limits | None = None
    ) -> None:
        violations = check_all(History(events), limits or Limits())
        self.assertEqual({violation.promise for violation in violations}, {promise})

    def test_at_most_once(self) -> None:
        retry = invoked(2)
        events = (invoked(0), started(1), retry)
        self.assert_good(*events)
        self.assert_bad(Promise.AT_MOST_ONCE, *events, started(3))
        self.assert_good(invoked(0, repeatable=True), started(1), started(3))

    def test_refused_not_run(self) -> None:
        first = invoked(0)
        refusal = returned(1, first, RequestOutcome.NOT_RUN)
        self.assert_good(first, refusal, invoked(2), started(3))
        self.assert_bad(Promise.REFUSED_NOT_RUN, first, refusal, started(0.5))
        self.assert_bad(Promise.REFUSED_NOT_RUN, first, refusal, started(1.5), invoked(2))

    def test_whole_answers(self) -> None:
        request, other = invoked(0, "a"), invoked(0, "b")
        runs = (started(1, "a"), started(1, "b"))
        base = (
            request,
            other,
            *runs,
            finished(2, runs[0], b"first"),
            finished(2, runs[1], b"second"),
        )
        self.assert_good(*base, returned(3, request, RequestOutcome.ANSWERED, b"first"))
        for answer in (b"second", b"fir", b""):
            crossed = returned(3, request, RequestOutcome.ANSWERED, answer)
            self.assert_bad(Promise.WHOLE_ANSWERS, *base, crossed)

    def test_whole_completions(self) -> None:
        request = invoked(0, repeatable=True)
        tokens = (span(1, 0, 10, 11), span(2, 2, 12))
        log = (produced(1, tokens[0]), produced(2, tokens[1], last=True))

        def completion(*spans: VersionSpan) -> CompletionReturned:
            return CompletionReturned(
                time_seconds=3, invocation_id=request.invocation_id, spans=spans
            )

        self.assert_good(request, *log, completion(*tokens))
        for spans in ((tokens[0],), (tokens[1],), (span(1, 0, 10, 99), tokens[1])):
            self.assert_bad(Promise.WHOLE_ANSWERS, request, *log, completion(*spans))

    def test_sample_versions(self) -> None:
        log = (produced(1, span(1, 0, 10, 11)), produced(2, span(2, 2, 12), last=True))
        step = requested(0, 0, "s0")
        self.assert_good(step, *log, consumed(3, span(1, 0, 10, 11), span(2, 2, 12)))
        self.assert_bad(Promise.SAMPLE_VERSIONS, step, *log, consumed(3, span(2, 0, 10, 11, 12)))
        self.assert_bad(Promise.SAMPLE_VERSIONS, step, *log, consumed(3, span(1, 0, 10, 11)))

    def test_staleness_counts_at_consumption(self) -> None:
        log = (requested(0, 0, "s0"), produced(1, span(1, 0, 10), last=True))
        self.assert_good(*log, consumed(3, span(1, 0, 10), trainer=2))
        self.assert_bad(Promise.STALENESS, *log, consumed(9, span(1, 0, 10), trainer=3))

    def test_exactly_once(self) -> None:
        tokens = span(2, 0, 10)
        log = (produced(0, tokens, last=True), requested(0, 0, "s0", "s1"))
        first, second = consumed(1, tokens, name="s0"), consumed(1, tokens, name="s1")
        self.assert_good(*log, first, second)
        self.assert_bad(Promise.EXACTLY_ONCE, *log, first, second, consumed(2, tokens, name="s0"))
        self.assert_bad(Promise.EXACTLY_ONCE, *log, first)
        self.assert_bad(Promise.EXACTLY_ONCE, *log, first, second, consumed(2, tokens, name="s9"))
        running = Limits(settled=False)
        self.assert_good(*log, first, limits=running)
        self.assert_bad(Promise.EXACTLY_ONCE, *log, first, requested(2, 1), limits=running)

    def test_leaving_backends(self) -> None:
        leaving = BackendLeaving(time_seconds=1, backend_id=ENGINE)
        recovered = BackendReturned(time_seconds=7, backend_id=ENGINE)
        self.assert_good(leaving, started(5.9), recovered, started(8))
        self.assert_bad(Promise.LEAVING_BACKENDS, leaving, started(6.1))

    def test_planned_stop_of_a_node(self) -> None:
        request = invoked(0)
        stop = PlannedStopStarted(time_seconds=1, node_id=NODE)
        kill = NodeDisturbed(time_seconds=1.5, node_id=NODE)
        cut_off = returned(2, request, RequestOutcome.CUT_OFF)
        self.assert_good(request, stop, returned(2, request, RequestOutcome.NOT_RUN))
        self.assert_good(request, stop, kill, cut_off)
        self.assert_bad(Promise.PLANNED_STOP, request, stop, cut_off)
        ended = NodeDisturbed(time_seconds=1.5, node_id=NODE, planned=True)
        self.assert_bad(Promise.PLANNED_STOP, request, stop, ended, cut_off)

    def test_planned_stop_of_a_backend(self) -> None:
        run = started(1)
        planned = BackendStopped(time_seconds=3, backend_id=ENGINE, planned=True)
        crash = BackendStopped(time_seconds=3, backend_id=ENGINE, planned=False)
        self.assert_good(run, finished(2, run, b""), planned)
        self.assert_good(run, crash)
        self.assert_bad(Promise.PLANNED_STOP, run, planned)
        before = ExecutionAborted(time_seconds=2, execution_id=run.execution_id)
        self.assert_good(run, before, planned)
        aborted = ExecutionAborted(time_seconds=3, execution_id=run.execution_id)
        self.assert_bad(Promise.PLANNED_STOP, run, aborted, planned)

    def test_configuration_never_reverts(self) -> None:
        self.assert_good(in_force(0, 5), in_force(1, 5, boot=2), in_force(2, 6, boot=2))
        self.assert_bad(Promise.CONFIGURATION_MONOTONIC, in_force(0, 5), in_force(9, 4, boot=2))

    def test_configuration_is_in_force_within_the_limit(self) -> None:
        history = (node_started(0), in_force(0, 1), accepted(1, 2))
        end = invoked(30)
        disturbed = NodeDisturbed(time_seconds=5, node_id=NODE)
        restored = NodeRestored(time_seconds=18, node_id=NODE)
        self.assert_good(*history, in_force(10, 2), end)
        self.assert_good(*history, disturbed, restored, in_force(27, 2), end)
        self.assert_bad(Promise.CONFIGURATION_IN_FORCE, *history, in_force(12, 2), end)
        self.assert_bad(Promise.CONFIGURATION_IN_FORCE, *history, disturbed, restored, end)

    def test_configuration_change_is_due_only_with_an_authoritative_source(self) -> None:
        """No violation while neither the service nor a majority of intact replicas is available.

        A starting node cannot know the newest revision then.
        """
        replicas = ReplicaSetCommitted(time_seconds=0, members=(NODE, OTHER_NODE, THIRD_NODE))
        history: tuple[AnyHistoryEvent, ...] = (
            *(replicas, node_started(0), in_force(0, 1), accepted(1, 2)),
            NodeDisturbed(time_seconds=2, node_id=NODE, disk_lost=True),
            KeyValueOutage(time_seconds=3, began=True),
            NodeRestored(time_seconds=5, node_id=NODE),
        )
        others_in_force = ConfigurationInForce(
            time_seconds=1, node_id=OTHER_NODE, boot_id=BootId("1"), revision=Revision(2)
        )
        history = (*history, others_in_force)
        frozen = NodeDisturbed(time_seconds=4, node_id=OTHER_NODE)
        cut_off = NodeDisturbed(time_seconds=4, node_id=OTHER_NODE, cut_off=True)
        resumed = NodeRestored(time_seconds=18, node_id=OTHER_NODE)
        recovered = KeyValueOutage(time_seconds=18, began=False)
        end = invoked(30)
        self.assert_good(*history, frozen, end)
        # The limit starts again once the service or a majority of the replicas is available.
        for restored_source in (resumed, recovered):
            self.assert_good(*history, frozen, restored_source, in_force(27, 2), end)
            self.assert_bad(Promise.CONFIGURATION_IN_FORCE, *history, frozen, restored_source, end)
        # Two replicas with intact disks are a majority, also if their paths to others are cut.
        for others in ((), (cut_off,)):
            self.assert_bad(Promise.CONFIGURATION_IN_FORCE, *history, *others, end)
        # The service alone is sufficient.
        without_outage = tuple(each for each in history if not isinstance(each, KeyValueOutage))
        self.assert_bad(Promise.CONFIGURATION_IN_FORCE, *without_outage, frozen, end)

    def test_configuration_is_a_register(self) -> None:
        self.assert_good(operation(WRITE, 0, 1, "x"), operation(READ, 2, 3, "x"))
        self.assert_bad(
            Promise.CONFIGURATION_LINEARIZABLE,
            operation(WRITE, 0, 1, "x"),
            operation(READ, 2, 3, None),
        )

    def test_fenced_orders(self) -> None:
        def order(at: float, fence: int) -> OrderAccepted:
            return OrderAccepted(
                time_seconds=at, backend_id=ENGINE, boot_id=BootId("1"), fence=Fence(fence)
            )

        def held(at: float, holder: str) -> LeaseHeld:
            return LeaseHeld(
                time_seconds=at,
                lease_name="weights/callsigns",
                holder=BootId(holder),
                fence=Fence(1),
                until_seconds=at + 5,
            )

        self.assert_good(order(0, 1), order(1, 1), order(2, 3), held(0, "n1"), held(3, "n1"))
        self.assert_bad(Promise.FENCED_ORDERS, order(0, 3), order(1, 1))
        self.assert_bad(Promise.FENCED_ORDERS, held(0, "n1"), held(3, "n2"))

    def test_a_history_survives_json(self) -> None:
        request = invoked(0)
        history = History([request, started(1), returned(2, request, RequestOutcome.ANSWERED)])
        copy = History.from_json_lines(history.to_json_lines())
        self.assertEqual(copy.between(0, 9), history.between(0, 9))


class LinearizabilityTest(unittest.TestCase):
    def test_known_good(self) -> None:
        histories = (
            [operation(WRITE, 0, 5, "x"), operation(READ, 1, 2, None), operation(READ, 3, 4, "x")],
            [operation(WRITE, 0, None, "x"), operation(READ, 9, 10, "x")],
            [operation(WRITE, 0, None, "x"), operation(READ, 9, 10, None)],
            [
                operation(COMPARE_AND_SET, 0, 3, "x"),
                operation(COMPARE_AND_SET, 0, 3, "y", succeeded=False),
                operation(COMPARE_AND_SET, 4, 5, "z", expected="x"),
            ],
        )
        for history in histories:
            self.assertTrue(is_linearizable(history), history)

    def test_known_bad(self) -> None:
        histories = (
            [operation(WRITE, 0, 1, "x"), operation(WRITE, 2, 3, "y"), operation(READ, 4, 5, "x")],
            [operation(WRITE, 0, 9, "x"), operation(READ, 1, 2, "x"), operation(READ, 3, 4, None)],
            [operation(COMPARE_AND_SET, 0, 3, "x"), operation(COMPARE_AND_SET, 0, 3, "y")],
            [operation(WRITE, 5, None, "x"), operation(READ, 1, 2, "x")],
        )
        for history in histories:
            self.assertFalse(is_linearizable(history), history)

    @settings(derandomize=True, deadline=None)
    @given(st.integers(min_value=0, max_value=2**32), st.booleans())
    def test_agrees_with_exhaustive_search(self, seed: int, corrupt: bool) -> None:
        history = random_history(Random(seed), corrupt=corrupt)
        expected = any(
            explains(order)
            for size in range(len(history) + 1)
            for order in itertools.permutations(history, size)
            if all(item in order for item in history if item.returned_seconds is not None)
        )
        if not corrupt:
            self.assertTrue(expected)
        self.assertEqual(is_linearizable(history), expected)


def random_history(random: Random, *, corrupt: bool) -> list[RegisterOperation]:
    """Apply up to five operations to a register, each at a point within its span."""
    points = sorted(random.uniform(0, 10) for _ in range(random.randint(1, 5)))
    value: str | None = None
    history = []
    for point in points:
        kind = random.choice([READ, WRITE, COMPARE_AND_SET])
        expected = random.choice([None, "x", "y"])
        succeeded = kind is not COMPARE_AND_SET or expected == value
        written = random.choice(["x", "y"])
        if kind is not READ and succeeded:
            value = written
        reported = value if kind is READ else written
        if corrupt and kind is READ and random.random() < 0.5:
            reported = random.choice([None, "x", "y"])
        # Only a write can stay without a return: the results of the others must be known.
        never_returns = kind is WRITE and random.random() < 0.3
        end = None if never_returns else point + random.uniform(0, 4)
        begin = point - random.uniform(0, 4)
        history.append(operation(kind, begin, end, reported, expected, succeeded))
    return history


def explains(order: Sequence[RegisterOperation]) -> bool:
    """Return whether a sequential execution in this order gives all outcomes."""
    for earlier, later in itertools.combinations(order, 2):
        if later.returned_seconds is not None and later.returned_seconds < earlier.time_seconds:
            return False
    value: str | None = None
    for item in order:
        if item.kind is READ and item.value != value:
            return False
        if item.kind is COMPARE_AND_SET and item.succeeded != (item.expected == value):
            return False
        if item.kind is not READ and item.succeeded:
            value = item.value
    return True


if __name__ == "__main__":
    unittest.main()
