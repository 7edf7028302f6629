"""The closed set of outcomes that a caller can get, and their reasons."""

import dataclasses
import enum
import typing

from carawaysail_types import errors


class Reason(enum.StrEnum):
    """Why an outcome is not ``completed``."""

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


class Fate(enum.StrEnum):
    """What is known of the tasks of one message that were not answered one by one."""

    ANSWERED = "answered"
    NOT_STARTED = "not_started"
    MAY_HAVE_STARTED = "may_have_started"


class Resubmit(enum.StrEnum):
    """What a caller may do with the submission afterwards."""

    SAME_ID = "same_id"
    NEW_ID = "new_id"
    NOT_NEEDED = "not_needed"
    UNSAFE = "unsafe"


@dataclasses.dataclass(frozen=True)
class Completed:
    """Every task ran to its end.

    Parameters
    ----------
    answers : tuple of bytes
        One JSON text for each task, in the order of the tasks.
    """

    answers: tuple[bytes, ...]
    tag: typing.ClassVar[str] = "completed"
    resubmit: typing.ClassVar[Resubmit] = Resubmit.NOT_NEEDED
    reason: typing.ClassVar[Reason] = Reason.NONE


@dataclasses.dataclass(frozen=True)
class Failed:
    """Some of it ran, and it did not complete."""

    reason: Reason
    detail: str = ""
    tag: typing.ClassVar[str] = "failed"
    resubmit: typing.ClassVar[Resubmit] = Resubmit.UNSAFE


@dataclasses.dataclass(frozen=True)
class NotRun:
    """Nothing of it ran, and nothing of it will run under this identifier."""

    reason: Reason
    detail: str = ""
    tag: typing.ClassVar[str] = "not_run"
    resubmit: typing.ClassVar[Resubmit] = Resubmit.NEW_ID


@dataclasses.dataclass(frozen=True)
class Unknown:
    """It cannot be told whether it ran; the system starts nothing more of it."""

    reason: Reason
    detail: str = ""
    tag: typing.ClassVar[str] = "unknown"

    @property
    def resubmit(self) -> Resubmit:
        """What the caller may do: ask again, unless the owner has forgotten."""
        if self.reason in {Reason.FORGOTTEN, Reason.OWNER_LOST}:
            return Resubmit.UNSAFE
        return Resubmit.SAME_ID


Outcome = Completed | Failed | NotRun | Unknown


class FlatOutcome(typing.NamedTuple):
    """An outcome as one flat record, for messages.

    Parameters
    ----------
    tag : str
        ``completed``, ``failed``, ``not_run`` or ``unknown``.
    reason : Reason
        Why it did not complete.
    detail : str
        What more there is to say.
    answers : tuple of bytes
        Answers of a completed submission.
    """

    tag: str
    reason: Reason
    detail: str = ""
    answers: tuple[bytes, ...] = ()


def to_flat(outcome: Outcome) -> FlatOutcome:
    """Return an outcome as a flat record."""
    if isinstance(outcome, Completed):
        return FlatOutcome(outcome.tag, Reason.NONE, "", outcome.answers)
    return FlatOutcome(outcome.tag, outcome.reason, outcome.detail)


def from_flat(plain: FlatOutcome) -> Outcome:
    """Return the outcome of a flat record.

    Raises
    ------
    errors.BadInputError
        If the tag is none of the four.
    """
    if plain.tag == Completed.tag:
        return Completed(plain.answers)
    for kind in (Failed, NotRun, Unknown):
        if plain.tag == kind.tag:
            return kind(plain.reason, plain.detail)
    raise errors.BadInputError(
        "outcome", plain.tag, "completed, failed, not_run, unknown"
    )
