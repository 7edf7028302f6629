"""Detection of workers that answer polls while their runs make no progress."""

import datetime

from carawaysail_holding import actions, held_worker, job_table, run_time_estimates
from carawaysail_types import clock


class StallDetector:
    """Stops stalled runs and quarantines their worker.

    Parameters
    ----------
    sink : actions.Actions
        Receives the actions that are decided on.
    jobs : job_table.JobTable
        The shards that the runs belong to.
    estimates : run_time_estimates.RunTimeEstimates
        Run-time estimates of the queues.
    """

    def __init__(
        self,
        sink: actions.Actions,
        jobs: job_table.JobTable,
        estimates: run_time_estimates.RunTimeEstimates,
    ) -> None:
        self._actions = sink
        self._jobs = jobs
        self._estimates = estimates
        # Until it is true, no run is stopped: some platforms report no progress, and
        # all their runs would look stalled.
        self._is_progress_reported = False

    def stop_stalled_runs(
        self, worker: held_worker.HeldWorker, now: datetime.datetime
    ) -> None:
        """Stop a worker's stalled runs unless one of its runs makes progress.

        Their tasks start again on other workers.
        """
        worker_id = worker.report.worker_id
        self._is_progress_reported = (
            self._is_progress_reported or worker.run_progress.has_progress
        )
        running = worker.ledger.running()
        if not self._is_progress_reported or any(
            worker.run_progress.is_progressing(run, now) for run in running
        ):
            return
        speed = self._estimates.speed(worker.report)
        for run in running:
            shard = self._jobs.shard_of(run.task)
            if shard is None:
                continue
            state = shard.tasks[run.task]
            run_time = shard.run_time(self._estimates, state).at_speed(speed)
            upper_bound = clock.milliseconds(run_time.upper_bound_ms)
            if not worker.run_progress.is_stalled(run, upper_bound, now):
                continue
            self._actions.log(
                "run_stalled", run.task.job_id, run=actions.label(run), worker=worker_id
            )
            state.avoided_workers.add(worker_id)
            self._jobs.stop_run(worker, run, now)
            if worker.health.quarantine(now):
                self._actions.log("worker_rests", worker_id, cause="runs stand still")
