"""From outcomes and errors to HTTP answers."""

import typing

import msgspec

from carawaysail_decisions import submission_status
from carawaysail_entry.front import routes
from carawaysail_settings import errors as settings_errors
from carawaysail_types import errors, outcomes

_NOT_RUN_STATUS = {
    outcomes.Reason.INFEASIBLE: 422,
    outcomes.Reason.CANCELLED: 409,
    outcomes.Reason.DEADLINE: 504,
}


def status_of(outcome: outcomes.Outcome) -> int:
    """Return the HTTP status of an outcome.

    Examples
    --------
    >>> status_of(outcomes.Unknown(outcomes.Reason.DEADLINE))
    504
    """
    if isinstance(outcome, outcomes.Completed):
        return 200
    if isinstance(outcome, outcomes.Failed):
        return 502
    if isinstance(outcome, outcomes.Unknown):
        return 504
    return _NOT_RUN_STATUS.get(outcome.reason, 503)


def answer(
    sid: str, value: submission_status.SubmissionStatus, is_job: bool
) -> routes.Response:
    """Return the answer for a submission.

    Parameters
    ----------
    sid : str
        Text of its identifier.
    value : standing.Standing
        How it stands.
    is_job : bool
        Whether a completed one is answered as a list.
    """
    if value.outcome is not None:
        return _outcome(sid, value.outcome, is_job)
    if value.state == submission_status.State.IN_PROGRESS:
        body = {"id": sid, "state": "under_way", "resubmit": "same_id"}
        return routes.Response(202, msgspec.json.encode(body))
    if value.state == submission_status.State.CONFLICT:
        accepted = "the body that came first under this id"
        return failure(409, "IdConflict", "id", sid, accepted)
    accepted = "an id that was submitted"
    return failure(404, "NeverCame", "id", sid, accepted)


def _outcome(sid: str, outcome: outcomes.Outcome, is_job: bool) -> routes.Response:
    told: dict[str, typing.Any] = {
        "id": sid,
        "outcome": outcome.tag,
        "reason": outcome.reason.value,
        "resubmit": outcome.resubmit.value,
    }
    if isinstance(outcome, outcomes.Completed):
        raw = [msgspec.Raw(answer) for answer in outcome.answers]
        if is_job or len(raw) != 1:
            told["answers"] = raw
        else:
            told["answer"] = raw[0]
    elif outcome.detail:
        told["detail"] = outcome.detail
    return routes.Response(status_of(outcome), msgspec.json.encode(told))


def failure(
    status: int, error: str, field: str, value: object, accepted: str
) -> routes.Response:
    """Return the answer to an input that is not accepted; nothing was started."""
    body = {
        "error": error,
        "field": field,
        "value": str(value)[: errors.MAX_SHOWN_CHARACTERS],
        "accepted": accepted,
        "outcome": "not_run",
    }
    return routes.Response(status, msgspec.json.encode(body))


def refused(exc: errors.CarawaysailError) -> routes.Response:
    """Return the answer for a typed error of the input."""
    if isinstance(exc, errors.BadInputError):
        status = 413 if "bytes" in exc.accepted and exc.field != "body" else 400
        return failure(status, exc.tag, exc.field, exc.value, exc.accepted)
    if isinstance(exc, settings_errors.NoSuchPathError):
        names = ", ".join(exc.accepted)
        return failure(404, "UnknownService", "service", exc.path, names)
    return failure(400, exc.tag, "body", str(exc), "see docs/CALLERS.md")


def json(value: object, status: int = 200) -> routes.Response:
    """Return an answer with a JSON body."""
    return routes.Response(status, msgspec.json.encode(value))
