"""Collects the actions that the broker decides on."""

import typing

from carawaysail_holding import broker_messages
from carawaysail_types import runs


class Actions:
    """Actions since the last ``drain``, in the order in which they were decided."""

    def __init__(self) -> None:
        self._actions: list[broker_messages.Action] = []

    def add(self, action: broker_messages.Action) -> None:
        """Append an action."""
        self._actions.append(action)

    def log(self, name: str, subject: str, **fields: typing.Any) -> None:
        """Append an entry of the decision log.

        Parameters
        ----------
        name : str
            Name of the decision.
        subject : str
            Identifier of the job, worker or data centre that it concerns.
        **fields
            Inputs and result of the decision; the names are log keys.
        """
        self._actions.append(broker_messages.LogDecision(name, subject, fields))

    def drain(self) -> list[broker_messages.Action]:
        """Return all actions and clear the collection."""
        drained, self._actions = self._actions, []
        return drained


def label(run: runs.Run) -> str:
    """Return the name of a run in logs: the task and the run's number."""
    return f"{run.task}#{run.number}"
