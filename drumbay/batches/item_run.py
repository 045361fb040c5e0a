"""The run of an item: what workers have made of it so far."""

import msgspec

from drumbay.batches.records import BatchItem, ItemResult, PartialText, ResultState, Reward
from drumbay.identifiers import BackendId, WeightVersion
from drumbay.workers.records import StreamEvent


class ItemRun(msgspec.Struct, kw_only=True):
    """Progress of an item over all the workers that it has been at.

    Attributes:
        item: What runs.
        worker_id: Where it runs now; ``None`` while it waits for a place.
        texts: Data of the events so far, in order.
        last_number: Number of the last event.
        versions: Weight versions that made events, in the order of their first one.
        events_here: Events from the worker it is at.
        untold_gap: Seconds between the last two events; told once another event follows.
        heard_at: Monotonic time of the last event or start.
        not_before: Monotonic time before which it does not start again.
        failures: Runs that the workers answered with a failure.
        moves: How often it was moved off a slow worker.
        generation: How often its text was thrown away.
        avoid: Worker that it should not go to if there is another.
        target: Worker that it is being moved to.
        complete: Whether the text is whole; it then waits for its score, if it needs one.
        reward: Score of the whole text.
        is_scoring: Whether its reward request is under way.
        score_not_before: Monotonic time before which its reward request is not made again.
        reward_failures: Reward requests that a worker ran and failed.
        reward_attempts: Reward requests that brought no score, in a row.
    """

    item: BatchItem
    worker_id: BackendId | None = None
    texts: list[str] = msgspec.field(default_factory=list)
    last_number: int | None = None
    versions: list[WeightVersion] = msgspec.field(default_factory=list)
    events_here: int = 0
    untold_gap: float | None = None
    heard_at: float = 0.0
    not_before: float = 0.0
    failures: int = 0
    moves: int = 0
    generation: int = 0
    avoid: BackendId | None = None
    target: BackendId | None = None
    complete: bool = False
    reward: Reward | None = None
    is_scoring: bool = False
    score_not_before: float = 0.0
    reward_failures: int = 0
    reward_attempts: int = 0

    def start(self, worker_id: BackendId, now: float) -> None:
        """Note that it runs at a worker."""
        self.worker_id = worker_id
        self.target = None
        self.events_here = 0
        self.untold_gap = None
        self.heard_at = now

    def release(self) -> None:
        """Note that it is at no worker."""
        self.worker_id = None
        self.events_here = 0

    def forget_text(self) -> None:
        """Throw away what was made."""
        self.generation += 1
        self.texts.clear()
        self.versions.clear()
        self.last_number = None
        self.complete = False
        self.reward = None

    @property
    def is_placed(self) -> bool:
        """Return whether it needs no worker now: it is at one, or its text is whole."""
        return self.worker_id is not None or self.complete

    @property
    def is_finished(self) -> bool:
        """Return whether nothing is missing: a whole text, and its score if it needs one."""
        return self.complete and self.item.accepts(self.reward)

    def take(self, event: StreamEvent, now: float, *, arrived_alone: bool) -> float | None:
        """Add an event; return the seconds between the two events before it.

        The first event at a worker has no time: prompt and queue stand before it. The last one
        of a text holds fewer tokens than others and comes sooner: a time is told only once
        another event follows. An event that arrived with others has no time of its own.
        """
        if self.last_number is not None and event.number <= self.last_number:
            return None
        self.texts.append(event.data)
        self.last_number = event.number
        if event.version not in self.versions:
            self.versions.append(event.version)
        told = self.untold_gap
        self.untold_gap = now - self.heard_at if self.events_here and arrived_alone else None
        self.events_here += 1
        self.heard_at = now
        return told

    def adopt(self, partial_text: PartialText) -> None:
        """Go on from a text that was made before."""
        self.texts = list(partial_text.texts)
        self.last_number = partial_text.last_number
        self.versions = list(partial_text.versions)
        self.complete = partial_text.complete
        has_score = self.item.reward_request is not None and self.item.accepts(partial_text.reward)
        self.reward = partial_text.reward if has_score else None

    def result(self) -> ItemResult:
        """Return the finished item."""
        return ItemResult(
            item_id=self.item.item_id,
            state=ResultState.DONE,
            text="\n".join(self.texts),
            versions=tuple(sorted(self.versions)),
            reward=self.reward,
        )

    def partial_text(self) -> PartialText:
        """Return what was made so far; there must be some."""
        assert self.last_number is not None
        return PartialText(
            item_id=self.item.item_id,
            texts=tuple(self.texts),
            last_number=self.last_number,
            versions=tuple(self.versions),
            complete=self.complete,
            generation=self.generation,
            reward=self.reward,
        )
