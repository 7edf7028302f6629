"""Events that callers, targets, the store and daemons record, in order."""

import datetime
import typing

from carawaysail_types import outcomes


class CopySent(typing.NamedTuple):
    """A caller sent a copy of a submission; resubmissions are further copies.

    Parameters
    ----------
    at : datetime.datetime
        Time of the event.
    submission : str
        Identifier of the submission, as text.
    copy : int
        Number of the copy, from 1.
    vm : str
        VM of the daemon that it was sent to.
    payloads : tuple of bytes
        Payload of each task; the fake targets answer a task with its payload.
    may_repeat : bool
        Whether a task may start more than once, as for an idempotent request.
    """

    at: datetime.datetime
    submission: str
    copy: int
    vm: str
    payloads: tuple[bytes, ...]
    may_repeat: bool


class TaskStarted(typing.NamedTuple):
    """A target started a task.

    Parameters
    ----------
    at : datetime.datetime
        Time of the start.
    submission : str
        Identifier of the submission, as text.
    position : int
        Index of the task in its submission, from 0.
    target : str
        Name of the target.
    sent_at : datetime.datetime
        When the daemon sent the task.
    """

    at: datetime.datetime
    submission: str
    position: int
    target: str
    sent_at: datetime.datetime


class CopyAnswered(typing.NamedTuple):
    """A caller received an outcome for a copy."""

    at: datetime.datetime
    submission: str
    copy: int
    outcome: outcomes.Outcome


class CopyUnanswered(typing.NamedTuple):
    """A copy was not answered: the connection broke, or the caller timed out.

    Parameters
    ----------
    was_graceful : bool
        Whether the copy was lost to a graceful end. It was sent before the daemon was
        asked to end; the daemon closed its connection, or received it and sent no
        answer; and the daemon has ended gracefully, or was ending and not paused.
    """

    at: datetime.datetime
    submission: str
    copy: int
    vm: str
    was_graceful: bool


class LeaveStarted(typing.NamedTuple):
    """A target began to leave, by the settings, the VM list or its own notice."""

    at: datetime.datetime
    target: str


class SectionWritten(typing.NamedTuple):
    """The store accepted a write of a settings section."""

    at: datetime.datetime
    section: str
    revision: int


class SectionInForce(typing.NamedTuple):
    """A daemon put a revision of a settings section into force.

    Parameters
    ----------
    daemon : str
        Name and incarnation number of the daemon, as ``name/number``.
    """

    at: datetime.datetime
    daemon: str
    section: str
    revision: int


class HistoryEnded(typing.NamedTuple):
    """The history ended; every live daemon should have the newest settings.

    Parameters
    ----------
    revisions_by_daemon : dict of str to dict
        For each live daemon, as ``name/incarnation``, the revision of each section.
    """

    at: datetime.datetime
    revisions_by_daemon: dict[str, dict[str, int]]


Event = (
    CopySent | TaskStarted | CopyAnswered | CopyUnanswered | LeaveStarted
    | SectionWritten | SectionInForce | HistoryEnded
)  # fmt: skip

History = list[Event]


class Violation(typing.NamedTuple):
    """A violation of a rule by a history.

    Parameters
    ----------
    rule : str
        Name of the violated rule.
    description : str
        What was violated, as one sentence.
    trace : tuple of Event
        Only the events that show the violation, in order.
    """

    rule: str
    description: str
    trace: tuple[Event, ...]

    def text(self) -> str:
        """Return the description and the trace, one event per line."""
        lines = [f"{self.rule}: {self.description}"]
        lines += [f"  {event}" for event in self.trace]
        return "\n".join(lines)
