"""The decision store returns its records unchanged and keeps within its limits."""

import unittest

from drumbay.explain.records import (
    CandidateVerdict,
    DecisionRecord,
    RejectionReason,
    SubjectKind,
)
from drumbay.explain.store import DecisionStore
from drumbay.identifiers import BackendId, NodeId, Revision, WeightVersion


def make_record(subject: str, event: str = "dispatched", candidates: int = 3) -> DecisionRecord:
    verdicts = tuple(
        CandidateVerdict(
            backend_id=BackendId(f"engine-{number}"),
            rejection=RejectionReason.NOT_SAMPLED if number else None,
            cost=0.5,
            weight_version=WeightVersion(4),
            outstanding=number,
        )
        for number in range(candidates)
    )
    return DecisionRecord(
        subject_kind=SubjectKind.REQUEST,
        subject_id=subject,
        event=event,
        node_id=NodeId("node"),
        wall_time_seconds=1.5,
        configuration_revision=Revision(7),
        detail="route live",
        candidates=verdicts,
    )


class DecisionStoreTest(unittest.TestCase):
    def test_records_are_returned_unchanged(self) -> None:
        store = DecisionStore()
        records = (make_record("r"), make_record("r", "answered", candidates=0))
        for record in records:
            store.add(record)
        self.assertEqual(store.find(SubjectKind.REQUEST, "r"), records)
        self.assertEqual(store.find(SubjectKind.SAMPLE, "r"), ())

    def test_size_is_limited_and_newest_subjects_are_kept(self) -> None:
        store = DecisionStore(max_bytes=20_000)
        for number in range(300):
            store.add(make_record(f"r{number}", candidates=50))
            self.assertLessEqual(store.size_bytes, 20_000)
        self.assertEqual(store.find(SubjectKind.REQUEST, "r0"), ())
        self.assertEqual(len(store.find(SubjectKind.REQUEST, "r299")), 1)

    def test_number_of_subjects_and_records_is_limited(self) -> None:
        store = DecisionStore(max_subjects=2, max_records_per_subject=2)
        for event in ("a", "b", "c"):
            store.add(make_record("r1", event))
        self.assertEqual([r.event for r in store.find(SubjectKind.REQUEST, "r1")], ["b", "c"])
        for subject in ("r2", "r3"):
            store.add(make_record(subject))
        self.assertEqual(store.find(SubjectKind.REQUEST, "r1"), ())
        store.add(make_record("r4"))
        kept = [make_record("r3"), make_record("r4")]
        self.assertEqual(store.size_bytes, DecisionStoreTest.bytes_of(kept))

    @staticmethod
    def bytes_of(records: list[DecisionRecord]) -> int:
        store = DecisionStore()
        for record in records:
            store.add(record)
        return store.size_bytes
