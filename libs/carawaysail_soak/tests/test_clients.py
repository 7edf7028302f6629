"""Tests of the clients, against a server that answers as it is told."""

import asyncio
import unittest
import unittest.mock

import msgspec

from carawaysail_soak import clients, habits, history

HOST = "127.0.0.1"
KIND = clients.JobKind(2, 0.05, 14_000, 64, 1.0)
COMPLETED = b'HTTP/1.1 200 OK\r\nContent-Length: 21\r\n\r\n{"state":"completed"}'
GATEWAY_TIMEOUT = b"HTTP/1.1 504 Gateway Timeout\r\nContent-Length: 0\r\n\r\n"
CUT = COMPLETED[:-5]
CLOSED = b""


class ClientCase(unittest.IsolatedAsyncioTestCase):
    """A client, and a server with an answer for each request."""

    host = "counter.example"

    async def asyncSetUp(self):
        self.answers, self.requests = [], []
        self.enterContext(unittest.mock.patch.object(clients, "RETRANSMIT_S", 0.01))
        server = await asyncio.start_server(self.serve, HOST, 0)
        self.addCleanup(server.close)
        self.port = server.sockets[0].getsockname()[1]
        self.recorder = history.Recorder()
        self.client = clients.Client(3, 1, self, (KIND,), 10.0, self.recorder)
        self.addCleanup(self.client.close)

    def front(self, vm):
        return f"{HOST}:{self.port}"

    def vms(self):
        return ["vm-00", "vm-01"]

    def queues(self):
        return ["/quick/", "/order/"]

    all_queues = queues

    async def serve(self, reader, writer):
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                size = int(head.lower().partition(b"content-length: ")[2].split()[0])
                self.requests.append((head, await reader.readexactly(size)))
                answer = self.answers.pop(0) if self.answers else COMPLETED
                writer.write(answer)
                if answer in (CUT, CLOSED):
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def events(self, event_type):
        return self.recorder.history().of(event_type)

    def job_ids(self):
        return [x.split()[1].rpartition(b"/")[2] for x, _ in self.requests]


class TestResends(ClientCase):
    """What a client does after each answer."""

    async def test_an_answer_ends_the_job(self):
        await self.client.submit(self.client.new_job())
        self.assertEqual(1, len(self.requests))
        answered = self.events(history.RequestAnswered)
        self.assertEqual((200, "completed"), (answered[0].status, answered[0].state))

    async def test_status_504_is_sent_again_with_the_same_identifier(self):
        self.answers = [GATEWAY_TIMEOUT]
        await self.client.submit(self.client.new_job())
        self.assertEqual(1, len(set(self.job_ids())))
        self.assertEqual(
            [504, 200], [x.status for x in self.events(history.RequestAnswered)]
        )

    async def test_a_broken_connection_is_told_from_a_cut_answer(self):
        self.answers = [CLOSED, CUT]
        await self.client.submit(self.client.new_job())
        causes = [x.cause for x in self.events(history.RequestBroken)]
        self.assertEqual(["closed", "cut"], causes)
        self.assertEqual(3, len(self.requests))


class TestHabits(ClientCase):
    """The registry of habits."""

    async def test_each_habit_leaves_no_request_without_an_end(self):
        for name in habits.habits.names():
            await habits.habits.get(name)(self.client)
        sent = {x.request_id for x in self.events(history.RequestSent)}
        ends = (history.RequestAnswered, history.RequestBroken, history.ClientLeft)
        ended = [x.request_id for end in ends for x in self.events(end)]
        self.assertEqual(sent, set(ended))
        self.assertEqual(len(sent), len(ended))

    async def test_a_request_in_pieces_arrives_whole(self):
        await habits.habits.get("pieces")(self.client)
        body = msgspec.json.decode(self.requests[0][1])
        self.assertEqual(KIND.task_count, body["steps"][0]["count"])
        self.assertTrue(body["best_effort"])

    async def test_requests_in_a_pipeline_are_answered_in_order(self):
        await habits.habits.get("pipeline")(self.client)
        sent = [x.request_id for x in self.events(history.RequestSent)]
        answered = [x.request_id for x in self.events(history.RequestAnswered)]
        self.assertGreater(len(sent), 1)
        self.assertEqual(sent, answered)
