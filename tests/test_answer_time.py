"""The limit for answers of the store: close while it is quick, wide once it is slow."""

import unittest

from drumbay.kv.answer_time import MAXIMUM_SECONDS, MINIMUM_SECONDS, AnswerTime


class AnswerTimeTest(unittest.TestCase):
    def test_the_first_call_has_the_longest_limit(self) -> None:
        self.assertEqual(AnswerTime().limit_seconds, MAXIMUM_SECONDS)

    def test_a_quick_service_is_not_waited_for_long(self) -> None:
        answer_time = AnswerTime()
        for _ in range(20):
            answer_time.note_answer(0.005)
        self.assertEqual(answer_time.limit_seconds, MINIMUM_SECONDS)

    def test_a_service_that_becomes_slow_is_waited_for_after_few_lost_answers(self) -> None:
        answer_time = AnswerTime()
        for _ in range(20):
            answer_time.note_answer(0.005)
        lost = 0
        while answer_time.limit_seconds <= 0.4:
            answer_time.note_silence()
            lost += 1
        self.assertEqual(lost, 1)
        for _ in range(20):
            answer_time.note_answer(0.4)
            self.assertGreater(answer_time.limit_seconds, 0.4)

    def test_the_limit_never_grows_beyond_its_bound(self) -> None:
        answer_time = AnswerTime()
        answer_time.note_answer(0.01)
        for _ in range(10):
            answer_time.note_silence()
        self.assertEqual(answer_time.limit_seconds, MAXIMUM_SECONDS)


if __name__ == "__main__":
    unittest.main()
