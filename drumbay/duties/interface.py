"""What the leader tells the platform, under its fence."""

from collections.abc import Mapping
from enum import StrEnum
from typing import Protocol

import msgspec

from drumbay.identifiers import Fence
from drumbay.tenants.records import TenantName


class DutyOutcome(StrEnum):
    """What became of a call.

    ``FENCED``: the platform has seen a higher fence, so another node holds the duty. ``DEFERRED``:
    the platform refused it for now (rate, outage); it was not carried out. ``UNANSWERED``: it may
    have been carried out, or may be later; its fence is checked at that time.
    """

    ACCEPTED = "accepted"
    FENCED = "fenced"
    DEFERRED = "deferred"
    UNANSWERED = "unanswered"


class DutyToken(msgspec.Struct, frozen=True, kw_only=True):
    """Who calls: the machine that holds the duties, and its fence."""

    holder: str
    fence: Fence


class UsageReport(msgspec.Struct, frozen=True, kw_only=True):
    """How many requests of each tenant began to run in one window of time."""

    window: int
    counts: Mapping[TenantName, int]


class WorkerCount(msgspec.Struct, frozen=True, kw_only=True):
    """How many workers of a service a zone is to have."""

    service: str
    zone: str
    workers: int


class PlatformDuties(Protocol):
    """The platform's side of the duties. No call raises; an outcome says what is known."""

    async def report_usage(self, token: DutyToken, report: UsageReport) -> DutyOutcome:
        """Report one window. The platform passes over an exact repeat."""
        ...

    async def set_worker_count(self, token: DutyToken, count: WorkerCount) -> DutyOutcome:
        """Set how many workers a zone is to have."""
        ...
