"""The keys that a ``settings`` object may hold, with their checks and defaults."""

import typing

from carawaysail_types import registry

SERVICE_LEVELS = ("root", "team", "service", "job")
TEAM_LEVELS = ("root", "team")
PLACE_LEVELS = ("root", "place", "rack", "target")

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
    """One key of the tree.

    Parameters
    ----------
    name : str
        Name; ends in its unit where it has one.
    check : str
        Name of its check in ``checks.checks``.
    default : int, float, bool or str
        Value where nothing above sets one.
    low, high : float
        Bounds of a number, both included.
    choices : tuple of str
        Accepted names of a choice.
    levels : tuple of str
        Levels of the tree that may set it.
    doc : str
        One sentence for operators.
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
        doc="Time to answer, where the caller gives none.",
    )
)
_add(
    Key(
        "idempotent",
        "flag",
        False,
        doc="Whether a task that may have started may start again.",
    )
)
_add(
    Key(
        "max_attempts",
        "integer",
        3,
        1,
        10,
        doc="Starts of an idempotent request, the first included.",
    )
)
_add(
    Key(
        "retry_ratio",
        "number",
        0.1,
        0.0,
        1.0,
        doc="Retries allowed for each first start.",
    )
)
_add(
    Key(
        "weight",
        "number",
        1.0,
        0.01,
        1000.0,
        doc="Share of the slots when there are too few.",
    )
)
_add(
    Key(
        "max_queued",
        "integer",
        20_000,
        1,
        1_000_000,
        doc="Tasks that may wait at one entry daemon.",
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
        doc="Quota: tasks of a team that may run at once over the fleet.",
    )
)
_add(
    Key(
        "max_payload_bytes",
        "integer",
        1_000_000,
        1,
        16_000_000,
        doc="Largest payload of a task.",
    )
)
_add(
    Key(
        "short_ms",
        "integer",
        300,
        1,
        3_600_000,
        doc="Work expected to take at most this long goes to the short lane.",
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
        doc="Share of the slots that long work may hold.",
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
        doc="Expected work sent to a worker in one message.",
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
        doc="Tasks that one message may carry to a worker.",
    )
)
_add(
    Key(
        "routing",
        "choice",
        "expected_finish",
        choices=ROUTING_POLICIES,
        levels=("root",),
        doc="Policy that chooses a target.",
    )
)
_add(
    Key(
        "queue",
        "choice",
        "fair_lanes",
        choices=QUEUE_POLICIES,
        levels=("root",),
        doc="Policy that chooses which task is next.",
    )
)
_add(
    Key(
        "admission",
        "choice",
        "meets_deadline",
        choices=ADMISSION_POLICIES,
        levels=("root",),
        doc="Policy that refuses work early.",
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
        doc="How long a resubmission is recognised at least.",
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
        doc="Share of the traces recorded when the caller sends none.",
    )
)
_add(
    Key(
        "slots",
        "integer",
        8,
        1,
        1024,
        levels=PLACE_LEVELS,
        doc="Tasks that a runner works on at once.",
    )
)
_add(
    Key(
        "connections",
        "integer",
        60,
        1,
        10_000,
        levels=PLACE_LEVELS,
        doc="Open connections that a runner accepts.",
    )
)
_add(
    Key(
        "processors",
        "number",
        32.0,
        0.1,
        4096.0,
        levels=PLACE_LEVELS,
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
        levels=PLACE_LEVELS,
        doc="Memory of a worker.",
    )
)
_add(
    Key(
        "accelerators",
        "integer",
        0,
        0,
        64,
        levels=PLACE_LEVELS,
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
        levels=PLACE_LEVELS,
        doc="Lease under which a worker runs tasks.",
    )
)
_add(
    Key(
        "connect_ms",
        "integer",
        1_000,
        10,
        60_000,
        levels=PLACE_LEVELS,
        doc="Time to open a connection to a target.",
    )
)
_add(
    Key(
        "leaving",
        "flag",
        False,
        levels=PLACE_LEVELS,
        doc="A leaving target gets no new work.",
    )
)


def at_level(level: str) -> tuple[str, ...]:
    """Return the names of the keys that a level of the tree may set."""
    return tuple(name for name, key in keys.items() if level in key.levels)
