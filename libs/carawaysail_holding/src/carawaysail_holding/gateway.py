"""The gateway of a daemon: looks after the jobs whose clients wait here.

Each job is with one broker at a time. A broker that is replaced is followed: the job
is handed to the next holder of the same workers, which finds what runs of it. It is
never handed to other workers once its broker may have begun it.
"""

import datetime
import typing

from carawaysail_holding import broker, events
from carawaysail_types import clock, daemons, jobs

AWAY_PENALTY = clock.milliseconds(4)
"""Preference for the own data centre: a round trip to another one."""

SUCCESSION = clock.milliseconds(900)
"""How long a job waits for the next holder of its workers: a silent holder's are
taken over within this."""


class Target(typing.NamedTuple):
    """A broker that jobs can be handed to.

    Parameters
    ----------
    tenure : daemons.Tenure
        The tenure it works under.
    daemon : daemons.Daemon
        The daemon.
    """

    tenure: daemons.Tenure
    daemon: daemons.Daemon


class SendJob(typing.NamedTuple):
    """Hand a job to a broker."""

    daemon: daemons.Daemon
    submission: events.Submission


class SendWithdrawal(typing.NamedTuple):
    """Tell a broker that nobody waits for a job any more."""

    daemon: daemons.Daemon
    job_id: str


class Answer(typing.NamedTuple):
    """Answer a client."""

    reply: int
    job_id: str
    outcome: jobs.JobOutcome


Action = SendJob | SendWithdrawal | Answer | events.Note


class _Call:
    def __init__(self, submission: events.Submission, reply: int) -> None:
        self.submission = submission
        self.replies = [reply]
        self.target: Target | None = None
        self.lost_since: datetime.datetime | None = None


