"""Run times estimated from completed runs.

Run times that callers declare are often wrong; they are used only until enough runs
have been measured.
"""

import datetime
import typing

from carawaysail_types import work

DEFAULT_RUN_TIME_MS = 200.0
"""Expected run time where none has been measured or declared."""
MIN_MEAN_GAIN = 0.02
"""Least weight of a new run in the mean, so that the mean follows changes."""
MIN_RUNS = 5
"""Measured runs from which on an estimate replaces the declared run time."""
QUANTILE = 0.9
QUANTILE_STEP = 0.1
"""Step up plus step down of the 90th percentile's estimate, as a share of the mean."""
MEDIAN_STEP = 0.1
"""Step up plus step down of the median's estimate, as a share of the median."""


def longest_declared(tasks: tuple[work.Task, ...]) -> datetime.timedelta | None:
    """Return the longest declared run time, or ``None`` if no task declares one."""
    return max(
        (x.declared_run_time for x in tasks if x.declared_run_time is not None),
        default=None,
    )


class Key(typing.NamedTuple):
    """Identifies the runs that share an estimate.

    Parameters
    ----------
    service : str
        Name of the service.
    kind : str
        Kind of job, or ``request``.
    """

    service: str
    kind: str


class _Estimate:
    __slots__ = ("count", "p90_ms", "mean_ms", "median_ms")

    def __init__(self, first_ms: float) -> None:
        self.count = 0
        self.mean_ms = first_ms
        self.p90_ms = first_ms
        self.median_ms = first_ms


class RunTimes:
    """Estimated run times by service and kind of job, on a target of average speed.

    The mean is smoothed exponentially; median and 90th percentile are moved by a small
    step up or down with each run, so that no runs need to be stored. The 90th
    percentile rises by 0.9 of its step and falls by 0.1 of it, so that it is in balance
    where a tenth of the runs take longer.
    """

    def __init__(self) -> None:
        self._estimates: dict[Key, _Estimate] = {}

    def expected_ms(self, key: Key, declared: datetime.timedelta | None) -> float:
        """Return the expected run time, in milliseconds.

        Parameters
        ----------
        key : Key
            Service and kind of job.
        declared : datetime.timedelta or None
            Run time that the caller declares, used until ``MIN_RUNS`` runs have been
            measured; ``None`` if it declares none.
        """
        estimate = self._estimates.get(key)
        if estimate is not None and estimate.count >= MIN_RUNS:
            return estimate.mean_ms
        if declared is not None:
            return declared.total_seconds() * 1000.0
        return estimate.mean_ms if estimate is not None else DEFAULT_RUN_TIME_MS

    def p90_ms(self, key: Key) -> float | None:
        """Return the estimated 90th percentile of the run time, in milliseconds.

        Returns
        -------
        float or None
            ``None`` until ``MIN_RUNS`` runs have been measured.
        """
        estimate = self._estimates.get(key)
        if estimate is None or estimate.count < MIN_RUNS:
            return None
        return estimate.p90_ms

    def median_ms(self, key: Key, declared: datetime.timedelta | None) -> float:
        """Return the expected median run time, in milliseconds.

        It determines the lane. With the mean, a single straggler would move all tasks
        of a kind to the long lane. Until ``MIN_RUNS`` runs have been measured it is
        the same as ``expected_ms``.

        Parameters
        ----------
        key : Key
            Service and kind of job.
        declared : datetime.timedelta or None
            Run time that the caller declares; see ``expected_ms``.
        """
        estimate = self._estimates.get(key)
        if estimate is not None and estimate.count >= MIN_RUNS:
            return estimate.median_ms
        return self.expected_ms(key, declared)

    def record_run(self, key: Key, ran_ms: float, slowness: float) -> float:
        """Update the estimates with one run.

        Parameters
        ----------
        key : Key
            Service and kind of job.
        ran_ms : float
            Measured run time, in milliseconds.
        slowness : float
            Estimated slowness of the target; 1 is the average.

        Returns
        -------
        float
            Measured run time divided by the mean before this run: the slowness of the
            target in this run.
        """
        normalized_ms = ran_ms / slowness
        estimate = self._estimates.get(key)
        if estimate is None:
            estimate = self._estimates[key] = _Estimate(normalized_ms)
        ratio = ran_ms / max(estimate.mean_ms, 0.01)
        estimate.count += 1
        gain = max(MIN_MEAN_GAIN, 1.0 / estimate.count)
        estimate.mean_ms += gain * (normalized_ms - estimate.mean_ms)
        is_above_median = normalized_ms > estimate.median_ms
        half_step = 0.5 * MEDIAN_STEP * estimate.median_ms
        estimate.median_ms += half_step if is_above_median else -half_step
        step = QUANTILE_STEP * estimate.mean_ms
        is_above_p90 = normalized_ms > estimate.p90_ms
        estimate.p90_ms += step * QUANTILE if is_above_p90 else -step * (1.0 - QUANTILE)
        return ratio
