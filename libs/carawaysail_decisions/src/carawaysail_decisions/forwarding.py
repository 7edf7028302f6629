"""Forwarding: what a daemon does with a submission that another daemon owns.

``first_step`` returns the daemon to forward to; ``step_after_failure`` returns what
follows if that fails. The outcome ``not run`` is reported only if the message was
certainly never sent and the caller sent no other copy.
"""

import typing

from carawaysail_decisions import membership
from carawaysail_types import outcomes, work


class ForwardTo(typing.NamedTuple):
    """Forward the submission to another daemon.

    Parameters
    ----------
    address : str
        Peer address of the daemon, ``host:port``.
    """

    address: str


class Finish(typing.NamedTuple):
    """Report an outcome to the caller."""

    outcome: outcomes.Outcome


class BindHere(typing.NamedTuple):
    """Bind the only copy of a submission whose owner is lost, and place it here."""


Step = ForwardTo | Finish | BindHere


def first_step(location: membership.OwnerLocation, address: str, attempt: int) -> Step:
    """Return the first step for a submission of another owner.

    Parameters
    ----------
    location : membership.OwnerLocation
        What membership knows of the owner.
    address : str
        Peer address of the owner's VM in the settings; empty if there is none.
    attempt : int
        Copies that the caller has sent, this one included; 0 if it does not state it.
    """
    if location.lost:
        return _step_if_lost(attempt)
    if location.peer or address:
        return ForwardTo(location.peer or address)
    return _step_if_unreachable(attempt == work.FIRST_ATTEMPT)


def step_after_failure(attempt: int, was_sent: bool, was_refused: bool) -> Step:
    """Return the step that follows when the owner could not be reached.

    Parameters
    ----------
    attempt : int
        Copies that the caller has sent, this one included; 0 if it does not state it.
    was_sent : bool
        Whether the message may have arrived.
    was_refused : bool
        Whether the address refused the connection: the owner's process has ended.
    """
    if was_refused and not was_sent:
        return _step_if_lost(attempt)
    return _step_if_unreachable(attempt == work.FIRST_ATTEMPT and not was_sent)


def step_after_wrong_owner(attempt: int) -> Step:
    """Return the step that follows when the owner's address has another incarnation."""
    return _step_if_lost(attempt)


def _step_if_lost(attempt: int) -> Step:
    """Bind the only copy here; of several, the lost owner may have started one."""
    if attempt == work.FIRST_ATTEMPT:
        return BindHere()
    return Finish(outcomes.Unknown(outcomes.Reason.OWNER_LOST))


def _step_if_unreachable(certainly_unsent: bool) -> Step:
    reason = outcomes.Reason.OWNER_UNREACHABLE
    return Finish(
        outcomes.NotRun(reason) if certainly_unsent else outcomes.Unknown(reason)
    )
