"""Zones that operators are evacuating: their workers get no new requests."""

from collections.abc import Callable, Iterable

from drumbay.observability.logs import log_event


class EvacuatedZones:
    """The zones under evacuation, as of this node's mirror of the operators' entries."""

    def __init__(self) -> None:
        """Start without evacuations."""
        self._zones: frozenset[str] = frozenset()
        self._listeners: list[Callable[[], None]] = []
        self._end_listeners: list[Callable[[str], None]] = []

    @property
    def zones(self) -> frozenset[str]:
        """Return the evacuated zones."""
        return self._zones

    def contains(self, zone: str) -> bool:
        """Return whether a zone is being evacuated."""
        return zone in self._zones

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each change."""
        self._listeners.append(listener)

    def add_end_listener(self, listener: Callable[[str], None]) -> None:
        """Call ``listener`` with each zone whose evacuation has ended."""
        self._end_listeners.append(listener)

    def replace_all(self, zones: Iterable[str]) -> None:
        """Apply a snapshot; zones missing from it are no longer evacuated."""
        self._apply(frozenset(zones))

    def start(self, zone: str) -> None:
        """Apply an entry that asks to evacuate a zone."""
        self._apply(self._zones | {zone})

    def end(self, zone: str) -> None:
        """Apply the removal of a zone's entry."""
        self._apply(self._zones - {zone})

    def _apply(self, zones: frozenset[str]) -> None:
        started = sorted(zones - self._zones)
        ended = sorted(self._zones - zones)
        self._zones = zones
        for zone in started:
            log_event("zone_evacuation_started", zone=zone, evacuated_zones=len(zones))
        for zone in ended:
            log_event("zone_evacuation_ended", zone=zone, evacuated_zones=len(zones))
            for end_listener in self._end_listeners:
                end_listener(zone)
        if started or ended:
            for listener in self._listeners:
                listener()
