"""Utilisation of workers."""

import collections.abc

from carawaysail_holding import held_worker

ROUNDING = 0.999
"""Workers of one speed are all fast, though their mean is rounded."""


def least_fast_speed(speeds: collections.abc.Sequence[float]) -> float:
    """Return the least speed of a fast worker, the mean of all; there must be one."""
    return ROUNDING * sum(speeds) / len(speeds)


def fast_utilisation(
    workers: collections.abc.Sequence[held_worker.HeldWorker],
    speed_of: collections.abc.Callable[[held_worker.HeldWorker], float],
) -> float:
    """Return the share of the fast workers' processors that is in use, from 0 to 1.

    Without workers it is 1.

    Parameters
    ----------
    workers : sequence of held_worker.HeldWorker
        Workers of a service.
    speed_of : callable
        Returns the speed of a worker.
    """
    speeds = [speed_of(x) for x in workers]
    least_speed = least_fast_speed(speeds) if speeds else 0.0
    total = free = 0
    for worker, speed in zip(workers, speeds, strict=True):
        if speed >= least_speed:
            total += worker.report.resources.processor_milli
            free += worker.ledger.free().processor_milli
    return 1.0 - free / total if total else 1.0
