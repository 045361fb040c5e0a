"""Text and tokens of a sample after later spans are dropped."""

import unittest

from drumbay.backends.interface import FinishReason, TokenChunk
from drumbay.identifiers import AttemptId, BootId, WeightVersion
from drumbay.rollout.sample import MAX_TEXT_PIECES, RolloutPrompt, SampleBuilder, SampleKey


def chunk(attempt: str, index: int, version: int, *, last: bool = False) -> TokenChunk:
    return TokenChunk(
        attempt_id=AttemptId(attempt),
        boot_id=BootId("boot"),
        weight_version=WeightVersion(version),
        first_index=index,
        token_ids=(2**40 + index,),
        text=f"{attempt}{index} ",
        finish_reason=FinishReason.STOP if last else None,
    )


class SampleBuilderTextTest(unittest.TestCase):
    def test_text_matches_the_kept_tokens(self) -> None:
        kept, total = 3 * MAX_TEXT_PIECES, 5 * MAX_TEXT_PIECES
        builder = SampleBuilder(SampleKey(0, 0), RolloutPrompt(text="", group="", max_tokens=999))
        builder.start_attempt(AttemptId("a"))
        for index in range(kept):
            builder.add_chunk(chunk("a", index, 1))
        builder.start_attempt(AttemptId("b"))
        for index in range(kept, kept + 100):
            builder.add_chunk(chunk("b", index, 2))
        builder.keep_tokens(kept)
        builder.start_attempt(AttemptId("c"))
        for index in range(kept, total):
            builder.add_chunk(chunk("c", index, 3, last=index == total - 1))
        sample = builder.finish()
        expected = [f"a{index} " for index in range(kept)]
        expected += [f"c{index} " for index in range(kept, total)]
        self.assertEqual(sample.text, "".join(expected))
        self.assertEqual(sample.token_ids, tuple(2**40 + index for index in range(total)))
        self.assertEqual([span.token_count for span in sample.spans], [kept, total - kept])
