"""Events that the dispatcher handles and actions that it returns."""

import datetime
import typing

from carawaysail_decisions import capacity
from carawaysail_types import identifiers, outcomes, work


class ServiceDispatchSettings(typing.NamedTuple):
    """Settings of one service and kind of job.

    Parameters
    ----------
    team : str
        Team that the service belongs to; its quota bounds the running tasks.
    weight : float
        Relative share of the slots when there are fewer than the services need.
    max_queued : int
        Tasks that may be queued at this daemon.
    max_attempts : int
        Starts of an idempotent request, the first included.
    retry_ratio : float
        Retries allowed for each first start.
    short_ms : float
        Tasks with a median run time up to this go to the short lane, in milliseconds.
    """

    team: str = "default"
    weight: float = 1.0
    max_queued: int = 20_000
    max_attempts: int = 3
    retry_ratio: float = 0.1
    short_ms: float = 300.0


class DispatchSettings(typing.NamedTuple):
    """Settings of the dispatcher that apply to all services.

    Parameters
    ----------
    routing, queue, admission : str
        Names of registered policies.
    long_share : float
        Largest share of a target's slots that long tasks may occupy, 0 to 1; pending
        short tasks reduce it.
    batch_ms : float
        Expected work that may be queued at a worker, in milliseconds.
    batch_tasks : int
        Tasks that one message to a worker may carry.
    """

    routing: str = "expected_finish"
    queue: str = "fair_lanes"
    admission: str = "meets_deadline"
    long_share: float = 0.75
    batch_ms: float = 400.0
    batch_tasks: int = 32


class SubmissionReceived(typing.NamedTuple):
    """A submission has been bound to this daemon and is to be placed.

    Parameters
    ----------
    submission : work.Submission
        The submission.
    service_settings : ServiceDispatchSettings
        Settings of its service and kind of job.
    """

    submission: work.Submission
    service_settings: ServiceDispatchSettings


class SubmissionsCancelled(typing.NamedTuple):
    """Callers have cancelled submissions.

    Parameters
    ----------
    submission_ids : tuple of str
        Their identifiers as text; unknown ones are ignored.
    """

    submission_ids: tuple[str, ...]


class TargetsChanged(typing.NamedTuple):
    """The targets of this data centre or this daemon's shares of them have changed.

    Parameters
    ----------
    specs : tuple of capacity.TargetSpec
        All targets.
    shares : dict of str to float
        This daemon's share of each target, 0 to 1, by target name; a target that is
        absent gets no tasks from this daemon.
    """

    specs: tuple[capacity.TargetSpec, ...]
    shares: dict[str, float]


class QuotasChanged(typing.NamedTuple):
    """This daemon's allocations of the team quotas have changed.

    Parameters
    ----------
    allocations : dict of str to int
        Tasks that may run at once, by team.
    """

    allocations: dict[str, int]


class DispatchSettingsChanged(typing.NamedTuple):
    """The settings of the dispatcher have changed.

    Parameters
    ----------
    dispatch_settings : DispatchSettings
        The new settings.
    """

    dispatch_settings: DispatchSettings


class TaskFinished(typing.NamedTuple):
    """A target has reported the result of one task.

    Parameters
    ----------
    batch : int
        Number of the batch that the task was sent with.
    task_id : identifiers.TaskId
        The task that the target names.
    ok : bool
        Whether the task succeeded.
    answer : bytes
        JSON text of the answer; empty if the task failed.
    reason : outcomes.Reason
        Why the task failed; ``NONE`` if it succeeded.
    ran_ms : float or None
        Run time that the target reports, in milliseconds; ``None`` if it reports none.
    """

    batch: int
    task_id: identifiers.TaskId
    ok: bool
    answer: bytes
    reason: outcomes.Reason = outcomes.Reason.NONE
    ran_ms: float | None = None


class BatchFinished(typing.NamedTuple):
    """The exchange with a target for one batch is over.

    Parameters
    ----------
    batch : int
        Number of the batch.
    batch_status : outcomes.BatchStatus
        What is known of the tasks without a ``TaskFinished`` event.
    reason : outcomes.Reason
        Error of the exchange; ``NONE`` if there was none.
    """

    batch: int
    batch_status: outcomes.BatchStatus
    reason: outcomes.Reason = outcomes.Reason.NONE


class TargetsSuspected(typing.NamedTuple):
    """Other daemons have ejected targets because of failures.

    Parameters
    ----------
    targets : tuple of str
        Names of the targets; unknown ones are ignored.
    """

    targets: tuple[identifiers.TargetId, ...]


class TargetLeaving(typing.NamedTuple):
    """A target has announced that it is leaving; an unknown one is ignored."""

    target_id: identifiers.TargetId


class TimerFired(typing.NamedTuple):
    """The timer set by a ``SetTimer`` action has fired."""


class DrainRequested(typing.NamedTuple):
    """The daemon is leaving: new submissions are refused from now on."""


Event = (
    SubmissionReceived
    | SubmissionsCancelled
    | TargetsChanged
    | QuotasChanged
    | DispatchSettingsChanged
    | TaskFinished
    | BatchFinished
    | TargetsSuspected
    | TargetLeaving
    | TimerFired
    | DrainRequested
)


class BatchTask(typing.NamedTuple):
    """One task of a batch.

    Parameters
    ----------
    task_id : identifiers.TaskId
        Identifier of the task.
    service : str
        Name of the service.
    payload : bytes
        JSON text for the target.
    resources : work.TaskResources
        Resources that the task requires.
    trace : str
        W3C ``traceparent`` of the submission; empty for none.
    """

    task_id: identifiers.TaskId
    service: str
    payload: bytes
    resources: work.TaskResources
    trace: str


class SendBatch(typing.NamedTuple):
    """Send tasks to a target in one message.

    Parameters
    ----------
    batch : int
        Number of the batch.
    target_id : str
        The target.
    tasks : tuple of BatchTask
        The tasks; exactly one if the target is a runner.
    latest_deadline : datetime.datetime
        The latest deadline among the tasks' submissions.
    """

    batch: int
    target_id: identifiers.TargetId
    tasks: tuple[BatchTask, ...]
    latest_deadline: datetime.datetime


class StopTasks(typing.NamedTuple):
    """Ask a target to stop tasks, in one message."""

    target_id: identifiers.TargetId
    tasks: tuple[identifiers.TaskId, ...]


class ReportOutcome(typing.NamedTuple):
    """Report the outcome of a submission to its caller.

    A second action for the same submission replaces an earlier ``unknown`` outcome.
    """

    submission: identifiers.SubmissionId
    outcome: outcomes.Outcome


class SetTimer(typing.NamedTuple):
    """Send ``TimerFired`` at an instant.

    The instant is earlier than that of any pending timer, which it replaces.
    """

    at: datetime.datetime


Action = SendBatch | StopTasks | ReportOutcome | SetTimer


def stop_actions(
    stops: dict[str, list[identifiers.TaskId]],
) -> list[Action]:
    """Return one ``StopTasks`` action for each target.

    Parameters
    ----------
    stops : dict of str to list of identifiers.TaskId
        Tasks to stop, by target name.
    """
    return [StopTasks(target_id, tuple(tasks)) for target_id, tasks in stops.items()]
