"""Tests of the trainer forecast and of the benchmark of policies against the baseline."""

import unittest

from drumbay.bench.rollout import DEPLOYMENTS, run_variant, variants_for
from drumbay.bench.rollout_model import RolloutModelParameters
from drumbay.delivery.exceptions import NothingReadyError
from drumbay.delivery.log_entries import StreamSnapshot
from drumbay.delivery.messages import Ballot
from drumbay.delivery.stream_owner import FixBatch, StreamOwner
from drumbay.identifiers import BootId, Cursor, Fence, WeightVersion
from drumbay.resources.schema import RolloutObjective
from drumbay.rollout.trainer_progress import TrainerProgress
from tests.delivery_cluster import STREAM, finished, prompts


class TrainerProgressTest(unittest.TestCase):
    def test_forecast_follows_steps_of_trainer(self) -> None:
        progress = TrainerProgress(1, 4, WeightVersion(0))
        progress.record_pull(WeightVersion(3), 8, 10.0)
        collecting = progress.forecast(10, (5, 5, 6, 6), 11.0)
        self.assertEqual((collecting.oldest_accepted, collecting.next_oldest_accepted), (3, 3))
        self.assertEqual((collecting.newest_version, collecting.next_version), (4, 4))
        self.assertEqual(collecting.next_step, 5)
        training = progress.forecast(12, (6, 6, 6, 7), 12.0)
        self.assertEqual((training.oldest_accepted, training.next_oldest_accepted), (3, 4))
        self.assertEqual((training.newest_version, training.next_version), (4, 5))
        self.assertEqual((training.next_step, training.next_collection_at), (7, 70.0))
        progress.record_pull(WeightVersion(3), 12, 40.0)
        self.assertEqual(progress.forecast(12, (6,), 40.0).next_oldest_accepted, 3)
        self.assertEqual(training.oldest_accepted_at_collection(9, 0.0), 6)


class OverdueStepTest(unittest.TestCase):
    def test_batch_waits_for_overdue_samples(self) -> None:
        ballot = Ballot(Fence(1), BootId("b"))
        owner = StreamOwner(STREAM, ballot, StreamSnapshot(), max_open_steps=1)
        for step in (0, 1):
            entry = owner.decide_submit(step, prompts(2))
            assert entry is not None
            owner.apply_chosen(entry)
        overdue, *others = [sample.key for sample in owner.missing()]
        for key in others:
            owner.add_sample(finished(key, 1, "engine"))
        with self.assertRaises(NothingReadyError):
            owner.decide_pull(Cursor(0), 4, WeightVersion(1))
        owner.add_sample(finished(overdue, 1, "engine"))
        decision = owner.decide_pull(Cursor(0), 3, WeightVersion(1))
        assert isinstance(decision, FixBatch)
        keys = [sample.key for sample in decision.entry.batch.samples]
        self.assertEqual(keys, [overdue, *others[:2]])


class RolloutBenchTest(unittest.TestCase):
    def test_policies_against_the_baseline(self) -> None:
        for deployment in DEPLOYMENTS:
            parameters = RolloutModelParameters(
                engines=deployment.engines, samples_per_step=128, steps=6, warm_up_steps=2
            )
            variants = {variant.name: variant for variant in variants_for(deployment)}
            baseline = run_variant(parameters, variants["baseline"], 1)
            drumbay = run_variant(parameters, variants["drumbay"], 1)
            self.assertEqual(drumbay, run_variant(parameters, variants["drumbay"], 1))
            self.assertLess(drumbay.idle_share, baseline.idle_share)
            if deployment.objective is RolloutObjective.STALENESS:
                self.assertLess(drumbay.mean_staleness_versions, baseline.mean_staleness_versions)
            self.assertLessEqual(drumbay.max_staleness_versions, parameters.max_staleness_versions)


if __name__ == "__main__":
    unittest.main()
