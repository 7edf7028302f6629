"""How a submission stands, as daemons tell callers and each other."""

import enum
import typing

from carawaysail_types import outcomes


class State(enum.StrEnum):
    """How a submission stands."""

    ENDED = "ended"
    IN_PROGRESS = "under_way"
    CONFLICT = "conflict"
    NOT_RECEIVED = "never_came"
    OTHER_OWNER = "elsewhere"


class SubmissionStatus(typing.NamedTuple):
    """What is known of a submission.

    Parameters
    ----------
    state : State
        How it stands.
    outcome : outcomes.Outcome or None
        Its outcome, where it has ended.
    """

    state: State
    outcome: outcomes.Outcome | None = None


IN_PROGRESS = SubmissionStatus(State.IN_PROGRESS)


def ended(outcome: outcomes.Outcome) -> SubmissionStatus:
    """Return the standing of a submission that has ended."""
    return SubmissionStatus(State.ENDED, outcome)
