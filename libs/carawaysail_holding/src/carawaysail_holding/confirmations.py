"""Finished runs whose acknowledgement their worker has not confirmed yet.

A worker forgets a finished run once it is acknowledged. One that ends earlier takes the
run with it, as if the task had not been done; so a job counts as completed only once
all acknowledgements are confirmed.
"""

from carawaysail_types import runs


class Confirmations:
    """Tasks that are done, by the worker that has to confirm it."""

    def __init__(self) -> None:
        self._sequences: dict[str, dict[runs.Task, int]] = {}
        self._tasks: set[runs.Task] = set()

    def add(self, worker_id: str, finished: runs.FinishedRun) -> None:
        """Record a run that has completed its task and is acknowledged from now on."""
        sequences = self._sequences.setdefault(worker_id, {})
        sequences[finished.run.task] = finished.sequence
        self._tasks.add(finished.run.task)

    def is_pending(self, task: runs.Task) -> bool:
        """Return whether the end of a task is still to be confirmed."""
        return task in self._tasks

    def confirm(self, worker_id: str, sequence: int) -> list[runs.Task]:
        """Remove and return the tasks of ends up to a sequence number of a worker."""
        sequences = self._sequences.get(worker_id)
        if not sequences:
            return []
        return self._remove(
            worker_id, [task for task, x in sequences.items() if x <= sequence]
        )

    def drop_worker(self, worker_id: str) -> list[runs.Task]:
        """Remove and return the tasks whose end a lost worker has not confirmed."""
        return self._remove(worker_id, list(self._sequences.get(worker_id, ())))

    def _remove(self, worker_id: str, tasks: list[runs.Task]) -> list[runs.Task]:
        sequences = self._sequences.get(worker_id, {})
        for task in tasks:
            del sequences[task]
            self._tasks.discard(task)
        if not sequences:
            self._sequences.pop(worker_id, None)
        return tasks
