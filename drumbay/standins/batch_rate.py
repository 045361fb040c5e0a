"""Timing model of an engine with continuous batching."""

import msgspec


class BatchRate(msgspec.Struct, frozen=True, kw_only=True):
    """Prefill and decode rates of an engine.

    A decode step costs a fixed time for reading the weights plus a time for each sequence of
    the batch; see Yu et al., "Orca" (OSDI 2022), section 3.

    Attributes:
        step_seconds: Fixed time of one decode step.
        step_seconds_per_sequence: Additional time of a step for each sequence in the batch.
        prefill_tokens_per_second: Prompt tokens computed per second.
    """

    step_seconds: float = 0.010
    step_seconds_per_sequence: float = 0.001
    prefill_tokens_per_second: float = 8000.0

    def decode_seconds(self, tokens: int, batch_size: int) -> float:
        """Return the time of ``tokens`` decode steps in a batch of ``batch_size`` sequences."""
        step = self.step_seconds + self.step_seconds_per_sequence * batch_size
        return tokens * step

    def prefill_seconds(self, tokens: int) -> float:
        """Return the prefill time of ``tokens`` uncached prompt tokens."""
        return tokens / self.prefill_tokens_per_second
