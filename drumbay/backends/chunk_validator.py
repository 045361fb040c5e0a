"""Checks that the chunks of a stream belong to one attempt and are in order."""

from drumbay.backends.interface import (
    ExchangeBrokenError,
    FinishReason,
    GenerationRequest,
    ResponseMismatchError,
    TokenChunk,
)


class ChunkValidator:
    """Checks the attempt id, the order and the number of tokens of each chunk."""

    def __init__(self, request: GenerationRequest) -> None:
        """Expect the chunks of the response to ``request``."""
        self._request = request
        self._next_index = len(request.resume_tokens)
        self._finished = False

    def accept(self, chunk: TokenChunk) -> None:
        """Check the next chunk.

        Raises:
            ResponseMismatchError: The chunk belongs to another attempt or is out of sequence.
        """
        if chunk.attempt_id != self._request.attempt_id:
            raise ResponseMismatchError(
                f"sent attempt {self._request.attempt_id}, got {chunk.attempt_id}"
            )
        if self._finished:
            raise ResponseMismatchError("a chunk came after the last one")
        if chunk.first_index != self._next_index:
            raise ResponseMismatchError(
                f"expected token {self._next_index}, got {chunk.first_index}"
            )
        self._next_index += len(chunk.token_ids)
        if self._next_index > max(self._request.max_tokens, len(self._request.resume_tokens)):
            raise ResponseMismatchError(f"more than {self._request.max_tokens} tokens")
        self._finished = chunk.finish_reason is not None
        if chunk.finish_reason is FinishReason.LENGTH:
            self._check_length()

    def finish(self) -> None:
        """Check that the stream is complete.

        Raises:
            ExchangeBrokenError: No chunk had a finish reason.
        """
        if not self._finished:
            raise ExchangeBrokenError(f"the stream ended at token {self._next_index}")

    def _check_length(self) -> None:
        if self._next_index < self._request.max_tokens:
            raise ResponseMismatchError(
                f"finished for length at {self._next_index} of {self._request.max_tokens}"
            )
