"""Calls to all replicas of a stream that return once a majority has granted."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

import msgspec

from drumbay.comm.interface import Address
from drumbay.delivery.exceptions import OwnerDeposedError, QuorumUnavailableError
from drumbay.delivery.messages import StreamPromiseReply, StreamReply
from drumbay.delivery.recovery import majority
from drumbay.exceptions import DrumbayError
from drumbay.identifiers import Epoch
from drumbay.tasks import TaskOwner

ResultT = TypeVar("ResultT")


class ReplicaView(msgspec.Struct, frozen=True, kw_only=True):
    """The epoch and members of the replica set that an owner uses."""

    epoch: Epoch
    members: tuple[Address, ...]


class Granted(msgspec.Struct, Generic[ResultT], frozen=True):
    """A replica granted the request."""

    result: ResultT


class Refused(msgspec.Struct, frozen=True):
    """A replica refused the request because it promised a higher ballot."""


class Failed(msgspec.Struct, frozen=True):
    """A replica did not respond or responded with an error."""

    error: DrumbayError


async def call_majority(
    task_owner: TaskOwner,
    members: tuple[Address, ...],
    call: Callable[[Address], Awaitable[ResultT | None]],
) -> list[ResultT]:
    """Call every member and return the results of the first majority that granted.

    Pending calls continue, so that slower replicas receive the request too.

    Args:
        task_owner: Owner of the calls.
        members: The replicas.
        call: Calls one replica; ``None`` means that it refused.

    Raises:
        OwnerDeposedError: Too many failed or refused, and one refused.
        QuorumUnavailableError: Too many failed.
    """
    results: asyncio.Queue[Granted[ResultT] | Refused | Failed] = asyncio.Queue()

    async def run(member: Address) -> None:
        try:
            result = await call(member)
        except DrumbayError as error:
            results.put_nowait(Failed(error))
        else:
            results.put_nowait(Refused() if result is None else Granted(result))

    for member in members:
        task_owner.spawn(run(member), name=f"stream_replica_{member.host}:{member.port}")
    needed = majority(len(members))
    granted: list[ResultT] = []
    failures: list[DrumbayError] = []
    refused = 0
    while len(granted) < needed:
        if len(members) - refused - len(failures) < needed:
            raise _majority_error(refused, failures)
        match await results.get():
            case Granted(result=result):
                granted.append(result)
            case Refused():
                refused += 1
            case Failed(error=error):
                failures.append(error)
    return granted


def _majority_error(refused: int, failures: list[DrumbayError]) -> DrumbayError:
    if refused:
        return OwnerDeposedError(f"{refused} replicas promised a newer owner")
    details = "; ".join(f"{error.code}: {error}" for error in failures)
    return QuorumUnavailableError(details)


def reply_if_granted(reply: object) -> StreamReply | StreamPromiseReply | None:
    """Return a reply that grants the request, or ``None`` if it was refused."""
    if not isinstance(reply, StreamReply | StreamPromiseReply):
        raise QuorumUnavailableError(f"unexpected reply {type(reply).__name__}")
    return reply if reply.granted else None
