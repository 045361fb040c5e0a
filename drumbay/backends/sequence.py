"""Check that the chunks of a stream belong to one attempt and follow each other."""

from drumbay.backends.interface import (
    AnswerMismatchError,
    ExchangeBrokenError,
    FinishReason,
    GenerationRequest,
    TokenChunk,
)


class ChunkSequence:
    """Accepts the chunks of one attempt in order."""

    def __init__(self, request: GenerationRequest) -> None:
        """Expect the chunks that answer ``request``."""
        self._request = request
        self._next_index = len(request.resume_tokens)
        self._finished = False

    def accept(self, chunk: TokenChunk) -> None:
        """Check the next chunk.

        Raises:
            AnswerMismatchError: It belongs to another attempt or is out of sequence.
        """
        if chunk.attempt_id != self._request.attempt_id:
            raise AnswerMismatchError(
                f"sent attempt {self._request.attempt_id}, got {chunk.attempt_id}"
            )
        if self._finished:
            raise AnswerMismatchError("a chunk came after the last one")
        if chunk.first_index != self._next_index:
            raise AnswerMismatchError(f"expected token {self._next_index}, got {chunk.first_index}")
        self._next_index += len(chunk.token_ids)
        if self._next_index > max(self._request.max_tokens, len(self._request.resume_tokens)):
            raise AnswerMismatchError(f"more than {self._request.max_tokens} tokens")
        self._finished = chunk.finish_reason is not None
        if chunk.finish_reason is FinishReason.LENGTH:
            self._check_length()

    def end(self) -> None:
        """Check that the stream is whole.

        Raises:
            ExchangeBrokenError: No chunk had a finish reason.
        """
        if not self._finished:
            raise ExchangeBrokenError(f"the stream ended at token {self._next_index}")

    def _check_length(self) -> None:
        if self._next_index < self._request.max_tokens:
            raise AnswerMismatchError(
                f"finished for length at {self._next_index} of {self._request.max_tokens}"
            )
