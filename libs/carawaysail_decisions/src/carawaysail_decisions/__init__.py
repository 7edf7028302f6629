"""Pure decisions: typed states and events in, typed actions out.

Nothing here does input or output, depends on an encoding, starts a thread or reads a
clock; instants are passed in.
"""

from carawaysail_decisions import (
    admission,
    capacity,
    dispatcher,
    events,
    forwarding,
    health,
    membership,
    ownership,
    queues,
    quotas,
    retries,
    routing,
    run_times,
    shares,
    versions,
)

__all__ = [
    "admission",
    "capacity",
    "dispatcher",
    "events",
    "health",
    "membership",
    "ownership",
    "queues",
    "quotas",
    "forwarding",
    "retries",
    "routing",
    "run_times",
    "shares",
    "versions",
]
