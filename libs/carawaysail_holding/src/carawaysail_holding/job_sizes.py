"""Size classes of jobs: the rank of a job's work among the jobs of its queue.

Jobs that need many processors for long are the first that find no room at peak load.
The classes show in logs and metrics whether they are served as often as others.
"""

import enum
import math

LARGEST_RANK = 0.9
LARGE_RANK = 0.7
"""Shares of a queue's jobs with less work than the largest and the large ones."""

QUANTILE_STEP = 0.05
"""Least step of a moving quantile of log work, for each job."""


class SizeClass(enum.Enum):
    """The largest tenth of a queue's jobs, the fifth below it, and the others."""

    LARGEST = "largest"
    LARGE = "large"
    USUAL = "usual"


class _Quantile:
    """A moving quantile: it rises and falls in steps that balance at its rank."""

    def __init__(self, rank: float, value: float) -> None:
        self._rank = rank
        self._count = 0
        self.value = value

    def record(self, value: float) -> None:
        self._count += 1
        step = max(QUANTILE_STEP, 1.0 / self._count)
        is_below = value < self.value
        self.value += step * (self._rank - 1.0 if is_below else self._rank)


class JobSizes:
    """Moving quantiles of the work of jobs, by queue."""

    def __init__(self) -> None:
        self._quantiles: dict[str, tuple[_Quantile, _Quantile]] = {}

    def classify(self, queue: str, work: float) -> SizeClass:
        """Record the work of a job and return its class among those before it.

        Parameters
        ----------
        queue : str
            Name of the queue.
        work : float
            Expected work of the job: run times times processors, in any unit.
        """
        log_work = math.log(max(1.0, work))
        if queue not in self._quantiles:
            self._quantiles[queue] = (
                _Quantile(LARGEST_RANK, log_work),
                _Quantile(LARGE_RANK, log_work),
            )
        largest, large = self._quantiles[queue]
        if log_work > largest.value:
            size_class = SizeClass.LARGEST
        elif log_work > large.value:
            size_class = SizeClass.LARGE
        else:
            size_class = SizeClass.USUAL
        largest.record(log_work)
        large.record(log_work)
        return size_class
