"""Tests of exactly-once delivery; a recording trainer detects each removed safety mechanism."""

import asyncio
import contextlib
import random
import unittest
from collections.abc import Sequence

from drumbay.delivery.acceptor import Acceptor, AcceptorOutcome
from drumbay.delivery.batch import Batch
from drumbay.delivery.exceptions import (
    CursorAheadError,
    CursorTrimmedError,
    DeliveryError,
    EntryTooLargeError,
    NothingReadyError,
    OwnerDeposedError,
    QuorumUnavailableError,
    StepOutOfOrderError,
)
from drumbay.delivery.log_entries import BatchFixed, LogEntry, decode_entry
from drumbay.delivery.messages import StreamAcceptRequest, StreamConfirmRequest, StreamReply
from drumbay.delivery.replica import DeliveryReplica
from drumbay.delivery.replicated_log import OwnedStream, ReplicatedLog
from drumbay.delivery.service import DeliveryService
from drumbay.exceptions import UnavailableError
from drumbay.identifiers import Cursor, Fence, StreamName, WeightVersion
from drumbay.rollout.sample import RolloutPrompt, Sample, SampleKey
from tests.delivery_cluster import (
    STREAM,
    Cluster,
    RecordingTrainer,
    finish_missing,
    finished,
    prompts,
)


class UnfencedAcceptor(Acceptor):
    """Fault: accepts entries from any owner, regardless of its ballot."""

    def accept(self, request: StreamAcceptRequest) -> AcceptorOutcome:
        self.promised = min(self.promised, request.ballot)
        return super().accept(request)

    def confirm(self, request: StreamConfirmRequest) -> AcceptorOutcome:
        self.promised = min(self.promised, request.ballot)
        return super().confirm(request)


class UnfencedReplica(DeliveryReplica):
    """Fault: the replica's acceptors ignore ballots."""

    def _acceptor(self, stream: StreamName) -> Acceptor:
        return self.acceptors.setdefault(stream, UnfencedAcceptor())


class NoMajorityLog(ReplicatedLog):
    """Fault: treats an entry as chosen without a majority."""

    async def propose(self, owned: OwnedStream, entry: LogEntry) -> None:
        try:
            await super().propose(owned, entry)
        except QuorumUnavailableError:
            owned.owner.apply_chosen(entry)


class BatchLosingLog(ReplicatedLog):
    """Fault: a new owner recovers the submitted steps but not the batches."""

    async def reaccept(self, owned: OwnedStream, entries: Sequence[bytes]) -> None:
        remaining = [e for e in entries if not isinstance(decode_entry(e), BatchFixed)]
        await super().reaccept(owned, remaining)


class UnconfirmedLog(ReplicatedLog):
    """Fault: delivers a chosen batch without confirming the ballot."""

    async def confirm(self, owned: OwnedStream) -> None:
        return


class SingleBallotLog(ReplicatedLog):
    """Fault: all recoveries of one owner use the same ballot."""

    async def recover(self, stream: StreamName, fence: Fence) -> OwnedStream:
        self._recovery_count = 0
        return await super().recover(stream, fence)


class BallotOnlyAcceptor(Acceptor):
    """Fault: grants an entry whose ballot equals that of the accepted entry."""

    def accept(self, request: StreamAcceptRequest) -> AcceptorOutcome:
        held = self.accepted.get(request.position)
        if held is not None and held.ballot == request.ballot:
            return AcceptorOutcome(reply=StreamReply(granted=True, promised=self.promised))
        return super().accept(request)


class BallotOnlyReplica(DeliveryReplica):
    """Fault: the replica's acceptors compare ballots but not entries."""

    def _acceptor(self, stream: StreamName) -> Acceptor:
        return self.acceptors.setdefault(stream, BallotOnlyAcceptor())


class NoStalenessCheckService(DeliveryService):
    """Fault: staleness is checked when a batch is composed, not when it is delivered."""

    async def pull(
        self,
        stream: StreamName,
        cursor: Cursor,
        max_samples: int,
        oldest_version: WeightVersion,
        *,
        min_samples: int = 1,
        wait_seconds: float = 0.0,
    ) -> Batch:
        if cursor < self._require_owned(stream).owner.state.next_cursor:
            oldest_version = WeightVersion(0)
        return await super().pull(stream, cursor, max_samples, oldest_version)


