"""Everything that happens in a run besides faults: callers, trainers, operators, upkeep."""

import asyncio
from collections.abc import Callable, Coroutine
from random import Random
from typing import Any

from drumbay.identifiers import BackendId
from drumbay.simulation.callers import Callers
from drumbay.simulation.cluster import SimulatedCluster
from drumbay.simulation.deployment import Deployment, initial_resources
from drumbay.simulation.history import History
from drumbay.simulation.load import BurstClock, generate_arrivals
from drumbay.simulation.maintenance import Maintenance
from drumbay.simulation.racing_operators import RacingOperators
from drumbay.simulation.scenario import PoolKind, PoolSection, Scenario
from drumbay.simulation.trainers import SimulatedTrainer


class Workload:
    """The load of one run.

    Attributes:
        operators: The operators.
        trainers: The trainers.
    """

    def __init__(
        self,
        scenario: Scenario,
        deployment: Deployment,
        cluster: SimulatedCluster,
        history: History,
        random_for: Callable[[str], Random],
    ) -> None:
        """Create the load; ``random_for`` gives the source of chance for a purpose."""
        self._scenario = scenario
        self._deployment = deployment
        self._cluster = cluster
        self._history = history
        self._random_for = random_for
        node_ids = cluster.node_ids
        self.operators = RacingOperators(
            cluster.gateway, history, random_for("operators"), node_ids
        )
        self._callers = Callers(
            cluster.gateway,
            history,
            random_for("callers"),
            node_ids,
            scenario.load.retry_probability,
        )
        self.trainers = [
            SimulatedTrainer(
                section,
                cluster.gateway,
                history,
                random_for(f"trainer-{section.stream}"),
                node_ids,
                cluster.platform.weight_store,
            )
            for section in scenario.trainers
        ]

    async def set_up(self) -> None:
        """Apply the resources of the deployment."""
        await self.operators.set_up(initial_resources(self._scenario, self._deployment))

    async def run(self, until_seconds: float, limit_seconds: float) -> None:
        """Work until ``until_seconds`` and finish what was begun.

        Args:
            until_seconds: Virtual time at which nothing new is begun.
            limit_seconds: Virtual time at which what is unfinished is given up.
        """
        finite = [asyncio.ensure_future(work) for work in self._finite_work(until_seconds)]
        endless = [
            asyncio.ensure_future(
                self.operators.change_forever(
                    f"operator-{number}", self._scenario.load.change_interval_seconds
                )
            )
            for number in range(self._scenario.load.operators)
        ]
        remaining = limit_seconds - asyncio.get_running_loop().time()
        await asyncio.wait(finite, timeout=remaining, return_when=asyncio.FIRST_EXCEPTION)
        for task in finite + endless:
            task.cancel()
        results = await asyncio.gather(*finite, *endless, return_exceptions=True)
        for result in results:
            if isinstance(result, Exception):
                raise result

    def _finite_work(self, until_seconds: float) -> list[Coroutine[Any, Any, None]]:
        load = self._scenario.load
        maintenance = Maintenance(self._cluster, self._history, self._random_for("maintenance"))
        backends = tuple(BackendId(plan.backend_id) for plan in self._deployment.workers)
        work = [trainer.run(until_seconds) for trainer in self.trainers]
        work.append(maintenance.stop_nodes(load.stop_interval_seconds, until_seconds))
        work.append(
            maintenance.retire_backends(backends, load.leave_interval_seconds, until_seconds)
        )
        for pool in self._scenario.pools:
            work += self._arrivals(pool, until_seconds)
        return work

    def _arrivals(self, pool: PoolSection, until_seconds: float) -> list[Coroutine[Any, Any, None]]:
        """Return the live traffic of one pool; the rates are shared among pools of a kind."""
        load = self._scenario.load
        share = 1.0 / sum(other.kind is pool.kind for other in self._scenario.pools)
        path = f"/{pool.name}"
        callers = self._callers
        actions: dict[str, tuple[float, Callable[[int], Coroutine[Any, Any, None]]]]
        if pool.kind is PoolKind.ENGINE:
            actions = {
                "completion": (
                    load.completions_per_second,
                    lambda number: callers.complete(
                        f"{pool.name}-completion-{number}", pool.model, load.completion_tokens
                    ),
                )
            }
        else:
            actions = {
                "lookup": (
                    load.lookups_per_second,
                    lambda number: callers.look_up(f"{pool.name}-lookup-{number}", path),
                ),
                "booking": (
                    load.bookings_per_second,
                    lambda number: callers.book(f"{pool.name}-booking-{number}", path),
                ),
            }
        return [
            self._arrivals_of(f"{pool.name}-{name}", rate * share, until_seconds, act)
            for name, (rate, act) in actions.items()
        ]

    def _arrivals_of(
        self,
        purpose: str,
        rate_per_second: float,
        until_seconds: float,
        act: Callable[[int], Coroutine[Any, Any, None]],
    ) -> Coroutine[Any, Any, None]:
        random = self._random_for(purpose)
        bursts = BurstClock(random, self._scenario.load)
        return generate_arrivals(random, rate_per_second, bursts, until_seconds, act)
