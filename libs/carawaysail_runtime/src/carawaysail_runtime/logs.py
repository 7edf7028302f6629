"""Structured logs based on eliot, one JSON object on each line.

``message_type`` is ``carawaysail:<component>:<level>``, and ``text`` a short sentence
that is the same for all events of a kind; the values are in fields of their own.
``open_bounded_log`` is for processes that must not block on their log: lines are
queued and a thread writes them, many at a time. Lines that do not fit in the queue are
dropped, and a line in the log states their number.
"""

import collections
import json
import pathlib
import sys
import threading
import traceback
import typing

import eliot
import msgspec

from carawaysail_types import clock

PREFIX = "carawaysail"

_clock = clock.SystemClock()
_logger = eliot.Logger()

MAX_QUEUED_LINES = 5_000
"""Largest number of lines that wait to be written; about one second of peak load."""

WRITE_INTERVAL_S = 0.1
"""Least time between two writes, in seconds. Each write wakes a thread, which costs
more than the lines that it writes."""


def open_log(path: str) -> None:
    """Write all log messages to a file, or to standard error.

    Parameters
    ----------
    path : str
        Path of a file to append to; empty for standard error.
    """
    stream = open(path, "a", encoding="utf-8") if path else sys.stderr
    eliot.to_file(stream)


class BoundedLog:
    """A destination of log messages that never blocks the calling thread.

    Parameters
    ----------
    stream : file
        Text stream that the lines are written to.
    max_lines : int
        Number of lines that may wait; more are dropped and counted.
    interval_s : float
        Least time between two writes, in seconds.
    """

    def __init__(
        self,
        stream: typing.TextIO,
        max_lines: int = MAX_QUEUED_LINES,
        interval_s: float = WRITE_INTERVAL_S,
    ) -> None:
        self._stream = stream
        self._max_lines = max_lines
        self._interval_s = interval_s
        self._queue: collections.deque[dict[str, typing.Any]] = collections.deque()
        self._has_lines = threading.Event()
        self._dropped = 0
        self._is_closing = threading.Event()
        self._thread = threading.Thread(target=self._write, name="log", daemon=True)
        self._thread.start()

    def __call__(self, message: dict[str, typing.Any]) -> None:
        """Queue a message, or drop and count it if the queue is full."""
        if len(self._queue) >= self._max_lines:
            self._dropped += 1
            return
        self._queue.append(message)
        if not self._has_lines.is_set():
            self._has_lines.set()

    def close(self) -> None:
        """Write the queued lines and end the thread; wait at most a second for that."""
        self._is_closing.set()
        self._has_lines.set()
        self._thread.join(CLOSE_TIMEOUT_S)

    def _write(self) -> None:
        while not self._is_closing.is_set():
            self._has_lines.wait()
            self._is_closing.wait(self._interval_s)
            self._has_lines.clear()
            self._write_queued()
        self._write_queued()

    def _write_queued(self) -> None:
        lines = []
        while self._queue:
            lines.append(_line(self._queue.popleft()))
        if self._dropped:
            dropped, self._dropped = self._dropped, 0
            notice = {"message_type": f"{PREFIX}:log:error", "dropped": dropped,
                      "text": "Log lines dropped."}  # fmt: skip
            lines.append(_line(notice))
        if lines:
            self._stream.write("".join(lines))
            self._stream.flush()


CLOSE_TIMEOUT_S = 1.0
"""Longest wait for the last lines to be written."""

_OMITTED_FIELDS = ("task_uuid", "task_level")


_encoder = msgspec.json.Encoder(enc_hook=str)


def _line(message: dict[str, typing.Any]) -> str:
    fields = {k: v for k, v in message.items() if k not in _OMITTED_FIELDS}
    try:
        return _encoder.encode(fields).decode("ascii") + "\n"
    except (TypeError, ValueError, OverflowError):
        # Slower, but it escapes whatever is not ASCII and takes integers of any size.
        return json.dumps(fields, default=str, separators=(",", ":")) + "\n"


def open_bounded_log(stream: typing.TextIO) -> BoundedLog:
    """Write all log messages to a stream by a thread of its own; return the log."""
    destination = BoundedLog(stream)
    eliot.add_destinations(destination)
    return destination


def location(exc: BaseException) -> str:
    """Return module, line and function in which an exception was raised."""
    frames = traceback.extract_tb(exc.__traceback__)
    if not frames:
        return ""
    frame = frames[-1]
    return f"{pathlib.PurePath(frame.filename).stem}:{frame.lineno} {frame.name}"


def log_event(component: str, text: str, /, **fields: typing.Any) -> None:
    """Log an event at level ``info``.

    Parameters
    ----------
    component : str
        Component that the event belongs to; part of ``message_type``.
    text : str
        Short sentence without values.
    **fields
        Values, each written under its keyword.
    """
    _write(f"{PREFIX}:{component}:info", {"text": text, **fields})


def log_error(
    component: str, text: str, exc: BaseException, /, **fields: typing.Any
) -> None:
    """Log an exception at level ``error``, with its type and its text.

    Parameters
    ----------
    component : str
        Component that the error belongs to; part of ``message_type``.
    text : str
        Short sentence without values.
    exc : BaseException
        Written as ``error``, the name of its class, and ``detail``, its text.
    **fields
        Values, each written under its keyword.
    """
    described = {"text": text, "error": type(exc).__name__, "detail": str(exc)}
    _write(f"{PREFIX}:{component}:error", {**described, **fields})


def _write(message_type: str, fields: dict[str, typing.Any]) -> None:
    """Pass a message to all destinations.

    It belongs to no action of eliot's, so it gets no identifier, whose random bytes
    would cost a system call for each line.
    """
    timestamp = _clock.now().timestamp()
    _logger.write({**fields, "timestamp": timestamp, "message_type": message_type})
