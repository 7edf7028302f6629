"""Runners: targets with slots that answer one request over HTTP.

``POST /run/<service>`` with the payload as body and the task's identifier in the
``Carawaysail-Task`` header. A runner answers 200 with JSON and the same header; 503
with ``Carawaysail-Not-Started: 1`` when it did not start the task; anything else means
that the task ran and failed. ``Carawaysail-Leaving: 1`` on any answer says that the
runner is leaving.
"""

import collections.abc
import json

import urllib3
import urllib3.exceptions

from carawaysail_platform import http, targets
from carawaysail_types import identifiers, outcomes

TASK_HEADER = "Carawaysail-Task"
NOT_STARTED_HEADER = "Carawaysail-Not-Started"
LEAVING_HEADER = "Carawaysail-Leaving"
RAN_HEADER = "Carawaysail-Ran-Ms"
SEND_S = 10.0


class Runner:
    """The client of one runner.

    Parameters
    ----------
    url : str
        ``http://host:port``.
    connect_s : float
        Time to open a connection, in seconds.
    connections : int
        Idle connections kept at most.
    """

    def __init__(self, url: str, connect_s: float, connections: int) -> None:
        self._connect_s = connect_s
        self._pool = http.open_pool(url, connect_s, SEND_S, connections)

    def run(
        self, orders: tuple[targets.Order, ...], wait_s: float
    ) -> collections.abc.Iterator[targets.Result | targets.End]:
        """Send one task; yield its result, if there is one, and the end.

        Parameters
        ----------
        orders : tuple of targets.Order
            Exactly one task.
        wait_s : float
            Time to wait for the answer, in seconds.
        """
        (order,) = orders
        try:
            answer = self._post(order, wait_s)
        except urllib3.exceptions.HTTPError as exc:
            yield targets.lost(exc)
        else:
            yield from _read(order, answer)

    def stop(self, tasks: tuple[identifiers.TaskId, ...]) -> None:
        """Do nothing: a runner cannot stop a request."""

    def _post(self, order: targets.Order, wait_s: float) -> urllib3.BaseHTTPResponse:
        headers = {TASK_HEADER: str(order.task), "Content-Type": "application/json"}
        if order.trace:
            headers["traceparent"] = order.trace
        return self._pool.request(
            "POST",
            f"/run/{order.service}",
            body=order.payload,
            headers=headers,
            timeout=urllib3.Timeout(connect=self._connect_s, read=wait_s),
        )


def _read(
    order: targets.Order, answer: urllib3.BaseHTTPResponse
) -> collections.abc.Iterator[targets.Result | targets.End]:
    named = targets.parse_task(answer.headers.get(TASK_HEADER, ""))
    is_leaving = answer.headers.get(LEAVING_HEADER) == "1"
    end = targets.End(outcomes.Fate.ANSWERED, is_leaving=is_leaving)
    if answer.status == 503 and answer.headers.get(NOT_STARTED_HEADER) == "1":
        refused = outcomes.Reason.TARGET_REFUSED
        yield targets.Result(order.task, False, b"", refused)
    elif named != order.task:
        reason = outcomes.Reason.BAD_ANSWER
        end = targets.End(outcomes.Fate.MAY_HAVE_STARTED, reason, is_leaving)
    elif answer.status != 200 or not is_json(answer.data):
        reason = outcomes.Reason.TARGET_FAILED
        yield targets.Result(order.task, False, b"", reason)
    else:
        ran_ms = parse_ms(answer.headers.get(RAN_HEADER))
        yield targets.Result(order.task, True, answer.data, ran_ms=ran_ms)
    yield end


def is_json(data: bytes) -> bool:
    """Tell whether bytes are one JSON text."""
    try:
        json.loads(data)
    except (ValueError, RecursionError):
        return False
    return True


def parse_ms(text: str | None) -> float | None:
    """Return a run time that a target reports, in milliseconds, or ``None``."""
    try:
        value = float(text) if text is not None else -1.0
    except ValueError:
        return None
    return value if 0.0 <= value <= MAX_RAN_MS else None


MAX_RAN_MS = 1e9
