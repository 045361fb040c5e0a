"""Time per token of an engine as a linear function of its batch, fitted to observations."""

DEFAULT_SECONDS_PER_TOKEN = 0.02
FORGETTING_FACTOR = 0.995
MIN_BATCH_VARIANCE = 0.25


class DecodeRateModel:
    """Least squares with exponential forgetting over (batch, seconds per token).

    Decoding is bound by memory bandwidth: one step costs a fixed time for the weights and
    some more for the KV cache of each sequence in the batch.
    """

    def __init__(self) -> None:
        """Create a model without observations."""
        self._weight = 0.0
        self._batch_sum = 0.0
        self._time_sum = 0.0
        self._batch_square_sum = 0.0
        self._product_sum = 0.0

    def observe(self, batch: int, seconds_per_token: float) -> None:
        """Record the time per token that one sequence of a batch saw."""
        self._weight = self._weight * FORGETTING_FACTOR + 1.0
        self._batch_sum = self._batch_sum * FORGETTING_FACTOR + batch
        self._time_sum = self._time_sum * FORGETTING_FACTOR + seconds_per_token
        self._batch_square_sum = self._batch_square_sum * FORGETTING_FACTOR + batch * batch
        self._product_sum = self._product_sum * FORGETTING_FACTOR + batch * seconds_per_token

    def seconds_per_token(self, batch: int) -> float:
        """Return the expected time per token in a batch of this size."""
        if self._weight == 0.0:
            return DEFAULT_SECONDS_PER_TOKEN
        mean_batch = self._batch_sum / self._weight
        mean_time = self._time_sum / self._weight
        variance = self._batch_square_sum / self._weight - mean_batch * mean_batch
        if variance < MIN_BATCH_VARIANCE:
            return mean_time
        covariance = self._product_sum / self._weight - mean_batch * mean_time
        slope = max(0.0, covariance / variance)
        return max(mean_time * 0.1, mean_time + slope * (batch - mean_batch))
