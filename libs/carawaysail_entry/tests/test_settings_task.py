"""The thread that follows the settings in the store."""

import testtools

from carawaysail_entry import settings_task
from carawaysail_platform import errors, keyvalue
from carawaysail_settings import sections

PROMISED_S = 6.0
"""A change of the settings has to be in force everywhere within this time."""


class Store:
    """Yields one batch of changes a watch, and records the revisions asked for."""

    def __init__(self, batches):
        self._batches = list(batches)
        self.calls = []

    def read(self, prefix):
        self.calls.append("read")
        return keyvalue.Snapshot((), 5)

    def watch(self, prefix, after_revision):
        self.calls.append(after_revision)
        if not self._batches:
            raise errors.StoreUnavailableError("store", "end of the test")
        batch = self._batches.pop(0)
        if batch:
            yield batch


class Answer:
    """The answer to a watch, as it is streamed."""

    status = 200

    def __init__(self, *lines):
        self._lines = lines

    def stream(self, size, decode_content):
        yield from self._lines


class Task:
    """Discards what the thread reads."""

    inbox = type("Inbox", (), {"put": staticmethod(lambda message: None)})


class TestStoreWatch(testtools.TestCase):
    """Watches that hear nothing, lost calls and lost history."""

    def calls(self, *batches):
        store = Store(batches)
        watch = settings_task.StoreWatch(store, Task(), lambda: True)
        self.assertRaises(errors.StoreUnavailableError, watch._read_and_watch, True)
        return store.calls

    # A watch on a connection that the store had forgotten waited for 60 s.
    def test_lost_watch_and_the_next_call_fit_into_the_promised_time(self):
        next_call_s = keyvalue.CONNECT_TIMEOUT_S + keyvalue.READ_TIMEOUT_S
        self.assertLessEqual(keyvalue.WATCH_READ_TIMEOUT_S + next_call_s, PROMISED_S)
        pause_s = settings_task.MAX_RETRY_DELAY_S
        self.assertLessEqual(pause_s + next_call_s, PROMISED_S)

    def test_quiet_watch_is_resumed_without_a_read(self):
        self.assertEqual(["read", 5, 5, 5], self.calls((), ()))

    def test_watch_resumes_after_the_last_change(self):
        key = sections.STORE_PREFIX + "root"
        items = (keyvalue.Item(key, "", 8), keyvalue.Item(key, "", 7))
        self.assertEqual(["read", 5, 8], self.calls(items))

    def test_quiet_watches_are_followed_by_a_read(self):
        store = Store([()] * settings_task.WATCHES_PER_READ)
        watch = settings_task.StoreWatch(store, Task(), lambda: True)
        watch._read_and_watch(True)
        watch._read_and_watch(False)
        self.assertEqual(2, store.calls.count("read"))

    def test_cancelled_watch_is_an_error(self):
        answer = Answer(b'{"result": {"canceled": true, "compact_revision": "9"}}\n')
        events = keyvalue._read_events(answer, "store")
        self.assertRaises(errors.StoreUnavailableError, list, events)
