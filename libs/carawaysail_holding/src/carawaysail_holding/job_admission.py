"""Which jobs are taken on arrival, by what they can expect; policies by name."""

import typing

from carawaysail_holding import planning
from carawaysail_types import registry

OVERTAKING_MS = 120.0
"""What a waiting job loses at a crest to more urgent ones that come after it; two
rounds of short tasks."""


class Forecast(typing.NamedTuple):
    """What a job can expect on arrival.

    Parameters
    ----------
    need : planning.Requirements
        What it needs, and until when.
    plan : planning.Plan
        Where its tasks would go.
    min_run_time_ms : float
        What it takes at least on the fastest worker, in milliseconds.
    yields : bool
        Whether jobs of a higher priority have come for the same workers.
    """

    need: planning.Requirements
    plan: planning.Plan
    min_run_time_ms: float
    is_outranked: bool = False

    @property
    def exceeds_client_timeout(self) -> bool:
        """Whether the client waits too short a time even for an idle site."""
        return self.min_run_time_ms > self.need.timeout_ms


class AdmissionPolicy(typing.Protocol):
    """Decides whether a job is taken."""

    def __call__(self, prospect: Forecast) -> bool:
        """Tell whether a job is taken."""


admission_policies: registry.Registry[AdmissionPolicy] = registry.Registry(
    "admission policies"
)


@admission_policies.register("objective")
def _keeps_objective(prospect: Forecast) -> bool:
    """Take what is expected to keep its response-time objective."""
    if prospect.exceeds_client_timeout:
        return False
    return (
        not prospect.plan.queued
        or prospect.plan.finish_ms <= prospect.need.target_finish_ms
    )


@admission_policies.register("yielding")
def _yields(prospect: Forecast) -> bool:
    """Take what is expected to keep its objective although others go first.

    More urgent jobs that come later are likely to overtake one that has to wait.
    """
    need, plan = prospect.need, prospect.plan
    is_overtaken = prospect.is_outranked and plan.queued
    if is_overtaken and plan.finish_ms + OVERTAKING_MS > need.target_finish_ms:
        return False
    return _keeps_objective(prospect)


@admission_policies.register("deadline")
def _keeps_deadline(prospect: Forecast) -> bool:
    """Take what is expected to be done while its client waits."""
    return prospect.plan.finish_ms <= prospect.need.timeout_ms


@admission_policies.register("all")
def _takes_all(prospect: Forecast) -> bool:
    """Take everything."""
    return True
