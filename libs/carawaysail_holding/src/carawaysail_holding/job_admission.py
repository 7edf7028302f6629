"""Admission of jobs on arrival, by their forecast; policies are registered by name."""

import typing

from carawaysail_holding import planning
from carawaysail_types import registry

OVERTAKING_DELAY_MS = 120.0
"""Delay of a waiting job at peak load by more urgent jobs that arrive after it: the
time of two short tasks in succession."""


class Forecast(typing.NamedTuple):
    """Forecast of a job on its arrival.

    Parameters
    ----------
    requirements : planning.Requirements
        Requirements of the job, with its target times.
    plan : planning.Plan
        Where its tasks would be sent, and when they would finish.
    min_run_time_ms : float
        Lower bound of its run time on the fastest worker, in milliseconds.
    is_outranked : bool
        Whether jobs of a higher priority have ever arrived for the same service at this
        gateway.
    """

    requirements: planning.Requirements
    plan: planning.Plan
    min_run_time_ms: float
    is_outranked: bool = False

    @property
    def exceeds_client_timeout(self) -> bool:
        """Whether the job would outlast the client timeout even on an idle site."""
        return self.min_run_time_ms > self.requirements.timeout_ms


class AdmissionPolicy(typing.Protocol):
    """Decides whether a job is admitted."""

    def __call__(self, forecast: Forecast) -> bool:
        """Return whether a job is admitted."""


admission_policies: registry.Registry[AdmissionPolicy] = registry.Registry(
    "admission policies"
)


def _finish_limit_ms(forecast: Forecast) -> float:
    """Return the latest expected finish of a job that is admitted."""
    requirements = forecast.requirements
    if forecast.plan.has_to_wait:
        return min(requirements.target_finish_ms, requirements.timeout_ms)
    return requirements.target_finish_ms


@admission_policies.register("objective")
def _meets_objective(forecast: Forecast) -> bool:
    """Admit jobs that are expected to meet their response-time objective.

    One that has to wait must also be expected to finish before its client leaves. A job
    with free slots takes room from none, so for it the client timeout counts only if
    the job would outlast it even on an idle site.
    """
    if forecast.exceeds_client_timeout:
        return False
    return forecast.plan.finish_ms <= _finish_limit_ms(forecast)


@admission_policies.register("yielding")
def _meets_objective_if_overtaken(forecast: Forecast) -> bool:
    """Admit jobs that are expected to meet their objective even if overtaken.

    More urgent jobs that arrive later are likely to overtake one that has to wait.
    """
    plan = forecast.plan
    is_overtaken = forecast.is_outranked and plan.has_to_wait
    if is_overtaken and (
        plan.finish_ms + OVERTAKING_DELAY_MS > _finish_limit_ms(forecast)
    ):
        return False
    return _meets_objective(forecast)


@admission_policies.register("deadline")
def _meets_deadline(forecast: Forecast) -> bool:
    """Admit jobs that are expected to finish within their client timeout."""
    return forecast.plan.finish_ms <= forecast.requirements.timeout_ms


@admission_policies.register("all")
def _admits_all(forecast: Forecast) -> bool:
    """Admit all jobs."""
    return True
