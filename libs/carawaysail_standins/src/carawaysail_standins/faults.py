"""Faults that a stand-in can be told to show, each registered under its name."""

import threading
import typing

from carawaysail_types import registry


class Fault(typing.NamedTuple):
    """One kind of fault.

    Parameters
    ----------
    where : str
        ``target`` or ``store``.
    doc : str
        What it does.
    """

    where: str
    doc: str


faults: registry.Registry[Fault] = registry.Registry("faults")


def _add(name: str, where: str, doc: str) -> None:
    faults.register(name)(Fault(where, doc))


_add("fail_all", "target", "Fails every task at once.")
_add("refuse", "target", "Refuses every task: not started.")
_add("slow", "target", "Takes several times as long; the value is the factor.")
_add("never_end", "target", "Starts tasks and never answers.")
_add("crossed", "target", "Answers with the identifier of another task.")
_add("cut_short", "target", "Ends the answer before it is whole.")
_add("nonsense", "target", "Answers with something that is not JSON.")
_add("leaving", "target", "Says on every answer that it is leaving.")
_add("drop", "target", "Closes the connection after the task has run.")
_add("down", "store", "Refuses every call.")
_add("slow_store", "store", "Answers late; the value is the delay in seconds.")
_add("lost_answers", "store", "Takes writes and loses their answers.")
_add("lagging_watch", "store", "Tells of changes late; the value is the lag in s.")


class Switchboard:
    """The faults that are on, set by any thread.

    Parameters
    ----------
    where : str
        ``target`` or ``store``.
    """

    def __init__(self, where: str) -> None:
        self._where = where
        self._lock = threading.Lock()
        self._on: dict[str, float] = {}

    def set(self, values: dict[str, float]) -> None:
        """Replace the faults that are on.

        Raises
        ------
        carawaysail_types.errors.UnknownNameError
            If a name is not registered.
        """
        for name in values:
            faults.get(name)
        with self._lock:
            self._on = dict(values)

    def value(self, name: str) -> float:
        """Return the value of a fault; 0 where it is off."""
        with self._lock:
            return self._on.get(name, 0.0)
