"""Fingerprint that identifies a request across retries and nodes."""

import hashlib
from typing import NewType

Fingerprint = NewType("Fingerprint", str)
"""Hexadecimal digest of the content of a request and its caller."""

DIGEST_BYTES = 8
"""With 64 bits, a collision among a million requests has a probability of 3e-8 (n^2 / 2^65)."""


def fingerprint_of(*, caller: str, method: str, host: str, target: str, body: bytes) -> Fingerprint:
    """Return the fingerprint of a request.

    Ids, deadlines and other headers differ between retries and are not included.

    Args:
        caller: The tenant; empty for callers without a key and for internal requests.
        method: HTTP method.
        host: Requested host.
        target: Path and query.
        body: The whole body.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (caller, method, host, target):
        text = part.encode(errors="surrogatepass")
        digest.update(len(text).to_bytes(4, "big"))
        digest.update(text)
    digest.update(body)
    return Fingerprint(digest.hexdigest())
