"""A modelled site: data centres, daemons, workers, clients, and what they see."""

import collections
import datetime
import math
import random
import typing

from carawaysail_fleet import messages, ports
from carawaysail_holding import broker_messages, policies
from carawaysail_model import engine, history, nodes, store, workers
from carawaysail_types import clock, daemons, jobs, runs

SERVICE = "desk"
START_UP = clock.milliseconds(3000)
"""Time for daemons to take their workers before clients come."""


class Kind(typing.NamedTuple):
    """A kind of job.

    Parameters
    ----------
    name : str
        Its name.
    rate : float
        Jobs a second of the whole site.
    width : float
        Mean number of tasks.
    length_ms : float
        Mean run time of a task on an average worker, stragglers apart.
    priority : int
        Priority of its queue.
    worth : float
        Worth of an answer within its objective, for a job of mean work.
    """

    name: str
    rate: float
    width: float
    length_ms: float
    priority: int
    worth: float


class Site(typing.NamedTuple):
    """What is modelled.

    Parameters
    ----------
    places : int
        Data centres.
    daemons : int
        Entry daemons, dealt out over the data centres.
    workers : int
        Workers, dealt out over the data centres.
    factors : tuple of float
        Run times of workers, in turn, as multiples of an average worker's.
    room_milli : tuple of int
        Thousandths of a core of workers, in turn.
    task_milli : int
        Mean thousandths of a core of a task.
    kinds : tuple of Kind
        Kinds of jobs.
    swing : float
        How far the rate swings around its mean, as a share of it.
    period_s : float
        Period of the swing, in seconds.
    stretch : float
        Objective as a multiple of the longest task.
    objective_ms : float
        What the objective adds, in milliseconds.
    patience_ms : float
        How long clients wait, in milliseconds.
    estimate_spread : float
        Spread of the clients' estimates, as a logarithm.
    length_spread : float
        Spread of jobs' lengths, as a logarithm.
    tail : float
        Share of jobs that take seven times as long.
    order, choice, admission : str
        Names of the policies.
    """

    places: int = 4
    daemons: int = 7
    workers: int = 24
    factors: tuple[float, ...] = (0.7, 0.7, 1.7)
    room_milli: tuple[int, ...] = (32_000, 32_000, 48_000)
    task_milli: int = 14_000
    kinds: tuple[Kind, ...] = (
        Kind("check", 30.2, 8, 51.0, 0, 0.0291),
        Kind("confirm", 5.5, 4, 760.0, 2, 0.16),
        Kind("quote", 88.0, 2, 170.0, 1, 0.01),
    )
    swing: float = 0.55
    period_s: float = 17.0
    stretch: float = 1.6
    objective_ms: float = 60.0
    patience_ms: float = 1500.0
    estimate_spread: float = 0.4
    length_spread: float = 0.4
    tail: float = 0.03
    order: str = "latest_start"
    choice: str = "fit_to_due"
    admission: str = "yielding"


TAIL_FACTOR = 7.0
UNEVEN = 0.15
WIDTH_SPREAD = 0.4
ROOM_SPREAD = 0.2


WORTH_BASE = 0.3
"""Share of a mean job's worth that does not depend on its work."""

MAX_WORTH_FACTOR = 4.0
"""A job is worth at most this many times its kind."""


def worth_factor(work: float) -> float:
    """Return a job's worth by its work, both relative to the mean of its kind."""
    return min(MAX_WORTH_FACTOR, WORTH_BASE + (1.0 - WORTH_BASE) * work)


class Served(typing.NamedTuple):
    """How one job was served.

    Parameters
    ----------
    kind : str
        Its kind.
    outcome : jobs.JobOutcome
        The answer.
    took_ms : float
        Response time, in milliseconds.
    aim_ms : float
        Its objective, by true lengths, in milliseconds.
    worth : float
        Worth of a timely answer.
    """

    kind: str
    outcome: jobs.JobOutcome
    took_ms: float
    aim_ms: float
    worth: float


class Arrival(typing.NamedTuple):
    """A job as it comes, with what no daemon knows.

    Parameters
    ----------
    kind : str
        Its kind.
    at : datetime.datetime
        When it comes.
    room : jobs.Resources
        What each task takes.
    lengths : tuple of datetime.timedelta
        True run times of its tasks on an average worker.
    aim_ms : float
        Its objective, in milliseconds.
    worth : float
        Worth of a timely answer.
    """

    kind: str
    at: datetime.datetime
    room: jobs.Resources
    lengths: tuple[datetime.timedelta, ...]
    aim_ms: float
    worth: float


class _Posted(typing.NamedTuple):
    job: jobs.Job
    kind: Kind
    at: datetime.datetime
    aim_ms: float
    worth: float


