"""Handlers for explanations, status, health and metrics."""

from typing import ClassVar

from prometheus_client import CONTENT_TYPE_LATEST, generate_latest
from tornado.web import RequestHandler

from drumbay.api.base import ApiHandler
from drumbay.api.interface import NodeInterface
from drumbay.explain.records import SubjectKind
from drumbay.requests.errors import invalid_request_error
from drumbay.resources.schema import Role


class ExplainHandler(ApiHandler):
    """``GET /v1/explain/{kind}/{id}``."""

    allowed_roles: ClassVar[tuple[Role, ...]] = (Role.OPERATOR, Role.CALLER, Role.TRAINER)
    available_while_stopping: ClassVar[bool] = True

    async def get(self, kind: str, subject_id: str) -> None:
        """Return the decision records of a request, a sample or a backend."""
        try:
            subject_kind = SubjectKind(kind)
        except ValueError as error:
            raise invalid_request_error(
                f"unknown kind {kind}: expected request, sample or backend"
            ) from error
        self.write_json(await self.node.explain(subject_kind, subject_id))


class StatusHandler(ApiHandler):
    """``GET /v1/status``."""

    available_while_stopping: ClassVar[bool] = True

    def get(self) -> None:
        """Return the node's state."""
        self.write_json(self.node.status())


class _ProbeHandler(RequestHandler):
    def initialize(self, node: NodeInterface) -> None:
        self.node = node


class HealthHandler(_ProbeHandler):
    """``GET /healthz``: liveness of the process."""

    def get(self) -> None:
        """Return 200, which shows that the event loop is running."""
        self.finish("ok\n")


class ReadyHandler(_ProbeHandler):
    """``GET /readyz``: readiness of the node for new requests."""

    def get(self) -> None:
        """Return 200 if the node accepts new requests, else 503; the body gives the reason."""
        status = self.node.status()
        ready = status.ready and not status.draining
        age_seconds = status.configuration_confirmed_age_seconds
        confirmed = "never" if age_seconds is None else f"{age_seconds:.1f} s ago"
        state = "stopping" if status.draining else status.configuration_state
        self.set_status(200 if ready else 503)
        self.finish(
            f"{'ready' if ready else 'not ready'}: {state}, "
            f"revision {status.configuration_revision}, confirmed {confirmed}\n"
        )


class MetricsHandler(_ProbeHandler):
    """``GET /metrics`` for Prometheus."""

    def get(self) -> None:
        """Return the metrics of the node."""
        self.set_header("Content-Type", CONTENT_TYPE_LATEST)
        self.finish(generate_latest(self.node.metrics_registry()))
