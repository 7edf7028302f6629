"""The gateway of a daemon: manages the jobs whose clients wait at this daemon.

A job is split into shards, each of which is assigned to one broker at a time. When the
holder of a data centre changes, its shards are submitted to the broker of the next
holder, which discovers the runs that exist already. A shard that may have started is
never submitted to the workers of another data centre.
"""

import collections.abc
import datetime
import itertools
import random
import typing

from carawaysail_holding import (
    broker_messages,
    job_admission,
    job_sizes,
    loads,
    planning,
    run_time_estimates,
)
from carawaysail_types import clock, daemons, jobs

SUCCESSION_TIMEOUT = clock.milliseconds(900)
"""How long a shard waits for the next holder of its workers; a silent holder is
replaced within this time."""

NO_BROKER_RETRY_AFTER = clock.milliseconds(2000)
"""Retry-After for lack of a broker; a data centre has a new one within this time."""

ANSWER_MARGIN = clock.milliseconds(20)
"""Added to the deadline, so that the broker's own outcome arrives first."""

MIN_RETRY_AFTER = clock.milliseconds(1000)
"""Least Retry-After of a refused client; the header counts whole seconds."""

RETRY_SPREAD_S = 2.0
"""Largest random part of Retry-After; refused clients must not all return at once."""


class ReachableBroker(typing.NamedTuple):
    """A broker that shards can be submitted to.

    Parameters
    ----------
    holder : daemons.Holder
        Holder record of its data centre.
    daemon : daemons.Daemon
        The daemon that the record names.
    """

    holder: daemons.Holder
    daemon: daemons.Daemon


class SendShard(typing.NamedTuple):
    """Submit a shard to a broker."""

    daemon: daemons.Daemon
    submission: broker_messages.Submission


class SendWithdrawal(typing.NamedTuple):
    """Withdraw a shard from a broker, since no client waits for it any more."""

    daemon: daemons.Daemon
    job_id: str
    shard: int


class SendStatement(typing.NamedTuple):
    """State to a broker which shards this gateway waits for."""

    daemon: daemons.Daemon
    statement: broker_messages.Statement


class Answer(typing.NamedTuple):
    """Answer a client's request with the outcome of its job."""

    reply_id: int
    job_id: str
    outcome: jobs.JobOutcome


class CountJob(typing.NamedTuple):
    """Count a job that has ended, by queue, size class and outcome."""

    queue: str
    size_class: job_sizes.SizeClass
    outcome: jobs.JobOutcome


Action = (
    SendShard
    | SendWithdrawal
    | SendStatement
    | Answer
    | CountJob
    | broker_messages.LogDecision
)


class _Shard:
    """A shard and the broker that it is assigned to.

    ``tasks`` is empty for all tasks of the job; ``is_resumed`` is true if an earlier
    broker may have started some of them. ``workers`` are those that its runs were
    ordered on, as far as reported; ``lost_since`` is when the broker became
    unreachable or said that it is no longer the holder, ``None`` before;
    ``has_moved`` is true in the second case.
    """

    def __init__(
        self, number: int, tasks: tuple[int, ...], broker: ReachableBroker
    ) -> None:
        self.number = number
        self.tasks = tasks
        self.broker = broker
        self.is_resumed = False
        self.is_done = False
        self.workers: set[str] = set()
        self.lost_since: datetime.datetime | None = None
        self.has_moved = False


