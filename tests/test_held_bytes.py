"""Bounds on held bytes: the order in which kinds are shed, and stall timeouts."""

import unittest

from drumbay.limits.held_bytes import (
    EXPECTED_SIZE_DECAY,
    MAX_TRACKED_ROUTES,
    MIN_BOUND_BYTES,
    PROCESS_BASELINE_BYTES,
    STALL_TIMEOUT_SECONDS,
    ExpectedResponseSizes,
    HeldBytes,
    HeldKind,
    held_bytes_bound,
)

BOUND_BYTES = 1_000
RESULTS, SUBMISSION, LOOKUP = HeldKind.RESULTS, HeldKind.SUBMISSION, HeldKind.LOOKUP


class HeldBytesTest(unittest.TestCase):
    def test_results_are_shed_first_and_lookups_last(self) -> None:
        table = [
            (0, {RESULTS, SUBMISSION, LOOKUP}),
            (400, {RESULTS, SUBMISSION, LOOKUP}),
            (401, {SUBMISSION, LOOKUP}),
            (650, {SUBMISSION, LOOKUP}),
            (651, {LOOKUP}),
            (900, {LOOKUP}),
            (901, set()),
        ]
        for held_bytes, accepted in table:
            with self.subTest(held_bytes=held_bytes):
                found = set()
                for kind in HeldKind:
                    held = HeldBytes(BOUND_BYTES)
                    held.reserve(LOOKUP, held_bytes)
                    if held.try_reserve(kind, 100):
                        found.add(kind)
                self.assertEqual(found, accepted)

    def test_a_burst_of_large_requests_stays_within_the_bound(self) -> None:
        held = HeldBytes(BOUND_BYTES)
        kinds = [RESULTS, SUBMISSION, LOOKUP] * 40
        accepted = [kind for kind in kinds if held.try_reserve(kind, 60)]
        self.assertLessEqual(held.usage.held_bytes, BOUND_BYTES)
        self.assertEqual(held.usage.held_bytes, 60 * len(accepted))
        self.assertGreater(accepted.count(LOOKUP), accepted.count(SUBMISSION))
        self.assertGreater(accepted.count(SUBMISSION), accepted.count(RESULTS))
        for kind in accepted:
            held.release(kind, 60)
        self.assertEqual(held.usage.held_bytes, 0)

    def test_oversized_request_is_accepted_alone(self) -> None:
        table = [(0, True), (250, True), (251, False), (600, False)]
        for held_bytes, is_accepted in table:
            with self.subTest(held_bytes=held_bytes):
                held = HeldBytes(BOUND_BYTES)
                held.reserve(LOOKUP, held_bytes)
                self.assertEqual(held.try_reserve(LOOKUP, 5 * BOUND_BYTES), is_accepted)
                self.assertEqual(held.try_reserve(LOOKUP, 5 * BOUND_BYTES), False)

    def test_growing_body_is_not_limited_by_its_own_bytes(self) -> None:
        held = HeldBytes(BOUND_BYTES)
        for part in range(20):
            self.assertTrue(held.try_reserve(SUBMISSION, 100, already_held_bytes=100 * part))
        self.assertFalse(held.try_reserve(SUBMISSION, 100))

    def test_every_request_fits_while_little_is_held(self) -> None:
        for kind in HeldKind:
            for amount_bytes in range(50, 3 * BOUND_BYTES, 50):
                held = HeldBytes(BOUND_BYTES)
                held.reserve(LOOKUP, BOUND_BYTES // 4)
                self.assertTrue(held.try_reserve(kind, amount_bytes), (kind, amount_bytes))

    def test_ready_response_exceeds_the_bound_and_blocks_others(self) -> None:
        held = HeldBytes(BOUND_BYTES)
        held.reserve(LOOKUP, 2 * BOUND_BYTES)
        self.assertFalse(held.try_reserve(LOOKUP, 1))
        held.release(LOOKUP, 2 * BOUND_BYTES)
        self.assertTrue(held.try_reserve(RESULTS, 1))

    def test_without_a_bound_everything_is_accepted_and_counted(self) -> None:
        held = HeldBytes(None)
        for _ in range(100):
            self.assertTrue(held.try_reserve(RESULTS, 10**9))
        self.assertEqual(held.held(RESULTS), 10**11)
        self.assertFalse(held.should_drop(RESULTS, 19.0, leaving=False))

    def test_stall_timeouts_of_unread_responses(self) -> None:
        table = [
            # kind, held bytes, seconds unread, leaving, dropped
            (RESULTS, 100, 2.0, False, False),
            (RESULTS, 100, STALL_TIMEOUT_SECONDS, False, True),
            (RESULTS, 500, 1.5, False, False),
            (RESULTS, 500, 2.0, False, True),
            (LOOKUP, 500, 2.0, False, False),
            (LOOKUP, 500, 5.0, False, True),
            (LOOKUP, 100, 5.0, False, False),
            (LOOKUP, 100, 5.0, True, True),
            (LOOKUP, 100, 4.5, True, False),
        ]
        for kind, held_bytes, unread_seconds, leaving, dropped in table:
            with self.subTest(kind=kind, held_bytes=held_bytes, unread_seconds=unread_seconds):
                held = HeldBytes(BOUND_BYTES)
                held.reserve(kind, held_bytes)
                found = held.should_drop(kind, unread_seconds, leaving=leaving)
                self.assertEqual(found, dropped)

    def test_bound_depends_on_the_memory_limit(self) -> None:
        self.assertIsNone(held_bytes_bound(None))
        self.assertEqual(held_bytes_bound(PROCESS_BASELINE_BYTES), MIN_BOUND_BYTES)
        self.assertEqual(held_bytes_bound(PROCESS_BASELINE_BYTES + 200_000_000), 100_000_000)


class ExpectedResponseSizesTest(unittest.TestCase):
    def test_expected_size_decays_after_a_large_response(self) -> None:
        sizes = ExpectedResponseSizes()
        self.assertEqual(sizes.expected_bytes("r"), 0)
        sizes.observe("r", 1_000)
        for _ in range(10):
            sizes.observe("r", 10)
        self.assertEqual(sizes.expected_bytes("r"), int(1_000 * EXPECTED_SIZE_DECAY**10))
        for _ in range(200):
            sizes.observe("r", 10)
        self.assertEqual(sizes.expected_bytes("r"), 10)

    def test_number_of_tracked_routes_is_bounded(self) -> None:
        sizes = ExpectedResponseSizes()
        for number in range(MAX_TRACKED_ROUTES + 1):
            sizes.observe(f"r{number}", 7)
        self.assertEqual(sizes.expected_bytes("r0"), 0)
        self.assertEqual(sizes.expected_bytes("r1"), 7)


if __name__ == "__main__":
    unittest.main()
