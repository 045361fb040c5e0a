"""Model of an engine's decode time per token as a linear function of its batch size."""

DEFAULT_SECONDS_PER_TOKEN = 0.02
FORGETTING_FACTOR = 0.995
MIN_BATCH_SIZE_VARIANCE = 0.25


class DecodeRateModel:
    """Least-squares fit of seconds per token over batch size, with exponential forgetting.

    Decoding is memory-bound: a step reads the weights once, and the KV cache of each sequence
    in the batch.
    """

    def __init__(self) -> None:
        """Create a model without observations."""
        self._weight = 0.0
        self._size_sum = 0.0
        self._time_sum = 0.0
        self._size_square_sum = 0.0
        self._product_sum = 0.0

    def observe(self, batch_size: int, seconds_per_token: float) -> None:
        """Record the time per token of a sequence in a batch of the given size."""
        self._weight = self._weight * FORGETTING_FACTOR + 1.0
        self._size_sum = self._size_sum * FORGETTING_FACTOR + batch_size
        self._time_sum = self._time_sum * FORGETTING_FACTOR + seconds_per_token
        self._size_square_sum = self._size_square_sum * FORGETTING_FACTOR + batch_size * batch_size
        self._product_sum = self._product_sum * FORGETTING_FACTOR + batch_size * seconds_per_token

    def seconds_per_token(self, batch_size: int) -> float:
        """Return the expected time per token in a batch of the given size."""
        if self._weight == 0.0:
            return DEFAULT_SECONDS_PER_TOKEN
        mean_size = self._size_sum / self._weight
        mean_time = self._time_sum / self._weight
        variance = self._size_square_sum / self._weight - mean_size * mean_size
        if variance < MIN_BATCH_SIZE_VARIANCE:
            return mean_time
        covariance = self._product_sum / self._weight - mean_size * mean_time
        slope = max(0.0, covariance / variance)
        return max(mean_time * 0.1, mean_time + slope * (batch_size - mean_size))
