"""Targets as used by placement: capacity, load, slowness and health."""

import datetime
import typing

from carawaysail_decisions import health
from carawaysail_types import identifiers, work

UNBOUNDED_MEMORY_MB = 1e12
"""Memory of a target without a memory limit."""


class Capacity(typing.NamedTuple):
    """Resources of a target.

    Parameters
    ----------
    processors : float
        Processors of a worker; slots of a runner.
    memory_mb : float
        Memory in MB; ``UNBOUNDED_MEMORY_MB`` for a runner.
    accelerators : float
        Number of accelerators.
    """

    processors: float
    memory_mb: float = UNBOUNDED_MEMORY_MB
    accelerators: float = 0.0

    def can_fit(self, resources: work.TaskResources) -> bool:
        """Return whether a task with these requirements fits an idle target."""
        return (
            resources.processors <= self.processors
            and resources.memory_mb <= self.memory_mb
            and resources.accelerators <= self.accelerators
        )

    def scaled(self, share: float) -> "Capacity":
        """Return a share of the capacity, 0 to 1."""
        return Capacity(
            self.processors * share, self.memory_mb * share, self.accelerators * share
        )


class TargetSpec(typing.NamedTuple):
    """A target as the settings describe it.

    Parameters
    ----------
    target_id : str
        Name of the target.
    kind : str
        ``runner`` or ``worker``.
    url : str
        Base URL of the target.
    services : frozenset of str
        Services that the target serves.
    capacity : Capacity
        Its total capacity.
    leaving : bool
        Whether it is leaving, so that it gets no new tasks.
    lease : datetime.timedelta
        Duration of the lease under which it runs tasks; workers only.
    connect_timeout : datetime.timedelta
        Time-out for opening a connection.
    max_connections : int
        Maximum number of open connections to it.
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
    """One target: this daemon's share of it, its load, slowness and health.

    Parameters
    ----------
    spec : TargetSpec
        Description of the target.

    Attributes
    ----------
    share : Capacity
        The part of the capacity that this daemon may use.
    processors, memory_mb, accelerators : float
        Resources assigned to tasks that this daemon has sent.
    in_flight : int
        Tasks that this daemon has sent and that have not ended.
    long_processors : float
        Processors assigned to long tasks.
    phase : float
        Offset for rounding the limit of long tasks, 0 to 1.
    slowness : float
        Smoothed ratio of measured to expected run time; over 1 for a slow target.
    runs : int
        Runs measured.
    health : health.Health
        Failures of the target, and limits because of them.
    """

    __slots__ = (
        "accelerators",
        "health",
        "in_flight",
        "long_processors",
        "memory_mb",
        "phase",
        "processors",
        "runs",
        "share",
        "slowness",
        "spec",
    )

    def __init__(self, spec: TargetSpec) -> None:
        self.spec = spec
        self.share = spec.capacity
        self.processors = 0.0
        self.memory_mb = 0.0
        self.accelerators = 0.0
        self.in_flight = 0
        self.long_processors = 0.0
        self.phase = 0.0
        self.slowness = 1.0
        self.runs = 0
        self.health = health.Health()

    def can_accept(
        self,
        resources: work.TaskResources,
        is_long: bool,
        long_share: float,
        overcommit: float,
    ) -> bool:
        """Return whether a task may be sent now, by the task limit and resources.

        Ejection is not checked.

        Parameters
        ----------
        resources : work.TaskResources
            Resources that the task requires.
        is_long : bool
            Whether the task belongs to the long lane.
        long_share : float
            Share of the processors that long tasks may occupy, 0 to 1.
        overcommit : float
            Multiple of the processors and memory that may be assigned, at least 1;
            over 1 gives a worker a backlog, so that one message carries several tasks.
        """
        if (
            self.health.task_limit is not None
            and self.in_flight >= self.health.task_limit
        ):
            return False
        share = self.share
        if self.in_flight == 0 and share.processors > 0.0:
            # This daemon's share of a worker may be smaller than a task that fits the
            # whole worker: one such task is sent, and queues there behind the tasks of
            # other daemons.
            return self.spec.capacity.can_fit(resources)
        if (
            resources.memory_mb * overcommit + self.memory_mb
            > share.memory_mb * overcommit
        ):
            return False
        if resources.accelerators + self.accelerators > share.accelerators:
            return False
        if is_long:
            # A target runs whole tasks only. The phases, spaced evenly over targets,
            # make the limits add up to the share, rounded down once for all targets
            # rather than at each of them.
            limit = share.processors * long_share + self.phase * resources.processors
            limit = max(resources.processors, limit)
            if self.long_processors + resources.processors > limit:
                return False
        return self.processors + resources.processors <= self.processor_limit(
            overcommit
        )

    def processor_limit(self, overcommit: float) -> float:
        """Return the processors that may be assigned, those for the backlog included.

        A slow target gets a smaller backlog, so that it finishes with the others.

        Parameters
        ----------
        overcommit : float
            Multiple of the processors for a target of average slowness, at least 1.
        """
        return self.share.processors * (
            1.0 + (overcommit - 1.0) / max(self.slowness, 0.1)
        )

    def allocate(self, resources: work.TaskResources, is_long: bool) -> None:
        """Add the resources of a task that is being sent."""
        self.in_flight += 1
        self.processors += resources.processors
        self.memory_mb += resources.memory_mb
        self.accelerators += resources.accelerators
        if is_long:
            self.long_processors += resources.processors

    def release(self, resources: work.TaskResources, is_long: bool) -> None:
        """Subtract the resources of a task that has ended."""
        self.in_flight -= 1
        self.processors -= resources.processors
        self.memory_mb -= resources.memory_mb
        self.accelerators -= resources.accelerators
        if is_long:
            self.long_processors -= resources.processors

    def update_slowness(self, ratio: float) -> None:
        """Update the slowness with the result of one run.

        Parameters
        ----------
        ratio : float
            Measured run time divided by the expected one; over 1 for a target slower
            than the average.
        """
        bounded = min(max(ratio, MIN_RUN_TIME_RATIO), MAX_RUN_TIME_RATIO)
        self.runs += 1
        gain = max(MIN_GAIN, 1.0 / (self.runs + PRIOR_RUNS))
        self.slowness += gain * (bounded - self.slowness)


MIN_RUN_TIME_RATIO = 0.1
MAX_RUN_TIME_RATIO = 10.0
"""Bounds of the ratio of one run, which limit the effect of a straggler."""
MIN_GAIN = 0.02
"""Least weight of a new run, so that the estimate follows changes of the slowness."""
PRIOR_RUNS = 5
"""Weight of the initial assumption of average slowness, in measured runs."""
