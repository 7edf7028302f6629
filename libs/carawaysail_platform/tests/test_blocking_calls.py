"""HTTP calls that block a thread, against scripted servers."""

import contextlib
import socket
import subprocess
import sys
import threading

import testtools

from carawaysail_platform import blocking_calls, errors, http_calls

TIMEOUT_S = 5.0
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n[12]"


class CallsCase(testtools.TestCase):
    """Shared fixtures: a client and a server that runs a script for each request."""

    def setUp(self):
        super().setUp()
        self.requests = []
        self.connections = 0
        self.answers = []
        self.server = socket.create_server(("127.0.0.1", 0))
        port = self.server.getsockname()[1]
        self.client = blocking_calls.Client(f"127.0.0.1:{port}", "127.0.0.1", port, 2)
        self.addCleanup(self.client.close)
        self.closed = threading.Event()
        thread = threading.Thread(target=self._serve, daemon=True)
        thread.start()
        self.addCleanup(thread.join, TIMEOUT_S)
        self.addCleanup(self.client.close)
        self.addCleanup(self.server.close)
        self.addCleanup(self.server.shutdown, socket.SHUT_RDWR)

    def _serve(self):
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self.server.accept()
                self.connections += 1
                with sock, sock.makefile("rb") as file:
                    self._serve_connection(sock, file)
                self.closed.set()

    def _serve_connection(self, sock, file):
        while head := b"".join(iter(file.readline, b"\r\n")):
            if b"{}" not in file.read(2) or not self.answers:
                return
            self.requests.append(head)
            for data in self.answers.pop(0):
                if data is None:
                    return
                sock.sendall(data)

    def call(self, timeout_s=TIMEOUT_S):
        request = http_calls.Request("POST", "/x", b"{}", timeout_s, (("A", "b"),))
        return self.client.call(request)

    def assert_lost(self, is_unsent, **fields):
        exc = self.assertRaises(errors.NoReplyError, self.call, **fields)
        self.assertIs(is_unsent, exc.is_unsent)


class TestReplies(CallsCase):
    """What comes back from a call."""

    def test_connection_is_used_again(self):
        self.answers = [[OK], [OK[:20], OK[20:]]]
        for _ in range(2):
            self.assertEqual(http_calls.Reply(200, b"[12]"), self.call())
        self.assertEqual(1, self.connections)
        self.assertIn(b"A: b\r\n", self.requests[0])

    def test_interim_response_is_not_the_reply(self):
        self.answers = [[b"HTTP/1.1 100 Continue\r\n\r\n", OK]]
        self.assertEqual(200, self.call().status)

    def test_connection_that_the_other_side_closed_is_replaced(self):
        self.answers = [[OK, None], [OK]]
        self.call()
        self.assertTrue(self.closed.wait(TIMEOUT_S))
        self.assertEqual(200, self.call().status)
        self.assertEqual(2, self.connections)


class TestLostReplies(CallsCase):
    """Calls without a reply, and whether they may have been carried out."""

    def test_connection_that_ends_within_the_reply(self):
        self.answers = [[OK[:30], None]]
        self.assert_lost(False)

    def test_bytes_that_are_no_response(self):
        self.answers = [[b"odd\r\n\r\n"]]
        self.assert_lost(False)

    def test_server_that_does_not_answer_in_time(self):
        self.answers = [[]]
        self.assert_lost(False, timeout_s=0.05)

    def test_refused_connection_is_unsent(self):
        self.client = blocking_calls.Client("127.0.0.1:1", "127.0.0.1", 1, 2)
        self.assert_lost(True)


class TestImports(testtools.TestCase):
    """What a daemon loads at its start, of which a fleet has many at once."""

    # A larger HTTP library took a fifth of the processor time of a start.
    def test_calls_need_no_larger_http_library(self):
        code = (
            "import sys; from carawaysail_platform import blocking_calls;"
            "print('urllib3' in sys.modules)"
        )
        loaded = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True, check=True
        )
        self.assertEqual("False", loaded.stdout.strip())
