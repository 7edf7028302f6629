"""Admission policies: which submissions are refused early, and why."""

import datetime
import typing

from carawaysail_types import outcomes, registry


class AdmissionRequest(typing.NamedTuple):
    """A new submission and the load that it meets.

    Parameters
    ----------
    now, deadline : datetime.datetime
        The present instant, and the instant at which the caller stops waiting.
    tasks : int
        Tasks of the submission.
    expected_ms : float
        Expected run time of one task, in milliseconds.
    p90_ms : float
        90th percentile of the run time of one task on the slowest target of the pool,
        in milliseconds.
    pending_ms : float
        Expected work, queued or running, that is served before this submission, in
        slot-milliseconds.
    slots : float
        Slots of runners or processors of workers that this daemon may use for the
        submission, weighted by target speed; 0 if it has no share of any target.
    queued : int
        Tasks queued at this daemon.
    max_queued : int
        Tasks that may be queued at this daemon.
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
    """Decides whether a submission is admitted."""

    def refusal_reason(self, request: AdmissionRequest) -> outcomes.Reason | None:
        """Return why a submission is refused, or ``None`` to admit it."""


policies: registry.Registry[type[Policy]] = registry.Registry("admission policies")


@policies.register("accept_all")
class AcceptAll:
    """Admits every submission that fits into the queue."""

    def refusal_reason(self, request: AdmissionRequest) -> outcomes.Reason | None:
        """Return ``queue_full`` if the tasks do not fit into the queue."""
        if request.queued + request.tasks > request.max_queued:
            return outcomes.Reason.QUEUE_FULL
        return None


@policies.register("meets_deadline")
class MeetsDeadline:
    """Refuses submissions that are not expected to finish by their deadline.

    A longer queue would complete no more tasks; it would only make admitted
    submissions late.
    """

    def refusal_reason(self, request: AdmissionRequest) -> outcomes.Reason | None:
        """Return why a submission is refused, or ``None`` to admit it.

        The expected wait is the pending work divided by the slots. The expected run
        time of a submission with more tasks than slots is that of several waves: the
        mean for each wave but the last, and the 90th percentile for the last. A
        submission is refused if wait and run time exceed the time left, or if the wait
        alone exceeds the limit that ``MAX_WAIT_SHARE`` and ``MIN_ADMITTED_WAVES`` set.

        A submission that meets no pending work is admitted if it fits into the queue,
        whatever its expected run time: that may be a default or a wrong declaration.
        Without slots there is no estimate of the wait, and the submission is admitted.

        Returns
        -------
        outcomes.Reason or None
            ``queue_full``, ``deadline`` if it has passed, or ``would_miss_deadline``.
        """
        if request.queued + request.tasks > request.max_queued:
            return outcomes.Reason.QUEUE_FULL
        left_ms = (request.deadline - request.now).total_seconds() * 1000.0
        if left_ms <= 0.0:
            return outcomes.Reason.DEADLINE
        if request.slots <= 0.0 or request.pending_ms <= 0.0:
            return None
        wait_ms = request.pending_ms / request.slots
        extra_waves = max(0.0, request.tasks / request.slots - 1.0)
        run_ms = extra_waves * request.expected_ms + request.p90_ms
        if wait_ms + run_ms > left_ms:
            return outcomes.Reason.WOULD_MISS_DEADLINE
        max_wait_ms = max(
            MAX_WAIT_SHARE * left_ms, MIN_ADMITTED_WAVES * request.expected_ms
        )
        if wait_ms > max_wait_ms:
            return outcomes.Reason.WOULD_MISS_DEADLINE
        return None


MIN_ADMITTED_WAVES = 2.0
"""Waves, one running and one queued, that may be waited for despite the share below.

The submission must still be expected to finish by its deadline.
"""

MAX_WAIT_SHARE = 0.15
"""Share of the time left that may be spent waiting; the rest is kept for stragglers."""
