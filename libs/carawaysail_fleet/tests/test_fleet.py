"""Pending replies, the HTTP front end, and the HTTP server."""

import socket
import threading

import testtools
import urllib3

from carawaysail_fleet import front_end, http_server, metrics, ports, replies
from carawaysail_types import clock, errors, jobs

DONE = jobs.JobOutcome(jobs.Verdict.COMPLETED)


class TestReplies(testtools.TestCase):
    """A thread waits for an outcome and for a disconnect of its client."""

    def setUp(self):
        super().setUp()
        self.replies = replies.Replies()
        self.client, self.server = socket.socketpair()
        self.addCleanup(self.client.close)
        self.addCleanup(self.server.close)

    def wait(self, prepare, timeout_s=10.0):
        outcomes = []

        def run():
            reply_id = self.replies.open()
            prepare(reply_id)
            outcomes.append(self.replies.wait(reply_id, self.server, timeout_s))

        thread = threading.Thread(target=run)
        thread.start()
        thread.join(20)
        return outcomes[0]

    def test_outcome_is_returned(self):
        self.assertEqual(DONE, self.wait(lambda n: self.replies.put(n, DONE)))
        self.assertEqual(0, self.replies.waiting_count())

    def test_disconnect_ends_the_wait(self):
        self.assertIsNone(self.wait(lambda n: self.client.close()))

    def test_further_bytes_of_the_client_do_not_end_the_wait(self):
        def prepare(reply_id):
            self.client.send(b"GET / HTTP/1.1")
            threading.Timer(0.05, self.replies.put, (reply_id, DONE)).start()

        self.assertEqual(DONE, self.wait(prepare))

    def test_timeout_returns_none(self):
        self.assertIsNone(self.wait(lambda n: None, 0.01))

    def test_outcome_of_a_closed_reply_is_ignored(self):
        self.replies.put(99, DONE)
        self.assertEqual(0, self.replies.waiting_count())

    def test_pipe_is_empty_at_the_next_wait_of_the_thread(self):
        verdicts = []

        def run():
            for outcome in (DONE, jobs.JobOutcome(jobs.Verdict.FAILED)):
                reply_id = self.replies.open()
                self.replies.put(reply_id, outcome)
                verdicts.append(self.replies.wait(reply_id, self.server, 10.0).verdict)

        thread = threading.Thread(target=run)
        thread.start()
        thread.join(20)
        self.assertEqual([jobs.Verdict.COMPLETED, jobs.Verdict.FAILED], verdicts)


class Codec:
    """Decodes each path of the queue as the same job; one ending in ``bad`` fails."""

    def decode(self, request, configuration):
        queue = configuration.queue_for(request.host, request.path)
        if request.path.endswith("bad"):
            raise errors.BadInputError("path", request.path, "another one")
        if queue is None:
            return None
        job = jobs.Job("a" * 16, "", ())
        return ports.JobRequest(queue, job, clock.milliseconds(50))

    def outcome(self, outcome):
        return ports.Response(200, outcome.reason.value.encode())

    def unknown_queue(self):
        return ports.Response(404)

    def invalid(self, exc):
        return ports.Response(400, str(exc).encode())


class TestFrontEnd(testtools.TestCase):
    """Responses of the front end, and its messages to the decision loop."""

    def setUp(self):
        super().setUp()
        self.posted = []
        self.front_end = front_end.FrontEnd(
            Codec(), self, replies.Replies(), metrics.DaemonMetrics("vm", "dc"),
            clock.SystemClock(), 1,
        )  # fmt: skip
        self.client, self.server = socket.socketpair()
        self.addCleanup(self.client.close)
        self.addCleanup(self.server.close)

    def put(self, message):
        """Record a message; the test case is the inbox of the decision loop."""
        self.posted.append(type(message).__name__)

    def configure(self, version, prefix="/q/"):
        queue = jobs.Queue(
            "q", "h", prefix, "s", 0, 1, 1.0, clock.milliseconds(1),
            clock.milliseconds(1),
        )  # fmt: skip
        self.front_end.configure(jobs.Configuration(version, (queue,), ("s",)))

    def handle(self, path):
        request = ports.Request("POST", "h", path, {}, b"")
        return self.front_end.handle(request, self.server)

    # A request that was read shortly before the process stopped got no answer.
    def test_request_is_answered_before_the_process_stops(self):
        self.configure(1)
        in_time = front_end.WAIT_MARGIN + clock.milliseconds(10)
        self.front_end.set_end(clock.SystemClock().now() + in_time)
        self.assertEqual(b"timed_out", self.handle("/q/1").body)
        self.assertEqual(["JobPosted", "ClientLeft"], self.posted)
        self.assertEqual(b"leaving", self.handle("/q/2").body)
        self.assertEqual(2, len(self.posted))

    def test_without_a_configuration_jobs_are_refused(self):
        self.assertEqual(b"no_configuration", self.handle("/q/1").body)
        self.assertEqual([], self.posted)

    def test_older_configuration_is_ignored(self):
        self.configure(5)
        self.configure(4, "/old/")
        self.assertEqual(404, self.handle("/old/1").status)

    def test_malformed_request_is_refused(self):
        self.configure(1)
        self.assertEqual(400, self.handle("/q/bad").status)

    def test_job_that_is_not_answered_in_time_is_withdrawn(self):
        self.configure(1)
        self.assertEqual(b"timed_out", self.handle("/q/1").body)
        self.assertEqual(["JobPosted", "ClientLeft"], self.posted)

    def test_too_many_waiting_clients_are_refused(self):
        self.configure(1)
        self.front_end.replies.open()
        self.assertEqual(b"overloaded", self.handle("/q/1").body)
        self.assertEqual([], self.posted)


class TestServer(testtools.TestCase):
    """The HTTP server with one handler, over loopback."""

    def start(self, handler):
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{sock.getsockname()[1]}"
        server = http_server.Server(address, handler, 2)
        server.start()
        self.addCleanup(server.stop)
        return server, f"http://{address}"

    def test_handler_receives_the_request_and_responds(self):
        def handle(request, client):
            text = f"{request.method} {request.host} {request.path}"
            return ports.Response(200, text.encode() + request.body)

        _, url = self.start(handle)
        with urllib3.PoolManager() as pool:
            response = pool.request("POST", f"{url}/a/b?c=d", body=b"!")
        self.assertEqual(b"POST 127.0.0.1 /a/b!", response.data)

    def test_large_bodies_and_headers_are_refused(self):
        server, url = self.start(lambda request, client: ports.Response(200))
        server.apply_limits(jobs.Limits(max_header_bytes=2_000, max_body_bytes=100))
        with urllib3.PoolManager(retries=False) as pool:
            large_body = pool.request("POST", url, body=b"x" * 200)
            self.assertEqual(413, large_body.status)
            large_header = pool.request("GET", url, headers={"X": "y" * 5_000})
            self.assertIn(large_header.status, (413, 431))
            self.assertEqual(200, pool.request("GET", url).status)

    def test_connections_are_closed_during_shutdown(self):
        server, url = self.start(lambda request, client: ports.Response(200))
        with urllib3.PoolManager() as pool:
            self.assertNotIn("Connection", pool.request("GET", url).headers)
            server.close_connections()
            self.assertEqual("close", pool.request("GET", url).headers["Connection"])
