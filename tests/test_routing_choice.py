"""Backend selection: eligibility, load balancing under stale reports, and prefix affinity."""

import random
import unittest
from collections.abc import Mapping

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from drumbay.backends.interface import CacheEvent, CacheEventKind, EngineStatus
from drumbay.backends.prefix_hash import BLOCK_CHARACTERS, prefix_hashes
from drumbay.explain.records import RejectionReason
from drumbay.identifiers import AttemptId, BackendId, BootId, Fence, WeightVersion
from drumbay.routing.backend_choice import (
    BackendView,
    ChoicePolicy,
    ChoiceRequest,
    accepts_version,
    choose_backend,
    estimated_load,
)
from drumbay.routing.load_tracker import BackendAvailability, LoadTracker
from drumbay.routing.prefix_index import MAX_AFFINITY_BLOCKS, PrefixIndex, affinity_hashes
from drumbay.routing.selectors import MODEL_LABEL

POLICY = ChoicePolicy(max_load=8, reserved_load=2)
ENGINE = BackendId("engine")
UNAVAILABILITIES = (
    RejectionReason.DRAINED,
    RejectionReason.LEAVING,
    RejectionReason.UNREACHABLE,
    RejectionReason.CIRCUIT_OPEN,
)


def is_selected(labels: Mapping[str, str]) -> bool:
    return labels.get("tier") == "gold"


def view(name: str, **changes: object) -> BackendView:
    default = BackendView(
        backend_id=BackendId(name),
        labels={"tier": "gold", MODEL_LABEL: "m"},
        zone="z1",
        reported_at=0.0,
        weight_version=WeightVersion(5),
    )
    return msgspec.structs.replace(default, **changes)


def choice_request(**changes: object) -> ChoiceRequest:
    default = ChoiceRequest(now=1.0, zone="z1", matches_selector=is_selected, model="m")
    return msgspec.structs.replace(default, **changes)


VIEWS = st.lists(
    st.builds(
        view,
        st.sampled_from(["a", "b", "c", "d", "e"]),
        labels=st.sampled_from(
            [{"tier": "gold", MODEL_LABEL: "m"}, {MODEL_LABEL: "m"}, {"tier": "gold"}]
        ),
        zone=st.sampled_from(["z1", "z2"]),
        running=st.integers(0, 9),
        waiting=st.integers(0, 3),
        reported_at=st.sampled_from([None, -60.0, 0.0]),
        own_outstanding=st.integers(0, 9),
        own_started_since_report=st.integers(0, 4),
        own_finished_since_report=st.integers(0, 4),
        weight_version=st.sampled_from([None, WeightVersion(4), WeightVersion(5)]),
        unavailability=st.sampled_from([None, None, *UNAVAILABILITIES]),
    ),
    unique_by=lambda entry: entry.backend_id,
)
REQUESTS = st.builds(
    choice_request,
    required_version=st.sampled_from([None, WeightVersion(5)]),
    oldest_version=st.sampled_from([None, WeightVersion(5)]),
    newest_version=st.sampled_from([None, WeightVersion(4)]),
    already_tried=st.frozensets(st.sampled_from([BackendId("a"), BackendId("b")])),
    priority=st.integers(0, 1),
    prefix_affinity=st.dictionaries(
        st.sampled_from([BackendId("a"), BackendId("d")]), st.floats(0, 1)
    ),
)


class ChoiceTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(REQUESTS, VIEWS, st.integers(0, 3))
    def test_never_takes_an_ineligible_back_end(
        self, request: ChoiceRequest, views: list[BackendView], seed: int
    ) -> None:
        limit = 8 if request.priority else 6
        eligible = [
            entry.backend_id
            for entry in views
            if entry.labels == {"tier": "gold", MODEL_LABEL: "m"}
            and entry.unavailability is None
            and entry.backend_id not in request.already_tried
            and accepts_version(request, entry.weight_version)
            and estimated_load(entry) < limit
        ]
        choice = choose_backend(request, views, POLICY, random.Random(seed))
        verdicts = choice.verdicts()
        self.assertEqual(
            [entry.backend_id for entry in verdicts if not entry.rejection],
            ([choice.chosen.backend_id] if choice.chosen else []),
        )
        self.assertEqual(len(verdicts), len(views))
        self.assertEqual(choice.chosen is not None, bool(eligible))
        if choice.chosen is not None:
            self.assertIn(choice.chosen.backend_id, eligible)
            self.assertEqual(verdicts[0].backend_id, choice.chosen.backend_id)

    def test_each_rejection_has_its_reason(self) -> None:
        cases = {
            RejectionReason.SELECTOR: view("x", labels={}),
            RejectionReason.MODEL: view("x", labels={"tier": "gold", MODEL_LABEL: "other"}),
            RejectionReason.DRAINED: view("x", unavailability=RejectionReason.DRAINED),
            RejectionReason.LEAVING: view("x", unavailability=RejectionReason.LEAVING),
            RejectionReason.VERSION: view("x", weight_version=WeightVersion(4)),
            RejectionReason.ALREADY_TRIED: view("tried"),
            RejectionReason.OVERLOADED: view("x", running=6),
            RejectionReason.HIGHER_COST: view("x", running=5),
        }
        request = choice_request(
            oldest_version=WeightVersion(5), already_tried=frozenset({BackendId("tried")})
        )
        for reason, rejected in cases.items():
            choice = choose_backend(request, [rejected, view("ok")], POLICY, random.Random(1))
            self.assertEqual(
                [entry.rejection for entry in choice.verdicts()], [None, reason], reason
            )

    def test_stale_reports_count_less(self) -> None:
        """A stale report of an idle backend must not attract the requests of all nodes."""
        stale = view("old", running=0, reported_at=-30.0, mean_service_seconds=1.0)
        fresh = view("new", running=2, reported_at=0.9, mean_service_seconds=1.0)
        busy = view("busy", running=5, reported_at=0.9, mean_service_seconds=1.0)

        def chosen(policy: ChoicePolicy) -> str:
            choice = choose_backend(
                choice_request(), [stale, fresh, busy], policy, random.Random(1)
            )
            assert choice.chosen is not None
            return choice.chosen.backend_id

        self.assertEqual(chosen(ChoicePolicy()), "new")
        self.assertEqual(chosen(ChoicePolicy(report_decay_service_times=1e9)), "old")

    def test_fewer_candidates_are_compared_on_stale_reports(self) -> None:
        def compared(reported_at: float, missing: int = 0) -> int:
            views = [view(f"e{n}", reported_at=reported_at) for n in range(9)]
            views += [view(f"m{n}", reported_at=None) for n in range(missing)]
            choice = choose_backend(choice_request(), views, ChoicePolicy(), random.Random(1))
            return len(choice.costs)

        self.assertEqual(compared(reported_at=0.0), 4)
        self.assertEqual(compared(reported_at=-11.0), 2)
        self.assertEqual(compared(reported_at=0.0, missing=5), 4)
        views = [view("old", reported_at=-99.0), *(view(f"e{n}") for n in range(8))]
        choice = choose_backend(choice_request(), views, ChoicePolicy(), random.Random(1))
        self.assertEqual(len(choice.costs), 4)

    def test_backend_with_cached_prefix_is_always_compared(self) -> None:
        views = [view(f"e{index}", running=1) for index in range(50)]
        request = choice_request(prefix_affinity={BackendId("e33"): 1.0})
        choice = choose_backend(request, views, POLICY, random.Random(2))
        assert choice.chosen is not None
        self.assertEqual(choice.chosen.backend_id, "e33")


class LoadTrackerWithoutAvailability(LoadTracker):
    """Injected fault: availability updates are ignored."""

    def set_availability(self, backend_id: BackendId, availability: BackendAvailability) -> None:
        del backend_id, availability


