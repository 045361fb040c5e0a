"""Messages between the readers of the machine list and the other nodes."""

import msgspec

from drumbay.comm.interface import Message
from drumbay.identifiers import BackendId, BootId, NodeId


class LeavingReport(msgspec.Struct, frozen=True, kw_only=True):
    """The leaving back ends in one reader's last read.

    Attributes:
        reader: The node that read the list.
        boot_id: Identifies the run of that node's process.
        sequence: Incremented with each change that this run saw.
        leaving: The back ends, sorted.
    """

    reader: NodeId
    boot_id: BootId
    sequence: int
    leaving: tuple[BackendId, ...]


class LeavingChanged(Message, frozen=True, kw_only=True):
    """Call: report a change that a reader saw."""

    report: LeavingReport


class FetchLeaving(Message, frozen=True, kw_only=True):
    """Call: request the reports of all readers.

    Attributes:
        digest: Digest of the reports that the sender has.
    """

    digest: int


class KnownLeaving(Message, frozen=True, kw_only=True):
    """Reply: the node's reports, or none if the digests are equal."""

    reports: tuple[LeavingReport, ...] = ()
