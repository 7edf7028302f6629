"""Checks of what processes use."""

import collections.abc

from carawaysail_soak import history
from carawaysail_soak.checks import evidence, registry

MAX_GROWTH = {"memory_mb": 40.0, "descriptors": 400, "threads": 60}
"""Allowance for caches, pools that fill, and connections to workers that are held."""


@registry.register("resources_are_released")
def find_leaks(
    gathered: evidence.Evidence,
) -> collections.abc.Iterator[registry.Finding]:
    """MACHINES: without clients, a process uses about what it used at the start."""
    measured = gathered.history.of(history.ProcessMeasured)
    for name, growth in MAX_GROWTH.items():
        least = min((getattr(x, name) for x in measured), default=0)
        for event in measured:
            amount = getattr(event, name)
            if amount > least + growth:
                detail = f"{amount} {name}, {least} in the least process"
                yield event.at, event.vm, detail
