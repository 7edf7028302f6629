"""Registry of checks, and what they return."""

import collections.abc
import typing

from carawaysail_soak.checks import evidence
from carawaysail_types import registry


class Violation(typing.NamedTuple):
    """A promise that was not kept.

    Parameters
    ----------
    rule : str
        Name of the check.
    at : float
        Instant of the event that breaks the rule, in seconds of ``time.monotonic()``.
    subject : str
        Request, task, worker or VM.
    detail : str
        What was seen, and what the rule allows.
    """

    rule: str
    at: float
    subject: str
    detail: str


Finding = tuple[float, str, str]
"""Instant, subject and detail of a violation."""

Check = collections.abc.Callable[
    [evidence.Evidence], collections.abc.Iterator[Violation]
]

checks: registry.Registry[Check] = registry.Registry("checks")


def register(
    rule: str,
) -> collections.abc.Callable[[typing.Any], typing.Any]:
    """Return a decorator that registers a generator of findings as a check."""

    def add(find: typing.Any) -> typing.Any:
        def check(
            gathered: evidence.Evidence,
        ) -> collections.abc.Iterator[Violation]:
            for finding in find(gathered):
                yield Violation(rule, *finding)

        checks.register(rule)(check)
        return find

    return add
