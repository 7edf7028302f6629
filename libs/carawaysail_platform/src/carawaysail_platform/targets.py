"""Interface of the clients of targets, with its parameters and results.

An exchange is one message with tasks to a target and everything that the target
returns for it.
"""

import collections.abc
import typing

import urllib3.exceptions

from carawaysail_platform import http
from carawaysail_types import identifiers, outcomes, work


class Order(typing.NamedTuple):
    """Order to a target to run one task.

    Parameters
    ----------
    task : identifiers.TaskId
        Identifier of the task, which the target repeats in its answer.
    service : str
        Name of the service.
    payload : bytes
        Payload of the task, as JSON.
    resources : work.TaskResources
        Resources that the task occupies on a worker; runners ignore them.
    trace : str
        W3C ``traceparent`` for the target; empty for none.
    """

    task: identifiers.TaskId
    service: str
    payload: bytes
    resources: work.TaskResources
    trace: str


class TaskResult(typing.NamedTuple):
    """Result of one task, as the target reports it.

    Parameters
    ----------
    task : identifiers.TaskId
        Identifier of the task.
    ok : bool
        Whether the task completed.
    answer : bytes
        Answer of the task, as JSON; empty if the task did not complete.
    reason : outcomes.Reason
        Why the task did not complete; ``NONE`` if it did.
    ran_ms : float or None
        Run time that the target reports, in milliseconds; ``None`` if it reports none.
    """

    task: identifiers.TaskId
    ok: bool
    answer: bytes
    reason: outcomes.Reason = outcomes.Reason.NONE
    ran_ms: float | None = None


class ExchangeResult(typing.NamedTuple):
    """Result of a whole exchange; the last item that ``Client.run`` yields.

    Parameters
    ----------
    batch_status : outcomes.BatchStatus
        What is known about the tasks for which no result was yielded.
    reason : outcomes.Reason
        Why these tasks have no result; ``NONE`` if every task has one.
    is_leaving : bool
        Whether the target announced in this exchange that it is leaving.
    """

    batch_status: outcomes.BatchStatus
    reason: outcomes.Reason = outcomes.Reason.NONE
    is_leaving: bool = False


def end_after_connection_error(exc: urllib3.exceptions.HTTPError) -> ExchangeResult:
    """Return the result of an exchange that ended with a connection error."""
    is_unsent = http.is_unsent(exc)
    batch_status = (
        outcomes.BatchStatus.NOT_STARTED
        if is_unsent
        else outcomes.BatchStatus.MAY_HAVE_STARTED
    )
    return ExchangeResult(batch_status, outcomes.Reason.CONNECTION_LOST)


class Client(typing.Protocol):
    """Client of one target."""

    def run(
        self, orders: tuple[Order, ...], wait_s: float
    ) -> collections.abc.Iterator[TaskResult | ExchangeResult]:
        """Send tasks in one message; yield their results as they arrive.

        The last item is the result of the whole exchange.

        Parameters
        ----------
        orders : tuple of Order
            The tasks; exactly one for a runner.
        wait_s : float
            Maximum time without data from the target, in seconds.
        """

    def stop(self, tasks: tuple[identifiers.TaskId, ...]) -> None:
        """Request the target to stop tasks, in one message; best effort."""


def parse_task_id(text: str) -> identifiers.TaskId | None:
    """Parse a task identifier, ``<submission>#<index>``; ``None`` if malformed."""
    submission, separator, index = text.rpartition("#")
    if not separator or not index.isdigit() or len(index) > MAX_INDEX_DIGITS:
        return None
    return identifiers.TaskId(submission, int(index))


MAX_INDEX_DIGITS = 6
"""Largest number of digits of a task's index in an identifier."""
