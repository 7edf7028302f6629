"""What a daemon knows of the workers that earlier holders may have given orders to."""

import testtools

from carawaysail_holding import broker_messages, former_workers, held_worker
from carawaysail_types import clock

HOME = "dc-0"


def make_set(token, *workers, sequence=1, is_whole=True):
    """Return what a holder has told of its workers."""
    return broker_messages.WorkerSet(
        HOME, token, sequence, frozenset(workers), is_whole
    )


class TestFormerWorkers(testtools.TestCase):
    """Workers that are expected beside those in the store, and what others are told."""

    def setUp(self):
        super().setUp()
        self.clock = clock.ManualClock()
        self.former = former_workers.FormerWorkers()

    def start_holding(self, token=7, former_token=5):
        self.former.start_holding(HOME, token, former_token)

    def assert_expected(self, *workers, are_known=True):
        self.assertEqual(frozenset(workers), self.former.expected(HOME))
        self.assertEqual(are_known, self.former.are_known(HOME))

    def test_workers_of_the_holder_before_are_expected_until_they_are_held(self):
        self.former.record(make_set(5, "w-0", "w-1"))
        self.start_holding()
        self.assert_expected("w-0", "w-1")
        self.former.record_held(HOME, "w-1")
        self.assert_expected("w-0")
        self.former.record(make_set(5, "w-0", "w-1", "w-2", sequence=2))
        self.assert_expected("w-0", "w-2")

    def test_newest_set_counts(self):
        self.former.record(make_set(5, "w-1", sequence=2))
        self.former.record(make_set(5, "w-0", sequence=1))
        self.former.record(make_set(4, "w-2", sequence=9))
        self.start_holding()
        self.assert_expected("w-1")

    def test_nothing_is_unknown_without_an_earlier_holder(self):
        self.start_holding(former_token=0)
        self.assert_expected()

    def test_workers_are_unknown_until_the_holder_before_has_told_of_them(self):
        self.former.record(make_set(4, "w-0"))
        self.start_holding()
        self.assert_expected("w-0", are_known=False)
        self.former.record(make_set(5, "w-1"))
        self.assert_expected("w-0", "w-1")

    def test_set_of_a_holder_that_does_not_know_all_is_added_to_the_one_before(self):
        self.former.record(make_set(4, "w-0"))
        self.former.record(make_set(5, "w-1", is_whole=False))
        self.start_holding()
        self.assert_expected("w-0", "w-1", are_known=False)

    # The store may have been away since the takeover; entries take two seconds then.
    def test_worker_counts_as_gone_a_while_after_the_first_read(self):
        self.former.record(make_set(4, "w-0"))
        self.start_holding()
        self.clock.advance(clock.milliseconds(60_000))
        self.assertEqual([], self.former.record_read(self.clock.now()))
        self.clock.advance(held_worker.MISSING_TIMEOUT)
        self.assertEqual([], self.former.record_read(self.clock.now()))
        self.clock.advance(clock.milliseconds(1))
        self.assertEqual(["w-0"], self.former.record_read(self.clock.now()))
        self.assert_expected()

    def test_next_holder_is_told_of_what_is_expected(self):
        self.former.record(make_set(4, "w-0"))
        self.start_holding()
        told = self.former.tell(HOME, frozenset(["w-1"]))
        self.assertEqual({"w-0", "w-1"}, told.workers)
        self.assertFalse(told.is_whole)
        self.assertEqual([told], self.former.told_here())

    def test_only_changes_are_told(self):
        self.start_holding()
        first = self.former.tell(HOME, frozenset(["w-1"]))
        self.assertIsNone(self.former.tell(HOME, frozenset(["w-1"])))
        second = self.former.tell(HOME, frozenset(["w-2"]))
        self.assertLess(first.sequence, second.sequence)

    def test_holder_that_was_replaced_forgets_nothing_of_the_next_one(self):
        self.start_holding()
        self.former.record(make_set(9, "w-3"))
        self.assertIsNone(self.former.tell(HOME, frozenset(["w-1"])))
        self.former.stop_holding(HOME)
        self.start_holding(token=11, former_token=9)
        self.assert_expected("w-3")
