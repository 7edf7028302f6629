"""Connections to other daemons: those that this one opens, and those it has accepted.

The decision loop owns them. What arrives on them reaches it as messages.
"""

import collections.abc
import typing

from carawaysail_fleet import messages
from carawaysail_runtime import inbox, logs, turns
from carawaysail_streams import errors, transport
from carawaysail_streams import messages as stream_messages
from carawaysail_types import daemons


class Connection(typing.Protocol):
    """A connection to one other daemon; no method blocks."""

    def send(self, message: typing.Any) -> None:
        """Queue a message for sending."""

    def send_shared(self, shared: transport.Shared) -> None:
        """Send a message that other daemons get as well."""

    def close(self) -> None:
        """Close the connection for good."""


class PeerStream(Connection, typing.Protocol):
    """A connection that this daemon opens, again and again, to ``peer``."""

    peer: daemons.Daemon

    def count_heartbeat(self) -> int:
        """Return the number of calls since something was received on it."""

    def restart(self) -> None:
        """Replace the connection by a new one, because nothing arrives on it."""


OpenStream = collections.abc.Callable[[daemons.Daemon], PeerStream]


class PeerLinks:
    """At most one stream to each other daemon, and one connection accepted from it.

    Parameters
    ----------
    open_stream : callable
        Opens a stream to another daemon.
    """

    def __init__(self, open_stream: OpenStream) -> None:
        self._open_stream = open_stream
        self._streams: dict[str, PeerStream] = {}
        self._accepted: dict[str, tuple[daemons.Daemon, Connection]] = {}
        # VMs that were sent something since the last heartbeats.
        self._sent_to: set[str] = set()

    def update(self, wanted: collections.abc.Iterable[daemons.Daemon]) -> None:
        """Open streams to the given daemons, and close those to all others."""
        wanted_by_vm = {peer.vm: peer for peer in wanted}
        for vm, stream in list(self._streams.items()):
            if wanted_by_vm.get(vm) != stream.peer:
                self._streams.pop(vm).close()
        for vm, peer in wanted_by_vm.items():
            if vm not in self._streams:
                self._streams[vm] = self._open_stream(peer)

    def accept(self, sender: daemons.Daemon, connection: Connection) -> None:
        """Use a connection that another daemon has opened; the last one counts."""
        _, earlier = self._accepted.get(sender.vm, (None, None))
        self._accepted[sender.vm] = (sender, connection)
        if earlier is not None and earlier is not connection:
            earlier.close()

    def forget(self, sender: daemons.Daemon, connection: Connection) -> None:
        """Drop an accepted connection that has ended."""
        if self._accepted.get(sender.vm) == (sender, connection):
            del self._accepted[sender.vm]

    def send(self, peer: daemons.Daemon, message: stream_messages.Message) -> None:
        """Send a message to a daemon; without a connection to it, drop the message."""
        connection = self._connection_to(peer)
        if connection is not None:
            self._sent_to.add(peer.vm)
            connection.send(message)

    def _connection_to(self, peer: daemons.Daemon) -> Connection | None:
        stream = self._streams.get(peer.vm)
        if stream is not None:
            return stream
        accepted_from, connection = self._accepted.get(peer.vm, (None, None))
        return connection if accepted_from == peer else None

    def send_on_all(
        self, peer: daemons.Daemon, message: stream_messages.Message
    ) -> None:
        """Send a message to a daemon on each connection to it.

        One of them may be silent without this daemon having noticed it.
        """
        accepted_from, connection = self._accepted.get(peer.vm, (None, None))
        if connection is not None and accepted_from == peer:
            connection.send(message)
        stream = self._streams.get(peer.vm)
        if stream is not None and stream.peer == peer:
            self._sent_to.add(peer.vm)
            stream.send(message)

    def broadcast(self, message: stream_messages.Message) -> tuple[int, int]:
        """Send a message to all daemons that there is a connection to.

        Returns
        -------
        int
            Number of these daemons.
        int
            Size of the encoded message in bytes; 0 if it was not encoded.
        """
        shared = transport.Shared(message)
        connections: dict[str, Connection] = {
            vm: connection for vm, (_, connection) in self._accepted.items()
        }
        connections.update(self._streams)
        for connection in connections.values():
            connection.send_shared(shared)
        self._sent_to.update(connections)
        return len(connections), shared.size_bytes

    def send_heartbeat(
        self, heartbeat: stream_messages.Heartbeat, has_news: bool, max_unanswered: int
    ) -> None:
        """Send a heartbeat on each connection; replace streams on which nothing comes.

        Parameters
        ----------
        heartbeat : stream_messages.Heartbeat
            The heartbeat.
        has_news : bool
            Whether it says more than that this daemon is alive. Otherwise whatever was
            sent to a daemon since the last heartbeat stands for it.
        max_unanswered : int
            Heartbeats on a stream without anything received on it, beyond which it is
            replaced.
        """
        shared = transport.Shared(heartbeat)
        skipped = set() if has_news else self._sent_to
        self._sent_to = set()
        for vm, (_, connection) in self._accepted.items():
            if vm not in skipped or vm in self._streams:
                connection.send_shared(shared)
        for vm, stream in self._streams.items():
            if vm not in skipped:
                stream.send_shared(shared)
            if stream.count_heartbeat() > max_unanswered:
                logs.log_event("peers", "Connection is silent.", vm=vm)
                stream.restart()

    def close(self) -> None:
        """Close all streams and connections."""
        for stream in self._streams.values():
            stream.close()
        for _, connection in self._accepted.values():
            connection.close()


