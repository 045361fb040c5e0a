"""Plain application requests under ``/app/``."""

from typing import ClassVar

from drumbay.api.base import ApiHandler
from drumbay.identifiers import IdempotencyKey
from drumbay.requests.errors import invalid_request_error
from drumbay.requests.records import ApplicationCall
from drumbay.resources.schema import Role

IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
REPEATABLE_HEADER = "Drumbay-Repeatable"
APPLICATION_PREFIX = "/app"
MAXIMUM_KEY_CHARACTERS = 255


class ApplicationHandler(ApiHandler):
    """Any method under ``/app/``; the rest of the path goes to the application."""

    allowed_roles: ClassVar[tuple[Role, ...]] = (Role.CALLER, Role.OPERATOR)

    async def get(self) -> None:
        """Run a GET request."""
        await self._run()

    async def post(self) -> None:
        """Run a POST request."""
        await self._run()

    async def put(self) -> None:
        """Run a PUT request."""
        await self._run()

    async def delete(self) -> None:
        """Run a DELETE request."""
        await self._run()

    async def _run(self) -> None:
        request = self.request
        call = ApplicationCall(
            request_id=self.new_request_id(),
            method=request.method or "GET",
            path=(request.uri or "").removeprefix(APPLICATION_PREFIX),
            body=request.body,
            content_type=request.headers.get("Content-Type", "application/octet-stream"),
            idempotency_key=self._idempotency_key(),
            repeatable=self._repeatable(),
            timeout_seconds=self.caller_timeout_seconds(),
        )
        answer = await self.node.run_application(call)
        self.set_status(answer.status)
        self.set_header("Content-Type", answer.content_type)
        await self.finish(answer.body)

    def _idempotency_key(self) -> IdempotencyKey | None:
        key = self.request.headers.get(IDEMPOTENCY_KEY_HEADER)
        if key is None:
            return None
        if not 0 < len(key) <= MAXIMUM_KEY_CHARACTERS:
            raise invalid_request_error(
                f"{IDEMPOTENCY_KEY_HEADER}: 1 to {MAXIMUM_KEY_CHARACTERS} characters"
            )
        return IdempotencyKey(key)

    def _repeatable(self) -> bool | None:
        text = self.request.headers.get(REPEATABLE_HEADER)
        if text is None:
            return None
        if text not in ("true", "false"):
            raise invalid_request_error(f"{REPEATABLE_HEADER}: expected true or false")
        return text == "true"
