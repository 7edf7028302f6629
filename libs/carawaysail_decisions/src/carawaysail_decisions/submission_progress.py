"""State of one submission between its admission and its final outcome."""

import typing

from carawaysail_decisions import events, queues
from carawaysail_types import outcomes, work


class Progress:
    """A submission that has no final outcome, or whose tasks are still running.

    Parameters
    ----------
    submission : work.Submission
        The submission.
    service_settings : events.ServiceDispatchSettings
        Settings of its service and kind of job.
    flow : queues.Flow
        Flow that its tasks are queued in.
    entry : queues.QueueEntry
        Its queued tasks.

    Attributes
    ----------
    key : str
        Text of the submission identifier.
    answers : list of bytes or None
        Answer of each task; ``None`` while there is none.
    answered_count : int
        Number of tasks that have an answer.
    batch_by_task : dict of int to int
        Batch number of each task that is at a target, by the task's index.
    possible_starts : int
        Starts sent to targets, less those that certainly did not happen.
    attempts : dict of int to int
        Starts sent for each task, by the task's index.
    outcome : outcomes.Outcome or None
        Outcome reported to the caller; ``None`` before that.
    """

    __slots__ = (
        "answered_count", "answers", "attempts", "batch_by_task", "entry", "flow",
        "key", "outcome", "possible_starts", "service_settings", "submission",
    )  # fmt: skip

    def __init__(
        self,
        submission: work.Submission,
        service_settings: events.ServiceDispatchSettings,
        flow: queues.Flow,
        entry: queues.QueueEntry,
    ) -> None:
        self.submission = submission
        self.service_settings = service_settings
        self.flow = flow
        self.entry = entry
        self.key = entry.key
        self.answers: list[bytes | None] = [None] * len(submission.tasks)
        self.answered_count = 0
        self.batch_by_task: dict[int, int] = {}
        self.possible_starts = 0
        self.attempts: dict[int, int] = {}
        self.outcome: outcomes.Outcome | None = None

    def is_complete(self) -> bool:
        """Return whether every task has its answer."""
        return self.answered_count == len(self.answers)

    def record_answer(self, index: int, answer: bytes) -> None:
        """Store the answer of one task, unless it has one already."""
        if self.answers[index] is None:
            self.answers[index] = answer
            self.answered_count += 1

    def completed_outcome(self) -> outcomes.Completed:
        """Return the outcome of a complete submission.

        Returns
        -------
        outcomes.Completed
            Answers in the order of the tasks; only valid if ``is_complete``.
        """
        return outcomes.Completed(typing.cast("tuple[bytes, ...]", tuple(self.answers)))

    def early_outcome(
        self, reason: outcomes.Reason, detail: str = ""
    ) -> outcomes.Outcome:
        """Return the outcome of a submission that ends before it is complete.

        Returns
        -------
        outcomes.Outcome
            ``NotRun`` if no task can have started, ``Failed`` for a job of which some
            tasks completed, otherwise ``Unknown``.
        """
        if not self.possible_starts:
            return outcomes.NotRun(reason, detail)
        if self.submission.is_job and self.answered_count:
            return outcomes.Failed(reason, detail)
        return outcomes.Unknown(reason, detail)
