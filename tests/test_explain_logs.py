"""Explanations of requests, batch jobs and steps from log files."""

import tempfile
import unittest
from pathlib import Path

from typer.testing import CliRunner

from drumbay.cli.main import make_app
from drumbay.explain.log_explanation import explain_from_logs
from drumbay.explain.log_lines import LogLine, parse_line
from drumbay.explain.step_timing import step_timings

DAY = "2026-12-02T10:00:"
LOOKUPS = f"""\
time={DAY}01.000+00:00 level=info event=request_served request=r1 route=l status=200 sent=2 \
refusals=0 workers=w1,w2 elapsed_seconds=0.09
time={DAY}02.000+00:00 level=warning event=request_not_served request=r2 route=l service=s \
error=request_timed_out execution=may_have_run sent=1 refusals=0 workers=w1 elapsed_seconds=1.5
time={DAY}03.000+00:00 level=warning event=request_not_served request=r3 route=l service=s \
error=request_timed_out execution=may_have_run sent=2 refusals=0 workers=w1,w2 elapsed_seconds=1.5
time={DAY}04.000+00:00 level=warning event=request_not_served request=r4 route=l service=s \
error=no_worker execution=not_run sent=3 refusals=3 workers=w1,w2,w3 elapsed_seconds=0.1
time={DAY}05.000+00:00 level=warning event=request_not_served request=r5 route=l service=s \
error=no_worker execution=not_run sent=0 refusals=0 workers= elapsed_seconds=0.0
time={DAY}06.000+00:00 level=info event=request_without_route request=r6 host=h path=/x \
configuration=7
"""
BATCH = f"""\
time={DAY}10.000+00:00 level=info event=batch_accepted batch=b1 items=2 step=1
time={DAY}10.010+00:00 level=info event=item_run_started batch=b1 item=i1 worker=w1 version=1
time={DAY}10.900+00:00 level=info event=item_run_started batch=b1 item=i2 worker=w1 version=1
time={DAY}11.000+00:00 level=info event=item_finished batch=b1 item=i1 state=done missing_groups=1
time={DAY}12.000+00:00 level=warning event=item_run_failed batch=b1 item=i2 worker=w1 failure=broken
time={DAY}12.100+00:00 level=warning event=batch_append_failed batch=b1 position=1 error=x
"""
OTHER_NODE = f"""\
time={DAY}13.000+00:00 level=warning event=batch_taken_over batch=b1 previous=n1:1 listed=1 saved=1
time={DAY}13.010+00:00 level=info event=item_run_started batch=b1 item=i2 worker=w2 version=1
time={DAY}15.000+00:00 level=info event=item_finished batch=b1 item=i2 state=done missing_groups=0
time={DAY}15.100+00:00 level=info event=batch_listed batch=b1 items=2
some other output
"""
REWARD = f"""\
time={DAY}20.000+00:00 level=info event=item_run_started batch=b2 item=i3 worker=w1 version=1
time={DAY}21.000+00:00 level=info event=reward_requested batch=b2 item=i3 request=s3
time={DAY}22.000+00:00 level=warning event=request_not_served request=s3 route=s service=s \
error=no_worker execution=not_run sent=3 refusals=3 workers=w8,w9 elapsed_seconds=0.1
time={DAY}22.000+00:00 level=warning event=item_not_scored batch=b2 item=i3 request=s3 \
reason=not_served worker_failures=0 given_up=false
time={DAY}22.100+00:00 level=info event=reward_requested batch=b2 item=i3 request=s3
"""


