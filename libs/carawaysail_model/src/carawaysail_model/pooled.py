"""Reference for the daemons: one queue that has perfect knowledge of all workers.

One queue serves all workers. It knows true run times, the workers' speeds and the
jobs' worth, and observes the end of each run at once; orders take no time. Jobs that
have started come first, then those with the greatest worth for their work. A task gets
the slowest worker on which it ends in time, or the fastest if its job has started. A
job that cannot meet its objective is refused. The choice is greedy, so the result is a
reference rather than a strict upper bound.
"""

import collections
import datetime
import heapq
import itertools
import typing

from carawaysail_model import sites
from carawaysail_types import jobs


class PooledWorker(typing.NamedTuple):
    """A worker of the pool.

    Parameters
    ----------
    run_time_factor : float
        Run times on this worker, as a multiple of those on an average worker.
    processor_milli : int
        Processor capacity, in thousandths of a core.
    """

    run_time_factor: float
    processor_milli: int


class _WaitingJob:
    def __init__(self, arrival: sites.Arrival) -> None:
        self.arrival = arrival
        self.target_finish = arrival.at + datetime.timedelta(
            milliseconds=arrival.response_objective_ms
        )
        # Run times of tasks that have not started, longest first.
        self.remaining = collections.deque(sorted(arrival.run_times, reverse=True))
        self.running = 0
        self.is_started = False

        work_ms = sum(arrival.run_times, datetime.timedelta()).total_seconds() * 1000.0
        self.worth_per_ms = arrival.worth / max(1.0, work_ms)


class Pool:
    """One queue for all workers.

    Parameters
    ----------
    workers : list of PooledWorker
        The workers.
    client_timeout : datetime.timedelta
        How long clients wait for an answer.

    Attributes
    ----------
    served : list of sites.Served
        Jobs that have an outcome.
    """

    def __init__(
        self, workers: list[PooledWorker], client_timeout: datetime.timedelta
    ) -> None:
        self._workers = workers
        self._free_milli = [x.processor_milli for x in workers]
        self._client_timeout = client_timeout
        self._waiting: list[_WaitingJob] = []
        self._run_ends: list[tuple[datetime.datetime, int, int, _WaitingJob]] = []
        self._sequence = itertools.count()
        self.served: list[sites.Served] = []

    def serve(self, arrivals: typing.Iterable[sites.Arrival]) -> list[sites.Served]:
        """Serve jobs that are in the order of arrival; return how each was served."""
        for arrival in arrivals:
            self._run_until(arrival.at)
            self._waiting.append(_WaitingJob(arrival))
            self._start_jobs(arrival.at)
        while self._run_ends:
            self._run_until(self._run_ends[0][0])
        for job in self._waiting:
            self._record(job, jobs.Verdict.REFUSED, job.target_finish)
        return self.served

    def _run_until(self, now: datetime.datetime) -> None:
        while self._run_ends and self._run_ends[0][0] <= now:
            at, _, worker, job = heapq.heappop(self._run_ends)
            self._free_milli[worker] += job.arrival.resources.processor_milli
            job.running -= 1
            if not job.remaining and not job.running:
                self._finish(job, at)
            self._start_jobs(at)

    def _finish(self, job: _WaitingJob, at: datetime.datetime) -> None:
        is_received = at - job.arrival.at <= self._client_timeout
        verdict = jobs.Verdict.COMPLETED if is_received else jobs.Verdict.UNKNOWN
        self._record(job, verdict, at)

    def _start_jobs(self, now: datetime.datetime) -> None:
        for job in sorted(
            self._waiting, key=lambda x: (not x.is_started, -x.worth_per_ms)
        ):
            if not job.is_started and not self._can_meet_objective(job, now):
                self._waiting.remove(job)
                self._record(job, jobs.Verdict.REFUSED, now)
                continue
            self._start_tasks(job, now)
            if not job.remaining:
                self._waiting.remove(job)

    def _can_meet_objective(self, job: _WaitingJob, now: datetime.datetime) -> bool:
        """Return whether the longest task would end in time on the fastest worker."""
        fastest = min(x.run_time_factor for x in self._workers)
        end = now + job.remaining[0] * fastest
        return end <= job.target_finish and end <= job.arrival.at + self._client_timeout

    def _start_tasks(self, job: _WaitingJob, now: datetime.datetime) -> None:
        milli = job.arrival.resources.processor_milli
        limit = min(job.target_finish, job.arrival.at + self._client_timeout)
        while job.remaining:
            run_time = job.remaining[0]
            suitable = [
                (worker.run_time_factor, -self._free_milli[number], number)
                for number, worker in enumerate(self._workers)
                if self._free_milli[number] >= milli
                and (job.is_started or now + run_time * worker.run_time_factor <= limit)
            ]
            if not suitable:
                return
            factor, _, number = min(suitable) if job.is_started else max(suitable)
            job.remaining.popleft()
            job.is_started = True
            job.running += 1
            self._free_milli[number] -= milli
            heapq.heappush(
                self._run_ends,
                (now + run_time * factor, next(self._sequence), number, job),
            )

    def _record(
        self, job: _WaitingJob, verdict: jobs.Verdict, at: datetime.datetime
    ) -> None:
        response_ms = (at - job.arrival.at) / datetime.timedelta(milliseconds=1)
        self.served.append(
            sites.served(job.arrival, jobs.JobOutcome(verdict), response_ms)
        )


def serve(simulation: sites.Simulation) -> list[sites.Served]:
    """Return how a pool of a simulation's workers would have served its jobs."""
    workers = [
        PooledWorker(x.run_time_factor, x.report.resources.processor_milli)
        for x in simulation.all_workers().values()
    ]
    client_timeout = datetime.timedelta(milliseconds=simulation.site.patience_ms)
    return Pool(workers, client_timeout).serve(simulation.arrivals)
