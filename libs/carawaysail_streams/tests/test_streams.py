"""Messages between daemons: their encoding, and the streams that carry them."""

import asyncio
import socket
import struct

import hypothesis
import hypothesis.strategies
import msgspec
import testtools

from carawaysail_holding import broker_messages, loads
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
    return messages.Submit(
        job, queue, "home", 1.5, 900.0, 7, (0, 1), True, ("w-1",), known_age_ms=4.5
    )


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
            messages.Heartbeat(False, (holder,)),
            messages.Loads((("home", (load,)),)),
            make_submit(),
            messages.ShardStarted("a" * 16, 7, ("w-1", "w-2")),
            messages.WaitingShards(
                broker_messages.Statement(3, frozenset((7, 9))), 2.5
            ),
            messages.AskAgain(),
            messages.HeldWorkers(
                broker_messages.WorkerSet("home", 5, 2, frozenset(("w-1", "w-2")), True)
            ),
            messages.Withdraw("a" * 16, 7),
            messages.Outcome("a" * 16, 7, jobs.JobOutcome(jobs.Verdict.COMPLETED)),
        ]
        self.assertEqual(set(messages.kinds.names()), {
            "heartbeat", "loads", "submit", "waiting", "begun", "again", "held",
            "withdraw", "outcome",
        })  # fmt: skip
        self.assertEqual(sent, messages.decode(messages.encode(sent)))

    # An earlier release discards the frame of a message with a field that it lacks.
    def test_earlier_release_reads_what_it_knows_and_is_read(self):
        waiting = messages.WaitingShards(broker_messages.Statement(3, frozenset()), 2.5)
        for sent in (make_submit(), waiting):
            [name] = [k for k, v in messages.kinds.items() if v is type(sent)]
            encoded = msgspec.msgpack.decode(messages.encode([sent]))
            earlier = [row for row in encoded if row[0] in messages.kinds.names()]
            without_age = msgspec.msgpack.encode(tuple(sent)[:-1])
            self.assertEqual([[name, msgspec.msgpack.decode(without_age)]], earlier)
            unaged = sent._replace(known_age_ms=0.0)
            data = msgspec.msgpack.encode(earlier)
            self.assertEqual([unaged], messages.decode(data))

    def test_introduction_survives_a_round_trip(self):
        data = messages.encode_introduction(ME)
        self.assertEqual(ME, messages.decode_introduction(data))

    @FUZZ
    @hypothesis.given(hypothesis.strategies.binary(max_size=200))
    def test_any_bytes_decode_or_raise_a_typed_error(self, data):
        for decode in (messages.decode, messages.decode_introduction):
            try:
                decode(data)
            except errors.BadFrameError as exc:
                self.assertEqual(len(data), exc.size_bytes)

    def test_message_of_a_later_release_is_skipped(self):
        unknown = ("later", msgspec.Raw(msgspec.msgpack.encode([1])))
        withdraw = messages.Withdraw("a" * 16, 7)
        known = ("withdraw", msgspec.Raw(msgspec.msgpack.encode(withdraw)))
        data = msgspec.msgpack.encode([unknown, known])
        self.assertEqual([withdraw], messages.decode(data))

    @FUZZ
    @hypothesis.given(hypothesis.strategies.integers(0, 400))
    def test_truncated_frame_raises_a_typed_error(self, size):
        data = messages.encode([make_submit()])
        if size < len(data):
            self.assertRaises(errors.BadFrameError, messages.decode, data[:size])


class Receiver:
    """Collects introductions, frames and the ends of connections."""

    def __init__(self):
        self.introductions = []
        self.frames = []
        self.connections = []
        self.closed = 0

    def on_introduction(self, connection, data):
        self.connections.append(connection)
        self.introductions.append(data)

    def on_frame(self, connection, data):
        self.frames.append(data)

    def on_closed(self, connection):
        self.closed += 1


def encode(batch):
    """Encode messages that are strings."""
    return "".join(batch).encode()


class TransportCase(testtools.TestCase):
    """Shared fixtures: a server and streams to it over loopback."""

    def setUp(self):
        super().setUp()
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            self.port = sock.getsockname()[1]
        self.events = []
        self.receiver = Receiver()
        self.own = Receiver()

    async def serve(self):
        link = transport.Link(b"server", encode, self.receiver)
        server = transport.Server(link)
        await server.start(f"127.0.0.1:{self.port}")
        return server

    def open_stream(self, port=None):
        address = f"127.0.0.1:{port or self.port}"
        return transport.PeerStream(
            daemons.Daemon("vm-1", "home", "incarnation", address),
            transport.Link(b"client", encode, self.own),
            lambda peer: self.events.append("refused"),
            lambda peer, exc: self.events.append(type(exc).__name__),
        )

    async def until(self, condition):
        for _ in range(500):
            if condition():
                return
            await asyncio.sleep(0.01)
        raise AssertionError("condition not met within 5 s")

    def run_with(self, play):
        """Run a coroutine function with a server and an open stream."""

        async def run():
            server, stream = await self.serve(), self.open_stream()
            await self.until(lambda: self.own.introductions)
            await play(stream)
            stream.close()
            await server.stop()

        asyncio.run(run())


