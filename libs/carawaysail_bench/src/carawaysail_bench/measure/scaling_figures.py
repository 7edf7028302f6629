"""Figures of cost per task, worker, daemon or setting, for capacity planning."""

import datetime
import json
import os
import subprocess
import sys
import time
import tracemalloc

import psutil

from carawaysail_bench import testing
from carawaysail_bench.measure import figures, fleets
from carawaysail_decisions import (
    capacity,
    dispatcher,
    events,
    handover,
    membership,
    ownership,
    shares,
)
from carawaysail_peers import codecs, messages
from carawaysail_settings import json_text, sections, tree
from carawaysail_types import clock, identifiers, outcomes

JOBS = 60
JOB_TASKS = 340
"""Number of tasks of each job."""


@figures.figures.register("decisions")
def decision_cost() -> list[figures.Row]:
    """Measure the processor time per placed task, by number of workers."""
    rows = []
    for count in (50, 414, 2_900):
        cpu_us, per_task = _placement_cost(count)
        figure = f"decision cost a task, {count} workers"
        rows.append(figures.at_most(figure, cpu_us, "us", 25.0))
    rows.append(figures.Row("messages a task, jobs of 340", per_task, "messages"))
    return rows


def _placement_cost(count: int) -> tuple[float, float]:
    """Return processor time in microseconds, and batches sent, per placed task."""
    manual_clock = clock.ManualClock()
    task_dispatcher = dispatcher.Dispatcher(1)
    specs = tuple(
        testing.make_spec(f"w{n}", "worker", 32.0)._replace(
            capacity=capacity.Capacity(32.0, 128_000.0, 1.0)
        )
        for n in range(count)
    )
    task_dispatcher.handle(events.QuotasChanged({"default": 10**6}), manual_clock.now())
    full_shares = {spec.target_id: 1.0 for spec in specs}
    task_dispatcher.handle(
        events.TargetsChanged(specs, full_shares), manual_clock.now()
    )
    start_s = time.process_time()
    for number in range(JOBS):
        _run_job(task_dispatcher, manual_clock, number)
    cpu_s = time.process_time() - start_s
    tasks = JOBS * JOB_TASKS
    return 1e6 * cpu_s / tasks, task_dispatcher.counters["batches_sent"] / tasks


def _run_job(
    task_dispatcher: dispatcher.Dispatcher, manual_clock: clock.ManualClock, number: int
) -> None:
    submission = testing.make_submission(manual_clock.now(), f"job-{number}", JOB_TASKS)
    actions = task_dispatcher.handle(
        events.SubmissionReceived(submission, events.ServiceDispatchSettings()),
        manual_clock.now(),
    )
    while sent := testing.sent_batches(actions):
        actions = []
        for batch in sent:
            for task in batch.tasks:
                finished = events.TaskFinished(
                    batch.batch, task.task_id, True, b"1", ran_ms=50.0
                )
                actions += task_dispatcher.handle(finished, manual_clock.now())
            finished_batch = events.BatchFinished(
                batch.batch, outcomes.BatchStatus.ANSWERED
            )
            actions += task_dispatcher.handle(finished_batch, manual_clock.now())


@figures.figures.register("ownership")
def outcome_memory() -> list[figures.Row]:
    """Measure memory and processor time per submission in the ownership register."""
    count = 50_000
    now = clock.ManualClock().now()
    tracemalloc.start()
    register = _make_register("e1", "0" * 16, now)
    before = tracemalloc.get_traced_memory()[0]
    start_s = time.process_time()
    _fill(register, count, b'{"confirmed": true}', now)
    cpu_s = time.process_time() - start_s
    kept_bytes = (tracemalloc.get_traced_memory()[0] - before) / count
    table = register.tables["0" * 16]
    for key in list(table._ended):
        table._evict(key)
    sid = identifiers.SubmissionId(register.owner(now), "order-0")
    table.status_of(sid, now + 2 * ownership.EPOCH_DURATION)
    evicted_bytes = (tracemalloc.get_traced_memory()[0] - before) / count
    tracemalloc.stop()
    return [
        figures.Row("remembered with its answer", kept_bytes, "bytes"),
        figures.Row("remembered without its answer", evicted_bytes, "bytes"),
        figures.Row("offer and end, traced", 1e6 * cpu_s / count, "us"),
    ]


HANDOVER_SHAPES = (
    ("many small answers", 150_000, 100),
    ("large answers", 159, 100_000),
)
"""Name, number of submissions, bytes per answer.

Both fill the memory that a submission table may use for records with an outcome.
"""


