"""How busy the workers of a data centre are, as brokers tell gateways."""

import datetime
import typing

from carawaysail_holding import (
    held_worker,
    run_time_estimates,
    shard_state,
    worker_table,
)
from carawaysail_types import clock

MAX_ROWS = 48
"""Rows of one report; keeps a report below 2 KB whatever the number of workers."""

LEAST_LEFT = 0.2
"""Share of its expected length that a run is taken to need still, at least."""


class Slot(typing.NamedTuple):
    """Room on one worker.

    Parameters
    ----------
    free_milli : int
        Thousandths of a core that are free.
    speed : float
        Its speed; 1 is that of an average worker.
    """

    free_milli: int
    speed: float


class Free(typing.NamedTuple):
    """A run that is expected to end.

    Parameters
    ----------
    after_ms : float
        When, in milliseconds from now.
    speed : float
        Speed of its worker.
    """

    after_ms: float
    speed: float


class Load(typing.NamedTuple):
    """How busy a broker's workers are, for one service.

    Parameters
    ----------
    service : str
        The service.
    slots : tuple of Slot
        Room on workers that take work, most first.
    speeds : tuple of float
        Speeds of those workers, highest first.
    frees : tuple of Free
        Runs that are expected to end, soonest first.
    waiting : int
        Tasks that wait for a worker.
    waiting_ms : float
        Their expected work on average workers, in milliseconds.
    """

    service: str
    slots: tuple[Slot, ...]
    speeds: tuple[float, ...]
    frees: tuple[Free, ...]
    waiting: int
    waiting_ms: float


def measure(
    service: str,
    workers: list[held_worker.HeldWorker],
    jobs: typing.Collection[shard_state.ShardState],
    known: run_time_estimates.RunTimeEstimates,
    now: datetime.datetime,
) -> Load:
    """Return how busy some workers are.

    Parameters
    ----------
    service : str
        The service.
    workers : list of held.HeldWorker
        Those of its workers that take work.
    jobs : collection of jobstate.JobState
        All jobs of the broker.
    known : lengths.Lengths
        Learned run times.
    now : datetime.datetime
        Present instant.
    """
    slots = sorted(
        (
            Slot(x.ledger.free().processor_milli, round(known.speed(x.report), 2))
            for x in workers
            if x.ledger.free().processor_milli > 0
        ),
        reverse=True,
    )
    speeds = sorted((round(known.speed(x.report), 2) for x in workers), reverse=True)
    frees: list[Free] = []
    waiting, work = 0, datetime.timedelta()
    reports = {x.report.worker_id: x.report for x in workers}
    for job in jobs:
        if job.submission.queue.service != service:
            continue
        for state in job.tasks.values():
            expected = job.expected_run_time(known, state.step)
            if state.phase is shard_state.Phase.WAITING:
                waiting += 1
                work += expected
            elif state.worker_id in reports:
                report = reports[state.worker_id]
                left = time_left(state, known.expected_on_worker(expected, report), now)
                after_ms = round(clock.to_milliseconds(left))
                frees.append(Free(after_ms, round(known.speed(report), 2)))
    return Load(
        service, tuple(slots[:MAX_ROWS]), tuple(speeds[:MAX_ROWS]),
        tuple(sorted(frees)[:MAX_ROWS]), waiting,
        round(clock.to_milliseconds(work)),
    )  # fmt: skip


def by_place(
    workers: worker_table.WorkerTable,
    jobs: typing.Collection[shard_state.ShardState],
    known: run_time_estimates.RunTimeEstimates,
    now: datetime.datetime,
) -> tuple[tuple[str, tuple[Load, ...]], ...]:
    """Return how busy held workers are, by data centre and service."""
    found = []
    for place in sorted(workers.tokens):
        here = workers.held_in(place)
        rows = []
        for service in sorted({x.report.service for x in here}):
            usable = [x for x in here if x.report.service == service and x.accepts(now)]
            rows.append(measure(service, usable, jobs, known, now))
        found.append((place, tuple(rows)))
    return tuple(found)


def time_left(
    state: shard_state.TaskState, takes: datetime.timedelta, now: datetime.datetime
) -> datetime.timedelta:
    """Return how long a run is expected to last still.

    A run that is overdue is taken to need as long again as it is overdue.

    Parameters
    ----------
    state : jobstate.TaskState
        The task.
    takes : datetime.timedelta
        What it takes on its worker.
    now : datetime.datetime
        Present instant.
    """
    ran = (
        now - state.started_at if state.started_at is not None else datetime.timedelta()
    )
    return max(abs(takes - ran), takes * LEAST_LEFT)
