"""The workers that a daemon holds, and the newest reports of all workers."""

import collections
import collections.abc
import datetime

from carawaysail_holding import (
    broker_messages,
    former_workers,
    held_worker,
    late_orders,
    ledger,
)
from carawaysail_types import jobs, runs


class WorkerTable:
    """Held workers by name, and the fencing tokens of their data centres."""

    def __init__(self) -> None:
        self.tokens: dict[str, int] = {}
        # Highest token ever held, by data centre.
        self._newest_tokens: dict[str, int] = {}
        self._reports: dict[str, runs.WorkerReport] = {}
        # When the newest reports were requested.
        self._read_at = held_worker.NEVER
        self._workers: dict[str, held_worker.HeldWorker] = {}
        # Number of runs of each task that count on any held worker.
        self._task_counts: collections.Counter[runs.Task] = collections.Counter()
        self._late_orders = late_orders.LateOrders()
        # By worker; the store may still report an incarnation that has ended.
        self._ended_incarnations: dict[str, str] = {}
        # Removed workers whose present incarnation has not answered this holder.
        self._unanswered: dict[str, runs.WorkerReport] = {}
        # By data centre: when this daemon became its holder; absent once the reports
        # have been read after that.
        self._awaiting_reports: dict[str, datetime.datetime] = {}
        self._held_since: dict[str, datetime.datetime] = {}
        self.former = former_workers.FormerWorkers()

    # Held data centres

    def start_holding(
        self, data_centre: str, token: int, now: datetime.datetime, former_token: int
    ) -> None:
        """Record the token of a data centre that this daemon holds from now on."""
        self.former.start_holding(data_centre, token, former_token)
        if now - self._read_at > held_worker.MISSING_TIMEOUT:
            self._drop_reports(data_centre, self.former.expected(data_centre))
        self.tokens[data_centre] = token
        self._newest_tokens[data_centre] = token
        self._awaiting_reports[data_centre] = self._held_since[data_centre] = now

    def is_held(self, data_centre: str, token: int) -> bool:
        """Return whether a data centre is held under a token."""
        return self.tokens.get(data_centre) == token

    def is_future(self, data_centre: str, token: int) -> bool:
        """Return whether a token is higher than any that was held here."""
        return token > self._newest_tokens.get(data_centre, 0)

    def stop_holding(self, data_centre: str) -> list[str]:
        """Remove the workers of a data centre and return their names."""
        self.tokens.pop(data_centre, None)
        self.former.stop_holding(data_centre)
        self._awaiting_reports.pop(data_centre, None)
        worker_ids = [x.report.worker_id for x in self.held_in(data_centre)]
        for worker_id in worker_ids:
            self._workers.pop(worker_id).ledger.detach()
        self._unanswered = {
            k: v for k, v in self._unanswered.items() if v.data_centre != data_centre
        }
        return worker_ids

    # Worker reports

    def record_reports(
        self,
        reports: collections.abc.Iterable[runs.WorkerReport],
        requested_at: datetime.datetime,
    ) -> list[str]:
        """Replace the reports of all workers; return what they complete.

        Parameters
        ----------
        reports : iterable of runs.WorkerReport
            Reports of all workers of the site.
        requested_at : datetime.datetime
            When the read was sent to the store, whose answer has all that it had then.
            Data centres that are held since a later time still await their reports.

        Returns
        -------
        list of str
            Held data centres that awaited their reports and have them now.
        """
        self._reports = {report.worker_id: report for report in reports}
        self._read_at = requested_at
        self._late_orders.prune(requested_at)
        complete = [k for k, v in self._awaiting_reports.items() if v <= requested_at]
        for data_centre in complete:
            del self._awaiting_reports[data_centre]
        return complete

    def _drop_reports(self, data_centre: str, kept: frozenset[str]) -> None:
        """Drop the reports of a data centre, whose workers may have left since."""
        self._reports = {
            worker_id: report
            for worker_id, report in self._reports.items()
            if report.data_centre != data_centre or worker_id in kept
        }

    def count_reported(self, data_centre: str) -> int:
        """Return the number of workers of a data centre in the newest reports."""
        return sum(x.data_centre == data_centre for x in self._reports.values())

    def report(self, worker_id: str) -> runs.WorkerReport | None:
        """Return the newest report of a worker; ``None`` if the store has none."""
        return self._reports.get(worker_id)

    def hold_reported(self, now: datetime.datetime) -> list[held_worker.HeldWorker]:
        """Add and return the workers of held data centres that are not held yet."""
        added = []
        for worker_id, report in self._reports.items():
            token = self.tokens.get(report.data_centre)
            if token is None or worker_id in self._workers:
                continue
            if self._ended_incarnations.get(worker_id) == report.incarnation:
                continue
            worker = held_worker.HeldWorker(report, token, now, self._task_counts)
            self._workers[worker_id] = worker
            earlier = self._unanswered.pop(worker_id, report)
            worker.has_restarted = earlier.incarnation != report.incarnation
            for run, entry in self._late_orders.pop(worker_id).items():
                worker.ledger.record_carried_over(run, entry, now)
            self.former.record_held(report.data_centre, worker_id)
            added.append(worker)
        return added

    def changed_sets(self) -> list[broker_messages.WorkerSet]:
        """Return what to tell the other daemons of the held workers by now."""
        found = {data_centre: set[str]() for data_centre in self.tokens}
        held = (x.report for x in self._workers.values())
        for report in (*self._reports.values(), *held):
            if report.data_centre in found:
                found[report.data_centre].add(report.worker_id)
        told = (self.former.tell(k, frozenset(v)) for k, v in found.items())
        return [x for x in told if x is not None]

    # Workers

    def get(self, worker_id: str) -> held_worker.HeldWorker | None:
        """Return a held worker; ``None`` if this daemon does not hold it."""
        return self._workers.get(worker_id)

    def get_incarnation(
        self, worker_id: str, incarnation: str
    ) -> held_worker.HeldWorker | None:
        """Return a held worker; ``None`` if it has another incarnation by now."""
        worker = self._workers.get(worker_id)
        if worker is None or worker.report.incarnation != incarnation:
            return None
        return worker

    def all(self) -> list[held_worker.HeldWorker]:
        """Return all held workers, as a new list."""
        return list(self._workers.values())

    def held_in(self, data_centre: str) -> list[held_worker.HeldWorker]:
        """Return the held workers of a data centre."""
        return [
            x for x in self._workers.values() if x.report.data_centre == data_centre
        ]

    def counts(self) -> dict[str, int]:
        """Return the gauges for the metrics, by label."""
        return {
            "workers": len(self._workers),
            "silent_workers": sum(x.health.is_silent for x in self.all()),
            "runs": sum(x.ledger.run_count() for x in self.all()),
        }

    def remove(self, worker_id: str, now: datetime.datetime) -> list[runs.Run]:
        """Remove an incarnation that has ended; return the runs that counted there.

        Its next incarnation may still carry out orders without an answer.
        """
        worker = self._workers.pop(worker_id)
        worker.ledger.detach()
        if not worker.ledger.has_status:
            self._unanswered[worker_id] = worker.report
        self._late_orders.add(worker_id, worker.ledger.unanswered(now))
        return list(worker.ledger.entries())

    def handle_restart(
        self, worker_id: str, now: datetime.datetime
    ) -> tuple[list[runs.Run], int]:
        """Remove an incarnation that was replaced by another of the same name.

        Returns
        -------
        list of runs.Run
            Runs that have ended with it.
        int
            Number of orders that may have reached the next incarnation, whose ledger
            starts with them.
        """
        worker = self._workers[worker_id]
        unreported = worker.ledger.unreported(now)
        self._ended_incarnations[worker_id] = worker.report.incarnation
        lost = [run for run in self.remove(worker_id, now) if run not in unreported]
        self._unanswered[worker_id] = worker.report
        self._late_orders.add(worker_id, unreported)
        return lost, len(unreported)

    # Workers for a shard

    def suitable(
        self, submission: broker_messages.Submission
    ) -> list[held_worker.HeldWorker]:
        """Return the held workers of a shard's data centre and service."""
        service = submission.queue.service
        return [
            x
            for x in self.held_in(submission.data_centre)
            if x.report.service == service
        ]

    def usable(
        self, submission: broker_messages.Submission, now: datetime.datetime
    ) -> list[held_worker.HeldWorker]:
        """Return the suitable workers that accept new runs."""
        return [x for x in self.suitable(submission) if x.accepts(now)]

    def may_miss_runs(self, submission: broker_messages.Submission) -> bool:
        """Return whether a shard may have inherited runs that are not known yet.

        A worker that has not answered this holder may still obey the earlier one, also
        if it was removed, or if it was started on and is in no report.
        Reports that were read before this daemon became the holder may lack workers
        that were cut off, and so may later ones; those that the earlier holder has told
        of are expected.
        """
        if submission.data_centre in self._awaiting_reports:
            return True
        if self.former.may_have_others(submission.data_centre):
            return True
        if any(not x.ledger.has_status for x in self.suitable(submission)):
            return True
        place = (submission.data_centre, submission.queue.service)
        if any((x.data_centre, x.service) == place for x in self._unanswered.values()):
            return True
        return any(x not in self._workers for x in submission.workers)

    def may_obey_late_orders(
        self, submission: broker_messages.Submission, now: datetime.datetime
    ) -> bool:
        """Return whether a worker may still begin what an earlier holder has ordered.

        An order that was held up may reach the next incarnation of its worker, whose
        clock starts anew: it has not passed the end of the lease in the order.
        """
        held_since = self._held_since.get(submission.data_centre)
        if held_since is None or now - held_since > ledger.LATE_ORDER_TIME:
            return False
        return any(
            x.has_restarted and not x.ledger.has_status
            for x in self.suitable(submission)
        )

    def can_ever_fit(self, submission: broker_messages.Submission) -> bool:
        """Return whether each step fits on some idle worker of the service."""
        service = submission.queue.service
        of_service = [x for x in self._reports.values() if x.service == service]
        return all(
            any(_can_run(report, step) for report in of_service)
            for step in submission.job.steps
        )

    def is_on_any_worker(self, task: runs.Task) -> bool:
        """Return whether a run of a task counts on some held worker."""
        return task in self._task_counts

    def may_begin_late(self, task: runs.Task, now: datetime.datetime) -> bool:
        """Return whether a worker that is not held may yet begin a run of a task."""
        return self._late_orders.may_include(task, now)


def _can_run(report: runs.WorkerReport, step: jobs.Step) -> bool:
    has_label = not step.required_label or step.required_label in report.labels
    return has_label and report.resources.can_fit(step.resources)
