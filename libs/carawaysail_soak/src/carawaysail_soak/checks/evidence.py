"""What checks look at: requests, runs and impairments, gathered from a history."""

import collections
import math
import typing

from carawaysail_platform_standins import events
from carawaysail_soak import history
from carawaysail_soak.checks import impairments


class Bounds(typing.NamedTuple):
    """Bounds of the platform's rules; the unit is in each name."""

    contact_ms: float = 3000
    ack_ms: float = 4000
    drain_ms: float = 2000
    grace_s: float = 6
    loss_slack_ms: float = 200
    config_apply_ms: float = 2000
    downgrade_slack_ms: float = 250
    recovery_s: float = 12
    max_hold_ms: float = 1000
    stop_ms: float = 50
    cancel_ms: float = 3000
    lease_ttl_ms: float = 3000
    retransmit_ms: float = 1300
    max_attempts: int = 2


class Send(typing.NamedTuple):
    """A request, and how it ended: at most one of the last three is set."""

    request: history.RequestSent
    answer: history.RequestAnswered | None = None
    broken: history.RequestBroken | None = None
    left: history.ClientLeft | None = None

    @property
    def deadline(self) -> float:
        """Instant until which the client waits."""
        return self.request.at + self.request.deadline_s

    @property
    def waits_until(self) -> float:
        """Instant from which the daemon must know that nobody waits.

        A broken connection may be noticed late, so it counts from the deadline.
        """
        return self.answer.at if self.answer is not None else self.deadline


class Run(typing.NamedTuple):
    """A run on a worker; instants are infinite for what did not happen.

    Parameters
    ----------
    worker : tuple of (str, int)
        Worker and incarnation.
    task : str
        Name of the task.
    number : int
        Number of the run.
    started, ended : float
        When it started and when it occupied nothing any more.
    result : str
        Result; empty if the worker crashed before.
    sequence : int
        Number of its end; 0 without one.
    listed, acknowledged : float
        When its end was listed and acknowledged for the first time.
    invalidated : float
        When the worker crashed or its lease expired, for the first time after the end.
    loss : str
        Which of the two it was, and how many runs the expiry killed.
    cpu, mem_mb : int
        Demand.
    vm : str
        VM that ordered it; empty if that cannot be told.
    is_late : bool
        Whether the worker carried the order out late.
    """

    worker: tuple[str, int]
    task: str
    number: int
    started: float
    ended: float = math.inf
    result: str = ""
    sequence: int = 0
    listed: float = math.inf
    acknowledged: float = math.inf
    invalidated: float = math.inf
    loss: str = ""
    cpu: int = 0
    mem_mb: int = 0
    vm: str = ""
    is_late: bool = False

    @property
    def job_id(self) -> str:
        """Identifier of the job."""
        return self.task.partition(".")[0]


class Evidence(typing.NamedTuple):
    """What checks look at.

    Parameters
    ----------
    history : history.History
        All events.
    bounds : Bounds
        Bounds of the rules.
    sends : dict of str to Send
        Requests by ``request_id``, in order of time.
    jobs : dict of str to list of Send
        Requests by job.
    runs : list of Run
        Runs in order of their start.
    tasks : dict of str to list of Run
        Runs by task.
    impairments : impairments.Impairments
        When what was impaired.
    """

    history: history.History
    bounds: Bounds
    sends: dict[str, Send]
    jobs: dict[str, list[Send]]
    runs: list[Run]
    tasks: dict[str, list[Run]]
    impairments: impairments.Impairments


def gather(recorded: history.History, bounds: Bounds) -> Evidence:
    """Return what checks look at."""
    sends = _gather_sends(recorded)
    jobs: dict[str, list[Send]] = collections.defaultdict(list)
    for send in sends.values():
        jobs[send.request.job_id].append(send)
    runs = _gather_runs(recorded)
    tasks: dict[str, list[Run]] = collections.defaultdict(list)
    for run in runs:
        tasks[run.task].append(run)
    impaired = impairments.gather(recorded, bounds.grace_s, bounds.contact_ms / 1000.0)
    return Evidence(recorded, bounds, sends, dict(jobs), runs, dict(tasks), impaired)


def _gather_sends(recorded: history.History) -> dict[str, Send]:
    sends = {x.request_id: Send(x) for x in recorded.of(history.RequestSent)}
    for event in recorded.events:
        request_id = getattr(event, "request_id", "")
        send = sends.get(request_id)
        if send is None or any(send[1:]):
            continue
        match event:
            case history.RequestAnswered():
                sends[request_id] = send._replace(answer=event)
            case history.RequestBroken():
                sends[request_id] = send._replace(broken=event)
            case history.ClientLeft():
                sends[request_id] = send._replace(left=event)
    return sends


def _gather_runs(recorded: history.History) -> list[Run]:
    vms = {x.address: x.vm for x in recorded.of(history.ProcessStarted) if x.address}
    losses: dict[typing.Any, list[float]] = collections.defaultdict(list)
    texts: dict[typing.Any, str] = {}
    crashes: dict[typing.Any, float] = {}
    for event in recorded.events:
        if isinstance(event, events.WorkerCrashed | events.LeaseExpired):
            losses[event[1:3]].append(event.at)
        if isinstance(event, events.WorkerCrashed):
            crashes[event[1:3]] = event.at
            texts[event[1:3], event.at] = "crash"
        elif isinstance(event, events.LeaseExpired):
            texts[event[1:3], event.at] = f"lapse that killed {event.killed} runs"
    orders = {
        (x.worker_id, x.incarnation, x.task, x.run_number): x
        for x in reversed(recorded.of(events.OrderReceived))
        if x.kind == "start" and x.result == "ok"
    }
    ends = {x[1:5]: x for x in recorded.of(events.RunEnded)}
    listed = {x[1:4]: x.at for x in reversed(recorded.of(events.EndListed))}
    acked = {x[1:4]: x.at for x in reversed(recorded.of(events.EndAcknowledged))}
    runs = []
    for start in recorded.of(events.RunStarted):
        worker = (start.worker_id, start.incarnation)
        order, end = orders.get(start[1:5]), ends.get(start[1:5])
        run = Run(
            worker, start.task, start.run_number, start.at, cpu=start.cpu,
            mem_mb=start.mem_mb, ended=crashes.get(worker, math.inf),
            vm=vms.get(order.sender, "") if order else "",
            is_late=order is not None and order.delay_s > 0,
        )  # fmt: skip
        if end is not None:
            key = (*worker, end.sequence)
            invalidated = impairments.first_after(losses[worker], end.at)
            run = run._replace(
                ended=end.at, result=end.result, sequence=end.sequence,
                listed=listed.get(key, math.inf),
                acknowledged=acked.get(key, math.inf),
                invalidated=invalidated, loss=texts.get((worker, invalidated), ""),
            )  # fmt: skip
        runs.append(run)
    return runs
