"""Targets as placing sees them: what they can hold and what they hold now."""

import datetime
import typing

from carawaysail_decisions import health
from carawaysail_types import identifiers, work

UNBOUNDED = 1e12


class Capacity(typing.NamedTuple):
    """What a target can hold at once.

    Parameters
    ----------
    processors : float
        Processors of a worker; slots of a runner.
    memory_mb : float
        Memory, in MB; unbounded for a runner.
    accelerators : float
        Accelerators.
    """

    processors: float
    memory_mb: float = UNBOUNDED
    accelerators: float = 0.0

    def can_fit(self, needs: work.Needs) -> bool:
        """Tell whether a task with these needs can ever fit."""
        return (
            needs.processors <= self.processors
            and needs.memory_mb <= self.memory_mb
            and needs.accelerators <= self.accelerators
        )

    def scaled(self, share: float) -> "Capacity":
        """Return a share of it, between 0 and 1."""
        return Capacity(
            self.processors * share, self.memory_mb * share, self.accelerators * share
        )


class TargetSpec(typing.NamedTuple):
    """A target as the settings describe it.

    Parameters
    ----------
    target_id : str
        Its name.
    kind : str
        ``runner`` or ``worker``.
    url : str
        Where it answers.
    services : frozenset of str
        Services that it serves.
    capacity : Capacity
        The whole of it.
    leaving : bool
        Whether it gets no new work.
    lease : datetime.timedelta
        Lease of its tasks; workers only.
    connect : datetime.timedelta
        Time to open a connection.
    connections : int
        Connections that it accepts.
    """

    target_id: identifiers.TargetId
    kind: str
    url: str
    services: frozenset[str]
    capacity: Capacity
    leaving: bool = False
    lease: datetime.timedelta = datetime.timedelta(seconds=10)
    connect_timeout: datetime.timedelta = datetime.timedelta(seconds=1)
    max_connections: int = 60


class TargetState:
    """One target: its share for this daemon, what it holds, speed and health.

    Parameters
    ----------
    spec : TargetSpec
        Its description.
    """

    __slots__ = (
        "accelerators",
        "health",
        "in_flight",
        "long_in_flight",
        "memory_mb",
        "phase",
        "processors",
        "runs",
        "share",
        "spec",
        "speed",
    )

    def __init__(self, spec: TargetSpec) -> None:
        self.spec = spec
        self.share = spec.capacity
        self.processors = 0.0
        self.memory_mb = 0.0
        self.accelerators = 0.0
        self.in_flight = 0
        self.long_in_flight = 0.0
        self.phase = 0.0
        self.speed = 1.0
        self.runs = 0
        self.health = health.Health()

    def can_accept(
        self, needs: work.Needs, is_long: bool, long_share: float, overcommit: float
    ) -> bool:
        """Tell whether a task may be sent now.

        Parameters
        ----------
        needs : work.Needs
            What it takes.
        is_long : bool
            Whether it goes to the long lane.
        long_share : float
            Share of the processors that long work may hold.
        stretch : float
            How many times the processors may be filled; over 1 leaves a backlog at a
            worker, so that one message carries several tasks.
        """
        if (
            self.health.task_limit is not None
            and self.in_flight >= self.health.task_limit
        ):
            return False
        share = self.share
        if self.in_flight == 0 and share.processors > 0.0:
            # A part of a worker may be smaller than a task that the whole holds: one
            # such task may go there, and waits there for the other daemons' tasks.
            return self.spec.capacity.can_fit(needs)
        if needs.memory_mb * overcommit + self.memory_mb > share.memory_mb * overcommit:
            return False
        if needs.accelerators + self.accelerators > share.accelerators:
            return False
        if is_long:
            # A target holds whole tasks: the phases, spread over the targets, make the
            # bounds add up to the share, rounded down once and not at each.
            bound = share.processors * long_share + self.phase * needs.processors
            bound = max(needs.processors, bound)
            if self.long_in_flight + needs.processors > bound:
                return False
        return self.processors + needs.processors <= self.processor_limit(overcommit)

    def processor_limit(self, overcommit: float) -> float:
        """Return the processors that may be filled, with a backlog if stretched.

        A slow target gets a smaller backlog, so that it ends with the others.
        """
        return self.share.processors * (1.0 + (overcommit - 1.0) / max(self.speed, 0.1))

    def allocate(self, needs: work.Needs, is_long: bool) -> None:
        """Count a task that is being sent."""
        self.in_flight += 1
        self.processors += needs.processors
        self.memory_mb += needs.memory_mb
        self.accelerators += needs.accelerators
        if is_long:
            self.long_in_flight += needs.processors

    def release(self, needs: work.Needs, is_long: bool) -> None:
        """Count a task that has ended."""
        self.in_flight -= 1
        self.processors -= needs.processors
        self.memory_mb -= needs.memory_mb
        self.accelerators -= needs.accelerators
        if is_long:
            self.long_in_flight -= needs.processors

    def update_speed(self, ratio: float) -> None:
        """Learn from a run time divided by the expected one.

        Parameters
        ----------
        ratio : float
            Over 1 for a target slower than the average.
        """
        bounded = min(max(ratio, MIN_RATIO), MAX_RATIO)
        self.runs += 1
        gain = max(LEAST_GAIN, 1.0 / (self.runs + PRIOR_RUNS))
        self.speed += gain * (bounded - self.speed)


MIN_RATIO = 0.1
MAX_RATIO = 10.0
LEAST_GAIN = 0.02
PRIOR_RUNS = 5
"""How many runs the assumption of average speed counts for."""
