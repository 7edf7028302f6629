"""The coordinator: binds submissions, has them placed, and stores their outcomes.

It connects the ownership register and the dispatcher, so that nothing is placed that
is not bound here, and every outcome is stored before it is reported.
"""

import datetime
import typing

from carawaysail_decisions import dispatcher, events, ownership, submission_status
from carawaysail_types import identifiers, outcomes, work


class SubmitResult(typing.NamedTuple):
    """Result of a submission to the coordinator.

    Parameters
    ----------
    status : submission_status.SubmissionStatus
        Present status; if it is ``IN_PROGRESS``, a ``ReportOutcome`` action follows
        later.
    actions : list of events.Action
        Actions to carry out.
    """

    status: submission_status.SubmissionStatus
    actions: list[events.Action]


class Coordinator:
    """The ownership register and the dispatcher of one daemon.

    Parameters
    ----------
    register : ownership.OwnershipRegister
        Submissions that are bound here.
    task_dispatcher : dispatcher.Dispatcher
        Places their tasks.
    """

    def __init__(
        self,
        register: ownership.OwnershipRegister,
        task_dispatcher: dispatcher.Dispatcher,
    ) -> None:
        self.register = register
        self.dispatcher = task_dispatcher

    def submit(
        self,
        submission: work.Submission,
        service_settings: events.ServiceDispatchSettings,
        is_orphan: bool,
        now: datetime.datetime,
    ) -> SubmitResult:
        """Accept a copy of a submission, and have it placed if it is new.

        Parameters
        ----------
        submission : work.Submission
            The submission.
        service_settings : events.ServiceDispatchSettings
            Settings of its service.
        is_orphan : bool
            Whether it is the only copy and its owner is lost, so that it is bound here.
        now : datetime.datetime
            The present instant.

        Raises
        ------
        carawaysail_types.errors.BadInputError
            If the token in its identifier was never issued.
        """
        sid, digest = submission.submission_id, submission.digest
        if is_orphan or self.register.has_orphan(sid):
            result = self.register.bind_orphan(sid, digest, now)
        else:
            result = self.register.bind(sid, digest, now, submission.attempt)
        if not isinstance(result, ownership.New):
            return SubmitResult(_status_from(result), [])
        actions = self.handle(
            events.SubmissionReceived(submission, service_settings), now
        )
        return SubmitResult(submission_status.IN_PROGRESS, actions)

    def status_of(
        self, sid: identifiers.SubmissionId, now: datetime.datetime
    ) -> submission_status.SubmissionStatus:
        """Return the status of a submission, without binding it."""
        return _status_from(self.register.status_of(sid, now))

    def handle(
        self, event: events.Event, now: datetime.datetime
    ) -> list[events.Action]:
        """Handle an event, store the outcomes, and return the resulting actions."""
        actions = self.dispatcher.handle(event, now)
        for action in actions:
            if isinstance(action, events.ReportOutcome):
                self.register.record_outcome(action.submission, action.outcome)
        return actions


def _status_from(
    result: ownership.BindResult | None,
) -> submission_status.SubmissionStatus:
    if result is None:
        return submission_status.SubmissionStatus(submission_status.State.NOT_RECEIVED)
    if isinstance(result, ownership.Finished):
        return submission_status.finished(result.outcome)
    if isinstance(result, ownership.Expired):
        return submission_status.finished(outcomes.Unknown(outcomes.Reason.FORGOTTEN))
    if isinstance(result, ownership.Conflict):
        return submission_status.SubmissionStatus(submission_status.State.CONFLICT)
    if isinstance(result, ownership.OtherOwner):
        return submission_status.SubmissionStatus(submission_status.State.OTHER_OWNER)
    return submission_status.IN_PROGRESS
