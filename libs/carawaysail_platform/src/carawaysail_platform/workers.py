"""Workers: targets that run tasks under leases.

``POST /batches`` with ``{"lease_ms", "tasks": [{"task", "service", "payload",
"processors", "memory_mb", "accelerators", "trace"}]}`` is answered by one JSON line
for each task as it ends: ``{"task", "state", "answer", "ran_ms"}``, the state being
``done``, ``failed``, ``stopped`` or ``refused`` (not started). ``POST /leases`` renews
the lease of tasks, ``POST /stop``, ``/throttle`` and ``/checkpoint`` act on tasks, and
``GET /usage`` reports usage, with a lag. A task whose lease lapses is stopped by the
worker.
"""

import collections.abc
import json
import typing

import urllib3
import urllib3.exceptions

from carawaysail_platform import http, runners, targets
from carawaysail_types import identifiers, outcomes

CONTROL_S = 2.0
READ_BYTES = 65_536

_REASONS = {
    "failed": outcomes.Reason.TARGET_FAILED,
    "stopped": outcomes.Reason.TASK_STOPPED,
    "refused": outcomes.Reason.TARGET_REFUSED,
}


class Usage(typing.NamedTuple):
    """Usage that a worker reports, with a lag.

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


class Worker:
    """The client of one worker.

    Parameters
    ----------
    url : str
        ``http://host:port``.
    connect_s : float
        Time to open a connection, in seconds.
    connections : int
        Idle connections kept at most.
    lease_ms : int
        Lease of the tasks, in milliseconds.
    """

    def __init__(
        self, url: str, connect_s: float, connections: int, lease_ms: int
    ) -> None:
        self.url = url
        self.lease_ms = lease_ms
        self._connect_s = connect_s
        self._pool = http.open_pool(url, connect_s, CONTROL_S, connections)

    def run(
        self, orders: tuple[targets.Order, ...], wait_s: float
    ) -> collections.abc.Iterator[targets.Result | targets.End]:
        """Send tasks in one message; yield each result as it comes, and the end.

        Parameters
        ----------
        orders : tuple of targets.Order
            The tasks.
        wait_s : float
            Time to wait between two results, in seconds.
        """
        body = {"lease_ms": self.lease_ms, "tasks": [_order(x) for x in orders]}
        timeout = urllib3.Timeout(connect=self._connect_s, read=wait_s)
        try:
            answer = self._pool.request(
                "POST", "/batches", body=json.dumps(body), timeout=timeout,
                preload_content=False,
            )  # fmt: skip
        except urllib3.exceptions.HTTPError as exc:
            yield targets.lost(exc)
        else:
            yield from _results(answer, {order.task for order in orders})

    def renew(self, tasks: tuple[identifiers.TaskId, ...]) -> bool:
        """Renew the lease of tasks, in one message; tell whether it was taken."""
        return self._control("/leases", tasks, lease_ms=self.lease_ms)

    def stop(self, tasks: tuple[identifiers.TaskId, ...]) -> None:
        """Ask the worker to stop tasks, in one message; best effort."""
        self._control("/stop", tasks)

    def throttle(self, tasks: tuple[identifiers.TaskId, ...], share: float) -> bool:
        """Ask the worker to slow tasks to a share of their processors."""
        return self._control("/throttle", tasks, share=share)

    def checkpoint(self, tasks: tuple[identifiers.TaskId, ...]) -> bool:
        """Ask the worker to save tasks and set them aside."""
        return self._control("/checkpoint", tasks)

    def usage(self) -> Usage | None:
        """Return the usage that the worker reports, or ``None``."""
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
        self, path: str, tasks: tuple[identifiers.TaskId, ...], **more: object
    ) -> bool:
        body = json.dumps({"tasks": [str(task) for task in tasks], **more})
        try:
            return self._pool.request("POST", path, body=body).status == 200
        except urllib3.exceptions.HTTPError:
            return False


def _order(order: targets.Order) -> dict[str, object]:
    return {
        "task": str(order.task),
        "service": order.service,
        "payload": order.payload.decode(),
        "processors": order.needs.processors,
        "memory_mb": order.needs.memory_mb,
        "accelerators": order.needs.accelerators,
        "trace": order.trace,
    }


def _results(
    answer: urllib3.BaseHTTPResponse, waiting: set[identifiers.TaskId]
) -> collections.abc.Iterator[targets.Result | targets.End]:
    """Yield what the lines say; a line that names no waiting task is passed over."""
    is_leaving = answer.headers.get(runners.LEAVING_HEADER) == "1"
    if answer.status == 503 and answer.headers.get(runners.NOT_STARTED_HEADER) == "1":
        answer.drain_conn()
        reason = outcomes.Reason.TARGET_REFUSED
        yield targets.End(outcomes.Fate.NOT_STARTED, reason, is_leaving)
        return
    rest = b""
    try:
        while chunk := answer.read1(READ_BYTES):
            *lines, rest = (rest + chunk).split(b"\n")
            for line in lines:
                result = parse_line(line)
                if result is not None and result.task in waiting:
                    waiting.discard(result.task)
                    yield result
    except urllib3.exceptions.HTTPError as exc:
        yield targets.lost(exc)
        return
    answer.release_conn()
    if waiting:
        reason = outcomes.Reason.BAD_ANSWER
        yield targets.End(outcomes.Fate.MAY_HAVE_STARTED, reason)
    else:
        yield targets.End(outcomes.Fate.ANSWERED, is_leaving=is_leaving)


def parse_line(line: bytes) -> targets.Result | None:
    """Return what one line of a worker's answer says, or ``None`` for nonsense."""
    try:
        value = json.loads(line)
        task = targets.parse_task(value["task"])
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
            return targets.Result(task, True, answer, ran_ms=ran_ms)
    reason = _REASONS.get(str(state), outcomes.Reason.TARGET_FAILED)
    return targets.Result(task, False, b"", reason)
