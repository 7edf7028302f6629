"""Faults of stand-ins that a test can set, each registered under its name."""

import threading
import typing

from carawaysail_types import registry


class Fault(typing.NamedTuple):
    """One kind of fault.

    Parameters
    ----------
    component : str
        Kind of stand-in that has it: ``target`` or ``store``.
    description : str
        Effect of the fault, and the meaning of its value where it has one.
    """

    component: str
    description: str


faults: registry.Registry[Fault] = registry.Registry("faults")


def _register(name: str, component: str, description: str) -> None:
    faults.register(name)(Fault(component, description))


_register("fail_all", "target", "Fails every task immediately.")
_register("refuse", "target", "Refuses every task as not started.")
_register("slow", "target", "Multiplies run times by the value.")
_register("never_end", "target", "Gives tasks a run time longer than any test.")
_register("crossed", "target", "Answers with the identifier of another task.")
_register("cut_short", "target", "Closes the connection before the answer is complete.")
_register("nonsense", "target", "Answers with a body that is not JSON.")
_register("leaving", "target", "Announces in every answer that it is leaving.")
_register("drop", "target", "Closes the connection after the task has run.")
_register("down", "store", "Answers every call with status 503.")
_register("slow_store", "store", "Delays every answer by the value in seconds.")
_register("lost_answers", "store", "Applies writes and answers them with an error.")
_register("lagging_watch", "store", "Delays watch events by the value in seconds.")


class ActiveFaults:
    """The active faults of one stand-in, with their values; thread-safe.

    Parameters
    ----------
    component : str
        Kind of stand-in: ``target`` or ``store``.
    """

    def __init__(self, component: str) -> None:
        self._component = component
        self._lock = threading.Lock()
        self._values: dict[str, float] = {}

    def set(self, values: dict[str, float]) -> None:
        """Replace the active faults by the given ones.

        Raises
        ------
        carawaysail_types.errors.UnknownNameError
            If a name is not registered.
        """
        for name in values:
            faults.get(name)
        with self._lock:
            self._values = dict(values)

    def value(self, name: str) -> float:
        """Return the value of a fault, 0 if it is not active."""
        with self._lock:
            return self._values.get(name, 0.0)
