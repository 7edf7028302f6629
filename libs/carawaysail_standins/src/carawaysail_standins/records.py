"""Counts of the tasks that a stand-in target has started."""

import collections
import threading
import typing


class Totals(typing.TypedDict):
    """Totals of one target.

    ``messages`` is the number of received messages that carry tasks; ``starts`` the
    number of starts over all tasks; ``most_starts`` the largest number for one task.
    """

    messages: int
    starts: int
    most_starts: int


class Records:
    """Counts of messages, and of starts by task; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._starts: collections.Counter[str] = collections.Counter()
        self._messages = 0

    def count_message(self) -> None:
        """Count a received message that carries tasks."""
        with self._lock:
            self._messages += 1

    def count_start(self, task: str) -> None:
        """Count a start of a task."""
        with self._lock:
            self._starts[task] += 1

    def starts(self) -> dict[str, int]:
        """Return the number of starts of each task, by its identifier."""
        with self._lock:
            return dict(self._starts)

    def totals(self) -> Totals:
        """Return the totals of all tasks."""
        with self._lock:
            return Totals(
                messages=self._messages,
                starts=sum(self._starts.values()),
                most_starts=max(self._starts.values(), default=0),
            )
