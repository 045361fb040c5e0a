"""Hashes of prompt prefixes, as used in the cache events of engines.

A prompt is split into blocks of a fixed number of characters. The hash of a block covers all
preceding blocks, so equal hashes mean equal prefixes; see "Automatic Prefix Caching" in the
vLLM design documents.
"""

import xxhash

BLOCK_CHARACTERS = 64
"""Characters per cache block; a trailing partial block is not cached."""


def prefix_hashes(model: str, prompt: str) -> tuple[str, ...]:
    """Return the hashes of all prefixes of complete blocks, shortest prefix first."""
    digest = xxhash.xxh64(model.encode())
    hashes: list[str] = []
    block_count = len(prompt) // BLOCK_CHARACTERS
    for block in range(block_count):
        start = block * BLOCK_CHARACTERS
        digest.update(prompt[start : start + BLOCK_CHARACTERS].encode())
        hashes.append(digest.hexdigest())
    return tuple(hashes)
