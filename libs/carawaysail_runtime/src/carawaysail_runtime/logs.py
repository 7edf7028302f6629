"""Structured logs by eliot: short sentences, each with the prefix of its part.

One JSON object a line; ``message_type`` is ``<part>:<level>`` and ``text`` the
sentence. Fields carry the values, so the sentence stays the same from event to event.
``open_bounded_log`` is for processes that must not wait for their log: lines are
queued, a thread writes them, and what does not fit is counted and said.
"""

import collections
import json
import sys
import threading
import typing

import eliot

PREFIX = "carawaysail"

MAX_QUEUED = 5_000
"""Lines that wait to be written; about a second of the heaviest load."""


def open_log(path: str) -> None:
    """Send all messages to a file, or to standard error.

    Parameters
    ----------
    path : str
        File to append to; empty for standard error.
    """
    stream = open(path, "a", encoding="utf-8") if path else sys.stderr
    eliot.to_file(stream)


class BoundedLog:
    """A destination of messages that never blocks who logs.

    Parameters
    ----------
    stream : file
        Where the lines go.
    bound : int
        Lines that may wait; more are dropped, counted and reported.
    """

    def __init__(self, stream: typing.TextIO, bound: int = MAX_QUEUED) -> None:
        self._stream = stream
        self._bound = bound
        self._waiting: collections.deque[dict[str, typing.Any]] = collections.deque()
        self._has_lines = threading.Event()
        self._dropped = 0
        self._is_closed = False
        self._thread = threading.Thread(target=self._write, name="log", daemon=True)
        self._thread.start()

    def __call__(self, message: dict[str, typing.Any]) -> None:
        """Queue a message, or drop and count it."""
        if len(self._waiting) >= self._bound:
            self._dropped += 1
            return
        self._waiting.append(message)
        if not self._has_lines.is_set():
            self._has_lines.set()

    def close(self) -> None:
        """Write what waits and end the thread."""
        self._is_closed = True
        self._has_lines.set()
        self._thread.join(CLOSE_S)

    def _write(self) -> None:
        while True:
            self._has_lines.wait()
            self._has_lines.clear()
            self._write_waiting()
            if self._is_closed:
                return

    def _write_waiting(self) -> None:
        lines = []
        while self._waiting:
            lines.append(_line(self._waiting.popleft()))
        if self._dropped:
            dropped, self._dropped = self._dropped, 0
            text = {"message_type": f"{PREFIX}:log:error", "dropped": dropped,
                    "text": "Log lines dropped."}  # fmt: skip
            lines.append(_line(text))
        if lines:
            self._stream.write("".join(lines))
            self._stream.flush()


CLOSE_S = 1.0
"""Time to write the last lines at the end, in seconds."""

_LEFT_OUT = ("task_uuid", "task_level")


def _line(message: dict[str, typing.Any]) -> str:
    shown = {k: v for k, v in message.items() if k not in _LEFT_OUT}
    return json.dumps(shown, default=str, separators=(",", ":")) + "\n"


def open_bounded_log(stream: typing.TextIO) -> BoundedLog:
    """Send all messages to a stream by a thread; return the destination."""
    destination = BoundedLog(stream)
    eliot.add_destinations(destination)
    return destination


def log_event(part: str, text: str, /, **fields: typing.Any) -> None:
    """Log what happened in a part."""
    eliot.log_message(message_type=f"{PREFIX}:{part}:info", text=text, **fields)


def log_error(
    part: str, text: str, exc: BaseException, /, **fields: typing.Any
) -> None:
    """Log an error with its type and text."""
    eliot.log_message(
        message_type=f"{PREFIX}:{part}:error",
        text=text,
        error=type(exc).__name__,
        detail=str(exc),
        **fields,
    )
