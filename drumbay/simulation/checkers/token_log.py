"""Index of the tokens recorded in the engine logs."""

import msgspec

from drumbay.identifiers import WeightVersion
from drumbay.simulation.history import History, TokensProduced, VersionSpan


class Token(msgspec.Struct, frozen=True, kw_only=True):
    """One token of an operation with the weight version that produced it."""

    operation_id: str
    index: int
    token_id: int
    weight_version: WeightVersion


class TokenLog:
    """Index of the tokens that engines produced, according to their logs."""

    def __init__(self, history: History) -> None:
        """Build the index from a history."""
        self._tokens: set[Token] = set()
        self._versions: dict[tuple[str, int, int], list[WeightVersion]] = {}
        self._lengths: set[tuple[str, int]] = set()
        for produced in history.of(TokensProduced):
            self._add(produced)

    def _add(self, produced: TokensProduced) -> None:
        operation_id = produced.operation_id
        for offset, token_id in enumerate(produced.token_ids):
            index = produced.first_index + offset
            version = produced.weight_version
            self._tokens.add(
                Token(
                    operation_id=operation_id,
                    index=index,
                    token_id=token_id,
                    weight_version=version,
                )
            )
            self._versions.setdefault((operation_id, index, token_id), []).append(version)
        if produced.finished:
            length = produced.first_index + len(produced.token_ids)
            self._lengths.add((operation_id, length))

    def was_produced(self, operation_id: str, index: int, token_id: int) -> bool:
        """Return whether an engine produced this token at this index."""
        return (operation_id, index, token_id) in self._versions

    def was_produced_with_version(self, token: Token) -> bool:
        """Return whether an engine produced this token with its weight version."""
        return token in self._tokens

    def versions_of(self, operation_id: str, index: int, token_id: int) -> list[WeightVersion]:
        """Return the weight versions that produced a token, ordered by time."""
        return self._versions.get((operation_id, index, token_id), [])

    def finished_with_length(self, operation_id: str, length: int) -> bool:
        """Return whether an engine finished the operation after ``length`` tokens."""
        return (operation_id, length) in self._lengths


def first_gap(spans: tuple[VersionSpan, ...]) -> int | None:
    """Return the first missing index, or ``None`` if the spans are consecutive from 0."""
    expected = 0
    for span in spans:
        if span.first_index != expected:
            return expected
        expected += len(span.token_ids)
    return None


def total_length(spans: tuple[VersionSpan, ...]) -> int:
    """Return the number of tokens in all spans."""
    return sum(len(span.token_ids) for span in spans)
