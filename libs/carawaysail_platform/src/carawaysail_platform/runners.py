"""Client of runners: targets with slots that run one task per HTTP request.

``POST /run/<service>`` sends the payload as body and the identifier of the task in the
``Carawaysail-Task`` header. A runner responds with 200, JSON and the same header if the
task completed, and with 503 and ``Carawaysail-Not-Started: 1`` if it did not start the
task. Any other response with the same header means that the task ran and failed;
without that header, the task may or may not have been started.
``Carawaysail-Leaving: 1`` in any response announces that the runner is leaving, and
``Carawaysail-Ran-Ms`` reports the run time.
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
RUN_TIME_HEADER = "Carawaysail-Ran-Ms"
DEFAULT_READ_TIMEOUT_S = 10.0
"""Read timeout of requests that set none; ``RunnerClient.run`` sets its own."""


class RunnerClient:
    """Client of one runner.

    Parameters
    ----------
    url : str
        ``http://host:port``.
    connect_s : float
        Timeout for opening a connection, in seconds.
    connections : int
        Maximum number of idle connections that stay open.
    """

    def __init__(self, url: str, connect_s: float, connections: int) -> None:
        self._connect_s = connect_s
        self._pool = http.open_pool(url, connect_s, DEFAULT_READ_TIMEOUT_S, connections)

    def run(
        self, orders: tuple[targets.Order, ...], wait_s: float
    ) -> collections.abc.Iterator[targets.TaskResult | targets.ExchangeResult]:
        """Send one task; yield its result, if there is one.

        The last item is the result of the whole exchange.

        Parameters
        ----------
        orders : tuple of targets.Order
            Exactly one task.
        wait_s : float
            Maximum time without data from the runner, in seconds.
        """
        (order,) = orders
        try:
            response = self._post(order, wait_s)
        except urllib3.exceptions.HTTPError as exc:
            yield targets.exchange_result_after_connection_error(exc)
        else:
            yield from _read_response(order, response)

    def stop(self, tasks: tuple[identifiers.TaskId, ...]) -> None:
        """Do nothing: a runner cannot stop a task."""

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


def _read_response(
    order: targets.Order, response: urllib3.BaseHTTPResponse
) -> collections.abc.Iterator[targets.TaskResult | targets.ExchangeResult]:
    named_task = targets.parse_task_id(response.headers.get(TASK_HEADER, ""))
    is_leaving = response.headers.get(LEAVING_HEADER) == "1"
    exchange_result = targets.ExchangeResult(
        outcomes.BatchStatus.ANSWERED, is_leaving=is_leaving
    )
    if response.status == 503 and response.headers.get(NOT_STARTED_HEADER) == "1":
        refused = outcomes.Reason.TARGET_REFUSED
        yield targets.TaskResult(order.task, False, b"", refused)
    elif named_task != order.task:
        reason = outcomes.Reason.BAD_ANSWER
        exchange_result = targets.ExchangeResult(
            outcomes.BatchStatus.MAY_HAVE_STARTED, reason, is_leaving
        )
    elif response.status != 200 or not is_json(response.data):
        reason = outcomes.Reason.TARGET_FAILED
        yield targets.TaskResult(order.task, False, b"", reason)
    else:
        ran_ms = parse_run_time_ms(response.headers.get(RUN_TIME_HEADER))
        yield targets.TaskResult(order.task, True, response.data, ran_ms=ran_ms)
    yield exchange_result


def is_json(data: bytes) -> bool:
    """Return whether bytes are valid JSON."""
    try:
        json.loads(data)
    except (ValueError, RecursionError):
        return False
    return True


def parse_run_time_ms(text: str | None) -> float | None:
    """Parse a reported run time, in milliseconds.

    Returns
    -------
    float or None
        ``None`` if the text is missing, not a number, negative or above
        ``MAX_RUN_TIME_MS``.
    """
    try:
        run_time_ms = float(text) if text is not None else -1.0
    except ValueError:
        return None
    return run_time_ms if 0.0 <= run_time_ms <= MAX_RUN_TIME_MS else None


MAX_RUN_TIME_MS = 1e9
"""Longest reported run time that is accepted; a longer one counts as not reported."""