class _WaitingJob:
    """A job with its shards and the client requests that wait for it."""

    def __init__(self, submission: broker_messages.Submission, reply_id: int) -> None:
        self.submission = submission
        self.reply_ids = [reply_id]
        self.shards: dict[int, _Shard] = {}
        self.avoided_data_centres: set[str] = set()
        self.size_class = job_sizes.SizeClass.USUAL

    @property
    def job_id(self) -> str:
        return self.submission.job.job_id

    @property
    def task_count(self) -> int:
        return sum(step.task_count for step in self.submission.job.steps)

    def due(self) -> datetime.datetime:
        """Return when the job is finished at the latest, whatever brokers say."""
        lost = [
            shard.lost_since + SUCCESSION_TIMEOUT
            for shard in self.shards.values()
            if shard.lost_since is not None and not shard.is_done
        ]
        return min([self.submission.deadline + ANSWER_MARGIN, *lost])

    def is_copy(self, submission: broker_messages.Submission) -> bool:
        """Return whether a submission is the same job, sent again by its client."""
        own = self.submission
        return submission.job == own.job and submission.queue.name == own.queue.name

    def is_complete(self) -> bool:
        """Return whether every task of the job is in a shard that is done."""
        done: set[int] = set()
        for shard in self.shards.values():
            if shard.is_done:
                done.update(shard.tasks or range(self.task_count))
        return len(done) == self.task_count

    def describe_shards(self) -> dict[int, str]:
        """Return the data centre, the tasks and the state of each shard, for logs."""
        return {
            number: f"{shard.broker.holder.data_centre}"
            f" tasks={len(shard.tasks) or self.task_count}"
            f" {'done' if shard.is_done else 'open'}"
            for number, shard in self.shards.items()
        }

    def submission_of(self, shard: _Shard, sequence: int) -> broker_messages.Submission:
        """Return the submission of a shard after some number of statements."""
        return self.submission._replace(
            shard=shard.number,
            tasks=shard.tasks,
            data_centre=shard.broker.holder.data_centre,
            is_resumed=shard.is_resumed,
            workers=tuple(sorted(shard.workers)) if shard.is_resumed else (),
            sequence=sequence,
            token=shard.broker.holder.token,
        )


