"""Which jobs are taken on arrival, by what they can expect; policies by name."""

import typing

from carawaysail_holding import planning
from carawaysail_types import registry

OVERTAKING_MS = 120.0
"""What a waiting job loses at a crest to more urgent ones that come after it; two
rounds of short tasks."""


class Prospect(typing.NamedTuple):
    """What a job can expect on arrival.

    Parameters
    ----------
    need : planning.Need
        What it needs, and until when.
    plan : planning.Plan
        Where its tasks would go.
    least_ms : float
        What it takes at least on the fastest worker, in milliseconds.
    yields : bool
        Whether jobs of a higher priority have come for the same workers.
    """

    need: planning.Need
    plan: planning.Plan
    least_ms: float
    yields: bool = False

    @property
    def is_too_long(self) -> bool:
        """Whether the client waits too short a time even for an idle site."""
        return self.least_ms > self.need.patience_ms


class Admission(typing.Protocol):
    """Decides whether a job is taken."""

    def __call__(self, prospect: Prospect) -> bool:
        """Tell whether a job is taken."""


admissions: registry.Registry[Admission] = registry.Registry("admission policies")


@admissions.register("objective")
def _keeps_objective(prospect: Prospect) -> bool:
    """Take what is expected to keep its response-time objective."""
    if prospect.is_too_long:
        return False
    return not prospect.plan.queued or prospect.plan.finish_ms <= prospect.need.due_ms


@admissions.register("yielding")
def _yields(prospect: Prospect) -> bool:
    """Take what is expected to keep its objective although others go first.

    More urgent jobs that come later are likely to overtake one that has to wait.
    """
    need, plan = prospect.need, prospect.plan
    is_overtaken = prospect.yields and plan.queued
    if is_overtaken and plan.finish_ms + OVERTAKING_MS > need.due_ms:
        return False
    return _keeps_objective(prospect)


@admissions.register("deadline")
def _keeps_deadline(prospect: Prospect) -> bool:
    """Take what is expected to be done while its client waits."""
    return prospect.plan.finish_ms <= prospect.need.patience_ms


@admissions.register("all")
def _takes_all(prospect: Prospect) -> bool:
    """Take everything."""
    return True
