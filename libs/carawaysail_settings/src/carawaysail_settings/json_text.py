"""Read JSON with comments, and write canonical JSON."""

import json
import typing

import json5

from carawaysail_settings import errors

MAX_TEXT_CHARACTERS = 4_000_000


def parse(source: str, text: str) -> typing.Any:
    """Parse a JSON text that may contain comments.

    The standard library parses plain JSON faster, so JSON with comments (JSON5) is
    tried only for a text that the standard library rejects.

    Parameters
    ----------
    source : str
        Name of the text, for errors.
    text : str
        The text.

    Raises
    ------
    errors.BadTextError
        If the text is longer than ``MAX_TEXT_CHARACTERS``, is nested too deeply, or is
        not JSON with comments.
    """
    if len(text) > MAX_TEXT_CHARACTERS:
        raise errors.BadTextError(source, f"over {MAX_TEXT_CHARACTERS} characters")
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
    """Return a value as readable canonical JSON: sorted keys, two spaces a level."""
    return json.dumps(value, indent=2, sort_keys=True, ensure_ascii=False) + "\n"


def compact(value: object) -> str:
    """Return a value as canonical JSON without white space, the form that is stored."""
    return json.dumps(value, separators=(",", ":"), sort_keys=True)
