"""When VMs, links, workers and the store were impaired, and who was in touch."""

import bisect
import collections
import collections.abc
import math
import typing

from carawaysail_soak import history


class Interval(typing.NamedTuple):
    """An impairment; ``vm`` is empty if it concerns the store or all VMs.

    ``layer`` is that of the fault, or ``term`` or ``start`` for planned work.
    """

    begin: float
    end: float
    vm: str
    layer: str


class Impairments:
    """When VMs, the store and workers were impaired.

    Parameters
    ----------
    intervals : iterable of Interval
        All impairments.
    contact_s : float
        Time without impairment after which a VM is in touch, in seconds.
    """

    def __init__(
        self, intervals: collections.abc.Iterable[Interval], contact_s: float
    ) -> None:
        self.intervals = tuple(intervals)
        self._contact_s = contact_s

    def in_touch(self, vm: str, at: float) -> bool:
        """Return whether a VM is in touch; every VM has to be if the name is empty."""
        return not any(
            x.begin <= at and x.end >= at - self._contact_s
            for x in self.intervals
            if x.layer != "workers" and (not vm or x.vm in (vm, ""))
        )

    def is_calm(self, begin: float, end: float, planned: tuple[str, ...] = ()) -> bool:
        """Return whether nothing is impaired from ``contact_ms`` before to ``end``.

        Layers in ``planned`` do not count. This allows more than the rules do, which
        look at the VMs, links and workers that took part.
        """
        return not any(
            x.begin <= end and x.end >= begin - self._contact_s
            for x in self.intervals
            if x.layer not in planned
        )


def first_after(instants: list[float], at: float) -> float:
    """Return the first of sorted instants that is after one; infinity if none is."""
    index = bisect.bisect_right(instants, at)
    return instants[index] if index < len(instants) else math.inf


def gather(recorded: history.History, grace_s: float, contact_s: float) -> Impairments:
    """Return the impairments of a history; both times in seconds."""
    return Impairments(_gather_intervals(recorded, grace_s), contact_s)


def _gather_intervals(
    recorded: history.History, grace_s: float
) -> collections.abc.Iterator[Interval]:
    ends: dict[tuple[str, str], list[float]] = collections.defaultdict(list)
    for fault in recorded.of(history.FaultEnded):
        ends[fault.kind, fault.target].append(fault.at)
    for begun in recorded.of(history.FaultBegun):
        end = first_after(ends[begun.kind, begun.target], begun.at - 1e-9)
        if begun.layer not in ("config", "clients"):
            for vm in begun.vms or ("",):
                yield Interval(begun.at, end, vm, begun.layer)
    yield from _gather_process_intervals(recorded, grace_s)


def _gather_process_intervals(
    recorded: history.History, grace_s: float
) -> collections.abc.Iterator[Interval]:
    """Yield freezes, ends and starts; the layers of planned work are its own.

    A VM whose process has ended impairs the others no more. A SIGKILL that follows a
    SIGTERM after the grace is planned, too.
    """
    resumed: dict[int, list[float]] = collections.defaultdict(list)
    ended: dict[int, list[float]] = collections.defaultdict(list)
    for event in recorded.events:
        match event:
            case history.Signalled() if event.signal in ("SIGCONT", "SIGKILL"):
                resumed[event.pid].append(event.at)
            case history.ProcessEnded():
                ended[event.pid].append(event.at)
            case history.ProcessStarted():
                yield Interval(event.at, event.at, event.vm, "start")
    terminated: dict[int, float] = {}
    for signal in recorded.of(history.Signalled):
        at, vm, pid = signal.at, signal.vm, signal.pid
        match signal.signal:
            case "SIGSTOP":
                yield Interval(at, first_after(resumed[pid], at), vm, "processes")
            case "SIGTERM":
                terminated[pid] = at
                end = min(first_after(ended[pid], at), at + grace_s)
                yield Interval(at, end, vm, "term")
            case "SIGKILL":
                is_planned = at >= terminated.get(pid, math.inf) + grace_s
                yield Interval(at, at, vm, "term" if is_planned else "processes")
