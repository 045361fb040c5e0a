"""Interface of the platform calls that the leader makes with its fencing token."""

from collections.abc import Mapping
from enum import StrEnum
from typing import Protocol

import msgspec

from drumbay.identifiers import Fence
from drumbay.tenants.records import TenantName


class DutyOutcome(StrEnum):
    """Outcome of a call.

    ``FENCED``: the platform has seen a higher fencing token, so another node is the leader.
    ``DEFERRED``: the call was rejected temporarily (rate limit, outage) and had no effect.
    ``UNANSWERED``: the call may have taken effect or may do so later; its fencing token is checked
    then.
    """

    ACCEPTED = "accepted"
    FENCED = "fenced"
    DEFERRED = "deferred"
    UNANSWERED = "unanswered"


class DutyToken(msgspec.Struct, frozen=True, kw_only=True):
    """Identifies the caller: the leader's machine and its fencing token."""

    holder: str
    fence: Fence


class UsageReport(msgspec.Struct, frozen=True, kw_only=True):
    """Number of requests of each tenant that started to run in a window."""

    window: int
    counts: Mapping[TenantName, int]


class WorkerCount(msgspec.Struct, frozen=True, kw_only=True):
    """Desired number of workers of a service in a zone."""

    service: str
    zone: str
    workers: int


class PlatformDuties(Protocol):
    """Calls to the platform. They do not raise; the outcome says what is known."""

    async def report_usage(self, token: DutyToken, report: UsageReport) -> DutyOutcome:
        """Report a window. The platform ignores exact duplicates."""
        ...

    async def set_worker_count(self, token: DutyToken, count: WorkerCount) -> DutyOutcome:
        """Set the desired number of workers in a zone."""
        ...
