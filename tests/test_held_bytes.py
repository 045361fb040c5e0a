"""Which bytes a node holds for its callers: the order of what goes, by tables."""

import unittest

from drumbay.limits.held_bytes import (
    ANSWER_MEMORY_SHARE,
    LONGEST_STILL_SECONDS,
    MOST_ROUTES_REMEMBERED,
    PROCESS_OWN_BYTES,
    SMALLEST_BOUND_BYTES,
    ExpectedAnswerSizes,
    HeldBytes,
    HeldKind,
    held_bytes_bound,
)

BOUND = 1_000
RESULTS, SUBMISSION, LOOKUP = HeldKind.RESULTS, HeldKind.SUBMISSION, HeldKind.LOOKUP


class HeldBytesTest(unittest.TestCase):
    def test_results_go_first_then_submissions_and_lookups_last(self) -> None:
        table = [
            (0, {RESULTS, SUBMISSION, LOOKUP}),
            (400, {RESULTS, SUBMISSION, LOOKUP}),
            (401, {SUBMISSION, LOOKUP}),
            (650, {SUBMISSION, LOOKUP}),
            (651, {LOOKUP}),
            (900, {LOOKUP}),
            (901, set()),
        ]
        for held_bytes, taken in table:
            with self.subTest(held_bytes=held_bytes):
                found = set()
                for kind in HeldKind:
                    held = HeldBytes(BOUND)
                    held.take(LOOKUP, held_bytes)
                    if held.try_take(kind, 100):
                        found.add(kind)
                self.assertEqual(found, taken)

    def test_a_burst_of_large_requests_stays_within_the_bound(self) -> None:
        held = HeldBytes(BOUND)
        kinds = [RESULTS, SUBMISSION, LOOKUP] * 40
        taken = [kind for kind in kinds if held.try_take(kind, 60)]
        self.assertLessEqual(held.use.held_bytes, BOUND)
        self.assertEqual(held.use.held_bytes, 60 * len(taken))
        self.assertGreater(taken.count(LOOKUP), taken.count(SUBMISSION))
        self.assertGreater(taken.count(SUBMISSION), taken.count(RESULTS))
        for kind in taken:
            held.release(kind, 60)
        self.assertEqual(held.use.held_bytes, 0)

    def test_an_oversized_request_is_taken_alone(self) -> None:
        table = [(0, True), (250, True), (251, False), (600, False)]
        for held_bytes, is_taken in table:
            with self.subTest(held_bytes=held_bytes):
                held = HeldBytes(BOUND)
                held.take(LOOKUP, held_bytes)
                self.assertEqual(held.try_take(LOOKUP, 5 * BOUND), is_taken)
                self.assertEqual(held.try_take(LOOKUP, 5 * BOUND), False)

    def test_a_body_that_grows_does_not_stand_in_its_own_way(self) -> None:
        held = HeldBytes(BOUND)
        for part in range(20):
            self.assertTrue(held.try_take(SUBMISSION, 100, own_bytes=100 * part))
        self.assertFalse(held.try_take(SUBMISSION, 100))

    def test_every_request_fits_where_little_else_is_held(self) -> None:
        for kind in HeldKind:
            for amount_bytes in range(50, 3 * BOUND, 50):
                held = HeldBytes(BOUND)
                held.take(LOOKUP, BOUND // 4)
                self.assertTrue(held.try_take(kind, amount_bytes), (kind, amount_bytes))

    def test_an_answer_that_is_ready_is_held_without_room_and_others_wait_for_it(self) -> None:
        held = HeldBytes(BOUND)
        held.take(LOOKUP, 2 * BOUND)
        self.assertFalse(held.try_take(LOOKUP, 1))
        held.release(LOOKUP, 2 * BOUND)
        self.assertTrue(held.try_take(RESULTS, 1))

    def test_without_a_bound_all_is_taken_and_counted(self) -> None:
        held = HeldBytes(None)
        for _ in range(100):
            self.assertTrue(held.try_take(RESULTS, 10**9))
        self.assertEqual(held.held(RESULTS), 10**11)
        self.assertFalse(held.gives_up(RESULTS, 19.0, leaving=False))

    def test_who_is_given_up_unread(self) -> None:
        table = [
            # kind, held, seconds unread, leaving, given up
            (RESULTS, 100, 2.0, False, False),
            (RESULTS, 100, LONGEST_STILL_SECONDS, False, True),
            (RESULTS, 500, 1.5, False, False),
            (RESULTS, 500, 2.0, False, True),
            (LOOKUP, 500, 2.0, False, False),
            (LOOKUP, 500, 5.0, False, True),
            (LOOKUP, 100, 5.0, False, False),
            (LOOKUP, 100, 5.0, True, True),
            (LOOKUP, 100, 4.5, True, False),
        ]
        for kind, held_bytes, unread_seconds, leaving, given_up in table:
            with self.subTest(kind=kind, held_bytes=held_bytes, unread_seconds=unread_seconds):
                held = HeldBytes(BOUND)
                held.take(kind, held_bytes)
                found = held.gives_up(kind, unread_seconds, leaving=leaving)
                self.assertEqual(found, given_up)

    def test_the_bound_follows_the_memory_of_the_process(self) -> None:
        self.assertIsNone(held_bytes_bound(None))
        self.assertEqual(held_bytes_bound(PROCESS_OWN_BYTES), SMALLEST_BOUND_BYTES)
        self.assertEqual(held_bytes_bound(PROCESS_OWN_BYTES + 200_000_000), 100_000_000)


class ExpectedAnswerSizesTest(unittest.TestCase):
    def test_a_large_answer_is_expected_for_a_while(self) -> None:
        sizes = ExpectedAnswerSizes()
        self.assertEqual(sizes.expected_bytes("r"), 0)
        sizes.observe("r", 1_000)
        for _ in range(10):
            sizes.observe("r", 10)
        self.assertEqual(sizes.expected_bytes("r"), int(1_000 * ANSWER_MEMORY_SHARE**10))
        for _ in range(200):
            sizes.observe("r", 10)
        self.assertEqual(sizes.expected_bytes("r"), 10)

    def test_routes_are_remembered_up_to_a_bound(self) -> None:
        sizes = ExpectedAnswerSizes()
        for number in range(MOST_ROUTES_REMEMBERED + 1):
            sizes.observe(f"r{number}", 7)
        self.assertEqual(sizes.expected_bytes("r0"), 0)
        self.assertEqual(sizes.expected_bytes("r1"), 7)


if __name__ == "__main__":
    unittest.main()
