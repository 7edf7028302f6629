"""History of a soak: typed events of clients, workers, processes and faults.

Every event begins with ``at``, in seconds of ``time.monotonic()``, one clock for all
processes of the machine. In files, an event is a line of JSON with its name and fields.
"""

import collections.abc
import pathlib
import threading
import time
import typing

import msgspec

from carawaysail_platform_standins import events
from carawaysail_types import errors, registry

event_types: registry.Registry[type] = registry.Registry("events of a history")

for _standin_event in typing.get_args(events.StandinEvent):
    event_types.register(_standin_event.__name__)(_standin_event)


@event_types.register("RequestSent")
class RequestSent(typing.NamedTuple):
    """A client is about to send the last byte of a job's request, or leaves it out.

    Parameters
    ----------
    request_id : str
        Identifier of this send; a resend of the job has another one.
    job_id, queue : str
        Identifier of the job, and the path prefix of its queue.
    vm : str
        VM that the request was sent to.
    task_count : int
        Number of tasks of the job, which has one step.
    deadline_s : float
        Time that the client waits for the answer, in seconds from ``at``.
    cpu, mem_mb : int
        Demand of each task: thousandths of a core, and megabytes.
    is_whole : bool
        Whether the whole body was sent.
    """

    at: float
    request_id: str
    job_id: str
    vm: str
    queue: str
    task_count: int
    deadline_s: float
    cpu: int = 0
    mem_mb: int = 0
    is_whole: bool = True


@event_types.register("RequestAnswered")
class RequestAnswered(typing.NamedTuple):
    """A client read a complete answer; ``state`` is empty if the answer has none."""

    at: float
    request_id: str
    status: int
    state: str = ""
    retry_after_s: float | None = None


@event_types.register("RequestBroken")
class RequestBroken(typing.NamedTuple):
    """The connection ended without a complete answer.

    ``cause`` is ``refused`` (no connection), ``reset``, ``closed`` (before any byte of
    the answer), ``cut`` (within the answer) or ``unreadable``.
    """

    at: float
    request_id: str
    cause: str


@event_types.register("ClientLeft")
class ClientLeft(typing.NamedTuple):
    """A client closed the connection before the answer, also at its deadline."""

    at: float
    request_id: str


@event_types.register("JobsPending")
class JobsPending(typing.NamedTuple):
    """The answer to a request for a queue's number of pending jobs."""

    at: float
    sent_at: float
    vm: str
    queue: str
    status: int


@event_types.register("ProcessStarted")
class ProcessStarted(typing.NamedTuple):
    """A daemon's process was started.

    ``address`` is the address that workers see its orders come from, such as
    ``127.0.0.7``; empty if all VMs share one.
    """

    at: float
    vm: str
    pid: int
    address: str = ""


@event_types.register("ProcessReady")
class ProcessReady(typing.NamedTuple):
    """The readiness check of a daemon succeeded for the first time."""

    at: float
    vm: str
    pid: int


@event_types.register("ProcessEnded")
class ProcessEnded(typing.NamedTuple):
    """A daemon's process ended; ``exit_code`` is negative after a signal."""

    at: float
    vm: str
    pid: int
    exit_code: int


@event_types.register("ProcessMeasured")
class ProcessMeasured(typing.NamedTuple):
    """What a process uses while no client is connected: memory in MB, and numbers."""

    at: float
    vm: str
    pid: int
    memory_mb: float
    descriptors: int
    threads: int


@event_types.register("Signalled")
class Signalled(typing.NamedTuple):
    """The soak is about to send a signal to a daemon, such as ``SIGTERM``."""

    at: float
    vm: str
    pid: int
    signal: str


@event_types.register("FaultBegun")
class FaultBegun(typing.NamedTuple):
    """A fault was injected.

    Parameters
    ----------
    kind : str
        Registered name of the fault's kind.
    target : str
        What it was injected into, such as a VM, a link or a worker.
    layer : str
        ``links``, ``processes``, ``workers``, ``store``, ``config`` or ``clients``.
    vms : tuple of str
        VMs whose processes, links or access to the store it impairs.
    """

    at: float
    kind: str
    target: str
    layer: str = ""
    vms: tuple[str, ...] = ()


