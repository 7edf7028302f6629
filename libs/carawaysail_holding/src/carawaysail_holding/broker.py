"""The broker of a data centre: takes jobs and places their tasks on held workers.

A broker is the only source of orders to its workers. It keeps a ledger for each and
never orders what does not certainly fit. All methods take the present instant and
return actions; nothing here does I/O.
"""

import collections.abc
import datetime

from carawaysail_holding import (
    actions,
    broker_messages,
    held_worker,
    job_table,
    loads,
    placer,
    policies,
    run_time_estimates,
    shard_state,
    stall_detection,
    worker_table,
)
from carawaysail_types import clock, jobs, runs


class Broker:
    """Jobs and workers of the data centres that this daemon holds.

    Parameters
    ----------
    terms : events.Terms
        Figures of the deployment.
    names : policies.PolicyNames
        Policies in use.
    """

    def __init__(
        self,
        terms: broker_messages.Terms,
        names: policies.PolicyNames = policies.PolicyNames(),
    ) -> None:
        self._terms = terms
        self._order = policies.orders.get(names.order)
        self.run_time_estimates = run_time_estimates.RunTimeEstimates()
        self._actions = actions.Actions()
        self._roster = worker_table.WorkerTable()
        self._book = job_table.JobTable(
            self._actions, self._roster, self.run_time_estimates
        )
        self._stalls = stall_detection.StallDetector(
            self._actions, self._book, self.run_time_estimates
        )
        choice = policies.choices.get(names.choice)
        self._placer = placer.Placer(
            terms, choice, self.run_time_estimates, self._book.shard_of
        )

    def set_terms(self, terms: broker_messages.Terms) -> None:
        """Take over changed figures of the deployment."""
        self._terms = terms
        self._placer.terms = terms

    # Tenure

    def tokens(self) -> dict[str, int]:
        """Return the held data centres with their fencing tokens."""
        return dict(self._roster.tokens)

    def hold(
        self, data_centre: str, token: int, now: datetime.datetime
    ) -> list[broker_messages.Action]:
        """Begin to hold a data centre's workers."""
        self._release(data_centre)
        self._roster.start_holding(data_centre, token, now)
        self._adopt(now)
        return self._actions.take()

    def release(self, data_centre: str) -> list[broker_messages.Action]:
        """Forget a data centre's workers; jobs begun there go on elsewhere."""
        self._release(data_centre)
        return self._actions.take()

    def _release(self, data_centre: str) -> None:
        for worker_id in self._roster.stop_holding(data_centre):
            self._book.inherited.drop_worker(worker_id)
        for job in self._book.all():
            if job.submission.data_centre == data_centre:
                self._book.remove(job)
                self._actions.note("moved", job.job_id, begun=job.has_ordered_runs)

    # Workers

    def handle_reports(
        self,
        reports: collections.abc.Iterable[runs.WorkerReport],
        now: datetime.datetime,
        asked: datetime.datetime | None = None,
    ) -> list[broker_messages.Action]:
        """Take over what the store says of all workers.

        Parameters
        ----------
        reports : iterable of runs.WorkerReport
            All reports.
        now : datetime.datetime
            Present instant.
        asked : datetime.datetime, optional
            When the store was asked; the present instant by default.
        """
        self._roster.record_reports(reports, asked or now)
        for worker in self._roster.all():
            worker_id = worker.report.worker_id
            report = self._roster.report(worker_id)
            if report is None:
                if worker.missing_since is None:
                    worker.missing_since = now
                    self._actions.note("worker_missing", worker_id)
                continue
            worker.missing_since = None
            if report.incarnation != worker.report.incarnation:
                self._restarted(worker_id)
            elif report.is_draining and not worker.is_draining:
                worker.is_draining = True
                self._actions.note("worker_draining", worker_id)
        self._adopt(now)
        self._place(now)
        return self._actions.take()

    def _adopt(self, now: datetime.datetime) -> None:
        for worker in self._roster.adopt(now):
            self._actions.add(worker.next_poll(self._terms, now))

    def _restarted(self, worker_id: str) -> None:
        """Begin with a worker's next life; orders under way may have reached that."""
        lost, carried = self._roster.handle_restart(worker_id)
        self._dropped(worker_id, "restarted", lost, carried)

    def _dropped(
        self, worker_id: str, why: str, lost: list[runs.Run], carried: int = 0
    ) -> None:
        """Let tasks start again that ran in a life of a worker that is over."""
        self._book.inherited.drop_worker(worker_id)
        self._actions.note(
            "worker_dropped", worker_id, why=why, runs=len(lost), carried=carried
        )
        for run in lost:
            self._book.requeue_task(run, worker_id)

    def handle_status(
        self,
        worker_id: str,
        listing: runs.WorkerStatus,
        asked: datetime.datetime,
        now: datetime.datetime,
    ) -> list[broker_messages.Action]:
        """Take a worker's listing; answered by the next request for one."""
        worker = self._roster.get(worker_id)
        if worker is None:
            return self._actions.take()
        if listing.incarnation != worker.report.incarnation:
            self._restarted(worker_id)
            self._adopt(now)
            return self._actions.take()
        if worker.health.is_silent:
            self._actions.note("worker_answers", worker_id)
        was_listed = worker.ledger.has_status
        findings = worker.handle_status(listing, asked, now)
        for end in findings.finished:
            self._ended(worker, end, now)
        for run in findings.vanished:
            self._actions.note("run_vanished", run.task.job_id, run=str(run.task))
            self._book.requeue_task(run, worker_id)
        for run in findings.inherited:
            self._book.record_inherited_run(worker, run, now)
        if not was_listed:
            self._actions.note(
                "worker_listed", worker_id, token=worker.ledger.token,
                running=len(listing.running),
            )  # fmt: skip
        self._stalls.stop_stalled_runs(worker, now)
        self._place(now)
        self._actions.add(worker.next_poll(self._terms, now))
        return self._actions.take()

    def handle_poll_failure(
        self,
        worker_id: str,
        incarnation: str,
        answer: runs.OrderResult,
        now: datetime.datetime,
    ) -> list[broker_messages.Action]:
        """Take note that a worker gave no listing; answered by the next request."""
        worker = self._unfenced(worker_id, incarnation, answer)
        if worker is None:
            return self._actions.take()
        self._silent(worker, answer)
        self._actions.add(worker.next_poll(self._terms, now))
        return self._actions.take()

    def _silent(self, worker: held_worker.HeldWorker, answer: runs.OrderResult) -> None:
        if not worker.health.is_silent:
            worker.health.is_silent = True
            self._actions.note(
                "worker_silent", worker.report.worker_id, answer=answer.value
            )

    def _unfenced(
        self, worker_id: str, incarnation: str, answer: runs.OrderResult
    ) -> held_worker.HeldWorker | None:
        """Return the worker that has answered, if it is still held.

        An answer by which another daemon holds it ends the tenure.
        """
        worker = self._roster.get_incarnation(worker_id, incarnation)
        if worker is None or answer is not runs.OrderResult.FENCED:
            return worker
        report = worker.report
        self._actions.note("fenced", report.worker_id, token=worker.ledger.token)
        self._actions.add(
            broker_messages.HolderFenced(report.data_centre, report.worker_id)
        )
        self._release(report.data_centre)
        return None

    # Runs

    def handle_start_answer(
        self,
        worker_id: str,
        incarnation: str,
        run: runs.Run,
        answer: runs.OrderResult,
        now: datetime.datetime,
    ) -> list[broker_messages.Action]:
        """Take the answer to an order that starts a run."""
        worker = self._unfenced(worker_id, incarnation, answer)
        if worker is None:
            return self._actions.take()
        worker.ledger.handle_start_answer(run, answer, now)
        if answer is runs.OrderResult.NO_ANSWER:
            self._silent(worker, answer)
            self._actions.note(
                "start_lost", run.task.job_id, run=actions.name(run), worker=worker_id
            )
            self._book.stop_run(worker, run, now)
        elif answer in runs.NOT_EXECUTED_RESULTS:
            self._rejected(worker, run, answer, now)
        self._place(now)
        return self._actions.take()

    def _rejected(
        self,
        worker: held_worker.HeldWorker,
        run: runs.Run,
        answer: runs.OrderResult,
        now: datetime.datetime,
    ) -> None:
        worker_id = worker.report.worker_id
        self._actions.note(
            "start_rejected", run.task.job_id, run=actions.name(run), worker=worker_id,
            answer=answer.value,
        )  # fmt: skip
        if answer is runs.OrderResult.NOT_SENT:
            self._silent(worker, answer)
        if answer is runs.OrderResult.UNHEALTHY and worker.health.record_failure(
            run.task.job_id, now
        ):
            self._actions.note("worker_rests", worker_id, cause=answer.value)
        state = self._book.task_state(run)
        if state is not None:
            state.avoided_workers.add(worker_id)
        self._book.requeue_task(run, worker_id)

    def handle_stop_answer(
        self,
        worker_id: str,
        incarnation: str,
        run: runs.Run,
        answer: runs.OrderResult,
        now: datetime.datetime,
    ) -> list[broker_messages.Action]:
        """Take the answer to an order that stops a run."""
        worker = self._unfenced(worker_id, incarnation, answer)
        if worker is None:
            return self._actions.take()
        worker.ledger.handle_stop_answer(run, answer is runs.OrderResult.ACCEPTED, now)
        return self._actions.take()

    def _ended(
        self,
        worker: held_worker.HeldWorker,
        end: runs.FinishedRun,
        now: datetime.datetime,
    ) -> None:
        task = end.run.task
        self._book.inherited.drop_run(end.run)
        name, worker_id = actions.name(end.run), worker.report.worker_id
        how = end.result.value
        self._actions.note(
            "run_ended", task.job_id, run=name, how=how, worker=worker_id
        )
        if end.result is runs.RunResult.DONE:
            self._succeeded(worker, end.run, now)
        elif end.result is runs.RunResult.FAILED:
            self._failed(worker, end.run, now)
        else:
            self._book.requeue_task(end.run, worker_id)

    def _succeeded(
        self, worker: held_worker.HeldWorker, run: runs.Run, now: datetime.datetime
    ) -> None:
        worker.health.record_success()
        job = self._book.shard_of(run.task)
        if job is None:
            self._book.outcomes.record_done(run.task, now)
            return
        state = job.tasks[run.task]
        if state.last_run_number == run.number and state.started_at is not None:
            took = now - state.started_at
            queue = job.submission.queue.name
            self.run_time_estimates.record_run(queue, state.step, worker.report, took)
            job.record_run_time(took * self.run_time_estimates.speed(worker.report))
        state.phase = shard_state.Phase.DONE
        state.worker_id = ""
        if job.is_done():
            self._book.finish(job, jobs.JobOutcome(jobs.Verdict.COMPLETED), now)

    def _failed(
        self, worker: held_worker.HeldWorker, run: runs.Run, now: datetime.datetime
    ) -> None:
        worker_id = worker.report.worker_id
        if worker.health.record_failure(run.task.job_id, now):
            self._actions.note("worker_rests", worker_id, cause="failed runs")
        job = self._book.shard_of(run.task)
        if job is None:
            return
        state = job.tasks[run.task]
        state.failures += 1
        state.avoided_workers.add(worker_id)
        self._book.requeue_task(run, worker_id)
        if state.failures >= job.submission.queue.max_attempts:
            outcome = jobs.JobOutcome(jobs.Verdict.FAILED, jobs.Reason.TASK_FAILED)
            self._book.finish(job, outcome, now)

    # Jobs

    def submit(
        self,
        submission: broker_messages.Submission,
        waiter: broker_messages.GatewayId,
        now: datetime.datetime,
    ) -> list[broker_messages.Action]:
        """Take a part of a job, or refuse it; one that is known is left as it is."""
        part = broker_messages.ShardId(submission.job.job_id, submission.shard, waiter)
        outcome = self._book.outcomes.outcome(part, now)
        if self._book.get(part) is not None:
            self._actions.note("joined", part.job_id, waiter=waiter.vm, part=part.shard)
        elif outcome is not None:
            self._actions.note("remembered", part.job_id, verdict=outcome.verdict.value)
            self._actions.add(broker_messages.SendOutcome(part, outcome))
        else:
            self._book.admit(part, submission, now)
            self._place(now)
        return self._actions.take()

    def withdraw(
        self, part: broker_messages.ShardId, now: datetime.datetime
    ) -> list[broker_messages.Action]:
        """Stop a part that nobody waits for any more."""
        job = self._book.get(part)
        outcome = jobs.JobOutcome(jobs.Verdict.UNKNOWN, jobs.Reason.WITHDRAWN)
        if job is not None:
            self._book.finish(job, outcome, now)
            self._place(now)
        else:
            # A submission that comes after its withdrawal must not run.
            self._book.outcomes.record_outcome(part, outcome, now)
        return self._actions.take()

    def handle_gateway_lost(
        self, vm: str, now: datetime.datetime
    ) -> list[broker_messages.Action]:
        """Withdraw all parts of a daemon that is not heard any more."""
        taken: list[broker_messages.Action] = []
        for part in [
            x.shard_id for x in self._book.all() if x.shard_id.gateway.vm == vm
        ]:
            taken.extend(self.withdraw(part, now))
        return taken

    # Placing

    def _place(self, now: datetime.datetime) -> None:
        """Order as many waiting tasks as fit, the most urgent job first."""
        waiting = [job for job in self._book.all() if job.waiting_count()]
        usable: dict[tuple[str, str], list[held_worker.HeldWorker]] = {}
        for job in sorted(waiting, key=lambda x: self._order.key(x, now)):
            submission = job.submission
            key = (submission.queue.service, submission.data_centre)
            if key not in usable:
                usable[key] = self._roster.usable(submission, now)
            if submission.is_resumed and self._roster.may_miss_runs(submission):
                continue
            self._place_job(job, usable[key], now)

    def _place_job(
        self,
        job: shard_state.ShardState,
        usable: list[held_worker.HeldWorker],
        now: datetime.datetime,
    ) -> None:
        taken = 0
        begun: set[str] = set()
        largest = max((x.ledger.free().processor_milli for x in usable), default=0)
        for state in job.ready_tasks():
            if state.step.resources.processor_milli > largest:
                continue
            candidates = self._placer.candidates(job, state, usable, now)
            if not candidates or self._roster.is_on_any_worker(state.task):
                continue
            chosen = self._placer.choose(job, state, candidates, usable, taken, now)
            if chosen is not None:
                self._start(job, state, chosen, now)
                begun.add(chosen.worker.report.worker_id)
            else:
                taken += 1
        if begun:
            self._actions.add(
                broker_messages.ShardStarted(job.shard_id, tuple(sorted(begun)))
            )

    def _start(
        self,
        job: shard_state.ShardState,
        state: shard_state.TaskState,
        chosen: policies.Candidate,
        now: datetime.datetime,
    ) -> None:
        worker = chosen.worker
        expires = worker.lease_end(self._terms, now)
        if expires is None:
            return
        run = state.next_run()
        worker.ledger.record_order(run, state.step.resources, now)
        worker.record_lease_extension(now)
        state.record_placement(run, worker.report.worker_id, now)
        job.has_ordered_runs = True
        self._actions.note(
            "placed", job.job_id, run=actions.name(run), worker=worker.report.worker_id,
            waited_ms=round(clock.to_milliseconds(now - job.submission.arrived)),
            takes_ms=round(clock.to_milliseconds(chosen.run_time.expected)),
            due_ms=round(clock.to_milliseconds(job.schedule.target_finish - now)),
            free_milli=worker.ledger.free().processor_milli,
        )  # fmt: skip
        spec, token = job.submission.job.spec, worker.ledger.token
        self._actions.add(
            broker_messages.StartRun(worker.report, run, spec, expires, token)
        )

    # Time

    def tick(self, now: datetime.datetime) -> list[broker_messages.Action]:
        """Act on what is due: deadlines, lost leases, stops to be tried again."""
        for job in self._book.all():
            self._book.check_deadline(job, now)
        for worker in self._roster.all():
            self._tend(worker, now)
        for run, worker_id in self._book.inherited.pop_unclaimed(now):
            holder = self._roster.get(worker_id)
            if holder is not None:
                self._actions.note(
                    "stop_unclaimed", run.task.job_id, run=actions.name(run)
                )
                self._book.stop_run(holder, run, now)
        self._book.outcomes.prune(now)
        self._place(now)
        return self._actions.take()

    def _tend(self, worker: held_worker.HeldWorker, now: datetime.datetime) -> None:
        """Act on a worker's silence, its absence from the store, and lost orders."""
        worker_id = worker.report.worker_id
        if worker.health.is_silent and worker.is_lease_expired(self._terms, now):
            for run in worker.ledger.drop_expired():
                self._actions.note("lease_lost", run.task.job_id, run=actions.name(run))
                self._book.requeue_task(run, worker_id)
            if worker.missing_since is not None:
                lost = self._roster.remove(worker_id)
                self._dropped(worker_id, "missing and silent", lost)
                return
        if worker.is_gone(now):
            lost = self._roster.remove(worker_id)
            self._dropped(worker_id, "missing in the store", lost)
            return
        if worker.ledger.has_status:
            for run in worker.ledger.uncertain():
                self._book.stop_run(worker, run, now)

    # Load

    def loads_by_data_centre(
        self, now: datetime.datetime
    ) -> tuple[tuple[str, tuple[loads.ServiceLoad, ...]], ...]:
        """Return how busy the held workers are, by data centre and service."""
        return loads.load_by_data_centre(
            self._roster, self._book.all(), self.run_time_estimates, now
        )

    def worker_ids(self) -> frozenset[str]:
        """Return the workers that are held."""
        return frozenset(x.report.worker_id for x in self._roster.all())

    def counts(self) -> dict[str, int]:
        """Return sizes for the metrics."""
        return {"jobs": len(self._book.all()), **self._roster.counts()}
