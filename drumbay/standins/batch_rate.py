"""Speed of an engine with continuous batching."""

import msgspec


class BatchRate(msgspec.Struct, frozen=True, kw_only=True):
    """Token rates of an engine.

    A decoding step takes a fixed time, during which the weights are read, and a time for
    each sequence of the batch; see Yu et al., "Orca" (OSDI 2022), section 3.

    Attributes:
        step_seconds: Fixed time of one decoding step.
        step_seconds_per_sequence: Time that each sequence of the batch adds to a step.
        prefill_tokens_per_second: Prompt tokens computed per second when alone.
    """

    step_seconds: float = 0.010
    step_seconds_per_sequence: float = 0.001
    prefill_tokens_per_second: float = 8000.0

    def decode_seconds(self, tokens: int, batch_size: int) -> float:
        """Return the time of ``tokens`` decoding steps in a batch of ``batch_size``."""
        step = self.step_seconds + self.step_seconds_per_sequence * batch_size
        return tokens * step

    def prefill_seconds(self, tokens: int) -> float:
        """Return the time to compute ``tokens`` prompt tokens that are not cached."""
        return tokens / self.prefill_tokens_per_second
