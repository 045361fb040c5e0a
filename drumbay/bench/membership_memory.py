"""Measures the memory that a node spends on each member that it knows."""

import random
import tracemalloc

import msgspec

from drumbay.comm.interface import Address
from drumbay.identifiers import BootId, NodeId
from drumbay.membership.messages import Gossip
from drumbay.membership.records import Member, MembershipSettings
from drumbay.membership.swim import Swim

HOSTS_PER_SUBNET = 250


def _member(number: int) -> Member:
    subnet, host = divmod(number, HOSTS_PER_SUBNET)
    return Member(
        node_id=NodeId(f"node-{number:05d}"),
        address=Address(f"10.0.{subnet}.{host + 1}", 7000),
        zone=f"zone-{number % 6}",
        region=f"region-{number % 2}",
        boot_id=BootId(f"{number:016x}"),
        labels={"has_data_folder": "true"},
    )


def measure_bytes_per_member(member_count: int) -> float:
    """Return the allocated bytes per member of one node, its news included."""
    own = _member(0)
    swim = Swim(own, (), MembershipSettings(), random.Random(1))
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    for number in range(1, member_count + 1):
        record = _member(number)
        news = Gossip(sender=record.node_id, records=(record,))
        # Decoded as from the network, so that nothing is shared between members.
        received = msgspec.msgpack.decode(msgspec.msgpack.encode(news), type=Gossip)
        swim.receive(0.0, record.address, received)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return (after - before) / member_count
