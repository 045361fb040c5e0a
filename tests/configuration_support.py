"""Shared helpers of the configuration tests."""

from drumbay.resources.schema import Route, RouteKind, Selector
from drumbay.simulation.host import Location

ZONES = tuple(Location(zone=zone, region="lima") for zone in ("miraflores", "surquillo"))


def route(priority: int, name: str = "consulta") -> Route:
    return Route(name=name, route_kind=RouteKind.LIVE, selector=Selector(), priority=priority)
