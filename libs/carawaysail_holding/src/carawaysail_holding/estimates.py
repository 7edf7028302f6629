"""Estimates of waiting: how much work is ahead and how fast it is done."""

import collections.abc
import datetime

from carawaysail_holding import held, jobstate, lengths, policies
from carawaysail_types import jobs

NOTHING = datetime.timedelta()

NO_CAPACITY_WAIT = datetime.timedelta(seconds=1)
"""Expected wait where no worker takes work; workers come back within seconds."""


def utilisation(workers: collections.abc.Sequence[held.HeldWorker]) -> float:
    """Return the share of the workers' processors that is taken."""
    room = sum(x.report.room.processor_milli for x in workers)
    free = sum(x.ledger.free().processor_milli for x in workers)
    return 1.0 - free / room if room else 1.0


def _rate(
    workers: collections.abc.Sequence[held.HeldWorker],
    task_milli: int,
    known: lengths.Lengths,
) -> tuple[float, int]:
    """Return tasks at once weighted by speed, and how many could start now."""
    rate, free = 0.0, 0
    for worker in workers:
        milli = max(1, task_milli)
        slots = worker.report.room.processor_milli // milli
        rate += slots * known.speed(worker.report)
        free += worker.ledger.free().processor_milli // milli
    return rate, free


def _residual(
    all_jobs: collections.abc.Iterable[jobstate.JobState],
    service: str,
    known: lengths.Lengths,
    now: datetime.datetime,
) -> datetime.timedelta:
    """Return the work left of tasks that run, for an average worker."""
    left = NOTHING
    for job in all_jobs:
        queue = job.submission.queue
        if queue.service != service:
            continue
        for state in job.tasks.values():
            if state.phase is jobstate.Phase.PLACED and state.started is not None:
                expected = known.expected(queue.name, state.step)
                left += max(expected - (now - state.started), expected * 0.2)
    return left


def _waiting(
    all_jobs: collections.abc.Iterable[jobstate.JobState],
    service: str,
    known: lengths.Lengths,
) -> datetime.timedelta:
    work = NOTHING
    for job in all_jobs:
        queue = job.submission.queue
        if queue.service == service:
            for state in job.tasks.values():
                if state.phase is jobstate.Phase.WAITING:
                    work += known.expected(queue.name, state.step)
    return work


def _largest(steps: collections.abc.Iterable[jobs.Step]) -> int:
    return max((step.room.processor_milli for step in steps), default=1)


def outlook(
    job: jobstate.JobState,
    workers: collections.abc.Sequence[held.HeldWorker],
    all_jobs: collections.abc.Collection[jobstate.JobState],
    order: policies.Order,
    known: lengths.Lengths,
    now: datetime.datetime,
) -> policies.Outlook:
    """Return when a job would be done, given what is ahead of it."""
    queue = job.submission.queue
    rate, free = _rate(workers, _largest(job.submission.job.steps), known)
    if not rate:
        drained = NO_CAPACITY_WAIT
        return policies.Outlook(now + drained + job.schedule.length, drained)
    key = order.key(job, now)
    ahead = _waiting(
        (x for x in all_jobs if order.key(x, now) <= key), queue.service, known
    )
    own = _waiting([job], queue.service, known)
    residual = _residual(all_jobs, queue.service, known, now)
    length = job.schedule.length
    drained = (residual + ahead) / rate
    if not ahead and free >= job.waiting():
        return policies.Outlook(now + length, drained)
    return policies.Outlook(now + max((residual + ahead + own) / rate, length), drained)


def wait(
    workers: collections.abc.Sequence[held.HeldWorker],
    all_jobs: collections.abc.Collection[jobstate.JobState],
    service: str,
    known: lengths.Lengths,
    now: datetime.datetime,
) -> datetime.timedelta:
    """Return when a new task of middling urgency would start."""
    largest = max(
        (
            _largest(job.submission.job.steps)
            for job in all_jobs
            if job.submission.queue.service == service
        ),
        default=1,
    )
    rate, free = _rate(workers, largest, known)
    if not rate:
        return NO_CAPACITY_WAIT
    waiting = _waiting(all_jobs, service, known)
    if free and not waiting:
        return NOTHING
    return (waiting + _residual(all_jobs, service, known, now)) / rate
