"""Structured logs by eliot: short sentences, each with the prefix of its part.

One JSON object a line; ``message_type`` is ``<part>:<level>`` and ``text`` the
sentence. Fields carry the values, so the sentence stays the same from event to event.
"""

import sys
import typing

import eliot

PREFIX = "carawaysail"


def open_log(path: str) -> None:
    """Send all messages to a file, or to standard error.

    Parameters
    ----------
    path : str
        File to append to; empty for standard error.
    """
    stream = open(path, "a", encoding="utf-8") if path else sys.stderr
    eliot.to_file(stream)


def tell(part: str, text: str, **fields: typing.Any) -> None:
    """Log what happened in a part."""
    eliot.log_message(message_type=f"{PREFIX}:{part}:info", text=text, **fields)


def fault(part: str, text: str, exc: BaseException, **fields: typing.Any) -> None:
    """Log an error with its type and text."""
    eliot.log_message(
        message_type=f"{PREFIX}:{part}:error",
        text=text,
        error=type(exc).__name__,
        detail=str(exc),
        **fields,
    )