class Gateway:
    """Jobs whose clients wait at this daemon.

    Parameters
    ----------
    me : daemons.Daemon
        This daemon.
    """

    def __init__(self, me: daemons.Daemon) -> None:
        self._me = me
        self._calls: dict[str, _Call] = {}
        self._targets: dict[str, Target] = {}
        self._loads: dict[tuple[str, str], broker.Load] = {}

    def open_calls(self) -> int:
        """Return how many jobs have clients that wait."""
        return len(self._calls)

    def targets(self) -> tuple[Target, ...]:
        """Return the brokers that jobs can be handed to."""
        return tuple(self._targets.values())

    def took_load(self, data_centre: str, loads: tuple[broker.Load, ...]) -> None:
        """Take how busy a data centre's workers are."""
        for load in loads:
            self._loads[data_centre, load.service] = load

    def took_targets(
        self, targets: dict[str, Target], now: datetime.datetime
    ) -> list[Action]:
        """Take which brokers can be reached; hand jobs on to new holders.

        Parameters
        ----------
        targets : dict of str to Target
            Reachable broker of each data centre.
        now : datetime.datetime
            Present instant.
        """
        if targets == self._targets:
            return []
        self._targets = dict(targets)
        out: list[Action] = []
        for call in list(self._calls.values()):
            self._follow(call, now, out)
        return out

    def _follow(self, call: _Call, now: datetime.datetime, out: list[Action]) -> None:
        if call.target is None:
            return
        present = self._targets.get(call.target.tenure.data_centre)
        if present == call.target:
            call.lost_since = None
        elif present is not None and present.tenure.token > call.target.tenure.token:
            call.target = present
            call.lost_since = None
            resumed = call.submission._replace(is_resumed=True)
            call.submission = resumed
            out.append(
                _note("resubmitted", call, to=present.daemon.vm,
                      token=present.tenure.token)
            )  # fmt: skip
            out.append(SendJob(present.daemon, resumed))
        elif call.lost_since is None:
            call.lost_since = now

    def posted(
        self, submission: events.Submission, reply: int, now: datetime.datetime
    ) -> list[Action]:
        """Take a job from a client.

        Parameters
        ----------
        submission : events.Submission
            The job.
        reply : int
            Names the client's request in the answer.
        now : datetime.datetime
            Present instant.
        """
        job_id = submission.job.job_id
        known = self._calls.get(job_id)
        if known is not None:
            known.replies.append(reply)
            return [_note("joined_call", known)]
        call = _Call(submission, reply)
        target = self._choose(submission)
        if target is None:
            reason = jobs.Reason.NO_BROKER
            outcome = jobs.JobOutcome(jobs.Verdict.REFUSED, reason, RETURN_AFTER_LOSS)
            return [_note("refused", call, reason=reason.value),
                    Answer(reply, job_id, outcome)]  # fmt: skip
        call.target = target
        self._calls[job_id] = call
        return [
            _note("routed", call, to=target.tenure.data_centre, vm=target.daemon.vm),
            SendJob(target.daemon, submission),
        ]

    def _choose(self, submission: events.Submission) -> Target | None:
        """Return the broker where the job is expected to wait least."""
        best: tuple[datetime.timedelta, str] | None = None
        for place in self._targets:
            wait = self._expected_wait(place, submission)
            if wait is not None and (best is None or (wait, place) < best):
                best = (wait, place)
        if best is None:
            return self._targets.get(self._me.data_centre)
        self._charge(best[1], submission)
        return self._targets[best[1]]

    def _expected_wait(
        self, place: str, submission: events.Submission
    ) -> datetime.timedelta | None:
        load = self._loads.get((place, submission.queue.service))
        if load is None or not load.room_milli:
            return None
        wait = clock.milliseconds(max(0.0, load.wait_ms))
        shortage = max(0, _needs(submission.job) - load.free_milli)
        wait += _length(submission.job) * (shortage / load.room_milli)
        if place != self._me.data_centre:
            wait += AWAY_PENALTY
        return wait

    def _charge(self, place: str, submission: events.Submission) -> None:
        """Count a job as taken until the broker's next report."""
        key = (place, submission.queue.service)
        load = self._loads[key]
        needs = _needs(submission.job)
        shortage = max(0, needs - load.free_milli)
        more = _length(submission.job) * (shortage / load.room_milli)
        self._loads[key] = load._replace(
            free_milli=max(0, load.free_milli - needs),
            wait_ms=load.wait_ms + clock.to_milliseconds(more),
        )

    def replied(
        self, daemon: daemons.Daemon, job_id: str, outcome: jobs.JobOutcome
    ) -> list[Action]:
        """Take what a broker says of a job."""
        call = self._calls.get(job_id)
        if call is None or call.target is None or call.target.daemon != daemon:
            return []
        if outcome.verdict is jobs.Verdict.REFUSED and call.submission.is_resumed:
            outcome = outcome._replace(verdict=jobs.Verdict.UNKNOWN)
        return self._answer(call, outcome)

    def reconnected(self, daemon: daemons.Daemon) -> list[Action]:
        """Send again what is with a broker: messages may have been lost."""
        return [
            SendJob(daemon, call.submission)
            for call in self._calls.values()
            if call.target is not None and call.target.daemon == daemon
        ]

    def client_left(self, job_id: str, reply: int) -> list[Action]:
        """Take note that a client has gone; withdraw a job nobody waits for."""
        call = self._calls.get(job_id)
        if call is None or reply not in call.replies:
            return []
        call.replies.remove(reply)
        if call.replies:
            return []
        del self._calls[job_id]
        out: list[Action] = [_note("client_left", call)]
        if call.target is not None:
            out.append(SendWithdrawal(call.target.daemon, job_id))
        return out

    def tick(self, now: datetime.datetime) -> list[Action]:
        """Answer calls whose time is up or whose broker stays away."""
        out: list[Action] = []
        for call in list(self._calls.values()):
            lost = call.lost_since
            if now >= call.submission.deadline + ANSWER_MARGIN:
                reason = jobs.Reason.TIMED_OUT
            elif lost is not None and now - lost > SUCCESSION:
                reason = jobs.Reason.BROKER_LOST
            else:
                continue
            target = call.target
            out.extend(
                self._answer(call, jobs.JobOutcome(jobs.Verdict.UNKNOWN, reason))
            )
            if target is not None:
                out.append(SendWithdrawal(target.daemon, call.submission.job.job_id))
        return out

    def _answer(self, call: _Call, outcome: jobs.JobOutcome) -> list[Action]:
        del self._calls[call.submission.job.job_id]
        out: list[Action] = [
            _note(
                "answered",
                call,
                verdict=outcome.verdict.value,
                reason=outcome.reason.value,
            )  # fmt: skip
        ]
        for reply in call.replies:
            out.append(Answer(reply, call.submission.job.job_id, outcome))
        return out


RETURN_AFTER_LOSS = clock.milliseconds(2000)
"""A data centre without a broker has one again within this."""

ANSWER_MARGIN = clock.milliseconds(20)
"""Time for the broker's own answer at the deadline to arrive first."""


def _needs(job: jobs.Job) -> int:
    first = [step for step in job.steps if not step.after]
    return sum(step.width * step.room.processor_milli for step in first)


def _length(job: jobs.Job) -> datetime.timedelta:
    return max((step.estimate for step in job.steps), default=datetime.timedelta())


def _note(name: str, call: _Call, **fields: typing.Any) -> events.Note:
    return events.Note(name, call.submission.job.job_id, fields)
