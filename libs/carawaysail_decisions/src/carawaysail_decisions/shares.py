"""Shares: which part of each target this daemon may use.

Every entry daemon of a data centre works out the same shares from the same gossip, so
no message is spent on a task. Runners are split by slots; workers are given whole, so
that large tasks still fit. Where a group of services has fewer workers than there are
daemons, each daemon gets a part of each worker, or some would serve nobody. Differing
views cost a little over- or under-use until the next gossip, never correctness.
"""

import collections.abc
import datetime
import functools
import hashlib
import math
import typing

from carawaysail_decisions import capacity, pending_work

MIN_DEMAND = 1.0
SCORE_CACHE_SIZE = 65_536
SMOOTHING_TIME = datetime.timedelta(seconds=2)
REPORT_TOLERANCE = 0.4
"""A demand told is kept while the smoothed one differs by at most this share of it."""

JUMP_FACTOR = 2.0
"""A demand of this many times the one told is told at once."""


class Demand(typing.NamedTuple):
    """What one entry daemon asks for.

    Parameters
    ----------
    vm : str
        Name of the daemon.
    tasks : float
        Tasks queued and running there.
    """

    vm: str
    tasks: float


class ReportedDemand:
    """The demand that this daemon tells the others: smoothed, but a leap at once.

    A share that moves while its old holder's tasks still run over-subscribes the
    target, and daemons of equal load need equal shares; so chance alone should neither
    move what is told nor keep it apart from what the others tell.
    """

    def __init__(self) -> None:
        self._told = MIN_DEMAND
        self._smooth = 0.0
        self._at: datetime.datetime | None = None

    def record_tasks(self, tasks: int, now: datetime.datetime) -> float:
        """Take in how many tasks wait or run, and return the demand to tell.

        Parameters
        ----------
        tasks : int
            The tasks.
        now : datetime.datetime
            The present instant.
        """
        if self._at is not None:
            kept = math.exp(-((now - self._at) / SMOOTHING_TIME))
            self._smooth = tasks + kept * (self._smooth - tasks)
        self._at = now
        if tasks > JUMP_FACTOR * self._told:
            self._smooth = float(tasks)
        if abs(self._smooth - self._told) > REPORT_TOLERANCE * self._told:
            self._told = max(MIN_DEMAND, round(self._smooth, 1))
        return self._told


def split_slots(
    target_id: str, slots: int, demands: collections.abc.Sequence[Demand]
) -> dict[str, int]:
    """Split the slots of one runner by demand.

    Each daemon gets at least one slot where there are enough; the rest follows demand
    by largest remainder, ties broken by a hash so that targets differ.

    Returns
    -------
    dict of str to int
        Slots by daemon; they add up to ``slots``.

    Examples
    --------
    >>> split("r1", 8, [Demand("a", 1), Demand("b", 1)])
    {'a': 4, 'b': 4}
    """
    if not demands:
        return {}
    floor = 1 if len(demands) <= slots else 0
    rest = slots - floor * len(demands)
    total = sum(demand.tasks for demand in demands) or 1.0
    exact = {demand.vm: rest * demand.tasks / total for demand in demands}
    given = {vm: floor + int(part) for vm, part in exact.items()}
    left = slots - sum(given.values())
    order = sorted(
        exact, key=lambda vm: (int(exact[vm]) - exact[vm], _score(target_id, vm))
    )
    for vm in order[:left]:
        given[vm] += 1
    return given


def assign_workers(
    target_ids: collections.abc.Iterable[str],
    demands: collections.abc.Sequence[Demand],
) -> dict[str, str]:
    """Give each worker to one daemon, by demand, moving few when demand changes.

    Returns
    -------
    dict of str to str
        Daemon by worker.
    """
    ids = sorted(target_ids)
    if not demands or not ids:
        return {}
    room = split_slots("workers", len(ids), demands)
    scored = sorted(
        (_score(target_id, demand.vm), target_id, demand.vm)
        for target_id in ids
        for demand in demands
    )
    given: dict[str, str] = {}
    for _, target_id, vm in scored:
        if target_id not in given and room[vm] > 0:
            given[target_id] = vm
            room[vm] -= 1
    return given


def compute_shares(
    vm: str,
    specs: collections.abc.Iterable[capacity.TargetSpec],
    demands: collections.abc.Sequence[Demand],
) -> dict[str, float]:
    """Return this daemon's share of each target, 0 to 1.

    Parameters
    ----------
    vm : str
        This daemon.
    specs : iterable of capacity.TargetSpec
        The targets of the data centre.
    demands : sequence of Demand
        What each daemon of the data centre asks for.
    """
    kept = [spec for spec in specs if not spec.leaving]
    found: dict[str, float] = {}
    for workers in _worker_groups(kept):
        found.update(_worker_shares(vm, workers, demands))
    for spec in kept:
        if spec.kind == "runner":
            slots = int(spec.capacity.processors)
            given = split_slots(spec.target_id, slots, demands).get(vm, 0)
            found[spec.target_id] = given / slots
    return found


def _worker_groups(specs: list[capacity.TargetSpec]) -> list[list[str]]:
    """Return the workers of each group of services that share workers."""
    workers = [spec for spec in specs if spec.kind == "worker" and spec.services]
    leaders = pending_work.find_representatives(
        (spec.kind, spec.services) for spec in workers
    )
    groups: dict[str, list[str]] = {}
    for spec in workers:
        leader = leaders[spec.kind, next(iter(spec.services))]
        groups.setdefault(leader, []).append(spec.target_id)
    return [groups[leader] for leader in sorted(groups)]


def _worker_shares(
    vm: str, workers: list[str], demands: collections.abc.Sequence[Demand]
) -> dict[str, float]:
    if len(workers) >= len(demands):
        holders = assign_workers(workers, demands)
        return {name: 1.0 for name, holder in holders.items() if holder == vm}
    total = sum(demand.tasks for demand in demands)
    mine = sum(demand.tasks for demand in demands if demand.vm == vm)
    return dict.fromkeys(workers, mine / total) if mine else {}


@functools.lru_cache(maxsize=SCORE_CACHE_SIZE)
def _score(target_id: str, vm: str) -> int:
    raw = hashlib.blake2b(f"{target_id}/{vm}".encode(), digest_size=8).digest()
    return int.from_bytes(raw, "big")
