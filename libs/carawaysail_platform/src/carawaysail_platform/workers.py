"""Client of workers: targets that run batches of tasks under leases.

``POST /batches`` sends tasks: ``{"lease_ms", "tasks": [{"task", "service", "payload",
"processors", "memory_mb", "accelerators", "trace"}]}``. The response has one JSON line
for each task, written when the task finishes: ``{"task", "state", "answer",
"ran_ms"}``. The state is ``done``, ``failed``, ``stopped`` or ``refused`` (not
started); status 503 with the header ``Carawaysail-Not-Started: 1`` means that no task
of the batch was started. ``POST /leases`` renews the leases of tasks; the worker stops
a task whose lease expires. ``POST /stop``, ``/throttle`` and ``/checkpoint`` control
running tasks. ``GET /usage`` returns the resources in use, with a lag.
"""

import collections.abc
import json
import typing

import urllib3
import urllib3.exceptions

from carawaysail_platform import http, runners, targets
from carawaysail_types import identifiers, outcomes

CONTROL_TIMEOUT_S = 2.0
CHUNK_BYTES = 65_536

_REASONS = {
    "failed": outcomes.Reason.TARGET_FAILED,
    "stopped": outcomes.Reason.TASK_STOPPED,
    "refused": outcomes.Reason.TARGET_REFUSED,
}


class Usage(typing.NamedTuple):
    """Resources in use on a worker, as it reports them, with a lag.

    Parameters
    ----------
    processors : float
        Processors in use.
    memory_mb : float
        Memory in use, in MB.
    accelerators : int
        Accelerators in use.
    """

    processors: float
    memory_mb: float
    accelerators: int


class WorkerClient:
    """Client of one worker.

    Parameters
    ----------
    url : str
        ``http://host:port``.
    connect_s : float
        Timeout for opening a connection, in seconds.
    connections : int
        Maximum number of idle connections that stay open.
    lease_ms : int
        Duration of the lease of a task, in milliseconds.
    """

    def __init__(
        self, url: str, connect_s: float, connections: int, lease_ms: int
    ) -> None:
        self.url = url
        self.lease_ms = lease_ms
        self._connect_s = connect_s
        self._pool = http.open_pool(url, connect_s, CONTROL_TIMEOUT_S, connections)

    def run(
        self, orders: tuple[targets.Order, ...], wait_s: float
    ) -> collections.abc.Iterator[targets.TaskResult | targets.ExchangeResult]:
        """Send tasks in one message; yield their results as they arrive.

        The last item is the result of the whole exchange.

        Parameters
        ----------
        orders : tuple of targets.Order
            The tasks.
        wait_s : float
            Maximum time without data from the worker, in seconds.
        """
        body = {
            "lease_ms": self.lease_ms,
            "tasks": [_encode_order(order) for order in orders],
        }
        timeout = urllib3.Timeout(connect=self._connect_s, read=wait_s)
        try:
            response = self._pool.request(
                "POST", "/batches", body=json.dumps(body), timeout=timeout,
                preload_content=False,
            )  # fmt: skip
        except urllib3.exceptions.HTTPError as exc:
            yield targets.end_after_connection_error(exc)
        else:
            yield from _read_results(response, {order.task for order in orders})

    def renew(self, tasks: tuple[identifiers.TaskId, ...]) -> bool:
        """Renew the leases of tasks, in one message; return whether that succeeded."""
        return self._control("/leases", tasks, lease_ms=self.lease_ms)

    def stop(self, tasks: tuple[identifiers.TaskId, ...]) -> None:
        """Request the worker to stop tasks, in one message; best effort."""
        self._control("/stop", tasks)

    def throttle(self, tasks: tuple[identifiers.TaskId, ...], share: float) -> bool:
        """Request the worker to limit tasks to a fraction of their processors.

        Parameters
        ----------
        tasks : tuple of identifiers.TaskId
            The tasks.
        share : float
            Fraction of their processors that the tasks may use.

        Returns
        -------
        bool
            Whether the worker accepted the request.
        """
        return self._control("/throttle", tasks, share=share)

    def checkpoint(self, tasks: tuple[identifiers.TaskId, ...]) -> bool:
        """Request the worker to save the state of tasks and suspend them.

        Returns
        -------
        bool
            Whether the worker accepted the request.
        """
        return self._control("/checkpoint", tasks)

    def usage(self) -> Usage | None:
        """Return the resources in use; ``None`` if there is no usable answer."""
        try:
            value = json.loads(self._pool.request("GET", "/usage").data)
            return Usage(
                float(value["processors"]),
                float(value["memory_mb"]),
                int(value["accelerators"]),
            )
        except (urllib3.exceptions.HTTPError, ValueError, KeyError, TypeError):
            return None

    def _control(
        self, path: str, tasks: tuple[identifiers.TaskId, ...], **fields: object
    ) -> bool:
        body = json.dumps({"tasks": [str(task) for task in tasks], **fields})
        try:
            return self._pool.request("POST", path, body=body).status == 200
        except urllib3.exceptions.HTTPError:
            return False


def _encode_order(order: targets.Order) -> dict[str, object]:
    return {
        "task": str(order.task),
        "service": order.service,
        "payload": order.payload.decode(),
        "processors": order.resources.processors,
        "memory_mb": order.resources.memory_mb,
        "accelerators": order.resources.accelerators,
        "trace": order.trace,
    }


def _read_results(
    response: urllib3.BaseHTTPResponse, pending: set[identifiers.TaskId]
) -> collections.abc.Iterator[targets.TaskResult | targets.ExchangeResult]:
    """Yield the results in a response; skip lines that name no pending task.

    A task is pending from its order to its first result.
    """
    is_leaving = response.headers.get(runners.LEAVING_HEADER) == "1"
    if (
        response.status == 503
        and response.headers.get(runners.NOT_STARTED_HEADER) == "1"
    ):
        response.drain_conn()
        reason = outcomes.Reason.TARGET_REFUSED
        yield targets.ExchangeResult(
            outcomes.BatchStatus.NOT_STARTED, reason, is_leaving
        )
        return
    incomplete = b""
    try:
        while chunk := response.read1(CHUNK_BYTES):
            *lines, incomplete = (incomplete + chunk).split(b"\n")
            for line in lines:
                result = parse_line(line)
                if result is not None and result.task in pending:
                    pending.discard(result.task)
                    yield result
    except urllib3.exceptions.HTTPError as exc:
        yield targets.end_after_connection_error(exc)
        return
    response.release_conn()
    if pending:
        reason = outcomes.Reason.BAD_ANSWER
        yield targets.ExchangeResult(outcomes.BatchStatus.MAY_HAVE_STARTED, reason)
    else:
        yield targets.ExchangeResult(
            outcomes.BatchStatus.ANSWERED, is_leaving=is_leaving
        )


def parse_line(line: bytes) -> targets.TaskResult | None:
    """Parse one line of a worker's response; ``None`` if it is malformed.

    A task whose state is unknown, or ``done`` without an answer in JSON, has failed.
    """
    try:
        value = json.loads(line)
        task = targets.parse_task_id(value["task"])
        state = value["state"]
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError):
        return None
    if task is None:
        return None
    if state == "done" and isinstance(value.get("answer"), str):
        answer = value["answer"].encode("utf-8", "replace")
        if runners.is_json(answer):
            ran = value.get("ran_ms")
            ran_ms = float(ran) if isinstance(ran, int | float) else None
            return targets.TaskResult(task, True, answer, ran_ms=ran_ms)
    reason = _REASONS.get(str(state), outcomes.Reason.TARGET_FAILED)
    return targets.TaskResult(task, False, b"", reason)
