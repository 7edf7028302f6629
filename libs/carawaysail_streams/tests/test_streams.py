"""Messages between daemons: their encoding, and the streams that carry them."""

import asyncio
import socket
import types

import grpclib.client
import hypothesis
import hypothesis.strategies
import msgspec
import testtools

from carawaysail_holding import loads
from carawaysail_streams import errors, messages, transport
from carawaysail_types import clock, daemons, jobs

ME = daemons.Daemon("vm-0", "home", "incarnation", "127.0.0.1:1")
FUZZ = hypothesis.settings(
    max_examples=300, derandomize=True, deadline=None, database=None
)


def make_submit():
    """Return a message that has a value in every field."""
    step = jobs.Step(2, jobs.Resources(14_000, 64, 0), clock.milliseconds(51.5), (0,))
    job = jobs.Job("a" * 16, "spec", (step,))
    queue = jobs.Queue(
        "q", "h", "/p/", "s", 0, 3, 1.6, clock.milliseconds(60), clock.milliseconds(9)
    )
    return messages.Submit(job, queue, "home", 1.5, 900.0, 7, (0, 1), True, ("w-1",))


class TestEncoding(testtools.TestCase):
    """Encoding and decoding of frames."""

    def test_every_kind_survives_a_round_trip(self):
        load = loads.ServiceLoad(
            "s",
            (loads.FreeCapacity(100, 1.5),),
            (1.5,),
            (loads.ExpectedRelease(20, 0.6),),
            2,
            50.0,
        )
        holder = daemons.Holder("home", "vm-0", "incarnation", 9)
        sent = [
            messages.Heartbeat(False, (holder,), (("home", (load,)),), 12.5, 3),
            make_submit(),
            messages.ShardStarted("a" * 16, 7, ("w-1", "w-2")),
            messages.Withdraw("a" * 16, 7),
            messages.Outcome("a" * 16, 7, jobs.JobOutcome(jobs.Verdict.COMPLETED)),
        ]
        self.assertEqual(set(messages.kinds.names()), {
            "heartbeat", "submit", "begun", "withdraw", "outcome"
        })  # fmt: skip
        sender, received = messages.decode(messages.encode(ME, sent))
        self.assertEqual(ME, sender)
        self.assertEqual(sent, received)

    @FUZZ
    @hypothesis.given(hypothesis.strategies.binary(max_size=200))
    def test_any_bytes_decode_or_raise_a_typed_error(self, data):
        try:
            messages.decode(data)
        except errors.BadFrameError as exc:
            self.assertEqual(len(data), exc.size_bytes)

    def test_message_of_a_later_release_is_skipped(self):
        unknown = ("later", msgspec.Raw(msgspec.msgpack.encode([1])))
        withdraw = messages.Withdraw("a" * 16, 7)
        known = ("withdraw", msgspec.Raw(msgspec.msgpack.encode(withdraw)))
        data = msgspec.msgpack.encode([ME, [unknown, known]])
        self.assertEqual((ME, [withdraw]), messages.decode(data))

    @FUZZ
    @hypothesis.given(hypothesis.strategies.integers(0, 400))
    def test_truncated_frame_raises_a_typed_error(self, size):
        data = messages.encode(ME, [make_submit()])
        if size < len(data):
            self.assertRaises(errors.BadFrameError, messages.decode, data[:size])


class Receiver:
    """Counts streams and collects frames."""

    def __init__(self):
        self.opens = 0
        self.frames = []
        self.arrived = asyncio.Event()

    def on_open(self, connection):
        self.opens += 1

    def on_frame(self, connection, data):
        self.frames.append(data)
        self.arrived.set()


class TestTransport(testtools.TestCase):
    """Streams over loopback."""

    @staticmethod
    def free_port():
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            return sock.getsockname()[1]

    def make_stream(self, port, events):
        peer = daemons.Daemon("vm-1", "home", "incarnation", f"127.0.0.1:{port}")
        return transport.PeerStream(
            peer,
            lambda batch: "".join(batch).encode(),
            lambda peer: events.append("opened"),
            lambda peer: events.append("refused"),
            lambda peer, exc: events.append(type(exc).__name__),
        )

    async def until(self, condition):
        for _ in range(500):
            if condition():
                return
            await asyncio.sleep(0.01)
        raise AssertionError("condition not met within 5 s")

    def test_messages_arrive_also_after_a_restart(self):
        async def run():
            receiver, events, port = Receiver(), [], self.free_port()
            server = transport.Server(receiver)
            await server.start(f"127.0.0.1:{port}")
            stream = self.make_stream(port, events)
            await self.until(lambda: events == ["opened"])
            stream.send("a")
            await self.until(lambda: receiver.frames == [b"a"])
            stream.restart()
            await self.until(lambda: events == ["opened"] * 2)
            stream.send("b")
            await self.until(lambda: receiver.frames[-1] == b"b")
            self.assertEqual(2, receiver.opens)
            stream.close()
            await server.stop()

        asyncio.run(run())

    def test_refused_connection_is_reported_and_retried(self):
        async def run():
            receiver, events, port = Receiver(), [], self.free_port()
            stream = self.make_stream(port, events)
            await self.until(lambda: "refused" in events)
            server = transport.Server(receiver)
            await server.start(f"127.0.0.1:{port}")
            await self.until(lambda: events[-1] == "opened")
            stream.close()
            await server.stop()

        asyncio.run(run())

    # A message that could not be encoded ended the stream's task for good.
    def test_message_that_cannot_be_encoded_ends_no_stream(self):
        async def run():
            receiver, events, port = Receiver(), [], self.free_port()
            server = transport.Server(receiver)
            await server.start(f"127.0.0.1:{port}")
            stream = self.make_stream(port, events)
            for _ in range(2):
                opened = events.count("opened")
                await self.until(lambda n=opened: events.count("opened") > n)
                stream.send("\ud800")
            await self.until(lambda: events.count("opened") == 3)
            self.assertEqual(1, events.count("UnicodeEncodeError"))
            stream.send("a")
            await self.until(lambda: receiver.frames == [b"a"])
            stream.close()
            await server.stop()

        asyncio.run(run())

    # A connection that the peer reset at once was reported as an unexpected failure.
    def test_connection_that_is_closed_at_once_is_no_failure(self):
        async def connect(channel):
            calls.append(channel)
            return types.SimpleNamespace(connection=types.SimpleNamespace())

        async def run():
            events = []
            stream = self.make_stream(self.free_port(), events)
            await self.until(lambda: len(calls) == 2)
            self.assertEqual([], events)
            stream.close()

        calls = []
        self.patch(grpclib.client.Channel, "__connect__", connect)
        asyncio.run(run())

    def test_stream_to_an_odd_address_is_reported_once(self):
        async def run():
            events = []
            stream = self.make_stream("70000", events)
            await self.until(lambda: events)
            await asyncio.sleep(3 * transport.RECONNECT_PAUSE_S)
            self.assertEqual(["BadInputError"], events)
            self.assertFalse(stream._task.done())
            stream.close()

        asyncio.run(run())