class World:
    """One run of the model.

    Parameters
    ----------
    site : Site
        What is modelled.
    random_state : int
        Seeds everything that is drawn.
    """

    def __init__(self, site: Site, random_state: int) -> None:
        self.site = site
        self.engine = engine.Engine()
        self.store = store.Store()
        self.history = history.History()
        self.served: list[Served] = []
        self.arrivals: list[Arrival] = []
        self.rate_factor = 1.0
        self.kind_factors: dict[str, float] = {}
        self.cuts: set[frozenset[str]] = set()
        self._random = random.Random(random_state)
        self._truth: dict[str, tuple[jobs.Resources, list[datetime.timedelta]]] = {}
        self._posted: dict[int, _Posted] = {}
        self._replies = 0
        self._workers = dict(self._make_workers())
        self._nodes: dict[str, nodes.Node] = {}
        self._lives = collections.Counter[str]()
        for number in range(site.daemons):
            self.start_node(f"vm-{number}", self.place(number))

    # Parts

    def place(self, number: int) -> str:
        """Return the data centre of a daemon or worker by its number."""
        return f"dc-{number % self.site.places}"

    def _make_workers(self) -> typing.Iterator[tuple[str, workers.Worker]]:
        site = self.site
        for number in range(site.workers):
            turn = number // site.places
            room = site.room_milli[turn % len(site.room_milli)]
            report = runs.WorkerReport(
                f"w-{number}", "1", SERVICE, f"w-{number}:1", self.place(number),
                jobs.Resources(room, 131_072, 0),
            )  # fmt: skip
            self.store.reports[report.worker_id] = report
            factor = site.factors[(turn + number) % len(site.factors)]
            yield (
                report.worker_id,
                workers.Worker(
                    report, factor, self.engine, self.history, self._length_of
                ),
            )

    def _length_of(self, task: runs.Task) -> tuple[jobs.Resources, datetime.timedelta]:
        room, lengths = self._truth[task.job_id]
        return room, lengths[task.number]

    def start_node(self, vm: str, place: str) -> nodes.Node:
        """Start the daemon of a VM."""
        self._lives[vm] += 1
        me = daemons.Daemon(vm, place, f"{vm}-{self._lives[vm]}", f"{vm}:1")
        places = tuple(f"dc-{x}" for x in range(self.site.places))
        cfg = ports.Settings(
            vm, place, "", "", me.address, "", places, broker_messages.Terms(),
            clock.milliseconds(6000),
            policies.PolicyNames(self.site.order, self.site.choice),
            self.site.admission,
        )  # fmt: skip
        node = nodes.Node(
            me, cfg, self.engine, self, self.store, self._answered,
            self._random.randrange(1 << 30),
        )  # fmt: skip
        self._nodes[vm] = node
        return node

    def kill(self, vm: str) -> None:
        """Kill the daemon of a VM; connections to it are refused from now on."""
        self._nodes[vm].is_alive = False

    def freeze(self, vm: str, length: datetime.timedelta) -> None:
        """Let the daemon of a VM stand still."""
        self._nodes[vm].frozen_until = self.engine.now() + length

    def leave(self, vm: str) -> None:
        """Ask the daemon of a VM to end."""
        self._nodes[vm].put(messages.LeaveRequested())

    def holder(self, place: str) -> str:
        """Return the VM that holds a data centre."""
        return self.store.tenures[place].vm

    def all_nodes(self) -> dict[str, nodes.Node]:
        """Return all daemons, dead ones included."""
        return self._nodes

    def all_workers(self) -> dict[str, workers.Worker]:
        """Return all workers."""
        return self._workers

    def drain(self, worker_id: str) -> None:
        """Let a worker report that it is about to leave."""
        worker = self._workers[worker_id]
        worker.draining_since = self.engine.now()
        worker.report = worker.report._replace(is_draining=True)
        self.store.reports[worker_id] = worker.report

    def restart_worker(self, worker_id: str) -> None:
        """End a worker's life; the next one begins under the same name."""
        worker = self._workers[worker_id]
        worker.restart()
        self.store.reports[worker_id] = worker.report

    # Network

    def delay(self, first: str, second: str) -> datetime.timedelta | None:
        """Return the time from one VM or worker to another; ``None`` if cut."""
        places = {self._where(first), self._where(second)}
        if frozenset(places) in self.cuts:
            return None
        return IN_PLACE if len(places) == 1 else ACROSS

    def _where(self, name: str) -> str:
        worker = self._workers.get(name)
        if worker is not None:
            return worker.report.data_centre
        return self._nodes[name].me.data_centre

    def cut(self, place: str) -> None:
        """Cut a data centre off from the others and from the store."""
        self.store.cut_places.add(place)
        for number in range(self.site.places):
            if f"dc-{number}" != place:
                self.cuts.add(frozenset((place, f"dc-{number}")))

    def heal(self) -> None:
        """End all cuts."""
        self.cuts.clear()
        self.store.cut_places.clear()

    def node(self, vm: str) -> nodes.Node | None:
        """Return the daemon of a VM, if it runs."""
        node = self._nodes[vm]
        return node if node.is_alive else None

    def worker(self, worker_id: str) -> workers.Worker:
        """Return a worker."""
        return self._workers[worker_id]

    # Clients

    def run(self, length: datetime.timedelta) -> None:
        """Let clients come for some time, then finish what is under way."""
        self.engine.run(START_UP)
        end = self.engine.now() + length
        for kind in self.site.kinds:
            self._schedule(kind, end)
        self.engine.run(length + clock.milliseconds(2 * self.site.patience_ms))

    def _schedule(self, kind: Kind, end: datetime.datetime) -> None:
        rate = kind.rate * self.rate_factor * self.kind_factors.get(kind.name, 1.0)
        elapsed = (self.engine.now() - self.engine.began).total_seconds()
        angle = 2 * math.pi * elapsed / self.site.period_s
        rate *= 1.0 + self.site.swing * math.sin(angle)
        wait = datetime.timedelta(seconds=self._random.expovariate(max(rate, 1e-3)))

        def arrive() -> None:
            if self.engine.now() < end:
                self._post(kind)
                self._schedule(kind, end)

        self.engine.after(wait, arrive)

    def _post(self, kind: Kind) -> None:
        job, aim_ms, work_ms = self._draw(kind)
        worth = kind.worth * worth_factor(work_ms / (kind.width * kind.length_ms))
        now = self.engine.now()
        room, lengths = self._truth[job.job_id]
        self.arrivals.append(
            Arrival(kind.name, now, room, tuple(lengths), aim_ms, worth)
        )
        self._send(_Posted(job, kind, now, aim_ms, worth))

    def _draw(self, kind: Kind) -> tuple[jobs.Job, float, float]:
        site, draw = self.site, self._random
        width = max(1, round(kind.width * self._around_one(WIDTH_SPREAD)))
        length = kind.length_ms * self._around_one(site.length_spread)
        if draw.random() < site.tail:
            length *= TAIL_FACTOR
        lengths = [length * self._around_one(UNEVEN) for _ in range(width)]
        milli = min(20_000, round(site.task_milli * self._around_one(ROOM_SPREAD)))
        estimate = length * self._around_one(site.estimate_spread)
        room = jobs.Resources(milli, 64, 0)
        job_id = f"{draw.getrandbits(64):016x}"
        self._truth[job_id] = (room, [clock.milliseconds(x) for x in lengths])
        step = jobs.Step(width, room, clock.milliseconds(estimate))
        aim_ms = max(lengths) * site.stretch + site.objective_ms
        return jobs.Job(job_id, "", (step,)), aim_ms, sum(lengths)

    def _around_one(self, spread: float) -> float:
        """Draw a log-normal factor whose mean is 1."""
        return self._random.lognormvariate(-(spread**2) / 2, spread)

    def _send(self, posted: _Posted) -> None:
        alive = [x for x in self._nodes.values() if x.is_alive]
        ready = [x for x in alive if not x.decision_loop.is_leaving] or alive
        if not ready:
            self._record(posted, jobs.JobOutcome(jobs.Verdict.REFUSED))
            return
        node = self._random.choice(ready)
        self._replies += 1
        number = self._replies
        self._posted[number] = posted
        queue = jobs.Queue(
            posted.kind.name, "", "", SERVICE, posted.kind.priority, 3,
            self.site.stretch, clock.milliseconds(self.site.objective_ms),
            clock.milliseconds(self.site.patience_ms),
        )  # fmt: skip
        request = ports.JobRequest(queue, posted.job, queue.timeout)
        node.put(messages.JobPosted(request, number))
        self.engine.after(
            queue.timeout + clock.milliseconds(200), lambda: self._give_up(number)
        )

    def _give_up(self, number: int) -> None:
        posted = self._posted.pop(number, None)
        if posted is not None:
            self._record(posted, jobs.JobOutcome(jobs.Verdict.UNKNOWN))

    def _answered(self, number: int, outcome: jobs.JobOutcome) -> None:
        posted = self._posted.pop(number, None)
        if posted is None:
            return
        self.history.answered(posted.job, outcome, self.engine.now())
        self._record(posted, outcome)

    def _record(self, posted: _Posted, outcome: jobs.JobOutcome) -> None:
        took_ms = clock.to_milliseconds(self.engine.now() - posted.at)
        self.served.append(
            Served(posted.kind.name, outcome, took_ms, posted.aim_ms, posted.worth)
        )


IN_PLACE = clock.milliseconds(0.4)
ACROSS = clock.milliseconds(1.6)
