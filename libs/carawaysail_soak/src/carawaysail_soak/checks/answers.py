"""Checks of answers to clients."""

import collections.abc
import math

from carawaysail_soak import history
from carawaysail_soak.checks import evidence, registry

REJECTIONS = (400, 404, 413, 429, 503)
"""Statuses that say that the job was not accepted and never runs."""

GRACE_MARGIN_S = 1.0
LATE_SIGTERM_S = 3.0
"""After this time from SIGTERM, a request may be cut if its run outlasts the grace."""

_Findings = collections.abc.Iterator[registry.Finding]


@registry.register("answer_belongs_to_request")
def find_foreign_answers(gathered: evidence.Evidence) -> _Findings:
    """Every answer belongs to a request that was sent, and comes once."""
    answered: set[str] = set()
    for answer in gathered.history.of(history.RequestAnswered):
        send = gathered.sends.get(answer.request_id)
        if send is None or send.request.at > answer.at:
            yield answer.at, answer.request_id, "answer without a request"
        elif answer.request_id in answered:
            yield answer.at, answer.request_id, "second answer"
        elif send.answer is None:
            yield answer.at, answer.request_id, "answer after the connection ended"
        answered.add(answer.request_id)


def _completed(gathered: evidence.Evidence) -> collections.abc.Iterator[evidence.Send]:
    for send in gathered.sends.values():
        if send.answer is not None and send.answer.state == "completed":
            yield send


def _done_runs(gathered: evidence.Evidence, task: str, at: float) -> list[evidence.Run]:
    return [
        x for x in gathered.tasks.get(task, ()) if x.result == "done" and x.ended <= at
    ]


def _task_names(send: evidence.Send) -> list[str]:
    req = send.request
    return [f"{req.job_id}.0.0.{n}" for n in range(req.task_count)]


@registry.register("completed_means_every_task_ended_done")
def find_unfinished_jobs(gathered: evidence.Evidence) -> _Findings:
    """MIXED, mild: each task has a run that ended ``done`` before the answer."""
    for send in _completed(gathered):
        assert send.answer is not None
        for task in _task_names(send):
            if not _done_runs(gathered, task, send.answer.at):
                yield send.answer.at, task, f"{send.answer.request_id}: no end done"


@registry.register("completed_means_every_end_stands")
def find_jobs_with_invalid_ends(gathered: evidence.Evidence) -> _Findings:
    """MIXED, strict: such an end was acknowledged before a crash or a lapse.

    The acknowledgement may follow the answer. An end that was neither acknowledged nor
    invalidated when the history ends is allowed.
    """
    for send in _completed(gathered):
        assert send.answer is not None
        for task in _task_names(send):
            runs = _done_runs(gathered, task, send.answer.at)
            if runs and all(_is_invalid(x) for x in runs):
                run = min(runs, key=lambda x: x.invalidated)
                lost = f"{run.loss} at {run.invalidated:.3f}"
                detail = f"{send.answer.request_id}: {lost}, before the end was acked"
                yield send.answer.at, task, detail


def _is_invalid(run: evidence.Run) -> bool:
    # Equal instants: the acknowledgement was decided on before the crash.
    return run.invalidated < run.acknowledged and math.isfinite(run.invalidated)


@registry.register("failed_means_a_task_failed")
def find_failures_without_cause(gathered: evidence.Evidence) -> _Findings:
    """Failed means that a task has ended ``failed`` ``max_attempts`` times."""
    for send in gathered.sends.values():
        if send.answer is None or send.answer.state != "failed":
            continue
        at, job_id = send.answer.at, send.request.job_id
        most = max(
            sum(
                x.result == "failed" and x.ended <= at
                for x in gathered.tasks.get(task, ())
            )
            for task in _task_names(send) or [""]
        )
        if most < gathered.bounds.max_attempts:
            yield at, job_id, f"{send.answer.request_id}: {most} failed runs of a task"


@registry.register("refused_never_starts")
def find_started_refusals(gathered: evidence.Evidence) -> _Findings:
    """REFUSED: no task starts of a job whose sends were all rejected."""
    refused = {
        job_id
        for job_id, sends in gathered.jobs.items()
        if all(x.answer is not None and x.answer.status in REJECTIONS for x in sends)
    }
    for run in gathered.runs:
        if run.job_id in refused:
            yield run.started, run.task, f"started on {run.worker[0]}"


@registry.register("shutdown_cuts_nothing")
def find_cut_requests(gathered: evidence.Evidence) -> _Findings:
    """LOST: around a SIGTERM, requests that were read whole get whole answers."""
    bounds = gathered.bounds
    terms = [x for x in gathered.history.of(history.Signalled) if x.signal == "SIGTERM"]
    started: dict[str, list[float]] = {}
    for run in gathered.runs:
        started.setdefault(run.job_id, []).append(run.started)
    for send in gathered.sends.values():
        req, broken = send.request, send.broken
        if broken is None or broken.cause == "refused" or not req.is_whole:
            continue
        term = next(
            (
                x.at
                for x in terms
                if x.vm == req.vm
                and x.at <= broken.at <= x.at + bounds.grace_s + GRACE_MARGIN_S
            ),
            None,
        )
        if term is None or broken.at >= send.deadline:
            continue
        # The rule excuses only runners that work on in the last sixth of the grace.
        if (
            broken.at > term + bounds.grace_s * 5 / 6
            and req.at <= term + LATE_SIGTERM_S
        ):
            continue
        if not gathered.impairments.is_calm(req.at, broken.at, ("term", "start")):
            continue
        was_passed_on = any(
            req.at <= x <= broken.at for x in started.get(req.job_id, ())
        )
        if was_passed_on or broken.at > req.at + bounds.loss_slack_ms / 1000.0:
            yield broken.at, req.request_id, f"{req.vm}: {broken.cause} after SIGTERM"
