"""Checks of a soak's history, one for each promise, in a registry.

Examples
--------
>>> from carawaysail_soak import history
>>> judge(history.History([]))
[]
"""

from carawaysail_soak import history
from carawaysail_soak.checks import (
    answers,
    evidence,
    registry,
    resources,
    runs,
    site,
)

Bounds = evidence.Bounds
Violation = registry.Violation

__all__ = [
    "Bounds",
    "Violation",
    "answers",
    "judge",
    "names",
    "resources",
    "runs",
    "site",
]


def names() -> tuple[str, ...]:
    """Return the names of all checks."""
    return registry.checks.names()


def judge(
    recorded: history.History, bounds: evidence.Bounds = evidence.Bounds()
) -> list[registry.Violation]:
    """Return all violations of a history, in order of time."""
    gathered = evidence.gather(recorded, bounds)
    violations = [x for _, check in registry.checks.items() for x in check(gathered)]
    return sorted(violations, key=lambda x: x.at)
