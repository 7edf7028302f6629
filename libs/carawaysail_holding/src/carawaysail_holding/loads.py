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


class FreeCapacity(typing.NamedTuple):
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


class ExpectedRelease(typing.NamedTuple):
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


class ServiceLoad(typing.NamedTuple):
    """How busy a broker's workers are, for one service.

    Parameters
    ----------
    service : str
        The service.
    slots : tuple of FreeCapacity
        Room on workers that take work, most first.
    speeds : tuple of float
        Speeds of those workers, highest first.
    frees : tuple of ExpectedRelease
        Runs that are expected to end, soonest first.
    waiting : int
        Tasks that wait for a worker.
    waiting_work_ms : float
        Their expected work on average workers, in milliseconds.
    """

    service: str
    free_capacity: tuple[FreeCapacity, ...]
    speeds: tuple[float, ...]
    expected_releases: tuple[ExpectedRelease, ...]
    waiting_tasks: int
    waiting_work_ms: float


def service_load(
    service: str,
    workers: list[held_worker.HeldWorker],
    jobs: typing.Collection[shard_state.ShardState],
    known: run_time_estimates.RunTimeEstimates,
    now: datetime.datetime,
) -> ServiceLoad:
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
    free_capacity = sorted(
        (
            FreeCapacity(
                x.ledger.free().processor_milli, round(known.speed(x.report), 2)
            )
            for x in workers
            if x.ledger.free().processor_milli > 0
        ),
        reverse=True,
    )
    speeds = sorted((round(known.speed(x.report), 2) for x in workers), reverse=True)
    expected_releases: list[ExpectedRelease] = []
    waiting_tasks, work = 0, datetime.timedelta()
    reports = {x.report.worker_id: x.report for x in workers}
    for job in jobs:
        if job.submission.queue.service != service:
            continue
        for state in job.tasks.values():
            expected = job.expected_run_time(known, state.step)
            if state.phase is shard_state.Phase.WAITING:
                waiting_tasks += 1
                work += expected
            elif state.worker_id in reports:
                report = reports[state.worker_id]
                left = remaining_run_time(
                    state, known.expected_on_worker(expected, report), now
                )
                after_ms = round(clock.to_milliseconds(left))
                expected_releases.append(
                    ExpectedRelease(after_ms, round(known.speed(report), 2))
                )
    return ServiceLoad(
        service, tuple(free_capacity[:MAX_ROWS]), tuple(speeds[:MAX_ROWS]),
        tuple(sorted(expected_releases)[:MAX_ROWS]), waiting_tasks,
        round(clock.to_milliseconds(work)),
    )  # fmt: skip


def by_data_centre(
    workers: worker_table.WorkerTable,
    jobs: typing.Collection[shard_state.ShardState],
    known: run_time_estimates.RunTimeEstimates,
    now: datetime.datetime,
) -> tuple[tuple[str, tuple[ServiceLoad, ...]], ...]:
    """Return how busy held workers are, by data centre and service."""
    found = []
    for place in sorted(workers.tokens):
        here = workers.held_in(place)
        rows = []
        for service in sorted({x.report.service for x in here}):
            usable = [x for x in here if x.report.service == service and x.accepts(now)]
            rows.append(service_load(service, usable, jobs, known, now))
        found.append((place, tuple(rows)))
    return tuple(found)


def remaining_run_time(
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
