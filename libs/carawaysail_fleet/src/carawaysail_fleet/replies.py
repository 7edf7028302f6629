"""Pending replies: how a thread that serves a client waits for the decision loop.

The thread polls two file descriptors in one blocking call, its client's socket and a
pipe of its own, so both an outcome and a disconnect of the client end the wait.
"""

import datetime
import os
import select
import socket
import threading
import typing

from carawaysail_types import clock, jobs

PEEK_BYTES = 1


class _PendingReply:
    def __init__(self, write_fd: int) -> None:
        self.write_fd = write_fd
        self.outcome: jobs.JobOutcome | None = None


class Replies:
    """Pending replies by number; thread-safe.

    A thread calls ``open`` and ``wait``; the decision loop calls ``put``.

    Parameters
    ----------
    source : clock.Clock, optional
        Source of the present instant; by default a ``clock.SystemClock``.
    """

    def __init__(self, source: clock.Clock | None = None) -> None:
        self._clock = source or clock.SystemClock()
        self._lock = threading.Lock()
        self._pending: dict[int, _PendingReply] = {}
        self._last_id = 0
        self._thread_local = threading.local()

    def open(self) -> int:
        """Create a pending reply for the calling thread; return its number."""
        _, write_fd = self._pipe()
        with self._lock:
            self._last_id += 1
            reply_id = self._last_id
            self._pending[reply_id] = _PendingReply(write_fd)
        return reply_id

    def waiting_count(self) -> int:
        """Return the number of pending replies."""
        with self._lock:
            return len(self._pending)

    def put(self, reply_id: int, outcome: jobs.JobOutcome) -> None:
        """Set the outcome of a pending reply and end its thread's wait.

        Only the first outcome counts; a number that is no longer pending is ignored.
        """
        with self._lock:
            pending = self._pending.get(reply_id)
            if pending is None or pending.outcome is not None:
                return
            pending.outcome = outcome
            os.write(pending.write_fd, b"x")

    def wait(
        self, reply_id: int, client: socket.socket, timeout_s: float
    ) -> jobs.JobOutcome | None:
        """Block until the outcome is set, and close the pending reply.

        Must be called by the thread that called ``open``.

        Parameters
        ----------
        reply_id : int
            Number of the pending reply.
        client : socket.socket
            Connection of the client. A disconnect ends the wait. Further bytes from the
            client don't, but the connection is no longer watched after them.
        timeout_s : float
            Longest wait in seconds.

        Returns
        -------
        jobs.JobOutcome or None
            The outcome; ``None`` if the client has disconnected or the timeout has
            passed first.
        """
        read_fd, _ = self._pipe()
        end = self._clock.now() + datetime.timedelta(seconds=timeout_s)
        try:
            if client.fileno() < 0:
                return None
            poll = select.poll()
            poll.register(read_fd, select.POLLIN)
            poll.register(client.fileno(), select.POLLIN | select.POLLRDHUP)
            while True:
                remaining = max(datetime.timedelta(), end - self._clock.now())
                events = poll.poll(clock.to_milliseconds(remaining))
                outcome = self._pending[reply_id].outcome
                if outcome is not None or not events:
                    return outcome
                for fd, event in events:
                    if fd == read_fd:
                        # Of an earlier reply that was opened but never waited for.
                        os.read(read_fd, 1)
                    elif _has_disconnected(client, event):
                        return None
                    else:
                        poll.unregister(client.fileno())
        finally:
            self._close(reply_id, read_fd)

    def _close(self, reply_id: int, read_fd: int) -> None:
        """Remove a pending reply, and empty the pipe for the thread's next wait."""
        with self._lock:
            pending = self._pending.pop(reply_id)
            if pending.outcome is not None:
                os.read(read_fd, 1)

    def _pipe(self) -> tuple[int, int]:
        """Return the read and write end of the calling thread's pipe."""
        pipe = getattr(self._thread_local, "pipe", None)
        if pipe is None:
            pipe = self._thread_local.pipe = os.pipe()
        return typing.cast(tuple[int, int], pipe)


def _has_disconnected(client: socket.socket, event: int) -> bool:
    """Return whether a client has closed or reset its connection."""
    if event & (select.POLLERR | select.POLLHUP | select.POLLNVAL | select.POLLRDHUP):
        return True
    try:
        flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
        return client.recv(PEEK_BYTES, flags) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True
