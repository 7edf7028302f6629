"""Replies: how a thread that serves a client waits for the desk.

The thread waits on its client's socket and on a pipe of its own at once, so it learns
of the answer and of a client that leaves without spinning.
"""

import os
import select
import socket
import threading
import typing

from carawaysail_types import jobs

PEEK_BYTES = 1


class _Place:
    def __init__(self, wake: int) -> None:
        self.wake = wake
        self.outcome: jobs.JobOutcome | None = None


class Replies:
    """Places where threads wait, by number; used by all threads and the desk."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._places: dict[int, _Place] = {}
        self._count = 0
        self._own = threading.local()

    def open(self) -> int:
        """Return the number of a new place that the calling thread waits at."""
        _, wake = self._pipe()
        with self._lock:
            self._count += 1
            number = self._count
            self._places[number] = _Place(wake)
        return number

    def waiting_count(self) -> int:
        """Return how many threads wait."""
        with self._lock:
            return len(self._places)

    def put(self, number: int, outcome: jobs.JobOutcome) -> None:
        """Give a place its outcome; one that was left is passed over."""
        with self._lock:
            place = self._places.get(number)
            if place is None or place.outcome is not None:
                return
            place.outcome = outcome
            os.write(place.wake, b"x")

    def wait(
        self, number: int, client: socket.socket, timeout_s: float
    ) -> jobs.JobOutcome | None:
        """Wait for the outcome.

        Parameters
        ----------
        number : int
            The place.
        client : socket.socket
            Connection of the client.
        timeout_s : float
            Longest wait, in seconds.

        Returns
        -------
        jobs.JobOutcome or None
            The outcome; ``None`` if the client has left or the time is up.
        """
        read, _ = self._pipe()
        poll = select.poll()
        poll.register(read, select.POLLIN)
        poll.register(client.fileno(), select.POLLIN | select.POLLRDHUP)
        try:
            for fd, event in poll.poll(timeout_s * 1000.0):
                if fd != read and _has_left(client, event):
                    return self._places[number].outcome
                if fd != read:
                    poll.unregister(client.fileno())
                    poll.poll(timeout_s * 1000.0)
            return self._places[number].outcome
        finally:
            self._leave(number, read)

    def _leave(self, number: int, read: int) -> None:
        with self._lock:
            place = self._places.pop(number)
            if place.outcome is not None:
                os.read(read, 1)

    def _pipe(self) -> tuple[int, int]:
        found = getattr(self._own, "pipe", None)
        if found is None:
            found = self._own.pipe = os.pipe()
        return typing.cast(tuple[int, int], found)


def _has_left(client: socket.socket, event: int) -> bool:
    """Tell whether a client has closed or reset its connection."""
    if event & (select.POLLERR | select.POLLHUP | select.POLLNVAL | select.POLLRDHUP):
        return True
    try:
        flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
        return client.recv(PEEK_BYTES, flags) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True
