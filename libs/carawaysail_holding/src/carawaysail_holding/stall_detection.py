"""Workers whose runs stand still although they answer."""

import datetime

from carawaysail_holding import actions, held_worker, job_table, run_time_estimates


class StallDetector:
    """Moves the runs of such workers to others.

    Parameters
    ----------
    sink : actions.Actions
        Takes what is to be done.
    parts : book.Book
        The parts that runs belong to.
    known : lengths.Lengths
        Learned run times.
    """

    def __init__(
        self,
        sink: actions.Actions,
        parts: job_table.JobTable,
        known: run_time_estimates.RunTimeEstimates,
    ) -> None:
        self._actions = sink
        self._jobs = parts
        self._estimates = known
        # Some platforms tell no progress; all their runs would seem to stand still.
        self._is_progress_told = False

    def stop_stalled_runs(
        self, worker: held_worker.HeldWorker, now: datetime.datetime
    ) -> None:
        """Stop the runs of a worker that all stand still; others start them again."""
        worker_id = worker.report.worker_id
        self._is_progress_told = (
            self._is_progress_told or worker.run_progress.has_progress
        )
        running = worker.ledger.running()
        if not self._is_progress_told or any(
            worker.run_progress.is_progressing(run, now) for run in running
        ):
            return
        speed = self._estimates.speed(worker.report)
        for run in running:
            job = self._jobs.shard_of(run.task)
            if job is None:
                continue
            state = job.tasks[run.task]
            upper_bound = (
                job.run_time(self._estimates, state.step).at_speed(speed).upper_bound
            )
            if not worker.run_progress.is_stalled(run, upper_bound, now):
                continue
            self._actions.log(
                "run_stalled", run.task.job_id, run=actions.label(run), worker=worker_id
            )
            state.avoided_workers.add(worker_id)
            self._jobs.stop_run(worker, run, now)
            if worker.health.quarantine(now):
                self._actions.log("worker_rests", worker_id, cause="runs stand still")
