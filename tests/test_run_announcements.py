"""Nodes that announce runs of the same request: one at a time runs it, and none waits for long."""

import unittest

from drumbay.comm.network_address import NetworkAddress
from drumbay.quarantine.fingerprint import Fingerprint
from drumbay.quarantine.run_announcements import (
    ARRIVAL_SECONDS,
    MAX_REQUESTS,
    VALID_SECONDS,
    RunAnnounced,
    RunAnnouncements,
)

REQUEST = Fingerprint("request")
LOW = NetworkAddress("10.0.0.1", 7000)
HIGH = NetworkAddress("10.0.0.2", 7000)


class RunAnnouncementsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.sent: list[RunAnnounced] = []
        self.low = RunAnnouncements(LOW, self.sent.append)
        self.high = RunAnnouncements(HIGH, self.sent.append)

    def test_node_runs_a_request_once_its_announcement_has_arrived(self) -> None:
        self.assertFalse(self.low.may_run(REQUEST, 10.0))
        self.assertFalse(self.low.may_run(REQUEST, 10.0 + ARRIVAL_SECONDS / 2))
        self.assertTrue(self.low.may_run(REQUEST, 10.01 + ARRIVAL_SECONDS))
        self.assertEqual(self.sent, [RunAnnounced(fingerprint=REQUEST, node=LOW)])

    def test_of_two_nodes_that_announce_at_once_one_runs_the_request(self) -> None:
        self.assertFalse(self.low.may_run(REQUEST, 10.0))
        self.assertFalse(self.high.may_run(REQUEST, 10.0))
        self.low.receive(self.sent[1], 10.05)
        self.high.receive(self.sent[0], 10.05)
        after = 10.01 + ARRIVAL_SECONDS
        self.assertTrue(self.low.may_run(REQUEST, after))
        self.assertFalse(self.high.may_run(REQUEST, after))
        later = 10.06 + VALID_SECONDS
        self.assertFalse(self.high.may_run(REQUEST, later))
        self.assertTrue(self.high.may_run(REQUEST, later + 0.01 + ARRIVAL_SECONDS))

    def test_node_that_runs_a_request_does_not_yield_to_a_later_announcement(self) -> None:
        self.assertFalse(self.high.may_run(REQUEST, 10.0))
        self.high.receive(RunAnnounced(fingerprint=REQUEST, node=LOW), 10.01 + ARRIVAL_SECONDS)
        self.assertTrue(self.high.may_run(REQUEST, 10.02 + ARRIVAL_SECONDS))

    def test_announcements_are_bounded(self) -> None:
        for number in range(2 * MAX_REQUESTS):
            fingerprint = Fingerprint(f"{number}")
            self.low.receive(RunAnnounced(fingerprint=fingerprint, node=HIGH), 10.0)
        self.assertFalse(self.low.may_run(Fingerprint("0"), 10.1))
        self.assertEqual(len(self.sent), 1)
