"""Keys of the ``settings`` objects in the tree, with their checks and defaults.

``carawaysail_decisions`` registers the policies under the names that are listed here;
this library must not import it.
"""

import typing

from carawaysail_types import registry

SERVICE_LEVELS = ("root", "team", "service", "job")
TEAM_LEVELS = ("root", "team")
DATA_CENTRE_LEVELS = ("root", "place", "rack", "target")

ROUTING_POLICIES = (
    "expected_finish",
    "least_connections",
    "random",
    "round_robin",
    "two_choices",
)
QUEUE_POLICIES = ("fair_lanes", "fifo")
ADMISSION_POLICIES = ("accept_all", "meets_deadline")

Scalar = int | float | bool | str


class Key(typing.NamedTuple):
    """One key of a ``settings`` object.

    Parameters
    ----------
    name : str
        Name; ends in the unit, if there is one.
    check : str
        Name of the check of its values in ``checks.checks``.
    default : int, float, bool or str
        Value where no level sets one.
    low, high : float
        Bounds of a number, inclusive; unused for other values.
    choices : tuple of str
        Accepted values of a ``choice``; empty for other values.
    levels : tuple of str
        Levels of the tree whose objects may set it.
    doc : str
        Description for operators.
    """

    name: str
    check: str
    default: Scalar
    low: float = 0
    high: float = 0
    choices: tuple[str, ...] = ()
    levels: tuple[str, ...] = SERVICE_LEVELS
    doc: str = ""


keys: registry.Registry[Key] = registry.Registry("settings keys")


def _add(key: Key) -> None:
    keys.register(key.name)(key)


_add(
    Key(
        "deadline_ms",
        "integer",
        10_000,
        1,
        3_600_000,
        doc="Time to answer a submission whose caller gives no deadline.",
    )
)
_add(
    Key(
        "idempotent",
        "flag",
        False,
        doc="Whether a task that may have started may be started again.",
    )
)
_add(
    Key(
        "max_attempts",
        "integer",
        3,
        1,
        10,
        doc="Maximum number of starts of an idempotent request, the first included.",
    )
)
_add(
    Key(
        "retry_ratio",
        "number",
        0.1,
        0.0,
        1.0,
        doc="Retry budget: retries allowed for each first start.",
    )
)
_add(
    Key(
        "weight",
        "number",
        1.0,
        0.01,
        1000.0,
        doc="Relative share of the slots when there are too few.",
    )
)
_add(
    Key(
        "max_queued",
        "integer",
        20_000,
        1,
        1_000_000,
        doc="Maximum number of tasks queued at one entry daemon.",
    )
)
_add(
    Key(
        "max_running",
        "integer",
        1_000_000,
        1,
        1_000_000,
        levels=TEAM_LEVELS,
        doc="Quota: maximum number of running tasks of a team, fleet-wide.",
    )
)
_add(
    Key(
        "max_payload_bytes",
        "integer",
        1_000_000,
        1,
        16_000_000,
        doc="Maximum size of the payload of a task.",
    )
)
_add(
    Key(
        "short_ms",
        "integer",
        300,
        1,
        3_600_000,
        doc="Longest median run time of a task in the short lane.",
    )
)
_add(
    Key(
        "long_share",
        "number",
        0.75,
        0.05,
        1.0,
        levels=("root",),
        doc="Fraction of the slots that tasks of the long lane may occupy.",
    )
)
_add(
    Key(
        "batch_ms",
        "integer",
        400,
        1,
        60_000,
        levels=("root",),
        doc="Expected run time of the backlog sent to a busy worker.",
    )
)
_add(
    Key(
        "batch_tasks",
        "integer",
        32,
        1,
        340,
        levels=("root",),
        doc="Maximum number of tasks in one message to a worker.",
    )
)
_add(
    Key(
        "routing",
        "choice",
        "expected_finish",
        choices=ROUTING_POLICIES,
        levels=("root",),
        doc="Policy that selects the target of a task.",
    )
)
_add(
    Key(
        "queue",
        "choice",
        "fair_lanes",
        choices=QUEUE_POLICIES,
        levels=("root",),
        doc="Policy that selects the service whose queued task is served next.",
    )
)
_add(
    Key(
        "admission",
        "choice",
        "meets_deadline",
        choices=ADMISSION_POLICIES,
        levels=("root",),
        doc="Policy that refuses submissions on arrival.",
    )
)
_add(
    Key(
        "remember_minutes",
        "integer",
        10,
        1,
        1440,
        levels=("root",),
        doc="Minimum time for which a resubmission is recognised.",
    )
)
_add(
    Key(
        "trace_ratio",
        "number",
        0.01,
        0.0,
        1.0,
        levels=("root",),
        doc="Fraction of traces recorded where the caller sends no trace context.",
    )
)
_add(
    Key(
        "slots",
        "integer",
        8,
        1,
        1024,
        levels=DATA_CENTRE_LEVELS,
        doc="Maximum number of concurrent tasks on a runner.",
    )
)
_add(
    Key(
        "connections",
        "integer",
        60,
        1,
        10_000,
        levels=DATA_CENTRE_LEVELS,
        doc="Maximum number of open connections to a runner.",
    )
)
_add(
    Key(
        "processors",
        "number",
        32.0,
        0.1,
        4096.0,
        levels=DATA_CENTRE_LEVELS,
        doc="Processors of a worker.",
    )
)
_add(
    Key(
        "memory_mb",
        "number",
        128_000.0,
        1.0,
        64_000_000.0,
        levels=DATA_CENTRE_LEVELS,
        doc="Memory of a worker, in MB.",
    )
)
_add(
    Key(
        "accelerators",
        "integer",
        0,
        0,
        64,
        levels=DATA_CENTRE_LEVELS,
        doc="Accelerators of a worker.",
    )
)
_add(
    Key(
        "lease_ms",
        "integer",
        10_000,
        500,
        600_000,
        levels=DATA_CENTRE_LEVELS,
        doc="Duration of the lease under which a worker runs tasks.",
    )
)
_add(
    Key(
        "connect_ms",
        "integer",
        1_000,
        10,
        60_000,
        levels=DATA_CENTRE_LEVELS,
        doc="Timeout for opening a connection to a target.",
    )
)
_add(
    Key(
        "leaving",
        "flag",
        False,
        levels=DATA_CENTRE_LEVELS,
        doc="Whether the target is leaving: it gets no new tasks.",
    )
)


def names_at_level(level: str) -> tuple[str, ...]:
    """Return the names of the keys that objects at a level of the tree may set."""
    return tuple(name for name, key in keys.items() if level in key.levels)
