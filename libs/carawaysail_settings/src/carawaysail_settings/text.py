"""JSON with comments, read and written."""

import json
import typing

import json5

from carawaysail_settings import errors

MAX_TEXT_BYTES = 4_000_000


def parse(source: str, text: str) -> typing.Any:
    """Return the value of a JSON text that may hold comments.

    Plain JSON is read by the standard library, which is faster; only a text that it
    refuses is read as JSON with comments.

    Parameters
    ----------
    source : str
        Name of the text, for the error.
    text : str
        The text.

    Raises
    ------
    errors.BadTextError
        If it is too large or not JSON with comments.
    """
    if len(text) > MAX_TEXT_BYTES:
        raise errors.BadTextError(source, f"over {MAX_TEXT_BYTES} bytes")
    try:
        return json.loads(text)
    except RecursionError as exc:
        raise errors.BadTextError(source, "nested too deeply") from exc
    except ValueError:
        return _parse_with_comments(source, text)


def _parse_with_comments(source: str, text: str) -> typing.Any:
    try:
        return json5.loads(text, allow_duplicate_keys=False)
    except RecursionError as exc:
        raise errors.BadTextError(source, "nested too deeply") from exc
    except ValueError as exc:
        raise errors.BadTextError(source, str(exc)) from exc


def render(value: object) -> str:
    """Return the canonical text of a value: sorted keys, two spaces."""
    return json.dumps(value, indent=2, sort_keys=True, ensure_ascii=False) + "\n"


def compact(value: object) -> str:
    """Return the shortest canonical text of a value, as the store holds it."""
    return json.dumps(value, separators=(",", ":"), sort_keys=True)
