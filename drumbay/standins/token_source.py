"""Deterministic tokens of emulated engines.

A token is a function of the model, the seed, the prompt, the weight version and its index, so
that a checker can verify which version produced it.
"""

import math
from collections.abc import Iterable

import xxhash

from drumbay.identifiers import WeightVersion

VOCABULARY_SIZE = 32_000
MIN_COMPLETION_TOKENS = 24
TAIL_EXPONENT = 1.1
"""Shape parameter of the Pareto distribution of completion lengths."""

_SYLLABLES = ("ta", "ri", "mo", "ne", "ko", "lu", "sa", "pe", "di", "vo", "wa", "hu")


def token_at(model: str, seed: int, prompt: str, version: WeightVersion, index: int) -> int:
    """Return the token that a weight version produces at an index of a completion."""
    key = f"{model}\x00{seed}\x00{version}\x00{index}\x00{prompt}"
    token = xxhash.xxh64_intdigest(key.encode()) % VOCABULARY_SIZE
    return int(token)


def completion_length(model: str, seed: int, prompt: str) -> int:
    """Return the Pareto-distributed length of a completion in tokens."""
    key = f"length\x00{model}\x00{seed}\x00{prompt}"
    uniform = (xxhash.xxh64_intdigest(key.encode()) + 1) / 2.0**64
    return math.floor(MIN_COMPLETION_TOKENS * math.pow(uniform, -1.0 / TAIL_EXPONENT))


def token_text(token: int) -> str:
    """Return the text of a token: a space and a two-syllable word."""
    quotient, first = divmod(token, len(_SYLLABLES))
    second = quotient % len(_SYLLABLES)
    return f" {_SYLLABLES[first]}{_SYLLABLES[second]}"


def tokens_digest(tokens: Iterable[int]) -> str:
    """Return the hash of a token sequence, as it is recorded in execution logs."""
    digest = xxhash.xxh64()
    for token in tokens:
        digest.update(token.to_bytes(4, "big"))
    return digest.hexdigest()
