"""Calls to workers on the event loop, and exceptions of their codec."""

import asyncio
import contextlib

import eliot
import testtools

from carawaysail_fleet import messages, metrics, worker_links
from carawaysail_holding import broker_messages
from carawaysail_platform import http_calls
from carawaysail_types import clock, jobs, runs

RUN = runs.Run(runs.Task("ab", 0, 0, 0), 1)
STATUS = runs.WorkerStatus("7", clock.milliseconds(5), (), ())
TIMEOUT_S = 5.0
REPLY = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"


class Codec:
    """Raises or returns what ``results`` holds, one for each reply.

    A result ``unencodable`` makes the request raise.
    """

    def __init__(self, *results):
        self.results = list(results)

    def _encode(self, order):
        if self.results[0] == "unencodable":
            self.results.pop(0)
            raise UnicodeError("odd")
        return http_calls.Request("POST", "/x", b"{}", TIMEOUT_S)

    poll = start = stop = _encode

    def _decode(self, reply):
        result = self.results.pop(0)
        if isinstance(result, Exception):
            raise result
        return result

    order_result = status = _decode


class LinksCase(testtools.TestCase):
    """Shared fixtures: links to a worker that answers each request alike."""

    def setUp(self):
        super().setUp()
        self.received = []
        self.handlers = []
        self.log = []
        eliot.add_destinations(self.log.append)
        # The first destination receives what was logged before.
        self.log.clear()
        self.addCleanup(eliot.remove_destination, self.log.append)

    def put(self, message):
        """Record a message; the test case is the inbox of the decision loop."""
        self.received.append(message)

    async def receive(self):
        async with asyncio.timeout(TIMEOUT_S):
            while not self.received:
                await asyncio.sleep(0.005)
        return self.received.pop(0)

    async def _answer(self, reader, writer):
        self.handlers.append(asyncio.current_task())
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while await reader.readuntil(b"\r\n\r\n{}"):
                writer.write(REPLY)
        writer.transport.abort()

    def play(self, coroutine_function, *results):
        """Run a test with the links, a worker, and the results of the codec."""

        async def run():
            server = await asyncio.start_server(self._answer, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            self.worker = runs.WorkerReport(
                "i-1", "7", "s", f"127.0.0.1:{port}", "a", jobs.NO_RESOURCES
            )
            links = worker_links.WorkerLinks(
                Codec(*results), self, clock.SystemClock(),
                metrics.DaemonMetrics("vm", "dc"),
                asyncio.get_running_loop().call_later,
            )  # fmt: skip
            await coroutine_function(links)
            links.close()
            server.close()
            await asyncio.gather(*self.handlers)

        asyncio.run(run())

    def make_poll(self):
        return broker_messages.PollWorker(
            self.worker, 1, 0, clock.milliseconds(0), None
        )

    def make_start(self):
        return broker_messages.StartRun(self.worker, RUN, "", clock.milliseconds(9), 1)

    def make_stop(self):
        return broker_messages.StopRun(self.worker, RUN, 1)


class TestResults(LinksCase):
    """Results of calls, as messages to the decision loop."""

    def test_results_of_all_calls_arrive(self):
        async def run(links):
            links.poll(self.make_poll())
            self.assertEqual((self.worker, STATUS), (await self.receive())[:2])
            links.start(self.make_start())
            accepted = runs.OrderResult.ACCEPTED
            self.assertEqual(
                messages.StartResultReceived(self.worker, RUN, accepted),
                await self.receive(),
            )
            links.stop(self.make_stop())
            self.assertEqual(
                messages.StopResultReceived(self.worker, RUN, accepted),
                await self.receive(),
            )

        self.play(run, STATUS, *[runs.OrderResult.ACCEPTED] * 2)

    def test_order_to_a_worker_that_has_ended_was_not_sent(self):
        async def run(links):
            self.worker = self.worker._replace(address="127.0.0.1:1")
            links.start(self.make_start())
            message = await self.receive()
            self.assertIs(runs.OrderResult.NOT_SENT, message.result)

        self.play(run, STATUS)

    def test_refused_poll_is_passed_on_after_a_pause(self):
        async def run(links):
            source = clock.SystemClock()
            links.poll(self.make_poll())
            message = await self.receive()
            self.assertIs(runs.OrderResult.UNHEALTHY, message.result)
            self.assertGreaterEqual(
                source.seconds(), worker_links.RETRY_PAUSE.total_seconds()
            )

        self.play(run, runs.OrderResult.UNHEALTHY)


class TestBrokenConnections(LinksCase):
    """A worker that accepts each connection and closes it at once."""

    async def _answer(self, reader, writer):
        self.handlers.append(asyncio.current_task())
        writer.transport.abort()

    # Such workers were polled again without a pause, 238 times a second each.
    def test_lost_poll_is_passed_on_after_a_pause(self):
        async def run(links):
            source = clock.SystemClock()
            links.poll(self.make_poll())
            message = await self.receive()
            self.assertIs(runs.OrderResult.NO_ANSWER, message.result)
            self.assertGreaterEqual(
                source.seconds(), worker_links.RETRY_PAUSE.total_seconds()
            )

        self.play(run, STATUS)


class TestUnexpectedExceptions(LinksCase):
    """An exception that nobody expects leaves a log line and a typed result."""

    # The thread of the poll ended, and nobody polled the worker any more.
    def test_poll_goes_on_after_an_exception(self):
        async def run(links):
            source = clock.SystemClock()
            for expected in (*[runs.OrderResult.NO_ANSWER] * 2, STATUS):
                links.poll(self.make_poll())
                message = await self.receive()
                self.assertEqual((self.worker, expected), message[:2])
            self.assertGreaterEqual(
                source.seconds(), 2 * worker_links.RETRY_PAUSE.total_seconds()
            )

        failure = ValueError("Port out of range 0-65535")
        self.play(run, failure, failure, STATUS)
        self.assertEqual(["Poll failed."], [x["text"] for x in self.log])
        self.assertEqual("i-1", self.log[0]["worker"])

    # The exception stayed in a future, and the run counted as ordered for good.
    def test_order_that_raised_has_no_answer(self):
        async def run(links):
            result = runs.OrderResult.NO_ANSWER
            links.start(self.make_start())
            self.assertEqual(
                messages.StartResultReceived(self.worker, RUN, result),
                await self.receive(),
            )
            links.stop(self.make_stop())
            self.assertEqual(
                messages.StopResultReceived(self.worker, RUN, result),
                await self.receive(),
            )

        self.play(run, ValueError("odd"), "unencodable")
        self.assertEqual(["ab"] * 2, [x["id"] for x in self.log])
        self.assertEqual({"Order failed."}, {x["text"] for x in self.log})
