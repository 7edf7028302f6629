"""What a target says of the tasks it was sent, and the interface of its client."""

import collections.abc
import typing

import urllib3.exceptions

from carawaysail_platform import http
from carawaysail_types import identifiers, outcomes, work


class Order(typing.NamedTuple):
    """One task for a target.

    Parameters
    ----------
    task : identifiers.TaskId
        Its identifier; the target names it in its answer.
    service : str
        Name of the service.
    payload : bytes
        JSON text.
    needs : work.Needs
        What it takes of a worker.
    trace : str
        W3C ``traceparent``, or empty.
    """

    task: identifiers.TaskId
    service: str
    payload: bytes
    needs: work.Needs
    trace: str


class Result(typing.NamedTuple):
    """A target's answer for one task.

    Parameters
    ----------
    task : identifiers.TaskId
        The task that the target names.
    ok : bool
        Whether it completed.
    answer : bytes
        JSON text; empty where it failed.
    reason : outcomes.Reason
        Why it failed.
    ran_ms : float or None
        Run time that the target reports, in milliseconds.
    """

    task: identifiers.TaskId
    ok: bool
    answer: bytes
    reason: outcomes.Reason = outcomes.Reason.NONE
    ran_ms: float | None = None


class End(typing.NamedTuple):
    """The exchange is over.

    Parameters
    ----------
    fate : outcomes.Fate
        What is known of the tasks that have no result.
    reason : outcomes.Reason
        What went wrong, if anything did.
    is_leaving : bool
        Whether the target told that it is leaving.
    """

    fate: outcomes.Fate
    reason: outcomes.Reason = outcomes.Reason.NONE
    is_leaving: bool = False


def lost(exc: urllib3.exceptions.HTTPError) -> End:
    """Return the end of an exchange whose connection failed."""
    is_unsent = http.is_unsent(exc)
    fate = outcomes.Fate.NOT_STARTED if is_unsent else outcomes.Fate.MAY_HAVE_STARTED
    return End(fate, outcomes.Reason.CONNECTION_LOST)


class Client(typing.Protocol):
    """One target as the system uses it."""

    def run(
        self, orders: tuple[Order, ...], wait_s: float
    ) -> collections.abc.Iterator[Result | End]:
        """Send tasks in one message; yield their results and one end."""

    def stop(self, tasks: tuple[identifiers.TaskId, ...]) -> None:
        """Ask the target to stop tasks, in one message; best effort."""


def parse_task(text: str) -> identifiers.TaskId | None:
    """Return the task that a text names, or ``None``."""
    submission, separator, index = text.rpartition("#")
    if not separator or not index.isdigit() or len(index) > MAX_INDEX_DIGITS:
        return None
    return identifiers.TaskId(submission, int(index))


MAX_INDEX_DIGITS = 6
