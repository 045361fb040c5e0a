"""Replay of the steps of several trainers at warm workers, each step with a new owner."""

import unittest
from collections import Counter, defaultdict, deque
from collections.abc import Iterable

import msgspec

from drumbay.batches.slot_contention import RemoteSlotUsage
from drumbay.batches.slot_usage import NoticeNumber
from drumbay.comm.network_address import NetworkAddress
from drumbay.forwarding.routes import RouteTable
from drumbay.identifiers import BackendId
from drumbay.placement.cold_workers import ColdWorkers
from drumbay.placement.start_limits import StartLimits
from drumbay.placement.warm_up import WarmUp, WarmUpTolerance
from drumbay.serving.warm_up import KnownSenders
from tests.test_shared_places import FIRST, W1, job
from tests.test_warm_up import WORKER, addresses

WARM_UP = WarmUp(service="engines", seconds=3.0, requests_per_second=12.0)
TOLERANCE = WarmUpTolerance(factor=1.5, extra_requests=5.0)
LIMIT = 23
WORKERS = [msgspec.structs.replace(WORKER, worker_id=BackendId(f"w{n}")) for n in range(23)]
STEP_SECONDS = 4.0
STEP_ITEMS = 64
JOB_SECONDS = 8.0
"""A step's last items still run when the next two steps begin."""

NOTICE_SECONDS = 0.1
USAGE_NOTICE_SECONDS = 0.6
"""Until others hear that no item waits, if the first notice is lost."""

PLAN_SECONDS = 0.05


class Owner:
    """A node that owns one step, and starts its items as soon as its part allows."""

    def __init__(self, address: NetworkAddress, began_at: float, replay: "Replay") -> None:
        self.address = address
        self.began_at = began_at
        self.waiting = STEP_ITEMS
        self.last_start_at = began_at
        self._replay = replay
        self.known = KnownSenders(address, RouteTable(), created_at=-100.0)
        self.known.connect(
            lambda: (o.address for o in self._known_owners() if self._may_start(o)),
            tuple,
            lambda: False,
        )
        self._limits = StartLimits(
            str(address), lambda: {"engines": WARM_UP}, TOLERANCE, ColdWorkers(), self.known, -100.0
        )

    @property
    def has_begun(self) -> bool:
        """Return whether its step has been submitted."""
        return self.began_at <= self._replay.now

    def _known_owners(self) -> Iterable["Owner"]:
        """Return the owners whose notices have arrived."""
        now = self._replay.now
        return [
            o
            for o in self._replay.owners
            if (o is self and o.has_begun)
            or NOTICE_SECONDS <= now - o.began_at < JOB_SECONDS + NOTICE_SECONDS
        ]

    def _may_start(self, owner: "Owner") -> bool:
        told_at = owner.last_start_at + USAGE_NOTICE_SECONDS
        return owner is self or owner.waiting > 0 or self._replay.now < told_at

    def plan(self) -> None:
        """Start what may start, evenly over the workers."""
        now = self._replay.now
        left = {w.worker_id: int(self._limits.remaining_starts(w, now)) for w in WORKERS}
        for worker in sorted(WORKERS * LIMIT, key=lambda w: self._replay.total[w.worker_id]):
            if self.waiting and left[worker.worker_id]:
                left[worker.worker_id] -= 1
                self.waiting -= 1
                self.last_start_at = now
                self._limits.record_start(worker, now)
                self._replay.record_start(worker.worker_id)


class Replay:
    """Steps of trainers that begin ``offset_seconds`` after each other."""

    def __init__(self, trainers: int, offset_seconds: float) -> None:
        self.now = 0.0
        self.owners: list[Owner] = []
        self.total: Counter[BackendId] = Counter()
        self.peak = 0
        self.longest_wait_seconds = 0.0
        self._recent: defaultdict[BackendId, deque[float]] = defaultdict(deque)
        begins = [
            step * STEP_SECONDS + trainer * offset_seconds
            for step in range(6)
            for trainer in range(trainers)
        ]
        for began_at, address in zip(sorted(begins), addresses(len(begins)), strict=True):
            self.owners.append(Owner(address, began_at, self))
        while any(owner.waiting for owner in self.owners):
            for owner in self.owners:
                # Nodes may look the senders up for other reasons long before they own a step.
                owner.known.senders("engines", self.now)
                if owner.waiting and owner.has_begun:
                    owner.plan()
            self.now += PLAN_SECONDS
        for owner in self.owners:
            waited_seconds = owner.last_start_at - owner.began_at
            self.longest_wait_seconds = max(self.longest_wait_seconds, waited_seconds)

    def record_start(self, worker_id: BackendId) -> None:
        """Count a start at a worker in the second that ends now."""
        self.total[worker_id] += 1
        recent = self._recent[worker_id]
        recent.append(self.now)
        while recent[0] <= self.now - 1.0:
            recent.popleft()
        self.peak = max(self.peak, len(recent))


class IdleOwnerTest(unittest.TestCase):
    def test_an_owner_is_idle_once_it_reports_that_no_item_waits(self) -> None:
        # Its last items run on; one that is not heard of may start some at any moment.
        usage = RemoteSlotUsage()
        for number, (waiting, expected) in enumerate(((0, {FIRST}), (1, set()), (0, {FIRST}))):
            jobs = (job("a", running={W1: 2}), job("b", waiting=waiting))
            usage.update(FIRST, jobs, 0.0, NoticeNumber("boot", number))
            self.assertEqual(usage.idle_owners, expected)
        usage.expire(10.0)
        self.assertEqual(usage.idle_owners, set())


class StepReplayTest(unittest.TestCase):
    def test_items_start_at_once_at_idle_warm_workers(self) -> None:
        # Owners that had ended, or had nothing to start, kept most starts from the current ones.
        for offset_seconds in (0.0, 0.3, 1.0):
            with self.subTest(offset_seconds=offset_seconds):
                replay = Replay(trainers=4, offset_seconds=offset_seconds)
                self.assertLess(replay.longest_wait_seconds, 1.0)

    def test_owners_together_stay_within_the_limit(self) -> None:
        # The workers may have turned cold unannounced. Eight owners are not safe unless counted.
        for trainers, offset_seconds in ((4, 0.0), (4, 0.3), (7, 0.0), (8, 0.15), (8, 0.5)):
            with self.subTest(trainers=trainers, offset_seconds=offset_seconds):
                self.assertLessEqual(Replay(trainers, offset_seconds).peak, LIMIT)


if __name__ == "__main__":
    unittest.main()