@event_types.register("FaultEnded")
class FaultEnded(typing.NamedTuple):
    """The fault of this kind and target ended, and what it held up was released."""

    at: float
    kind: str
    target: str


@event_types.register("ConfigWritten")
class ConfigWritten(typing.NamedTuple):
    """The store acknowledged a version of the config with these queues."""

    at: float
    version: int
    prefixes: tuple[str, ...]


@event_types.register("TrafficEnded")
class TrafficEnded(typing.NamedTuple):
    """The clients stopped sending jobs."""

    at: float


Event = (
    RequestSent | RequestAnswered | RequestBroken | ClientLeft | JobsPending
    | ProcessStarted | ProcessReady | ProcessEnded | ProcessMeasured | Signalled
    | FaultBegun | FaultEnded | ConfigWritten | TrafficEnded | events.StandinEvent
)  # fmt: skip

EventType = typing.TypeVar("EventType")


class History:
    """Events in order of time.

    Parameters
    ----------
    all_events : iterable of Event
        Events in any order; events at one instant keep their order.
    """

    def __init__(self, all_events: collections.abc.Iterable[Event]) -> None:
        self.events: tuple[Event, ...] = tuple(sorted(all_events, key=lambda x: x.at))
        self._by_type: dict[type, list[Event]] = {}
        for event in self.events:
            self._by_type.setdefault(type(event), []).append(event)

    def of(self, event_type: type[EventType]) -> list[EventType]:
        """Return the events of a type, in order of time."""
        return typing.cast(list[EventType], self._by_type.get(event_type, []))

    @property
    def end(self) -> float:
        """Instant of the last event; 0 without events."""
        return self.events[-1].at if self.events else 0.0


class Recorder:
    """Collects events from any thread.

    Parameters
    ----------
    now : callable
        Returns the present instant, in seconds of the clock that the stand-ins use.
    """

    def __init__(
        self, now: collections.abc.Callable[[], float] = time.monotonic
    ) -> None:
        self.now = now
        self._lock = threading.Lock()
        self._events: list[Event] = []

    def record(self, event: Event) -> None:
        """Add an event."""
        with self._lock:
            self._events.append(event)

    def history(self) -> History:
        """Return the events so far."""
        with self._lock:
            return History(list(self._events))


def encode(event: Event) -> bytes:
    """Return an event as a line of JSON, with its end of line."""
    row = {"event": type(event).__name__, **event._asdict()}
    return msgspec.json.encode(row) + b"\n"


def decode(line: bytes | str) -> Event:
    """Return the event of a line of JSON.

    Raises
    ------
    errors.BadInputError
        If the line is no event.
    errors.UnknownNameError
        If no event has this name.
    """
    try:
        row = msgspec.json.decode(line, type=dict[str, typing.Any])
        event_type = typing.cast(typing.Any, event_types.get(str(row.get("event"))))
        fields = {x: row[x] for x in event_type._fields if x in row}
        return typing.cast(Event, _convert(event_type, fields))
    except (msgspec.MsgspecError, TypeError) as exc:
        raise errors.BadInputError(
            "history", line, "an event as a JSON object"
        ) from exc


def _convert(event_type: typing.Any, fields: dict[str, typing.Any]) -> typing.Any:
    # msgspec reads named tuples from arrays only.
    return msgspec.convert(list(event_type(**fields)), event_type)


def write(path: pathlib.Path, history: History) -> None:
    """Write a history as JSON lines."""
    path.write_bytes(b"".join(encode(x) for x in history.events))


def read(path: pathlib.Path) -> History:
    """Read a history from JSON lines.

    Raises
    ------
    errors.BadInputError
        If a line is no event.
    """
    return History(decode(x) for x in path.read_bytes().splitlines())
