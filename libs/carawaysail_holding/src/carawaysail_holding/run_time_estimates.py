"""Learned run times: what a task takes, and how fast a worker is.

Estimates of clients are rough, each by itself, but not on average. The run time of
most tasks is best told by the geometric mean of their own estimate and of those of
their queue. A few jobs are stragglers, many times as long as their queue's others. An
estimate far above the queue's is more likely one of those than a rough one, and then
counts nearly whole. How fast a worker is follows from its own runs: the labels of
workers say nothing of it.
"""

import datetime
import math
import statistics
import typing

from carawaysail_types import clock, jobs, runs

QUEUE_RATE = 0.05
"""Least weight of a new estimate in a queue's average; about the last twenty count."""

SPEED_RATE = 0.15
"""Least weight of a new run in a worker's speed; the last seven or so count."""

DEFAULT_RUN_TIME = clock.milliseconds(300)
"""Expected length before any job was seen; the order of a short task."""

MIN_RUN_TIME_MS = 1.0
MAX_LOG_RATIO = math.log(4.0)
"""One run moves an average by at most this, so that stragglers count little."""

FIRST_VARIANCE = 0.32
"""Variance of log estimates before any was seen: a spread of 0.4 of the lengths, and
as much again of the estimates' error."""

LEAST_VARIANCE = 0.02
"""Below this, differences between estimates tell nothing; 15% either way."""

ERROR_SHARE = 0.5
"""Share of the variance of a queue's estimates that is error, not length."""

STRAGGLER_SHARE = 0.05
"""Share of stragglers among jobs, before their estimate is seen; a job in thirty is one
on the modelled sites."""

STRAGGLER_SPREAD = 1.6
"""Spread of stragglers above their queue's mean, as a logarithm: five times."""

HIGH_QUANTILE = 0.95
"""Share of the tasks that take at most what is given as such."""

LOW_QUANTILE = 0.35
"""Share of the tasks that take less than what is given as the least."""


class RunTimeEstimate(typing.NamedTuple):
    """Run time of a task on an average worker.

    Parameters
    ----------
    expected : datetime.timedelta
        What it is expected to take.
    lower_bound : datetime.timedelta
        What two such tasks in three take or exceed.
    upper_bound : datetime.timedelta
        What nineteen such tasks in twenty do not exceed.
    """

    expected: datetime.timedelta
    lower_bound: datetime.timedelta
    upper_bound: datetime.timedelta

    def at_speed(self, speed: float) -> "RunTimeEstimate":
        """Return the run time on a worker of some speed."""
        return self.scaled_by(1.0 / speed)

    def delayed_by(self, wait: datetime.timedelta) -> "RunTimeEstimate":
        """Return the time until a task is done that begins later."""
        return RunTimeEstimate(
            self.expected + wait, self.lower_bound + wait, self.upper_bound + wait
        )

    def scaled_by(self, factor: float) -> "RunTimeEstimate":
        """Return the run time where everything takes some times as long."""
        return RunTimeEstimate(
            self.expected * factor, self.lower_bound * factor, self.upper_bound * factor
        )


class _Estimates(typing.NamedTuple):
    """Logarithms of a queue's usual estimates.

    Parameters
    ----------
    mean, variance : float
        Of those seen, the newest counting most.
    seen : float
        How many were seen, each as far as it is a usual one.
    """

    mean: float
    variance: float = FIRST_VARIANCE
    seen: float = 1.0

    def straggling(self, value: float) -> float:
        """Return how likely an estimate is that of a straggler."""
        excess = value - self.mean
        if excess <= 0.0:
            return 0.0
        usual = _density(excess, self.variance) * (1.0 - STRAGGLER_SHARE)
        # Twice: stragglers lie on one side of the mean only.
        spread = self.variance + STRAGGLER_SPREAD**2
        straggler = 2.0 * _density(excess, spread) * STRAGGLER_SHARE
        return straggler / (usual + straggler)

    def _trust(self) -> float:
        """Return how far the estimate of a straggler is believed."""
        return STRAGGLER_SPREAD**2 / (STRAGGLER_SPREAD**2 + self.variance * ERROR_SHARE)

    def expected(self, value: float) -> datetime.timedelta:
        """Return the expected run time of a task with an estimate."""
        excess = value - self.mean
        chance = self.straggling(value)
        usual = self.mean + (1.0 - ERROR_SHARE) * excess
        straggler = self.mean + self._trust() * excess
        return _from_log((1.0 - chance) * usual + chance * straggler)

    def estimate(self, value: float) -> RunTimeEstimate:
        """Return the run time of a task with an estimate."""
        excess = value - self.mean
        error = self.variance * ERROR_SHARE
        chance, trust = self.straggling(value), self._trust()
        usual = statistics.NormalDist(
            self.mean + (1.0 - ERROR_SHARE) * excess,
            math.sqrt(error * (1.0 - ERROR_SHARE)),
        )
        straggler = statistics.NormalDist(
            self.mean + trust * excess, math.sqrt(error * trust)
        )
        if chance < 1.0 - LOW_QUANTILE:
            least = _quantile(usual, LOW_QUANTILE / (1.0 - chance))
        else:
            least = _quantile(straggler, 1.0 - (1.0 - LOW_QUANTILE) / chance)
        most = _quantile(usual, HIGH_QUANTILE)
        if chance > 1.0 - HIGH_QUANTILE:
            rare = (1.0 - HIGH_QUANTILE) / chance
            most = max(most, _quantile(straggler, 1.0 - rare))
        return RunTimeEstimate(self.expected(value), _from_log(least), _from_log(most))

    def learned(self, value: float) -> "_Estimates":
        """Return this with one more estimate."""
        weight = 1.0 - self.straggling(value)
        seen = self.seen + weight
        rate = weight * max(QUEUE_RATE, 1.0 / seen)
        excess = value - self.mean
        variance = self.variance + QUEUE_RATE * weight * (excess**2 - self.variance)
        return _Estimates(
            self.mean + rate * excess, max(LEAST_VARIANCE, variance), seen
        )


