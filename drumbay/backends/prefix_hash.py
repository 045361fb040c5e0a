"""Hashes of prompt prefixes, as engines name them in their cache events.

A prompt is cut into blocks of a fixed number of characters. The hash of a block covers all
blocks before it, so equal hashes mean equal prefixes; see "Automatic Prefix Caching" in the
vLLM design documents.
"""

import xxhash

BLOCK_CHARACTERS = 64
"""Characters of a prompt in one cache block; a shorter rest is not cached."""


def prefix_hashes(model: str, prompt: str) -> tuple[str, ...]:
    """Return the hash of each whole-block prefix of a prompt, shortest prefix first."""
    digest = xxhash.xxh64(model.encode())
    hashes: list[str] = []
    whole_blocks = len(prompt) // BLOCK_CHARACTERS
    for block in range(whole_blocks):
        start = block * BLOCK_CHARACTERS
        digest.update(prompt[start : start + BLOCK_CHARACTERS].encode())
        hashes.append(digest.hexdigest())
    return tuple(hashes)
