"""Totals of a dispatcher since its start, exported as metrics."""

import typing


class Counters(typing.TypedDict):
    """Totals since the start of the dispatcher.

    Parameters
    ----------
    submitted, refused : int
        Submissions received, and those not admitted.
    tasks_sent, batches_sent : int
        Tasks, and batches of them, sent to targets.
    retries : int
        Retries of tasks that may have started; each is charged to a retry budget.
    unmatched_answers : int
        Answers for tasks that were not at the target: late, duplicate or misdirected.
    ejections : int
        Ejections of targets.
    """

    submitted: int
    refused: int
    tasks_sent: int
    batches_sent: int
    retries: int
    unmatched_answers: int
    ejections: int


def zero() -> Counters:
    """Return counters with all totals 0."""
    return Counters(
        submitted=0,
        refused=0,
        tasks_sent=0,
        batches_sent=0,
        retries=0,
        unmatched_answers=0,
        ejections=0,
    )