class LeavingBackendTest(unittest.TestCase):
    def attempts_on_leaving_backend(self, load_tracker: LoadTracker) -> int:
        """Return how many attempts a backend receives after it was marked as leaving."""
        attempt_counts: dict[str, int] = {}
        for name in ("staying", "leaving"):
            load_tracker.set_backend(BackendId(name), {"tier": "gold", MODEL_LABEL: "m"}, "z1")
        load_tracker.set_availability(BackendId("leaving"), BackendAvailability(is_leaving=True))
        for seed in range(20):
            choice = choose_backend(
                choice_request(), load_tracker.views(), ChoicePolicy(), random.Random(seed)
            )
            assert choice.chosen is not None
            name = choice.chosen.backend_id
            attempt_counts[name] = attempt_counts.get(name, 0) + 1
        return attempt_counts.get("leaving", 0)

    def test_leaving_backend_gets_no_new_attempts(self) -> None:
        self.assertEqual(self.attempts_on_leaving_backend(LoadTracker()), 0)
        self.assertGreater(self.attempts_on_leaving_backend(LoadTrackerWithoutAvailability()), 0)


class LoadTrackerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.load_tracker = LoadTracker()
        self.load_tracker.set_backend(ENGINE, {}, "z1")

    def report(self, *, running: int, received_at: float, age: float, fence: int = 1) -> bool:
        status = EngineStatus(
            backend_id=ENGINE,
            boot_id=BootId("b"),
            model="m",
            weight_version=WeightVersion(fence),
            highest_fence=Fence(fence),
            running=running,
            waiting=0,
            observed_age_seconds=age,
        )
        return self.load_tracker.record_report(status, received_at)

    def test_report_is_corrected_by_own_attempts(self) -> None:
        self.load_tracker.start_attempt(ENGINE, AttemptId("before"), 1.0)
        self.load_tracker.start_attempt(ENGINE, AttemptId("after"), 3.0)
        self.report(running=10, received_at=4.0, age=2.0)
        self.assertEqual(estimated_load(self.load_tracker.views()[0]), 11)
        self.load_tracker.finish_attempt(ENGINE, AttemptId("before"), 4.5)
        self.assertEqual(estimated_load(self.load_tracker.views()[0]), 10)
        self.load_tracker.finish_attempt(ENGINE, AttemptId("after"), 4.6)
        self.load_tracker.finish_attempt(ENGINE, AttemptId("after"), 4.6)
        self.assertEqual(estimated_load(self.load_tracker.views()[0]), 9)
        mean_seconds = self.load_tracker.views()[0].mean_service_seconds
        self.assertAlmostEqual(mean_seconds or 0.0, 0.9 * 3.5 + 0.1 * 1.6)
        self.load_tracker.start_attempt(ENGINE, AttemptId("refused"), 5.0)
        self.load_tracker.finish_attempt(ENGINE, AttemptId("refused"), 5.0, succeeded=False)
        self.assertEqual(self.load_tracker.views()[0].mean_service_seconds, mean_seconds)

    def test_attempt_that_finished_before_the_report_arrived(self) -> None:
        self.load_tracker.start_attempt(ENGINE, AttemptId("a"), 1.0)
        self.load_tracker.finish_attempt(ENGINE, AttemptId("a"), 3.0)
        self.report(running=10, received_at=4.0, age=2.0)
        self.assertEqual(estimated_load(self.load_tracker.views()[0]), 9)
        self.report(running=9, received_at=5.0, age=1.0)
        self.assertEqual(estimated_load(self.load_tracker.views()[0]), 9)

    def test_older_reports_are_ignored(self) -> None:
        self.assertTrue(self.report(running=1, received_at=4.0, age=0.0, fence=2))
        self.assertFalse(self.report(running=9, received_at=5.0, age=2.0, fence=2))
        self.assertFalse(self.report(running=9, received_at=6.0, age=0.0, fence=1))
        self.assertEqual(self.load_tracker.views()[0].running, 1)
        self.assertEqual(self.load_tracker.views()[0].weight_version, 2)

    def test_availability_is_reflected_in_the_view(self) -> None:
        cases = {
            RejectionReason.DRAINED: BackendAvailability(is_draining=True),
            RejectionReason.LEAVING: BackendAvailability(is_leaving=True),
            RejectionReason.UNREACHABLE: BackendAvailability(is_reachable=False),
            RejectionReason.CIRCUIT_OPEN: BackendAvailability(circuit_admits=False),
        }
        for reason, availability in cases.items():
            self.load_tracker.set_availability(ENGINE, availability)
            self.assertEqual(self.load_tracker.views()[0].unavailability, reason)
        self.load_tracker.set_availability(ENGINE, BackendAvailability())
        self.assertIsNone(self.load_tracker.views()[0].unavailability)

    def test_own_attempts_balance_load_between_reports(self) -> None:
        """Without the correction, a stale report sends every request to the same engine."""

        def most_loaded(*, counts_own_attempts: bool) -> int:
            load_tracker = LoadTracker()
            for index in range(4):
                load_tracker.set_backend(BackendId(f"e{index}"), {"tier": "gold"}, "z1")
            generator = random.Random(5)
            counts = dict.fromkeys(range(4), 0)
            for number in range(40):
                choice = choose_backend(
                    choice_request(model=None), load_tracker.views(), ChoicePolicy(), generator
                )
                assert choice.chosen is not None
                counts[int(choice.chosen.backend_id[1:])] += 1
                if counts_own_attempts:
                    attempt = AttemptId(str(number))
                    load_tracker.start_attempt(choice.chosen.backend_id, attempt, 0.0)
            return max(counts.values())

        self.assertLessEqual(most_loaded(counts_own_attempts=True), 11)
        self.assertGreater(most_loaded(counts_own_attempts=False), 11)


