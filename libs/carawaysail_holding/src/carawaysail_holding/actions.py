"""The list of actions that a decision fills."""

import typing

from carawaysail_holding import broker_messages
from carawaysail_types import runs


class Actions:
    """Actions in the order in which they were decided."""

    def __init__(self) -> None:
        self._found: list[broker_messages.Action] = []

    def add(self, action: broker_messages.Action) -> None:
        """Add an action."""
        self._found.append(action)

    def log(self, name: str, subject: str, **fields: typing.Any) -> None:
        """Add a line for the log."""
        self._found.append(broker_messages.LogDecision(name, subject, fields))

    def drain(self) -> list[broker_messages.Action]:
        """Return all actions and begin anew."""
        taken, self._found = self._found, []
        return taken


def label(run: runs.Run) -> str:
    """Return how a run is called in logs."""
    return f"{run.task}#{run.number}"
