"""Tasks that speak to the store, and how they bear its trouble."""

import random

import testtools

from carawaysail_fleet import backoff, ports, store_tasks
from carawaysail_platform import errors


class Store:
    """A store that answers, or fails as told."""

    def __init__(self):
        self.calls = []
        self.failure = None
        self.changed = ()
        self.revision = 5

    def _called(self, call):
        self.calls.append(call)
        failure, self.failure = self.failure, None
        if failure is not None:
            raise failure

    def read(self, key):
        self._called("read")
        return ports.Item(key, b"old", self.revision)

    def list(self, prefix, allow_stale=False):
        self._called("list")
        return ports.Snapshot((), self.revision)

    def wait(self, prefix, after, wait):
        self._called(("wait", after))
        self.revision += 1
        changed, self.changed = self.changed, ()
        return ports.WatchResult(changed, (), self.revision)


class Sink:
    """Keeps the messages that a task sends."""

    def __init__(self):
        self.found = []

    def put(self, message):
        self.found.append(message)


class Directory:
    """Configurations are their own bytes."""

    configuration_key = "settings"

    def configuration(self, value):
        return value


class TestBackoff(testtools.TestCase):
    """Pauses between failed calls."""

    def pauses(self, count, seed=1):
        found = backoff.Backoff(random.Random(seed))
        return [found.next_pause_s() for _ in range(count)]

    def test_pauses_grow_up_to_a_bound(self):
        pauses = self.pauses(40)
        self.assertLess(pauses[0], backoff.FIRST_PAUSE_S * 1.5)
        longest_s = backoff.MAX_PAUSE_S * (1.0 + backoff.JITTER)
        self.assertLessEqual(max(pauses), longest_s)
        mean_s = sum(pauses[5:]) / 35
        self.assertAlmostEqual(backoff.MAX_PAUSE_S, mean_s, delta=0.15)

    def test_daemons_spread(self):
        self.assertEqual(20, len({self.pauses(1, seed)[0] for seed in range(20)}))

    def test_success_begins_anew(self):
        found = backoff.Backoff(random.Random(1))
        for _ in range(10):
            found.next_pause_s()
        found.reset()
        self.assertLess(found.next_pause_s(), backoff.FIRST_PAUSE_S * 1.5)


class TestWatches(testtools.TestCase):
    """Watches that fail, and histories that are gone."""

    def setUp(self):
        super().setUp()
        self.store = Store()
        self.out = Sink()
        self.task = store_tasks.ConfigurationTask(self.store, Directory(), self.out, 1)

    def step(self, failure=None):
        self.store.failure = failure
        self.store.calls.clear()
        try:
            self.task._step()
        except (errors.StoreUnavailableError, errors.HistoryLostError) as exc:
            self.assertIs(failure, exc)
        return list(self.store.calls)

    def test_first_step_reads_and_watches(self):
        self.assertEqual(["read", ("wait", 5)], self.step())

    def test_watch_goes_on_from_the_last_revision(self):
        self.step()
        self.assertEqual([("wait", 6)], self.step())

    def test_refused_watch_is_resumed_without_a_read(self):
        self.step()
        self.step(errors.StoreUnavailableError("wait", "503"))
        self.assertEqual([("wait", 6)], self.step())

    def test_forgotten_history_is_read_anew(self):
        self.step()
        self.step(errors.HistoryLostError("settings", 6))
        self.assertEqual(["read", ("wait", 6)], self.step())

    def test_change_that_came_during_the_outage_is_told(self):
        self.step()
        self.step(errors.StoreUnavailableError("wait", "503"))
        self.store.changed = (ports.Item("settings", b"new", 7),)
        self.step()
        told = [x.configuration for x in self.out.found]
        self.assertEqual([b"old", b"new"], told)
