"""The ledger of one worker: what runs there, as far as its holder can prove.

Room counts as taken from the order that starts a run until the worker itself shows
that the run has ended or can never begin. An order without an answer may be carried
out much later, so its room stays taken until a stop of that very run was answered.
"""

import datetime
import enum
import typing

from carawaysail_types import jobs, runs


class RunState(enum.Enum):
    """What is known of a run on a worker."""

    ORDERED = "ordered"
    UNCERTAIN = "uncertain"
    RUNNING = "running"
    STOPPING = "stopping"
    STOPPED = "stopped"


class Entry(typing.NamedTuple):
    """A run that counts against the worker's room.

    Parameters
    ----------
    state : RunState
        What is known.
    room : jobs.Resources or None
        What it takes; ``None`` for a run whose job is not known here.
    since : datetime.datetime
        When it entered this state.
    """

    state: RunState
    resources: jobs.Resources | None
    since: datetime.datetime


class StatusChanges(typing.NamedTuple):
    """What a listing has shown.

    Parameters
    ----------
    ends : tuple of runs.FinishedRun
        Ends that were not taken note of before.
    vanished : tuple of runs.Run
        Runs that have neither an end nor are there any more.
    foreign : tuple of runs.Run
        Runs that this holder did not order.
    """

    finished: tuple[runs.FinishedRun, ...]
    vanished: tuple[runs.Run, ...]
    inherited: tuple[runs.Run, ...]


class Ledger:
    """Runs on one life of a worker.

    Parameters
    ----------
    report : runs.WorkerReport
        The worker; its life never changes in one ledger.
    token : int
        Fencing token of all orders.
    """

    def __init__(self, report: runs.WorkerReport, token: int) -> None:
        self.report = report
        self.token = token
        self.has_status = False
        self.acknowledged = 0
        self._entries: dict[runs.Run, Entry] = {}
        self._free: jobs.Resources | None = None
        self._seen: set[runs.Run] = set()

    def entries(self) -> dict[runs.Run, Entry]:
        """Return the runs that count against the worker's room."""
        return dict(self._entries)

    def entry(self, run: runs.Run) -> Entry | None:
        """Return what is known of a run, if it counts."""
        return self._entries.get(run)

    def free(self) -> jobs.Resources:
        """Return the room that is certainly free."""
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

    def _set(self, run: runs.Run, entry: Entry) -> None:
        self._entries[run] = entry
        self._free = None

    def _remove(self, run: runs.Run) -> None:
        if self._entries.pop(run, None) is not None:
            self._free = None
            self._seen.discard(run)

    def tasks_of(self, job_id: str, step: int) -> int:
        """Return how many runs of a job's step count here."""
        return sum(
            run.task.job_id == job_id and run.task.step == step for run in self._entries
        )

    def record_order(
        self, run: runs.Run, resources: jobs.Resources, now: datetime.datetime
    ) -> None:
        """Take room for a run that is ordered now."""
        self._set(run, Entry(RunState.ORDERED, resources, now))

    def record_match(
        self, run: runs.Run, resources: jobs.Resources, now: datetime.datetime
    ) -> None:
        """Take over a run that another holder ordered."""
        self._set(run, Entry(RunState.RUNNING, resources, now))

    def handle_start_answer(
        self, run: runs.Run, answer: runs.OrderResult, now: datetime.datetime
    ) -> None:
        """Take note of the answer to the order of a run."""
        entry = self._entries.get(run)
        if entry is None:
            return
        if answer is runs.OrderResult.ACCEPTED:
            if entry.state is RunState.ORDERED:
                self._set(run, Entry(RunState.RUNNING, entry.resources, now))
        elif answer is runs.OrderResult.NO_ANSWER:
            self._set(run, Entry(RunState.UNCERTAIN, entry.resources, now))
        else:
            self._remove(run)

    def record_stop_order(self, run: runs.Run, now: datetime.datetime) -> None:
        """Take note that a run is told to stop."""
        entry = self._entries.get(run)
        if entry is not None:
            self._set(run, Entry(RunState.STOPPING, entry.resources, now))

    def handle_stop_answer(
        self, run: runs.Run, is_taken: bool, now: datetime.datetime
    ) -> None:
        """Take note of the answer to a stop; one that was lost is tried again."""
        entry = self._entries.get(run)
        if entry is None or entry.state is RunState.STOPPED:
            return
        state = RunState.STOPPED if is_taken else RunState.UNCERTAIN
        self._set(run, Entry(state, entry.resources, now))

    def apply_status(
        self, listing: runs.WorkerStatus, asked: datetime.datetime
    ) -> StatusChanges:
        """Compare with what the worker lists.

        Parameters
        ----------
        listing : runs.WorkerStatus
            The listing.
        asked : datetime.datetime
            When it was asked for. What was certain before must show in it.
        """
        self.has_status = True
        running = set(listing.running)
        finished = tuple(
            end for end in listing.finished_runs if end.sequence > self.acknowledged
        )
        for end in finished:
            self._remove(end.run)
            self.acknowledged = max(self.acknowledged, end.sequence)
        for run in running:
            entry = self._entries.get(run)
            if entry is None:
                continue
            self._seen.add(run)
            if entry.state is RunState.UNCERTAIN:
                self._set(run, Entry(RunState.RUNNING, entry.resources, asked))
        vanished = [
            run
            for run, entry in self._entries.items()
            if run not in running and entry.since < asked and _must_show(entry)
        ]
        for run in vanished:
            self._remove(run)
        ended = {end.run for end in listing.finished_runs}
        inherited = tuple(
            run for run in running if run not in self._entries and run not in ended
        )
        for run in inherited:
            self._set(run, Entry(RunState.RUNNING, None, asked))
        return StatusChanges(finished, tuple(vanished), inherited)

    def unreported(self) -> dict[runs.Run, Entry]:
        """Return the runs that no listing has shown.

        After a restart of the worker their orders may have reached its next life.
        """
        return {k: v for k, v in self._entries.items() if k not in self._seen}

    def record_carried_over(
        self, run: runs.Run, resources: jobs.Resources | None, now: datetime.datetime
    ) -> None:
        """Take room for an order that an earlier life of the worker was given."""
        self._set(run, Entry(RunState.UNCERTAIN, resources, now))

    def drop_expired(self) -> tuple[runs.Run, ...]:
        """Drop what has lost its lease; return it.

        An order without an answer stays: it may still be carried out.
        """
        lapsed = tuple(
            run
            for run, entry in self._entries.items()
            if entry.state not in (RunState.UNCERTAIN, RunState.ORDERED)
        )
        for run in lapsed:
            self._remove(run)
        return lapsed

    def running(self) -> tuple[runs.Run, ...]:
        """Return runs that have begun and are not told to stop."""
        return tuple(
            run
            for run, entry in self._entries.items()
            if entry.state is RunState.RUNNING
        )

    def uncertain(self) -> tuple[runs.Run, ...]:
        """Return runs whose last order was not answered."""
        return tuple(
            run
            for run, entry in self._entries.items()
            if entry.state is RunState.UNCERTAIN
        )


def _must_show(entry: Entry) -> bool:
    return entry.state in (RunState.RUNNING, RunState.STOPPED)
