"""The Tornado application of a node, which maps paths to handlers."""

from tornado.web import Application

from drumbay.api.applications import ApplicationHandler
from drumbay.api.base import UnknownPathHandler
from drumbay.api.completions import ChatCompletionsHandler, CompletionsHandler
from drumbay.api.diagnostics import (
    ExplainHandler,
    HealthHandler,
    MetricsHandler,
    ReadyHandler,
    StatusHandler,
)
from drumbay.api.intake import RequestIntake
from drumbay.api.interface import NodeInterface
from drumbay.api.resources import OperationHandler, ResourceHandler, ResourceListHandler
from drumbay.api.rollouts import (
    CheckpointHandler,
    RolloutsHandler,
    SamplesHandler,
    WeightVersionsHandler,
)

MAX_BODY_BYTES = 16 * 1024 * 1024
MAX_HEADER_BYTES = 64 * 1024


def make_application(
    node: NodeInterface, authentication: bool, intake: RequestIntake | None = None
) -> Application:
    """Return the HTTP application that serves ``node``.

    Args:
        node: Executes the operations.
        authentication: Whether bearer tokens are required.
        intake: Counts requests in flight and rejects new ones during a planned stop.
    """
    api_arguments = {
        "node": node,
        "authentication": authentication,
        "intake": intake or RequestIntake(),
    }
    probe_arguments = {"node": node}
    return Application(
        [
            (r"/v1/completions", CompletionsHandler, api_arguments),
            (r"/v1/chat/completions", ChatCompletionsHandler, api_arguments),
            (r"/app/.*", ApplicationHandler, api_arguments),
            (r"/v1/rollouts", RolloutsHandler, api_arguments),
            (r"/v1/streams/([^/]+)/samples", SamplesHandler, api_arguments),
            (r"/v1/streams/([^/]+)/checkpoint", CheckpointHandler, api_arguments),
            (r"/v1/models/([^/]+)/versions", WeightVersionsHandler, api_arguments),
            (r"/v1/resources", ResourceListHandler, api_arguments),
            (r"/v1/resources/([^/]+)", ResourceListHandler, api_arguments),
            (r"/v1/resources/([^/]+)/([^/]+)", ResourceHandler, api_arguments),
            (r"/v1/operations/([^/]+)", OperationHandler, api_arguments),
            (r"/v1/explain/([^/]+)/([^/]+)", ExplainHandler, api_arguments),
            (r"/v1/status", StatusHandler, api_arguments),
            (r"/healthz", HealthHandler, probe_arguments),
            (r"/readyz", ReadyHandler, probe_arguments),
            (r"/metrics", MetricsHandler, probe_arguments),
        ],
        default_handler_class=UnknownPathHandler,
        default_handler_args=api_arguments,
        log_function=lambda handler: None,
    )
