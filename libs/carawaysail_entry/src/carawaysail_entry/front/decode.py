"""From callers' JSON to typed submissions."""

import collections.abc
import datetime
import math
import typing

import msgspec

from carawaysail_decisions import ownership
from carawaysail_entry import effective
from carawaysail_types import clock, errors, identifiers, work

MAX_DEADLINE_MS = 3_600_000
MAX_ATTEMPT = 1_000_000
MAX_CANCELLED = 10_000

Fields = dict[str, msgspec.Raw]

_REQUEST_FIELDS = ("id", "attempt", "payload", "deadline_ms", "idempotent")
_JOB_FIELDS = ("id", "attempt", "kind", "tasks", "deadline_ms")
_TASK_FIELDS = ("payload", "run_time_ms", "processors", "memory_mb", "accelerators")


def fields(body: bytes, accepted: tuple[str, ...], where: str = "body") -> Fields:
    """Return the fields of a JSON object, undecoded.

    Raises
    ------
    errors.BadInputError
        If the body is not such an object or has a field that is not accepted.
    """
    try:
        found = msgspec.json.decode(body, type=Fields)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as exc:
        shown = body[:40].decode("utf-8", "replace")
        raise errors.BadInputError(where, shown, f"a JSON object ({exc})") from exc
    for name in found:
        if name not in accepted:
            raise errors.BadInputError(where, name, "the fields " + ", ".join(accepted))
    return found


def _take(
    found: Fields, name: str, kind: typing.Any, default: typing.Any, accepted: str
) -> typing.Any:
    if name not in found:
        return default
    try:
        return msgspec.json.decode(found[name], type=kind)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as exc:
        shown = bytes(found[name])[:40].decode("utf-8", "replace")
        raise errors.BadInputError(name, shown, accepted) from exc


def _integer(found: Fields, name: str, default: int, low: int, high: int) -> int:
    accepted = f"a whole number from {low} to {high}"
    value = _take(found, name, int, default, accepted)
    if not low <= value <= high:
        raise errors.BadInputError(name, value, accepted)
    return int(value)


def _number(found: Fields, name: str, default: float, high: float) -> float:
    accepted = f"a number from 0 to {high:g}"
    value = _take(found, name, float, default, accepted)
    if not math.isfinite(value) or not 0 <= value <= high:
        raise errors.BadInputError(name, value, accepted)
    return float(value)


class Context(typing.NamedTuple):
    """What decoding needs to know.

    Parameters
    ----------
    now : datetime.datetime
        The present instant.
    owner : identifiers.Owner
        The token of this daemon now.
    mint : callable
        Returns the caller's part of a new identifier.
    settings : effective.Effective
        The settings in force.
    trace : str
        W3C ``traceparent``.
    """

    now: datetime.datetime
    owner: identifiers.Owner
    mint: collections.abc.Callable[[], str]
    settings: effective.Effective
    trace: str


def request(service: str, body: bytes, context: Context) -> work.Submission:
    """Return the submission of a single request.

    Raises
    ------
    errors.BadInputError
        If a field is not accepted.
    carawaysail_settings.errors.NoSuchPathError
        If there is no such service.
    """
    settings = context.settings.service(service, "request")
    found = fields(body, _REQUEST_FIELDS)
    payload = _payload(found, settings)
    task = work.Task(payload)
    given = _take(found, "idempotent", bool, settings.idempotent, "true or false")
    digest = ownership.digest_of(b"request\0" + service.encode() + b"\0" + payload)
    return work.Submission(
        _identifier(found, context), digest, service, "request", (task,),
        _deadline(found, settings, context), given, False, _attempt(found),
        context.trace,
    )  # fmt: skip


def job(service: str, body: bytes, context: Context) -> work.Submission:
    """Return the submission of a job.

    Raises
    ------
    errors.BadInputError
        If a field is not accepted.
    carawaysail_settings.errors.NoSuchPathError
        If there is no such service.
    """
    found = fields(body, _JOB_FIELDS)
    accepted = "a name of a-z, 0-9 and -"
    kind = _take(found, "kind", str, "job", accepted)
    if identifiers.NAME_PATTERN.fullmatch(kind) is None:
        raise errors.BadInputError("kind", kind, accepted)
    settings = context.settings.service(service, kind)
    tasks = _tasks(found, settings)
    digest = ownership.digest_of(
        b"job\0" + service.encode() + b"\0" + kind.encode() + bytes(found["tasks"])
    )
    return work.Submission(
        _identifier(found, context), digest, service, kind, tasks,
        _deadline(found, settings, context), False, True, _attempt(found),
        context.trace,
    )  # fmt: skip


def cancelled(body: bytes) -> tuple[str, ...]:
    """Return the identifiers that a cancellation names.

    Raises
    ------
    errors.BadInputError
        If the body is not ``{"ids": [...]}``.
    """
    found = fields(body, ("ids",))
    accepted = f"a list of 1 to {MAX_CANCELLED} identifiers"
    names = _take(found, "ids", list[str], [], accepted)
    if not 1 <= len(names) <= MAX_CANCELLED:
        raise errors.BadInputError("ids", len(names), accepted)
    return tuple(str(identifiers.parse_submission(name)) for name in names)


def _identifier(found: Fields, context: Context) -> identifiers.SubmissionId:
    text = _take(found, "id", str, None, "a text")
    if text is None:
        return identifiers.SubmissionId(context.owner, context.mint())
    return identifiers.parse_submission(text)


def _attempt(found: Fields) -> int:
    return _integer(found, "attempt", 0, 0, MAX_ATTEMPT)


def _deadline(
    found: Fields, settings: effective.Service, context: Context
) -> datetime.datetime:
    default = int(clock.to_milliseconds(settings.deadline))
    left_ms = _integer(found, "deadline_ms", default, 1, MAX_DEADLINE_MS)
    return context.now + clock.milliseconds(left_ms)


def _payload(found: Fields, settings: effective.Service) -> bytes:
    payload = bytes(found.get("payload", b"null"))
    if len(payload) > settings.max_payload_bytes:
        accepted = f"at most {settings.max_payload_bytes} bytes"
        raise errors.BadInputError("payload", f"{len(payload)} bytes", accepted)
    return payload


def _tasks(found: Fields, settings: effective.Service) -> tuple[work.Task, ...]:
    accepted = f"a list of 1 to {work.MAX_JOB_TASKS} tasks"
    raw = _take(found, "tasks", list[msgspec.Raw], [], accepted)
    if not 1 <= len(raw) <= work.MAX_JOB_TASKS:
        raise errors.BadInputError("tasks", len(raw), accepted)
    return tuple(
        _task(bytes(item), position, settings) for position, item in enumerate(raw)
    )


def _task(body: bytes, position: int, settings: effective.Service) -> work.Task:
    found = fields(body, _TASK_FIELDS, f"tasks[{position}]")
    declared = None
    if "run_time_ms" in found:
        run_ms = _number(found, "run_time_ms", 0.0, MAX_DEADLINE_MS)
        declared = clock.milliseconds(run_ms)
    needs = work.Needs(
        _number(found, "processors", 1.0, MAX_PROCESSORS),
        _number(found, "memory_mb", 256.0, MAX_MEMORY_MB),
        _integer(found, "accelerators", 0, 0, MAX_ACCELERATORS),
    )
    return work.Task(_payload(found, settings), declared, needs)


MAX_PROCESSORS = 4096.0
MAX_MEMORY_MB = 64_000_000.0
MAX_ACCELERATORS = 64
