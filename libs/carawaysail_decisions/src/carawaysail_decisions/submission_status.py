"""Status of a submission, as daemons report it to callers and to each other."""

import enum
import typing

from carawaysail_types import outcomes


class State(enum.StrEnum):
    """State of a submission at the daemon that was asked.

    ``NOT_RECEIVED``: the owner has no record of it. ``OTHER_OWNER``: the daemon is not
    its owner. ``CONFLICT``: the identifier was used before with another body.
    """

    FINISHED = "ended"
    IN_PROGRESS = "under_way"
    CONFLICT = "conflict"
    NOT_RECEIVED = "never_came"
    OTHER_OWNER = "elsewhere"


class SubmissionStatus(typing.NamedTuple):
    """Status of a submission.

    Parameters
    ----------
    state : State
        Its state.
    outcome : outcomes.Outcome or None
        Its outcome; ``None`` unless it has ended.
    """

    state: State
    outcome: outcomes.Outcome | None = None


IN_PROGRESS = SubmissionStatus(State.IN_PROGRESS)


def finished(outcome: outcomes.Outcome) -> SubmissionStatus:
    """Return the status of a submission that has ended."""
    return SubmissionStatus(State.FINISHED, outcome)
