"""Pending replies: who waits for which outcome from the decision loop."""

import collections.abc

from carawaysail_types import jobs

OnOutcome = collections.abc.Callable[[jobs.JobOutcome], None]


class Replies:
    """Pending replies by number; used in the event loop only.

    The front end opens and closes them, the decision loop puts outcomes.
    """

    def __init__(self) -> None:
        self._pending: dict[int, OnOutcome] = {}
        self._last_id = 0

    def open(self, on_outcome: OnOutcome) -> int:
        """Return the number of a new pending reply.

        Parameters
        ----------
        on_outcome : callable
            Called with the outcome, once.
        """
        self._last_id += 1
        self._pending[self._last_id] = on_outcome
        return self._last_id

    def waiting_count(self) -> int:
        """Return the number of pending replies."""
        return len(self._pending)

    def put(self, reply_id: int, outcome: jobs.JobOutcome) -> None:
        """Pass on the outcome of a pending reply, and close it.

        A number that is no longer pending is ignored.
        """
        on_outcome = self._pending.pop(reply_id, None)
        if on_outcome is not None:
            on_outcome(outcome)

    def close(self, reply_id: int) -> bool:
        """Close a pending reply; return whether it was still pending."""
        return self._pending.pop(reply_id, None) is not None