@figures.figures.register("handover")
def handover_cost() -> list[figures.Row]:
    """Measure the handover of a full submission table: sizes of chunks, and time."""
    rows = []
    for shape, count, size in HANDOVER_SHAPES:
        now = clock.ManualClock().now()
        register = _make_register("e1", "0" * 16, now)
        _fill(register, count, b"x" * size, now)
        (snapshot,) = register.hand_over(now)
        start_s = time.process_time()
        chunks = handover.split_into_chunks(snapshot)
        split_ms = 1000.0 * (time.process_time() - start_s)
        rows.append(figures.Row(f"handover, {shape}: cut", split_ms, "ms"))
        for codec in codecs.codecs.names():
            start_s = time.process_time()
            encode = codecs.codecs.get(codec).encode
            encoded = [encode(messages.HandOver(chunk)) for chunk in chunks]
            successor = _make_register("e2", "1" * 16, now)
            for data in encoded:
                successor.inherit_chunk(
                    codecs.decode("hand_over", codec, data).chunk, now
                )
            cpu_ms = 1000.0 * (time.process_time() - start_s)
            figure = f"handover, {shape}, {codec}"
            largest, bound = max(map(len, encoded)), codecs.MAX_MESSAGE_BYTES / 1e6
            rows += [
                figures.Row(f"{figure}: all", sum(map(len, encoded)) / 1e6, "MB"),
                figures.at_most(f"{figure}: largest", largest / 1e6, "MB", bound),
                figures.Row(f"{figure}: encoded and adopted", cpu_ms, "ms"),
            ]
    return rows


def _make_register(
    vm: str, incarnation: str, now: datetime.datetime
) -> ownership.OwnershipRegister:
    return ownership.OwnershipRegister(
        "rosario", vm, incarnation, now, datetime.timedelta(minutes=10)
    )


def _fill(
    register: ownership.OwnershipRegister,
    count: int,
    answer: bytes,
    now: datetime.datetime,
) -> None:
    """Record ``count`` completed submissions, each with one answer, in a register."""
    owner = register.owner(now)
    done = outcomes.Completed((answer,))
    for number in range(count):
        sid = identifiers.SubmissionId(owner, f"order-{number}")
        register.bind(sid, b"0123456789abcdef", now)
        register.record_outcome(sid, done)


@figures.figures.register("gossip")
def gossip_cost() -> list[figures.Row]:
    """Measure traffic and processor time of gossip, by daemons in the data centre."""
    rows = []
    for count in (2, 10, 25):
        member, now = _make_member(count)
        message = messages.Gossip(member.gossip("rosario"))
        codec = codecs.codecs.get("msgpack")
        data = codec.encode(message)
        period_s = member.gossip_period().total_seconds()
        # Each period a daemon starts one exchange and on average receives another;
        # each exchange is a message in either direction.
        kb_per_s = 2 * 2 * (len(data) + ENVELOPE_BYTES) / period_s / 1000.0
        figure = f"gossip of a daemon, {count} in the data centre"
        rows.append(figures.at_most(figure, kb_per_s, "KB/s", 14.0))
        start_s = time.process_time()
        for _ in range(200):
            decoded = codecs.decode("gossip", "msgpack", codec.encode(message))
            member.merge_gossip(decoded.gossip, now)
        cpu_s = (time.process_time() - start_s) / 200
        cpu_percent = 100.0 * 2 * cpu_s / period_s
        figure = f"processor of gossip decisions, {count} in the data centre"
        rows.append(figures.Row(figure, cpu_percent, "% of a core"))
    return rows


ENVELOPE_BYTES = 200
"""Size of the HTTP/2 headers and the envelope of one message."""


def _make_member(count: int) -> tuple[membership.Members, datetime.datetime]:
    now = clock.ManualClock().now()
    records = [
        membership.Record(
            f"rosario-e{n}", "rosario", f"{n:016x}", 1_790_000_000_000,
            f"10.0.0.{n}:8081", f"10.0.0.{n}:8080", 123_456, settings="0" * 16,
        )
        for n in range(count)
    ]  # fmt: skip
    member = membership.Members(records[0], (), 1, now)
    member.merge_gossip(membership.Gossip(tuple(records[1:])), now)
    return member, now


@figures.figures.register("shares")
def share_cost() -> list[figures.Row]:
    """Measure the processor time to compute shares of 414 workers for 25 daemons."""
    specs = [testing.make_spec(f"w{n}", "worker", 32.0) for n in range(414)]
    demands = [shares.Demand(f"e{n}", float(1 + n % 7)) for n in range(25)]
    start_s = time.process_time()
    for _ in range(5):
        shares.compute_shares("e0", specs, demands)
    cpu_ms = 1000 * (time.process_time() - start_s) / 5
    return [figures.Row("shares of 414 workers, 25 daemons", cpu_ms, "ms")]


@figures.figures.register("settings")
def settings_cost() -> list[figures.Row]:
    """Measure size and check time of the settings tree expected in two years."""
    cfg = _large_tree()
    section_texts = {
        name: json_text.compact(x) for name, x in sections.split(cfg).items()
    }
    largest_bytes = max(len(section) for section in section_texts.values())
    start_s = time.process_time()
    joined = sections.join({k: json.loads(v) for k, v in section_texts.items()})
    tree.check_tree(joined)
    cpu_ms = 1000 * (time.process_time() - start_s)
    total_bytes = sum(len(section) for section in section_texts.values())
    # 7,400 changes a day, each of which sends one section of mean size.
    kb_per_s = 7_400 / 86_400 * total_bytes / len(section_texts) / 1000.0
    return [
        figures.Row("tree of 2,900 workers, 200 teams", total_bytes / 1000.0, "KB"),
        figures.Row("largest section", largest_bytes / 1000.0, "KB"),
        figures.Row("joining and checking the whole tree", cpu_ms, "ms"),
        figures.at_most("changes of settings to a daemon", kb_per_s, "KB/s", 14.0),
    ]


