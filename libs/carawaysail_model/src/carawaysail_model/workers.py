"""Simulated workers: fencing, leases, run numbers and worker statuses.

Like real workers, they start every run that they are ordered to start, whether or not
it fits.
"""

import collections.abc
import datetime
import typing

from carawaysail_holding import broker_messages
from carawaysail_model import engine, history
from carawaysail_types import clock, jobs, runs

STOP_DELAY = clock.milliseconds(50)
"""Time from a stop order to the end of the run: the longest that is allowed."""

Respond = collections.abc.Callable[[typing.Any], None]


class _Running(typing.NamedTuple):
    resources: jobs.Resources
    # Identity of this execution: a timer of an earlier one must not end it.
    marker: object
    started_at: datetime.datetime
    run_time: datetime.timedelta


class Worker:
    """One simulated worker.

    Parameters
    ----------
    report : runs.WorkerReport
        The worker's report in the store.
    run_time_factor : float
        Run times on this worker, as a multiple of those on an average worker.
    event_engine : engine.Engine
        Clock and timers.
    run_history : history.History
        Receives starts and ends of runs.
    task_demand : callable
        Returns the resources of a task and its true run time on an average worker.

    Attributes
    ----------
    fails_all : bool
        Whether every run fails shortly after its start.
    is_reachable : bool
        Whether orders reach the worker.
    stalled_since : datetime.datetime or None
        Since when runs make no progress; ``None`` if they do.
    draining_since : datetime.datetime or None
        When the worker began to drain; ``None`` if it does not drain.
    clock_rate : float
        Rate of the worker's own clock, which measures its lease; may be 2% slow.
    """

    def __init__(
        self,
        report: runs.WorkerReport,
        run_time_factor: float,
        event_engine: engine.Engine,
        run_history: history.History,
        task_demand: collections.abc.Callable[
            [runs.Task], tuple[jobs.Resources, datetime.timedelta]
        ],
    ) -> None:
        self.report = report
        self.run_time_factor = run_time_factor
        self.fails_all = False
        self.is_reachable = True
        self.stalled_since: datetime.datetime | None = None
        self.draining_since: datetime.datetime | None = None
        self.clock_rate = 1.0
        self._engine = event_engine
        self._history = run_history
        self._task_demand = task_demand
        self._reset()

    def _reset(self) -> None:
        self._started_at = self._engine.now()
        self._highest_token = 0
        self._running: dict[runs.Run, _Running] = {}
        self._finished_runs: list[runs.FinishedRun] = []
        self._last_sequence = 0
        self._highest_numbers: dict[runs.Task, int] = {}
        self._lease_end = self._engine.now()
        self._waiting_polls: list[tuple[object, Respond]] = []

    def restart(self) -> None:
        """End this incarnation with all its runs and begin the next one."""
        for run in list(self._running):
            self._history.record_end(
                run, self.report.worker_id, runs.RunResult.LEASE_EXPIRED
            )
        incarnation = str(int(self.report.incarnation) + 1)
        self.report = self.report._replace(incarnation=incarnation)
        self._reset()

    def _clock(self) -> datetime.timedelta:
        """Return the worker's own clock: the time since its incarnation began."""
        return (self._engine.now() - self._started_at) * self.clock_rate

    # Orders

    def start(self, order: broker_messages.StartRun) -> runs.OrderResult:
        """Start a run unless its token, its number or its lease is outdated.

        A repeated order for a run that is running is accepted. Every order that is not
        fenced extends the lease, also if its run is outdated.
        """
        if order.token < self._highest_token:
            return runs.OrderResult.FENCED
        self._highest_token = order.token
        self._extend_lease(order.lease_end)
        if order.run in self._running:
            return runs.OrderResult.ACCEPTED
        if order.run.number <= self._highest_numbers.get(order.run.task, 0):
            return runs.OrderResult.STALE_RUN
        if order.lease_end <= self._clock():
            return runs.OrderResult.EXPIRED
        resources, base_time = self._task_demand(order.run.task)
        marker = object()
        run_time = (
            clock.milliseconds(5)
            if self.fails_all
            else base_time * self.run_time_factor
        )
        self._running[order.run] = _Running(
            resources, marker, self._engine.now(), run_time
        )
        self._highest_numbers[order.run.task] = order.run.number
        self._record_start(order.run, order.token)
        result = runs.RunResult.FAILED if self.fails_all else runs.RunResult.DONE
        self._engine.after(run_time, lambda: self._end_run(order.run, marker, result))
        return runs.OrderResult.ACCEPTED

    def _record_entry(self, run: runs.Run, name: str, **fields: typing.Any) -> None:
        lease_ms = clock.to_milliseconds(self._lease_end - self._engine.now())
        fields |= {"run": run.number, "task": run.task.number}
        fields["lease_ms"] = round(lease_ms)
        entry = history.Entry(self._engine.now(), self.report.worker_id, name, fields)
        self._history.record_entry(run.task.job_id, entry)

    def _record_start(self, run: runs.Run, token: int) -> None:
        self._record_entry(run, "started", token=token)
        used = jobs.NO_RESOURCES
        for running in self._running.values():
            used = used.plus(running.resources)
        now = self._engine.now()
        self._history.record_start(
            run, self.report.worker_id, used, self.report.resources, now
        )
        since = self.draining_since
        if since is not None and now - since > MAX_DRAIN_NOTICE_DELAY:
            self._history.record_start_on_draining(self.report.worker_id, now)

    def stop(self, order: broker_messages.StopRun) -> runs.OrderResult:
        """Stop a run, or make sure that it never starts."""
        if order.token < self._highest_token:
            return runs.OrderResult.FENCED
        self._highest_token = order.token
        running = self._running.get(order.run)
        highest = self._highest_numbers.get(order.run.task, 0)
        self._highest_numbers[order.run.task] = max(highest, order.run.number)
        if running is not None:
            self._engine.after(
                STOP_DELAY,
                lambda: self._end_run(
                    order.run, running.marker, runs.RunResult.STOPPED
                ),
            )
        return runs.OrderResult.ACCEPTED

    def poll(self, order: broker_messages.PollWorker, respond: Respond) -> None:
        """Renew the lease and respond with the worker's status.

        The response is sent when there is a finished run that was not acknowledged, at
        the latest after ``order.wait``.

        Parameters
        ----------
        order : broker_messages.PollWorker
            The poll.
        respond : callable
            Receives the status, or an order result if the poll is fenced.
        """
        if order.token < self._highest_token:
            respond(runs.OrderResult.FENCED)
            return
        self._highest_token = order.token
        for finished in list(self._finished_runs):
            if finished.sequence <= order.acknowledged_sequence:
                self._finished_runs.remove(finished)
                if finished.result is runs.RunResult.DONE:
                    self._history.record_acknowledgement(finished.run)
        if order.lease_end is not None:
            self._extend_lease(order.lease_end)
        if self._finished_runs or not order.wait:
            respond(self._status())
            return
        marker = object()
        self._waiting_polls.append((marker, respond))
        self._engine.after(order.wait, lambda: self._respond(marker))

    def _respond(self, marker: object) -> None:
        for entry in list(self._waiting_polls):
            if entry[0] is marker:
                self._waiting_polls.remove(entry)
                entry[1](self._status())

    def _status(self) -> runs.WorkerStatus:
        return runs.WorkerStatus(
            self.report.incarnation, self._clock(), tuple(self._running),
            tuple(self._finished_runs),
            tuple(self._progress(x) for x in self._running.values()),
        )  # fmt: skip

    def _progress(self, running: _Running) -> float:
        """Return the share of a run's work that is done, rounded down, at most 0.99."""
        until = self.stalled_since or self._engine.now()
        elapsed = max(datetime.timedelta(), until - running.started_at)
        return int(100 * min(0.99, elapsed / running.run_time)) / 100

    # Ends of runs

    def _extend_lease(self, expires: datetime.timedelta) -> None:
        """Extend the lease to a time of the worker's own clock; never shorten it."""
        end = min(
            self._started_at + expires / self.clock_rate,
            self._engine.now() + MAX_LEASE / self.clock_rate,
        )
        self._lease_end = max(self._lease_end, end)
        self._engine.at(self._lease_end, self._expire_runs)

    def _expire_runs(self) -> None:
        if self._engine.now() >= self._lease_end:
            for run, running in list(self._running.items()):
                self._end_run(run, running.marker, runs.RunResult.LEASE_EXPIRED)

    def _end_run(self, run: runs.Run, marker: object, result: runs.RunResult) -> None:
        """End a run and respond to waiting polls.

        A run that has ended before is left alone, and a stalled one never completes.
        """
        running = self._running.get(run)
        if running is None or running.marker is not marker:
            return
        if self.stalled_since is not None and result is runs.RunResult.DONE:
            return
        del self._running[run]
        self._history.record_end(run, self.report.worker_id, result)
        self._record_entry(run, "ended", how=result.value)
        self._last_sequence += 1
        self._finished_runs.append(runs.FinishedRun(self._last_sequence, run, result))
        waiting, self._waiting_polls = self._waiting_polls, []
        for _, respond in waiting:
            respond(self._status())


MAX_LEASE = clock.milliseconds(1000)
"""A worker limits its lease to this time, by its own clock, from each extension."""

MAX_DRAIN_NOTICE_DELAY = clock.milliseconds(2000)
"""Brokers must know by then that a worker drains; later starts are violations."""
