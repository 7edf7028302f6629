"""Messages between daemons: their encoding, and the streams that carry them."""

import asyncio
import socket

import hypothesis
import hypothesis.strategies
import msgspec
import testtools

from carawaysail_holding import loads
from carawaysail_streams import errors, messages, transport
from carawaysail_types import clock, daemons, jobs

ME = daemons.Daemon("vm-0", "home", "life", "127.0.0.1:1")
FUZZ = hypothesis.settings(
    max_examples=300, derandomize=True, deadline=None, database=None
)


def make_submit():
    """Return a message with every kind of field."""
    step = jobs.Step(2, jobs.Resources(14_000, 64, 0), clock.milliseconds(51.5), (0,))
    job = jobs.Job("a" * 16, "spec", (step,))
    queue = jobs.Queue(
        "q", "h", "/p/", "s", 0, 3, 1.6, clock.milliseconds(60), clock.milliseconds(9)
    )
    return messages.Submit(job, queue, "home", 1.5, 900.0, 7, (0, 1), True, ("w-1",))


class TestEncoding(testtools.TestCase):
    """Frames of messages."""

    def test_every_message_comes_back_as_it_was(self):
        load = loads.ServiceLoad(
            "s",
            (loads.FreeCapacity(100, 1.5),),
            (1.5,),
            (loads.ExpectedRelease(20, 0.6),),
            2,
            50.0,
        )
        tenure = daemons.Holder("home", "vm-0", "life", 9)
        sent = [
            messages.Heartbeat(False, (tenure,), (("home", (load,)),), 12.5, 3),
            make_submit(),
            messages.ShardStarted("a" * 16, 7, ("w-1", "w-2")),
            messages.Withdraw("a" * 16, 7),
            messages.Outcome("a" * 16, 7, jobs.JobOutcome(jobs.Verdict.COMPLETED)),
        ]
        self.assertEqual(set(messages.kinds.names()), {
            "heartbeat", "submit", "begun", "withdraw", "outcome"
        })  # fmt: skip
        sender, found = messages.decode(messages.encode(ME, sent))
        self.assertEqual(ME, sender)
        self.assertEqual(sent, found)

    @FUZZ
    @hypothesis.given(hypothesis.strategies.binary(max_size=200))
    def test_any_bytes_are_messages_or_a_typed_error(self, data):
        try:
            messages.decode(data)
        except errors.BadFrameError as exc:
            self.assertEqual(len(data), exc.size_bytes)

    def test_message_of_a_later_release_is_left_out(self):
        later = ("later", msgspec.Raw(msgspec.msgpack.encode([1])))
        known = messages.Withdraw("a" * 16, 7)
        row = ("withdraw", msgspec.Raw(msgspec.msgpack.encode(known)))
        data = msgspec.msgpack.encode([ME, [later, row]])
        self.assertEqual((ME, [known]), messages.decode(data))

    @FUZZ
    @hypothesis.given(hypothesis.strategies.integers(0, 400))
    def test_cut_off_frame_is_a_typed_error(self, size):
        data = messages.encode(ME, [make_submit()])
        if size < len(data):
            self.assertRaises(errors.BadFrameError, messages.decode, data[:size])


class Receiver:
    """Collects what comes in."""

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
        with socket.socket() as found:
            found.bind(("127.0.0.1", 0))
            return found.getsockname()[1]

    def make_feed(self, port, events):
        peer = daemons.Daemon("vm-1", "home", "life", f"127.0.0.1:{port}")
        return transport.PeerStream(
            peer,
            lambda taken: "".join(taken).encode(),
            lambda peer: events.append("opened"),
            lambda peer: events.append("refused"),
        )

    async def until(self, is_so):
        for _ in range(500):
            if is_so():
                return
            await asyncio.sleep(0.01)
        raise AssertionError("it did not happen")

    def test_messages_arrive_and_a_restart_opens_anew(self):
        async def run():
            receiver, events, port = Receiver(), [], self.free_port()
            server = transport.Server(receiver)
            await server.start(f"127.0.0.1:{port}")
            feed = self.make_feed(port, events)
            await self.until(lambda: events == ["opened"])
            feed.send("a")
            await self.until(lambda: receiver.frames == [b"a"])
            feed.restart()
            await self.until(lambda: events == ["opened"] * 2)
            feed.send("b")
            await self.until(lambda: receiver.frames[-1] == b"b")
            self.assertEqual(2, receiver.opens)
            feed.close()
            await server.stop()

        asyncio.run(run())

    def test_refused_connection_is_told_and_tried_again(self):
        async def run():
            receiver, events, port = Receiver(), [], self.free_port()
            feed = self.make_feed(port, events)
            await self.until(lambda: "refused" in events)
            server = transport.Server(receiver)
            await server.start(f"127.0.0.1:{port}")
            await self.until(lambda: events[-1] == "opened")
            feed.close()
            await server.stop()

        asyncio.run(run())