class Gateway:
    """Jobs whose clients wait at this daemon.

    Parameters
    ----------
    me : daemons.Daemon
        This daemon.
    policy : str
        Name of the admission policy.
    random_state : int or None
        Seed of the random part of Retry-After; ``None`` for an arbitrary one.
    """

    def __init__(
        self,
        me: daemons.Daemon,
        policy: str = "yielding",
        random_state: int | None = None,
    ) -> None:
        self._me = me
        self._admission_policy = job_admission.admission_policies.get(policy)
        self._random = random.Random(random_state)
        self._jobs: dict[str, _WaitingJob] = {}
        self._shard_numbers = itertools.count()
        self._statement_count = 0
        self._brokers: dict[str, ReachableBroker] = {}
        self._capacity = planning.CapacityView(me.data_centre, me.vm)
        self._estimates = run_time_estimates.RunTimeEstimates()
        self._sizes = job_sizes.JobSizes()
        # No job is due before; the job that was due then may have been answered.
        self._next_due: datetime.datetime | None = None
        # By service; 0 is the highest priority.
        self._highest_priorities: dict[str, int] = {}

    def open_jobs(self) -> int:
        """Return the number of jobs that clients wait for."""
        return len(self._jobs)

    def next_due(self) -> datetime.datetime | None:
        """Return when ``tick`` may have something to do; ``None`` without jobs."""
        return self._next_due

    def _record_due(self, job: _WaitingJob) -> None:
        due = job.due()
        if self._next_due is None or due < self._next_due:
            self._next_due = due

    # Brokers

    def record_gateway_count(self, count: int) -> None:
        """Record how many gateways, this one included, plan on the same reports."""
        self._capacity.record_gateway_count(count)

    def record_load(
        self,
        daemon: daemons.Daemon,
        data_centre: str,
        service_loads: tuple[loads.ServiceLoad, ...],
        delay_ms: float = 0.0,
    ) -> None:
        """Record a daemon's report of the load of a data centre's workers.

        Ignored unless the daemon is the reachable broker of the data centre: tasks are
        planned only where they can be submitted.
        """
        broker = self._brokers.get(data_centre)
        if broker is not None and broker.daemon == daemon:
            self._capacity.record_load(data_centre, service_loads, delay_ms)

    def update_brokers(
        self, brokers: dict[str, ReachableBroker], now: datetime.datetime
    ) -> list[Action]:
        """Replace the reachable brokers; resubmit shards whose holder has changed.

        Parameters
        ----------
        brokers : dict of str to ReachableBroker
            Reachable broker of each data centre; those without one are absent.
        now : datetime.datetime
            Present instant.
        """
        if brokers == self._brokers:
            return []
        new = [x.daemon for k, x in brokers.items() if x != self._brokers.get(k)]
        self._brokers = dict(brokers)
        self._capacity.retain(self._brokers)
        out: list[Action] = []
        for job in self._jobs.values():
            for shard in job.shards.values():
                if not shard.is_done:
                    self._update_shard_broker(job, shard, now, out)
            self._record_due(job)
        # A new holder waits for the statements before it stops runs of earlier ones.
        out.extend(self.state_shards(dict.fromkeys(new)))
        return out

    def _update_shard_broker(
        self, job: _WaitingJob, shard: _Shard, now: datetime.datetime, out: list[Action]
    ) -> None:
        """Resubmit a shard to a newer holder; record since when there is no broker."""
        current = self._brokers.get(shard.broker.holder.data_centre)
        if current == shard.broker and not shard.has_moved:
            shard.lost_since = None
        elif current is not None and current.holder.token > shard.broker.holder.token:
            shard.broker = current
            shard.lost_since = None
            shard.has_moved = False
            shard.is_resumed = True
            out.append(
                _log("resubmitted", job, part=shard.number, to=current.daemon.vm,
                     token=current.holder.token, workers=sorted(shard.workers))
            )  # fmt: skip
            out.append(self._send(job, shard))
        elif shard.lost_since is None:
            shard.lost_since = now

    def resend_shards(self, daemon: daemons.Daemon) -> list[Action]:
        """Submit a broker's unfinished shards again; messages may have been lost."""
        return [
            self._send(job, shard)
            for job in self._jobs.values()
            for shard in job.shards.values()
            if shard.broker.daemon == daemon
            and not shard.is_done
            and not shard.has_moved
        ]

    def _send(self, job: _WaitingJob, shard: _Shard) -> SendShard:
        submission = job.submission_of(shard, self._statement_count)
        return SendShard(shard.broker.daemon, submission)

    def state_shards(
        self, receivers: collections.abc.Iterable[daemons.Daemon] | None = None
    ) -> list[Action]:
        """State to brokers which of their shards this gateway waits for.

        Parameters
        ----------
        receivers : iterable of daemons.Daemon, optional
            The daemons to state it to; by default all reachable brokers, and all
            daemons that have a shard.
        """
        numbers: dict[daemons.Daemon, list[int]] = {
            x.daemon: [] for x in self._brokers.values()
        }
        for job in self._jobs.values():
            for shard in job.shards.values():
                if not shard.is_done:
                    numbers.setdefault(shard.broker.daemon, []).append(shard.number)
        tokens: dict[daemons.Daemon, set[int]] = {}
        for broker in self._brokers.values():
            tokens.setdefault(broker.daemon, set()).add(broker.holder.token)
        self._statement_count += 1
        return [
            SendStatement(
                daemon,
                broker_messages.Statement(
                    self._statement_count,
                    frozenset(numbers.get(daemon, ())),
                    frozenset(tokens.get(daemon, ())),
                ),
            )
            for daemon in (numbers if receivers is None else receivers)
            if daemon != self._me
        ]

    # Jobs

    def handle_job(
        self,
        submission: broker_messages.Submission,
        reply_id: int,
        now: datetime.datetime,
    ) -> list[Action]:
        """Admit or refuse a client's job, or join it to the same job under way.

        Another job with the identifier of one under way is refused.

        Parameters
        ----------
        submission : broker_messages.Submission
            The job; its shard number and tasks are not used.
        reply_id : int
            Identifier of the client's request, returned in the ``Answer``.
        now : datetime.datetime
            Present instant.
        """
        known = self._jobs.get(submission.job.job_id)
        job = _WaitingJob(submission, reply_id)
        if known is not None and not known.is_copy(submission):
            reason = jobs.Reason.IDENTIFIER_IN_USE
            return self._refuse(job, reason, MIN_RETRY_AFTER)
        if known is not None:
            known.reply_ids.append(reply_id)
            return [_log("joined_call", known)]
        if submission.job.unsupported_features():
            return self._refuse(job, jobs.Reason.UNSUPPORTED, datetime.timedelta())
        if submission.deadline <= now:
            return self._refuse(job, jobs.Reason.TIMED_OUT, MIN_RETRY_AFTER)
        forecast = self._forecast(job, now)
        if forecast is None:
            return self._submit_whole(job)
        fields: dict[str, typing.Any] = {
            "queue": submission.queue.name,
            "size": job.size_class.value,
            "tasks": forecast.requirements.task_count,
            "length_ms": round(forecast.requirements.run_time_ms),
            "finish_ms": round(forecast.plan.finish_ms),
            "due_ms": round(forecast.requirements.target_finish_ms),
            "queued": forecast.plan.queued,
        }
        if not self._admission_policy(forecast):
            if forecast.exceeds_client_timeout:
                no_retry = datetime.timedelta()
                return self._refuse(job, jobs.Reason.TOO_LONG, no_retry, **fields)
            service = submission.queue.service
            retry_after = self._retry_after(service)
            fields["free"] = self._capacity.free_by_speed(
                service, forecast.requirements
            )
            return self._refuse(job, jobs.Reason.OVERLOADED, retry_after, **fields)
        self._capacity.occupy(
            submission.queue.service, forecast.requirements, forecast.plan
        )
        out: list[Action] = [
            _log("routed", job, shares=forecast.plan.tasks_by_data_centre, **fields)
        ]
        self._add_shards(job, self._split(job, forecast.plan.tasks_by_data_centre), out)
        self._jobs[job.job_id] = job
        self._record_due(job)
        return out

    def _forecast(
        self, job: _WaitingJob, now: datetime.datetime
    ) -> job_admission.Forecast | None:
        """Return a job's forecast; ``None`` if no load is known for its service."""
        submission = job.submission
        queue, steps = submission.queue, submission.job.steps
        for step in steps:
            self._estimates.record_estimate(queue.name, step)
        run_time = max(self._estimates.estimate(queue.name, step) for step in steps)
        objective_ms = run_time.expected_ms * queue.stretch + clock.to_milliseconds(
            queue.objective
        )
        requirements = planning.Requirements(
            sum(step.task_count for step in steps),
            max((step.resources for step in steps), key=lambda x: x.processor_milli),
            run_time.expected_ms,
            run_time.upper_bound_ms,
            objective_ms,
            clock.to_milliseconds(submission.deadline - now),
        )
        work = sum(
            self._estimates.expected_ms(queue.name, step)
            * step.task_count
            * step.resources.processor_milli
            for step in steps
        )
        job.size_class = self._sizes.classify(queue.name, work)
        plan = self._capacity.plan(
            queue.service, requirements, job.avoided_data_centres
        )
        if plan is None:
            return None
        highest_speed = self._capacity.highest_speed(queue.service)
        min_run_time_ms = run_time.lower_bound_ms / highest_speed
        highest_priority = self._highest_priorities.get(queue.service, queue.priority)
        self._highest_priorities[queue.service] = min(highest_priority, queue.priority)
        return job_admission.Forecast(
            requirements, plan, min_run_time_ms, queue.priority > highest_priority
        )

    def _submit_whole(self, job: _WaitingJob) -> list[Action]:
        """Submit a whole job to the broker of the gateway's own data centre.

        Used while no load is known.
        """
        home = self._me.data_centre
        if home not in self._brokers or home in job.avoided_data_centres:
            return self._refuse(job, jobs.Reason.NO_BROKER, NO_BROKER_RETRY_AFTER)
        out: list[Action] = [_log("routed", job, shares={home: 0})]
        self._add_shards(job, {home: ()}, out)
        self._jobs[job.job_id] = job
        self._record_due(job)
        return out

    def _split(
        self, job: _WaitingJob, tasks_by_data_centre: dict[str, int]
    ) -> dict[str, tuple[int, ...]]:
        """Return the numbers of the tasks for each data centre; empty for all tasks.

        A job of several steps stays whole and goes to the data centre with the most
        tasks.
        """
        if len(job.submission.job.steps) > 1:
            data_centre = max(
                tasks_by_data_centre,
                key=lambda x: (tasks_by_data_centre[x], x == self._me.data_centre),
            )
            return {data_centre: ()}
        remaining = iter(range(job.task_count))
        return {
            data_centre: tuple(itertools.islice(remaining, count))
            for data_centre, count in tasks_by_data_centre.items()
        }

    def _add_shards(
        self,
        job: _WaitingJob,
        tasks_by_data_centre: dict[str, tuple[int, ...]],
        out: list[Action],
    ) -> None:
        """Add shards to a job and submit them: all of them, or none on an exception."""
        shards = [
            # Never reused: brokers cache outcomes of shards of a job's earlier copies.
            _Shard(next(self._shard_numbers), tasks, self._brokers[data_centre])
            for data_centre, tasks in tasks_by_data_centre.items()
        ]
        for shard in shards:
            job.shards[shard.number] = shard
            out.append(self._send(job, shard))

    def _refuse(
        self,
        job: _WaitingJob,
        reason: jobs.Reason,
        retry_after: datetime.timedelta,
        **fields: typing.Any,
    ) -> list[Action]:
        outcome = jobs.JobOutcome(jobs.Verdict.REFUSED, reason, retry_after)
        return [
            _log("refused", job, reason=reason.value, **fields),
            _count(job, outcome),
            *(Answer(reply_id, job.job_id, outcome) for reply_id in job.reply_ids),
        ]

    def _retry_after(self, service: str) -> datetime.timedelta:
        backlog = clock.milliseconds(self._capacity.backlog_ms(service))
        jitter = datetime.timedelta(seconds=self._random.uniform(0, RETRY_SPREAD_S))
        return MIN_RETRY_AFTER + backlog + jitter

    # Outcomes

    def record_started_workers(
        self, daemon: daemons.Daemon, job_id: str, number: int, workers: tuple[str, ...]
    ) -> None:
        """Record the names of workers that a broker has ordered a shard's runs on.

        Parameters
        ----------
        daemon : daemons.Daemon
            Daemon of the broker.
        job_id : str
            Identifier of the job.
        number : int
            Number of the shard.
        workers : tuple of str
            Names of the workers.
        """
        job = self._jobs.get(job_id)
        shard = job.shards.get(number) if job is not None else None
        if shard is not None and shard.broker.daemon == daemon:
            shard.workers.update(workers)

    def handle_outcome(
        self,
        daemon: daemons.Daemon,
        job_id: str,
        number: int,
        outcome: jobs.JobOutcome,
        now: datetime.datetime,
        token: int = 0,
    ) -> list[Action]:
        """Process a broker's outcome of a shard; an outdated one is ignored.

        Parameters
        ----------
        daemon : daemons.Daemon
            Daemon of the broker.
        job_id : str
            Identifier of the job.
        number : int
            Number of the shard.
        outcome : jobs.JobOutcome
            Outcome of the shard.
        now : datetime.datetime
            Present instant.
        token : int
            Token of the submission that a ``NOT_HOLDER`` answers.
        """
        job = self._jobs.get(job_id)
        shard = job.shards.get(number) if job is not None else None
        if job is None or shard is None or shard.broker.daemon != daemon:
            return []
        if shard.is_done:
            return []
        if outcome.verdict is jobs.Verdict.COMPLETED:
            shard.is_done = True
            return self._answer(job, outcome) if job.is_complete() else []
        if outcome.verdict is jobs.Verdict.REFUSED:
            return self._handle_refused_shard(job, shard, outcome)
        if outcome.reason is jobs.Reason.NOT_HOLDER:
            is_current = token == shard.broker.holder.token
            return self._handle_moved_shard(job, shard, now) if is_current else []
        return self._finish(job, outcome, shard)

    def _handle_moved_shard(
        self, job: _WaitingJob, shard: _Shard, now: datetime.datetime
    ) -> list[Action]:
        """Let a shard wait for a newer holder; its tasks may have runs.

        It counts from the first time at which its broker was missed.
        """
        if shard.has_moved:
            return []
        shard.has_moved = shard.is_resumed = True
        if shard.lost_since is None:
            shard.lost_since = now
        self._record_due(job)
        return [_log("awaits_holder", job, part=shard.number)]

    def _handle_refused_shard(
        self, job: _WaitingJob, shard: _Shard, outcome: jobs.JobOutcome
    ) -> list[Action]:
        """Submit a shard that has not run to another broker, if there is one.

        Otherwise the job is finished; ``REFUSED`` turns into ``UNKNOWN`` if tasks of
        the job may have run.
        """
        data_centre = shard.broker.holder.data_centre
        is_only_shard = len(job.shards) == 1
        may_have_run = shard.is_resumed or bool(shard.workers)
        if may_have_run or outcome.reason is not jobs.Reason.NO_WORKERS:
            if not is_only_shard or may_have_run:
                outcome = outcome._replace(verdict=jobs.Verdict.UNKNOWN)
            return self._finish(job, outcome, shard)
        job.avoided_data_centres.add(data_centre)
        others = [x for x in self._brokers if x not in job.avoided_data_centres]
        if not others:
            if not is_only_shard:
                outcome = outcome._replace(verdict=jobs.Verdict.UNKNOWN)
            return self._finish(job, outcome, shard)
        out: list[Action] = [
            _log("rerouted", job, part=shard.number, refused_by=data_centre)
        ]
        # A new number: late messages about the refused shard must not match this one.
        self._add_shards(job, {min(others): shard.tasks}, out)
        del job.shards[shard.number]
        return out

    def _finish(
        self, job: _WaitingJob, outcome: jobs.JobOutcome, excluded: _Shard | None = None
    ) -> list[Action]:
        """Answer a job and withdraw its unfinished shards, except ``excluded``."""
        withdrawals = [
            SendWithdrawal(shard.broker.daemon, job.job_id, shard.number)
            for shard in job.shards.values()
            if shard is not excluded and not shard.is_done
        ]
        return [*withdrawals, *self._answer(job, outcome)]

    def handle_client_left(self, job_id: str, reply_id: int) -> list[Action]:
        """Remove a client that has disconnected; withdraw a job without clients."""
        job = self._jobs.get(job_id)
        if job is None or reply_id not in job.reply_ids:
            return []
        job.reply_ids.remove(reply_id)
        if job.reply_ids:
            return []
        outcome = jobs.JobOutcome(jobs.Verdict.UNKNOWN, jobs.Reason.WITHDRAWN)
        return self._finish(job, outcome)

    def abandon(self, job_id: str, reply_id: int) -> list[Action]:
        """Answer a client whose request could not be handled; its job ends as unknown.

        Other clients that wait for the same job get the same answer.
        """
        outcome = jobs.JobOutcome(jobs.Verdict.UNKNOWN, jobs.Reason.INTERNAL_ERROR)
        job = self._jobs.get(job_id)
        if job is None:
            return [Answer(reply_id, job_id, outcome)]
        if reply_id not in job.reply_ids:
            job.reply_ids.append(reply_id)
        return self._finish(job, outcome)

    def tick(self, now: datetime.datetime) -> list[Action]:
        """Finish jobs whose deadline has passed or whose broker stays unreachable."""
        out: list[Action] = []
        if self._next_due is None or now < self._next_due:
            return out
        self._next_due = None
        for job in list(self._jobs.values()):
            if now < job.due():
                self._record_due(job)
                continue
            is_late = now >= job.submission.deadline + ANSWER_MARGIN
            reason = jobs.Reason.TIMED_OUT if is_late else jobs.Reason.BROKER_LOST
            out.extend(self._finish(job, jobs.JobOutcome(jobs.Verdict.UNKNOWN, reason)))
        return out

    def _answer(self, job: _WaitingJob, outcome: jobs.JobOutcome) -> list[Action]:
        del self._jobs[job.job_id]
        out: list[Action] = [
            _log(
                "answered",
                job,
                verdict=outcome.verdict.value,
                reason=outcome.reason.value,
                queue=job.submission.queue.name,
                size=job.size_class.value,
                tasks=job.task_count,
                parts=job.describe_shards(),
            ),
            _count(job, outcome),
        ]
        for reply_id in job.reply_ids:
            out.append(Answer(reply_id, job.job_id, outcome))
        return out


def _count(job: _WaitingJob, outcome: jobs.JobOutcome) -> CountJob:
    return CountJob(job.submission.queue.name, job.size_class, outcome)


def _log(
    name: str, job: _WaitingJob, **fields: typing.Any
) -> broker_messages.LogDecision:
    return broker_messages.LogDecision(name, job.job_id, fields)
