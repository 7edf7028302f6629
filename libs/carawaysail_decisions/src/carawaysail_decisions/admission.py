"""Admission policies: what is refused early, because it would be late anyway."""

import datetime
import typing

from carawaysail_types import outcomes, registry


class AdmissionRequest(typing.NamedTuple):
    """A submission at the door.

    Parameters
    ----------
    now, deadline : datetime.datetime
        The present instant and when the answer is due.
    tasks : int
        Tasks of the submission.
    expected_ms : float
        Expected run time of one task.
    p90_ms : float
        Run time that nine of ten tasks do not exceed, on a slow target.
    pending_ms : float
        Expected work of its lane that is queued or running already, in slot-ms.
    slots : float
        Slots that this daemon may use for it, as if all targets were average.
    queued : int
        Tasks that wait.
    max_queued : int
        Tasks that may wait.
    """

    now: datetime.datetime
    deadline: datetime.datetime
    tasks: int
    expected_ms: float
    p90_ms: float
    pending_ms: float
    slots: float
    queued: int
    max_queued: int


class Policy(typing.Protocol):
    """Decides whether a submission is let in."""

    def refusal_reason(self, offer: AdmissionRequest) -> outcomes.Reason | None:
        """Return why a submission is refused, or ``None``."""


policies: registry.Registry[type[Policy]] = registry.Registry("admission policies")


@policies.register("accept_all")
class AcceptAll:
    """Refuses only what does not fit into the queue."""

    def refusal_reason(self, offer: AdmissionRequest) -> outcomes.Reason | None:
        """Return ``queue_full`` where the queue is full."""
        if offer.queued + offer.tasks > offer.max_queued:
            return outcomes.Reason.QUEUE_FULL
        return None


@policies.register("meets_deadline")
class MeetsDeadline:
    """Refuses what cannot be answered by its deadline, as far as can be told.

    A longer queue would finish no more work; it would only make accepted work late.
    """

    def refusal_reason(self, offer: AdmissionRequest) -> outcomes.Reason | None:
        """Return ``would_miss_deadline`` or ``queue_full``, or ``None``."""
        if offer.queued + offer.tasks > offer.max_queued:
            return outcomes.Reason.QUEUE_FULL
        left_ms = (offer.deadline - offer.now).total_seconds() * 1000.0
        if left_ms <= 0.0:
            return outcomes.Reason.DEADLINE
        if offer.slots <= 0.0 or offer.pending_ms <= 0.0:
            return None
        wait_ms = offer.pending_ms / offer.slots
        more_waves = max(0.0, offer.tasks / offer.slots - 1.0)
        run_ms = more_waves * offer.expected_ms + offer.p90_ms
        if wait_ms + run_ms > left_ms:
            return outcomes.Reason.WOULD_MISS_DEADLINE
        longest_ms = max(MAX_WAIT_SHARE * left_ms, WAVES * offer.expected_ms)
        if wait_ms > longest_ms:
            return outcomes.Reason.WOULD_MISS_DEADLINE
        return None


WAVES = 2.0
"""Waves of work ahead that are always let in: those running, and as many waiting."""

MAX_WAIT_SHARE = 0.15
"""Share of the time left that may go into waiting; the rest is for stragglers."""
