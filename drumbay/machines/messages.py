"""Messages by which the readers of the machine list tell the other nodes."""

import msgspec

from drumbay.comm.interface import Message
from drumbay.identifiers import BackendId, BootId, NodeId


class LeavingReport(msgspec.Struct, frozen=True, kw_only=True):
    """The back ends that one reader last saw leaving.

    Attributes:
        reader: The node that read the list.
        boot_id: Run of that node.
        sequence: Grows with each change that this run saw.
        leaving: The back ends, sorted.
    """

    reader: NodeId
    boot_id: BootId
    sequence: int
    leaving: tuple[BackendId, ...]


class LeavingChanged(Message, frozen=True, kw_only=True):
    """A reader saw a change."""

    report: LeavingReport


class FetchLeaving(Message, frozen=True, kw_only=True):
    """Asks a reader for what it and the other readers saw.

    Attributes:
        digest: Digest of the reports that the asking node knows.
    """

    digest: int


class KnownLeaving(Message, frozen=True, kw_only=True):
    """Answer of a node: its reports, or none if the digest fits."""

    reports: tuple[LeavingReport, ...] = ()