class _Sender(typing.NamedTuple):
    """Who is at the other end of a connection, and when what it sends arrives."""

    daemon: daemons.Daemon
    arrivals: turns.Arrivals


class PeerReceiver:
    """Decodes frames of other daemons and passes the messages to the decision loop.

    Parameters
    ----------
    loop_inbox : inbox.Inbox
        Inbox of the decision loop.
    observer : turns.Observer
        Observer of the event loop.
    """

    def __init__(
        self, loop_inbox: "inbox.Inbox[messages.Message]", observer: turns.Observer
    ) -> None:
        self._loop_inbox = loop_inbox
        self._observer = observer
        self._senders: dict[transport.Connection, _Sender] = {}

    def on_introduction(self, connection: transport.Connection, data: bytes) -> None:
        """Record who is at the other end; close a connection to somebody else.

        The address of a daemon that has ended may belong to another incarnation.
        """
        try:
            sender = stream_messages.decode_introduction(data)
        except errors.BadFrameError as exc:
            logs.log_error("peers", "Bad introduction.", exc)
            connection.close()
            return
        wanted = connection.peer
        arrivals = turns.Arrivals(self._observer)
        if wanted is None:
            self._senders[connection] = _Sender(sender, arrivals)
            self._loop_inbox.put(messages.ConnectionAccepted(sender, connection))
        elif (sender.vm, sender.incarnation) == (wanted.vm, wanted.incarnation):
            self._senders[connection] = _Sender(wanted, arrivals)
            self._loop_inbox.put(messages.StreamOpened(wanted))
        else:
            connection.close()
            self._loop_inbox.put(messages.ConnectionRefused(wanted))
            sent_at = arrivals.earliest()
            self._loop_inbox.put(messages.PeerMessagesReceived(sender, (), sent_at))

    def on_frame(self, connection: transport.Connection, data: bytes) -> None:
        """Decode a frame; log and discard one that cannot be decoded."""
        sender = self._senders.get(connection)
        if sender is None:
            return
        try:
            received = stream_messages.decode(data)
        except errors.BadFrameError as exc:
            logs.log_error("peers", "Bad frame.", exc)
            return
        self._loop_inbox.put(
            messages.PeerMessagesReceived(
                sender.daemon, tuple(received), sender.arrivals.earliest()
            )
        )

    def on_closed(self, connection: transport.Connection) -> None:
        """Pass on that a connection has ended."""
        sender = self._senders.pop(connection, None)
        if sender is not None and connection.peer is None:
            self._loop_inbox.put(messages.ConnectionClosed(sender.daemon, connection))
