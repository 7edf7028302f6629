"""Results of a simulation: shares of jobs in time, late, refused and failed."""

import typing

from carawaysail_model import pooled, sites, sizes
from carawaysail_types import jobs

LATE_WORTH_SHARE = 0.2
"""Worth of a late answer, as a share of the worth of one in time."""

MAX_LATE_FACTOR = 3.0
"""An answer that takes longer than this multiple of its objective is worth nothing."""


class Result(typing.TypedDict):
    """Result of a simulation.

    Attributes
    ----------
    jobs : int
        Number of jobs.
    worth : float
        Worth that was earned, as a share of the worth of all jobs.
    pooled : float
        The same for the reference: one pooled queue that knows all run times.
    worst_kind : float
        Smallest ``worth`` of a kind of job.
    least_size_ratio : float
        Least share of the jobs of a size class that are served, relative to their kind.
    in_time, late, refused, failed : float
        Shares of all jobs. Late answers are those that still have some worth; later
        ones are in none of the shares. Failed jobs are those whose tasks failed or
        whose client got no definite outcome.
    starts : int
        Number of runs that were started.
    broken : int
        Number of violated invariants.
    """

    jobs: int
    worth: float
    pooled: float
    worst_kind: float
    least_size_ratio: float
    in_time: float
    late: float
    refused: float
    failed: float
    starts: int
    broken: int


def summarise(simulation: sites.Simulation) -> Result:
    """Return the result of a simulation that has run."""
    kinds = {x.kind for x in simulation.served}
    served = simulation.served
    count = max(1, len(served))
    return Result(
        jobs=len(served),
        worth=_worth(served),
        pooled=_worth(pooled.serve(simulation)),
        worst_kind=min((_worth_of_kind(served, x) for x in kinds), default=0.0),
        least_size_ratio=sizes.least_size_ratio(served),
        in_time=sum(_is_in_time(x) for x in served) / count,
        late=sum(_is_late(x) for x in served) / count,
        refused=_share(served, jobs.Verdict.REFUSED),
        failed=_share(served, jobs.Verdict.UNKNOWN)
        + _share(served, jobs.Verdict.FAILED),
        starts=simulation.history.starts,
        broken=len(simulation.history.violations),
    )


def _is_in_time(job: sites.Served) -> bool:
    is_completed = job.outcome.verdict is jobs.Verdict.COMPLETED
    return is_completed and job.response_ms <= job.response_objective_ms


def _is_late(job: sites.Served) -> bool:
    is_completed = job.outcome.verdict is jobs.Verdict.COMPLETED
    return (
        is_completed
        and job.response_objective_ms
        < job.response_ms
        <= MAX_LATE_FACTOR * job.response_objective_ms
    )


def _worth(served: list[sites.Served]) -> float:
    """Return the earned share of the worth of all jobs; 1 if there are none."""
    total = sum(x.worth for x in served)
    earned = sum(
        x.worth * (1.0 if _is_in_time(x) else LATE_WORTH_SHARE if _is_late(x) else 0.0)
        for x in served
    )
    return earned / total if total else 1.0


def _worth_of_kind(served: list[sites.Served], kind: str) -> float:
    return _worth([x for x in served if x.kind == kind])


def _share(served: list[sites.Served], verdict: jobs.Verdict) -> float:
    return sum(x.outcome.verdict is verdict for x in served) / max(1, len(served))
