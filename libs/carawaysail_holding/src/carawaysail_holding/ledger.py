"""The ledger of a worker: the runs that may occupy its resources.

Resources count as occupied from the order that starts a run until the worker itself
reports that the run has finished or can never start. An order without an answer may
be carried out much later, so its resources stay occupied until the worker has answered
an order to stop that same run.

A worker that restarts under its name forgets the stop, and its clock starts anew, so
that the end of the lease in such an order does not bound it either.
"""

import collections
import collections.abc
import datetime
import enum
import typing

from carawaysail_types import clock, jobs, runs

LATE_ORDER_TIME = clock.milliseconds(15_000)
"""Time in which an order without an answer may still be carried out."""


class RunState(enum.Enum):
    """What the ledger knows of a run.

    A run is uncertain if it may or may not be on the worker: an order got no answer, or
    the worker did not accept the stop. It is stopped if the worker has accepted the
    stop but has not reported the finished run yet.
    """

    ORDERED = "ordered"
    UNCERTAIN = "uncertain"
    RUNNING = "running"
    STOPPING = "stopping"
    STOPPED = "stopped"


class Entry(typing.NamedTuple):
    """A run that counts against the worker's resources.

    Parameters
    ----------
    state : RunState
        What is known of the run.
    resources : jobs.Resources or None
        Resources that it occupies; ``None`` for an inherited run whose job is not known
        here.
    since : datetime.datetime
        When it entered this state.
    wanted_until : datetime.datetime or None
        Until when its client is known to have waited, if it is ordered to stop;
        ``None`` otherwise, or if that is not known.
    """

    state: RunState
    resources: jobs.Resources | None
    since: datetime.datetime
    wanted_until: datetime.datetime | None = None


class StatusChanges(typing.NamedTuple):
    """Changes that a worker status has shown.

    Parameters
    ----------
    finished : tuple of runs.FinishedRun
        Finished runs that have not been processed yet.
    vanished : tuple of runs.Run
        Runs that the worker reports neither as running nor as finished.
    inherited : tuple of runs.Run
        Running runs that this holder did not order.
    confirmed : tuple of runs.Run
        Running runs of which it was uncertain whether they are there.
    """

    finished: tuple[runs.FinishedRun, ...]
    vanished: tuple[runs.Run, ...]
    inherited: tuple[runs.Run, ...]
    confirmed: tuple[runs.Run, ...]