def _large_tree() -> tree.Tree:
    data_centres: dict[str, tree.DataCentre] = {}
    for number in range(7):
        racks: dict[str, tree.Rack] = {}
        for rack in range(52):
            targets: dict[str, tree.Target] = {
                f"p{number}-r{rack}-w{n}": {
                    "kind": "worker",
                    "url": f"http://10.{number}.{rack}.{n}:8000",
                    "services": ["pedidos", "stock"],
                }
                for n in range(8)
            }
            racks[f"r{rack}"] = {"targets": targets, "settings": {"accelerators": 1}}
        data_centres[f"place-{number}"] = {"racks": racks}
    teams: dict[str, tree.Team] = {
        f"team-{n}": {
            "settings": {"max_running": 500},
            "services": {f"service-{n}-{k}": {} for k in range(3)},
        }
        for n in range(200)
    }
    return tree.check_tree({"settings": {}, "teams": teams, "places": data_centres})


IDLE_S = 30.0
"""Time for which the processor use of the idle daemon is measured."""


@figures.figures.register("idle")
def idle_daemon() -> list[figures.Row]:
    """Measure an idle daemon in a fleet of the current size."""
    baseline_mb = _baseline_mb()
    targets = fleets.runners(6) + fleets.workers(6)
    with fleets.make_fleet(targets) as local_fleet:
        process = psutil.Process(local_fleet.processes["rosario-e1"].pid)
        time.sleep(3.0)
        before = process.cpu_times()
        time.sleep(IDLE_S)
        after = process.cpu_times()
        resident_mb = process.memory_info().rss / 1e6
        traffic = local_fleet.call("rosario-e1", "GET", "/v1/status")[1]["traffic"]
    cpu_s = after.user + after.system - before.user - before.system
    traffic_kb_per_s = (
        (traffic["sent_bytes"] + traffic["received_bytes"]) / 1000.0 / (IDLE_S + 3.0)
    )
    return [
        figures.at_most(
            "idle: memory above the libraries", resident_mb - baseline_mb, "MB", 64.0
        ),
        figures.Row("idle: resident", resident_mb, "MB"),
        figures.at_most("idle: processor", 100 * cpu_s / IDLE_S, "% of a core", 2.7),
        figures.Row("idle: processor over 30 s", cpu_s, "s"),
        figures.at_most(
            "idle: messages between daemons", traffic_kb_per_s, "KB/s", 14.0
        ),
    ]


def _baseline_mb() -> float:
    """Return the resident MB of an interpreter that imported the same dependencies."""
    code = (
        "import cherrypy, grpclib.server, grpclib.client, aioprometheus, urllib3, "
        "docopt, eliot, msgspec, opentelemetry.sdk.trace, json5, psutil, os;"
        "print(psutil.Process(os.getpid()).memory_info().rss)"
    )
    out = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, check=True,
        env=dict(os.environ),
    )  # fmt: skip
    return int(out.stdout) / 1e6


@figures.figures.register("daemon")
def daemon_cost() -> list[figures.Row]:
    """Measure the processor time of a daemon per request, per job and per task."""
    with fleets.make_fleet(
        fleets.runners(6) + fleets.workers(6), entries=1
    ) as local_fleet:
        (vm,) = local_fleet.entries
        process = psutil.Process(local_fleet.processes[vm].pid)
        path = "/v1/services/pedidos/requests"
        body: dict[str, object] = {"payload": {"run_ms": 0, "echo": 0}}
        request_ms = _cpu_ms(
            process, lambda: local_fleet.call(vm, "POST", path, body), 400
        )
        path = "/v1/services/pedidos/jobs"
        costs = {}
        for count in (1, 340):
            tasks = [{"payload": {"run_ms": 0, "echo": 0}}] * count
            job: dict[str, object] = {"tasks": tasks}
            call = lambda job=job: local_fleet.call(vm, "POST", path, job)  # noqa: E731
            costs[count] = _cpu_ms(process, call, 40)
        task_us = 1000 * (costs[340] - costs[1]) / 339
        threads = process.num_threads()
    return [
        figures.Row("daemon: processor a request", request_ms, "ms"),
        figures.Row("daemon: processor a job of 1", costs[1], "ms"),
        figures.Row("daemon: processor a job of 340", costs[340], "ms"),
        figures.Row("daemon: processor a further task", task_us, "us"),
        figures.Row("daemon: threads", threads, "threads"),
    ]


def _cpu_ms(process: psutil.Process, call: object, count: int) -> float:
    """Make calls one after the other; return the process's processor ms per call."""
    before = process.cpu_times()
    for _ in range(count):
        call()  # type: ignore[operator]
    after = process.cpu_times()
    cpu_s = after.user + after.system - before.user - before.system
    return 1000 * cpu_s / count
