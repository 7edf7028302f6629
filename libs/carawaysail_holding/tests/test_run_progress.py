"""How far runs are, and which stand still."""

import testtools

from carawaysail_holding import run_progress
from carawaysail_types import clock, runs

MS = clock.milliseconds


class TestProgress(testtools.TestCase):
    """Shares of work done from one listing to the next."""

    def setUp(self):
        super().setUp()
        self.clock = clock.ManualClock()
        self.found = run_progress.RunProgress()
        self.run = runs.Run(runs.Task("0" * 16, 0, 0, 0), 1)

    def take(self, *shares, wait_ms=0):
        self.clock.advance(MS(wait_ms))
        listing = runs.WorkerStatus("1", MS(0), (self.run,) * len(shares), (), shares)
        self.found.record_status(listing, self.clock.now())

    def is_stalled(self, at_most_ms=100):
        return self.found.is_stalled(self.run, MS(at_most_ms), self.clock.now())

    def is_moving(self):
        return self.found.is_progressing(self.run, self.clock.now())

    def test_run_that_was_never_listed_is_not_stalled(self):
        self.clock.advance(MS(5000))
        self.assertFalse(self.is_stalled())

    def test_run_that_comes_further_moves(self):
        self.take(0.1)
        self.take(0.5, wait_ms=250)
        self.assertTrue(self.is_moving())
        self.assertFalse(self.is_stalled())

    def test_run_that_stays_where_it_is_is_stalled(self):
        self.take(0.1)
        self.take(0.1, wait_ms=250)
        self.assertFalse(self.is_moving())
        self.assertTrue(self.is_stalled())

    def test_run_that_never_began_is_stalled(self):
        self.take(0.0)
        self.assertFalse(self.is_moving())
        self.take(0.0, wait_ms=250)
        self.assertTrue(self.is_stalled())

    def test_two_listings_at_once_tell_nothing(self):
        self.take(0.1)
        self.take(0.1, wait_ms=5)
        self.assertFalse(self.is_stalled())

    def test_longer_run_is_given_longer(self):
        self.take(0.1)
        self.take(0.1, wait_ms=900)
        self.assertFalse(self.is_stalled(at_most_ms=10_000))
        self.take(0.1, wait_ms=100)
        self.assertTrue(self.is_stalled(at_most_ms=10_000))

    def test_listing_without_progress_tells_nothing(self):
        listing = runs.WorkerStatus("1", MS(0), (self.run,), ())
        self.found.record_status(listing, self.clock.now())
        self.clock.advance(MS(5000))
        self.found.record_status(listing, self.clock.now())
        self.assertFalse(self.is_stalled())
        self.assertFalse(self.found.has_progress)

    def test_progress_counts_as_told_once_a_run_is_under_way(self):
        self.take(0.0)
        self.assertFalse(self.found.has_progress)
        self.take(0.01, wait_ms=10)
        self.assertTrue(self.found.has_progress)
