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
