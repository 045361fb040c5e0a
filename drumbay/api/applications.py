"""Handler for application requests under ``/app/``."""

from typing import ClassVar

from drumbay.api.base import ApiHandler
from drumbay.identifiers import IdempotencyKey
from drumbay.requests.errors import invalid_request_error
from drumbay.requests.records import ApplicationCall
from drumbay.resources.schema import Role

IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
REPEATABLE_HEADER = "Drumbay-Repeatable"
APPLICATION_PREFIX = "/app"
MAX_KEY_CHARACTERS = 255


class ApplicationHandler(ApiHandler):
    """Forwards requests under ``/app/`` to the application; the prefix is removed."""

    allowed_roles: ClassVar[tuple[Role, ...]] = (Role.CALLER, Role.OPERATOR)

    async def get(self) -> None:
        """Forward a GET request."""
        await self._forward()

    async def post(self) -> None:
        """Forward a POST request."""
        await self._forward()

    async def put(self) -> None:
        """Forward a PUT request."""
        await self._forward()

    async def delete(self) -> None:
        """Forward a DELETE request."""
        await self._forward()

    async def _forward(self) -> None:
        request = self.request
        call = ApplicationCall(
            request_id=self.new_request_id(),
            method=request.method or "GET",
            path=(request.uri or "").removeprefix(APPLICATION_PREFIX),
            body=request.body,
            content_type=request.headers.get("Content-Type", "application/octet-stream"),
            idempotency_key=self._idempotency_key(),
            repeatable=self._is_repeatable(),
            timeout_seconds=self.requested_timeout_seconds(),
        )
        response = await self.node.run_application(call)
        self.set_status(response.status)
        self.set_header("Content-Type", response.content_type)
        await self.finish(response.body)

    def _idempotency_key(self) -> IdempotencyKey | None:
        key = self.request.headers.get(IDEMPOTENCY_KEY_HEADER)
        if key is None:
            return None
        if not 0 < len(key) <= MAX_KEY_CHARACTERS:
            raise invalid_request_error(
                f"{IDEMPOTENCY_KEY_HEADER}: 1 to {MAX_KEY_CHARACTERS} characters"
            )
        return IdempotencyKey(key)

    def _is_repeatable(self) -> bool | None:
        text = self.request.headers.get(REPEATABLE_HEADER)
        if text is None:
            return None
        if text not in ("true", "false"):
            raise invalid_request_error(f"{REPEATABLE_HEADER}: expected true or false")
        return text == "true"
