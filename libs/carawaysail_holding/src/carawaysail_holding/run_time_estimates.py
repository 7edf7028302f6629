"""Run-time estimates of tasks, and speeds of workers.

Clients' estimates have large errors one by one, but none on average. For most tasks
the best predictor of the run time is the geometric mean of the task's own estimate and
the mean estimate of its queue. A few jobs are stragglers: they run many times as long
as others of their queue. An estimate far above the queue's mean is more likely that of
a straggler than an error, and then counts nearly in full. The speed of a worker is
estimated from its own runs, since the labels of workers do not indicate it.
"""

import datetime
import math
import statistics
import typing

from carawaysail_types import clock, jobs, runs

ESTIMATE_SMOOTHING = 0.05
"""Least weight of a new estimate in a queue's mean: about the last 20 count."""

SPEED_SMOOTHING = 0.15
"""Least weight of a new run in a worker's speed: about the last 7 count."""

DEFAULT_RUN_TIME = clock.milliseconds(300)
"""Run time of a queue without any estimate; the order of a short task."""

MIN_RUN_TIME_MS = 1.0
"""A shorter estimate counts as missing; a shorter run counts as this long."""

MAX_LOG_ERROR = math.log(4.0)
"""Largest log error that one run contributes, a factor of four either way, so that
stragglers count little."""

INITIAL_VARIANCE = 0.32
"""Variance of log estimates before the first: a standard deviation of 0.4 of the run
times, and as much again of the estimates' errors."""

MIN_VARIANCE = 0.02
"""Lower bound of the variance: differences of 15% either way carry no information."""

ERROR_SHARE = 0.5
"""Share of the variance of a queue's log estimates that is error, not run time."""

STRAGGLER_SHARE = 0.05
"""Prior probability that a job is a straggler; one job in 30 is on the modelled
sites."""

STRAGGLER_SPREAD = 1.6
"""Standard deviation of stragglers' log run times above the mean: a factor of five."""

HIGH_QUANTILE = 0.95
"""Share of the tasks whose run time is at most the upper bound of an estimate."""

LOW_QUANTILE = 0.35
"""Share of the tasks whose run time is below the lower bound of an estimate."""


class RunTimeEstimate(typing.NamedTuple):
    """Estimated run time of a task in milliseconds, by default on an average worker.

    Plain numbers, since placement compares many of them for each task.

    Parameters
    ----------
    expected_ms : float
        Expected run time.
    lower_bound_ms : float
        Two such tasks in three run at least so long.
    upper_bound_ms : float
        Nineteen such tasks in twenty run no longer.
    """

    expected_ms: float
    lower_bound_ms: float
    upper_bound_ms: float

    def at_speed(self, speed: float) -> "RunTimeEstimate":
        """Return the run time on a worker of a speed; 1 is that of an average one."""
        return self.scaled_by(1.0 / speed)

    def scaled_by(self, factor: float) -> "RunTimeEstimate":
        """Return the run time multiplied by a factor."""
        return RunTimeEstimate(
            self.expected_ms * factor,
            self.lower_bound_ms * factor,
            self.upper_bound_ms * factor,
        )


class _Speed(typing.NamedTuple):
    """Speed of a worker, and the number of runs that it was learned from.

    ``is_measured`` tells whether these were measured at the worker.
    """

    value: float = 1.0
    run_count: int = 0
    is_measured: bool = False


class _QueueEstimates(typing.NamedTuple):
    """Distribution of the log estimates (of milliseconds) of a queue's usual jobs.

    Parameters
    ----------
    mean, variance : float
        Moving mean and variance.
    effective_count : float
        Number of estimates, each weighted with the probability that its job is not a
        straggler.
    """

    mean: float
    variance: float = INITIAL_VARIANCE
    effective_count: float = 1.0

    def straggler_probability(self, log_ms: float) -> float:
        """Return the probability that an estimate is that of a straggler."""
        excess = log_ms - self.mean
        if excess <= 0.0:
            return 0.0
        usual = _density(excess, self.variance) * (1.0 - STRAGGLER_SHARE)
        # Twice the density: stragglers lie on one side of the mean only.
        straggler_variance = self.variance + STRAGGLER_SPREAD**2
        straggler = 2.0 * _density(excess, straggler_variance) * STRAGGLER_SHARE
        return straggler / (usual + straggler)

    def _straggler_weight(self) -> float:
        """Return the weight of a straggler's own estimate against the queue's mean."""
        return STRAGGLER_SPREAD**2 / (STRAGGLER_SPREAD**2 + self.variance * ERROR_SHARE)

    def expected_ms(self, log_ms: float) -> float:
        """Return the expected run time in ms of a task with a log estimate."""
        excess = log_ms - self.mean
        probability = self.straggler_probability(log_ms)
        usual = self.mean + (1.0 - ERROR_SHARE) * excess
        straggler = self.mean + self._straggler_weight() * excess
        return math.exp((1.0 - probability) * usual + probability * straggler)

    def estimate(self, log_ms: float) -> RunTimeEstimate:
        """Return the run time, with bounds, of a task with a log estimate."""
        excess = log_ms - self.mean
        error_variance = self.variance * ERROR_SHARE
        probability, straggler_weight = (
            self.straggler_probability(log_ms),
            self._straggler_weight(),
        )
        usual = statistics.NormalDist(
            self.mean + (1.0 - ERROR_SHARE) * excess,
            math.sqrt(error_variance * (1.0 - ERROR_SHARE)),
        )
        straggler = statistics.NormalDist(
            self.mean + straggler_weight * excess,
            math.sqrt(error_variance * straggler_weight),
        )
        if probability < 1.0 - LOW_QUANTILE:
            lower = _quantile(usual, LOW_QUANTILE / (1.0 - probability))
        else:
            lower = _quantile(straggler, 1.0 - (1.0 - LOW_QUANTILE) / probability)
        upper = _quantile(usual, HIGH_QUANTILE)
        if probability > 1.0 - HIGH_QUANTILE:
            exceeding_share = (1.0 - HIGH_QUANTILE) / probability
            upper = max(upper, _quantile(straggler, 1.0 - exceeding_share))
        return RunTimeEstimate(
            self.expected_ms(log_ms), math.exp(lower), math.exp(upper)
        )

    def updated(self, log_ms: float) -> "_QueueEstimates":
        """Return the distribution updated with one more log estimate."""
        usual_probability = 1.0 - self.straggler_probability(log_ms)
        effective_count = self.effective_count + usual_probability
        weight = usual_probability * max(ESTIMATE_SMOOTHING, 1.0 / effective_count)
        excess = log_ms - self.mean
        variance = self.variance + ESTIMATE_SMOOTHING * usual_probability * (
            excess**2 - self.variance
        )
        return _QueueEstimates(
            self.mean + weight * excess, max(MIN_VARIANCE, variance), effective_count
        )


