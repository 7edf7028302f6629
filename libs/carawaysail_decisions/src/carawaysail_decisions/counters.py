"""Totals of a dispatcher since its start, for metrics."""

import typing


class Counters(typing.TypedDict):
    """Totals since the start."""

    submitted: int
    refused: int
    tasks_sent: int
    batches_sent: int
    retries: int
    unmatched_answers: int
    ejections: int


def zero() -> Counters:
    """Return totals of nothing."""
    return Counters(
        submitted=0,
        refused=0,
        tasks_sent=0,
        batches_sent=0,
        retries=0,
        unmatched_answers=0,
        ejections=0,
    )
