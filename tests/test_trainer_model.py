"""The emulated trainer consumes samples by cursor, publishes versions and restarts."""

import unittest

from drumbay.exceptions import UnavailableError
from drumbay.identifiers import Cursor, SampleId, StreamName, WeightVersion
from drumbay.simulation.simulation_clock import SimulationClock
from drumbay.simulation.virtual_time import run_simulation
from drumbay.standins.execution_log import SampleConsumed, StepFinished, TrainerRestarted
from drumbay.standins.trainer_model import (
    PulledBatch,
    PulledSample,
    TrainerModel,
    TrainerParameters,
)
from drumbay.standins.weight_store_model import WeightStoreModel, WeightStoreParameters


class UnreliableSampleSource:
    """Unlimited sample source with at most three samples per pull; every third pull fails."""

    def __init__(self) -> None:
        self.pulls = 0

    async def pull(
        self,
        stream: StreamName,
        cursor: Cursor,
        max_samples: int,
        oldest_version: WeightVersion,
    ) -> PulledBatch:
        self.pulls += 1
        if self.pulls % 3 == 0:
            raise UnavailableError("switched off")
        end = cursor + min(max_samples, 3)
        samples = tuple(
            PulledSample(
                sample_id=SampleId(f"s{number}"),
                cursor=Cursor(number),
                weight_versions=(oldest_version,),
            )
            for number in range(cursor, end)
        )
        return PulledBatch(samples=samples, next_cursor=Cursor(end))


class WeightStorePublisher:
    """Publishes to an in-process weight store."""

    def __init__(self, store: WeightStoreModel) -> None:
        self._store = store

    async def publish(self, model: str, version: WeightVersion) -> None:
        self._store.publish(model, version)


class TrainerModelTest(unittest.TestCase):
    def make_trainer(self) -> tuple[TrainerModel, WeightStoreModel]:
        clock = SimulationClock()
        store = WeightStoreModel(clock, "store", WeightStoreParameters(version_bytes=1))
        store.publish("m", WeightVersion(1))
        trainer = TrainerModel(
            clock,
            "trainer",
            "m",
            StreamName("m"),
            WeightVersion(1),
            UnreliableSampleSource(),
            WeightStorePublisher(store),
            TrainerParameters(samples_per_step=10, step_seconds=7.0),
        )
        return trainer, store

    def test_each_step_consumes_new_samples_and_publishes_a_version(self) -> None:
        async def scenario() -> None:
            trainer, store = self.make_trainer()
            await trainer.run_steps(3)
            records = trainer.log.records()
            consumed = [r.cursor for r in records if isinstance(r, SampleConsumed)]
            self.assertEqual(consumed, list(range(30)))
            self.assertEqual(store.versions("m"), (1, 2, 3, 4))
            finished = [r for r in records if isinstance(r, StepFinished)]
            self.assertEqual([r.busy_seconds for r in finished], [7.0] * 3)
            self.assertTrue(all(r.idle_seconds > 0.0 for r in finished))

        run_simulation(scenario)

    def test_restart_consumes_samples_after_the_checkpoint_again(self) -> None:
        async def scenario() -> None:
            trainer, store = self.make_trainer()
            await trainer.run_steps(3)
            await trainer.restart_from(trainer.checkpoints[1])
            await trainer.run_steps(1)
            records = trainer.log.records()
            restarted = [r for r in records if isinstance(r, TrainerRestarted)]
            self.assertEqual([(r.step, r.cursor) for r in restarted], [(1, 10)])
            consumed_again = [
                r.cursor for r in records if isinstance(r, SampleConsumed) and r.trainer_run == 2
            ]
            self.assertEqual(consumed_again, list(range(10, 20)))
            self.assertEqual(store.versions("m"), (1, 2, 3, 4, 5, 6))
            self.assertEqual(trainer.oldest_accepted_version, 5)

        run_simulation(scenario)