class RunTimeEstimates:
    """Moving averages of clients' estimates by queue, and of speeds by worker."""

    def __init__(self) -> None:
        self._estimates: dict[str, _QueueEstimates] = {}
        self._speeds: dict[str, _Speed] = {}

    def estimate(self, queue: str, step: jobs.Step) -> RunTimeEstimate:
        """Estimate the run time of a step's tasks on an average worker."""
        queue_estimates, log_ms = self._lookup(queue, step)
        return queue_estimates.estimate(log_ms)

    def expected(self, queue: str, step: jobs.Step) -> datetime.timedelta:
        """Return the expected run time of a step's tasks on an average worker."""
        return clock.milliseconds(self.expected_ms(queue, step))

    def expected_ms(self, queue: str, step: jobs.Step) -> float:
        """Return the same in milliseconds."""
        queue_estimates, log_ms = self._lookup(queue, step)
        return queue_estimates.expected_ms(log_ms)

    def _lookup(self, queue: str, step: jobs.Step) -> tuple[_QueueEstimates, float]:
        """Return a queue's distribution and the log estimate of a step.

        The mean of the queue stands in for a missing estimate.
        """
        queue_estimates = self._estimates.get(queue)
        if clock.to_milliseconds(step.estimate) >= MIN_RUN_TIME_MS:
            log_ms = _to_log_ms(step.estimate)
        else:
            log_ms = (
                queue_estimates.mean
                if queue_estimates
                else _to_log_ms(DEFAULT_RUN_TIME)
            )
        return queue_estimates or _QueueEstimates(log_ms), log_ms

    def record_estimate(self, queue: str, step: jobs.Step) -> None:
        """Update a queue's distribution with a client's estimate, if there is one."""
        if clock.to_milliseconds(step.estimate) >= MIN_RUN_TIME_MS:
            log_ms = _to_log_ms(step.estimate)
            queue_estimates = self._estimates.get(queue)
            self._estimates[queue] = (
                queue_estimates.updated(log_ms)
                if queue_estimates is not None
                else _QueueEstimates(log_ms)
            )

    def speed(self, report: runs.WorkerReport) -> float:
        """Return the speed of a worker relative to an average worker, which has 1."""
        return self._speeds.get(report.worker_id, _Speed()).value

    def highest_speed(self, reports: typing.Iterable[runs.WorkerReport]) -> float:
        """Return the speed of the fastest of some workers; 1 without any."""
        return max((self.speed(x) for x in reports), default=1.0)

    def record_run(
        self,
        queue: str,
        step: jobs.Step,
        report: runs.WorkerReport,
        run_time: datetime.timedelta,
        is_measured: bool = False,
    ) -> None:
        """Update the speed of a worker with a run that succeeded.

        Runs that were measured at the worker replace all others.

        Parameters
        ----------
        queue : str
            Name of the job's queue.
        step : jobs.Step
            The task's step, with the client's estimate.
        report : runs.WorkerReport
            The worker.
        run_time : datetime.timedelta
            Run time.
        is_measured : bool
            Whether it was measured at the worker; otherwise it includes the way of
            messages and the lateness of this daemon.
        """
        known = self._speeds.get(report.worker_id, _Speed())
        if known.is_measured and not is_measured:
            return
        run_time_ms = max(MIN_RUN_TIME_MS, clock.to_milliseconds(run_time))
        expected_ms = max(
            MIN_RUN_TIME_MS, clock.to_milliseconds(self.expected(queue, step))
        )
        count = known.run_count if known.is_measured == is_measured else 0
        log_error = _clamped(math.log(expected_ms / (run_time_ms * known.value)))
        weight = max(SPEED_SMOOTHING, 1.0 / (count + 2))
        speed = known.value * math.exp(weight * log_error)
        self._speeds[report.worker_id] = _Speed(speed, count + 1, is_measured)


def _clamped(log_error: float) -> float:
    return max(-MAX_LOG_ERROR, min(MAX_LOG_ERROR, log_error))


def _quantile(distribution: statistics.NormalDist, probability: float) -> float:
    # Quotients of probabilities may round to 0 or 1, which have no finite quantile.
    return distribution.inv_cdf(min(0.999, max(0.001, probability)))


def _density(excess: float, variance: float) -> float:
    """Return a normal distribution's density, without the constant factor."""
    return math.exp(-(excess**2) / (2.0 * variance)) / math.sqrt(variance)


def _to_log_ms(duration: datetime.timedelta) -> float:
    return math.log(max(MIN_RUN_TIME_MS, clock.to_milliseconds(duration)))
