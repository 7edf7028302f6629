"""The history of a soak and its file format."""

import pathlib
import tempfile

import testtools

from carawaysail_platform_standins import events
from carawaysail_soak import history
from carawaysail_types import errors


class TestHistory(testtools.TestCase):
    """Order and types of events."""

    def test_events_are_in_order_of_time(self):
        recorder = history.Recorder()
        recorder.record(history.ClientLeft(2.0, "r2"))
        recorder.record(history.TrafficEnded(3.0))
        recorder.record(history.ClientLeft(1.0, "r1"))
        recorded = recorder.history()
        self.assertEqual(
            ["r1", "r2"], [x.request_id for x in recorded.of(history.ClientLeft)]
        )
        self.assertEqual([], recorded.of(history.Signalled))
        self.assertEqual(3.0, recorded.end)


class TestFile(testtools.TestCase):
    """Events as JSON lines."""

    def test_events_are_read_as_written(self):
        written = history.History(
            [
                history.FaultBegun(1.0, "cut", "a>b", "links", ("a-1", "b-1")),
                history.RequestAnswered(2.0, "r1", 503, "", 0.5),
                events.RunEnded(3.0, "i-1", 7, "j.0.0.1", 1, "done", 1),
                history.ConfigWritten(4.0, 3, ("/a/", "/b/")),
            ]
        )
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "history.jsonl"
            history.write(path, written)
            self.assertEqual(written.events, history.read(path).events)

    def test_lines_that_are_no_events_are_rejected(self):
        for line in (
            b"[1]", b"{", b'{"event": "ClientLeft"}',
            b'{"event": "ClientLeft", "at": "x", "request_id": "r"}',
        ):  # fmt: skip
            self.assertRaises(errors.BadInputError, history.decode, line)
        self.assertRaises(errors.UnknownNameError, history.decode, b'{"event": "no"}')
