"""Parts of the membership state machine."""

import math
import random
import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from drumbay.comm.codec import MAX_DATAGRAM_MESSAGE_BYTES, encoded_size_bytes
from drumbay.comm.interface import Address
from drumbay.identifiers import BootId, NodeId
from drumbay.membership.anti_entropy import MAX_BUCKETS_PER_EXCHANGE
from drumbay.membership.dissemination import DisseminationQueue, retransmit_limit
from drumbay.membership.local_health import LocalHealth
from drumbay.membership.member_table import DIGEST_BUCKETS, MemberTable
from drumbay.membership.messages import (
    Ack,
    Gossip,
    MembershipDatagram,
    Ping,
    SyncRequest,
    SyncUpdates,
)
from drumbay.membership.probe_schedule import ProbeSchedule
from drumbay.membership.records import (
    Member,
    MemberChangeKind,
    MembershipSettings,
    MemberState,
    StateUpdate,
    state_update_of,
)
from drumbay.membership.suspicion import SuspicionTimers
from drumbay.membership.swim import Swim

SETTINGS = MembershipSettings()


def member_of(
    number: int,
    *,
    region: str = "region-0",
    zone: str = "zone-0",
    boot: str = "first",
    incarnation: int = 1,
    state: MemberState = MemberState.ALIVE,
) -> Member:
    return Member(
        node_id=NodeId(f"node-{number}"),
        address=Address("10.0.0.1", number),
        zone=zone,
        region=region,
        boot_id=BootId(f"boot-{number}-{boot}"),
        incarnation=incarnation,
        state=state,
    )


def swim_of(number: int) -> Swim:
    return Swim(member_of(number), (), SETTINGS, random.Random(number))


class MemberTableTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(
        st.lists(
            st.tuples(st.integers(1, 4), st.sampled_from(list(MemberState))),
            min_size=1,
            max_size=8,
        ),
        st.randoms(use_true_random=False),
    )
    def test_order_of_arrival_does_not_matter(
        self, news: list[tuple[int, MemberState]], shuffler: random.Random
    ) -> None:
        """Nodes that got the same news hold the same belief, and their digests agree."""
        updates = [
            state_update_of(member_of(1, incarnation=incarnation, state=state))
            for incarnation, state in news
        ]
        shuffled = list(updates)
        shuffler.shuffle(shuffled)
        beliefs = []
        for order in (updates, shuffled):
            table = MemberTable(member_of(0))
            table.apply_record(0.0, member_of(1))
            for update in order:
                table.apply_update(0.0, update)
            beliefs.append((table.get(NodeId("node-1")), table.digests()))
        self.assertEqual(beliefs[0], beliefs[1])

    def test_compact_update_of_another_boot_needs_the_full_record(self) -> None:
        table = MemberTable(member_of(0))
        table.apply_record(0.0, member_of(1))
        restarted = member_of(1, boot="second", incarnation=5)
        self.assertIsNone(table.apply_update(0.0, state_update_of(restarted)))
        change = table.apply_record(0.0, restarted)
        assert change is not None
        self.assertIs(change.kind, MemberChangeKind.RESTARTED)

    def test_unknown_dead_member_is_ignored_and_old_ones_are_purged(self) -> None:
        table = MemberTable(member_of(0))
        self.assertIsNone(table.apply_record(0.0, member_of(1, state=MemberState.DEAD)))
        table.apply_record(0.0, member_of(2))
        table.apply_update(50.0, state_update_of(member_of(2, state=MemberState.DEAD)))
        table.purge_before(50.0, 50.0)
        self.assertEqual(len(table.members()), 2)
        table.purge_before(50.1, 50.1)
        self.assertEqual(table.members(), (member_of(0),))
        self.assertEqual(table.digests(), MemberTable(member_of(0)).digests())


class DisseminationTest(unittest.TestCase):
    def test_update_is_sent_a_bounded_number_of_times_and_fits(self) -> None:
        queue = DisseminationQueue(SETTINGS.retransmit_multiplier)
        for number in range(300):
            queue.add(state_update_of(member_of(number)))
        sent: dict[NodeId, int] = {}
        while len(queue) > 0:
            empty = Gossip(sender=NodeId("node-0"))
            message = queue.attach(empty, MAX_DATAGRAM_MESSAGE_BYTES, 300)
            self.assertLessEqual(encoded_size_bytes(message), MAX_DATAGRAM_MESSAGE_BYTES)
            for update in message.updates:
                sent[update.node_id] = sent.get(update.node_id, 0) + 1
        limit = retransmit_limit(SETTINGS.retransmit_multiplier, 300)
        self.assertEqual(set(sent.values()), {limit})
        self.assertEqual(limit, math.ceil(SETTINGS.retransmit_multiplier * math.log10(301)))

    def test_newer_update_replaces_older(self) -> None:
        queue = DisseminationQueue(1.0)
        queue.add(state_update_of(member_of(1, state=MemberState.SUSPECT)))
        queue.add(state_update_of(member_of(1, incarnation=2)))
        message = queue.attach(Gossip(sender=NodeId("node-0")), 1000, 10)
        self.assertEqual([each.incarnation for each in message.updates], [2])


