"""The workers that a daemon holds, and what the store says of all workers."""

import collections.abc
import datetime

from carawaysail_holding import broker_messages, held_worker, ledger
from carawaysail_types import jobs, runs


class WorkerTable:
    """Held workers by name, with the tenures that they are held under."""

    def __init__(self) -> None:
        self.tokens: dict[str, int] = {}
        self._reports: dict[str, runs.WorkerReport] = {}
        self._workers: dict[str, held_worker.HeldWorker] = {}
        self._carried: dict[str, dict[runs.Run, ledger.Entry]] = {}
        self._ended_lives: dict[str, str] = {}
        self._unread: dict[str, datetime.datetime] = {}

    # Tenures

    def start_holding(
        self, data_centre: str, token: int, now: datetime.datetime
    ) -> None:
        """Begin to hold the workers of a data centre."""
        self.tokens[data_centre] = token
        self._unread[data_centre] = now

    def stop_holding(self, data_centre: str) -> list[str]:
        """Forget the workers of a data centre; return their names."""
        self.tokens.pop(data_centre, None)
        gone = [x.report.worker_id for x in self.held_in(data_centre)]
        for worker_id in gone:
            del self._workers[worker_id]
        return gone

    # Reports

    def record_reports(
        self,
        reports: collections.abc.Iterable[runs.WorkerReport],
        asked: datetime.datetime,
    ) -> None:
        """Take the reports of all workers, and when they were asked for."""
        self._reports = {report.worker_id: report for report in reports}
        self._unread = {k: v for k, v in self._unread.items() if v > asked}

    def report(self, worker_id: str) -> runs.WorkerReport | None:
        """Return the newest report of a worker, if the store has one."""
        return self._reports.get(worker_id)

    def hold_reported(self, now: datetime.datetime) -> list[held_worker.HeldWorker]:
        """Hold the workers that are reported and not held yet; return them."""
        adopted = []
        for worker_id, report in self._reports.items():
            token = self.tokens.get(report.data_centre)
            if token is None or worker_id in self._workers:
                continue
            if self._ended_lives.get(worker_id) == report.incarnation:
                continue
            worker = held_worker.HeldWorker(report, token, now)
            self._workers[worker_id] = worker
            for run, entry in self._carried.pop(worker_id, {}).items():
                worker.ledger.record_carried_over(run, entry.resources, now)
            adopted.append(worker)
        return adopted

    # Workers

    def get(self, worker_id: str) -> held_worker.HeldWorker | None:
        """Return a held worker."""
        return self._workers.get(worker_id)

    def get_incarnation(
        self, worker_id: str, incarnation: str
    ) -> held_worker.HeldWorker | None:
        """Return a held worker if it is still in a certain life."""
        worker = self._workers.get(worker_id)
        if worker is None or worker.report.incarnation != incarnation:
            return None
        return worker

    def all(self) -> list[held_worker.HeldWorker]:
        """Return all held workers."""
        return list(self._workers.values())

    def held_in(self, data_centre: str) -> list[held_worker.HeldWorker]:
        """Return the held workers of a data centre."""
        return [
            x for x in self._workers.values() if x.report.data_centre == data_centre
        ]

    def counts(self) -> dict[str, int]:
        """Return sizes for the metrics."""
        return {
            "workers": len(self._workers),
            "silent_workers": sum(x.health.is_silent for x in self.all()),
            "runs": sum(len(x.ledger.entries()) for x in self.all()),
        }

    def remove(self, worker_id: str) -> list[runs.Run]:
        """Forget a life of a worker that is over; return what ran there."""
        return list(self._workers.pop(worker_id).ledger.entries())

    def handle_restart(self, worker_id: str) -> tuple[list[runs.Run], int]:
        """Forget a life that another one of the same name has followed.

        Returns
        -------
        list of runs.Run
            What ran there and is over.
        int
            Orders that may have reached the next life; it begins with them.
        """
        worker = self._workers[worker_id]
        unseen = worker.ledger.unreported()
        self._ended_lives[worker_id] = worker.report.incarnation
        lost = [run for run in self.remove(worker_id) if run not in unseen]
        if unseen:
            self._carried[worker_id] = unseen
        return lost, len(unseen)

    # Parts

    def suitable(
        self, submission: broker_messages.Submission
    ) -> list[held_worker.HeldWorker]:
        """Return the held workers that a part is meant for."""
        service = submission.queue.service
        return [
            x
            for x in self.held_in(submission.data_centre)
            if x.report.service == service
        ]

    def usable(
        self, submission: broker_messages.Submission, now: datetime.datetime
    ) -> list[held_worker.HeldWorker]:
        """Return those of them that take new work."""
        return [x for x in self.suitable(submission) if x.accepts(now)]

    def may_miss_runs(self, submission: broker_messages.Submission) -> bool:
        """Tell whether runs of an earlier holder may still be unknown.

        A worker that has not answered this holder may still follow the earlier one.
        Reports older than the tenure may leave out workers that were cut off.
        """
        if submission.data_centre in self._unread:
            return True
        if any(not x.ledger.has_status for x in self.suitable(submission)):
            return True
        return any(x not in self._workers for x in submission.workers)

    def can_ever_fit(self, submission: broker_messages.Submission) -> bool:
        """Tell whether each step fits on some worker of the service."""
        service = submission.queue.service
        known = [x for x in self._reports.values() if x.service == service]
        return all(
            any(_suits(report, step) for report in known)
            for step in submission.job.steps
        )

    def is_on_any_worker(self, task: runs.Task) -> bool:
        """Tell whether a run of a task counts on some held worker."""
        return any(
            run.task == task
            for worker in self._workers.values()
            for run in worker.ledger.entries()
        )


def _suits(report: runs.WorkerReport, step: jobs.Step) -> bool:
    has_label = not step.required_label or step.required_label in report.labels
    return has_label and report.resources.can_fit(step.resources)
