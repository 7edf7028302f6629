"""The broker: accepts shards of jobs and places their tasks on held workers.

The holder's broker is the only source of orders to its workers. It tracks the runs of
each worker in a ledger and orders a run only where the resources are provably free.
All methods take the present instant and return actions; nothing here does I/O.
"""

import collections.abc
import datetime
import functools

from carawaysail_holding import (
    actions,
    broker_messages,
    early_submissions,
    gateways,
    held_worker,
    job_table,
    loads,
    outcome_cache,
    placer,
    policies,
    report_age,
    run_time_estimates,
    shard_state,
    stall_detection,
    worker_table,
)
from carawaysail_types import clock, jobs, runs


class Broker:
    """Shards and workers of the data centres that this daemon holds.

    Parameters
    ----------
    terms : broker_messages.Terms
        Longest lease and cross-rack factor of the deployment.
    names : policies.PolicyNames
        Names of the policies in use.

    Attributes
    ----------
    gateway_timeout : datetime.timedelta or None
        Time after which shards are ended whose gateway has not said that it still waits
        for them, if clients do not send jobs again sooner; ``None`` for no limit.
    statement_interval : datetime.timedelta
        Time between two statements of a gateway; leases leave room for it.
    report_age : report_age.ReportAge
        Age of the workers' reports; records the reads of them.
    """

    def __init__(
        self,
        terms: broker_messages.Terms,
        names: policies.PolicyNames = policies.PolicyNames(),
    ) -> None:
        self.gateway_timeout: datetime.timedelta | None = None
        self.statement_interval = datetime.timedelta()
        self.report_age = report_age.ReportAge()
        self._awaits_reports = False
        self._terms = terms
        self._job_order = policies.job_order_policies.get(names.order)
        self.estimates = run_time_estimates.RunTimeEstimates()
        self._actions = actions.Actions()
        self._workers = worker_table.WorkerTable()
        self._gateways = gateways.Gateways()
        self._early = early_submissions.EarlySubmissions()
        self._jobs = job_table.JobTable(
            self._actions, self._workers, self.estimates, self._gateways
        )
        self._stall_detector = stall_detection.StallDetector(
            self._actions, self._jobs, self.estimates
        )
        choice = policies.worker_choice_policies.get(names.choice)
        self._placer = placer.Placer(terms, choice, self.estimates, self._jobs.shard_of)

    def set_terms(self, terms: broker_messages.Terms) -> None:
        """Apply a changed configuration to all later decisions."""
        self._terms = terms
        self._placer.terms = terms

    # Held data centres

    def tokens(self) -> dict[str, int]:
        """Return the fencing token of each held data centre, by name."""
        return dict(self._workers.tokens)

    def is_holding(self) -> bool:
        """Return whether this daemon holds the workers of some data centre."""
        return bool(self._workers.tokens)

    def start_holding(
        self,
        data_centre: str,
        token: int,
        now: datetime.datetime,
        former_token: int = 0,
    ) -> list[broker_messages.Action]:
        """Start to hold a data centre and poll its reported workers.

        Parameters
        ----------
        data_centre : str
            The data centre.
        token : int
            Fencing token of this holder.
        now : datetime.datetime
            Present instant.
        former_token : int, optional
            Fencing token of the holder before; 0 if there was none.
        """
        self._stop_holding(data_centre)
        self._workers.start_holding(data_centre, token, now, former_token)
        self._actions.log(
            "holding", data_centre, token=token, former=former_token,
            expected=sorted(self._workers.former.expected(data_centre)),
            is_told=self._workers.former.are_known(data_centre),
        )  # fmt: skip
        self._hold_reported_workers(now)
        for early in self._early.pop(data_centre, token):
            self._submit(early.submission, early.gateway, now, early.known_at)
        return self._actions.drain()

    def stop_holding(self, data_centre: str) -> list[broker_messages.Action]:
        """Drop a data centre's workers and shards; the next holder continues them."""
        self._stop_holding(data_centre)
        return self._actions.drain()

    def _stop_holding(self, data_centre: str) -> None:
        """Drop a data centre; keep which of its shards may have runs."""
        for worker_id in self._workers.stop_holding(data_centre):
            self._jobs.inherited.drop_worker(worker_id)
        for shard in self._jobs.all():
            if shard.submission.data_centre == data_centre:
                self._jobs.remove(shard)
                if shard.has_ordered_runs:
                    self._jobs.outcomes.record_moved(shard.shard_id)
                self._actions.log("moved", shard.job_id, begun=shard.has_ordered_runs)

    # Workers

    def handle_reports(
        self,
        reports: collections.abc.Iterable[runs.WorkerReport],
        now: datetime.datetime,
        requested_at: datetime.datetime | None = None,
    ) -> list[broker_messages.Action]:
        """Compare the held workers with a complete, linearizable read of the store.

        Parameters
        ----------
        reports : iterable of runs.WorkerReport
            Reports of all workers of the site.
        now : datetime.datetime
            Present instant.
        requested_at : datetime.datetime, optional
            When the read was sent to the store; ``now`` by default.
        """
        requested_at = requested_at or now
        self.report_age.record_answer(requested_at)
        for data_centre in self._workers.record_reports(reports, requested_at):
            self._actions.log(
                "reports_complete", data_centre,
                token=self._workers.tokens.get(data_centre),
                workers=self._workers.count_reported(data_centre),
                read_ms=_ms_between(requested_at, now),
            )  # fmt: skip
        for worker in self._workers.all():
            worker_id = worker.report.worker_id
            report = self._workers.report(worker_id)
            if report is None:
                if worker.missing_since is None:
                    worker.missing_since = now
                    self._actions.log("worker_missing", worker_id)
                continue
            worker.missing_since = None
            if report.incarnation != worker.report.incarnation:
                self._handle_restart(worker_id, now)
            elif report.is_draining and not worker.is_draining:
                worker.is_draining = True
                self._actions.log("worker_draining", worker_id)
        self._hold_reported_workers(now)
        for worker_id in self._workers.former.record_read(requested_at):
            self._actions.log("expected_worker_missing", worker_id)
        self._place(now)
        return self._actions.drain()

    def _hold_reported_workers(self, now: datetime.datetime) -> None:
        added = self._workers.hold_reported(now)
        self._tell_workers()
        for worker in added:
            self._poll(worker, now)

    def _tell_workers(self) -> None:
        """Tell the other daemons of the held workers before these get any order."""
        for worker_set in self._workers.changed_sets():
            self._actions.add(broker_messages.TellWorkers(worker_set))

    def record_worker_set(
        self, worker_set: broker_messages.WorkerSet
    ) -> list[broker_messages.Action]:
        """Record which workers may have orders of another holder."""
        self._workers.former.record(worker_set)
        self._tell_workers()
        return self._actions.drain()

    def worker_sets(self) -> list[broker_messages.WorkerSet]:
        """Return what each daemon has to know of the workers held here."""
        return self._workers.former.told_here()

    def _handle_restart(self, worker_id: str, now: datetime.datetime) -> None:
        """Drop an incarnation; orders in flight may have reached the next one."""
        lost, carried_over = self._workers.handle_restart(worker_id, now)
        self._handle_lost_worker(worker_id, "restarted", lost, carried_over)

    def _remove_worker(
        self, worker_id: str, cause: str, now: datetime.datetime
    ) -> None:
        """Drop an incarnation that has ended for good."""
        lost = self._workers.remove(worker_id, now)
        self._handle_lost_worker(worker_id, cause, lost, given_up_at=now)

    def _handle_lost_worker(
        self,
        worker_id: str,
        cause: str,
        lost: list[runs.Run],
        carried_over: int = 0,
        given_up_at: datetime.datetime | None = None,
    ) -> None:
        """Requeue the tasks that ran in an incarnation that has ended."""
        self._jobs.inherited.drop_worker(worker_id)
        self._actions.log(
            "worker_dropped", worker_id, why=cause, runs=len(lost), carried=carried_over
        )
        for run in lost:
            self._jobs.requeue_task(run, worker_id, given_up_at)

    def handle_status(
        self,
        worker_id: str,
        status: runs.WorkerStatus,
        requested_at: datetime.datetime,
        now: datetime.datetime,
    ) -> list[broker_messages.Action]:
        """Process a worker's answer to a poll; poll again if the worker is held.

        An answer to a poll that was sent before the worker was held is ignored.
        """
        worker = self._workers.get(worker_id)
        if worker is None or requested_at < worker.held_since:
            return self._actions.drain()
        if status.incarnation != worker.report.incarnation:
            self._handle_restart(worker_id, now)
            self._hold_reported_workers(now)
            return self._actions.drain()
        was_silent = worker.health.is_silent
        if was_silent:
            self._actions.log("worker_answers", worker_id)
        had_status = worker.ledger.has_status
        changes = worker.handle_status(status, requested_at, now)
        for finished in changes.finished:
            self._handle_finished_run(worker, finished, now)
            worker.ledger.record_processed(finished)
        for run in changes.vanished:
            self._actions.log("run_vanished", run.task.job_id, run=str(run.task))
            self._jobs.requeue_task(run, worker_id)
        for run in changes.inherited:
            self._jobs.record_inherited_run(worker, run, now)
        for run in changes.confirmed:
            if not self._jobs.is_present_run(run, worker_id):
                self._jobs.stop_run(worker, run, now)
        if not had_status:
            self._actions.log(
                "worker_listed", worker_id, token=worker.ledger.token,
                running=len(status.running),
                held_ms=_ms_between(worker.held_since, now),
            )  # fmt: skip
        self._stall_detector.stop_stalled_runs(worker, now)
        if was_silent or not had_status:
            self._place(now)
        elif changes.finished or changes.vanished:
            self._place_after_ends(worker, now)
        self._poll_again(worker, requested_at, now)
        return self._actions.drain()

    def _poll(self, worker: held_worker.HeldWorker, now: datetime.datetime) -> None:
        latest = self._latest_lease_end(worker)
        lease = self._longest_lease(is_busy=bool(worker.ledger.run_count()))
        self._actions.add(worker.next_poll(lease, now, latest))

    def _longest_lease(self, is_busy: bool) -> datetime.timedelta:
        """Return the longest lease that lets tasks of the gateways start under it.

        On an idle worker also those of a gateway that will soon count as lost.
        """
        word_age = self.statement_interval
        if not is_busy:
            word_age = self.gateway_timeout or self._terms.retransmit
        return held_worker.longest_lease(self._terms, word_age)

    def _latest_lease_end(
        self, worker: held_worker.HeldWorker
    ) -> datetime.datetime | None:
        """Return when a worker's lease has to end at the latest; ``None`` without runs.

        It covers all runs there, so it must not outlast what their gateways have last
        said of their clients; one that no gateway has asked for gets no extension.
        """
        wanted_until = [
            self._jobs.wanted_until(run, entry) for run, entry in worker.ledger.items()
        ]
        if not wanted_until:
            return None
        oldest = min(wanted_until)
        if oldest == held_worker.NEVER:
            return oldest
        return oldest + held_worker.longest_unconfirmed(self._terms)

    def _can_extend_lease(
        self, worker: held_worker.HeldWorker, now: datetime.datetime
    ) -> bool:
        latest = self._latest_lease_end(worker)
        return latest is None or latest > now

    def _poll_again(
        self,
        worker: held_worker.HeldWorker,
        requested_at: datetime.datetime,
        now: datetime.datetime,
    ) -> None:
        """Poll a worker after the result of a poll, unless a later one is under way."""
        if worker.is_newest_poll(requested_at):
            self._poll(worker, now)

    def handle_poll_failure(
        self,
        worker_id: str,
        incarnation: str,
        result: runs.OrderResult,
        now: datetime.datetime,
        requested_at: datetime.datetime | None = None,
    ) -> list[broker_messages.Action]:
        """Record a poll that returned no status; poll again if the worker is held.

        Parameters
        ----------
        worker_id, incarnation : str
            Name and incarnation of the worker.
        result : runs.OrderResult
            Why there is no status.
        now : datetime.datetime
            Present instant.
        requested_at : datetime.datetime, optional
            When the poll was sent; ``now`` by default. One that was sent before the
            worker was held is ignored.
        """
        held = self._workers.get(worker_id)
        if held is not None and (requested_at or now) < held.held_since:
            return self._actions.drain()
        worker = self._get_unfenced(worker_id, incarnation, result)
        if worker is None:
            return self._actions.drain()
        self._mark_silent(worker, result)
        self._poll_again(worker, requested_at or now, now)
        return self._actions.drain()

    def _mark_silent(
        self, worker: held_worker.HeldWorker, result: runs.OrderResult
    ) -> None:
        if not worker.health.is_silent:
            worker.health.is_silent = True
            self._actions.log(
                "worker_silent", worker.report.worker_id, answer=result.value,
                read=worker.ledger.acknowledged_sequence,
                acknowledged=worker.confirmed_sequence,
            )  # fmt: skip

    def _get_unfenced(
        self, worker_id: str, incarnation: str, result: runs.OrderResult
    ) -> held_worker.HeldWorker | None:
        """Return the worker of a result, or ``None`` if it is no longer held.

        A fenced order shows that another daemon holds the data centre: release it.
        """
        worker = self._workers.get_incarnation(worker_id, incarnation)
        if worker is None or result is not runs.OrderResult.FENCED:
            return worker
        report = worker.report
        self._actions.log("fenced", report.worker_id, token=worker.ledger.token)
        self._actions.add(
            broker_messages.HolderFenced(report.data_centre, report.worker_id)
        )
        self._stop_holding(report.data_centre)
        return None

    # Runs

    def handle_start_result(
        self,
        worker_id: str,
        incarnation: str,
        run: runs.Run,
        result: runs.OrderResult,
        now: datetime.datetime,
    ) -> list[broker_messages.Action]:
        """Process the result of an order that starts a run."""
        worker = self._get_unfenced(worker_id, incarnation, result)
        if worker is None:
            return self._actions.drain()
        worker.ledger.handle_start_result(run, result, now)
        if result is runs.OrderResult.NO_ANSWER:
            self._mark_silent(worker, result)
            self._actions.log(
                "start_lost", run.task.job_id, run=actions.label(run), worker=worker_id
            )
            self._jobs.stop_run(worker, run, now)
        elif result in runs.NOT_EXECUTED_RESULTS:
            self._handle_rejected_start(worker, run, result, now)
        if result is not runs.OrderResult.ACCEPTED:
            self._place(now)
        return self._actions.drain()

    def _handle_rejected_start(
        self,
        worker: held_worker.HeldWorker,
        run: runs.Run,
        result: runs.OrderResult,
        now: datetime.datetime,
    ) -> None:
        worker_id = worker.report.worker_id
        self._actions.log(
            "start_rejected", run.task.job_id, run=actions.label(run), worker=worker_id,
            answer=result.value,
        )  # fmt: skip
        if result is runs.OrderResult.NOT_SENT:
            self._mark_silent(worker, result)
        if result is runs.OrderResult.UNHEALTHY and worker.health.record_failure(
            run.task.job_id, now
        ):
            self._actions.log("worker_rests", worker_id, cause=result.value)
        state = self._jobs.task_state(run)
        if state is not None:
            state.avoided_workers.add(worker_id)
        self._jobs.requeue_task(run, worker_id)

    def handle_stop_result(
        self,
        worker_id: str,
        incarnation: str,
        run: runs.Run,
        result: runs.OrderResult,
        now: datetime.datetime,
    ) -> list[broker_messages.Action]:
        """Process the result of an order that stops a run."""
        worker = self._get_unfenced(worker_id, incarnation, result)
        if worker is None:
            return self._actions.drain()
        worker.ledger.handle_stop_result(run, result is runs.OrderResult.ACCEPTED, now)
        return self._actions.drain()

    def _handle_finished_run(
        self,
        worker: held_worker.HeldWorker,
        finished: runs.FinishedRun,
        now: datetime.datetime,
    ) -> None:
        task = finished.run.task
        name, worker_id = actions.label(finished.run), worker.report.worker_id
        self._jobs.inherited.drop_run(finished.run, worker_id)
        how = finished.result.value
        shard, state = self._jobs.shard_of(task), self._jobs.task_state(finished.run)
        self._actions.log(
            "run_ended", task.job_id, run=name, how=how, worker=worker_id,
            sequence=finished.sequence, token=worker.ledger.token,
            took_ms=_elapsed_ms(state, now),
            part=shard.shard_id.shard if shard is not None else None,
            last_run=state.last_run_number if state is not None else None,
        )  # fmt: skip
        if finished.result is runs.RunResult.DONE:
            self._handle_done_run(worker, finished.run, now)
        elif finished.result is runs.RunResult.FAILED:
            self._handle_failed_run(worker, finished.run, now)
        else:
            self._jobs.requeue_task(finished.run, worker_id)

    def _handle_done_run(
        self, worker: held_worker.HeldWorker, run: runs.Run, now: datetime.datetime
    ) -> None:
        worker.health.record_success()
        shard = self._jobs.shard_of(run.task)
        if shard is None:
            self._jobs.outcomes.record_done(run.task, now)
            return
        state = shard.tasks[run.task]
        if state.last_run_number == run.number and state.started_at is not None:
            measured = worker.run_progress.run_time(run)
            run_time = measured or now - state.started_at
            queue, is_measured = shard.submission.queue.name, measured is not None
            self.estimates.record_run(
                queue, state.step, worker.report, run_time, is_measured
            )
            shard.record_run_time(run_time * self.estimates.speed(worker.report))
        present_worker = self._workers.get(state.worker_id)
        present_run = runs.Run(run.task, state.last_run_number)
        is_present = present_worker is worker and present_run == run
        if present_worker is not None and not is_present:
            self._jobs.stop_run(present_worker, present_run, now)
        state.record_done(run.number)
        if shard.is_done():
            self._jobs.finish(shard, jobs.JobOutcome(jobs.Verdict.COMPLETED), now)
        elif len(shard.submission.job.steps) > 1:
            self._jobs.record_ready(shard)

    def _handle_failed_run(
        self, worker: held_worker.HeldWorker, run: runs.Run, now: datetime.datetime
    ) -> None:
        worker_id = worker.report.worker_id
        if worker.health.record_failure(run.task.job_id, now):
            self._actions.log("worker_rests", worker_id, cause="failed runs")
        shard = self._jobs.shard_of(run.task)
        if shard is None:
            return
        state = shard.tasks[run.task]
        state.failures += 1
        state.avoided_workers.add(worker_id)
        self._jobs.requeue_task(run, worker_id)
        if state.failures >= shard.submission.queue.max_attempts:
            outcome = jobs.JobOutcome(jobs.Verdict.FAILED, jobs.Reason.TASK_FAILED)
            self._jobs.finish(shard, outcome, now)

    # Shards

    def submit(
        self,
        submission: broker_messages.Submission,
        gateway: broker_messages.GatewayId,
        now: datetime.datetime,
        known_at: datetime.datetime | None = None,
        echoed_at: datetime.datetime | None = None,
    ) -> list[broker_messages.Action]:
        """Admit or refuse a shard.

        A shard that is in the table already stays as it is. For one whose outcome is
        cached, the outcome is sent again. A resumed one that is for a later token waits
        until that is held, since a gateway may learn of a holder before the holder
        does. Without the token a shard is refused only if it certainly never ran.

        Parameters
        ----------
        submission : broker_messages.Submission
            The shard.
        gateway : broker_messages.GatewayId
            The gateway that submits it.
        now : datetime.datetime
            Present instant.
        known_at : datetime.datetime, optional
            Instant up to which the gateway knew that a client waits, if the network did
            not hold the submission up; ``now`` by default. One with old knowledge
            starts nothing, and the gateway is asked for its shards.
        echoed_at : datetime.datetime, optional
            Instant on this daemon's clock of which the gateway knew when it sent it;
            ``now`` by default. It is no older than that, whatever the network did.
        """
        longest = held_worker.longest_unconfirmed(self._terms)
        if echoed_at is not None and now - echoed_at > longest:
            known_at = min(echoed_at, known_at or now)
        self._submit(submission, gateway, now, known_at or now)
        return self._actions.drain()

    def _submit(
        self,
        submission: broker_messages.Submission,
        gateway: broker_messages.GatewayId,
        now: datetime.datetime,
        known_at: datetime.datetime,
    ) -> None:
        shard_id = broker_messages.ShardId(
            submission.job.job_id, submission.shard, gateway
        )
        if now - submission.arrived >= outcome_cache.RETENTION:
            # What became of it may have been forgotten.
            submission = submission._replace(is_resumed=True)
        if self._repeat_answer(shard_id, submission, now, known_at):
            return
        if self._starts_nothing(shard_id, submission, now, known_at):
            return
        if submission.is_resumed and self._workers.is_future(
            submission.data_centre, submission.token
        ):
            early = early_submissions.EarlySubmission(submission, gateway, known_at)
            self._early.add(early)
        elif self._may_have_moved(shard_id, submission):
            token = submission.token
            self._actions.log(
                "not_holder", shard_id.job_id, waiter=gateway.vm, part=shard_id.shard,
                token=token,
            )  # fmt: skip
            outcome = jobs.JobOutcome(jobs.Verdict.UNKNOWN, jobs.Reason.NOT_HOLDER)
            self._actions.add(broker_messages.SendOutcome(shard_id, outcome, token))
        else:
            self._jobs.admit(shard_id, submission, now)
            shard = self._jobs.get(shard_id)
            if shard is not None:
                shard.record_submission(submission, known_at)
                if submission.is_resumed:
                    shard.earlier_runs_end = self._earlier_runs_end(now)
                self._place_shards([shard], now)

    def _earlier_runs_end(self, now: datetime.datetime) -> datetime.datetime:
        """Return when the runs of earlier holders end, for a shard resumed by now.

        Its gateway tells them nothing of it any more, and runs end before a client that
        was last known to wait then sends its job again.
        """
        return now + self._terms.retransmit

    def _may_miss_runs(
        self, shard: shard_state.ShardState, now: datetime.datetime
    ) -> bool:
        """Return whether a shard may have runs of earlier holders, not known here."""
        end = shard.earlier_runs_end
        if end is None:
            return False
        if now < end:
            return self._workers.may_miss_runs(shard.submission)
        return self._workers.may_obey_late_orders(shard.submission, now)

    def _repeat_answer(
        self,
        shard_id: broker_messages.ShardId,
        submission: broker_messages.Submission,
        now: datetime.datetime,
        known_at: datetime.datetime,
    ) -> bool:
        """Return whether a shard is in the table, or its outcome was sent again."""
        known = self._jobs.get(shard_id)
        if known is not None:
            known.record_submission(submission, known_at)
            self._actions.log(
                "joined", shard_id.job_id, waiter=shard_id.gateway.vm,
                part=shard_id.shard,
            )  # fmt: skip
            return True
        outcome = self._jobs.outcomes.outcome(shard_id, now)
        if outcome is None:
            return False
        self._actions.log("remembered", shard_id.job_id, verdict=outcome.verdict.value)
        self._actions.add(broker_messages.SendOutcome(shard_id, outcome))
        return True

    def _starts_nothing(
        self,
        shard_id: broker_messages.ShardId,
        submission: broker_messages.Submission,
        now: datetime.datetime,
        known_at: datetime.datetime,
    ) -> bool:
        """Return whether a submission was, or may have been, withdrawn before."""
        gateway = shard_id.gateway
        if self._gateways.is_withdrawn(gateway, submission):
            self._actions.log("withdrawn_before", shard_id.job_id, waiter=gateway.vm)
            return True
        is_old = self._is_overdue(known_at, now) and not self._gateways.is_own(gateway)
        if is_old:
            self._actions.log(
                "old_submission", shard_id.job_id, waiter=gateway.vm,
                part=shard_id.shard, age_ms=_ms_between(known_at, now),
            )  # fmt: skip
            self._actions.add(broker_messages.AskAgain(gateway))
        return is_old

    def _is_overdue(self, known_at: datetime.datetime, now: datetime.datetime) -> bool:
        """Return whether what was known of a gateway at an instant is too old."""
        return known_at < self._oldest_valid(now)

    def _oldest_valid(self, now: datetime.datetime) -> datetime.datetime:
        """Return since when what is known of a gateway still counts."""
        if self.gateway_timeout is None:
            return held_worker.NEVER
        longest = held_worker.longest_unconfirmed(self._terms)
        return now - min(self.gateway_timeout, longest)

    def _is_unconfirmed(
        self, shard: shard_state.ShardState, oldest_valid: datetime.datetime
    ) -> bool:
        """Return whether the gateway of a shard may not wait for it any more."""
        return (
            shard.known_at < oldest_valid
            and self._jobs.waits_until(shard) < oldest_valid
        )

    def record_own_gateway(
        self, gateway: broker_messages.GatewayId, known_at: datetime.datetime
    ) -> None:
        """Record up to which instant the own gateway knows of its clients' disconnects.

        Its shards are not ended by ``gateway_timeout``, but nothing of them is started
        while that instant is too long ago.
        """
        self._gateways.record_own(gateway, known_at)

    def _may_have_moved(
        self, shard_id: broker_messages.ShardId, submission: broker_messages.Submission
    ) -> bool:
        """Return whether a shard may have runs that only another holder knows of."""
        if self._workers.is_held(submission.data_centre, submission.token):
            return False
        return submission.is_resumed or self._jobs.outcomes.has_moved(shard_id)

    def withdraw(
        self, shard_id: broker_messages.ShardId, now: datetime.datetime
    ) -> list[broker_messages.Action]:
        """Stop a shard that no client waits for any more."""
        shard = self._jobs.get(shard_id)
        outcome = jobs.JobOutcome(jobs.Verdict.UNKNOWN, jobs.Reason.WITHDRAWN)
        if shard is not None:
            self._jobs.finish(shard, outcome, now)
            self._place(now)
        else:
            # A submission that arrives after its withdrawal must not run.
            self._jobs.outcomes.record_outcome(shard_id, outcome, now)
        return self._actions.drain()

    def handle_statement(
        self,
        gateway: broker_messages.GatewayId,
        statement: broker_messages.Statement,
        now: datetime.datetime,
        known_at: datetime.datetime | None = None,
    ) -> list[broker_messages.Action]:
        """End the shards that a gateway does not wait for any more.

        Parameters
        ----------
        gateway : broker_messages.GatewayId
            The gateway.
        statement : broker_messages.Statement
            Its statement.
        now : datetime.datetime
            Present instant.
        known_at : datetime.datetime, optional
            Instant up to which the gateway knew of its clients' disconnects; ``now`` by
            default.
        """
        stated_at = self._gateways.waits_until(gateway, held_worker.NEVER)
        if not self._gateways.record_statement(gateway, statement, known_at or now):
            return self._actions.drain()
        self._stop_unclaimed_runs(now)
        outcome = jobs.JobOutcome(jobs.Verdict.UNKNOWN, jobs.Reason.WITHDRAWN)
        withdrawn = [
            shard
            for shard in self._jobs.of_gateway(gateway)
            if self._gateways.is_withdrawn(gateway, shard.submission)
        ]
        for shard in withdrawn:
            # This statement does not show until when it was waited for.
            wanted_until = max(shard.known_at, stated_at)
            self._jobs.finish(shard, outcome, now, wanted_until=wanted_until)
        if withdrawn:
            self._place(now)
        return self._actions.drain()

    def abandon(
        self, shard_id: broker_messages.ShardId, now: datetime.datetime
    ) -> list[broker_messages.Action]:
        """End a shard whose submission could not be handled; it may have started."""
        shard = self._jobs.get(shard_id)
        outcome = jobs.JobOutcome(jobs.Verdict.UNKNOWN, jobs.Reason.INTERNAL_ERROR)
        if shard is not None:
            self._jobs.finish(shard, outcome, now)
        else:
            self._jobs.outcomes.record_outcome(shard_id, outcome, now)
            self._actions.add(broker_messages.SendOutcome(shard_id, outcome))
        return self._actions.drain()

    def handle_gateway_lost(
        self, vm: str, now: datetime.datetime, successor: str = ""
    ) -> list[broker_messages.Action]:
        """Withdraw the shards of a daemon that has ended.

        Parameters
        ----------
        vm : str
            VM of the daemon.
        now : datetime.datetime
            Present instant.
        successor : str, optional
            Incarnation that has replaced it, whose shards are kept.
        """
        outcome = jobs.JobOutcome(jobs.Verdict.UNKNOWN, jobs.Reason.WITHDRAWN)
        lost = [
            shard
            for shard in self._jobs.all()
            if shard.shard_id.gateway.vm == vm
            and shard.shard_id.gateway.incarnation != successor
        ]
        for shard in lost:
            self._jobs.finish(shard, outcome, now)
        if lost:
            self._place(now)
        return self._actions.drain()

    # Placement and timeouts

    def _place(self, now: datetime.datetime) -> None:
        """Start as many waiting tasks as fit, in the order of the job policy."""
        self._jobs.pop_ready()
        self._place_shards(self._jobs.all(), now)

    def _place_after_ends(
        self, worker: held_worker.HeldWorker, now: datetime.datetime
    ) -> None:
        """Start tasks on a worker with runs that have ended, the only one with news.

        Tasks that have become ready by these ends may start anywhere. The next tick
        compares all waiting tasks with all workers.
        """
        self._place_shards(self._jobs.pop_ready(), now)
        if worker.accepts(now):
            self._place_shards(self._jobs.all(), now, [worker])

    def _place_shards(
        self,
        shards: list[shard_state.ShardState],
        now: datetime.datetime,
        workers: list[held_worker.HeldWorker] | None = None,
    ) -> None:
        """Start waiting tasks of some shards, in the order of the job policy.

        A new shard can be placed alone: those that wait already do not fit, or wait for
        other workers.

        Parameters
        ----------
        shards : list of shard_state.ShardState
            The shards.
        now : datetime.datetime
            Present instant.
        workers : list of held_worker.HeldWorker, optional
            Workers that accept runs, to start tasks on; by default all of them.
        """
        waiting = [shard for shard in shards if shard.waiting_count()]
        if not waiting or self._must_await_reports(now):
            return
        least = min(x.least_processor_milli for x in waiting)
        oldest_valid = self._oldest_valid(now)
        self._placer.begin_pass(now)
        pools: dict[tuple[str, str], placer.Pool] = {}
        roomy: dict[tuple[str, str], list[held_worker.HeldWorker]] = {}
        for shard in sorted(waiting, key=lambda x: self._job_order.key(x, now)):
            submission = shard.submission
            key = (submission.queue.service, submission.data_centre)
            if key not in pools:
                find = functools.partial(self._workers.usable, submission, now)
                pool = pools[key] = placer.Pool(key, find)
                in_pool = pool.workers() if workers is None else pool.select(workers)
                roomy[key] = _with_room(in_pool, least)
            if not roomy[key] or self._is_unconfirmed(shard, oldest_valid):
                continue
            if self._may_miss_runs(shard, now):
                continue
            if self._place_shard(shard, pools[key], roomy[key], now):
                accepting = [x for x in roomy[key] if x.accepts(now)]
                roomy[key] = _with_room(accepting, least)

    def _must_await_reports(self, now: datetime.datetime) -> bool:
        """Return whether a worker may drain without this daemon knowing of it."""
        handled_until = self._gateways.own_known_at(now)
        must_wait = not self.report_age.may_start(self._terms, now, handled_until)
        if must_wait and not self._awaits_reports:
            age_ms = self.report_age.age_ms(now)
            self._actions.log("reports_too_old", "starts", age_ms=age_ms)
        self._awaits_reports = must_wait
        return must_wait

    def _place_shard(
        self,
        shard: shard_state.ShardState,
        pool: placer.Pool,
        roomy: list[held_worker.HeldWorker],
        now: datetime.datetime,
    ) -> bool:
        """Start tasks of a shard; return whether any was started.

        ``roomy`` are workers of the pool that have room for some waiting task.
        """
        queued = 0
        started_on: set[str] = set()
        latest = self._latest_run_end(shard)
        if latest < now + self._longest_lease(is_busy=True):
            roomy = [x for x in roomy if x.leased_until(self._terms) <= latest]
        candidates_of = placer.Candidates(self._placer, shard, roomy, now)
        for state in shard.ready_tasks():
            if not candidates_of.of(state):
                continue
            chosen = self._placer.choose(shard, state, candidates_of, pool, queued, now)
            if chosen is None:
                queued += 1
            elif (
                not self._workers.is_on_any_worker(state.task)
                and not self._workers.may_begin_late(state.task, now)
                and not self._may_run_on(shard, state)
                and self._order_start(shard, state, chosen, now)
            ):
                candidates_of.record_start(state, chosen)
                started_on.add(chosen.worker.report.worker_id)
        if started_on:
            self._actions.add(
                broker_messages.SendShardStarted(
                    shard.shard_id, tuple(sorted(started_on))
                )
            )
        return bool(started_on)

    def _may_run_on(
        self, shard: shard_state.ShardState, state: shard_state.TaskState
    ) -> bool:
        """Return whether a run that was given up may go on under a later holder.

        That extends leases only for gateways that have sent it their shards, and these
        tell this daemon nothing of them from then on.
        """
        if state.given_up_at is None or self.gateway_timeout is None:
            return False
        is_told = self._jobs.waits_until(shard) >= state.given_up_at
        return not is_told and not self._gateways.is_own(shard.shard_id.gateway)

    def _latest_run_end(self, shard: shard_state.ShardState) -> datetime.datetime:
        """Return when runs of a shard have to end after its gateway's last word."""
        longest = held_worker.longest_unconfirmed(self._terms)
        return self._jobs.waits_until(shard) + longest

    def _order_start(
        self,
        shard: shard_state.ShardState,
        state: shard_state.TaskState,
        chosen: policies.Candidate,
        now: datetime.datetime,
    ) -> bool:
        """Order a task to start; return whether the worker's lease allows it.

        A start extends the lease of all runs on the worker. One granted before, which
        never shortens, must not outlast what the gateway has last said either.
        """
        worker = chosen.worker
        latest = self._latest_run_end(shard)
        if worker.leased_until(self._terms) > latest:
            return False
        of_others = self._latest_lease_end(worker)
        if of_others is not None:
            latest = min(latest, of_others)
        lease_end = worker.extend_lease(self._longest_lease(is_busy=True), now, latest)
        if lease_end is None:
            return False
        run = state.next_run()
        worker.ledger.record_order(run, state.step.resources, now)
        state.record_placement(run, worker.report.worker_id, now)
        shard.has_ordered_runs = True
        self._actions.log(
            "placed", shard.job_id, run=actions.label(run),
            worker=worker.report.worker_id,
            waited_ms=round(clock.to_milliseconds(now - shard.submission.arrived)),
            takes_ms=round(chosen.run_time.expected_ms),
            due_ms=round(clock.to_milliseconds(shard.schedule.target_finish - now)),
            free_milli=worker.ledger.free().processor_milli,
            token=worker.ledger.token, resumed=shard.submission.is_resumed,
            word_ms=_ms_between(self._jobs.waits_until(shard), now),
        )  # fmt: skip
        spec, token = shard.submission.job.spec, worker.ledger.token
        self._actions.add(
            broker_messages.StartRun(worker.report, run, spec, lease_end, token)
        )
        return True

    def tick(self, now: datetime.datetime) -> list[broker_messages.Action]:
        """Act on deadlines, expired leases, and orders that got no answer."""
        self._end_unconfirmed_shards(now)
        for shard in self._jobs.all():
            self._jobs.check_deadline(shard, now)
        for worker in self._workers.all():
            self._check_worker(worker, now)
        self._stop_unclaimed_runs(now)
        self._jobs.outcomes.prune(now)
        self._early.prune(now)
        self._gateways.prune(now)
        self._place(now)
        return self._actions.drain()

    def record_live_gateways(self, live: frozenset[broker_messages.GatewayId]) -> None:
        """Record the gateways of the other daemons that may be alive."""
        self._gateways.live = live

    def _stop_unclaimed_runs(self, now: datetime.datetime) -> None:
        """Stop the runs of earlier holders that no gateway asks for."""
        worker_ids = self._jobs.inherited.worker_ids()
        if not worker_ids:
            return
        workers = [x for x in map(self._workers.get, worker_ids) if x is not None]
        tokens = {x.ledger.token for x in workers}
        complete = {x for x in tokens if self._has_all_shards(x)}
        unwanted_on = {
            x.report.worker_id for x in workers if x.ledger.token in complete
        }
        for run, worker_id in self._jobs.inherited.pop_unmatched(now, unwanted_on):
            self._jobs.outcomes.record_run_number(run.task, run.number, now)
            held = self._workers.get(worker_id)
            if held is not None:
                self._actions.log(
                    "stop_unclaimed", run.task.job_id, run=actions.label(run)
                )
                self._jobs.stop_run(held, run, now)

    def _has_all_shards(self, token: int) -> bool:
        """Return whether all gateways have submitted their shards under a token.

        A statement may overtake submissions on another connection.
        """
        statements = self._gateways.statements_under(token)
        if statements is None:
            return False
        known = self._jobs.known_shards()
        return all(
            (gateway, number) in known
            for gateway, statement in statements.items()
            for number in statement.shards
        )

    def _end_unconfirmed_shards(self, now: datetime.datetime) -> None:
        """End the shards whose gateway may have ended, or may be cut off."""
        outcome = jobs.JobOutcome(jobs.Verdict.UNKNOWN, jobs.Reason.WITHDRAWN)
        oldest_valid = self._oldest_valid(now)
        for shard in self._jobs.all():
            gateway = shard.shard_id.gateway
            is_unconfirmed = self._is_unconfirmed(shard, oldest_valid)
            if is_unconfirmed and not self._gateways.is_own(gateway):
                silent = now - self._jobs.waits_until(shard)
                self._actions.log(
                    "gateway_silent", shard.job_id, waiter=gateway.vm,
                    part=shard.shard_id.shard,
                    silent_ms=round(clock.to_milliseconds(silent)),
                )  # fmt: skip
                self._jobs.finish(shard, outcome, now)

    def _check_worker(
        self, worker: held_worker.HeldWorker, now: datetime.datetime
    ) -> None:
        """Act on a worker that is silent or missing, and stop uncertain runs.

        A poll whose result was lost with an exception is repeated, without a lease.
        """
        worker_id = worker.report.worker_id
        if worker.is_poll_overdue(now):
            self._mark_silent(worker, runs.OrderResult.NO_ANSWER)
            self._poll(worker, now)
        elif worker.is_extension_due() and self._can_extend_lease(worker, now):
            self._poll(worker, now)
        if worker.health.is_silent and worker.is_lease_expired(self._terms, now):
            for run in worker.ledger.drop_expired():
                self._actions.log(
                    "lease_lost", run.task.job_id, run=actions.label(run),
                    worker=worker_id, read=worker.ledger.acknowledged_sequence,
                    acknowledged=worker.confirmed_sequence, token=worker.ledger.token,
                    held_ms=_ms_between(worker.held_since, now),
                    counted_ms=_ms_between(worker.lease_counts_from, now),
                )  # fmt: skip
                self._jobs.requeue_task(run, worker_id, given_up_at=now)
            if worker.missing_since is not None:
                self._remove_worker(worker_id, "missing and silent", now)
                return
        if worker.is_removable(now):
            self._remove_worker(worker_id, "missing in the store", now)
            return
        if worker.ledger.has_status:
            for run in worker.ledger.uncertain():
                self._jobs.stop_run(worker, run, now)

    def loads_by_data_centre(
        self, now: datetime.datetime
    ) -> tuple[tuple[str, tuple[loads.ServiceLoad, ...]], ...]:
        """Return the load of the held workers, by data centre and service."""
        return loads.by_data_centre(
            self._workers, self._jobs.all(), self.estimates, now
        )

    def worker_ids(self) -> frozenset[str]:
        """Return the names of the held workers."""
        return frozenset(x.report.worker_id for x in self._workers.all())

    def open_shards(self) -> int:
        """Return the number of shards without an outcome."""
        return self._jobs.count()

    def counts(self) -> dict[str, int]:
        """Return the gauges for the metrics, by label."""
        return {"jobs": self._jobs.count(), **self._workers.counts()}


def _ms_between(since: datetime.datetime, now: datetime.datetime) -> int:
    """Return the time since an instant in whole milliseconds, for logs."""
    return round(clock.to_milliseconds(now - since))


def _elapsed_ms(
    state: shard_state.TaskState | None, now: datetime.datetime
) -> int | None:
    """Return the time since a task's present run was ordered, for logs."""
    if state is None or state.started_at is None:
        return None
    return _ms_between(state.started_at, now)


def _with_room(
    workers: list[held_worker.HeldWorker], least_milli: int
) -> list[held_worker.HeldWorker]:
    """Return the workers with at least some thousandths of a core free."""
    return [x for x in workers if x.ledger.free().processor_milli >= least_milli]