class SuspicionTest(unittest.TestCase):
    def test_each_independent_accuser_shortens_the_timeout(self) -> None:
        timers = SuspicionTimers(SETTINGS)
        node = NodeId("node-1")
        deadlines = []
        for accuser in range(SETTINGS.suspicion_confirmations + 1):
            self.assertTrue(
                timers.record_suspicion(0.0, node, 1, NodeId(f"accuser-{accuser}"), 100)
            )
            self.assertFalse(
                timers.record_suspicion(0.0, node, 1, NodeId(f"accuser-{accuser}"), 100)
            )
            deadlines.append(timers.next_deadline)
        self.assertEqual(deadlines, sorted(deadlines, reverse=True))
        shortest = 2 * SETTINGS.suspicion_multiplier
        self.assertAlmostEqual(deadlines[0], shortest * SETTINGS.suspicion_max_factor)
        self.assertAlmostEqual(deadlines[-1], shortest)
        self.assertFalse(timers.record_suspicion(0.0, node, 1, NodeId("one too many"), 100))
        self.assertEqual(timers.expired(shortest), [node])
        timers.extend(60.0)
        self.assertEqual(timers.expired(shortest), [])


class LocalHealthTest(unittest.TestCase):
    def test_score_is_bounded_on_both_sides(self) -> None:
        health = LocalHealth(2)
        health.record_success()
        self.assertEqual(health.factor, 1)
        for _ in range(5):
            health.record_failure()
        self.assertEqual(health.factor, 3)


class ProbeScheduleTest(unittest.TestCase):
    def schedule(self, local: int, remote: int) -> ProbeSchedule:
        table = MemberTable(member_of(0))
        schedule = ProbeSchedule(table, SETTINGS, random.Random(1))
        for number in range(1, local + remote + 1):
            region = "region-0" if number <= local else "region-1"
            member = member_of(number, region=region, zone=f"zone-{number % 3}")
            table.apply_record(0.0, member)
            schedule.add(member)
        return schedule

    def targets(self, schedule: ProbeSchedule, count: int) -> dict[str, int]:
        counts: dict[str, int] = {}
        for _ in range(count):
            target = schedule.next_target()
            assert target is not None
            counts[target.node_id] = counts.get(target.node_id, 0) + 1
        return counts

    def test_every_member_is_probed_once_per_traversal(self) -> None:
        counts = self.targets(self.schedule(local=20, remote=0), 60)
        self.assertEqual((len(counts), set(counts.values())), (20, {3}))

    def test_fraction_of_other_regions_is_bounded_by_setting_and_by_size(self) -> None:
        for local, remote, fraction in ((20, 20, 0.25), (190, 10, 0.05), (0, 5, 1.0)):
            schedule = self.schedule(local, remote)
            remotes = sum(
                count
                for node, count in self.targets(schedule, 4000).items()
                if int(node.removeprefix("node-")) > local
            )
            self.assertAlmostEqual(remotes / 4000, fraction, delta=0.02)

    def test_helpers_include_the_targets_zone_and_the_own_region(self) -> None:
        schedule = self.schedule(local=10, remote=10)
        target = member_of(13, region="region-1", zone="zone-1")
        helpers = schedule.helpers(target)
        self.assertEqual(len(helpers), SETTINGS.indirect_probes)
        self.assertNotIn(target.node_id, [each.node_id for each in helpers])
        self.assertEqual((helpers[0].region, helpers[0].zone), ("region-1", "zone-1"))
        self.assertEqual(helpers[1].region, "region-0")


