"""The pooled queue that knows all: what daemons are measured against.

One queue serves all workers, knows true lengths, speeds and worth, and learns of every
end at once; orders take no time. Begun jobs go first, then those of the greatest worth
for their work, and each task gets the slowest worker that is in time. A job that
cannot keep its objective is refused. It decides greedily, so that it is a reference
rather than a strict bound.
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
    factor : float
        Run times there, as a multiple of an average worker's.
    room_milli : int
        Thousandths of a core that it has.
    """

    factor: float
    room_milli: int


class _Waiting:
    def __init__(self, arrival: sites.Arrival) -> None:
        self.arrival = arrival
        self.due = arrival.at + datetime.timedelta(milliseconds=arrival.aim_ms)
        self.left = collections.deque(sorted(arrival.lengths, reverse=True))
        self.running = 0
        self.is_begun = False

        work_ms = sum(arrival.lengths, datetime.timedelta()).total_seconds() * 1000.0
        self.density = arrival.worth / max(1.0, work_ms)


class Pool:
    """One queue in front of all workers.

    Parameters
    ----------
    workers : list of PooledWorker
        The workers.
    patience : datetime.timedelta
        How long clients wait.
    """

    def __init__(
        self, workers: list[PooledWorker], patience: datetime.timedelta
    ) -> None:
        self._workers = workers
        self._free = [x.room_milli for x in workers]
        self._patience = patience
        self._waiting: list[_Waiting] = []
        self._ends: list[tuple[datetime.datetime, int, int, _Waiting]] = []
        self._count = itertools.count()
        self.served: list[sites.Served] = []

    def serve(self, arrivals: typing.Iterable[sites.Arrival]) -> list[sites.Served]:
        """Serve jobs in the order of their arrival; return how each was served."""
        for arrival in arrivals:
            self._run_until(arrival.at)
            self._waiting.append(_Waiting(arrival))
            self._place(arrival.at)
        while self._ends:
            self._run_until(self._ends[0][0])
        for job in self._waiting:
            self._record(job, jobs.Verdict.REFUSED, job.due)
        return self.served

    def _run_until(self, now: datetime.datetime) -> None:
        while self._ends and self._ends[0][0] <= now:
            at, _, worker, job = heapq.heappop(self._ends)
            self._free[worker] += job.arrival.room.processor_milli
            job.running -= 1
            if not job.left and not job.running:
                self._finished(job, at)
            self._place(at)

    def _finished(self, job: _Waiting, at: datetime.datetime) -> None:
        is_in_time = at - job.arrival.at <= self._patience
        verdict = jobs.Verdict.COMPLETED if is_in_time else jobs.Verdict.UNKNOWN
        self._record(job, verdict, at)

    def _place(self, now: datetime.datetime) -> None:
        for job in sorted(self._waiting, key=lambda x: (not x.is_begun, -x.density)):
            if not job.is_begun and not self._can_keep(job, now):
                self._waiting.remove(job)
                self._record(job, jobs.Verdict.REFUSED, now)
                continue
            self._start_tasks(job, now)
            if not job.left:
                self._waiting.remove(job)

    def _can_keep(self, job: _Waiting, now: datetime.datetime) -> bool:
        fastest = min(x.factor for x in self._workers)
        end = now + job.left[0] * fastest
        return end <= job.due and end <= job.arrival.at + self._patience

    def _start_tasks(self, job: _Waiting, now: datetime.datetime) -> None:
        milli = job.arrival.room.processor_milli
        limit = min(job.due, job.arrival.at + self._patience)
        while job.left:
            length = job.left[0]
            fitting = [
                (worker.factor, -self._free[number], number)
                for number, worker in enumerate(self._workers)
                if self._free[number] >= milli
                and (job.is_begun or now + length * worker.factor <= limit)
            ]
            if not fitting:
                return
            factor, _, number = min(fitting) if job.is_begun else max(fitting)
            job.left.popleft()
            job.is_begun = True
            job.running += 1
            self._free[number] -= milli
            heapq.heappush(
                self._ends, (now + length * factor, next(self._count), number, job)
            )

    def _record(
        self, job: _Waiting, verdict: jobs.Verdict, at: datetime.datetime
    ) -> None:
        arrival = job.arrival
        took_ms = (at - arrival.at) / datetime.timedelta(milliseconds=1)
        self.served.append(
            sites.Served(
                arrival.kind, jobs.JobOutcome(verdict), took_ms, arrival.aim_ms,
                arrival.worth,
            )
        )  # fmt: skip


def serve(world: sites.World) -> list[sites.Served]:
    """Return how a pool of the world's workers would have served its jobs."""
    workers = [
        PooledWorker(x.factor, x.report.resources.processor_milli)
        for x in world.all_workers().values()
    ]
    patience = datetime.timedelta(milliseconds=world.site.patience_ms)
    return Pool(workers, patience).serve(world.arrivals)
