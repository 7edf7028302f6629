"""Routes for callers: requests, jobs, waiting, cancelling."""

from carawaysail_entry.front import decode, encode, routes, task_bridge
from carawaysail_types import identifiers, work

MAX_WAIT_MS = 3_600_000


@routes.routes.register("GET /v1/owner")
def give_owner(desk: task_bridge.Door, call: routes.Call) -> routes.Response:
    """Give the owner token for new identifiers."""
    owner = desk.owner()
    return encode.json({"owner": str(owner), "data_centre": owner.data_centre})


@routes.routes.register("POST /v1/services/{service}/requests")
def take_request(desk: task_bridge.Door, call: routes.Call) -> routes.Response:
    """Run a single request and answer it."""
    with desk.tracer.span("entry.request", call.trace) as span:
        context = desk.context(span.traceparent)
        submission = decode.request(call.parts["service"], call.body, context)
        span.set("submission", str(submission.submission_id))
        return _place(desk, call, submission)


@routes.routes.register("POST /v1/services/{service}/jobs")
def take_job(desk: task_bridge.Door, call: routes.Call) -> routes.Response:
    """Run a job and answer it whole."""
    with desk.tracer.span("entry.job", call.trace) as span:
        context = desk.context(span.traceparent)
        submission = decode.job(call.parts["service"], call.body, context)
        span.set("submission", str(submission.submission_id))
        span.set("tasks", len(submission.tasks))
        return _place(desk, call, submission)


def _place(
    desk: task_bridge.Door, call: routes.Call, submission: work.Submission
) -> routes.Response:
    now = desk.clock.now()
    left_s = (submission.deadline - now).total_seconds() + task_bridge.ANSWER_GRACE_S
    wait_ms = routes.integer(call, "wait_ms", MAX_WAIT_MS, MAX_WAIT_MS)
    found = desk.place(submission, min(left_s, wait_ms / 1000.0))
    desk.meters.answered(submission, found, desk.clock.now() - now)
    return encode.answer(str(submission.submission_id), found, submission.is_job)


@routes.routes.register("GET /v1/submissions/{id}")
def look(desk: task_bridge.Door, call: routes.Call) -> routes.Response:
    """Tell how a submission stands, waiting for its outcome if asked to."""
    sid = identifiers.parse_submission(call.parts["id"])
    wait_ms = routes.integer(call, "wait_ms", 0, MAX_WAIT_MS)
    is_job = call.query.get("as") == "job"
    found = desk.look(sid, wait_ms / 1000.0)
    return encode.answer(str(sid), found, is_job)


@routes.routes.register("POST /v1/cancellations")
def cancel(desk: task_bridge.Door, call: routes.Call) -> routes.Response:
    """Cancel many submissions at once."""
    names = decode.cancelled(call.body)
    desk.cancel(names)
    return encode.json({"cancelled": len(names)}, 202)
