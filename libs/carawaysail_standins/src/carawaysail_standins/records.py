"""What a stand-in target has started, for checks and measurements."""

import collections
import threading
import typing


class Totals(typing.TypedDict):
    """Totals of one target.

    ``messages`` counts what it was sent to run; ``starts`` the tasks started;
    ``most_starts`` the most times that one task was started.
    """

    messages: int
    starts: int
    most_starts: int


class Records:
    """Counts starts by task, from any thread."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._starts: collections.Counter[str] = collections.Counter()
        self._messages = 0

    def message(self) -> None:
        """Count a message that carries tasks."""
        with self._lock:
            self._messages += 1

    def started(self, task: str) -> None:
        """Count a start."""
        with self._lock:
            self._starts[task] += 1

    def starts(self) -> dict[str, int]:
        """Return the number of starts of each task."""
        with self._lock:
            return dict(self._starts)

    def totals(self) -> Totals:
        """Return the totals."""
        with self._lock:
            return Totals(
                messages=self._messages,
                starts=sum(self._starts.values()),
                most_starts=max(self._starts.values(), default=0),
            )
