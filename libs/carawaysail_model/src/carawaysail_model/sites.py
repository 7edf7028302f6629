"""A simulated site: data centres, daemons, workers, clients and their network."""

import collections
import datetime
import functools
import itertools
import math
import random
import typing

from carawaysail_fleet import messages, ports
from carawaysail_holding import broker_messages, policies
from carawaysail_model import engine, history, links, nodes, store, workers
from carawaysail_types import clock, daemons, jobs, runs

SERVICE = "desk"
"""Name of the only service of the site."""

START_UP_TIME = clock.milliseconds(3000)
"""Time before the first jobs, in which daemons become holders and poll workers."""


class Kind(typing.NamedTuple):
    """A kind of job; settings files use the names of the fields.

    Parameters
    ----------
    name : str
        Name of the kind, and of its queue.
    rate : float
        Mean arrival rate of the whole site, in jobs per second.
    width : float
        Mean number of tasks of a job.
    length_ms : float
        Mean run time of a task on an average worker, in milliseconds, without the
        factor for long jobs.
    priority : int
        Priority of its queue; 0 comes first.
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
    """Parameters of a simulated site; settings files use the names of the fields.

    Parameters
    ----------
    places : int
        Number of data centres.
    daemons : int
        Number of daemons, spread evenly over the data centres.
    workers : int
        Number of workers, spread evenly over the data centres.
    factors : tuple of float
        Run-time factors that workers get in turn: multiples of the run time on an
        average worker.
    room_milli : tuple of int
        Processor capacities that workers get in turn, in thousandths of a core.
    task_milli : int
        Mean processor requirement of a task, in thousandths of a core.
    kinds : tuple of Kind
        Kinds of jobs.
    swing : float
        Amplitude of the arrival rate's sine wave, as a share of the mean rate.
    period_s : float
        Period of that wave, in seconds.
    stretch : float
        Response-time objective of a job as a multiple of its longest task.
    objective_ms : float
        Time that is added to that multiple, in milliseconds.
    patience_ms : float
        Client timeout, in milliseconds.
    estimate_spread : float
        Standard deviation of the logarithm of the clients' run-time estimates.
    length_spread : float
        Standard deviation of the logarithm of jobs' mean run times.
    tail : float
        Share of jobs whose tasks take ``TAIL_FACTOR`` times as long.
    attempts : int
        Number of times that a client sends its job at most. If it is above 1, clients
        notice broken connections, and a job whose attempt has ended without an answer,
        or as unknown, is sent again.
    clock_drift : float
        Largest share by which the clocks of workers are slow.
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
    attempts: int = 1
    clock_drift: float = 0.0
    order: str = "latest_start"
    choice: str = "fit_to_due"
    admission: str = "yielding"


TAIL_FACTOR = 7.0
"""Run times of a long job, as a multiple of those of other jobs of its kind."""

# Standard deviations of the logarithms of what is drawn for a job: the run times of
# its tasks around their mean, the number of its tasks and their processor requirement.
TASK_TIME_SPREAD = 0.15
TASK_COUNT_SPREAD = 0.4
PROCESSOR_SPREAD = 0.2

BASE_WORTH_SHARE = 0.3
"""Share of a mean job's worth that does not depend on its work."""

MAX_WORTH_FACTOR = 4.0
"""A job is worth at most this multiple of its kind's worth."""


def worth_factor(work: float) -> float:
    """Return a job's worth relative to its kind's, by its work relative to the mean."""
    return min(MAX_WORTH_FACTOR, BASE_WORTH_SHARE + (1.0 - BASE_WORTH_SHARE) * work)


class Served(typing.NamedTuple):
    """How one job was served.

    Parameters
    ----------
    kind : str
        Name of its kind.
    outcome : jobs.JobOutcome
        The outcome that its client received.
    response_ms : float
        Response time, in milliseconds.
    response_objective_ms : float
        The response-time objective by true run times, in milliseconds.
    worth : float
        Worth of an answer in time.
    work : float
        Its size: run times of its tasks on an average worker times their processors.
    """

    kind: str
    outcome: jobs.JobOutcome
    response_ms: float
    response_objective_ms: float
    worth: float
    work: float


class Arrival(typing.NamedTuple):
    """A submitted job, with true values that daemons do not know.

    Parameters
    ----------
    kind : str
        Name of its kind.
    at : datetime.datetime
        When it is submitted.
    resources : jobs.Resources
        Requirements of each task.
    run_times : tuple of datetime.timedelta
        True run times of its tasks on an average worker.
    response_objective_ms : float
        Its response-time objective, in milliseconds.
    worth : float
        Worth of an answer in time.
    """

    kind: str
    at: datetime.datetime
    resources: jobs.Resources
    run_times: tuple[datetime.timedelta, ...]
    response_objective_ms: float
    worth: float

    @property
    def work(self) -> float:
        """Size of the job: run times of its tasks times their processors."""
        total_ms = clock.to_milliseconds(sum(self.run_times, datetime.timedelta()))
        return total_ms * self.resources.processor_milli


