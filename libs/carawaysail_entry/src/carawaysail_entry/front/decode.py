"""Decoding of callers' JSON to typed submissions."""

import collections.abc
import datetime
import math
import typing

import msgspec

from carawaysail_decisions import ownership
from carawaysail_entry import effective_settings
from carawaysail_types import clock, errors, identifiers, work

MAX_DEADLINE_MS = 3_600_000
MAX_ATTEMPT_NUMBER = 1_000_000
MAX_CANCELLED_IDS = 10_000

Fields = dict[str, msgspec.Raw]

_REQUEST_FIELDS = ("id", "attempt", "payload", "deadline_ms", "idempotent")
_JOB_FIELDS = ("id", "attempt", "kind", "tasks", "deadline_ms")
_TASK_FIELDS = ("payload", "run_time_ms", "processors", "memory_mb", "accelerators")


def decode_object(
    body: bytes, accepted: tuple[str, ...], where: str = "body"
) -> Fields:
    """Return the fields of a JSON object, with their values not decoded yet.

    Parameters
    ----------
    body : bytes
        JSON text.
    accepted : tuple of str
        Names of the accepted fields.
    where : str
        Name of the object in error messages.

    Raises
    ------
    errors.BadInputError
        If the body is not a JSON object or has a field that is not accepted.
    """
    try:
        fields = msgspec.json.decode(body, type=Fields)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as exc:
        shown = body[:40].decode("utf-8", "replace")
        raise errors.BadInputError(where, shown, f"a JSON object ({exc})") from exc
    for name in fields:
        if name not in accepted:
            raise errors.BadInputError(where, name, "the fields " + ", ".join(accepted))
    return fields


def _decode_field(
    fields: Fields, name: str, kind: typing.Any, default: typing.Any, accepted: str
) -> typing.Any:
    if name not in fields:
        return default
    try:
        return msgspec.json.decode(fields[name], type=kind)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as exc:
        shown = bytes(fields[name])[:40].decode("utf-8", "replace")
        raise errors.BadInputError(name, shown, accepted) from exc


def _integer(fields: Fields, name: str, default: int, low: int, high: int) -> int:
    accepted = f"a whole number from {low} to {high}"
    value = _decode_field(fields, name, int, default, accepted)
    if not low <= value <= high:
        raise errors.BadInputError(name, value, accepted)
    return int(value)


def _number(fields: Fields, name: str, default: float, high: float) -> float:
    accepted = f"a number from 0 to {high:g}"
    value = _decode_field(fields, name, float, default, accepted)
    if not math.isfinite(value) or not 0 <= value <= high:
        raise errors.BadInputError(name, value, accepted)
    return float(value)


class Context(typing.NamedTuple):
    """Context that the decoding of a submission depends on.

    Parameters
    ----------
    now : datetime.datetime
        The present instant.
    owner : identifiers.Owner
        Owner token of this daemon at this instant.
    generate_local_id : callable
        Returns the local part of a new submission identifier.
    settings : effective_settings.EffectiveSettings
        The settings in force.
    trace : str
        W3C ``traceparent`` of the span of this request.
    """

    now: datetime.datetime
    owner: identifiers.Owner
    generate_local_id: collections.abc.Callable[[], str]
    settings: effective_settings.EffectiveSettings
    trace: str


def request(service: str, body: bytes, context: Context) -> work.Submission:
    """Decode a single request, a submission of one task.

    Parameters
    ----------
    service : str
        Name of the service.
    body : bytes
        JSON object with the fields in ``_REQUEST_FIELDS``, all optional.
    context : Context
        Context of the decoding.

    Raises
    ------
    errors.BadInputError
        If the body, a field or its value is not accepted.
    carawaysail_settings.errors.NoSuchPathError
        If the settings list no such service.
    """
    settings = context.settings.service(service, "request")
    fields = decode_object(body, _REQUEST_FIELDS)
    payload = _payload(fields, settings)
    task = work.Task(payload)
    idempotent = _decode_field(
        fields, "idempotent", bool, settings.idempotent, "true or false"
    )
    digest = ownership.digest_of(b"request\0" + service.encode() + b"\0" + payload)
    return work.Submission(
        _identifier(fields, context), digest, service, "request", (task,),
        _deadline(fields, settings, context), idempotent, False, _attempt(fields),
        context.trace,
    )  # fmt: skip


