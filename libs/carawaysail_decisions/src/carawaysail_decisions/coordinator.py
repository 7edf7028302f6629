"""The desk: binds submissions, places them, and remembers their outcomes.

It joins the register of submissions and the dispatcher, so that nothing is placed
that is not bound here, and every outcome is remembered before it is told.
"""

import datetime
import typing

from carawaysail_decisions import dispatcher, events, ownership, submission_status
from carawaysail_types import identifiers, outcomes, work


class SubmitResult(typing.NamedTuple):
    """What follows from a submission.

    Parameters
    ----------
    standing : standing.Standing
        How it stands now; ``under_way`` means that an ``Answer`` will follow.
    actions : list of events.Action
        What to do.
    """

    submission_status: submission_status.SubmissionStatus
    actions: list[events.Action]


class Coordinator:
    """One daemon's register and dispatcher.

    Parameters
    ----------
    register : ownership.OwnershipRegister
        Submissions bound here.
    placer : dispatcher.Dispatcher
        Places them.
    """

    def __init__(
        self, register: ownership.OwnershipRegister, placer: dispatcher.Dispatcher
    ) -> None:
        self.register = register
        self.dispatcher = placer

    def submit(
        self,
        submission: work.Submission,
        limits: events.Limits,
        is_orphan: bool,
        now: datetime.datetime,
    ) -> SubmitResult:
        """Take a copy of a submission.

        Parameters
        ----------
        submission : work.Submission
            The submission.
        limits : events.Limits
            Settings of its service.
        is_orphan : bool
            Whether it is the only copy for a lost owner, to be bound here.
        now : datetime.datetime
            The present instant.

        Raises
        ------
        carawaysail_types.errors.BadInputError
            If its identifier was never given out.
        """
        sid, digest = submission.submission_id, submission.digest
        if is_orphan or self.register.has_orphan(sid):
            verdict = self.register.bind_orphan(sid, digest, now)
        else:
            verdict = self.register.bind(sid, digest, now)
        if not isinstance(verdict, ownership.New):
            return SubmitResult(_standing(verdict), [])
        actions = self.handle(events.SubmissionReceived(submission, limits), now)
        return SubmitResult(submission_status.IN_PROGRESS, actions)

    def status_of(
        self, sid: identifiers.SubmissionId, now: datetime.datetime
    ) -> submission_status.SubmissionStatus:
        """Return how a submission stands."""
        return _standing(self.register.status_of(sid, now))

    def handle(
        self, event: events.Event, now: datetime.datetime
    ) -> list[events.Action]:
        """Take an event and return what follows, outcomes remembered."""
        actions = self.dispatcher.handle(event, now)
        for action in actions:
            if isinstance(action, events.ReportOutcome):
                self.register.record_outcome(action.submission, action.outcome)
        return actions


def _standing(
    verdict: ownership.BindResult | None,
) -> submission_status.SubmissionStatus:
    if verdict is None:
        return submission_status.SubmissionStatus(submission_status.State.NOT_RECEIVED)
    if isinstance(verdict, ownership.Finished):
        return submission_status.ended(verdict.outcome)
    if isinstance(verdict, ownership.Expired):
        return submission_status.ended(outcomes.Unknown(outcomes.Reason.FORGOTTEN))
    if isinstance(verdict, ownership.Conflict):
        return submission_status.SubmissionStatus(submission_status.State.CONFLICT)
    if isinstance(verdict, ownership.OtherOwner):
        return submission_status.SubmissionStatus(submission_status.State.OTHER_OWNER)
    return submission_status.IN_PROGRESS
