"""The tornado application of a node: which path is served by which handler."""

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

MAXIMUM_BODY_BYTES = 16 * 1024 * 1024
MAXIMUM_HEADER_BYTES = 64 * 1024


def make_application(
    node: NodeInterface, authentication: bool, intake: RequestIntake | None = None
) -> Application:
    """Return the HTTP application that serves ``node``.

    Args:
        node: Carries out the operations.
        authentication: Whether bearer tokens are required.
        intake: Counts the requests, and says whether new ones are taken.
    """
    arguments = {
        "node": node,
        "authentication": authentication,
        "intake": intake or RequestIntake(),
    }
    probe = {"node": node}
    return Application(
        [
            (r"/v1/completions", CompletionsHandler, arguments),
            (r"/v1/chat/completions", ChatCompletionsHandler, arguments),
            (r"/app/.*", ApplicationHandler, arguments),
            (r"/v1/rollouts", RolloutsHandler, arguments),
            (r"/v1/streams/([^/]+)/samples", SamplesHandler, arguments),
            (r"/v1/streams/([^/]+)/checkpoint", CheckpointHandler, arguments),
            (r"/v1/models/([^/]+)/versions", WeightVersionsHandler, arguments),
            (r"/v1/resources", ResourceListHandler, arguments),
            (r"/v1/resources/([^/]+)", ResourceListHandler, arguments),
            (r"/v1/resources/([^/]+)/([^/]+)", ResourceHandler, arguments),
            (r"/v1/operations/([^/]+)", OperationHandler, arguments),
            (r"/v1/explain/([^/]+)/([^/]+)", ExplainHandler, arguments),
            (r"/v1/status", StatusHandler, arguments),
            (r"/healthz", HealthHandler, probe),
            (r"/readyz", ReadyHandler, probe),
            (r"/metrics", MetricsHandler, probe),
        ],
        default_handler_class=UnknownPathHandler,
        default_handler_args=arguments,
        log_function=lambda handler: None,
    )