class DuplicatingService(DeliveryService):
    """Fault: adds every finished sample, even if it was delivered before."""

    def add_sample(self, stream: StreamName, sample: Sample) -> bool:
        self._require_owned(stream).owner.ready[sample.key] = sample
        return True


class DeliveryFaultTest(unittest.IsolatedAsyncioTestCase):
    async def two_owners(self, replica_type: type[DeliveryReplica]) -> list[str]:
        cluster = Cluster(replica_type)
        trainer = RecordingTrainer()
        first = await cluster.owner_with_step("first", 1)
        second = await cluster.owner_with_step("second", 2)
        finish_missing(first, 1, "first")
        finish_missing(second, 1, "second")
        await trainer.pull(second, 0, 1)
        try:
            await trainer.pull(first, 0, 1)
        except OwnerDeposedError:
            self.assertEqual(first.owned_streams, ())
        return trainer.violations()

    async def test_replaced_owner_cannot_deliver(self) -> None:
        self.assertIn("cursor changed its bytes", await self.two_owners(UnfencedReplica))
        self.assertEqual(await self.two_owners(DeliveryReplica), [])

    async def owner_crash(self, log_type: type[ReplicatedLog], *, cut_replicas: bool) -> list[str]:
        cluster = Cluster()
        trainer = RecordingTrainer()
        first = await cluster.owner_with_step("first", 1, log_type=log_type)
        finish_missing(first, 1, "first")
        cluster.network.unreachable = list(cluster.members[1:]) if cut_replicas else []
        try:
            await trainer.pull(first, 0, 1)
        except QuorumUnavailableError:
            self.assertTrue(cut_replicas)
        cluster.network.unreachable = [cluster.members[0]]
        second = await cluster.owner_with_step("second", 2, log_type=log_type)
        finish_missing(second, 1, "second")
        await trainer.pull(second, 0, 1)
        return trainer.violations()

    async def test_delivery_requires_a_majority(self) -> None:
        faulty = await self.owner_crash(NoMajorityLog, cut_replicas=True)
        self.assertIn("cursor changed its bytes", faulty)
        self.assertEqual(await self.owner_crash(ReplicatedLog, cut_replicas=True), [])

    async def test_repeated_pull_after_owner_crash(self) -> None:
        faulty = await self.owner_crash(BatchLosingLog, cut_replicas=False)
        self.assertIn("cursor changed its bytes", faulty)
        self.assertEqual(await self.owner_crash(ReplicatedLog, cut_replicas=False), [])

    async def frozen_owner(self, log_type: type[ReplicatedLog]) -> list[str]:
        cluster = Cluster()
        trainer = RecordingTrainer()
        frozen = await cluster.owner_with_step("first", 1, log_type=log_type)
        finish_missing(frozen, 1, "first")
        await trainer.pull(frozen, 0, 1)
        second = await cluster.owner_with_step("second", 2)
        self.assertIsNone(await trainer.pull(second, 0, 2))
        try:
            await trainer.pull(frozen, 0, 1)
        except OwnerDeposedError:
            self.assertEqual(frozen.owned_streams, ())
        return trainer.violations()

    async def test_frozen_owner_cannot_deliver_refused_batch(self) -> None:
        self.assertIn("refused batch handed out", await self.frozen_owner(UnconfirmedLog))
        self.assertEqual(await self.frozen_owner(ReplicatedLog), [])

    async def two_recoveries(
        self, replica_type: type[DeliveryReplica], log_type: type[ReplicatedLog]
    ) -> list[str]:
        """The first recovery of an owner fails midway; the second one reads another majority."""
        cluster = Cluster(replica_type)
        trainer = RecordingTrainer()
        first = await cluster.owner_with_step("first", 1)
        finish_missing(first, 1, "first")
        cluster.network.unreachable = list(cluster.members[1:])
        with self.assertRaises(QuorumUnavailableError):
            await trainer.pull(first, 0, 1)
        second = cluster.owner("second", log_type=log_type)
        cluster.network.unreachable = [cluster.members[2]]
        cluster.network.entry_losing = [cluster.members[1]]
        with self.assertRaises(QuorumUnavailableError):
            await second.take_over(STREAM, Fence(2))
        cluster.network.entry_losing = []
        cluster.network.unreachable = [cluster.members[0]]
        await second.take_over(STREAM, Fence(2))
        finish_missing(second, 1, "second")
        cluster.network.unreachable = [cluster.members[2]]
        await trainer.pull(second, 0, 1)
        cluster.network.unreachable = [cluster.members[1]]
        third = await cluster.owner_with_step("third", 3)
        finish_missing(third, 1, "third")
        await trainer.pull(third, 0, 1)
        return trainer.violations()

    async def test_recoveries_of_one_owner_use_different_ballots(self) -> None:
        faulty = await self.two_recoveries(BallotOnlyReplica, SingleBallotLog)
        self.assertIn("cursor changed its bytes", faulty)
        self.assertEqual(await self.two_recoveries(DeliveryReplica, ReplicatedLog), [])

    async def raise_oldest_accepted_version(
        self, service_type: type[DeliveryService]
    ) -> RecordingTrainer:
        cluster = Cluster()
        trainer = RecordingTrainer()
        owner = await cluster.owner_with_step("first", 1, service_type)
        finish_missing(owner, 1, "old weights")
        await trainer.pull(owner, 0, 1)
        await trainer.pull(owner, 0, 2)
        finish_missing(owner, 2, "new weights")
        with contextlib.suppress(NothingReadyError):
            for cursor in (1, 2):
                await trainer.pull(owner, cursor, 2)
        return trainer

    async def test_staleness_is_checked_at_delivery(self) -> None:
        faulty = await self.raise_oldest_accepted_version(NoStalenessCheckService)
        self.assertIn("tokens older than accepted", faulty.violations())
        correct = await self.raise_oldest_accepted_version(DeliveryService)
        self.assertEqual(correct.violations(), [])
        batches = [entry.batch for entry in correct.log if entry.batch and entry.accepted == 2]
        keys = [sample.key for batch in batches for sample in batch.samples]
        rerolled = [SampleKey(0, 0, 1), SampleKey(0, 1, 1), SampleKey(0, 2), SampleKey(0, 3)]
        self.assertEqual(keys, rerolled)

    async def repeated_rollouts(self, service_type: type[DeliveryService]) -> list[str]:
        cluster = Cluster()
        trainer = RecordingTrainer()
        owner = await cluster.owner_with_step("first", 1, service_type)
        finish_missing(owner, 1, "first")
        await trainer.pull(owner, 0, 1)
        # The trainer restarts from a checkpoint before step 0, and a retried rollout finishes late.
        await owner.submit_step(STREAM, 0, prompts(4))
        owner.add_sample(STREAM, finished(SampleKey(0, 0), 1, "retried"))
        await trainer.pull(owner, 0, 1)
        await trainer.pull(owner, 1, 1)
        return trainer.violations()

    async def test_duplicate_samples_are_dropped(self) -> None:
        faulty = await self.repeated_rollouts(DuplicatingService)
        self.assertIn("sample delivered twice", faulty)
        self.assertEqual(await self.repeated_rollouts(DeliveryService), [])


class DeliveryTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        # The debug mode records a stack per callback, which makes random histories slow.
        asyncio.get_running_loop().set_debug(False)

    async def test_log_survives_restart_of_all_replicas_and_trims(self) -> None:
        cluster = Cluster()
        trainer = RecordingTrainer()
        owner = await cluster.owner_with_step("first", 1)
        for step in range(1, 10):
            await owner.submit_step(STREAM, step, prompts(4))
        finish_missing(owner, 1, "first")
        for cursor in range(16):
            await trainer.pull(owner, cursor, 1)
        bytes_before = cluster.replicas[0].acceptors[STREAM].retained_bytes
        await owner.trim_to_checkpoint(STREAM, Cursor(16))
        await cluster.clock.sleep(1)
        self.assertLess(cluster.replicas[0].acceptors[STREAM].retained_bytes, bytes_before)
        cluster.replicas = [cluster.start_replica(index) for index in range(3)]
        second = cluster.owner("second")
        await second.take_over(STREAM, Fence(2))
        self.assertEqual(len(second.missing(STREAM)), 8)
        finish_missing(second, 1, "second")
        for cursor in range(8, 20):
            await trainer.pull(second, cursor, 1)
        with self.assertRaises(CursorTrimmedError):
            await trainer.pull(second, 7, 1)
        self.assertEqual(trainer.violations(), [])
        keys = [s.key for entry in trainer.log if entry.batch for s in entry.batch.samples]
        self.assertEqual(len(set(keys)), 40)

    async def test_invalid_requests_raise_specific_errors(self) -> None:
        cluster = Cluster()
        trainer = RecordingTrainer()
        owner = await cluster.owner_with_step("first", 1)
        with self.assertRaises(NothingReadyError):
            await trainer.pull(owner, 0, 1)
        with self.assertRaises(CursorAheadError):
            await trainer.pull(owner, 1, 1)
        with self.assertRaises(StepOutOfOrderError):
            await owner.submit_step(STREAM, 5, prompts(1))
        large = RolloutPrompt(text="x" * 4_000_000, group="g", max_tokens=1)
        with self.assertRaises(EntryTooLargeError):
            await owner.submit_step(STREAM, 1, [large])
        await owner.submit_step(STREAM, 1, prompts(1))

    async def test_replica_set_change_copies_log_and_snapshot_to_new_member(self) -> None:
        cluster = Cluster()
        trainer = RecordingTrainer()
        owner = await cluster.owner_with_step("first", 1)
        for step in range(1, 10):
            await owner.submit_step(STREAM, step, prompts(4))
        finish_missing(owner, 1, "first")
        for cursor in range(12):
            await trainer.pull(owner, cursor, 1)
        await owner.trim_to_checkpoint(STREAM, Cursor(12))
        cluster.replace_replica(2)
        await trainer.pull(owner, 12, 1)
        await cluster.clock.sleep(1)
        cluster.network.unreachable = [cluster.members[0]]
        second = cluster.owner("second")
        await second.take_over(STREAM, Fence(2))
        finish_missing(second, 1, "second")
        for cursor in range(4, 20):
            await trainer.pull(second, cursor, 1)
        self.assertEqual(trainer.violations(), [])
        keys = [s.key for entry in trainer.log if entry.batch for s in entry.batch.samples]
        self.assertEqual(len(set(keys)), 40)

    async def test_lost_replies_do_not_change_the_batch(self) -> None:
        cluster = Cluster()
        trainer = RecordingTrainer()
        owner = await cluster.owner_with_step("first", 1)
        finish_missing(owner, 1, "first")
        cluster.network.reply_losing = list(cluster.members[1:])
        with self.assertRaises(QuorumUnavailableError):
            await trainer.pull(owner, 0, 1, max_samples=1)
        cluster.network.reply_losing = []
        batch = await trainer.pull(owner, 0, 1, max_samples=4)
        self.assertEqual(len(batch.samples) if batch else 0, 1)

    async def test_random_histories(self) -> None:
        seeds = range(40)
        faulty = [await self.run_history(random.Random(seed), UnfencedReplica) for seed in seeds]
        self.assertTrue(any(faulty))
        for seed in seeds:
            with self.subTest(seed=seed):
                self.assertEqual(await self.run_history(random.Random(seed), DeliveryReplica), [])

    async def run_history(
        self, generator: random.Random, replica_type: type[DeliveryReplica]
    ) -> list[str]:
        cluster = Cluster(replica_type)
        trainer = RecordingTrainer()
        owners = [await cluster.owner_with_step("boot-0", 1)]
        cursor, accepted, step = 0, 0, 1
        for action in range(60):
            cluster.network.unreachable = [a for a in cluster.members if generator.random() < 0.15]
            cluster.network.reply_losing = [a for a in cluster.members if generator.random() < 0.1]
            owner = generator.choice(owners[-3:])
            choice = generator.random()
            try:
                if choice < 0.15:
                    owners.append(cluster.owner(f"boot-{action}"))
                    await owners[-1].take_over(STREAM, Fence(len(owners)))
                elif choice < 0.3:
                    await owner.submit_step(STREAM, step, prompts(4))
                    step += 1
                elif choice < 0.5:
                    finish_missing(owner, generator.randint(accepted, accepted + 1), str(action))
                elif choice < 0.6:
                    cursor = max(0, cursor - generator.randint(0, 3))
                elif choice < 0.65:
                    accepted += 1
                elif choice < 0.7:
                    index = generator.randrange(3)
                    cluster.replicas[index] = cluster.start_replica(index)
                else:
                    await trainer.pull(owner, cursor, accepted)
                    cursor += 1
            except (DeliveryError, UnavailableError):
                continue
        return trainer.violations()


if __name__ == "__main__":
    unittest.main()
