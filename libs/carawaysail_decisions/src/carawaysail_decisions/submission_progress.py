"""How far one submission has come."""

import typing

from carawaysail_decisions import events, queues
from carawaysail_types import outcomes, work


class SubmissionProgress:
    """A submission that has no final outcome yet.

    Parameters
    ----------
    submission : work.Submission
        The submission.
    limits : events.Limits
        Settings of its service and kind.
    flow : queues.Flow
        Flow that its tasks wait in.
    entry : queues.QueueEntry
        Its tasks that wait.
    """

    __slots__ = (
        "answered_count", "answers", "attempts", "batch_by_task", "entry", "flow",
        "key", "limits", "may_have_started", "outcome", "submission",
    )  # fmt: skip

    def __init__(
        self,
        submission: work.Submission,
        limits: events.Limits,
        flow: queues.Flow,
        entry: queues.QueueEntry,
    ) -> None:
        self.submission = submission
        self.limits = limits
        self.flow = flow
        self.entry = entry
        self.key = entry.key
        self.answers: list[bytes | None] = [None] * len(submission.tasks)
        self.answered_count = 0
        self.batch_by_task: dict[int, int] = {}
        self.may_have_started = 0
        self.attempts: dict[int, int] = {}
        self.outcome: outcomes.Outcome | None = None

    def is_complete(self) -> bool:
        """Tell whether every task has its answer."""
        return self.answered_count == len(self.answers)

    def record_answer(self, index: int, value: bytes) -> None:
        """Keep the answer of one task; a second one for it changes nothing."""
        if self.answers[index] is None:
            self.answers[index] = value
            self.answered_count += 1

    def completed_outcome(self) -> outcomes.Completed:
        """Return the whole answer.

        Returns
        -------
        outcomes.Completed
            Every task's answer, in order; only valid when ``is_complete``.
        """
        return outcomes.Completed(typing.cast("tuple[bytes, ...]", tuple(self.answers)))

    def early_outcome(
        self, reason: outcomes.Reason, detail: str = ""
    ) -> outcomes.Outcome:
        """Return the truthful outcome of ending now.

        Nothing started gives ``not run``; a job of which some ran has failed; a
        request that runs, or may, is unknown.
        """
        if not self.may_have_started:
            return outcomes.NotRun(reason, detail)
        if self.submission.is_job and self.answered_count:
            return outcomes.Failed(reason, detail)
        return outcomes.Unknown(reason, detail)
