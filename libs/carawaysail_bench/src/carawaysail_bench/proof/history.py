"""Histories: what callers, targets and daemons saw, in order."""

import datetime
import typing

from carawaysail_types import outcomes


class Attempted(typing.NamedTuple):
    """A caller sent a copy of a submission.

    Parameters
    ----------
    at : datetime.datetime
        When.
    submission : str
        Text of its identifier.
    copy : int
        Number of the copy, from 1.
    vm : str
        The daemon it was sent to.
    payloads : tuple of bytes
        Payload of each task; an answer must repeat it.
    may_repeat : bool
        Whether a task may start more than once: an idempotent request.
    """

    at: datetime.datetime
    submission: str
    copy: int
    vm: str
    payloads: tuple[bytes, ...]
    may_repeat: bool


class Started(typing.NamedTuple):
    """A target started a task.

    Parameters
    ----------
    at : datetime.datetime
        When.
    submission : str
        Text of the submission's identifier.
    position : int
        Position of the task.
    target : str
        The target.
    sent_at : datetime.datetime
        When the daemon sent it.
    """

    at: datetime.datetime
    submission: str
    position: int
    target: str
    sent_at: datetime.datetime


class Answered(typing.NamedTuple):
    """A caller got an outcome for a copy."""

    at: datetime.datetime
    submission: str
    copy: int
    outcome: outcomes.Outcome


class Broken(typing.NamedTuple):
    """A caller's copy got no answer: its connection broke, or it gave up.

    Parameters
    ----------
    was_graceful : bool
        Whether the daemon had been asked to end gracefully.
    """

    at: datetime.datetime
    submission: str
    copy: int
    vm: str
    was_graceful: bool


class Left(typing.NamedTuple):
    """A target began to leave: settings, VM list or its own notice said so."""

    at: datetime.datetime
    target: str


class Accepted(typing.NamedTuple):
    """The store took a section of the settings."""

    at: datetime.datetime
    section: str
    revision: int


class InForce(typing.NamedTuple):
    """A section came into force at a daemon's incarnation."""

    at: datetime.datetime
    daemon: str
    section: str
    revision: int


class Ended(typing.NamedTuple):
    """The history ends; every daemon that lives should hold the newest settings.

    Parameters
    ----------
    holders : dict of str to dict
        Revision of each section at each daemon that lives.
    """

    at: datetime.datetime
    holders: dict[str, dict[str, int]]


Event = (
    Attempted | Started | Answered | Broken | Left | Accepted | InForce | Ended
)  # fmt: skip

History = list[Event]


class Break(typing.NamedTuple):
    """A promise that a history breaks.

    Parameters
    ----------
    rule : str
        Name of the rule.
    what : str
        A sentence.
    trace : tuple of Event
        The events that show it, and no others.
    """

    rule: str
    what: str
    trace: tuple[Event, ...]

    def text(self) -> str:
        """Return the break with its trace, an event a line."""
        lines = [f"{self.rule}: {self.what}"]
        lines += [f"  {event}" for event in self.trace]
        return "\n".join(lines)
