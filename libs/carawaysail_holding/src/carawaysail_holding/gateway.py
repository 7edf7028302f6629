"""The gateway of a daemon: looks after the jobs whose clients wait here.

A job is shared out in parts, each with one broker at a time. A broker that is replaced
is followed: its parts are handed to the next holder of the same workers, which finds
what runs of them. A part is never handed to other workers once it may have begun.
"""

import datetime
import itertools
import random
import typing

from carawaysail_holding import (
    broker_messages,
    job_admission,
    loads,
    planning,
    run_time_estimates,
)
from carawaysail_types import clock, daemons, jobs

SUCCESSION_TIMEOUT = clock.milliseconds(900)
"""How long a part waits for the next holder of its workers: a silent holder's are
taken over within this."""

RETURN_AFTER_LOSS = clock.milliseconds(2000)
"""A data centre without a broker has one again within this."""

ANSWER_MARGIN = clock.milliseconds(20)
"""Time for the broker's own answer at the deadline to arrive first."""

LEAST_RETURN = clock.milliseconds(1000)
"""A refused client comes back after at least this: the least whole second."""

RETURN_SPREAD_S = 2.0
"""Refused clients are spread over so many seconds, not to come back together."""


class ReachableBroker(typing.NamedTuple):
    """A broker that parts can be handed to.

    Parameters
    ----------
    tenure : daemons.Holder
        The tenure it works under.
    daemon : daemons.Daemon
        The daemon.
    """

    holder: daemons.Holder
    daemon: daemons.Daemon


class SendShard(typing.NamedTuple):
    """Hand a part to a broker."""

    daemon: daemons.Daemon
    submission: broker_messages.Submission


class SendWithdrawal(typing.NamedTuple):
    """Tell a broker that nobody waits for a part any more."""

    daemon: daemons.Daemon
    job_id: str
    shard: int


class Answer(typing.NamedTuple):
    """Answer a client."""

    reply: int
    job_id: str
    outcome: jobs.JobOutcome


Action = SendShard | SendWithdrawal | Answer | broker_messages.LogDecision


class _Part:
    def __init__(
        self, number: int, tasks: tuple[int, ...], target: ReachableBroker
    ) -> None:
        self.number = number
        self.tasks = tasks
        self.target = target
        self.is_resumed = False
        self.is_done = False
        self.workers: set[str] = set()
        self.lost_since: datetime.datetime | None = None


class _Call:
    def __init__(self, submission: broker_messages.Submission, reply: int) -> None:
        self.submission = submission
        self.replies = [reply]
        self.parts: dict[int, _Part] = {}
        self.avoided: set[str] = set()

    @property
    def job_id(self) -> str:
        return self.submission.job.job_id

    def submission_of(self, part: _Part) -> broker_messages.Submission:
        return self.submission._replace(
            shard=part.number,
            tasks=part.tasks,
            data_centre=part.target.holder.data_centre,
            is_resumed=part.is_resumed,
            workers=tuple(sorted(part.workers)) if part.is_resumed else (),
        )


