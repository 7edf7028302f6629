"""Encoding of outcomes and errors as HTTP responses."""

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


def http_status(outcome: outcomes.Outcome) -> int:
    """Return the HTTP status code for an outcome.

    Examples
    --------
    >>> http_status(outcomes.Unknown(outcomes.Reason.DEADLINE))
    504
    """
    if isinstance(outcome, outcomes.Completed):
        return 200
    if isinstance(outcome, outcomes.Failed):
        return 502
    if isinstance(outcome, outcomes.Unknown):
        return 504
    return _NOT_RUN_STATUS.get(outcome.reason, 503)


def submission_response(
    sid: str, status: submission_status.SubmissionStatus, is_job: bool
) -> routes.Response:
    """Return the response for a submission: its outcome, or its present state.

    Parameters
    ----------
    sid : str
        Text form of its identifier.
    status : submission_status.SubmissionStatus
        Its status.
    is_job : bool
        Whether the answers of a completed submission are sent as a list.
    """
    if status.outcome is not None:
        return _outcome_response(sid, status.outcome, is_job)
    if status.state == submission_status.State.IN_PROGRESS:
        body = {"id": sid, "state": "under_way", "resubmit": "same_id"}
        return routes.Response(202, msgspec.json.encode(body))
    if status.state == submission_status.State.CONFLICT:
        accepted = "the body that came first under this id"
        return error_response(409, "IdConflict", "id", sid, accepted)
    accepted = "an id that was submitted"
    return error_response(404, "NeverCame", "id", sid, accepted)


def _outcome_response(
    sid: str, outcome: outcomes.Outcome, is_job: bool
) -> routes.Response:
    body: dict[str, typing.Any] = {
        "id": sid,
        "outcome": outcome.tag,
        "reason": outcome.reason.value,
        "resubmit": outcome.resubmit.value,
    }
    if isinstance(outcome, outcomes.Completed):
        raw = [msgspec.Raw(answer) for answer in outcome.answers]
        if is_job or len(raw) != 1:
            body["answers"] = raw
        else:
            body["answer"] = raw[0]
    elif outcome.detail:
        body["detail"] = outcome.detail
    return routes.Response(http_status(outcome), msgspec.json.encode(body))


def error_response(
    status: int, error: str, field: str, value: object, accepted: str
) -> routes.Response:
    """Return the response for a request that is not accepted; nothing was started.

    Parameters
    ----------
    status : int
        HTTP status code.
    error : str
        Name of the error.
    field : str
        Name of the rejected field.
    value : object
        The rejected value; its text is truncated.
    accepted : str
        Which values are accepted.
    """
    body = {
        "error": error,
        "field": field,
        "value": str(value)[: errors.MAX_SHOWN_CHARACTERS],
        "accepted": accepted,
        "outcome": "not_run",
    }
    return routes.Response(status, msgspec.json.encode(body))


def exception_response(exc: errors.CarawaysailError) -> routes.Response:
    """Return the response for an error raised while a request was decoded or run.

    Status 413 if the body or a payload is too large, 404 for an unknown service, else
    400.
    """
    if isinstance(exc, errors.BadInputError):
        # Only limits on sizes are stated in bytes; ``body`` is a malformed body.
        status = 413 if "bytes" in exc.accepted and exc.field != "body" else 400
        return error_response(status, exc.tag, exc.field, exc.value, exc.accepted)
    if isinstance(exc, settings_errors.NoSuchPathError):
        names = ", ".join(exc.accepted)
        return error_response(404, "UnknownService", "service", exc.path, names)
    return error_response(400, exc.tag, "body", str(exc), "see docs/CALLERS.md")


def json_response(value: object, status: int = 200) -> routes.Response:
    """Return a response with a value encoded as JSON."""
    return routes.Response(status, msgspec.json.encode(value))
