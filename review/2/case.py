"""Case 2: three workers crash in a row, and an item that merely ran there starts no more."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import (
    CONTACT_SECONDS,
    MODEL,
    Deployment,
    Record,
    Trainer,
    Worker,
    has_trouble,
    item,
    main,
)

GROUPS = 8
GROUP_SIZE = 4
DESIRED = 7
"""The trainer waits for nine tenths of the groups."""

STEP_SECONDS = 12.0
CRASHES = 3
FIRST_CRASH_SECONDS = 1.0
CRASH_INTERVAL_SECONDS = 1.2
DOWN_SECONDS = 1.0
AT_NO_WORKER_SECONDS = 5.0
NAMED_SECONDS = 6.0
SLOTS = 8


def make_worker(name: str, store: object, record: Record) -> Worker:
    """Return a worker whose texts have 100 events and take five seconds."""
    return Worker(name, store, record, slots=SLOTS, events=100, seconds_per_event=0.05)


class Case:
    """The steps of one trainer, and the crashes of workers."""

    def __init__(self, record: Record) -> None:
        """Create a deployment of three nodes and six workers."""
        self.record = record
        self.deployment = Deployment(record, nodes=3, workers=6, make_worker=make_worker)
        self.trainer = Trainer(self.deployment)
        self.disrupted_until = 0.0
        self.named_at = 0.0
        self.broken = False

    async def run(self) -> int:
        """Play two steps; return the exit code."""
        try:
            await self.deployment.start()
            groups = [f"g0-{number}" for number in range(GROUPS)]
            crashes = asyncio.ensure_future(self.crash_workers())
            missing = await self.step(0, groups)
            await crashes
            if missing is None:
                return 2
            self.deployment.store.put(
                f"op/version/{MODEL}", f'{{"model": "{MODEL}", "ver": 2}}'.encode()
            )
            self.named_at = self.record.now()
            self.record.add("version 2 is named")
            await asyncio.sleep(0.5)
            carried = missing[: DESIRED // 2]
            fresh = [f"g1-{number}" for number in range(GROUPS - len(carried))]
            if await self.step(1, carried + fresh) is None:
                return 2
        finally:
            await self.deployment.close()
        return 1 if self.broken else 0

    def worker_events(self) -> list[tuple[float, str, str, str]]:
        """Return what all workers have noted."""
        return [entry for worker in self.deployment.workers for entry in worker.log]

    async def crash_workers(self) -> None:
        """Crash a worker, then twice the one that runs most of what has crashed before."""
        if not has_trouble():
            return
        await asyncio.sleep(FIRST_CRASH_SECONDS)
        hit: dict[str, int] = {}
        for number in range(CRASHES):
            victims = {name for name, count in hit.items() if count == number}
            worker = max(
                self.deployment.workers,
                key=lambda worker: (len(victims & worker.running.keys()), len(worker.running)),
            )
            for name in worker.running:
                hit[name] = hit.get(name, 0) + 1
            await worker.crash(DOWN_SECONDS)
            self.disrupted_until = self.record.now()
            await asyncio.sleep(CRASH_INTERVAL_SECONDS - DOWN_SECONDS)

    async def step(self, number: int, groups: list[str]) -> list[str] | None:
        """Play a step; return the groups that are not whole, or ``None`` if it can't be played."""
        batch_id = f"step-{number}"
        items = {f"{group}-{place}": group for group in groups for place in range(GROUP_SIZE)}
        body = {
            "trainStep": number,
            "model": MODEL,
            "minVer": 1,
            "desired": DESIRED,
            "requests": [item(name, group, "316,100") for name, group in items.items()],
        }
        began_at = self.record.now()
        if not await self.trainer.submit(batch_id, body):
            return None
        listed: dict[str, str] = {}
        carried = [group for group in groups if not group.startswith(f"g{number}-")]
        while self.record.now() < began_at + STEP_SECONDS:
            status, page = await self.trainer.read(batch_id, len(listed))
            if status == 200:
                for result in page["results"]:
                    listed[result["id"]] = result["state"]
            missing = [g for g in groups if any(items[i] == g and i not in listed for i in items)]
            is_whole = len(groups) - len(missing) >= DESIRED and not set(carried) & set(missing)
            if is_whole:
                break
            await asyncio.sleep(0.4)
        if not is_whole:
            self.record.add(f"{batch_id} has run out of time, {len(missing)} groups are missing")
            self.judge(batch_id, [name for name in items if name not in listed], list(items))
        else:
            self.record.add(f"{batch_id} is whole, {len(missing)} groups are missing")
        if not await self.trainer.end(batch_id):
            return None
        return missing

    def judge(self, batch_id: str, unlisted: list[str], items: list[str]) -> None:
        """Apply the rule to the items that are missing as a step runs out of time."""
        now = self.record.now()
        steady_since = self.disrupted_until + CONTACT_SECONDS
        running = sum(len(worker.running) for worker in self.deployment.workers)
        places = SLOTS * len(self.deployment.workers)
        others = {entry[1] for entry in self.worker_events()} & set(items) - set(unlisted)
        self.record.add(
            f"{running} of {places} places of workers are taken; {len(others)} others had begun;"
            f" the last version was named {now - self.named_at:.1f} s ago"
        )
        is_excused = (
            running * 2 >= places or not others or (0 < now - self.named_at <= NAMED_SECONDS)
        )
        for name in unlisted:
            entries = [entry for entry in self.worker_events() if entry[1] == name]
            if any(entry[2] == "ends whole" for entry in entries):
                continue
            is_running = any(name in worker.running for worker in self.deployment.workers)
            left_at = max((entry[0] for entry in entries), default=0.0)
            seconds = 0.0 if is_running else now - max(left_at, steady_since)
            self.record.add(
                f"item {name} of {batch_id}: at no worker for {now - left_at:.1f} s, of these"
                f" {seconds:.1f} s of steady state; no worker has finished or failed it"
            )
            if seconds >= AT_NO_WORKER_SECONDS and not is_excused:
                self.record.add(f"LOST is broken: item {name}")
                self.broken = True


async def run(record: Record) -> int:
    """Run the case."""
    return await Case(record).run()


if __name__ == "__main__":
    main(run, Path(__file__).resolve().parent)
