"""Settings of the soak: JSON with comments, on top of the library's defaults."""

import pathlib
import typing

import json5
import msgspec

from carawaysail_soak import clients, plan
from carawaysail_types import errors

DEFAULTS = pathlib.Path(__file__).with_name("defaults.json")


class Settings(typing.NamedTuple):
    """Settings of the soak.

    Parameters
    ----------
    bounds : dict of str to float
        Section ``bounds`` of the daemons' settings files.
    jobs : tuple of clients.JobKind
        Kinds of jobs.
    sizes : dict of str to plan.Size
        Sizes by name.
    reported_only : frozenset of str
        Names of checks whose violations are reported but do not fail a plan.
    """

    bounds: dict[str, float]
    jobs: tuple[clients.JobKind, ...]
    sizes: dict[str, plan.Size]
    reported_only: frozenset[str]


def load(path: str | None = None) -> Settings:
    """Read the defaults, and the fields that differ from a file.

    Raises
    ------
    errors.BadInputError
        If the file cannot be read, or a field is unknown or not valid.
    """
    record = _read(DEFAULTS)
    if path:
        differing = _read(pathlib.Path(path))
        unknown = set(differing) - set(record)
        if unknown:
            raise errors.BadInputError("settings", sorted(unknown), ", ".join(record))
        record.update(differing)
    try:
        sizes = {k: _convert(v, plan.Size) for k, v in record["sizes"].items()}
        jobs = tuple(_convert(x, clients.JobKind) for x in record["jobs"])
        bounds = msgspec.convert(record["bounds"], dict[str, float])
        reported_only = msgspec.convert(record["reported_only"], frozenset[str])
    except (TypeError, AttributeError, msgspec.ValidationError) as exc:
        raise errors.BadInputError("settings", str(exc), str(DEFAULTS)) from exc
    return Settings(bounds, jobs, sizes, reported_only)


def _read(path: pathlib.Path) -> dict[str, typing.Any]:
    try:
        record = json5.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as exc:
        raise errors.BadInputError(str(path), str(exc), "JSON with comments") from exc
    if not isinstance(record, dict):
        raise errors.BadInputError(str(path), record, "an object")
    return record


def _convert(fields: typing.Any, row_type: typing.Any) -> typing.Any:
    return msgspec.convert(list(row_type(**fields)), row_type, strict=False)
