"""Lookup table of routes, rebuilt for every configuration."""

from collections.abc import Iterable

import msgspec

from drumbay.placement.regions import AllowedRegions
from drumbay.resources.schema import Route, RouteKind
from drumbay.routing.selectors import LabelPredicate, compile_selector


class CompiledRoute(msgspec.Struct, frozen=True, kw_only=True):
    """A route with its selector compiled to a predicate over labels, and its regions."""

    route: Route
    matches: LabelPredicate
    allowed_regions: AllowedRegions


class RouteTable:
    """Looks up routes by model or path prefix.

    If several routes have the same model, the first by name is used. Among path prefixes, the
    longest match is used.

    Args:
        routes: Routes of the current configuration.

    Raises:
        InvalidSelectorError: A selector is not valid.
    """

    def __init__(self, routes: Iterable[Route]) -> None:
        """Compile the selectors."""
        self._by_name: dict[str, CompiledRoute] = {}
        self._by_model: dict[tuple[RouteKind, str], CompiledRoute] = {}
        self._by_path: list[CompiledRoute] = []
        for route in sorted(routes, key=lambda entry: entry.name):
            self._add(_compile_route(route))
        self._by_path.sort(key=lambda entry: -len(entry.route.path_prefix or ""))

    def _add(self, compiled: CompiledRoute) -> None:
        route = compiled.route
        self._by_name[route.name] = compiled
        if route.route_kind is RouteKind.APPLICATION:
            self._by_path.append(compiled)
        elif route.model is not None:
            self._by_model.setdefault((route.route_kind, route.model), compiled)

    def with_name(self, name: str) -> CompiledRoute | None:
        """Return the route with a name, or ``None``."""
        return self._by_name.get(name)

    def for_model(self, kind: RouteKind, model: str) -> CompiledRoute | None:
        """Return the route of a kind for a model, or ``None``."""
        return self._by_model.get((kind, model))

    def for_path(self, path: str) -> CompiledRoute | None:
        """Return the application route with the longest matching prefix, or ``None``."""
        for compiled in self._by_path:
            if path.startswith(compiled.route.path_prefix or "/"):
                return compiled
        return None


def _compile_route(route: Route) -> CompiledRoute:
    return CompiledRoute(
        route=route,
        matches=compile_selector(route.selector),
        allowed_regions=AllowedRegions.of(route.allowed_regions or ()),
    )