class Gateway:
    """Jobs whose clients wait at this daemon.

    Parameters
    ----------
    me : daemons.Daemon
        This daemon.
    policy : str
        Name of the admission policy.
    random_state : int
        Seeds the spread of refused clients' return.
    """

    def __init__(
        self,
        me: daemons.Daemon,
        policy: str = "yielding",
        random_state: int | None = None,
    ) -> None:
        self._me = me
        self._admits = job_admission.admission_policies.get(policy)
        self._random = random.Random(random_state)
        self._calls: dict[str, _Call] = {}
        self._part_numbers = itertools.count()
        self._targets: dict[str, ReachableBroker] = {}
        self._board = planning.CapacityView(me.data_centre)
        self._lengths = run_time_estimates.RunTimeEstimates()
        self._first_priorities: dict[str, int] = {}

    def open_calls(self) -> int:
        """Return how many jobs have clients that wait."""
        return len(self._calls)

    # Brokers

    def record_load(
        self, data_centre: str, found: tuple[loads.ServiceLoad, ...]
    ) -> None:
        """Take how busy a data centre's workers are."""
        self._board.record_load(data_centre, found)

    def update_brokers(
        self, targets: dict[str, ReachableBroker], now: datetime.datetime
    ) -> list[Action]:
        """Take which brokers can be reached; hand parts on to new holders.

        Parameters
        ----------
        targets : dict of str to ReachableBroker
            Reachable broker of each data centre.
        now : datetime.datetime
            Present instant.
        """
        if targets == self._targets:
            return []
        self._targets = dict(targets)
        self._board.retain(self._targets)
        out: list[Action] = []
        for call in self._calls.values():
            for part in call.parts.values():
                if not part.is_done:
                    self._follow(call, part, now, out)
        return out

    def _follow(
        self, call: _Call, part: _Part, now: datetime.datetime, out: list[Action]
    ) -> None:
        present = self._targets.get(part.target.holder.data_centre)
        if present == part.target:
            part.lost_since = None
        elif present is not None and present.holder.token > part.target.holder.token:
            part.target = present
            part.lost_since = None
            part.is_resumed = True
            out.append(
                _note("resubmitted", call, part=part.number, to=present.daemon.vm,
                      token=present.holder.token)
            )  # fmt: skip
            out.append(SendShard(present.daemon, call.submission_of(part)))
        elif part.lost_since is None:
            part.lost_since = now

    def resend_shards(self, daemon: daemons.Daemon) -> list[Action]:
        """Send again what is with a broker: messages may have been lost."""
        return [
            SendShard(daemon, call.submission_of(part))
            for call in self._calls.values()
            for part in call.parts.values()
            if part.target.daemon == daemon and not part.is_done
        ]

    # Jobs

    def handle_job(
        self, submission: broker_messages.Submission, reply: int, now: datetime.datetime
    ) -> list[Action]:
        """Take a job from a client, or refuse it.

        Parameters
        ----------
        submission : events.Submission
            The job.
        reply : int
            Names the client's request in the answer.
        now : datetime.datetime
            Present instant.
        """
        known = self._calls.get(submission.job.job_id)
        if known is not None:
            known.replies.append(reply)
            return [_note("joined_call", known)]
        call = _Call(submission, reply)
        if submission.job.unsupported_features():
            return self._refuse(call, jobs.Reason.UNSUPPORTED, datetime.timedelta())
        prospect = self._prospect(call)
        if prospect is None:
            return self._submit_whole(call)
        fields = {
            "queue": submission.queue.name,
            "tasks": prospect.need.width,
            "length_ms": round(prospect.need.run_time_ms),
            "finish_ms": round(prospect.plan.finish_ms),
            "due_ms": round(prospect.need.target_finish_ms),
            "queued": prospect.plan.queued,
        }
        if not self._admits(prospect):
            if prospect.exceeds_client_timeout:
                never = datetime.timedelta()
                return self._refuse(call, jobs.Reason.TOO_LONG, never, **fields)
            after = self._return_after(submission.queue.service)
            return self._refuse(call, jobs.Reason.OVERLOADED, after, **fields)
        out: list[Action] = [
            _note("routed", call, shares=prospect.plan.tasks_by_data_centre, **fields)
        ]
        self._calls[call.job_id] = call
        width = sum(step.task_count for step in submission.job.steps)
        self._share_out(
            call, tuple(range(width)), prospect.plan.tasks_by_data_centre, out
        )
        return out

    def _prospect(self, call: _Call) -> job_admission.Forecast | None:
        """Return what a job can expect; ``None`` if no load is known."""
        submission = call.submission
        queue, steps = submission.queue, submission.job.steps
        for step in steps:
            self._lengths.record_estimate(queue.name, step)
        length = max(self._lengths.estimate(queue.name, step) for step in steps)
        due = length.expected * queue.stretch + queue.objective
        need = planning.Requirements(
            sum(step.task_count for step in steps),
            max((step.resources for step in steps), key=lambda x: x.processor_milli),
            clock.to_milliseconds(length.expected),
            clock.to_milliseconds(length.upper_bound),
            clock.to_milliseconds(due),
            clock.to_milliseconds(submission.deadline - submission.arrived),
        )
        plan = self._board.plan(queue.service, need, call.avoided)
        if plan is None:
            return None
        least = clock.to_milliseconds(length.lower_bound)
        least_ms = least / self._board.highest_speed(queue.service)
        first = self._first_priorities.get(queue.service, queue.priority)
        self._first_priorities[queue.service] = min(first, queue.priority)
        return job_admission.Forecast(need, plan, least_ms, queue.priority > first)

    def _submit_whole(self, call: _Call) -> list[Action]:
        """Hand a job to the own data centre's broker where no load is known."""
        home = self._me.data_centre
        if home not in self._targets or home in call.avoided:
            return self._refuse(call, jobs.Reason.NO_BROKER, RETURN_AFTER_LOSS)
        self._calls[call.job_id] = call
        out: list[Action] = [_note("routed", call, shares={home: 0})]
        self._add_part(call, (), home, out)
        return out

    def _share_out(
        self,
        call: _Call,
        tasks: tuple[int, ...],
        shares: dict[str, int],
        out: list[Action],
    ) -> None:
        """Hand tasks to brokers; jobs of several steps stay whole."""
        if len(call.submission.job.steps) > 1:
            data_centre = max(
                shares, key=lambda x: (shares[x], x == self._me.data_centre)
            )
            self._add_part(call, (), data_centre, out)
            return
        rest = tasks
        for data_centre, count in shares.items():
            self._add_part(call, rest[:count], data_centre, out)
            rest = rest[count:]

    def _add_part(
        self, call: _Call, tasks: tuple[int, ...], data_centre: str, out: list[Action]
    ) -> None:
        # Never used again: brokers remember parts of earlier copies of a job.
        number = next(self._part_numbers)
        part = call.parts[number] = _Part(number, tasks, self._targets[data_centre])
        out.append(SendShard(part.target.daemon, call.submission_of(part)))

    def _refuse(
        self,
        call: _Call,
        reason: jobs.Reason,
        after: datetime.timedelta,
        **fields: typing.Any,
    ) -> list[Action]:
        outcome = jobs.JobOutcome(jobs.Verdict.REFUSED, reason, after)
        return [
            _note("refused", call, reason=reason.value, **fields),
            *(Answer(reply, call.job_id, outcome) for reply in call.replies),
        ]

    def _return_after(self, service: str) -> datetime.timedelta:
        backlog = clock.milliseconds(self._board.backlog_ms(service))
        spread = datetime.timedelta(seconds=self._random.uniform(0, RETURN_SPREAD_S))
        return LEAST_RETURN + backlog + spread

    # Outcomes

    def record_started_workers(
        self, daemon: daemons.Daemon, job_id: str, number: int, found: tuple[str, ...]
    ) -> None:
        """Take note of the workers that a part was begun on."""
        call = self._calls.get(job_id)
        part = call.parts.get(number) if call is not None else None
        if part is not None and part.target.daemon == daemon:
            part.workers.update(found)

    def handle_outcome(
        self,
        daemon: daemons.Daemon,
        job_id: str,
        number: int,
        outcome: jobs.JobOutcome,
    ) -> list[Action]:
        """Take what a broker says of a part."""
        call = self._calls.get(job_id)
        part = call.parts.get(number) if call is not None else None
        if call is None or part is None or part.target.daemon != daemon:
            return []
        if part.is_done:
            return []
        if outcome.verdict is jobs.Verdict.COMPLETED:
            part.is_done = True
            is_complete = all(x.is_done for x in call.parts.values())
            return self._answer(call, outcome) if is_complete else []
        if outcome.verdict is jobs.Verdict.REFUSED:
            return self._part_refused(call, part, outcome)
        return self._end(call, outcome, part)

    def _part_refused(
        self, call: _Call, part: _Part, outcome: jobs.JobOutcome
    ) -> list[Action]:
        """Hand a part that has not run to another broker, if there is one."""
        data_centre = part.target.holder.data_centre
        is_whole = len(call.parts) == 1
        if part.is_resumed or outcome.reason is not jobs.Reason.NO_WORKERS:
            if not is_whole or part.is_resumed:
                outcome = outcome._replace(verdict=jobs.Verdict.UNKNOWN)
            return self._end(call, outcome, part)
        call.avoided.add(data_centre)
        others = [x for x in self._targets if x not in call.avoided]
        if not others:
            if not is_whole:
                outcome = outcome._replace(verdict=jobs.Verdict.UNKNOWN)
            return self._end(call, outcome, part)
        # A number of its own: late messages of the refused part must not meet it.
        del call.parts[part.number]
        out: list[Action] = [
            _note("rerouted", call, part=part.number, refused_by=data_centre)
        ]
        self._add_part(call, part.tasks, min(others), out)
        return out

    def _end(
        self, call: _Call, outcome: jobs.JobOutcome, but: _Part | None = None
    ) -> list[Action]:
        """Answer a call and withdraw what is still under way."""
        withdrawals = [
            SendWithdrawal(part.target.daemon, call.job_id, part.number)
            for part in call.parts.values()
            if part is not but and not part.is_done
        ]
        return [*withdrawals, *self._answer(call, outcome)]

    def handle_client_left(self, job_id: str, reply: int) -> list[Action]:
        """Take note that a client has gone; withdraw a job nobody waits for."""
        call = self._calls.get(job_id)
        if call is None or reply not in call.replies:
            return []
        call.replies.remove(reply)
        if call.replies:
            return []
        outcome = jobs.JobOutcome(jobs.Verdict.UNKNOWN, jobs.Reason.WITHDRAWN)
        return self._end(call, outcome)

    def tick(self, now: datetime.datetime) -> list[Action]:
        """Answer calls whose time is up or whose broker stays away."""
        out: list[Action] = []
        for call in list(self._calls.values()):
            if now >= call.submission.deadline + ANSWER_MARGIN:
                reason = jobs.Reason.TIMED_OUT
            elif any(_is_lost(part, now) for part in call.parts.values()):
                reason = jobs.Reason.BROKER_LOST
            else:
                continue
            out.extend(self._end(call, jobs.JobOutcome(jobs.Verdict.UNKNOWN, reason)))
        return out

    def _answer(self, call: _Call, outcome: jobs.JobOutcome) -> list[Action]:
        del self._calls[call.job_id]
        out: list[Action] = [
            _note(
                "answered",
                call,
                verdict=outcome.verdict.value,
                reason=outcome.reason.value,
            )  # fmt: skip
        ]
        for reply in call.replies:
            out.append(Answer(reply, call.job_id, outcome))
        return out


def _is_lost(part: _Part, now: datetime.datetime) -> bool:
    since = part.lost_since
    return not part.is_done and since is not None and now - since > SUCCESSION_TIMEOUT


def _note(name: str, call: _Call, **fields: typing.Any) -> broker_messages.LogDecision:
    return broker_messages.LogDecision(name, call.job_id, fields)
