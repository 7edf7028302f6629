"""Relaying: what a daemon does with a submission that another one owns.

Pure steps: ``first_step`` says where to ask, ``step_after_failure`` what a failure to
ask means. Only an exchange that certainly never left, for
the only copy that the caller sent, may be answered with ``not run``.
"""

import typing

from carawaysail_decisions import membership
from carawaysail_types import outcomes


class ForwardTo(typing.NamedTuple):
    """ForwardTo the daemon at a peer address."""

    address: str


class Finish(typing.NamedTuple):
    """Answer the caller with an outcome."""

    outcome: outcomes.Outcome


class BindHere(typing.NamedTuple):
    """Bind the only copy of a submission whose owner is lost, and place it here."""


Step = ForwardTo | Finish | BindHere

FIRST_ATTEMPT = 1
"""The ``attempt`` of a caller that has sent no other copy."""


def first_step(located: membership.OwnerLocation, address: str, attempt: int) -> Step:
    """Return the first step for a submission of another owner.

    Parameters
    ----------
    located : membership.Located
        What membership says of the owner.
    address : str
        Address of the owner's VM in the settings; empty for none.
    attempt : int
        Copies that the caller has sent, this one included; 0 if not told.
    """
    if located.lost:
        return _lost(attempt)
    if located.peer or address:
        return ForwardTo(located.peer or address)
    return _unreachable(attempt == FIRST_ATTEMPT)


def step_after_failure(attempt: int, was_sent: bool, nobody_listens: bool) -> Step:
    """Return what follows when the owner could not be asked.

    Parameters
    ----------
    attempt : int
        Copies that the caller has sent.
    was_sent : bool
        Whether the message may have arrived.
    nobody_listens : bool
        Whether the address refused the connection: that process has ended.
    """
    if nobody_listens and not was_sent:
        return _lost(attempt)
    return _unreachable(attempt == FIRST_ATTEMPT and not was_sent)


def step_after_wrong_owner(attempt: int) -> Step:
    """Return what follows when another incarnation answers at the owner's address."""
    return _lost(attempt)


def _lost(attempt: int) -> Step:
    if attempt == FIRST_ATTEMPT:
        return BindHere()
    return Finish(outcomes.Unknown(outcomes.Reason.OWNER_LOST))


def _unreachable(never_sent: bool) -> Step:
    reason = outcomes.Reason.OWNER_UNREACHABLE
    return Finish(outcomes.NotRun(reason) if never_sent else outcomes.Unknown(reason))
