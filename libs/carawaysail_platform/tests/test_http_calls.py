"""HTTP calls, on the event loop and blocking, against scripted servers."""

import asyncio
import contextlib
import subprocess
import sys

import testtools

from carawaysail_platform import blocking_calls, errors, http_calls

TIMEOUT_S = 5.0
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n[12]"


class CallsCase(testtools.TestCase):
    """Shared fixtures: a client and a server that runs a script for each request."""

    client_class = http_calls.Client

    def setUp(self):
        super().setUp()
        self.requests = []
        self.connections = 0

    async def _serve(self, reader, writer):
        self.connections += 1
        self.tasks.append(asyncio.current_task())
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.requests.append(head + await reader.readexactly(2))
                for data in self.answers.pop(0):
                    if data is None:
                        writer.transport.abort()
                        return
                    writer.write(data)
                    await asyncio.sleep(0)
        writer.transport.abort()

    def play(self, coroutine_function, *answers):
        """Run a test with a client; ``answers`` has the parts of each answer.

        A part ``None`` closes the connection.
        """
        self.answers = list(answers)
        self.tasks = []

        async def run():
            server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            client = self.client_class(f"127.0.0.1:{port}", "127.0.0.1", port, 2)
            await coroutine_function(client)
            client.close()
            server.close()
            await asyncio.gather(*self.tasks)

        asyncio.run(run())

    async def call(self, client, timeout_s=TIMEOUT_S):
        """Make a call and return its result."""
        fut = asyncio.get_running_loop().create_future()
        request = http_calls.Request("POST", "/x", b"{}", timeout_s, (("A", "b"),))
        client.call(request, fut.set_result)
        self.assertFalse(fut.done())
        return await asyncio.wait_for(fut, 2 * TIMEOUT_S)

    def assert_lost(self, result, is_unsent):
        """Check that a call got no reply, and whether it may have an effect."""
        self.assertIsInstance(result, errors.NoReplyError)
        self.assertIs(is_unsent, result.is_unsent)


class TestReplies(CallsCase):
    """Calls that get a reply."""

    def test_reply_in_pieces_is_passed_whole(self):
        async def run(client):
            reply = await self.call(client)
            self.assertEqual(http_calls.Reply(200, b"[12]"), reply)
            [request] = self.requests
            self.assertTrue(request.startswith(b"POST /x HTTP/1.1\r\nHost: 127.0.0.1:"))
            self.assertIn(b"\r\nA: b\r\n", request)
            self.assertTrue(request.endswith(b"\r\n\r\n{}"))

        self.play(run, [OK[:20], OK[20:40], OK[40:]])

    def test_connection_is_used_again(self):
        async def run(client):
            for _ in range(3):
                self.assertEqual(200, (await self.call(client)).status)
            self.assertEqual(1, self.connections)

        self.play(run, [OK], [OK], [OK])

    def test_calls_at_the_same_time_do_not_wait_for_each_other(self):
        async def run(client):
            replies = await asyncio.gather(*(self.call(client) for _ in range(3)))
            self.assertEqual([200] * 3, [x.status for x in replies])
            self.assertEqual(3, self.connections)

        self.play(run, [OK], [OK], [OK])

    def test_connection_that_the_server_closes_is_not_used_again(self):
        async def run(client):
            closing = await self.call(client)
            self.assertEqual((503, b""), closing)
            self.assertEqual(200, (await self.call(client)).status)
            self.assertEqual(2, self.connections)

        close = b"HTTP/1.1 503 No\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
        self.play(run, [close, None], [OK])


class TestLostCalls(CallsCase):
    """Calls without a reply, and whether they may have an effect."""

    def test_refused_connection_is_unsent(self):
        async def run(client):
            client = http_calls.Client("127.0.0.1:1", "127.0.0.1", 1, 1)
            self.assert_lost(await self.call(client), True)

        self.play(run)

    def test_connection_that_breaks_may_have_an_effect(self):
        async def run(client):
            self.assert_lost(await self.call(client), False)

        self.play(run, [None])

    def test_call_that_times_out_may_have_an_effect(self):
        async def run(client):
            self.assert_lost(await self.call(client, 0.05), False)
            self.assertEqual(200, (await self.call(client)).status)

        self.play(run, [b""], [OK])

    def test_answer_that_is_not_http_may_have_an_effect(self):
        async def run(client):
            self.assert_lost(await self.call(client), False)

        self.play(run, [b"HTTP/1.1 abc\r\n\r\n"])

    def test_body_that_is_too_large_is_not_kept(self):
        async def run(client):
            self.assert_lost(await self.call(client), False)

        size = http_calls.MAX_BODY_BYTES + 1
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n".encode()
        self.play(run, [head, b"x" * size])

    # A late answer to a call that had timed out would have been taken as the answer to
    # the next one.
    def test_bytes_that_nobody_asked_for_end_the_connection(self):
        async def run(client):
            self.assertEqual(200, (await self.call(client)).status)
            for _ in range(100):
                await asyncio.sleep(0.005)
                if not client._idle:
                    break
            self.assertEqual([], client._idle)

        self.play(run, [OK, b"", OK])

    def test_closed_client_ends_its_calls(self):
        async def run(client):
            calls = [asyncio.create_task(self.call(client)) for _ in range(2)]
            while len(self.requests) < 2:
                await asyncio.sleep(0.005)
            client.close()
            for result in await asyncio.gather(*calls):
                self.assert_lost(result, False)

        self.play(run, [b""], [b""])


class TestBlockingCalls(CallsCase):
    """Calls that block a thread: the same replies, and errors for lost ones."""

    client_class = blocking_calls.Client

    async def call(self, client, timeout_s=TIMEOUT_S):
        request = http_calls.Request("POST", "/x", b"{}", timeout_s, (("A", "b"),))
        try:
            return await asyncio.to_thread(client.call, request)
        except errors.NoReplyError as exc:
            return exc

    def test_connection_is_used_again(self):
        async def run(client):
            for _ in range(3):
                reply = await self.call(client)
                self.assertEqual(http_calls.Reply(200, b"[12]"), reply)
            self.assertEqual(1, self.connections)
            self.assertIn(b"\r\nA: b\r\n", self.requests[0])

        continued = b"HTTP/1.1 100 Continue\r\n\r\n"
        self.play(run, [OK], [OK[:20], OK[20:]], [continued, OK])

    def test_connection_that_the_server_closed_is_replaced(self):
        async def run(client):
            self.assertEqual(200, (await self.call(client)).status)
            await asyncio.gather(*self.tasks)
            self.assertEqual(200, (await self.call(client)).status)
            self.assertEqual(2, self.connections)

        self.play(run, [OK, None], [OK])

    def test_lost_replies_may_have_an_effect(self):
        async def run(client):
            for timeout_s in (TIMEOUT_S, TIMEOUT_S, 0.05):
                self.assert_lost(await self.call(client, timeout_s), False)
            self.assertEqual(200, (await self.call(client)).status)

        self.play(run, [OK[:20], None], [b"odd\r\n\r\n"], [b""], [OK])

    def test_refused_connection_is_unsent(self):
        async def run(client):
            client = blocking_calls.Client("127.0.0.1:1", "127.0.0.1", 1, 1)
            self.assert_lost(await self.call(client), True)

        self.play(run)

    # A larger HTTP library took a fifth of the processor time of a daemon's start.
    def test_calls_need_no_larger_http_library(self):
        code = (
            "import sys; from carawaysail_platform import blocking_calls;"
            "print('urllib3' in sys.modules)"
        )
        loaded = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True, check=True
        )
        self.assertEqual("False", loaded.stdout.strip())
