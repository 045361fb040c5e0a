"""Interface of at-most-once execution, as the request path uses it."""

from collections.abc import Awaitable, Callable
from typing import Protocol

from drumbay.backends.interface import ApplicationAnswer
from drumbay.identifiers import IdempotencyKey

Dispatch = Callable[[], Awaitable[ApplicationAnswer]]


class OnceRunner(Protocol):
    """Runs requests that may not be repeated."""

    async def run(
        self,
        *,
        scope: str,
        key: IdempotencyKey,
        digest: str,
        dispatch: Dispatch,
        remaining_seconds: float,
    ) -> ApplicationAnswer:
        """Run ``dispatch`` at most once per scope and key, over all nodes and retries.

        Args:
            scope: Name space of the key (the route).
            key: The caller's key.
            digest: Digest of the request; a key may not be reused for another one.
            dispatch: Sends the request to a back end. A raised
                :class:`~drumbay.exceptions.RequestFailedError` that says ``not run`` frees
                the key again.
            remaining_seconds: Time left for the request.

        Raises:
            RequestFailedError: It was not served; the error says whether it may have run.
        """
        ...
