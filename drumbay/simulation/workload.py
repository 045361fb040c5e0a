"""Workload of a run: callers, trainers, operators and planned maintenance."""

import asyncio
from collections.abc import Callable, Coroutine
from random import Random
from typing import Any

from drumbay.identifiers import BackendId
from drumbay.simulation.callers import Callers
from drumbay.simulation.cluster import SimulatedCluster
from drumbay.simulation.concurrent_operators import ConcurrentOperators
from drumbay.simulation.deployment import Deployment, initial_resources
from drumbay.simulation.history import History
from drumbay.simulation.load import BurstSchedule, generate_arrivals
from drumbay.simulation.maintenance import Maintenance
from drumbay.simulation.scenario import PoolKind, PoolSection, Scenario
from drumbay.simulation.trainers import SimulatedTrainer


class Workload:
    """Workload of one run.

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
        """Create the workload; ``random_for`` returns the random generator for a purpose."""
        self._scenario = scenario
        self._deployment = deployment
        self._cluster = cluster
        self._history = history
        self._random_for = random_for
        node_ids = cluster.node_ids
        self.operators = ConcurrentOperators(
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
        """Apply the initial resources of the deployment."""
        await self.operators.set_up(initial_resources(self._scenario, self._deployment))

    async def run(self, until_seconds: float, deadline_seconds: float) -> None:
        """Generate load until ``until_seconds`` and wait for it to finish.

        Args:
            until_seconds: Virtual time after which no new work starts.
            deadline_seconds: Virtual time at which unfinished work is cancelled.
        """
        bounded_tasks = [asyncio.ensure_future(work) for work in self._bounded_work(until_seconds)]
        endless_tasks = [
            asyncio.ensure_future(
                self.operators.run_changes(
                    f"operator-{number}", self._scenario.load.change_interval_seconds
                )
            )
            for number in range(self._scenario.load.operators)
        ]
        remaining = deadline_seconds - asyncio.get_running_loop().time()
        await asyncio.wait(bounded_tasks, timeout=remaining, return_when=asyncio.FIRST_EXCEPTION)
        for task in bounded_tasks + endless_tasks:
            task.cancel()
        results = await asyncio.gather(*bounded_tasks, *endless_tasks, return_exceptions=True)
        for result in results:
            if isinstance(result, Exception):
                raise result

    def _bounded_work(self, until_seconds: float) -> list[Coroutine[Any, Any, None]]:
        load = self._scenario.load
        maintenance = Maintenance(self._cluster, self._history, self._random_for("maintenance"))
        backends = tuple(BackendId(plan.backend_id) for plan in self._deployment.workers)
        work = [trainer.run(until_seconds) for trainer in self.trainers]
        work.append(maintenance.restart_nodes(load.stop_interval_seconds, until_seconds))
        work.append(
            maintenance.restart_backends(backends, load.leave_interval_seconds, until_seconds)
        )
        for pool in self._scenario.pools:
            work += self._arrivals(pool, until_seconds)
        return work

    def _arrivals(self, pool: PoolSection, until_seconds: float) -> list[Coroutine[Any, Any, None]]:
        """Return the live traffic of one pool; pools of a kind share the rates equally."""
        load = self._scenario.load
        share = 1.0 / sum(other.kind is pool.kind for other in self._scenario.pools)
        path = f"/{pool.name}"
        callers = self._callers
        actions: dict[str, tuple[float, Callable[[int], Coroutine[Any, Any, None]]]]
        if pool.kind is PoolKind.ENGINE:
            actions = {
                "completion": (
                    load.completions_per_second,
                    lambda number: callers.send_completion(
                        f"{pool.name}-completion-{number}", pool.model, load.completion_tokens
                    ),
                )
            }
        else:
            actions = {
                "lookup": (
                    load.lookups_per_second,
                    lambda number: callers.send_lookup(f"{pool.name}-lookup-{number}", path),
                ),
                "booking": (
                    load.bookings_per_second,
                    lambda number: callers.send_booking(f"{pool.name}-booking-{number}", path),
                ),
            }
        return [
            self._generate_arrivals(f"{pool.name}-{name}", rate * share, until_seconds, send)
            for name, (rate, send) in actions.items()
        ]

    def _generate_arrivals(
        self,
        purpose: str,
        rate_per_second: float,
        until_seconds: float,
        send: Callable[[int], Coroutine[Any, Any, None]],
    ) -> Coroutine[Any, Any, None]:
        random = self._random_for(purpose)
        bursts = BurstSchedule(random, self._scenario.load)
        return generate_arrivals(random, rate_per_second, bursts, until_seconds, send)
