"""Interface for at-most-once execution of requests."""

from collections.abc import Awaitable, Callable
from typing import Protocol

from drumbay.backends.interface import ApplicationResponse
from drumbay.identifiers import IdempotencyKey

Dispatch = Callable[[], Awaitable[ApplicationResponse]]


class AtMostOnceRunner(Protocol):
    """Runs requests that are not repeatable."""

    async def run(
        self,
        *,
        scope: str,
        key: IdempotencyKey,
        digest: str,
        dispatch: Dispatch,
        remaining_seconds: float,
    ) -> ApplicationResponse:
        """Run ``dispatch`` at most once per scope and key, across all nodes and retries.

        Args:
            scope: Namespace of the key: the name of the route.
            key: The caller's idempotency key.
            digest: Digest of the request; a key must not be reused for a different request.
            dispatch: Sends the request to a backend. A
                :class:`~drumbay.exceptions.RequestFailedError` whose execution is ``not run``
                releases the key.
            remaining_seconds: Time left for the request.

        Raises:
            RequestFailedError: The request failed; the error states whether it may have run.
        """
        ...
