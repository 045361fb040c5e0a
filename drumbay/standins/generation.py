"""A generation on an emulated engine."""

import asyncio

from drumbay.backends.interface import BackendError, GenerationRequest, TokenChunk
from drumbay.identifiers import BootId, WeightVersion
from drumbay.standins.batch_slots import Ticket
from drumbay.standins.execution_log import GenerationEnded, GenerationOutcome, VersionSpan
from drumbay.standins.token_source import completion_length, tokens_digest

CHARACTERS_PER_TOKEN = 4


class Generation:
    """State of a generation, updated by the engine and its decoder."""

    def __init__(self, request: GenerationRequest, boot_id: BootId, ticket: Ticket) -> None:
        """Create a queued generation."""
        self.request = request
        self.boot_id = boot_id
        self.ticket = ticket
        self.next_index = len(request.resume_tokens)
        self.started_at_seconds: float | None = None
        self.prefill_version: WeightVersion | None = None
        self.cache_imported = False
        self.outcome: GenerationOutcome | None = None
        self.truncated = False
        self.delay_pending = False
        self.mismatched_request: GenerationRequest | None = None
        self.chunks: asyncio.Queue[TokenChunk | BackendError] = asyncio.Queue()
        self.task: asyncio.Task[None] | None = None
        self._spans: list[VersionSpan] = []
        self._tokens: list[int] = []

    @property
    def unbounded_length(self) -> int:
        """Number of tokens after which the model stops by itself."""
        if self.request.target_tokens is not None:
            return self.request.target_tokens
        return completion_length(self.request.model, self.request.seed, self.request.prompt)

    @property
    def length(self) -> int:
        """Number of tokens of the complete completion, resumed ones included."""
        return min(self.unbounded_length, self.request.max_tokens)

    @property
    def truncation_index(self) -> int:
        """Index at which the fault ``truncated_answer`` cuts the stream off."""
        first = len(self.request.resume_tokens)
        return first + max(self.length - first, 0) // 2

    @property
    def prompt_tokens(self) -> int:
        """Length of the prompt in tokens."""
        return len(self.request.prompt) // CHARACTERS_PER_TOKEN + 1

    @property
    def all_tokens(self) -> tuple[int, ...]:
        """Tokens generated so far, resumed ones included."""
        return (*self.request.resume_tokens, *self._tokens)

    @property
    def versions(self) -> tuple[WeightVersion, ...]:
        """Weight versions that computed the KV cache so far."""
        prefill = () if self.prefill_version is None else (self.prefill_version,)
        produced = (span.weight_version for span in self._spans)
        return tuple(dict.fromkeys((*prefill, *produced)))

    def add_tokens(self, version: WeightVersion, tokens: tuple[int, ...]) -> None:
        """Append tokens that ``version`` produced."""
        last = self._spans[-1] if self._spans else None
        if last is not None and last.weight_version == version:
            self._spans[-1] = VersionSpan(
                weight_version=version,
                first_index=last.first_index,
                count=last.count + len(tokens),
            )
        else:
            span = VersionSpan(
                weight_version=version, first_index=self.next_index, count=len(tokens)
            )
            self._spans.append(span)
        self._tokens.extend(tokens)
        self.next_index += len(tokens)

    def ended_record(self, now: float, source: str, outcome: GenerationOutcome) -> GenerationEnded:
        """Return the execution log record for the end of the generation."""
        return GenerationEnded(
            time_seconds=now,
            source=source,
            boot_id=self.boot_id,
            attempt_id=self.request.attempt_id,
            outcome=outcome,
            spans=tuple(self._spans),
            digest=tokens_digest(self._tokens),
            started_at_seconds=self.started_at_seconds,
        )