class StepTimingTest(unittest.TestCase):
    def test_timing_is_that_of_the_item_that_completes_the_step(self) -> None:
        text = f"""\
time={DAY}10.000+00:00 level=info event=batch_accepted batch=b1 items=2 step=4
time={DAY}10.010+00:00 level=info event=batch_owned batch=b1 model=m step=4 items=2
time={DAY}10.100+00:00 level=info event=item_run_started batch=b1 item=i1 worker=w1
time={DAY}11.000+00:00 level=info event=item_run_started batch=b1 item=i2 worker=w1
time={DAY}11.500+00:00 level=info event=item_finished batch=b1 item=i1 missing_groups=1
time={DAY}12.000+00:00 level=warning event=item_run_failed batch=b1 item=i2 failure=broken
time={DAY}12.100+00:00 level=info event=item_run_started batch=b1 item=i2 worker=w2
time={DAY}14.000+00:00 level=info event=reward_requested batch=b1 item=i2 request=s2
time={DAY}14.100+00:00 level=info event=item_finished batch=b1 item=i2 missing_groups=0
time={DAY}14.200+00:00 level=info event=results_listed batch=b1 position=1 results=1
time={DAY}14.500+00:00 level=info event=batch_ended batch=b1
time={DAY}15.000+00:00 level=info event=batch_accepted batch=b2 items=2 step=5
"""
        parsed = [parse_line(line, "n1") for line in text.splitlines()]
        completed, incomplete = step_timings(line for line in parsed if line is not None)
        assert completed.last_item is not None
        assert completed.completed_after is not None
        assert completed.last_item.listed_after is not None
        self.assertEqual((completed.model, completed.step, completed.late_starts), ("m", 4, 1))
        self.assertAlmostEqual(completed.completed_after, 4.1, 3)
        self.assertAlmostEqual(completed.last_item.started_after, 1.0, 3)
        self.assertAlmostEqual(completed.last_item.text_after, 4.0, 3)
        self.assertAlmostEqual(completed.last_item.score_seconds, 0.1, 3)
        self.assertAlmostEqual(completed.last_item.listed_after, 4.2, 3)
        self.assertEqual(
            (completed.last_item.runs, completed.last_item.interruptions), (2, ("broken",))
        )
        self.assertIsNone(incomplete.last_item)

    def test_command_prints_one_row_per_step(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            (Path(folder) / "n1.log").write_text(BATCH)
            (Path(folder) / "n2.log").write_text(OTHER_NODE)
            arguments = ["explain-steps", folder]
            result = CliRunner().invoke(make_app(arguments), arguments)
        self.assertEqual(result.exit_code, 0)
        (row,) = result.output.splitlines()[1:]
        self.assertIn("i2", row)
        self.assertIn("broken", row)


class LogExplanationTest(unittest.TestCase):
    def lines(self, text: str, process: str = "n1") -> list[LogLine]:
        parsed = [parse_line(line, process) for line in text.splitlines()]
        return [line for line in parsed if line is not None]

    def summary(self, subject_id: str) -> str:
        lines = self.lines(LOOKUPS) + self.lines(BATCH) + self.lines(OTHER_NODE, "n2")
        explanation = explain_from_logs(subject_id, lines)
        assert explanation is not None
        return explanation.summary

    def test_requests(self) -> None:
        self.assertEqual(
            self.summary("r1"), "answered 200 after 0.09 s, sent to 2 worker(s): w1,w2"
        )
        self.assertIn("no whole answer within 1.5 s from w1; 2 other", self.summary("r2"))
        self.assertIn("each of the 3 sends was refused", self.summary("r4"))
        self.assertIn("no_worker (not_run): no worker of s could be used", self.summary("r5"))
        self.assertIn("no route for h/x in configuration 7 at n1", self.summary("r6"))

    def test_batch_job(self) -> None:
        summary = self.summary("b1")
        self.assertIn("listed whole after 5.10 s", summary)
        self.assertIn("1 x batch_append_failed", summary)
        self.assertIn("taken over from n1:1 by n2 after 3.00 s with 1 listed and 1 saved", summary)
        self.assertIn(
            "item i2 done after 4.10 s in 2 run(s) on 2 worker(s); interrupted: 1 x broken,"
            " started 0.90 s late",
            summary,
        )

    def test_item(self) -> None:
        self.assertEqual(self.summary("i1"), "done after 0.99 s in 1 run(s) on 1 worker(s)")

    def test_item_without_score(self) -> None:
        explanation = explain_from_logs("i3", self.lines(LOOKUPS) + self.lines(REWARD))
        assert explanation is not None
        self.assertEqual(
            explanation.summary,
            "unfinished after 2.10 s in 1 run(s) on 1 worker(s); text whole after 1.00 s,"
            " 2 request(s) for its score, without one: 1 x not_served",
        )
        self.assertIn("request_not_served", [line.event for line in explanation.lines])

    def test_prefix_before_the_time_names_the_process(self) -> None:
        text = f'   4.5 edge-1 time={DAY}01.000+00:00 level=info event=e detail="two words" a=1'
        line = parse_line(text, "file")
        assert line is not None
        self.assertEqual((line.process, line.event), ("edge-1", "e"))
        self.assertEqual(line.fields, {"detail": "two words", "a": "1"})

    def test_command(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            (Path(folder) / "n1.log").write_text(BATCH)
            (Path(folder) / "n2.log").write_text(OTHER_NODE)
            result = CliRunner().invoke(make_app(["explain-logs"]), ["explain-logs", "b1", folder])
            self.assertEqual(result.exit_code, 0, result.output)
            self.assertIn("listed whole after 5.10 s", result.output.splitlines()[0])
            self.assertIn("n2 batch_taken_over previous=n1:1", result.output)
            missing = CliRunner().invoke(
                make_app(["explain-logs"]), ["explain-logs", "nobody", folder]
            )
            self.assertNotEqual(missing.exit_code, 0)


if __name__ == "__main__":
    unittest.main()


class HeldBackRequestTest(unittest.TestCase):
    def test_workers_that_ended_under_other_attempts_are_listed(self) -> None:
        text = f"""\
time={DAY}01.000+00:00 level=warning event=worker_ended_under_request request=t1 fingerprint=f1 \
worker=w1 evidence=refused run_seconds=0.05 deaths_in_a_row=1
time={DAY}01.100+00:00 level=warning event=worker_ended_under_request request=u1 fingerprint=f2 \
worker=w2 evidence=refused run_seconds=0.05 deaths_in_a_row=1
time={DAY}09.000+00:00 level=warning event=request_not_served request=t2 fingerprint=f1 route=l \
service=s error=held_back execution=not_run sent=0 refusals=0 workers= elapsed_seconds=0.0
"""
        lines = [parse_line(line, "node-1") for line in text.splitlines()]
        explanation = explain_from_logs("t2", [line for line in lines if line is not None])
        assert explanation is not None
        self.assertEqual(
            explanation.summary, "held back: workers ended under it: w1 under t1 at node-1"
        )
