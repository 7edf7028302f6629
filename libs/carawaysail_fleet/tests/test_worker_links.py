"""Threads that poll workers and send orders, and exceptions of their calls."""

import queue

import eliot
import testtools

from carawaysail_fleet import messages, worker_links
from carawaysail_holding import broker_messages
from carawaysail_types import clock, jobs, runs

WORKER = runs.WorkerReport("i-1", "7", "s", "h:1", "a", jobs.NO_RESOURCES)
RUN = runs.Run(runs.Task("ab", 0, 0, 0), 1)
POLL = broker_messages.PollWorker(WORKER, 1, 0, clock.milliseconds(0), None)
START = broker_messages.StartRun(WORKER, RUN, "", clock.milliseconds(9), 1)
STOP = broker_messages.StopRun(WORKER, RUN, 1)
STATUS = runs.WorkerStatus("7", clock.milliseconds(5), (), ())
TIMEOUT_S = 5.0


class Workers:
    """Raises or returns what ``results`` holds, one for each call."""

    def __init__(self, *results):
        self.results = list(results)

    def _next(self, order):
        result = self.results.pop(0)
        if isinstance(result, Exception):
            raise result
        return result

    poll = start = stop = _next

    def forget(self, worker_id):
        pass


class TestUnexpectedExceptions(testtools.TestCase):
    """An exception that nobody expects leaves a log line and a typed result."""

    def setUp(self):
        super().setUp()
        self.received = queue.SimpleQueue()
        self.log = []
        eliot.add_destinations(self.log.append)
        # The first destination receives what was logged before.
        self.log.clear()
        self.addCleanup(eliot.remove_destination, self.log.append)

    def open_links(self, *results):
        links = worker_links.WorkerLinks(Workers(*results), self, clock.SystemClock())
        self.addCleanup(links.close)
        return links

    def put(self, message):
        """Record a message; the test case is the inbox of the decision loop."""
        self.received.put(message)

    def receive(self):
        return self.received.get(timeout=TIMEOUT_S)

    # The thread of the poll ended, and nobody polled the worker any more.
    def test_poll_goes_on_after_an_exception(self):
        failure = ValueError("Port out of range 0-65535")
        links = self.open_links(failure, failure, STATUS)
        started = clock.SystemClock()
        for expected in (*[runs.OrderResult.NO_ANSWER] * 2, STATUS):
            links.poll(POLL)
            message = self.receive()
            self.assertEqual((WORKER, expected), message[:2])
        self.assertGreaterEqual(
            started.seconds(), 2 * worker_links.RETRY_PAUSE.total_seconds()
        )
        self.assertEqual(["Poll failed."], [x["text"] for x in self.log])
        self.assertEqual("i-1", self.log[0]["worker"])

    # The exception stayed in a future, and the run counted as ordered for good.
    def test_order_that_raised_has_no_answer(self):
        links = self.open_links(ValueError("odd"), UnicodeError("odd"))
        links.start(START)
        result = runs.OrderResult.NO_ANSWER
        self.assertEqual(
            messages.StartResultReceived(WORKER, RUN, result), self.receive()
        )
        links.stop(STOP)
        self.assertEqual(
            messages.StopResultReceived(WORKER, RUN, result), self.receive()
        )
        self.assertEqual(["ab"] * 2, [x["id"] for x in self.log])
        self.assertEqual({"Order failed."}, {x["text"] for x in self.log})
