"""Connections to other daemons: what is sent on them, and what stands for what."""

import testtools

from carawaysail_fleet import peer_links
from carawaysail_streams import messages as stream_messages
from carawaysail_types import daemons

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
        self.links.send_heartbeat(stream_messages.Heartbeat(False, ()), has_news)

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
