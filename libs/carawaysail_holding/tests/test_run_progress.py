"""Run progress and the detection of stalled runs."""

import testtools

from carawaysail_holding import run_progress
from carawaysail_types import clock, runs

MS = clock.milliseconds


class TestRunProgress(testtools.TestCase):
    """Progress of one run over successive worker statuses."""

    def setUp(self):
        super().setUp()
        self.clock = clock.ManualClock()
        self.progress = run_progress.RunProgress()
        self.run = runs.Run(runs.Task("0" * 16, 0, 0, 0), 1)

    def record_status(self, *shares, wait_ms=0):
        self.clock.advance(MS(wait_ms))
        status = runs.WorkerStatus("1", MS(0), (self.run,) * len(shares), (), shares)
        self.progress.record_status(status, self.clock.now())

    def is_stalled(self, upper_bound_ms=100):
        return self.progress.is_stalled(self.run, MS(upper_bound_ms), self.clock.now())

    def is_progressing(self):
        return self.progress.is_progressing(self.run, self.clock.now())

    def test_run_that_was_never_reported_is_not_stalled(self):
        self.clock.advance(MS(5000))
        self.assertFalse(self.is_stalled())

    def test_run_with_changed_progress_is_not_stalled(self):
        self.record_status(0.1)
        self.record_status(0.5, wait_ms=250)
        self.assertTrue(self.is_progressing())
        self.assertFalse(self.is_stalled())

    def test_run_without_changed_progress_is_stalled(self):
        self.record_status(0.1)
        self.record_status(0.1, wait_ms=250)
        self.assertFalse(self.is_progressing())
        self.assertTrue(self.is_stalled())

    def test_run_that_stays_at_zero_is_stalled(self):
        self.record_status(0.0)
        self.assertFalse(self.is_progressing())
        self.record_status(0.0, wait_ms=250)
        self.assertTrue(self.is_stalled())

    def test_two_statuses_in_a_short_time_show_no_stall(self):
        self.record_status(0.1)
        self.record_status(0.1, wait_ms=5)
        self.assertFalse(self.is_stalled())

    def test_longer_run_has_a_longer_stall_time(self):
        self.record_status(0.1)
        self.record_status(0.1, wait_ms=900)
        self.assertFalse(self.is_stalled(upper_bound_ms=10_000))
        self.record_status(0.1, wait_ms=100)
        self.assertTrue(self.is_stalled(upper_bound_ms=10_000))

    def test_status_without_progress_shows_no_stall(self):
        status = runs.WorkerStatus("1", MS(0), (self.run,), ())
        self.progress.record_status(status, self.clock.now())
        self.clock.advance(MS(5000))
        self.progress.record_status(status, self.clock.now())
        self.assertFalse(self.is_stalled())
        self.assertFalse(self.progress.has_progress)

    def test_progress_counts_as_reported_once_it_is_above_zero(self):
        self.record_status(0.0)
        self.assertFalse(self.progress.has_progress)
        self.record_status(0.01, wait_ms=10)
        self.assertTrue(self.progress.has_progress)


class TestMeasuredRunTime(testtools.TestCase):
    """Run times by the progress and the clock of the worker."""

    def setUp(self):
        super().setUp()
        self.progress = run_progress.RunProgress()
        self.run = runs.Run(runs.Task("0" * 16, 0, 0, 0), 1)

    def measure(self, first_ms, share, end_ms):
        """Return the run time in ms of a run listed once before its end."""
        now = clock.ManualClock().now()
        running = runs.WorkerStatus("1", MS(first_ms), (self.run,), (), (share,))
        self.progress.record_status(running, now)
        finished = runs.FinishedRun(1, self.run, runs.RunResult.DONE)
        ended = runs.WorkerStatus("1", MS(end_ms), (), (finished,), ())
        # The daemon handles both answers a second late.
        self.progress.record_status(ended, now + MS(1000))
        run_time = self.progress.run_time(self.run)
        return None if run_time is None else round(clock.to_milliseconds(run_time))

    def test_lateness_of_the_daemon_is_not_in_it(self):
        self.assertEqual(100, self.measure(5000, 0.4, 5060))

    def test_run_that_was_listed_too_late_is_not_measured(self):
        self.assertIsNone(self.measure(5000, 0.4, 5010))
        self.assertIsNone(self.measure(5000, 0.95, 5060))

    def test_run_that_was_not_listed_is_not_measured(self):
        other = runs.Run(self.run.task, 2)
        self.measure(5000, 0.4, 5060)
        self.assertIsNone(self.progress.run_time(other))