class TestFrames(TransportCase):
    """Frames on one connection."""

    def test_both_sides_introduce_themselves_and_send(self):
        async def play(stream):
            stream.send("a")
            await self.until(lambda: self.receiver.frames == [b"a"])
            self.receiver.connections[0].send("b")
            await self.until(lambda: self.own.frames == [b"b"])
            self.assertEqual([b"server"], self.own.introductions)
            self.assertEqual([b"client"], self.receiver.introductions)

        self.run_with(play)

    def test_messages_of_one_step_share_a_frame(self):
        async def play(stream):
            for message in "abc":
                stream.send(message)
            await self.until(lambda: self.receiver.frames)
            self.assertEqual([b"abc"], self.receiver.frames)

        self.run_with(play)

    def test_message_to_several_is_encoded_once_and_keeps_its_place(self):
        async def play(stream):
            shared = transport.Shared("s")
            other = self.open_stream()
            await self.until(lambda: len(self.own.introductions) == 2)
            stream.send("a")
            stream.send_shared(shared)
            other.send_shared(shared)
            await self.until(lambda: len(self.receiver.frames) == 3)
            self.assertEqual([b"a", b"s", b"s"], sorted(self.receiver.frames))
            self.assertLess(
                self.receiver.frames.index(b"a"),
                len(self.receiver.frames) - 1,
            )
            self.assertEqual(5, shared.size_bytes)
            other.close()

        self.run_with(play)

    def test_frame_that_arrives_in_pieces_is_passed_whole(self):
        async def run():
            connection = transport.Connection(
                transport.Link(b"", encode, self.receiver)
            )
            data = transport.frame(b"hello") + transport.frame(b"world" * 1000)
            for n in range(0, len(data), 7):
                connection.data_received(data[n : n + 7])

        asyncio.run(run())
        self.assertEqual([b"hello"], self.receiver.introductions)
        self.assertEqual([b"world" * 1000], self.receiver.frames)

    def test_frame_that_is_too_large_ends_the_connection(self):
        async def run():
            server = await self.serve()
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            writer.write(struct.pack("!I", transport.MAX_FRAME_BYTES + 1))
            while await reader.read(100):
                pass
            writer.transport.abort()
            await server.stop()
            await asyncio.sleep(0)

        asyncio.run(run())
        self.assertEqual([], self.receiver.introductions)


class TestStreams(TransportCase):
    """Streams that reconnect."""

    def test_messages_arrive_also_after_a_restart(self):
        async def play(stream):
            stream.send("a")
            await self.until(lambda: self.receiver.frames == [b"a"])
            stream.restart()
            await self.until(lambda: len(self.own.introductions) == 2)
            stream.send("b")
            await self.until(lambda: self.receiver.frames[-1] == b"b")
            self.assertEqual(1, self.receiver.closed)

        self.run_with(play)

    def test_refused_connection_is_reported_and_retried(self):
        async def run():
            stream = self.open_stream()
            await self.until(lambda: "refused" in self.events)
            server = await self.serve()
            await self.until(lambda: self.own.introductions)
            stream.close()
            await server.stop()

        asyncio.run(run())

    def test_process_that_ends_is_reported_as_refused(self):
        async def play(stream):
            self.assertEqual([], self.events)
            for connection in self.receiver.connections:
                connection.close()
            await self.until(lambda: len(self.own.introductions) == 2)
            self.assertEqual([], self.events)

        self.run_with(play)

    def test_heartbeats_without_an_answer_are_counted(self):
        async def play(stream):
            self.assertEqual([1, 2], [stream.count_heartbeat() for _ in range(2)])
            self.receiver.connections[0].send("b")
            await self.until(lambda: self.own.frames)
            self.assertEqual([1, 2], [stream.count_heartbeat() for _ in range(2)])

        self.run_with(play)

    # A message that could not be encoded ended the stream's task for good.
    def test_message_that_cannot_be_encoded_ends_no_stream(self):
        async def play(stream):
            for count in (2, 3):
                stream.send("\ud800")
                await self.until(lambda n=count: len(self.own.introductions) == n)
            self.assertEqual(["UnicodeEncodeError"], self.events)
            stream.send("a")
            await self.until(lambda: self.receiver.frames == [b"a"])

        self.run_with(play)

    # A connection that the peer reset at once was reported as an unexpected failure.
    def test_connection_that_is_closed_at_once_is_no_failure(self):
        async def run():
            closed = []

            def close(reader, writer):
                closed.append(writer)
                writer.transport.abort()

            server = await asyncio.start_server(close, "127.0.0.1", self.port)
            stream = self.open_stream()
            await self.until(lambda: len(closed) == 2)
            self.assertEqual([], self.events)
            stream.close()
            server.close()

        asyncio.run(run())

    # A peer that accepted nothing would have kept what it was sent in memory.
    def test_peer_that_does_not_read_is_dropped(self):
        async def run():
            held = []
            server = await asyncio.start_server(
                lambda reader, writer: held.append(writer), "127.0.0.1", self.port,
                limit=1,
            )  # fmt: skip
            stream = self.open_stream()
            await self.until(lambda: held)
            await self.until(lambda: stream._connection is not None)
            first = stream._connection
            for _ in range(30):
                stream.send("x" * transport.MAX_UNSENT_BYTES)
                await asyncio.sleep(0)
                await asyncio.sleep(0)
            await self.until(lambda: first.closed.done())
            stream.close()
            for writer in held:
                writer.transport.abort()
            server.close()
            await asyncio.sleep(0)

        asyncio.run(run())

    def test_stream_to_an_odd_address_is_reported_once(self):
        async def run():
            stream = self.open_stream("70000")
            await self.until(lambda: self.events)
            await asyncio.sleep(3 * transport.RECONNECT_PAUSE_S)
            self.assertEqual(["BadInputError"], self.events)
            self.assertFalse(stream._task.done())
            stream.close()

        asyncio.run(run())
