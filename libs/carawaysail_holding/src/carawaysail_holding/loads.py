"""Load of the workers of a data centre, as brokers report it to gateways."""

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
"""Most rows of each list in a report; so it is below 2 KB for any number of workers."""

MIN_REMAINING_SHARE = 0.2
"""Least remaining run time of a run, as a share of its expected run time."""


class FreeCapacity(typing.NamedTuple):
    """Free processors of one worker.

    Parameters
    ----------
    free_milli : int
        Thousandths of a core that are free.
    speed : float
        Speed of the worker; 1 is that of an average worker.
    """

    free_milli: int
    speed: float


class ExpectedRelease(typing.NamedTuple):
    """A run whose slot is expected to become free.

    Parameters
    ----------
    after_ms : float
        Expected remaining run time, in milliseconds.
    speed : float
        Speed of its worker; 1 is that of an average worker.
    """

    after_ms: float
    speed: float


class ServiceLoad(typing.NamedTuple):
    """Load of a broker's workers, for one service.

    Parameters
    ----------
    service : str
        Name of the service.
    free_capacity : tuple of FreeCapacity
        Workers that accept runs and have free processors, most first.
    speeds : tuple of float
        Speeds of all workers that accept runs, highest first.
    expected_releases : tuple of ExpectedRelease
        Runs on those workers, soonest expected release first.
    waiting_tasks : int
        Number of tasks that wait for a worker.
    waiting_work_ms : float
        Sum of the expected run times of these tasks on an average worker, in
        milliseconds.
    unlisted_releases : int
        Number of further runs, which are expected to end later than those in
        ``expected_releases``.
    """

    service: str
    free_capacity: tuple[FreeCapacity, ...]
    speeds: tuple[float, ...]
    expected_releases: tuple[ExpectedRelease, ...]
    waiting_tasks: int
    waiting_work_ms: float
    unlisted_releases: int = 0

    def run_count(self) -> int:
        """Return the number of runs, listed or not."""
        return len(self.expected_releases) + self.unlisted_releases

    def release(self, position: int) -> ExpectedRelease:
        """Return the expected release of a run by its position among all runs.

        Those that are not listed are taken to follow at the pace of the listed ones.
        """
        listed = self.expected_releases
        if position < len(listed):
            return listed[position]
        pace_ms = listed[-1].after_ms / len(listed)
        speed = listed[position % len(listed)].speed
        return ExpectedRelease(pace_ms * (position + 1), speed)


def service_load(
    service: str,
    workers: list[held_worker.HeldWorker],
    shards: typing.Collection[shard_state.ShardState],
    estimates: run_time_estimates.RunTimeEstimates,
    now: datetime.datetime,
) -> ServiceLoad:
    """Return the load of some workers of a service.

    Parameters
    ----------
    service : str
        Name of the service.
    workers : list of held_worker.HeldWorker
        Those of its workers that accept runs.
    shards : collection of shard_state.ShardState
        All shards of the broker.
    estimates : run_time_estimates.RunTimeEstimates
        Run-time estimates of the queues.
    now : datetime.datetime
        Present instant.
    """
    free_capacity = sorted(
        (
            FreeCapacity(
                x.ledger.free().processor_milli, round(estimates.speed(x.report), 2)
            )
            for x in workers
            if x.ledger.free().processor_milli > 0
        ),
        reverse=True,
    )
    speeds = sorted(
        (round(estimates.speed(x.report), 2) for x in workers), reverse=True
    )
    expected_releases: list[ExpectedRelease] = []
    waiting_tasks, waiting_work_ms = 0, 0.0
    reports = {x.report.worker_id: x.report for x in workers}
    for shard in shards:
        if shard.submission.queue.service != service:
            continue
        for state in shard.tasks.values():
            if state.phase is shard_state.Phase.WAITING:
                waiting_tasks += 1
                waiting_work_ms += shard.run_time(estimates, state).expected_ms
            elif state.worker_id in reports:
                speed = estimates.speed(reports[state.worker_id])
                expected_ms = shard.run_time(estimates, state).expected_ms / speed
                after_ms = round(remaining_run_time_ms(state, expected_ms, now))
                expected_releases.append(ExpectedRelease(after_ms, round(speed, 2)))
    return ServiceLoad(
        service, tuple(free_capacity[:MAX_ROWS]), tuple(speeds[:MAX_ROWS]),
        tuple(sorted(expected_releases)[:MAX_ROWS]), waiting_tasks,
        round(waiting_work_ms), max(0, len(expected_releases) - MAX_ROWS),
    )  # fmt: skip


def by_data_centre(
    workers: worker_table.WorkerTable,
    shards: typing.Collection[shard_state.ShardState],
    estimates: run_time_estimates.RunTimeEstimates,
    now: datetime.datetime,
) -> tuple[tuple[str, tuple[ServiceLoad, ...]], ...]:
    """Return the load of the held workers, by data centre and service."""
    result = []
    for data_centre in sorted(workers.tokens):
        held = workers.held_in(data_centre)
        service_loads = []
        for service in sorted({x.report.service for x in held}):
            usable = [x for x in held if x.report.service == service and x.accepts(now)]
            service_loads.append(service_load(service, usable, shards, estimates, now))
        result.append((data_centre, tuple(service_loads)))
    return tuple(result)


def remaining_run_time_ms(
    state: shard_state.TaskState, run_time_ms: float, now: datetime.datetime
) -> float:
    """Return the expected remaining run time of a task's present run, in ms.

    A run that has exceeded its expected run time is expected to need the time by which
    it has exceeded it once more. The result is at least ``MIN_REMAINING_SHARE`` of the
    expected run time.

    Parameters
    ----------
    state : shard_state.TaskState
        The task.
    run_time_ms : float
        Expected run time on its worker, in milliseconds.
    now : datetime.datetime
        Present instant.
    """
    elapsed_ms = 0.0
    if state.started_at is not None:
        elapsed_ms = clock.to_milliseconds(now - state.started_at)
    return max(abs(run_time_ms - elapsed_ms), run_time_ms * MIN_REMAINING_SHARE)
