"""Routes for callers: owner token, requests, jobs, status, cancellation."""

from carawaysail_entry.front import decode, encode, routes, task_bridge
from carawaysail_types import identifiers, work

MAX_WAIT_MS = 3_600_000
"""Largest ``wait_ms`` that a caller may give."""


@routes.routes.register("GET /v1/owner")
def get_owner(
    bridge: task_bridge.TaskBridge, req: routes.HttpRequest
) -> routes.Response:
    """Return the owner token with which callers build submission identifiers."""
    owner = bridge.owner()
    return encode.json_response({"owner": str(owner), "data_centre": owner.data_centre})


@routes.routes.register("POST /v1/services/{service}/requests")
def submit_request(
    bridge: task_bridge.TaskBridge, req: routes.HttpRequest
) -> routes.Response:
    """Run a single request and return its outcome, or its state after ``wait_ms``."""
    with bridge.tracer.span("entry.request", req.trace) as span:
        context = bridge.decode_context(span.traceparent)
        submission = decode.request(req.path_params["service"], req.body, context)
        span.set("submission", str(submission.submission_id))
        return _submit(bridge, req, submission)


@routes.routes.register("POST /v1/services/{service}/jobs")
def submit_job(
    bridge: task_bridge.TaskBridge, req: routes.HttpRequest
) -> routes.Response:
    """Run a job and return its outcome with the answers of all tasks.

    Returns its state if there is no outcome after ``wait_ms``.
    """
    with bridge.tracer.span("entry.job", req.trace) as span:
        context = bridge.decode_context(span.traceparent)
        submission = decode.job(req.path_params["service"], req.body, context)
        span.set("submission", str(submission.submission_id))
        span.set("tasks", len(submission.tasks))
        return _submit(bridge, req, submission)


def _submit(
    bridge: task_bridge.TaskBridge, req: routes.HttpRequest, submission: work.Submission
) -> routes.Response:
    now = bridge.clock.now()
    max_wait_s = (
        submission.deadline - now
    ).total_seconds() + task_bridge.ANSWER_GRACE_S
    wait_ms = routes.integer(req, "wait_ms", MAX_WAIT_MS, MAX_WAIT_MS)
    status = bridge.submit(submission, min(max_wait_s, wait_ms / 1000.0))
    bridge.metrics.count_answer(submission, status, bridge.clock.now() - now)
    return encode.submission_response(
        str(submission.submission_id), status, submission.is_job
    )


@routes.routes.register("GET /v1/submissions/{id}")
def lookup(bridge: task_bridge.TaskBridge, req: routes.HttpRequest) -> routes.Response:
    """Return the status of a submission, after waiting for its outcome if requested."""
    sid = identifiers.parse_submission(req.path_params["id"])
    wait_ms = routes.integer(req, "wait_ms", 0, MAX_WAIT_MS)
    is_job = req.query.get("as") == "job"
    status = bridge.lookup(sid, wait_ms / 1000.0)
    return encode.submission_response(str(sid), status, is_job)


@routes.routes.register("POST /v1/cancellations")
def cancel(bridge: task_bridge.TaskBridge, req: routes.HttpRequest) -> routes.Response:
    """Cancel the submissions that the body lists."""
    submission_ids = decode.cancellation(req.body)
    bridge.cancel(submission_ids)
    return encode.json_response({"cancelled": len(submission_ids)}, 202)
