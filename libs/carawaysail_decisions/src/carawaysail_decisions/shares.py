"""Shares: the part of each target that this daemon may use.

All entry daemons of a data centre compute the same shares from the same gossip, so no
message is needed for a task. Runners are divided by slots. Workers are assigned as a
whole, so that large tasks still fit. If a group of services has fewer workers than
there are daemons, each daemon gets a part of every worker instead; otherwise some
daemons could not serve the group at all. While daemons have different views, targets
are used a little too much or too little until the next gossip; correctness never
depends on the shares.
"""

import collections.abc
import datetime
import functools
import hashlib
import math
import typing

from carawaysail_decisions import capacity, pending_work

MIN_DEMAND = 1.0
"""Least demand that a daemon reports, in tasks."""
SCORE_CACHE_SIZE = 65_536
"""Pairs of target and daemon whose hash is cached."""
SMOOTHING_TIME = datetime.timedelta(seconds=2)
"""Time constant of the smoothed demand."""
REPORT_TOLERANCE = 0.4
"""Relative difference of the smoothed demand up to which the reported one stays."""

JUMP_FACTOR = 2.0
"""A demand over this multiple of the reported one is reported at once."""


class Demand(typing.NamedTuple):
    """Demand of one entry daemon.

    Parameters
    ----------
    vm : str
        Name of the daemon.
    tasks : float
        Tasks queued and running there, as the daemon reports them.
    """

    vm: str
    tasks: float


class ReportedDemand:
    """The demand that this daemon reports: smoothed, but a jump is reported at once.

    A share that moves while tasks of the daemon that had it still run oversubscribes
    the target, and daemons of equal load need equal shares. So random variation should
    neither change the reported demand nor keep it different from the others'.
    """

    def __init__(self) -> None:
        self._reported = MIN_DEMAND
        self._smoothed = 0.0
        self._updated_at: datetime.datetime | None = None

    def record_tasks(self, tasks: int, now: datetime.datetime) -> float:
        """Update the demand and return the one to report, in tasks.

        Parameters
        ----------
        tasks : int
            Tasks queued and running now.
        now : datetime.datetime
            The present instant.
        """
        if self._updated_at is not None:
            decay = math.exp(-((now - self._updated_at) / SMOOTHING_TIME))
            self._smoothed = tasks + decay * (self._smoothed - tasks)
        self._updated_at = now
        if tasks > JUMP_FACTOR * self._reported:
            self._smoothed = float(tasks)
        if abs(self._smoothed - self._reported) > REPORT_TOLERANCE * self._reported:
            self._reported = max(MIN_DEMAND, round(self._smoothed, 1))
        return self._reported


def split_slots(
    target_id: str, slots: int, demands: collections.abc.Sequence[Demand]
) -> dict[str, int]:
    """Divide the slots of one runner by demand.

    Each daemon gets one slot if there are enough; the others are divided by demand
    with largest remainders. Ties are broken by a hash, so that targets differ.

    Parameters
    ----------
    target_id : str
        Name of the runner.
    slots : int
        Its slots.
    demands : sequence of Demand
        Demand of each daemon of the data centre.

    Returns
    -------
    dict of str to int
        Slots by daemon; they add up to ``slots``. Empty if there are no daemons.

    Examples
    --------
    >>> split_slots("r1", 8, [Demand("a", 1), Demand("b", 1)])
    {'a': 4, 'b': 4}
    """
    if not demands:
        return {}
    minimum = 1 if len(demands) <= slots else 0
    divisible = slots - minimum * len(demands)
    total = sum(demand.tasks for demand in demands) or 1.0
    exact = {demand.vm: divisible * demand.tasks / total for demand in demands}
    assigned = {vm: minimum + int(part) for vm, part in exact.items()}
    unassigned = slots - sum(assigned.values())
    order = sorted(
        exact, key=lambda vm: (int(exact[vm]) - exact[vm], _score(target_id, vm))
    )
    for vm in order[:unassigned]:
        assigned[vm] += 1
    return assigned


def assign_workers(
    target_ids: collections.abc.Iterable[str],
    demands: collections.abc.Sequence[Demand],
) -> dict[str, str]:
    """Assign each worker to one daemon, by demand.

    By rendezvous hashing only few workers move when the demand changes.

    Returns
    -------
    dict of str to str
        Daemon by worker; empty if there are no daemons or no workers.
    """
    ids = sorted(target_ids)
    if not demands or not ids:
        return {}
    counts = split_slots("workers", len(ids), demands)
    scored = sorted(
        (_score(target_id, demand.vm), target_id, demand.vm)
        for target_id in ids
        for demand in demands
    )
    assigned: dict[str, str] = {}
    for _, target_id, vm in scored:
        if target_id not in assigned and counts[vm] > 0:
            assigned[target_id] = vm
            counts[vm] -= 1
    return assigned


def compute_shares(
    vm: str,
    specs: collections.abc.Iterable[capacity.TargetSpec],
    demands: collections.abc.Sequence[Demand],
) -> dict[str, float]:
    """Return this daemon's share of each target, 0 to 1.

    Parameters
    ----------
    vm : str
        Name of this daemon.
    specs : iterable of capacity.TargetSpec
        The targets of the data centre.
    demands : sequence of Demand
        Demand of each daemon of the data centre.

    Returns
    -------
    dict of str to float
        Shares by target; targets that are leaving, and workers assigned to other
        daemons, are absent.
    """
    usable = [spec for spec in specs if not spec.leaving]
    result: dict[str, float] = {}
    for workers in _worker_groups(usable):
        result.update(_worker_shares(vm, workers, demands))
    for spec in usable:
        if spec.kind == "runner":
            slots = int(spec.capacity.processors)
            assigned = split_slots(spec.target_id, slots, demands).get(vm, 0)
            result[spec.target_id] = assigned / slots
    return result


def _worker_groups(specs: list[capacity.TargetSpec]) -> list[list[str]]:
    """Return the workers of each group of services that share workers."""
    workers = [spec for spec in specs if spec.kind == "worker" and spec.services]
    representatives = pending_work.find_representatives(
        (spec.kind, spec.services) for spec in workers
    )
    groups: dict[str, list[str]] = {}
    for spec in workers:
        representative = representatives[spec.kind, next(iter(spec.services))]
        groups.setdefault(representative, []).append(spec.target_id)
    return [groups[representative] for representative in sorted(groups)]


def _worker_shares(
    vm: str, workers: list[str], demands: collections.abc.Sequence[Demand]
) -> dict[str, float]:
    if len(workers) >= len(demands):
        assigned = assign_workers(workers, demands)
        return {name: 1.0 for name, owner in assigned.items() if owner == vm}
    total = sum(demand.tasks for demand in demands)
    own = sum(demand.tasks for demand in demands if demand.vm == vm)
    return dict.fromkeys(workers, own / total) if own else {}


@functools.lru_cache(maxsize=SCORE_CACHE_SIZE)
def _score(target_id: str, vm: str) -> int:
    """Return the rendezvous hash of a target and a daemon; the smallest one wins."""
    raw = hashlib.blake2b(f"{target_id}/{vm}".encode(), digest_size=8).digest()
    return int.from_bytes(raw, "big")
