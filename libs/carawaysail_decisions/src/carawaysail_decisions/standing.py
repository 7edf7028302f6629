"""How a submission stands, as daemons tell callers and each other."""

import enum
import typing

from carawaysail_types import outcomes


class State(enum.StrEnum):
    """How a submission stands."""

    ENDED = "ended"
    UNDER_WAY = "under_way"
    CONFLICT = "conflict"
    NEVER_CAME = "never_came"
    ELSEWHERE = "elsewhere"


class Standing(typing.NamedTuple):
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


UNDER_WAY = Standing(State.UNDER_WAY)


def ended(outcome: outcomes.Outcome) -> Standing:
    """Return the standing of a submission that has ended."""
    return Standing(State.ENDED, outcome)
