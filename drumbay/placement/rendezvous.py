"""Rendezvous hashing of nodes and workers.

Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", IEEE/ACM Transactions on
Networking 6(1), 1998.
"""

import hashlib
from functools import lru_cache

from drumbay.identifiers import BackendId


@lru_cache(maxsize=16_384)
def rendezvous_hash(node: str, worker_id: BackendId) -> bytes:
    """Return the hash by which a node ranks a worker, and a worker a node; the lowest is first."""
    return hashlib.blake2b(f"{node}\0{worker_id}".encode(), digest_size=8).digest()
