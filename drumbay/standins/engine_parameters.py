"""Configuration of an emulated engine."""

import msgspec

from drumbay.standins.batch_rate import BatchRate


class EngineParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Sizes, rates and delays of an emulated engine.

    Attributes:
        max_batch: Maximum number of requests in the batch.
        max_waiting: Maximum queue length; further requests are refused as overloaded.
        chunk_tokens: Tokens per streamed chunk.
        rate: Prefill and decode rates.
        cache_blocks: Capacity of the prefix cache in blocks.
        cache_event_delay_seconds: Delay from a cache change to its publication.
        cache_event_loss: Fraction of cache events that are never published.
        cache_event_backlog: Number of events kept for readers.
        cache_transfer_bytes_per_second: Transfer rate of a KV cache import.
        load_report_lag_seconds: Age of the load values in a status.
        load_seconds: Time to load weights after the fetch.
        swap_pause_seconds: Decode pause while weights are swapped.
        overload_retry_seconds: ``Retry-After`` value of an overload refusal.
        late_answer_seconds: Response delay with the fault ``late_answer``.
        keeps_fence_over_restart: Whether the highest fence survives a restart.
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
