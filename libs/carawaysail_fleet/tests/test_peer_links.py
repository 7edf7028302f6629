"""Connections to other daemons: what is sent on them, and what stands for what."""

import testtools

from carawaysail_fleet import messages, peer_links
from carawaysail_runtime import turns
from carawaysail_streams import messages as stream_messages
from carawaysail_types import clock, daemons

PEER = daemons.Daemon("vm-1", "home", "2", "127.0.0.1:1")


class Stream:
    """Records the types of the messages that are sent on it."""

    def __init__(self, peer):
        self.peer = peer
        self.sent = []

    def send(self, message):
        self.sent.append(type(message))

    def send_shared(self, shared):
        self.send(shared.message)

    def count_heartbeat(self):
        return 0


class TestHeartbeats(testtools.TestCase):
    """Heartbeats are sent only where nothing else was."""

    def setUp(self):
        super().setUp()
        self.links = peer_links.PeerLinks(Stream)
        self.links.update([PEER])
        [self.stream] = self.links._streams.values()

    def send_heartbeat(self, has_news=False):
        self.links.send_heartbeat(stream_messages.Heartbeat(False, ()), has_news, 4)

    # A holder sent both its load and a heartbeat to each of a hundred daemons.
    def test_load_report_stands_for_a_heartbeat(self):
        self.links.broadcast(stream_messages.Loads((), 0))
        self.send_heartbeat()
        self.assertEqual([stream_messages.Loads], self.stream.sent)

    def test_next_heartbeat_is_sent(self):
        self.links.broadcast(stream_messages.Loads((), 0))
        self.send_heartbeat()
        self.send_heartbeat()
        self.assertEqual(stream_messages.Heartbeat, self.stream.sent[-1])

    def test_news_are_sent_after_a_load_report(self):
        self.links.broadcast(stream_messages.Loads((), 0))
        self.send_heartbeat(has_news=True)
        self.assertEqual(stream_messages.Heartbeat, self.stream.sent[-1])

    # One of the connections may be silent without this daemon having noticed it.
    def test_message_on_all_connections_is_sent_on_each(self):
        accepted = Stream(PEER)
        self.links.accept(PEER, accepted)
        statement = stream_messages.WaitingShards(None)
        self.links.send_on_all(PEER, statement)
        for connection in (self.stream, accepted):
            self.assertEqual([stream_messages.WaitingShards], connection.sent)
        self.links.send_on_all(PEER._replace(incarnation="3"), statement)
        self.assertEqual(1, len(accepted.sent))


class TestReceiver(testtools.TestCase):
    """What arrives on connections reaches the decision loop with its age."""

    def setUp(self):
        super().setUp()
        self.clock = clock.ManualClock()
        self.turns = turns.Turns(self.clock)
        self.received = []
        self.receiver = peer_links.PeerReceiver(self, self.turns)

    def put(self, message):
        """Record a message; the test case is the inbox of the decision loop."""
        self.received.append(message)

    def stand_still(self, duration_ms):
        self.clock.advance(clock.milliseconds(duration_ms))
        self.turns.begin_wait()
        self.turns.end_wait(0.0, True)

    # A submission that waited in the socket of a frozen daemon looked new.
    def test_message_that_waited_while_the_daemon_stood_still_is_old(self):
        connection = Stream(PEER)
        introduction = stream_messages.encode_introduction(PEER)
        self.receiver.on_introduction(connection, introduction)
        for _ in range(turns.ACCEPT_TURNS):
            self.stand_still(0)
        stopped_at = self.clock.now()
        self.stand_still(4000)
        withdrawal = stream_messages.Withdraw("a" * 16, 1)
        self.receiver.on_frame(connection, stream_messages.encode([withdrawal]))
        [received] = [
            x for x in self.received if isinstance(x, messages.PeerMessagesReceived)
        ]
        self.assertEqual(stopped_at, received.sent_at)
