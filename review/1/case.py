"""Case 1: a batch job's route moves to another service, and its waiting items never start."""

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import (
    CONTACT_SECONDS,
    MODEL,
    Deployment,
    Record,
    Store,
    Trainer,
    Worker,
    configuration,
    has_trouble,
    item,
    main,
)

OLD_SERVICE = "engines"
NEW_SERVICE = "engines-b"
GROUPS = 6
GROUP_SIZE = 4
DESIRED = 6
SLOTS = 4
STEP_SECONDS = 12.0
CHANGE_SECONDS = 1.0
"""Time from the submission to the operator's change."""

STEADY_AFTER_SECONDS = 3.0
"""Time from the change on that is not counted: `configMs` and a second more."""

AT_NO_WORKER_SECONDS = 5.0


def make_worker(name: str, store: Store, record: Record) -> Worker:
    """Return a worker whose texts take two seconds; the first two are of the old service."""
    service = OLD_SERVICE if name in ("w0", "w1") else NEW_SERVICE
    return Worker(
        name, store, record, slots=SLOTS, events=40, seconds_per_event=0.05, service=service
    )


class Case:
    """One step of a trainer, while the operator moves its route to another service."""

    def __init__(self, record: Record) -> None:
        """Create three nodes and two services of two workers each."""
        self.record = record
        self.deployment = Deployment(record, nodes=3, workers=4, make_worker=make_worker)
        self.trainer = Trainer(self.deployment)
        self.changed_at = 0.0
        self.broken = False

    def write_configuration(self, version: int, service: str, services: tuple[str, ...]) -> None:
        """Write a version, as the operator does."""
        value = configuration(version, None, service, services)
        self.deployment.store.put("op/config", json.dumps(value).encode())
        self.record.add(
            f"version {version} is acknowledged: drafts go to {service};"
            f" services: {', '.join(services)}"
        )

    async def run(self) -> int:
        """Play the step; return the exit code."""
        try:
            self.write_configuration(1, OLD_SERVICE, (OLD_SERVICE, NEW_SERVICE))
            await self.deployment.start()
            await asyncio.sleep(CONTACT_SECONDS)
            if not await self.step():
                return 2
        finally:
            await self.deployment.close()
        return 1 if self.broken else 0

    async def change(self) -> None:
        """Move the route to the new service, and name the old one no more."""
        await asyncio.sleep(CHANGE_SECONDS)
        if has_trouble():
            self.write_configuration(2, NEW_SERVICE, (NEW_SERVICE,))
            self.changed_at = self.record.now()

    async def step(self) -> bool:
        """Play the step; return whether it could be played."""
        items = {f"g{group}-{place}": f"g{group}" for group in range(GROUPS) for place in range(4)}
        body = {
            "trainStep": 0,
            "model": MODEL,
            "minVer": 1,
            "desired": DESIRED,
            "requests": [item(name, group, "316,40") for name, group in items.items()],
        }
        began_at = self.record.now()
        if not await self.trainer.submit("step-0", body):
            return False
        change = asyncio.ensure_future(self.change())
        listed: set[str] = set()
        while len(listed) < len(items) and self.record.now() < began_at + STEP_SECONDS:
            status, page = await self.trainer.read("step-0", len(listed))
            if status == 200:
                listed |= {result["id"] for result in page["results"]}
            await asyncio.sleep(0.4)
        await change
        self.record.add(f"{len(listed)} of {len(items)} items are listed")
        if len(listed) < len(items):
            self.judge([name for name in items if name not in listed], began_at)
        return await self.trainer.end("step-0")

    def judge(self, unlisted: list[str], began_at: float) -> None:
        """Apply the rule to the items that are missing as the step runs out of time."""
        now = self.record.now()
        workers = self.deployment.workers
        running = sum(len(worker.running) for worker in workers)
        places = SLOTS * len(workers)
        begun = {entry[1] for worker in workers for entry in worker.log} - set(unlisted)
        self.record.add(
            f"the step has run out of time; {running} of {places} places of workers are taken;"
            f" {len(begun)} others had begun; no version was named"
        )
        for name in unlisted:
            entries = [entry for worker in workers for entry in worker.log if entry[1] == name]
            is_running = any(name in worker.running for worker in workers)
            if is_running or any(entry[2] == "ends whole" for entry in entries):
                continue
            left_at = max((entry[0] for entry in entries), default=began_at)
            seconds = now - max(left_at, self.changed_at + STEADY_AFTER_SECONDS)
            self.record.add(
                f"item {name}: at no worker for {now - left_at:.1f} s, of these {seconds:.1f} s"
                " of steady state"
            )
            if seconds >= AT_NO_WORKER_SECONDS and begun and running * 2 < places:
                self.record.add(f"LOST is broken: item {name}")
                self.broken = True


async def run(record: Record) -> int:
    """Run the case."""
    return await Case(record).run()


if __name__ == "__main__":
    main(run, Path(__file__).resolve().parent)