class SwimTest(unittest.TestCase):
    def test_ping_for_another_node_at_this_address_is_not_acknowledged(self) -> None:
        swim = swim_of(1)
        swim.tick(0.0)
        for target, ack_count in ((NodeId("node-1"), 1), (NodeId("node-9"), 0)):
            ping = Ping(sender=NodeId("node-2"), sequence=1, target=target)
            output = swim.receive(0.1, Address("10.0.0.1", 2), ping)
            acks = [each for each in output.datagrams if isinstance(each.message, Ack)]
            self.assertEqual(len(acks), ack_count)

    def test_second_process_with_the_same_name_is_reported_and_an_earlier_boot_is_not(self) -> None:
        swim = swim_of(1)
        swim.tick(0.0)
        sender = Address("10.0.0.1", 2)
        changes = []
        for incarnation in (3, 7):
            foreign = member_of(1, boot="other", incarnation=incarnation)
            message = Gossip(sender=NodeId("node-2"), records=(foreign,))
            changes.append([each.kind for each in swim.receive(0.1, sender, message).changes])
            self.assertEqual(swim.self_member.incarnation, incarnation + 1)
        self.assertEqual(changes, [[], [MemberChangeKind.IDENTITY_CONFLICT]])

    def test_every_datagram_carries_the_application_revision(self) -> None:
        first, second = swim_of(1), swim_of(2)
        first.set_application_revision(42)
        second.receive(
            0.0, Address("10.0.0.1", 1), Gossip(sender=NodeId("node-1"), records=(member_of(1),))
        )
        ping = Ping(sender=NodeId("node-2"), sequence=1, target=NodeId("node-1"))
        output = first.receive(0.0, Address("10.0.0.1", 2), ping)
        second.receive(0.1, Address("10.0.0.1", 1), output.datagrams[0].message)
        known = second.member(NodeId("node-1"))
        assert known is not None
        self.assertEqual(known.application_revision, 42)

    def test_new_node_learns_a_large_table_in_few_exchanges_of_bounded_datagrams(self) -> None:
        joiner, seed = swim_of(0), swim_of(1)
        for number in range(2, 410):
            record = member_of(number, zone="zone-with-a-long-name")
            seed.receive(0.0, record.address, Gossip(sender=record.node_id, records=(record,)))
        swims = {joiner.self_member.address: joiner, seed.self_member.address: seed}
        exchanges = 0
        while joiner.reachable_count < 409:
            exchanges += 1
            request = SyncRequest(
                sender=joiner.self_member.node_id,
                record=joiner.self_member,
                digests=tuple(joiner._table.digests()),
            )
            in_flight: list[tuple[Address, Address, MembershipDatagram]]
            in_flight = [(joiner.self_member.address, seed.self_member.address, request)]
            while in_flight:
                sender, receiver, message = in_flight.pop(0)
                self.assertLessEqual(encoded_size_bytes(message), MAX_DATAGRAM_MESSAGE_BYTES)
                output = swims[receiver].receive(0.0, sender, message)
                in_flight += [
                    (receiver, each.address, each.message)
                    for each in output.datagrams
                    if each.address in swims
                ]
        self.assertEqual(exchanges, DIGEST_BUCKETS // MAX_BUCKETS_PER_EXCHANGE)

    def test_member_that_a_peer_considers_dead_is_probed_next_and_not_suspected(self) -> None:
        swim = swim_of(1)
        records = tuple(member_of(number) for number in range(2, 100))
        address = Address("10.0.0.1", 2)
        swim.receive(0.0, address, Gossip(sender=NodeId("node-2"), records=records))
        dead = state_update_of(member_of(77, state=MemberState.DEAD))
        message = SyncUpdates(sender=NodeId("node-2"), bucket_updates=(dead,))
        self.assertEqual(swim.receive(0.0, address, message).changes, ())
        pings = [each.message for each in swim.tick(0.0).datagrams]
        targets = [each.target for each in pings if isinstance(each, Ping)]
        self.assertEqual(targets, [NodeId("node-77")])

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(st.data())
    def test_any_news_leaves_a_node_sure_of_itself(self, data: st.DataObject) -> None:
        """Whatever is said of a node, it announces itself alive above all of it."""
        swim = swim_of(1)
        swim.tick(0.0)
        highest = 1
        for step in range(data.draw(st.integers(1, 10))):
            update = StateUpdate(
                node_id=NodeId("node-1"),
                boot_mark=data.draw(
                    st.sampled_from([state_update_of(member_of(1)).boot_mark, 12345])
                ),
                incarnation=data.draw(st.integers(1, 20)),
                state=data.draw(st.sampled_from(list(MemberState))),
            )
            highest = max(highest, update.incarnation)
            message = Gossip(sender=NodeId("node-2"), updates=(update,))
            swim.receive(0.01 * step, Address("10.0.0.1", 2), message)
            own = swim.self_member
            self.assertIs(own.state, MemberState.ALIVE)
            self.assertGreaterEqual(own.incarnation, highest)

    def test_records_survive_the_wire(self) -> None:
        ping = Ping(
            sender=NodeId("node-1"),
            sequence=3,
            target=NodeId("node-2"),
            updates=(state_update_of(member_of(3, state=MemberState.SUSPECT)),),
            records=(member_of(4),),
        )
        self.assertEqual(msgspec.msgpack.decode(msgspec.msgpack.encode(ping), type=Ping), ping)