class RunTimeEstimates:
    """Averages of run times by queue, and of speeds by worker."""

    def __init__(self) -> None:
        self._estimates: dict[str, _Estimates] = {}
        self._speeds: dict[str, tuple[float, int]] = {}

    def estimate(self, queue: str, step: jobs.Step) -> RunTimeEstimate:
        """Return the run time of a step's tasks on an average worker."""
        known, value = self._known(queue, step)
        return known.estimate(value)

    def expected(self, queue: str, step: jobs.Step) -> datetime.timedelta:
        """Return the expected length of a step's tasks on an average worker."""
        known, value = self._known(queue, step)
        return known.expected(value)

    def _known(self, queue: str, step: jobs.Step) -> tuple[_Estimates, float]:
        """Return a queue's estimates and a step's own; one that is missing is usual."""
        learned = self._estimates.get(queue)
        if clock.to_milliseconds(step.estimate) >= MIN_RUN_TIME_MS:
            value = _to_log(step.estimate)
        else:
            value = learned.mean if learned else _to_log(DEFAULT_RUN_TIME)
        return learned or _Estimates(value), value

    def record_estimate(self, queue: str, step: jobs.Step) -> None:
        """Learn from a client's estimate."""
        if clock.to_milliseconds(step.estimate) >= MIN_RUN_TIME_MS:
            value = _to_log(step.estimate)
            known = self._estimates.get(queue)
            self._estimates[queue] = (
                known.learned(value) if known is not None else _Estimates(value)
            )

    def speed(self, report: runs.WorkerReport) -> float:
        """Return the speed of a worker; 1 is that of an average worker."""
        return math.exp(self._speeds.get(report.worker_id, (0.0, 0))[0])

    def expected_on_worker(
        self, expected: datetime.timedelta, report: runs.WorkerReport
    ) -> datetime.timedelta:
        """Return what a task of some expected length takes on a worker."""
        return expected / self.speed(report)

    def record_run(
        self,
        queue: str,
        step: jobs.Step,
        report: runs.WorkerReport,
        took: datetime.timedelta,
    ) -> None:
        """Learn from a run that has ended done."""
        took_ms = max(MIN_RUN_TIME_MS, clock.to_milliseconds(took))
        own_ms = max(MIN_RUN_TIME_MS, clock.to_milliseconds(self.expected(queue, step)))
        known, count = self._speeds.get(report.worker_id, (0.0, 0))
        surprise = _bounded(math.log(own_ms / took_ms) - known)
        rate = max(SPEED_RATE, 1.0 / (count + 2))
        self._speeds[report.worker_id] = (known + rate * surprise, count + 1)


def _bounded(value: float) -> float:
    return max(-MAX_LOG_RATIO, min(MAX_LOG_RATIO, value))


def _quantile(found: statistics.NormalDist, share: float) -> float:
    # Quotients of shares may round to 0 or 1, which have no finite quantile.
    return found.inv_cdf(min(0.999, max(0.001, share)))


def _density(excess: float, variance: float) -> float:
    return math.exp(-(excess**2) / (2.0 * variance)) / math.sqrt(variance)


def _to_log(estimate: datetime.timedelta) -> float:
    return math.log(max(MIN_RUN_TIME_MS, clock.to_milliseconds(estimate)))


def _from_log(value: float) -> datetime.timedelta:
    return clock.milliseconds(math.exp(value))
