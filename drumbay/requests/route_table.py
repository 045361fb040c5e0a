"""Routes compiled for lookup. Rebuilt whenever a configuration comes into force."""

from collections.abc import Iterable

import msgspec

from drumbay.resources.schema import Route, RouteKind
from drumbay.routing.selectors import LabelPredicate, compile_selector


class CompiledRoute(msgspec.Struct, frozen=True, kw_only=True):
    """A route with its selector as a predicate over labels."""

    route: Route
    selects: LabelPredicate


class RouteTable:
    """Lookup of routes by model or path prefix.

    Of several routes for one model, the first by name is taken; of several path prefixes
    the longest that matches.

    Args:
        routes: Routes in force.

    Raises:
        InvalidSelectorError: A selector is not valid.
    """

    def __init__(self, routes: Iterable[Route]) -> None:
        """Compile every selector once."""
        self._by_model: dict[tuple[RouteKind, str], CompiledRoute] = {}
        self._by_path: list[CompiledRoute] = []
        for route in sorted(routes, key=lambda entry: entry.name):
            self._add(CompiledRoute(route=route, selects=compile_selector(route.selector)))
        self._by_path.sort(key=lambda entry: -len(entry.route.path_prefix or ""))

    def _add(self, compiled: CompiledRoute) -> None:
        route = compiled.route
        if route.route_kind is RouteKind.APPLICATION:
            self._by_path.append(compiled)
        elif route.model is not None:
            self._by_model.setdefault((route.route_kind, route.model), compiled)

    def for_model(self, kind: RouteKind, model: str) -> CompiledRoute | None:
        """Return the route of a kind that carries a model; ``None`` if there is none."""
        return self._by_model.get((kind, model))

    def for_path(self, path: str) -> CompiledRoute | None:
        """Return the application route with the longest matching prefix."""
        for compiled in self._by_path:
            if path.startswith(compiled.route.path_prefix or "/"):
                return compiled
        return None