def stored(sequence: int, prefix_hash: str, version: int = 1) -> CacheEvent:
    return CacheEvent(
        sequence=sequence,
        kind=CacheEventKind.STORED,
        prefix_hash=prefix_hash,
        weight_version=WeightVersion(version),
    )


def evicted(sequence: int, prefix_hash: str) -> CacheEvent:
    return msgspec.structs.replace(stored(sequence, prefix_hash), kind=CacheEventKind.EVICTED)


class PrefixIndexTest(unittest.TestCase):
    def test_hashes_match_those_of_engines(self) -> None:
        """Prefix affinity requires that nodes and engines compute the same hashes."""
        prompt = "x" * (2 * BLOCK_CHARACTERS + 5)
        hashes = affinity_hashes("m", prompt)
        self.assertEqual(hashes, prefix_hashes("m", prompt))
        self.assertEqual(len(hashes), 2)
        self.assertEqual(len(affinity_hashes("m", prompt * 100)), MAX_AFFINITY_BLOCKS)
        self.assertNotEqual(affinity_hashes("other", prompt), hashes)

    def test_affinity_is_the_share_of_the_longest_cached_prefix(self) -> None:
        index = PrefixIndex()
        index.apply_events(ENGINE, [stored(0, "h1"), stored(1, "h2")])
        self.assertEqual(index.affinities(("h1", "h2", "h3", "h4")), {ENGINE: 0.5})
        self.assertEqual(index.affinities(("h1",), WeightVersion(2)), {})
        index.apply_events(ENGINE, [evicted(2, "h2"), stored(1, "h2")])
        self.assertEqual(index.affinities(("h1", "h2", "h3", "h4")), {ENGINE: 0.25})

    def test_a_sequence_gap_clears_the_entries(self) -> None:
        index = PrefixIndex()
        self.assertEqual(index.apply_events(ENGINE, [stored(4, "h1"), stored(5, "h2")]), 0)
        self.assertEqual(index.apply_events(ENGINE, [stored(7, "h3")]), 1)
        self.assertEqual(index.last_sequence(ENGINE), 7)
        self.assertEqual(index.affinities(("h1",)), {})
        self.assertEqual(index.affinities(("h3",)), {ENGINE: 1.0})

    @settings(derandomize=True, max_examples=50, deadline=None)
    @given(st.lists(st.tuples(st.integers(0, 30), st.integers(0, 9), st.booleans())))
    def test_is_bounded(self, entries: list[tuple[int, int, bool]]) -> None:
        index = PrefixIndex(max_entries_per_backend=3)
        for sequence, number, is_stored in entries:
            make_event = stored if is_stored else evicted
            index.apply_events(ENGINE, [make_event(sequence, f"h{number}")])
            index.record_dispatch(ENGINE, (f"h{number + 1}",), WeightVersion(1))
        held = sum(1 for number in range(11) if index.affinities((f"h{number}",)))
        self.assertLessEqual(held, 3)
        index.remove_backend(ENGINE)
        self.assertFalse(any(index.affinities((f"h{number}",)) for number in range(11)))
