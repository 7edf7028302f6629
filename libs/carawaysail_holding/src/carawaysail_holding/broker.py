"""The broker of a data centre: takes jobs and places their tasks on held workers.

A broker is the only source of orders to its workers. It keeps a ledger for each and
never orders what does not certainly fit. All methods take the present instant and
return actions; nothing here does I/O.
"""

import collections.abc
import datetime
import typing

from carawaysail_holding import (
    estimates,
    events,
    foreign,
    held,
    jobstate,
    ledger,
    lengths,
    loads,
    memory,
    policies,
)
from carawaysail_types import clock, jobs, runs

MISSING_GRACE = clock.milliseconds(3000)
"""A worker missing in the store for so long is taken as gone; lapsed entries of a
store that was away come back within two seconds."""

_PROVEN_UNSTARTED = frozenset(set(runs.Answer) - {runs.Answer.TAKEN, runs.Answer.LOST})


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
        self, terms: events.Terms, names: policies.PolicyNames = policies.PolicyNames()
    ) -> None:
        self._terms = terms
        self._order = policies.orders.get(names.order)
        self._choice = policies.choices.get(names.choice)
        self.lengths = lengths.Lengths()
        self._tokens: dict[str, int] = {}
        self._reports: dict[str, runs.WorkerReport] = {}
        self._workers: dict[str, held.HeldWorker] = {}
        self._jobs: dict[events.PartId, jobstate.JobState] = {}
        self._by_task: dict[runs.Task, jobstate.JobState] = {}
        self._memory = memory.Memory()
        self._foreign = foreign.ForeignRuns()
        self._carried: dict[str, dict[runs.Run, ledger.Entry]] = {}
        self._ended_lives: dict[str, str] = {}
        self._unread: set[str] = set()
        self._held_since: dict[str, datetime.datetime] = {}
        self._out: list[events.Action] = []

    def set_terms(self, terms: events.Terms) -> None:
        """Take over changed figures of the deployment."""
        self._terms = terms

    # Tenure

    def tokens(self) -> dict[str, int]:
        """Return the held data centres with their fencing tokens."""
        return dict(self._tokens)

    def hold(
        self, data_centre: str, token: int, now: datetime.datetime
    ) -> list[events.Action]:
        """Begin to hold a data centre's workers."""
        self._release(data_centre, now)
        self._tokens[data_centre] = token
        self._held_since[data_centre] = now
        self._unread.add(data_centre)
        self._adopt_reports(now)
        return self._take()

    def release(self, data_centre: str, now: datetime.datetime) -> list[events.Action]:
        """Forget a data centre's workers; jobs begun there go on elsewhere."""
        self._release(data_centre, now)
        return self._take()

    def _release(self, data_centre: str, now: datetime.datetime) -> None:
        self._tokens.pop(data_centre, None)
        gone = [
            worker_id
            for worker_id, worker in self._workers.items()
            if worker.report.data_centre == data_centre
        ]
        for worker_id in gone:
            del self._workers[worker_id]
            self._foreign.drop_worker(worker_id)
        for job in list(self._jobs.values()):
            if job.submission.place == data_centre:
                self._forget(job)
                self._note("moved", job.job_id, begun=job.has_ordered)

    def _forget(self, job: jobstate.JobState) -> None:
        self._jobs.pop(job.part, None)
        for task in job.tasks:
            if self._by_task.get(task) is job:
                del self._by_task[task]

    # Workers

    def update(
        self,
        reports: collections.abc.Iterable[runs.WorkerReport],
        now: datetime.datetime,
        asked: datetime.datetime | None = None,
    ) -> list[events.Action]:
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
        for place in [x for x in self._unread if self._held_since[x] <= (asked or now)]:
            self._unread.discard(place)
        self._reports = {report.worker_id: report for report in reports}
        for worker_id, worker in list(self._workers.items()):
            report = self._reports.get(worker_id)
            if report is None:
                if worker.missing_since is None:
                    worker.missing_since = now
                    self._note("worker_missing", worker_id)
                continue
            worker.missing_since = None
            if report.incarnation != worker.report.incarnation:
                self._restarted(worker_id)
            elif report.is_draining and not worker.is_draining:
                worker.is_draining = True
                self._note("worker_draining", worker_id)
        self._adopt_reports(now)
        self._place(now)
        return self._take()

    def _adopt_reports(self, now: datetime.datetime) -> None:
        for worker_id, report in self._reports.items():
            token = self._tokens.get(report.data_centre)
            if token is None or worker_id in self._workers:
                continue
            if self._ended_lives.get(worker_id) == report.incarnation:
                continue
            worker = held.HeldWorker(report, token, now)
            self._workers[worker_id] = worker
            for run, entry in self._carried.pop(worker_id, {}).items():
                worker.ledger.carry(run, entry.room, now)
            self._out.append(worker.next_hold(self._terms, now))

    def _restarted(self, worker_id: str) -> None:
        """Begin with a worker's next life; orders under way may have reached that."""
        worker = self._workers[worker_id]
        unseen = worker.ledger.unseen()
        self._ended_lives[worker_id] = worker.report.incarnation
        self._drop(worker_id, "restarted", keep=unseen)
        if unseen:
            self._carried[worker_id] = unseen

    def _drop(
        self,
        worker_id: str,
        why: str,
        keep: collections.abc.Collection[runs.Run] = (),
    ) -> None:
        """Forget a life of a worker that is over, with what ran there."""
        worker = self._workers.pop(worker_id)
        self._foreign.drop_worker(worker_id)
        lost = [run for run in worker.ledger.entries() if run not in keep]
        self._note(
            "worker_dropped", worker_id, why=why, runs=len(lost), carried=len(keep)
        )
        for run in lost:
            self._run_gone(run, worker_id)

    def listed(
        self,
        worker_id: str,
        listing: runs.Listing,
        asked: datetime.datetime,
        now: datetime.datetime,
    ) -> list[events.Action]:
        """Take a worker's listing; answered by the next request for one."""
        worker = self._workers.get(worker_id)
        if worker is None:
            return self._take()
        if listing.incarnation != worker.report.incarnation:
            self._restarted(worker_id)
            self._adopt_reports(now)
            return self._take()
        if worker.standing.is_silent:
            self._note("worker_answers", worker_id)
        was_listed = worker.ledger.is_listed
        findings = worker.listed(listing, asked, now)
        for end in findings.ends:
            self._ended(worker, end, now)
        for run in findings.vanished:
            self._note("run_vanished", run.task.job_id, run=str(run.task))
            self._run_gone(run, worker_id)
        for run in findings.foreign:
            self._found(worker, run, now)
        if not was_listed:
            self._note(
                "worker_listed", worker_id, token=worker.ledger.token,
                running=len(listing.running),
            )  # fmt: skip
        self._place(now)
        self._out.append(worker.next_hold(self._terms, now))
        return self._take()

    def hold_failed(
        self,
        worker_id: str,
        incarnation: str,
        answer: runs.Answer,
        now: datetime.datetime,
    ) -> list[events.Action]:
        """Take note that a worker gave no listing; answered by the next request."""
        worker = self._workers.get(worker_id)
        if worker is None or worker.report.incarnation != incarnation:
            return self._take()
        if answer is runs.Answer.FENCED:
            self._fenced(worker, now)
            return self._take()
        self._silent(worker, answer)
        self._out.append(worker.next_hold(self._terms, now))
        return self._take()

    def _silent(self, worker: held.HeldWorker, answer: runs.Answer) -> None:
        if not worker.standing.is_silent:
            worker.standing.is_silent = True
            self._note("worker_silent", worker.report.worker_id, answer=answer.value)

    def _fenced(self, worker: held.HeldWorker, now: datetime.datetime) -> None:
        report = worker.report
        self._note("fenced", report.worker_id, token=worker.ledger.token)
        self._out.append(events.Fenced(report.data_centre, report.worker_id))
        self._release(report.data_centre, now)

    # Runs

    def start_answered(
        self,
        worker_id: str,
        incarnation: str,
        run: runs.Run,
        answer: runs.Answer,
        now: datetime.datetime,
    ) -> list[events.Action]:
        """Take the answer to an order that starts a run."""
        worker = self._workers.get(worker_id)
        if worker is None or worker.report.incarnation != incarnation:
            return self._take()
        worker.ledger.start_answered(run, answer, now)
        if answer is runs.Answer.FENCED:
            self._fenced(worker, now)
            return self._take()
        if answer is runs.Answer.LOST:
            self._silent(worker, answer)
            self._note("start_lost", run.task.job_id, run=_name(run), worker=worker_id)
            self._stop(worker, run, now)
        elif answer in _PROVEN_UNSTARTED:
            self._rejected(worker, run, answer, now)
        self._place(now)
        return self._take()

    def _rejected(
        self,
        worker: held.HeldWorker,
        run: runs.Run,
        answer: runs.Answer,
        now: datetime.datetime,
    ) -> None:
        worker_id = worker.report.worker_id
        self._note(
            "start_rejected", run.task.job_id, run=_name(run), worker=worker_id,
            answer=answer.value,
        )  # fmt: skip
        if answer is runs.Answer.UNSENT:
            self._silent(worker, answer)
        if answer is runs.Answer.UNHEALTHY and worker.standing.failed(
            run.task.job_id, now
        ):
            self._note("worker_rests", worker_id, cause=answer.value)
        state = self._state(run)
        if state is not None:
            state.avoid.add(worker_id)
        self._run_gone(run, worker_id)

    def stop_answered(
        self,
        worker_id: str,
        incarnation: str,
        run: runs.Run,
        answer: runs.Answer,
        now: datetime.datetime,
    ) -> list[events.Action]:
        """Take the answer to an order that stops a run."""
        worker = self._workers.get(worker_id)
        if worker is None or worker.report.incarnation != incarnation:
            return self._take()
        if answer is runs.Answer.FENCED:
            self._fenced(worker, now)
            return self._take()
        worker.ledger.stop_answered(run, answer is runs.Answer.TAKEN, now)
        return self._take()

    def _stop(
        self, worker: held.HeldWorker, run: runs.Run, now: datetime.datetime
    ) -> None:
        worker.ledger.stop(run, now)
        self._out.append(events.StopRun(worker.report, run, worker.ledger.token))

    def _found(
        self, worker: held.HeldWorker, run: runs.Run, now: datetime.datetime
    ) -> None:
        """Match a run of an earlier holder with its job, or keep it for a while."""
        state = self._state(run)
        if state is not None and state.phase is jobstate.Phase.WAITING:
            self._claim(worker, run, state, now)
        else:
            self._foreign.add(run, worker.report.worker_id, now)

    def _claim(
        self,
        worker: held.HeldWorker,
        run: runs.Run,
        state: jobstate.TaskState,
        now: datetime.datetime,
    ) -> None:
        worker.ledger.claim(run, state.step.room, now)
        state.place(run, worker.report.worker_id, now)
        job = self._by_task[run.task]
        job.has_ordered = True
        self._out.append(events.Begun(job.part, (worker.report.worker_id,)))
        self._note("claimed", run.task.job_id, run=_name(run))

    def _ended(
        self, worker: held.HeldWorker, end: runs.RunEnd, now: datetime.datetime
    ) -> None:
        task = end.run.task
        self._foreign.drop_run(end.run)
        state = self._state(end.run)
        self._note(
            "run_ended", task.job_id, run=_name(end.run), how=end.ending.value,
            worker=worker.report.worker_id,
        )  # fmt: skip
        if end.ending is runs.Ending.DONE:
            self._succeeded(worker, end.run, state, now)
        elif end.ending is runs.Ending.FAILED:
            self._failed(worker, end.run, state, now)
        else:
            self._run_gone(end.run, worker.report.worker_id)

    def _succeeded(
        self,
        worker: held.HeldWorker,
        run: runs.Run,
        state: jobstate.TaskState | None,
        now: datetime.datetime,
    ) -> None:
        worker.standing.succeeded()
        if state is None:
            self._memory.done(run.task, now)
            return
        job = self._by_task[run.task]
        if state.last_number == run.number and state.started is not None:
            took = now - state.started
            queue = job.submission.queue.name
            self.lengths.observe(queue, state.step, worker.report, took)
            job.observe(took * self.lengths.speed(worker.report))
        state.phase = jobstate.Phase.DONE
        state.worker_id = ""
        if job.is_done():
            self._finish(job, jobs.JobOutcome(jobs.Verdict.COMPLETED), now)

    def _failed(
        self,
        worker: held.HeldWorker,
        run: runs.Run,
        state: jobstate.TaskState | None,
        now: datetime.datetime,
    ) -> None:
        worker_id = worker.report.worker_id
        if worker.standing.failed(run.task.job_id, now):
            self._note("worker_rests", worker_id, cause="failed runs")
        if state is None:
            return
        state.failures += 1
        state.avoid.add(worker_id)
        self._run_gone(run, worker_id)
        job = self._by_task[run.task]
        if state.failures >= job.submission.queue.max_attempts:
            outcome = jobs.JobOutcome(jobs.Verdict.FAILED, jobs.Reason.TASK_FAILED)
            self._finish(job, outcome, now)

    def _run_gone(self, run: runs.Run, worker_id: str) -> None:
        """Let a task start again whose run is certainly over."""
        self._foreign.drop_run(run)
        state = self._state(run)
        if (
            state is not None
            and state.phase is jobstate.Phase.PLACED
            and state.worker_id == worker_id
            and state.last_number == run.number
        ):
            state.release()

    def _state(self, run: runs.Run) -> jobstate.TaskState | None:
        job = self._by_task.get(run.task)
        return job.tasks[run.task] if job is not None else None

    # Jobs

    def submit(
        self,
        submission: events.Submission,
        waiter: events.Waiter,
        now: datetime.datetime,
    ) -> list[events.Action]:
        """Take a part of a job, or refuse it; one that is known is left as it is."""
        part = events.PartId(submission.job.job_id, submission.part, waiter)
        outcome = self._memory.outcome(part, now)
        if part in self._jobs:
            self._note("joined", part.job_id, waiter=waiter.vm, part=part.part)
        elif outcome is not None:
            self._note("remembered", part.job_id, verdict=outcome.verdict.value)
            self._out.append(events.Reply(part, outcome))
        else:
            self._admit(part, submission, now)
        return self._take()

    def _admit(
        self,
        part: events.PartId,
        submission: events.Submission,
        now: datetime.datetime,
    ) -> None:
        for step in submission.job.steps:
            self.lengths.estimated(submission.queue.name, step)
        schedule = policies.schedule(self.lengths, submission)
        job = jobstate.JobState(part, submission, schedule)
        self._supersede(job, now)
        self._jobs[part] = job
        for task in job.tasks:
            self._by_task[task] = job
        self._recall(job, now)
        fields = {
            "queue": submission.queue.name,
            "waiter": part.waiter.vm,
            "part": part.part,
            "tasks": len(job.tasks),
            "length_ms": round(clock.to_milliseconds(schedule.length)),
            "due_ms": round(clock.to_milliseconds(schedule.due - now)),
            "resumed": submission.is_resumed,
        }
        reason = self._objection(job, now)
        if reason is not jobs.Reason.NONE and not job.has_ordered:
            self._note("refused", part.job_id, reason=reason.value, **fields)
            self._forget(job)
            outcome = jobs.JobOutcome(jobs.Verdict.REFUSED, reason, FIRST_RETURN)
            self._memory.ended(part, outcome, now)
            self._out.append(events.Reply(part, outcome))
            return
        self._note("admitted", part.job_id, **fields)
        if job.is_done():
            self._finish(job, jobs.JobOutcome(jobs.Verdict.COMPLETED), now)
        self._place(now)

    def _supersede(self, job: jobstate.JobState, now: datetime.datetime) -> None:
        """End an earlier copy of the same tasks, which a client has given up."""
        for task in job.tasks:
            earlier = self._by_task.get(task)
            if earlier is not None:
                reason = jobs.Reason.SUPERSEDED
                outcome = jobs.JobOutcome(jobs.Verdict.UNKNOWN, reason)
                self._finish(earlier, outcome, now)

    def _recall(self, job: jobstate.JobState, now: datetime.datetime) -> None:
        """Give a job what earlier copies of it have left behind."""
        job.has_ordered = job.submission.is_resumed
        for task, state in job.tasks.items():
            state.last_number = self._memory.last_number(task)
            if self._memory.is_done(task, now):
                state.phase = jobstate.Phase.DONE
                job.has_ordered = True
            for run, worker_id in self._foreign.of(task):
                worker = self._workers.get(worker_id)
                if worker is not None and state.phase is jobstate.Phase.WAITING:
                    self._foreign.drop_run(run)
                    self._claim(worker, run, state, now)

    def _objection(self, job: jobstate.JobState, now: datetime.datetime) -> jobs.Reason:
        """Return why a job cannot be taken."""
        if job.submission.job.missing_features():
            return jobs.Reason.UNSUPPORTED
        if not self._usable(job.submission, now):
            return jobs.Reason.NO_WORKERS
        if not self._can_ever_fit(job):
            return jobs.Reason.NEVER_FITS
        return jobs.Reason.NONE

    def _can_ever_fit(self, job: jobstate.JobState) -> bool:
        service = job.submission.queue.service
        known = [x for x in self._reports.values() if x.service == service]
        return all(
            any(_suits(report, step) for report in known)
            for step in job.submission.job.steps
        )

    def withdraw(
        self, part: events.PartId, now: datetime.datetime
    ) -> list[events.Action]:
        """Stop a part that nobody waits for any more."""
        job = self._jobs.get(part)
        outcome = jobs.JobOutcome(jobs.Verdict.UNKNOWN, jobs.Reason.WITHDRAWN)
        if job is not None:
            self._finish(job, outcome, now)
            self._place(now)
        else:
            # A submission that comes after its withdrawal must not run.
            self._memory.ended(part, outcome, now)
        return self._take()

    def waiters_lost(self, vm: str, now: datetime.datetime) -> list[events.Action]:
        """Withdraw all parts of a daemon that is not heard any more."""
        taken: list[events.Action] = []
        for part in [x for x in self._jobs if x.waiter.vm == vm]:
            taken.extend(self.withdraw(part, now))
        return taken

    def _finish(
        self, job: jobstate.JobState, outcome: jobs.JobOutcome, now: datetime.datetime
    ) -> None:
        """Tell the waiter, and stop what still runs for the part."""
        self._forget(job)
        for state in job.tasks.values():
            if state.last_number:
                self._memory.used(state.task, state.last_number, now)
            worker = self._workers.get(state.worker_id)
            if state.phase is jobstate.Phase.PLACED and worker is not None:
                self._stop(worker, runs.Run(state.task, state.last_number), now)
        self._memory.ended(job.part, outcome, now)
        self._note(
            "finished", job.job_id, verdict=outcome.verdict.value,
            reason=outcome.reason.value, queue=job.submission.queue.name,
            age_ms=round(clock.to_milliseconds(now - job.submission.arrived)),
            late_ms=round(clock.to_milliseconds(now - job.schedule.due)),
        )  # fmt: skip
        self._out.append(events.Reply(job.part, outcome))

    # Placing

    def _usable(
        self, submission: events.Submission, now: datetime.datetime
    ) -> list[held.HeldWorker]:
        return [x for x in self._suitable(submission) if x.accepts(now)]

    def _suitable(self, submission: events.Submission) -> list[held.HeldWorker]:
        """Return the held workers that a part is meant for."""
        service = submission.queue.service
        return [
            x
            for x in self._workers.values()
            if x.report.service == service and x.report.data_centre == submission.place
        ]

    def _place(self, now: datetime.datetime) -> None:
        """Order as many waiting tasks as fit, the most urgent job first."""
        waiting = [job for job in self._jobs.values() if job.waiting()]
        usable: dict[tuple[str, str], list[held.HeldWorker]] = {}
        for job in sorted(waiting, key=lambda x: self._order.key(x, now)):
            submission = job.submission
            key = (submission.queue.service, submission.place)
            if key not in usable:
                usable[key] = self._usable(submission, now)
            if submission.is_resumed and self._is_unlisted(submission):
                continue
            self._place_job(job, usable[key], now)

    def _is_unlisted(self, submission: events.Submission) -> bool:
        """Tell whether runs of an earlier holder may still be unknown.

        A worker that has not answered this holder may still follow the earlier one.
        Reports older than the tenure may leave out workers that were cut off.
        """
        if submission.place in self._unread:
            return True
        if any(not x.ledger.is_listed for x in self._suitable(submission)):
            return True
        return any(x not in self._workers for x in submission.workers)

    def _place_job(
        self,
        job: jobstate.JobState,
        usable: list[held.HeldWorker],
        now: datetime.datetime,
    ) -> None:
        taken = 0
        begun: set[str] = set()
        largest = max((x.ledger.free().processor_milli for x in usable), default=0)
        for state in job.ready():
            if state.step.room.processor_milli > largest:
                continue
            candidates = self._candidates(job, state, usable, now)
            if not candidates and state.avoid:
                candidates = self._candidates(job, state, usable, now, strict=False)
            if not candidates or self._is_unresolved(state.task):
                continue
            expected = job.expected(self.lengths, state.step)
            view = policies.View(
                job,
                self._next_end(expected, state.step, usable, taken, now),
                estimates.utilisation(usable),
                now,
            )
            chosen = self._choice.choose(candidates, view)
            if chosen is not None:
                self._start(job, state, chosen, now)
                begun.add(chosen.worker.report.worker_id)
            else:
                taken += 1
        if begun:
            self._out.append(events.Begun(job.part, tuple(sorted(begun))))

    def _next_end(
        self,
        expected: datetime.timedelta,
        step: jobs.Step,
        usable: list[held.HeldWorker],
        taken: int,
        now: datetime.datetime,
    ) -> datetime.timedelta | None:
        """Return when a task is expected to be done if it waits for a worker.

        Parameters
        ----------
        expected : datetime.timedelta
            Its length on an average worker.
        step : jobs.Step
            What it needs.
        usable : list of held.HeldWorker
            Workers that take work.
        taken : int
            Tasks of the same job that wait already, each for a worker of its own.
        now : datetime.datetime
            Present instant.
        """
        ends = []
        for worker in usable:
            if worker.ledger.free().holds(step.room):
                continue
            for run in worker.ledger.entries():
                owner = self._by_task.get(run.task)
                if owner is None:
                    continue
                state = owner.tasks[run.task]
                takes = self.lengths.on(
                    owner.expected(self.lengths, state.step), worker.report
                )
                left = loads.time_left(state, takes, now)
                ends.append(left + self.lengths.on(expected, worker.report))
        ends.sort()
        return ends[taken] if taken < len(ends) else None

    def _is_unresolved(self, task: runs.Task) -> bool:
        """Tell whether a run of the task still counts on some worker."""
        return any(
            run.task == task
            for worker in self._workers.values()
            for run in worker.ledger.entries()
        )

    def _candidates(
        self,
        job: jobstate.JobState,
        state: jobstate.TaskState,
        usable: list[held.HeldWorker],
        now: datetime.datetime,
        strict: bool = True,
    ) -> list[policies.Candidate]:
        step = state.step
        expected = job.expected(self.lengths, step)
        found = []
        for worker in usable:
            free = worker.ledger.free()
            if not free.holds(step.room) or not worker.accepts(now):
                continue
            report = worker.report
            if step.required_label and step.required_label not in report.labels:
                continue
            if strict and report.worker_id in state.avoid:
                continue
            limit = step.max_per_worker
            if limit and worker.ledger.tasks_of(job.job_id, state.task.step) >= limit:
                continue
            takes = self.lengths.on(expected, report)
            if step.preferred_rack and step.preferred_rack not in report.labels:
                takes *= self._terms.cross_rack_factor
            spare = free.processor_milli - step.room.processor_milli
            found.append(policies.Candidate(worker, takes, spare))
        return found

    def _start(
        self,
        job: jobstate.JobState,
        state: jobstate.TaskState,
        chosen: policies.Candidate,
        now: datetime.datetime,
    ) -> None:
        worker = chosen.worker
        expires = worker.expires(self._terms, now)
        if expires is None:
            return
        run = state.next_run()
        worker.ledger.order(run, state.step.room, now)
        worker.extend(now)
        state.place(run, worker.report.worker_id, now)
        job.has_ordered = True
        self._note(
            "placed", job.job_id, run=_name(run), worker=worker.report.worker_id,
            waited_ms=round(clock.to_milliseconds(now - job.submission.arrived)),
            takes_ms=round(clock.to_milliseconds(chosen.takes)),
            due_ms=round(clock.to_milliseconds(job.schedule.due - now)),
            free_milli=worker.ledger.free().processor_milli,
        )  # fmt: skip
        self._out.append(
            events.StartRun(
                worker.report,
                run,
                job.submission.job.spec,
                expires,
                worker.ledger.token,
            )  # fmt: skip
        )

    # Time

    def tick(self, now: datetime.datetime) -> list[events.Action]:
        """Act on what is due: deadlines, lost leases, stops to be tried again."""
        for job in list(self._jobs.values()):
            self._expire(job, now)
        for worker_id, worker in list(self._workers.items()):
            self._tend(worker_id, worker, now)
        for run, worker_id in self._foreign.overdue(now):
            worker = self._workers.get(worker_id)  # type: ignore[assignment]
            if worker is not None:
                self._note("stop_unclaimed", run.task.job_id, run=_name(run))
                self._stop(worker, run, now)
        self._memory.prune(now)
        self._place(now)
        return self._take()

    def _expire(self, job: jobstate.JobState, now: datetime.datetime) -> None:
        left = job.submission.deadline - now
        if left <= datetime.timedelta():
            verdict = jobs.Verdict.UNKNOWN if job.has_ordered else jobs.Verdict.REFUSED
            self._finish(job, jobs.JobOutcome(verdict, jobs.Reason.TIMED_OUT), now)
        elif not job.has_ordered and left < job.schedule.length:
            reason = jobs.Reason.TOO_LATE
            outcome = jobs.JobOutcome(jobs.Verdict.REFUSED, reason, FIRST_RETURN)
            self._finish(job, outcome, now)

    def _tend(
        self, worker_id: str, worker: held.HeldWorker, now: datetime.datetime
    ) -> None:
        if worker.standing.is_silent and worker.has_lapsed(self._terms, now):
            for run in worker.ledger.lapse():
                self._note("lease_lost", run.task.job_id, run=_name(run))
                self._run_gone(run, worker_id)
            if worker.missing_since is not None:
                self._drop(worker_id, "missing and silent")
                return
        missing = worker.missing_since
        is_overdue = missing is not None and now - missing > MISSING_GRACE
        if is_overdue and not worker.ledger.entries():
            self._drop(worker_id, "missing in the store")
            return
        if worker.ledger.is_listed:
            for run in worker.ledger.uncertain():
                self._stop(worker, run, now)

    # Load

    def loads_by_place(
        self, now: datetime.datetime
    ) -> tuple[tuple[str, tuple[loads.Load, ...]], ...]:
        """Return how busy the held workers are, by data centre and service."""
        return tuple((place, self._loads(place, now)) for place in sorted(self._tokens))

    def _loads(self, place: str, now: datetime.datetime) -> tuple[loads.Load, ...]:
        here = [x for x in self._workers.values() if x.report.data_centre == place]
        return tuple(
            loads.measure(
                service,
                [x for x in here if x.report.service == service and x.accepts(now)],
                self._jobs.values(),
                self.lengths,
                now,
            )
            for service in sorted({x.report.service for x in here})
        )

    def worker_ids(self) -> frozenset[str]:
        """Return the workers that are held."""
        return frozenset(self._workers)

    def counts(self) -> dict[str, int]:
        """Return sizes for the metrics."""
        return {
            "jobs": len(self._jobs),
            "workers": len(self._workers),
            "silent_workers": sum(x.standing.is_silent for x in self._workers.values()),
            "runs": sum(len(x.ledger.entries()) for x in self._workers.values()),
        }

    def _note(self, name: str, subject: str, **fields: typing.Any) -> None:
        self._out.append(events.Note(name, subject, fields))

    def _take(self) -> list[events.Action]:
        taken, self._out = self._out, []
        return taken


FIRST_RETURN = clock.milliseconds(1000)
"""When a client that came too late had better come back: the least whole second."""


def _suits(report: runs.WorkerReport, step: jobs.Step) -> bool:
    has_label = not step.required_label or step.required_label in report.labels
    return has_label and report.room.holds(step.room)


def _name(run: runs.Run) -> str:
    return f"{run.task}#{run.number}"
