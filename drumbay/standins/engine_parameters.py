"""Sizes, rates and delays of an emulated engine."""

import msgspec

from drumbay.standins.batch_rate import BatchRate


class EngineParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters of one emulated engine.

    Attributes:
        max_batch: Requests that decode together.
        max_waiting: Requests that may queue; more are refused as overloaded.
        chunk_tokens: Tokens per streamed chunk.
        rate: Token rates.
        cache_blocks: Capacity of the prefix cache, in blocks.
        cache_event_delay_seconds: Delay from a cache change to its publication.
        cache_event_loss: Share of cache events that are never published.
        cache_event_backlog: Published events that are held for readers.
        cache_transfer_bytes_per_second: Rate of an import of keys and values.
        load_report_lag_seconds: Age of the load figures in a status.
        load_seconds: Time to load weights once they are fetched.
        swap_pause_seconds: Time that decoding stands still while weights are exchanged.
        overload_retry_seconds: Retry time given with a refusal.
        late_answer_seconds: Delay of an answer under the fault ``late_answer``.
        keeps_fence_over_restart: Whether the newest fence survives a restart.
    """

    max_batch: int = 16
    max_waiting: int = 64
    chunk_tokens: int = 16
    rate: BatchRate = BatchRate()
    cache_blocks: int = 4096
    cache_event_delay_seconds: float = 0.5
    cache_event_loss: float = 0.01
    cache_event_backlog: int = 8192
    cache_transfer_bytes_per_second: float = 5.0e9
    load_report_lag_seconds: float = 0.5
    load_seconds: float = 2.0
    swap_pause_seconds: float = 0.2
    overload_retry_seconds: float = 0.5
    late_answer_seconds: float = 5.0
    keeps_fence_over_restart: bool = False