class Ledger:
    """Runs on one incarnation of a worker.

    Parameters
    ----------
    report : runs.WorkerReport
        The worker; a new incarnation gets a new ledger.
    token : int
        Fencing token of the holder, sent with all orders.
    all_task_counts : collections.Counter, optional
        Number of runs of each task that count on any worker; kept up to date until
        ``detach`` is called.

    Attributes
    ----------
    has_status : bool
        Whether the worker has answered a poll of this holder.
    acknowledged_sequence : int
        Highest sequence number of its finished runs that have been processed.
    """

    def __init__(
        self,
        report: runs.WorkerReport,
        token: int,
        all_task_counts: "collections.Counter[runs.Task] | None" = None,
    ) -> None:
        self.report = report
        self.token = token
        self.has_status = False
        self.acknowledged_sequence = 0
        self._entries: dict[runs.Run, Entry] = {}
        self._free: jobs.Resources | None = None
        self._reported: set[runs.Run] = set()
        # Starts without an answer that no status has shown, since when.
        self._lost_starts: dict[runs.Run, Entry] = {}
        # Used as a set in order of insertion.
        self._uncertain: dict[runs.Run, None] = {}
        # Number of entries without resources.
        self._unclaimed = 0
        self._all_task_counts = (
            collections.Counter() if all_task_counts is None else all_task_counts
        )

    def detach(self) -> None:
        """Take the runs out of the counts of all workers: this one is not held now."""
        for run in self._entries:
            self._uncount(run.task)
        self._all_task_counts = collections.Counter()

    def entries(self) -> dict[runs.Run, Entry]:
        """Return a copy of the runs that count against the worker's resources."""
        return dict(self._entries)

    def items(self) -> collections.abc.ItemsView[runs.Run, Entry]:
        """Return a view of the runs that count against the worker's resources."""
        return self._entries.items()

    def run_count(self) -> int:
        """Return the number of runs that count against the worker's resources."""
        return len(self._entries)

    def entry(self, run: runs.Run) -> Entry | None:
        """Return the entry of a run; ``None`` if it does not count."""
        return self._entries.get(run)

    def free(self) -> jobs.Resources:
        """Return the resources that are certainly free.

        Nothing is free while the requirements of a run are unknown.
        """
        if self._free is None:
            self._free = self._count_free()
        return self._free

    def _count_free(self) -> jobs.Resources:
        free = self.report.resources
        for entry in self._entries.values():
            if entry.resources is None:
                return jobs.NO_RESOURCES
            free = free.minus(entry.resources)
        return free

    def _uncount(self, task: runs.Task) -> None:
        counts = self._all_task_counts
        counts[task] -= 1
        if not counts[task]:
            del counts[task]

    def _set(self, run: runs.Run, entry: Entry) -> None:
        known = self._entries.get(run)
        if known is None:
            self._all_task_counts[run.task] += 1
        elif known.resources is None:
            self._unclaimed -= 1
        if entry.resources is None:
            self._unclaimed += 1
        self._entries[run] = entry
        if entry.state is RunState.UNCERTAIN:
            self._uncertain[run] = None
        else:
            self._uncertain.pop(run, None)
        self._free = None

    def _remove(self, run: runs.Run) -> None:
        entry = self._entries.pop(run, None)
        if entry is not None:
            self._unclaimed -= entry.resources is None
            self._free = None
            self._reported.discard(run)
            self._uncertain.pop(run, None)
            self._uncount(run.task)

    def has_unclaimed(self) -> bool:
        """Return whether a run counts here that no shard of this holder asked for."""
        return self._unclaimed > 0

    def tasks_of(self, job_id: str, step: int) -> int:
        """Return the number of runs of a job's step that count here."""
        return sum(
            run.task.job_id == job_id and run.task.step == step for run in self._entries
        )

    def record_order(
        self, run: runs.Run, resources: jobs.Resources, now: datetime.datetime
    ) -> None:
        """Reserve resources for a run whose start is ordered now."""
        self._set(run, Entry(RunState.ORDERED, resources, now))

    def record_match(
        self, run: runs.Run, resources: jobs.Resources, now: datetime.datetime
    ) -> None:
        """Record the resources of an inherited run whose job is known now."""
        self._set(run, Entry(RunState.RUNNING, resources, now))

    def handle_start_result(
        self, run: runs.Run, result: runs.OrderResult, now: datetime.datetime
    ) -> None:
        """Record the result of an order that starts a run."""
        entry = self._entries.get(run)
        if entry is None:
            return
        if result is runs.OrderResult.ACCEPTED:
            if entry.state is RunState.ORDERED:
                self._set(run, entry._replace(state=RunState.RUNNING, since=now))
        elif result is runs.OrderResult.NO_ANSWER:
            lost = entry._replace(state=RunState.UNCERTAIN, since=now)
            self._lost_starts = {**self._young_lost_starts(now), run: lost}
            self._set(run, lost)
        else:
            self._remove(run)

    def record_stop_order(
        self,
        run: runs.Run,
        now: datetime.datetime,
        wanted_until: datetime.datetime | None = None,
    ) -> None:
        """Record that a run is ordered to stop.

        Parameters
        ----------
        run : runs.Run
            The run.
        now : datetime.datetime
            Present instant.
        wanted_until : datetime.datetime, optional
            Until when its client is known to have waited; if it is not known now, what
            was recorded before is kept.
        """
        entry = self._entries.get(run)
        if entry is not None:
            wanted_until = wanted_until or entry.wanted_until
            self._set(run, Entry(RunState.STOPPING, entry.resources, now, wanted_until))

    def handle_stop_result(
        self, run: runs.Run, is_accepted: bool, now: datetime.datetime
    ) -> None:
        """Record the result of an order that stops a run.

        If it was not accepted, the run is uncertain and the stop is ordered again.
        """
        entry = self._entries.get(run)
        if entry is None or entry.state is RunState.STOPPED:
            return
        state = RunState.STOPPED if is_accepted else RunState.UNCERTAIN
        self._set(run, entry._replace(state=state, since=now))

    def apply_status(
        self, status: runs.WorkerStatus, requested_at: datetime.datetime
    ) -> StatusChanges:
        """Update the entries from a worker status and return what changed.

        Parameters
        ----------
        status : runs.WorkerStatus
            The worker's answer to a poll.
        requested_at : datetime.datetime
            When the poll was sent. Runs that were certain to be on the worker before
            that must be in the status.
        """
        self.has_status = True
        running = set(status.running)
        finished = tuple(
            finished_run
            for finished_run in status.finished_runs
            if finished_run.sequence > self.acknowledged_sequence
        )
        for finished_run in finished:
            self._remove(finished_run.run)
            self._lost_starts.pop(finished_run.run, None)
        confirmed = []
        for run in running:
            self._lost_starts.pop(run, None)
            entry = self._entries.get(run)
            if entry is None:
                continue
            self._reported.add(run)
            if entry.state is RunState.UNCERTAIN:
                confirmed.append(run)
                self._set(
                    run, entry._replace(state=RunState.RUNNING, since=requested_at)
                )
        vanished = [
            run
            for run, entry in self._entries.items()
            if run not in running
            and entry.since < requested_at
            and _must_be_reported(entry)
        ]
        for run in vanished:
            self._remove(run)
        reported_finished = {finished_run.run for finished_run in status.finished_runs}
        inherited = tuple(
            run
            for run in running
            if run not in self._entries and run not in reported_finished
        )
        for run in inherited:
            self._set(run, Entry(RunState.RUNNING, None, requested_at))
        return StatusChanges(finished, tuple(vanished), inherited, tuple(confirmed))

    def record_processed(self, finished_run: runs.FinishedRun) -> None:
        """Record that a finished run has been processed, so that it is acknowledged."""
        self.acknowledged_sequence = max(
            self.acknowledged_sequence, finished_run.sequence
        )

    def unanswered(self, now: datetime.datetime) -> dict[runs.Run, Entry]:
        """Return the starts without an answer, whether or not they still count.

        Without those that can no longer be carried out.
        """
        ordered = {
            k: v for k, v in self._entries.items() if v.state is RunState.ORDERED
        }
        return {**ordered, **self._young_lost_starts(now)}

    def _young_lost_starts(self, now: datetime.datetime) -> dict[runs.Run, Entry]:
        oldest = now - LATE_ORDER_TIME
        return {k: v for k, v in self._lost_starts.items() if v.since > oldest}

    def unreported(self, now: datetime.datetime) -> dict[runs.Run, Entry]:
        """Return the starts that no status has shown.

        If the worker restarts, they may have reached the next incarnation, also those
        that were accepted.
        """
        counted = {k: v for k, v in self._entries.items() if k not in self._reported}
        return {**counted, **self.unanswered(now)}

    def record_carried_over(
        self, run: runs.Run, entry: Entry, now: datetime.datetime
    ) -> None:
        """Reserve resources for an order that was sent to an earlier incarnation.

        ``entry`` is what the ledger of that incarnation has of it.
        """
        self._lost_starts[run] = entry
        self._set(run, entry._replace(state=RunState.UNCERTAIN, since=now))

    def drop_expired(self) -> tuple[runs.Run, ...]:
        """Remove and return the runs that have ended with the worker's lease.

        An order without an answer stays: it may still be carried out.
        """
        expired = tuple(
            run
            for run, entry in self._entries.items()
            if entry.state not in (RunState.UNCERTAIN, RunState.ORDERED)
        )
        for run in expired:
            self._remove(run)
        return expired

    def running(self) -> tuple[runs.Run, ...]:
        """Return the runs that have started and are not ordered to stop."""
        return tuple(
            run
            for run, entry in self._entries.items()
            if entry.state is RunState.RUNNING
        )

    def uncertain(self) -> tuple[runs.Run, ...]:
        """Return the runs that may or may not be on the worker."""
        return tuple(self._uncertain)


def _must_be_reported(entry: Entry) -> bool:
    return entry.state in (RunState.RUNNING, RunState.STOPPED)
