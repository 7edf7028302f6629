"""Workers of the model: fences, leases, run numbers and lists of ends.

Like the real ones they start whatever they are told to start, whether it fits or not.
"""

import collections.abc
import datetime
import typing

from carawaysail_holding import broker_messages
from carawaysail_model import engine, history
from carawaysail_types import clock, jobs, runs

STOP_TAKES = clock.milliseconds(30)

Respond = collections.abc.Callable[[typing.Any], None]


class _Running(typing.NamedTuple):
    room: jobs.Resources
    token: object
    began: datetime.datetime
    takes: datetime.timedelta


class Worker:
    """One worker.

    Parameters
    ----------
    report : runs.WorkerReport
        What it says of itself.
    factor : float
        How many times as long as on an average worker its runs take.
    world : engine.Engine
        Time.
    seen : history.History
        What is checked.
    length_of : callable
        Returns room and true length of a task on an average worker.
    """

    def __init__(
        self,
        report: runs.WorkerReport,
        factor: float,
        world: engine.Engine,
        seen: history.History,
        length_of: collections.abc.Callable[
            [runs.Task], tuple[jobs.Resources, datetime.timedelta]
        ],
    ) -> None:
        self.report = report
        self.factor = factor
        self.fails_all = False
        self.is_reachable = True
        self.stalled_since: datetime.datetime | None = None
        self.draining_since: datetime.datetime | None = None
        self._world = world
        self._history = seen
        self._length_of = length_of
        self._reset()

    def _reset(self) -> None:
        self._began = self._world.now()
        self._fence = 0
        self._running: dict[runs.Run, _Running] = {}
        self._ends: list[runs.FinishedRun] = []
        self._last_end = 0
        self._highest: dict[runs.Task, int] = {}
        self._lease_end = self._world.now()
        self._waiting: list[tuple[object, Respond]] = []

    def restart(self) -> None:
        """End this life and begin another under the same name."""
        for run in list(self._running):
            self._history.ended(
                run, self.report.worker_id, runs.RunResult.LEASE_EXPIRED
            )
        life = str(int(self.report.incarnation) + 1)
        self.report = self.report._replace(incarnation=life)
        self._reset()

    def _clock(self) -> datetime.timedelta:
        return self._world.now() - self._began

    # Orders

    def start(self, order: broker_messages.StartRun) -> runs.OrderResult:
        """Start a run."""
        if order.token < self._fence:
            return runs.OrderResult.FENCED
        self._fence = order.token
        if order.run in self._running:
            return runs.OrderResult.ACCEPTED
        if order.run.number <= self._highest.get(order.run.task, 0):
            return runs.OrderResult.STALE_RUN
        if order.lease_end <= self._clock():
            return runs.OrderResult.EXPIRED
        self._extend(order.lease_end)
        room, length = self._length_of(order.run.task)
        token = object()
        takes = clock.milliseconds(5) if self.fails_all else length * self.factor
        self._running[order.run] = _Running(room, token, self._world.now(), takes)
        self._highest[order.run.task] = order.run.number
        self._check(order.run)
        ending = runs.RunResult.FAILED if self.fails_all else runs.RunResult.DONE
        self._world.after(takes, lambda: self._end_if(order.run, token, ending))
        return runs.OrderResult.ACCEPTED

    def _check(self, run: runs.Run) -> None:
        taken = jobs.NO_RESOURCES
        for found in self._running.values():
            taken = taken.plus(found.room)
        now = self._world.now()
        self._history.started(
            run, self.report.worker_id, taken, self.report.resources, now
        )
        since = self.draining_since
        if since is not None and now - since > DRAIN_BOUND:
            self._history.draining_used(self.report.worker_id, now)

    def stop(self, order: broker_messages.StopRun) -> runs.OrderResult:
        """Stop a run, or make sure that it never begins."""
        if order.token < self._fence:
            return runs.OrderResult.FENCED
        self._fence = order.token
        found = self._running.get(order.run)
        highest = self._highest.get(order.run.task, 0)
        self._highest[order.run.task] = max(highest, order.run.number)
        if found is not None:
            self._world.after(
                STOP_TAKES,
                lambda: self._end_if(order.run, found.token, runs.RunResult.STOPPED),
            )
        return runs.OrderResult.ACCEPTED

    def poll(self, order: broker_messages.PollWorker, respond: Respond) -> None:
        """Renew the lease; respond with a listing, at the latest after the wait."""
        if order.token < self._fence:
            respond(runs.OrderResult.FENCED)
            return
        self._fence = order.token
        self._ends = [x for x in self._ends if x.sequence > order.acknowledged]
        if order.lease_end is not None:
            self._extend(order.lease_end)
        if self._ends or not order.wait:
            respond(self._listing())
            return
        token = object()
        self._waiting.append((token, respond))
        self._world.after(order.wait, lambda: self._respond(token))

    def _respond(self, token: object) -> None:
        for entry in list(self._waiting):
            if entry[0] is token:
                self._waiting.remove(entry)
                entry[1](self._listing())

    def _listing(self) -> runs.WorkerStatus:
        return runs.WorkerStatus(
            self.report.incarnation, self._clock(), tuple(self._running),
            tuple(self._ends), tuple(self._progress(x) for x in self._running.values()),
        )  # fmt: skip

    def _progress(self, found: _Running) -> float:
        """Return the share of a run's work that is done, in whole percent."""
        until = self.stalled_since or self._world.now()
        ran = max(datetime.timedelta(), until - found.began)
        return int(100 * min(0.99, ran / found.takes)) / 100

    # Ends

    def _extend(self, expires: datetime.timedelta) -> None:
        end = min(self._began + expires, self._world.now() + MAX_LEASE)
        self._lease_end = max(self._lease_end, end)
        self._world.at(self._lease_end, self._lapse)

    def _lapse(self) -> None:
        if self._world.now() >= self._lease_end:
            for run, found in list(self._running.items()):
                self._end_if(run, found.token, runs.RunResult.LEASE_EXPIRED)

    def _end_if(self, run: runs.Run, token: object, ending: runs.RunResult) -> None:
        found = self._running.get(run)
        if found is None or found.token is not token:
            return
        if self.stalled_since is not None and ending is runs.RunResult.DONE:
            return
        del self._running[run]
        self._history.ended(run, self.report.worker_id, ending)
        self._last_end += 1
        self._ends.append(runs.FinishedRun(self._last_end, run, ending))
        waiting, self._waiting = self._waiting, []
        for _, respond in waiting:
            respond(self._listing())


MAX_LEASE = clock.milliseconds(1000)
DRAIN_BOUND = clock.milliseconds(2000)
