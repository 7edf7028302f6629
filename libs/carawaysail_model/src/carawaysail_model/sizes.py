"""Service by size of job: how often the largest jobs of a kind are served.

The size of a job is its work: the run times of its tasks on an average worker, each
multiplied by the processors that the task occupies.
"""

import typing

from carawaysail_model import sites
from carawaysail_types import jobs

MIN_SIZE_RATIO = 0.5
"""Least share of the jobs of a size class that are served, relative to their kind."""


class SizeClass(typing.NamedTuple):
    """Jobs of a kind by rank of their size.

    Parameters
    ----------
    name : str
        Name of the class.
    first, last : float
        Ranks from the largest job on, as shares of the kind's jobs.
    """

    name: str
    first: float
    last: float


SIZE_CLASSES = (
    SizeClass("largest_tenth", 0.0, 0.1),
    SizeClass("next_fifth", 0.1, 0.3),
    SizeClass("others", 0.3, 1.0),
)


class SizeRow(typing.TypedDict):
    """How the jobs of one kind and size class were served.

    Attributes
    ----------
    kind, size_class : str
        The kind of job, and the name of the size class.
    jobs : int
        Number of jobs.
    served, refused, failed : int
        Number of these with an answer before their client left, that were refused, and
        that got no definite outcome or failed.
    size_ratio : float
        Share of them that were served, relative to that of all jobs of the kind.
    """

    kind: str
    size_class: str
    jobs: int
    served: int
    refused: int
    failed: int
    size_ratio: float


def by_size(served: list[sites.Served]) -> list[SizeRow]:
    """Return how the jobs of each kind and size class were served.

    Parameters
    ----------
    served : list of sites.Served
        Jobs of a simulation that have an outcome.
    """
    rows: list[SizeRow] = []
    for kind in sorted({x.kind for x in served}):
        of_kind = sorted((x for x in served if x.kind == kind), key=lambda x: -x.work)
        kind_share = _completed(of_kind) / len(of_kind)
        for size_class in SIZE_CLASSES:
            first = round(size_class.first * len(of_kind))
            last = round(size_class.last * len(of_kind))
            if last > first:
                rows.append(_row(size_class.name, of_kind[first:last], kind_share))
    return rows


def least_size_ratio(served: list[sites.Served]) -> float:
    """Return the least ``size_ratio`` of all kinds and size classes; 1 without jobs."""
    return min((x["size_ratio"] for x in by_size(served)), default=1.0)


def _row(name: str, served: list[sites.Served], kind_share: float) -> SizeRow:
    completed = _completed(served)
    refused = sum(x.outcome.verdict is jobs.Verdict.REFUSED for x in served)
    share = completed / len(served)
    return SizeRow(
        kind=served[0].kind,
        size_class=name,
        jobs=len(served),
        served=completed,
        refused=refused,
        failed=len(served) - completed - refused,
        size_ratio=share / kind_share if kind_share else 1.0,
    )


def _completed(served: list[sites.Served]) -> int:
    return sum(x.outcome.verdict is jobs.Verdict.COMPLETED for x in served)