def job(service: str, body: bytes, context: Context) -> work.Submission:
    """Decode a job, a submission of one or more tasks.

    Parameters
    ----------
    service : str
        Name of the service.
    body : bytes
        JSON object with the fields in ``_JOB_FIELDS``; ``tasks`` is required.
    context : Context
        Context of the decoding.

    Raises
    ------
    errors.BadInputError
        If the body, a field or its value is not accepted.
    carawaysail_settings.errors.NoSuchPathError
        If the settings list no such service.
    """
    fields = decode_object(body, _JOB_FIELDS)
    accepted = "a name of a-z, 0-9 and -"
    kind = _decode_field(fields, "kind", str, "job", accepted)
    if identifiers.NAME_PATTERN.fullmatch(kind) is None:
        raise errors.BadInputError("kind", kind, accepted)
    settings = context.settings.service(service, kind)
    tasks = _tasks(fields, settings)
    digest = ownership.digest_of(
        b"job\0" + service.encode() + b"\0" + kind.encode() + bytes(fields["tasks"])
    )
    return work.Submission(
        _identifier(fields, context), digest, service, kind, tasks,
        _deadline(fields, settings, context), False, True, _attempt(fields),
        context.trace,
    )  # fmt: skip


def cancellation(body: bytes) -> tuple[str, ...]:
    """Decode a cancellation and return the text of its submission identifiers.

    Raises
    ------
    errors.BadInputError
        If the body is not ``{"ids": [...]}`` with 1 to ``MAX_CANCELLED_IDS`` valid
        identifiers.
    """
    fields = decode_object(body, ("ids",))
    accepted = f"a list of 1 to {MAX_CANCELLED_IDS} identifiers"
    texts = _decode_field(fields, "ids", list[str], [], accepted)
    if not 1 <= len(texts) <= MAX_CANCELLED_IDS:
        raise errors.BadInputError("ids", len(texts), accepted)
    return tuple(str(identifiers.parse_submission(text)) for text in texts)


def _identifier(fields: Fields, context: Context) -> identifiers.SubmissionId:
    text = _decode_field(fields, "id", str, None, "a string")
    if text is None:
        return identifiers.SubmissionId(context.owner, context.generate_local_id())
    return identifiers.parse_submission(text)


def _attempt(fields: Fields) -> int:
    return _integer(fields, "attempt", 0, 0, MAX_ATTEMPT_NUMBER)


def _deadline(
    fields: Fields, settings: effective_settings.ServiceSettings, context: Context
) -> datetime.datetime:
    default = int(clock.to_milliseconds(settings.deadline))
    remaining_ms = _integer(fields, "deadline_ms", default, 1, MAX_DEADLINE_MS)
    return context.now + clock.milliseconds(remaining_ms)


def _payload(fields: Fields, settings: effective_settings.ServiceSettings) -> bytes:
    payload = bytes(fields.get("payload", b"null"))
    if len(payload) > settings.max_payload_bytes:
        accepted = f"at most {settings.max_payload_bytes} bytes"
        raise errors.BadInputError("payload", f"{len(payload)} bytes", accepted)
    return payload


def _tasks(
    fields: Fields, settings: effective_settings.ServiceSettings
) -> tuple[work.Task, ...]:
    accepted = f"a list of 1 to {work.MAX_JOB_TASKS} tasks"
    raw = _decode_field(fields, "tasks", list[msgspec.Raw], [], accepted)
    if not 1 <= len(raw) <= work.MAX_JOB_TASKS:
        raise errors.BadInputError("tasks", len(raw), accepted)
    return tuple(
        _task(bytes(item), position, settings) for position, item in enumerate(raw)
    )


def _task(
    body: bytes, position: int, settings: effective_settings.ServiceSettings
) -> work.Task:
    fields = decode_object(body, _TASK_FIELDS, f"tasks[{position}]")
    declared_run_time = None
    if "run_time_ms" in fields:
        run_time_ms = _number(fields, "run_time_ms", 0.0, MAX_DEADLINE_MS)
        declared_run_time = clock.milliseconds(run_time_ms)
    resources = work.TaskResources(
        _number(fields, "processors", 1.0, MAX_PROCESSORS),
        _number(fields, "memory_mb", 256.0, MAX_MEMORY_MB),
        _integer(fields, "accelerators", 0, 0, MAX_ACCELERATORS),
    )
    return work.Task(_payload(fields, settings), declared_run_time, resources)


MAX_PROCESSORS = 4096.0
MAX_MEMORY_MB = 64_000_000.0
MAX_ACCELERATORS = 64
