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
    recorded: history.History, bounds: evidence.Bounds = evidence.Bounds(),
    rules: tuple[str, ...] | None = None,
) -> list[registry.Violation]:  # fmt: skip
    """Return all violations of a history, in order of time.

    Parameters
    ----------
    recorded : history.History
        The history.
    bounds : evidence.Bounds
        Bounds of the rules.
    rules : tuple of str, optional
        Names of the checks; all by default.

    Raises
    ------
    errors.UnknownNameError
        If no check has one of the names.
    """
    gathered = evidence.gather(recorded, bounds)
    chosen = registry.checks.names() if rules is None else rules
    violations = [x for rule in chosen for x in registry.checks.get(rule)(gathered)]
    return sorted(violations, key=lambda x: x.at)
