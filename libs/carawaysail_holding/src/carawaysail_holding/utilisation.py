"""Utilisation of workers."""

import collections.abc

from carawaysail_holding import held_worker


def processor_utilisation(
    workers: collections.abc.Sequence[held_worker.HeldWorker],
) -> float:
    """Return the share of the workers' processors that is in use, from 0 to 1.

    Without workers it is 1.
    """
    total = sum(x.report.resources.processor_milli for x in workers)
    free = sum(x.ledger.free().processor_milli for x in workers)
    return 1.0 - free / total if total else 1.0
