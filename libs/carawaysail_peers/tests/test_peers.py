"""Messages between entry daemons: codecs, malformed data, exchange over loopback."""

import asyncio

import hypothesis
import hypothesis.strategies
import testtools

from carawaysail_bench import fleet, testing
from carawaysail_decisions import handover, membership, versions
from carawaysail_peers import codecs, errors, messages, transport
from carawaysail_types import clock, outcomes
from carawaysail_types import errors as type_errors

FUZZ = hypothesis.settings(
    max_examples=200, derandomize=True, deadline=None, database=None
)
NOW = clock.ManualClock().now()
RECORD = membership.Record("e1", "rosario", "0" * 16, 1, "h:1", "h:2")
FLAT_OUTCOME = outcomes.FlatOutcome("completed", outcomes.Reason.NONE, "", (b"1",))
EXAMPLES = (
    messages.Gossip(membership.Gossip((RECORD,))),
    messages.Forward(testing.make_submission(NOW, tasks=3), 10.0, 5.0),
    messages.Lookup("a~b", 1.0),
    messages.StatusReport("ended", FLAT_OUTCOME),
    messages.Cancel(("a~b", "a~c")),
    messages.Push((versions.Section("root", 3, "{}"),)),
    messages.Pull({"root": 2}),
    messages.HandOver(
        handover.Chunk(
            0,
            1,
            handover.TableSnapshot(
                "0" * 16,
                3,
                (handover.Entry(1, "a", b"d", FLAT_OUTCOME),),
                {2: b"12345678"},
            ),
        )
    ),
    messages.Done(False, "why"),
)


class TestCodecs(testtools.TestCase):
    """Each kind of message in each codec."""

    def test_round_trip(self):
        for name in codecs.codecs.names():
            for message in EXAMPLES:
                data = codecs.codecs.get(name).encode(message)
                kind = messages.kind_of(message)
                self.assertEqual(message, codecs.decode(kind, name, data))

    def test_every_kind_has_an_example(self):
        kinds = {messages.kind_of(message) for message in EXAMPLES}
        self.assertEqual(set(messages.kinds.names()), kinds)

    @FUZZ
    @hypothesis.given(
        hypothesis.strategies.sampled_from(messages.kinds.names()),
        hypothesis.strategies.sampled_from(codecs.codecs.names()),
        hypothesis.strategies.binary(max_size=200),
    )
    def test_arbitrary_bytes_are_decoded_or_rejected(self, kind, codec, data):
        try:
            codecs.decode(kind, codec, data)
        except errors.BadMessageError:
            return

    def test_unknown_kind_and_codec(self):
        self.assertRaises(
            type_errors.UnknownNameError, codecs.decode, "no", "json", b"{}"
        )
        self.assertRaises(
            type_errors.UnknownNameError, codecs.decode, "done", "no", b"{}"
        )


class TestExchange(testtools.TestCase):
    """Client and server by grpclib, over loopback."""

    def run_with_server(self, handler, client):
        (port,) = fleet.free_ports(1)
        address = f"127.0.0.1:{port}"

        async def main():
            local = transport.Sender("e1", "rosario")
            server = transport.Server(transport.Service(local, handler))
            await server.start(address)
            channels = transport.Channels(transport.Sender("e2", "rosario"))
            try:
                return await client(channels, address)
            finally:
                channels.close()
                await server.stop()

        return asyncio.run(main())

    def test_answer_and_sender(self):
        received = []

        async def handler(sender, message):
            received.append((sender, message))
            return messages.Done()

        async def client(channels, address):
            sent = messages.Cancel(("a~b",))
            return await channels.exchange(address, sent, 2.0, "00-trace")

        self.assertEqual(messages.Done(), self.run_with_server(handler, client))
        sender, message = received[0]
        self.assertEqual(("e2", "rosario", "00-trace"), tuple(sender))
        self.assertEqual(messages.Cancel(("a~b",)), message)

    def assert_unreachable(self, handler, timeout_s, was_sent):
        async def client(channels, address):
            try:
                await channels.exchange(address, messages.Done(), timeout_s)
            except errors.PeerUnreachableError as exc:
                return exc
            return None

        exc = self.run_with_server(handler, client)
        self.assertEqual((was_sent, False), (exc.sent, exc.refused))

    def test_time_out_reports_message_as_sent(self):
        async def handler(sender, message):
            await asyncio.sleep(30)

        self.assert_unreachable(handler, 0.2, True)

    def test_handler_error_reports_message_as_sent(self):
        async def handler(sender, message):
            raise type_errors.BadInputError("x", 1, "2")

        self.assert_unreachable(handler, 2.0, True)

    def test_refused_connection_reports_message_as_not_sent(self):
        (port,) = fleet.free_ports(1)

        async def main():
            channels = transport.Channels(transport.Sender("e2", "rosario"))
            try:
                await channels.exchange(f"127.0.0.1:{port}", messages.Done(), 1.0)
            except errors.PeerUnreachableError as exc:
                return exc
            return None

        exc = asyncio.run(main())
        self.assertEqual((False, True), (exc.sent, exc.refused))