def served(arrival: Arrival, outcome: jobs.JobOutcome, response_ms: float) -> Served:
    """Return how a job was served, given its outcome and response time in ms."""
    return Served(
        arrival.kind, outcome, response_ms, arrival.response_objective_ms,
        arrival.worth, arrival.work,
    )  # fmt: skip


class _PendingJob(typing.NamedTuple):
    job: jobs.Job
    arrival: Arrival
    kind: Kind
    attempt: int = 1
    # The daemon that it was sent to; the connection ends with its incarnation.
    node: nodes.Node | None = None


class Simulation:
    """One simulation of a site, from the start of its daemons to the last answer.

    Parameters
    ----------
    site : Site
        Parameters of the site.
    random_state : int
        Seed of all random values.

    Attributes
    ----------
    engine : engine.Engine
        Clock and timers.
    store : store.Store
        The store that all daemons share.
    history : history.History
        Observed events and violations of invariants.
    served : list of Served
        Jobs that have an outcome.
    arrivals : list of Arrival
        All submitted jobs, in order.
    rate_factor : float
        Factor of all arrival rates.
    kind_factors : dict of str to float
        Further factors of the arrival rates, by name of the kind.
    cuts : set of frozenset of str
        Pairs of data centres without a connection.
    cut_links : collections.Counter of (str, str)
        Pairs of sending and receiving VM without a connection, with the number of
        faults that cut them.
    fault_random : random.Random
        Source of the random values of faults.
    """

    def __init__(self, site: Site, random_state: int) -> None:
        self.site = site
        self.engine = engine.Engine()
        self.store = store.Store()
        terms = broker_messages.Terms()
        self.history = history.History(terms.retransmit - terms.stop)
        self.served: list[Served] = []
        self.arrivals: list[Arrival] = []
        self.rate_factor = 1.0
        self.kind_factors: dict[str, float] = {}
        self.cuts: set[frozenset[str]] = set()
        self.cut_links: collections.Counter[tuple[str, str]] = collections.Counter()
        self.fault_random = random.Random(f"faults of {random_state}")
        self._terms = terms
        self._random = random.Random(random_state)
        self._true_demands: dict[
            str, tuple[jobs.Resources, list[datetime.timedelta]]
        ] = {}
        self._pending: dict[int, _PendingJob] = {}
        self._last_reply_id = 0
        self._workers = dict(self._make_workers())
        for worker in self._workers.values():
            worker.clock_rate = 1.0 - site.clock_drift * self.fault_random.random()
        self._worker_links: dict[tuple[str, str], links.Link] = {}
        self._nodes: dict[str, nodes.Node] = {}
        self._incarnations = collections.Counter[str]()
        for number in range(site.daemons):
            self.start_node(f"vm-{number}", self.data_centre(number))

    # Daemons and workers

    def data_centre(self, number: int) -> str:
        """Return the data centre of a daemon or worker, given its number from 0."""
        return f"dc-{number % self.site.places}"

    def _make_workers(self) -> typing.Iterator[tuple[str, workers.Worker]]:
        site = self.site
        for number in range(site.workers):
            turn = number // site.places
            milli = site.room_milli[turn % len(site.room_milli)]
            report = runs.WorkerReport(
                f"w-{number}", "1", SERVICE, f"w-{number}:1", self.data_centre(number),
                jobs.Resources(milli, 131_072, 0),
            )  # fmt: skip
            self.store.reports[report.worker_id] = report
            factor = site.factors[(turn + number) % len(site.factors)]
            yield (
                report.worker_id,
                workers.Worker(
                    report, factor, self.engine, self.history, self._task_demand
                ),
            )

    def _task_demand(
        self, task: runs.Task
    ) -> tuple[jobs.Resources, datetime.timedelta]:
        """Return resources and true run time of a task on an average worker."""
        resources, run_times = self._true_demands[task.job_id]
        return resources, run_times[task.number]

    def start_node(self, vm: str, data_centre: str) -> nodes.Node:
        """Start a new incarnation of the daemon of a VM."""
        self._incarnations[vm] += 1
        me = daemons.Daemon(
            vm, data_centre, f"{vm}-{self._incarnations[vm]}", f"{vm}:1"
        )
        data_centres = tuple(f"dc-{x}" for x in range(self.site.places))
        cfg = ports.Settings(
            vm, data_centre, "", "", me.address, "", data_centres,
            self._terms, clock.milliseconds(6000),
            policies.PolicyNames(self.site.order, self.site.choice),
            self.site.admission,
        )  # fmt: skip
        node = nodes.Node(
            me, cfg, self.engine, self, self.store, self._on_outcome,
            lambda kind: self.history.record_failure(kind, self.engine.now()),
            lambda *entry: self._record_entry(vm, *entry),
            self._random.randrange(1 << 30),
        )  # fmt: skip
        self._nodes[vm] = node
        return node

    def kill(self, vm: str) -> None:
        """Kill the daemon of a VM; connections to it are refused from now on."""
        node = self._nodes[vm]
        node.is_alive = False
        self._record_entry(vm, "killed", vm, {})
        if self.site.attempts > 1:
            for reply_id, pending in list(self._pending.items()):
                if pending.node is node:
                    self._end_attempt(reply_id)

    def _record_entry(
        self, where: str, name: str, subject: str, fields: dict[str, typing.Any]
    ) -> None:
        if name == "lease_lost" and fields["token"] in self._present_tokens():
            now = self.engine.now()
            self.history.check_lost(fields["run"], fields["worker"], now)
        entry = history.Entry(self.engine.now(), where, name, fields)
        self.history.record_entry(subject, entry)

    def _present_tokens(self) -> set[int]:
        return {x.token for x in self.store.holders.values()}

    def freeze(self, vm: str, duration: datetime.timedelta) -> None:
        """Suspend the daemon of a VM; its messages and timers wait until the end."""
        self._nodes[vm].freeze(duration)

    def leave(self, vm: str) -> None:
        """Ask the daemon of a VM to shut down gracefully."""
        self._nodes[vm].put(messages.LeaveRequested())

    def holder(self, data_centre: str) -> str:
        """Return the VM of a data centre's holder, by the record in the store."""
        return self.store.holders[data_centre].vm

    def all_nodes(self) -> dict[str, nodes.Node]:
        """Return the latest daemon of each VM, dead ones included."""
        return self._nodes

    def all_workers(self) -> dict[str, workers.Worker]:
        """Return all workers by their identifiers."""
        return self._workers

    def drain(self, worker_id: str) -> None:
        """Start to drain a worker: its report says that it is about to leave."""
        worker = self._workers[worker_id]
        worker.draining_since = self.engine.now()
        worker.report = worker.report._replace(is_draining=True)
        self.store.reports[worker_id] = worker.report

    def restart_worker(self, worker_id: str) -> None:
        """Start a new incarnation of a worker under the same identifier."""
        worker = self._workers[worker_id]
        worker.restart()
        self.store.reports[worker_id] = worker.report

    # Network

    def delay(self, first: str, second: str) -> datetime.timedelta | None:
        """Return the one-way delay between two VMs or workers; ``None`` if cut."""
        data_centres = {self._data_centre_of(first), self._data_centre_of(second)}
        is_cut = self.cut_links[first, second] > 0
        if is_cut or frozenset(data_centres) in self.cuts:
            return None
        return LOCAL_DELAY if len(data_centres) == 1 else REMOTE_DELAY

    def _data_centre_of(self, name: str) -> str:
        worker = self._workers.get(name)
        if worker is not None:
            return worker.report.data_centre
        return self._nodes[name].me.data_centre

    def cut(self, data_centre: str) -> None:
        """Partition a data centre from the others and from the store."""
        self.store.cut_data_centres.add(data_centre)
        for number in range(self.site.places):
            if f"dc-{number}" != data_centre:
                self.cuts.add(frozenset((data_centre, f"dc-{number}")))

    def heal(self) -> None:
        """End all partitions."""
        self.cuts.clear()
        self.store.cut_data_centres.clear()

    def heal_link_by_link(self, data_centre: str, longest: datetime.timedelta) -> None:
        """End all partitions; streams to and from a data centre reopen one by one.

        Parameters
        ----------
        data_centre : str
            The data centre that was cut off.
        longest : datetime.timedelta
            Time after which the last stream has reopened.
        """
        self.heal()
        for first, second in itertools.permutations(self._nodes, 2):
            places = [self._data_centre_of(x) for x in (first, second)]
            if places.count(data_centre) != 1:
                continue
            self.cut_links[first, second] += 1
            self.engine.after(
                longest * self._random.random(),
                functools.partial(self._reopen, first, second),
            )

    def isolate(
        self, vm: str, duration: datetime.timedelta, hears_others: bool = False
    ) -> None:
        """Cut a VM off from the other daemons and the store, not from its workers.

        Parameters
        ----------
        vm : str
            The VM.
        duration : datetime.timedelta
            How long it is cut off.
        hears_others : bool
            Whether messages of the others still arrive.
        """
        pairs = []
        for other in self._nodes:
            if other != vm:
                pairs.append((vm, other))
                if not hears_others:
                    pairs.append((other, vm))
        self._cut_for(pairs, duration)
        self.store.cut_vms[vm] += 1

        def reach_store() -> None:
            self.store.cut_vms[vm] -= 1

        self.engine.after(duration, reach_store)

    def cut_between(
        self, first: str, second: str, duration: datetime.timedelta
    ) -> None:
        """Cut the connections between two VMs for some time."""
        self._cut_for([(first, second), (second, first)], duration)

    def _cut_for(
        self, pairs: list[tuple[str, str]], duration: datetime.timedelta
    ) -> None:
        self.cut_links.update(pairs)

        def reopen() -> None:
            for sender, receiver in pairs:
                self._reopen(sender, receiver)

        self.engine.after(duration, reopen)

    def worker_link(self, vm: str, worker_id: str) -> links.Link:
        """Return the link between a daemon and a worker."""
        return self._worker_links.setdefault((vm, worker_id), links.Link())

    def _reopen(self, sender: str, receiver: str) -> None:
        """Reopen the stream of one daemon to another; both notice it."""
        self.cut_links[sender, receiver] -= 1
        for vm, peer in ((sender, receiver), (receiver, sender)):
            if self.node(vm) is not None:
                self._nodes[vm].put(messages.StreamOpened(self._nodes[peer].me))

    def node(self, vm: str) -> nodes.Node | None:
        """Return the daemon of a VM; ``None`` if it is dead."""
        node = self._nodes[vm]
        return node if node.is_alive else None

    def worker(self, worker_id: str) -> workers.Worker:
        """Return a worker by its identifier."""
        return self._workers[worker_id]

    # Clients

    def run(self, duration: datetime.timedelta) -> None:
        """Submit jobs for a duration after the start-up; run until all have outcomes.

        A job whose client has timed out has the outcome ``UNKNOWN``.
        """
        self.engine.run(START_UP_TIME)
        end = self.engine.now() + duration
        for kind in self.site.kinds:
            self._schedule_arrival(kind, end)
        self.engine.run(duration + clock.milliseconds(2 * self.site.patience_ms))

    def _schedule_arrival(self, kind: Kind, end: datetime.datetime) -> None:
        """Schedule the next job of a kind, which schedules the next; none after end.

        Jobs arrive in a Poisson process whose rate follows the site's sine wave.
        """
        rate = kind.rate * self.rate_factor * self.kind_factors.get(kind.name, 1.0)
        elapsed = (self.engine.now() - self.engine.started_at).total_seconds()
        angle = 2 * math.pi * elapsed / self.site.period_s
        rate *= 1.0 + self.site.swing * math.sin(angle)
        wait = datetime.timedelta(seconds=self._random.expovariate(max(rate, 1e-3)))

        def arrive() -> None:
            if self.engine.now() < end:
                self._submit(kind)
                self._schedule_arrival(kind, end)

        self.engine.after(wait, arrive)

    def _submit(self, kind: Kind) -> None:
        job, objective_ms, work_ms = self._draw_job(kind)
        worth = kind.worth * worth_factor(work_ms / (kind.width * kind.length_ms))
        now = self.engine.now()
        resources, run_times = self._true_demands[job.job_id]
        arrival = Arrival(
            kind.name, now, resources, tuple(run_times), objective_ms, worth
        )
        self.arrivals.append(arrival)
        self._send(_PendingJob(job, arrival, kind))

    def _draw_job(self, kind: Kind) -> tuple[jobs.Job, float, float]:
        """Draw a job; return it, its objective and its work, both in milliseconds."""
        site, draw = self.site, self._random
        task_count = max(1, round(kind.width * self._draw_factor(TASK_COUNT_SPREAD)))
        mean_ms = kind.length_ms * self._draw_factor(site.length_spread)
        if draw.random() < site.tail:
            mean_ms *= TAIL_FACTOR
        times_ms = [
            mean_ms * self._draw_factor(TASK_TIME_SPREAD) for _ in range(task_count)
        ]
        milli = min(
            20_000, round(site.task_milli * self._draw_factor(PROCESSOR_SPREAD))
        )
        estimate_ms = mean_ms * self._draw_factor(site.estimate_spread)
        resources = jobs.Resources(milli, 64, 0)
        job_id = f"{draw.getrandbits(64):016x}"
        self._true_demands[job_id] = (
            resources, [clock.milliseconds(x) for x in times_ms],
        )  # fmt: skip
        step = jobs.Step(task_count, resources, clock.milliseconds(estimate_ms))
        objective_ms = max(times_ms) * site.stretch + site.objective_ms
        return jobs.Job(job_id, "", (step,)), objective_ms, sum(times_ms)

    def _draw_factor(self, spread: float) -> float:
        """Draw a log-normal factor whose mean is 1."""
        return self._random.lognormvariate(-(spread**2) / 2, spread)

    def _send(self, pending: _PendingJob) -> None:
        """Send a job to a random live daemon, if possible one that is not leaving.

        Without a live daemon the job counts as refused.
        """
        alive = [x for x in self._nodes.values() if x.is_alive]
        ready = [x for x in alive if not x.decision_loop.is_leaving] or alive
        if not ready:
            self._record(pending, jobs.JobOutcome(jobs.Verdict.REFUSED))
            return
        node = self._random.choice(ready)
        self._last_reply_id += 1
        reply_id = self._last_reply_id
        self._pending[reply_id] = pending._replace(node=node)
        job_id = pending.job.job_id
        self.history.record_attempt(job_id)
        self._record_entry(node.me.vm, "posted", job_id, {"attempt": pending.attempt})
        queue = jobs.Queue(
            pending.kind.name, "", "", SERVICE, pending.kind.priority, 3,
            self.site.stretch, clock.milliseconds(self.site.objective_ms),
            clock.milliseconds(self.site.patience_ms),
        )  # fmt: skip
        request = ports.JobRequest(queue, pending.job, queue.timeout)
        node.put(messages.JobPosted(request, reply_id, self.engine.now()))
        self.engine.after(
            queue.timeout + clock.milliseconds(200),
            lambda: self._on_client_timeout(reply_id),
        )

    def _on_client_timeout(self, reply_id: int) -> None:
        if self.site.attempts > 1:
            self.leave_client(reply_id)
        else:
            self._end_attempt(reply_id)

    def waiting_clients(self, vm: str) -> list[int]:
        """Return the identifiers of the replies that clients of a VM wait for."""
        node = self._nodes[vm]
        return [k for k, v in self._pending.items() if v.node is node]

    def leave_client(self, reply_id: int) -> None:
        """Let a client break its connection, if it still waits."""
        pending = self._pending.get(reply_id)
        if pending is None or pending.node is None:
            return
        pending.node.put(messages.ClientLeft(pending.job.job_id, reply_id))
        self._end_attempt(reply_id)

    def _end_attempt(self, reply_id: int) -> None:
        """End an attempt without an answer; its client may send the job again."""
        pending = self._pending.pop(reply_id, None)
        if pending is None:
            return
        if self.site.attempts == 1:
            self._record(pending, jobs.JobOutcome(jobs.Verdict.UNKNOWN))
            return
        job_id = pending.job.job_id
        self.history.record_attempt_end(job_id, self.engine.now())
        self._record_entry("client", "attempt_ended", job_id, {})

        def resend() -> None:
            self.history.check_runs_over(job_id, self.engine.now())
            if pending.attempt < self.site.attempts:
                self._send(pending._replace(attempt=pending.attempt + 1))
            else:
                self._record(pending, jobs.JobOutcome(jobs.Verdict.UNKNOWN))

        self.engine.after(self._terms.retransmit, resend)

    def _on_outcome(self, reply_id: int, outcome: jobs.JobOutcome) -> None:
        pending = self._pending.get(reply_id)
        if pending is None:
            return
        if self.site.attempts > 1 and outcome.verdict is jobs.Verdict.UNKNOWN:
            self._end_attempt(reply_id)
            return
        del self._pending[reply_id]
        is_refusal = outcome.verdict is jobs.Verdict.REFUSED
        if pending.attempt == 1 or not is_refusal:
            # Earlier attempts of a refused one may have run.
            self.history.record_outcome(pending.job, outcome, self.engine.now())
        self._record(pending, outcome)

    def _record(self, pending: _PendingJob, outcome: jobs.JobOutcome) -> None:
        arrival = pending.arrival
        response_ms = clock.to_milliseconds(self.engine.now() - arrival.at)
        self.served.append(served(arrival, outcome, response_ms))


LOCAL_DELAY = clock.milliseconds(0.4)
"""One-way network delay within a data centre."""

REMOTE_DELAY = clock.milliseconds(1.6)
"""One-way network delay between data centres."""
