"""The pure parts of the claims: votes, records, epochs and replacement."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from drumbay.claims.acceptor import Acceptor
from drumbay.claims.claimant import (
    AwaitReplies,
    Claimant,
    ClaimantDecision,
    ClaimResult,
    DispatchPermitted,
    GaveUp,
    RepairMember,
)
from drumbay.claims.exceptions import WrongEpochError, WrongStoreError
from drumbay.claims.messages import (
    ActivateReplica,
    ClaimAlreadyAnswered,
    ClaimGranted,
    ClaimHeld,
    ClaimKey,
    ClaimRejected,
    ClaimRejection,
    ExportRecords,
    RecordsExported,
    SealReplica,
)
from drumbay.claims.record_table import ClaimVote, RecordTable, TableLimits
from drumbay.claims.records import AnsweredClaim, Claim, KeyRecord, StoredAnswer, merge_records
from drumbay.claims.replacement import ReplacementPlanner, ReplacementPolicy
from drumbay.claims.replica_set import (
    ReplicaMember,
    ReplicaSet,
    ReplicaSetError,
    ReplicaSetPhase,
    begin_change,
    complete_change,
    decode_replica_set,
    encode_replica_set,
)
from drumbay.comm.interface import Address, Message
from drumbay.identifiers import AttemptId, BootId, Epoch, IdempotencyKey, NodeId
from drumbay.storage.interface import StoreId

KEY = IdempotencyKey("key")


def claim(attempt: str, digest: bytes = b"digest") -> Claim:
    return Claim(
        attempt_id=AttemptId(attempt),
        node_id=NodeId("n"),
        boot_id=BootId("b"),
        digest=digest,
        claimed_at_seconds=0.0,
    )


def answered(attempt: str, body: bytes = b"yes", digest: bytes = b"digest") -> AnsweredClaim:
    answer = StoredAnswer(status=200, content_type="text/plain", body=body)
    return AnsweredClaim(attempt_id=AttemptId(attempt), digest=digest, answer=answer)


def member(number: int, store: str = "", zone: str = "") -> ReplicaMember:
    return ReplicaMember(
        node_id=NodeId(f"d{number}"),
        store_id=StoreId(store or f"s{number}"),
        address=Address("10.0.0.1", number),
        zone=zone,
    )


def replica_set(*members: ReplicaMember) -> ReplicaSet:
    return ReplicaSet(epoch=Epoch(1), members=members, phase=ReplicaSetPhase.ACTIVE)


class ClaimantTest(unittest.TestCase):
    def decide(self, *replies: Message | None, members: int = 3) -> ClaimantDecision:
        """Return the decision after these replies of d1, d2 and so on."""
        numbers = range(1, members + 1)
        claimant = Claimant(claim("mine"), replica_set(*(member(each) for each in numbers)))
        decision: ClaimantDecision = AwaitReplies()
        for number, reply in enumerate(replies, start=1):
            node_id = NodeId(f"d{number}")
            if reply is None:
                decision = claimant.on_failure(node_id)
            else:
                decision = claimant.on_reply(node_id, reply)
        return decision

    def assert_gave_up(self, decision: ClaimantDecision, result: ClaimResult) -> None:
        assert isinstance(decision, GaveUp)
        self.assertIs(decision.result, result)

    def test_majority_permits_dispatch(self) -> None:
        self.assertIsInstance(self.decide(ClaimGranted()), AwaitReplies)
        self.assertIsInstance(self.decide(ClaimGranted(), ClaimGranted()), DispatchPermitted)

    def test_holder_with_a_majority_is_in_progress(self) -> None:
        held = ClaimHeld(holders=(claim("other"),))
        self.assert_gave_up(self.decide(held, held), ClaimResult.IN_PROGRESS)

    def test_split_vote_is_not_run(self) -> None:
        first, second = (ClaimHeld(holders=(claim(name),)) for name in ("a", "b"))
        self.assertIsInstance(self.decide(first, second), AwaitReplies)
        decision = self.decide(first, second, ClaimGranted())
        self.assert_gave_up(decision, ClaimResult.NOT_RUN)

    def test_holder_that_could_have_a_majority_is_in_progress(self) -> None:
        held = ClaimHeld(holders=(claim("other"),))
        decision = self.decide(held, None, ClaimGranted())
        self.assert_gave_up(decision, ClaimResult.IN_PROGRESS)

    def test_too_few_voters_are_unresolved(self) -> None:
        lost = ClaimRejected(reason=ClaimRejection.WRONG_STORE, active_epoch=Epoch(0))
        decision = self.decide(ClaimGranted(), lost, None)
        self.assert_gave_up(decision, ClaimResult.UNRESOLVED)

    def test_stale_view_is_reported(self) -> None:
        sealed = ClaimRejected(reason=ClaimRejection.SEALED, active_epoch=Epoch(1))
        self.assertIsInstance(self.decide(sealed, sealed), AwaitReplies)
        decision = self.decide(sealed, sealed, None)
        assert isinstance(decision, GaveUp)
        self.assertTrue(decision.view_is_stale)

    def test_answer_is_replayed_and_other_digest_conflicts(self) -> None:
        replay = ClaimAlreadyAnswered(answered=answered("other"))
        self.assert_gave_up(self.decide(ClaimGranted(), replay), ClaimResult.ANSWERED)
        conflict = ClaimAlreadyAnswered(answered=answered("other", digest=b"another"))
        self.assert_gave_up(self.decide(conflict), ClaimResult.CONFLICT)
        held = ClaimHeld(holders=(claim("other", b"another"),))
        self.assert_gave_up(self.decide(held, held), ClaimResult.CONFLICT)

    def test_replica_that_missed_a_release_is_repaired(self) -> None:
        held = ClaimHeld(holders=(claim("gone"),))
        knows = ClaimGranted(released=(AttemptId("gone"),))
        decision = self.decide(held, knows)
        self.assertEqual(
            decision, RepairMember(node_id=NodeId("d1"), attempt_ids=(AttemptId("gone"),))
        )


attempts = st.sampled_from("abcd").map(AttemptId)
records = st.builds(
    KeyRecord,
    key=st.just(KEY),
    updated_at_seconds=st.floats(0, 9),
    holders=st.frozensets(attempts).map(lambda names: tuple(map(claim, sorted(names)))),
    released=st.frozensets(attempts).map(lambda names: tuple(sorted(names))),
    answered=st.sampled_from((None, answered("e"))),
).map(lambda record: merge_records(record, record))


class RecordTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=300)
    @given(records, records, records)
    def test_merge_is_a_union(self, first: KeyRecord, second: KeyRecord, third: KeyRecord) -> None:
        merged = merge_records(first, second)
        self.assertEqual(merged, merge_records(second, first))
        self.assertEqual(merged, merge_records(merged, second))
        self.assertEqual(
            merge_records(merged, third), merge_records(first, merge_records(second, third))
        )
        if merged.answered is None:
            held = {each.attempt_id for each in first.holders + second.holders}
            kept = {each.attempt_id for each in merged.holders}
            self.assertEqual(kept, held - set(merged.released))

    def test_released_attempt_is_never_granted(self) -> None:
        table = RecordTable(TableLimits())
        table.release(KEY, (AttemptId("a"),), 0.0)
        self.assertIs(table.claim(KEY, claim("a"), 0.0).vote, ClaimVote.RELEASED)
        self.assertIs(table.claim(KEY, claim("b"), 0.0).vote, ClaimVote.GRANTED)
        self.assertIs(table.claim(KEY, claim("c"), 0.0).vote, ClaimVote.HELD)

    def test_expired_records_are_removed_after_retention(self) -> None:
        table = RecordTable(TableLimits(retention_seconds=10.0))
        table.claim(KEY, claim("a"), 0.0)
        self.assertIs(table.claim(KEY, claim("b"), 10.0).vote, ClaimVote.HELD)
        self.assertEqual(table.expire(11.5), 1)
        self.assertEqual((len(table), table.size_bytes), (0, 0))

    def test_full_table_refuses_new_keys_and_keeps_old_ones(self) -> None:
        table = RecordTable(TableLimits(max_records=1))
        table.claim(KEY, claim("a"), 0.0)
        other = IdempotencyKey("other")
        self.assertIs(table.claim(other, claim("b"), 0.0).vote, ClaimVote.FULL)
        self.assertIsNone(table.release(other, (AttemptId("b"),), 0.0))
        self.assertIs(table.claim(KEY, claim("a"), 0.0).vote, ClaimVote.GRANTED)

    def test_large_answer_is_recorded_without_its_body(self) -> None:
        table = RecordTable(TableLimits(max_answer_bytes=3))
        table.store_answer(KEY, answered("a", b"large"), 0.0)
        record = table.claim(KEY, claim("b"), 0.0).record
        self.assertEqual(
            record.answered, AnsweredClaim(attempt_id=AttemptId("a"), digest=b"digest", answer=None)
        )


class AcceptorTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store_id = StoreId("s")
        self.acceptor = Acceptor(self.store_id, TableLimits())
        self.activate(1)

    def activate(self, epoch: int) -> None:
        self.acceptor.activate(ActivateReplica(store_id=self.store_id, epoch=Epoch(epoch)))

    def seal(self, epoch: int) -> None:
        self.acceptor.seal(SealReplica(store_id=self.store_id, epoch=Epoch(epoch)))

    def claim(self, epoch: int, store: str = "s") -> Message:
        request = ClaimKey(store_id=StoreId(store), epoch=Epoch(epoch), key=KEY, claim=claim("a"))
        return self.acceptor.claim(request, 0.0).reply

    def export(self, epoch: int) -> RecordsExported:
        request = ExportRecords(
            store_id=self.store_id, epoch=Epoch(epoch), after_key=IdempotencyKey("")
        )
        reply = self.acceptor.export(request, 5.0).reply
        assert isinstance(reply, RecordsExported)
        return reply

    def rejection(self, reply: Message) -> ClaimRejection:
        assert isinstance(reply, ClaimRejected)
        return reply.reason

    def test_only_the_active_unsealed_epoch_grants(self) -> None:
        self.assertIsInstance(self.claim(1), ClaimGranted)
        self.assertIs(self.rejection(self.claim(2)), ClaimRejection.WRONG_EPOCH)
        self.assertIs(self.rejection(self.claim(1, "other")), ClaimRejection.WRONG_STORE)
        with self.assertRaises(WrongEpochError):
            self.export(1)
        self.seal(1)
        self.assertIs(self.rejection(self.claim(1)), ClaimRejection.SEALED)
        (record,) = self.export(1).records
        self.assertEqual(record.updated_at_seconds, -5.0)
        self.activate(2)
        self.assertIs(self.rejection(self.claim(1)), ClaimRejection.WRONG_EPOCH)
        self.assertIsInstance(self.claim(2), ClaimGranted)

    def test_activated_replica_counts_as_sealed_in_earlier_epochs(self) -> None:
        """A change interrupted between two activations can be resumed."""
        self.activate(2)
        self.seal(1)
        self.assertTrue(self.export(1).complete)
        self.assertIsInstance(self.claim(2), ClaimGranted)

    def test_epochs_never_decrease(self) -> None:
        self.activate(3)
        with self.assertRaises(WrongEpochError):
            self.activate(2)
        with self.assertRaises(WrongEpochError):
            self.seal(4)
        with self.assertRaises(WrongStoreError):
            self.acceptor.seal(SealReplica(store_id=StoreId("other"), epoch=Epoch(3)))

    def test_state_is_restored_from_snapshot(self) -> None:
        self.claim(1)
        self.seal(1)
        copy = Acceptor(self.store_id, TableLimits())
        for row in self.acceptor.snapshot_rows():
            copy.load_row(row)
        self.assertEqual(copy.snapshot_rows(), self.acceptor.snapshot_rows())
        self.assertTrue(copy.epochs.sealed)


class ReplicaSetTest(unittest.TestCase):
    def test_transitions(self) -> None:
        first = begin_change(None, (member(1),))
        active = complete_change(decode_replica_set(encode_replica_set(first)))
        self.assertEqual((active.epoch, active.members, active.majority), (1, (member(1),), 1))
        with self.assertRaises(ReplicaSetError):
            complete_change(active)
        with self.assertRaises(ReplicaSetError):
            begin_change(active, (member(1), member(1, "other")))
        with self.assertRaises(ReplicaSetError):
            decode_replica_set(b"{}")


class ReplacementTest(unittest.TestCase):
    def setUp(self) -> None:
        self.planner = ReplacementPlanner(ReplacementPolicy(replace_after_seconds=30.0))
        self.current = replica_set(member(1), member(2), member(3))

    def plan(self, now: float, *present: ReplicaMember) -> tuple[ReplicaMember, ...] | None:
        return self.planner.plan(self.current, present, now)

    def test_absent_member_is_replaced_after_the_delay(self) -> None:
        present = (member(1), member(2), member(4))
        self.assertIsNone(self.plan(0.0, *present))
        self.assertIsNone(self.plan(29.0, *present))
        self.assertEqual(self.plan(30.0, *present), present)

    def test_returning_member_resets_its_absence(self) -> None:
        present = (member(1), member(2), member(4))
        self.plan(0.0, *present)
        self.plan(20.0, member(1), member(2), member(3), member(4))
        self.assertIsNone(self.plan(40.0, *present))

    def test_lost_disk_is_replaced_immediately(self) -> None:
        renewed = member(3, "new")
        self.assertEqual(
            self.plan(0.0, member(1), member(2), renewed), (member(1), member(2), renewed)
        )

    def test_nothing_changes_without_a_majority_or_a_replacement(self) -> None:
        self.assertIsNone(self.plan(0.0, member(1), member(4), member(5)))
        self.assertIsNone(self.plan(99.0, member(1), member(4), member(5)))
        self.assertIsNone(self.plan(99.0, member(1), member(2)))

    def test_first_set_spreads_over_zones(self) -> None:
        stores = [member(number, zone=zone) for number, zone in enumerate("aabc", start=1)]
        planner = ReplacementPlanner(ReplacementPolicy())
        target = planner.plan(None, tuple(stores), 0.0)
        assert target is not None
        self.assertEqual([each.zone for each in target], ["a", "b", "c"])

    def test_lost_target_member_is_replaced(self) -> None:
        self.current = begin_change(self.current, (member(1), member(2), member(4)))
        present = (member(1), member(2), member(3), member(5))
        self.assertIsNone(self.plan(0.0, *present))
        self.assertEqual(self.plan(30.0, *present), (member(1), member(2), member(3)))
