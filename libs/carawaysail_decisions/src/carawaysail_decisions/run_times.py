"""Learned run times, since declared ones mislead."""

import datetime
import typing

from carawaysail_types import work

DEFAULT_RUN_TIME_MS = 200.0
MEAN_GAIN = 0.02
TRUST_AFTER = 5
QUANTILE = 0.9
QUANTILE_STEP = 0.1
MEDIAN_STEP = 0.1


def longest_declared(tasks: tuple[work.Task, ...]) -> datetime.timedelta | None:
    """Return the longest run time that a caller declares, or ``None`` for none."""
    return max(
        (x.declared_run_time for x in tasks if x.declared_run_time is not None),
        default=None,
    )


class Key(typing.NamedTuple):
    """What run times are learned by.

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
    __slots__ = ("count", "high_ms", "mean_ms", "median_ms")

    def __init__(self, first_ms: float) -> None:
        self.count = 0
        self.mean_ms = first_ms
        self.high_ms = first_ms
        self.median_ms = first_ms


class RunTimes:
    """Run times seen for each service and kind, corrected for targets' speed."""

    def __init__(self) -> None:
        self._seen: dict[Key, _Estimate] = {}

    def expected_ms(self, key: Key, declared: datetime.timedelta | None) -> float:
        """Return the run time to expect, in milliseconds.

        Parameters
        ----------
        key : Key
            Service and kind.
        declared : datetime.timedelta or None
            What the caller declares; used until enough runs were seen.
        """
        estimate = self._seen.get(key)
        if estimate is not None and estimate.count >= TRUST_AFTER:
            return estimate.mean_ms
        if declared is not None:
            return declared.total_seconds() * 1000.0
        return estimate.mean_ms if estimate is not None else DEFAULT_RUN_TIME_MS

    def p90_ms(self, key: Key) -> float | None:
        """Return the 90th percentile seen, in milliseconds; ``None`` when cold."""
        estimate = self._seen.get(key)
        if estimate is None or estimate.count < TRUST_AFTER:
            return None
        return estimate.high_ms

    def median_ms(self, key: Key, declared: datetime.timedelta | None) -> float:
        """Return the median run time to expect, in milliseconds.

        The lane follows it: a mean would move all work of a kind to the long lane
        after a single straggler.
        """
        estimate = self._seen.get(key)
        if estimate is not None and estimate.count >= TRUST_AFTER:
            return estimate.median_ms
        return self.expected_ms(key, declared)

    def record_run(self, key: Key, ran_ms: float, speed: float) -> float:
        """Learn from one run.

        Parameters
        ----------
        key : Key
            Service and kind.
        ran_ms : float
            Run time seen, in milliseconds.
        speed : float
            Learned slowness of the target; 1 is the average.

        Returns
        -------
        float
            Run time over the expected one: the target's slowness in this run.
        """
        corrected = ran_ms / speed
        estimate = self._seen.get(key)
        if estimate is None:
            estimate = self._seen[key] = _Estimate(corrected)
        ratio = ran_ms / max(estimate.mean_ms, 0.01)
        estimate.count += 1
        gain = max(MEAN_GAIN, 1.0 / estimate.count)
        estimate.mean_ms += gain * (corrected - estimate.mean_ms)
        is_longer = corrected > estimate.median_ms
        half_step = 0.5 * MEDIAN_STEP * estimate.median_ms
        estimate.median_ms += half_step if is_longer else -half_step
        step = QUANTILE_STEP * estimate.mean_ms
        above = corrected > estimate.high_ms
        estimate.high_ms += step * QUANTILE if above else -step * (1.0 - QUANTILE)
        return ratio
