"""Outcomes of a submission for its caller, a closed set, and their reasons."""

import dataclasses
import enum
import typing

from carawaysail_types import errors


class Reason(enum.StrEnum):
    """Cause of an outcome other than ``completed``.

    - ``TARGET_FAILED``: a task failed on its target.
    - ``TASK_STOPPED``: the target stopped a task.
    - ``BAD_ANSWER``: the target's answer was incomplete or was for another task.
    - ``DEADLINE``: the deadline has passed.
    - ``WOULD_MISS_DEADLINE``: the expected finish is too close to the deadline, or
      beyond it.
    - ``QUEUE_FULL``: too many tasks, or too many callers, wait at the daemon.
    - ``INFEASIBLE``: a task requires more resources than any worker has.
    - ``NO_TARGET``: the settings have no target for the submission, or are not known.
    - ``TARGET_REFUSED``: the target refused a task, which has not started.
    - ``LEAVING``: the daemon is draining.
    - ``OWNER_LOST``: the owner's process has ended.
    - ``OWNER_UNREACHABLE``: the owner could not be reached or did not answer in time.
    - ``FORGOTTEN``: the owner no longer has a record of the submission.
    - ``CONNECTION_LOST``: the connection to the target failed.
    """

    NONE = "none"
    TARGET_FAILED = "target_failed"
    TASK_STOPPED = "task_stopped"
    BAD_ANSWER = "bad_answer"
    DEADLINE = "deadline"
    CANCELLED = "cancelled"
    WOULD_MISS_DEADLINE = "would_miss_deadline"
    QUEUE_FULL = "queue_full"
    QUOTA = "quota"
    INFEASIBLE = "infeasible"
    NO_TARGET = "no_target"
    TARGET_REFUSED = "target_refused"
    LEAVING = "leaving"
    OWNER_LOST = "owner_lost"
    OWNER_UNREACHABLE = "owner_unreachable"
    FORGOTTEN = "forgotten"
    CONNECTION_LOST = "connection_lost"
    STILL_RUNNING = "still_running"


class BatchStatus(enum.StrEnum):
    """What is known of the tasks of a batch that have no answer of their own.

    ``ANSWERED`` means that the target answered completely, so these tasks have failed;
    ``NOT_STARTED`` that they have not started and will not start;
    ``MAY_HAVE_STARTED`` that this is not known.
    """

    ANSWERED = "answered"
    NOT_STARTED = "not_started"
    MAY_HAVE_STARTED = "may_have_started"


class Resubmit(enum.StrEnum):
    """Advice to the caller on whether to submit the same work again.

    ``SAME_ID`` asks for the outcome again under the same identifier, which cannot start
    it twice; ``NEW_ID`` submits it as new work; with ``UNSAFE`` another submission may
    run tasks twice.
    """

    SAME_ID = "same_id"
    NEW_ID = "new_id"
    NOT_NEEDED = "not_needed"
    UNSAFE = "unsafe"


@dataclasses.dataclass(frozen=True)
class Completed:
    """All tasks have run and succeeded.

    Parameters
    ----------
    answers : tuple of bytes
        A JSON text for each task, in the order of the tasks.
    """

    answers: tuple[bytes, ...]
    tag: typing.ClassVar[str] = "completed"
    resubmit: typing.ClassVar[Resubmit] = Resubmit.NOT_NEEDED
    reason: typing.ClassVar[Reason] = Reason.NONE


@dataclasses.dataclass(frozen=True)
class Failed:
    """Some tasks have run, but the submission did not complete."""

    reason: Reason
    detail: str = ""
    tag: typing.ClassVar[str] = "failed"
    resubmit: typing.ClassVar[Resubmit] = Resubmit.UNSAFE


@dataclasses.dataclass(frozen=True)
class NotRun:
    """No task has run, and none will run under this identifier."""

    reason: Reason
    detail: str = ""
    tag: typing.ClassVar[str] = "not_run"
    resubmit: typing.ClassVar[Resubmit] = Resubmit.NEW_ID


@dataclasses.dataclass(frozen=True)
class Unknown:
    """It is not known whether tasks have run; no further one will be started."""

    reason: Reason
    detail: str = ""
    tag: typing.ClassVar[str] = "unknown"

    @property
    def resubmit(self) -> Resubmit:
        """``SAME_ID``, unless the owner is lost or has no record of the submission."""
        if self.reason in {Reason.FORGOTTEN, Reason.OWNER_LOST}:
            return Resubmit.UNSAFE
        return Resubmit.SAME_ID


Outcome = Completed | Failed | NotRun | Unknown


class FlatOutcome(typing.NamedTuple):
    """An outcome as a record of one type, for messages.

    Parameters
    ----------
    tag : str
        ``completed``, ``failed``, ``not_run`` or ``unknown``.
    reason : Reason
        Cause; ``NONE`` if it is completed.
    detail : str
        Further explanation; may be empty.
    answers : tuple of bytes
        Answers of the tasks if it is completed, else empty.
    """

    tag: str
    reason: Reason
    detail: str = ""
    answers: tuple[bytes, ...] = ()


def to_flat(outcome: Outcome) -> FlatOutcome:
    """Convert an outcome to a flat record."""
    if isinstance(outcome, Completed):
        return FlatOutcome(outcome.tag, Reason.NONE, "", outcome.answers)
    return FlatOutcome(outcome.tag, outcome.reason, outcome.detail)


def from_flat(flat: FlatOutcome) -> Outcome:
    """Convert a flat record to an outcome.

    Raises
    ------
    errors.BadInputError
        If the tag is none of the four.
    """
    if flat.tag == Completed.tag:
        return Completed(flat.answers)
    for kind in (Failed, NotRun, Unknown):
        if flat.tag == kind.tag:
            return kind(flat.reason, flat.detail)
    raise errors.BadInputError(
        "outcome", flat.tag, "completed, failed, not_run, unknown"
    )
