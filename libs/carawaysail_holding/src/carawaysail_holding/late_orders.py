"""Starts that the next incarnation of a worker may carry out, and until when.

A start without an answer may be carried out seconds later, also by a worker that has
restarted under its name: its clock starts anew, so the end of the lease in the order
does not bound it.
"""

import collections.abc
import datetime

from carawaysail_holding import ledger
from carawaysail_types import runs


class LateOrders:
    """Such starts to workers that are not held at present, by worker."""

    def __init__(self) -> None:
        self._entries: dict[str, dict[runs.Run, ledger.Entry]] = {}
        self._possible_until: dict[runs.Task, datetime.datetime] = {}

    def add(
        self, worker_id: str, entries: collections.abc.Mapping[runs.Run, ledger.Entry]
    ) -> None:
        """Add starts to a worker that has been removed."""
        if entries:
            self._entries[worker_id] = dict(entries)
            self._index()

    def count(self, worker_id: str) -> int:
        """Return the number of starts to a worker."""
        return len(self._entries.get(worker_id, ()))

    def pop(self, worker_id: str) -> dict[runs.Run, ledger.Entry]:
        """Remove and return the starts to a worker that is held again."""
        entries = self._entries.pop(worker_id, {})
        if entries:
            self._index()
        return entries

    def prune(self, now: datetime.datetime) -> None:
        """Forget the starts that can no longer be carried out."""
        if not self._entries:
            return
        oldest = now - ledger.LATE_ORDER_TIME
        young = {
            worker_id: {k: v for k, v in entries.items() if v.since > oldest}
            for worker_id, entries in self._entries.items()
        }
        self._entries = {k: v for k, v in young.items() if v}
        self._index()

    def may_include(self, task: runs.Task, now: datetime.datetime) -> bool:
        """Return whether a start of a task may still be carried out."""
        until = self._possible_until.get(task)
        return until is not None and now < until

    def _index(self) -> None:
        self._possible_until = {}
        for entries in self._entries.values():
            for run, entry in entries.items():
                until = entry.since + ledger.LATE_ORDER_TIME
                known = self._possible_until.get(run.task, until)
                self._possible_until[run.task] = max(known, until)
