"""Validation of resources that the schema cannot express."""

from drumbay.exceptions import ConfigurationError
from drumbay.resources.schema import (
    AnyResource,
    BackendGroup,
    BackendKind,
    Drain,
    Route,
    RouteKind,
    WeightPolicy,
)
from drumbay.routing.selectors import compile_selector


class InvalidResourceError(ConfigurationError):
    """The fields of a resource are inconsistent."""

    code = "invalid_resource"


def check_resource(resource: AnyResource) -> None:
    """Validate a resource.

    Raises:
        InvalidResourceError: Its fields are inconsistent.
        InvalidSelectorError: A selector is not valid.
    """
    match resource:
        case BackendGroup():
            _check_group(resource)
        case Route():
            compile_selector(resource.selector)
            _check_route(resource)
        case WeightPolicy() | Drain():
            compile_selector(resource.selector)
        case _:
            return


def _check_group(group: BackendGroup) -> None:
    identifiers = [backend.id for backend in group.backends]
    if len(set(identifiers)) != len(identifiers):
        raise InvalidResourceError("backends: each id must be used once")
    if group.backend_kind is BackendKind.ENGINE and group.model is None:
        raise InvalidResourceError("model: required for a group of engines")


def _check_route(route: Route) -> None:
    if route.route_kind is RouteKind.APPLICATION and route.path_prefix is None:
        raise InvalidResourceError("path_prefix: required for an application route")
    if route.route_kind is not RouteKind.APPLICATION and route.model is None:
        raise InvalidResourceError(f"model: required for a {route.route_kind} route")
    if route.route_kind is RouteKind.ROLLOUT and route.allowed_regions:
        raise InvalidResourceError(
            "allowed_regions: not for a rollout route; the selector of the WeightPolicy "
            "says which engines get rollouts"
        )
