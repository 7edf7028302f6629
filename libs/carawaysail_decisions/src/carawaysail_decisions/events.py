"""Events that the dispatcher takes and actions that it returns."""

import datetime
import typing

from carawaysail_decisions import capacity
from carawaysail_types import identifiers, outcomes, work


class Limits(typing.NamedTuple):
    """Settings of one service and kind of job, as decisions need them.

    Parameters
    ----------
    team : str
        The team that the service belongs to.
    weight : float
        Share when there are too few slots.
    max_queued : int
        Tasks that may wait here.
    max_attempts : int
        Starts of an idempotent request, the first included.
    retry_ratio : float
        Retries for each first start.
    short_ms : float
        Work expected to take at most this long goes to the short lane.
    """

    team: str = "default"
    weight: float = 1.0
    max_queued: int = 20_000
    max_attempts: int = 3
    retry_ratio: float = 0.1
    short_ms: float = 300.0


class Rules(typing.NamedTuple):
    """Settings of the dispatcher as a whole.

    Parameters
    ----------
    routing, queue, admission : str
        Names of policies.
    long_share : float
        Share of a target's slots that long work may hold.
    batch_ms : float
        Expected work that may wait at a worker, in milliseconds.
    batch_tasks : int
        Tasks that one message may carry to a worker.
    """

    routing: str = "expected_finish"
    queue: str = "fair_lanes"
    admission: str = "meets_deadline"
    long_share: float = 0.75
    batch_ms: float = 400.0
    batch_tasks: int = 32


class SubmissionReceived(typing.NamedTuple):
    """A submission is bound here and should be placed."""

    submission: work.Submission
    limits: Limits


class SubmissionsCancelled(typing.NamedTuple):
    """Callers give up submissions; texts of their identifiers."""

    submissions: tuple[str, ...]


class TargetsChanged(typing.NamedTuple):
    """The targets of this data centre, and the share of each for this daemon.

    Parameters
    ----------
    specs : tuple of capacity.TargetSpec
        All targets.
    shares : dict of str to float
        Share of a target for this daemon, 0 to 1; absent for none.
    """

    specs: tuple[capacity.TargetSpec, ...]
    shares: dict[str, float]


class QuotasChanged(typing.NamedTuple):
    """Other parts of the teams' quotas, in tasks, belong to this daemon."""

    allocations: dict[str, int]


class RulesChanged(typing.NamedTuple):
    """Other policies or shares are in force."""

    rules: Rules


class TaskEnded(typing.NamedTuple):
    """A target answered for one task.

    Parameters
    ----------
    batch : int
        Number of the batch that it was sent with.
    task : identifiers.TaskId
        The task that the target names.
    ok : bool
        Whether it completed.
    answer : bytes
        JSON text of the answer; empty where it failed.
    reason : outcomes.Reason
        Why it failed.
    ran_ms : float or None
        Run time that the target reports, in milliseconds; ``None`` if it reports none.
    """

    batch: int
    task_id: identifiers.TaskId
    ok: bool
    answer: bytes
    reason: outcomes.Reason = outcomes.Reason.NONE
    ran_ms: float | None = None


class BatchEnded(typing.NamedTuple):
    """The exchange with a target is over.

    Parameters
    ----------
    batch : int
        Number of the batch.
    fate : outcomes.Fate
        What is known of its tasks that were not answered one by one.
    reason : outcomes.Reason
        What went wrong, if anything did.
    """

    batch: int
    fate: outcomes.Fate
    reason: outcomes.Reason = outcomes.Reason.NONE


class TargetsSuspected(typing.NamedTuple):
    """Other daemons have ejected targets for their failures."""

    targets: tuple[identifiers.TargetId, ...]


class TargetLeaving(typing.NamedTuple):
    """A target told that it is leaving."""

    target_id: identifiers.TargetId


class TimerFired(typing.NamedTuple):
    """A wake-up that was asked for has come."""


class DrainRequested(typing.NamedTuple):
    """The daemon is leaving: whatever still waits is refused."""


Event = (
    SubmissionReceived
    | SubmissionsCancelled
    | TargetsChanged
    | QuotasChanged
    | RulesChanged
    | TaskEnded
    | BatchEnded
    | TargetsSuspected
    | TargetLeaving
    | TimerFired
    | DrainRequested
)


class BatchTask(typing.NamedTuple):
    """One task of a batch.

    Parameters
    ----------
    task : identifiers.TaskId
        Its identifier.
    service : str
        Name of the service.
    payload : bytes
        JSON text for the target.
    needs : work.Needs
        What it takes of a worker.
    trace : str
        W3C ``traceparent`` of the submission, or empty.
    """

    task_id: identifiers.TaskId
    service: str
    payload: bytes
    needs: work.Needs
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
        The tasks.
    until : datetime.datetime
        The latest deadline among their submissions.
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
    """A submission has its outcome; a later one replaces an ``unknown``."""

    submission: identifiers.SubmissionId
    outcome: outcomes.Outcome


class WakeAt(typing.NamedTuple):
    """Send ``TimerFired`` at an instant, unless one is due earlier."""

    at: datetime.datetime


Action = SendBatch | StopTasks | ReportOutcome | WakeAt


def stop_actions(
    stops: dict[str, list[identifiers.TaskId]],
) -> list[Action]:
    """Return one message a target that stops its tasks."""
    return [StopTasks(target_id, tuple(tasks)) for target_id, tasks in stops.items()]
