"""Slopes for the capacity page: decisions alone, and one daemon's own cost."""

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
from carawaysail_settings import sections, text, tree
from carawaysail_types import clock, identifiers, outcomes

JOBS = 60
JOB_TASKS = 340


@figures.figures.register("decisions")
def decisions() -> list[figures.Row]:
    """Measure processor time a placed task, by number of workers."""
    rows = []
    for count in (50, 414, 2_900):
        cost, per_task = _place_cost(count)
        figure = f"decision cost a task, {count} workers"
        rows.append(figures.at_most(figure, cost, "us", 25.0))
    rows.append(figures.Row("messages a task, jobs of 340", per_task, "messages"))
    return rows


def _place_cost(count: int) -> tuple[float, float]:
    source = clock.ManualClock()
    placer = dispatcher.Dispatcher(1)
    specs = tuple(
        testing.make_spec(f"w{n}", "worker", 32.0)._replace(
            capacity=capacity.Capacity(32.0, 128_000.0, 1.0)
        )
        for n in range(count)
    )
    placer.handle(events.QuotasChanged({"default": 10**6}), source.now())
    whole = {spec.target_id: 1.0 for spec in specs}
    placer.handle(events.TargetsChanged(specs, whole), source.now())
    began = time.process_time()
    for number in range(JOBS):
        _run_job(placer, source, number)
    spent = time.process_time() - began
    tasks = JOBS * JOB_TASKS
    return 1e6 * spent / tasks, placer.counters["batches_sent"] / tasks


def _run_job(
    placer: dispatcher.Dispatcher, source: clock.ManualClock, number: int
) -> None:
    submission = testing.make_submission(source.now(), f"job-{number}", JOB_TASKS)
    actions = placer.handle(
        events.SubmissionReceived(submission, events.Limits()), source.now()
    )
    while sent := testing.sent_batches(actions):
        actions = []
        for batch in sent:
            for task in batch.tasks:
                ended = events.TaskEnded(
                    batch.batch, task.task_id, True, b"1", ran_ms=50.0
                )
                actions += placer.handle(ended, source.now())
            ended_batch = events.BatchEnded(batch.batch, outcomes.Fate.ANSWERED)
            actions += placer.handle(ended_batch, source.now())


@figures.figures.register("ownership")
def remembered() -> list[figures.Row]:
    """Measure the memory of a remembered submission, and the time of an offer."""
    count = 50_000
    now = clock.ManualClock().now()
    tracemalloc.start()
    register = _register("e1", "0" * 16, now)
    before = tracemalloc.get_traced_memory()[0]
    began = time.process_time()
    _fill(register, count, b'{"confirmed": true}', now)
    spent = time.process_time() - began
    kept = (tracemalloc.get_traced_memory()[0] - before) / count
    book = register.tables["0" * 16]
    for key in list(book._ended):
        book._evict(key)
    sid = identifiers.SubmissionId(register.owner(now), "order-0")
    book.status_of(sid, now + 2 * ownership.EPOCH_DURATION)
    evicted = (tracemalloc.get_traced_memory()[0] - before) / count
    tracemalloc.stop()
    return [
        figures.Row("remembered with its answer", kept, "bytes"),
        figures.Row("remembered without its answer", evicted, "bytes"),
        figures.Row("offer and end, traced", 1e6 * spent / count, "us"),
    ]


HANDOVER_SHAPES = (
    ("many small answers", 150_000, 100),
    ("large answers", 159, 100_000),
)
"""Submissions and bytes an answer; both fill the bound on kept answers."""


@figures.figures.register("handover")
def handed_over() -> list[figures.Row]:
    """Measure the handover of a full memory: its pieces, their size and time."""
    rows = []
    for words, count, size in HANDOVER_SHAPES:
        now = clock.ManualClock().now()
        register = _register("e1", "0" * 16, now)
        _fill(register, count, b"x" * size, now)
        (memory,) = register.hand_over(now)
        began = time.process_time()
        pieces = handover.split_into_chunks(memory)
        cut_ms = 1000.0 * (time.process_time() - began)
        rows.append(figures.Row(f"handover, {words}: cut", cut_ms, "ms"))
        for codec in codecs.codecs.names():
            began = time.process_time()
            encode = codecs.codecs.get(codec).encode
            data = [encode(messages.HandOver(piece)) for piece in pieces]
            heir = _register("e2", "1" * 16, now)
            for part in data:
                heir.inherit_chunk(codecs.decode("hand_over", codec, part).piece, now)
            spent_ms = 1000.0 * (time.process_time() - began)
            found = f"handover, {words}, {codec}"
            largest, bound = max(map(len, data)), codecs.MAX_MESSAGE_BYTES / 1e6
            rows += [
                figures.Row(f"{found}: all", sum(map(len, data)) / 1e6, "MB"),
                figures.at_most(f"{found}: largest", largest / 1e6, "MB", bound),
                figures.Row(f"{found}: encoded and adopted", spent_ms, "ms"),
            ]
    return rows


def _register(
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
    """Let a register remember completed submissions with one answer each."""
    owner = register.owner(now)
    done = outcomes.Completed((answer,))
    for number in range(count):
        sid = identifiers.SubmissionId(owner, f"order-{number}")
        register.bind(sid, b"0123456789abcdef", now)
        register.record_outcome(sid, done)


@figures.figures.register("gossip")
def gossip() -> list[figures.Row]:
    """Measure bytes and time of control, by daemons in the data centre."""
    rows = []
    for count in (2, 10, 25):
        member, near = _member_of(count)
        message = messages.Gossip(member.gossip("rosario"))
        codec = codecs.codecs.get("msgpack")
        data = codec.encode(message)
        period = member.gossip_period().total_seconds()
        rate = 2 * 2 * (len(data) + ENVELOPE_BYTES) / period / 1000.0
        figure = f"gossip of a daemon, {count} in the data centre"
        rows.append(figures.at_most(figure, rate, "KB/s", 14.0))
        began = time.process_time()
        for _ in range(200):
            found = codecs.decode("gossip", "msgpack", codec.encode(message))
            member.merge_gossip(found.gossip, near)
        spent = (time.process_time() - began) / 200
        busy = 100.0 * 2 * spent / period
        figure = f"processor of gossip decisions, {count} in the data centre"
        rows.append(figures.Row(figure, busy, "% of a core"))
    return rows


ENVELOPE_BYTES = 200
"""HTTP/2 headers and the envelope around one message, as seen on the wire."""


def _member_of(count: int) -> tuple[membership.Members, datetime.datetime]:
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
def sharing() -> list[figures.Row]:
    """Measure the time to work out shares, at 414 workers and 25 daemons."""
    specs = [testing.make_spec(f"w{n}", "worker", 32.0) for n in range(414)]
    demands = [shares.Demand(f"e{n}", float(1 + n % 7)) for n in range(25)]
    began = time.process_time()
    for _ in range(5):
        shares.compute_shares("e0", specs, demands)
    spent = 1000 * (time.process_time() - began) / 5
    return [figures.Row("shares of 414 workers, 25 daemons", spent, "ms")]


@figures.figures.register("settings")
def settings() -> list[figures.Row]:
    """Measure the size and the check of the tree at the two-year size."""
    cfg = _large_tree()
    parts = {name: text.compact(x) for name, x in sections.split(cfg).items()}
    largest = max(len(part) for part in parts.values())
    began = time.process_time()
    joined = sections.join({k: json.loads(v) for k, v in parts.items()})
    tree.check_tree(joined)
    spent = 1000 * (time.process_time() - began)
    total = sum(len(part) for part in parts.values())
    per_change = 7_400 / 86_400 * total / len(parts) / 1000.0
    return [
        figures.Row("tree of 2,900 workers, 200 teams", total / 1000.0, "KB"),
        figures.Row("largest section", largest / 1000.0, "KB"),
        figures.Row("joining and checking the whole tree", spent, "ms"),
        figures.at_most("changes of settings to a daemon", per_change, "KB/s", 14.0),
    ]


def _large_tree() -> tree.Tree:
    places: dict[str, tree.Place] = {}
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
        places[f"place-{number}"] = {"racks": racks}
    teams: dict[str, tree.Team] = {
        f"team-{n}": {
            "settings": {"max_running": 500},
            "services": {f"service-{n}-{k}": {} for k in range(3)},
        }
        for n in range(200)
    }
    return tree.check_tree({"settings": {}, "teams": teams, "places": places})


IDLE_S = 30.0


@figures.figures.register("idle")
def idle() -> list[figures.Row]:
    """Measure an idle daemon with today's sizes loaded."""
    bare = _bare_mb()
    targets = fleets.runners(6) + fleets.workers(6)
    with fleets.make(targets) as small:
        process = psutil.Process(small.processes["rosario-e1"].pid)
        time.sleep(3.0)
        before = process.cpu_times()
        time.sleep(IDLE_S)
        after = process.cpu_times()
        used = process.memory_info().rss / 1e6
        told = small.call("rosario-e1", "GET", "/v1/status")[1]["traffic"]
    spent = after.user + after.system - before.user - before.system
    wire = (told["sent_bytes"] + told["received_bytes"]) / 1000.0 / (IDLE_S + 3.0)
    return [
        figures.at_most("idle: memory above the libraries", used - bare, "MB", 64.0),
        figures.Row("idle: resident", used, "MB"),
        figures.at_most("idle: processor", 100 * spent / IDLE_S, "% of a core", 2.7),
        figures.Row("idle: processor over 30 s", spent, "s"),
        figures.at_most("idle: messages between daemons", wire, "KB/s", 14.0),
    ]


def _bare_mb() -> float:
    """Return the memory of an interpreter with the house libraries imported."""
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
    """Measure a daemon's processor time a request and a task of a job."""
    with fleets.make(fleets.runners(6) + fleets.workers(6), entries=1) as small:
        (vm,) = small.entries
        process = psutil.Process(small.processes[vm].pid)
        path = "/v1/services/pedidos/requests"
        body: dict[str, object] = {"payload": {"run_ms": 0, "echo": 0}}
        request_ms = _cost_ms(process, lambda: small.call(vm, "POST", path, body), 400)
        path = "/v1/services/pedidos/jobs"
        costs = {}
        for count in (1, 340):
            tasks = [{"payload": {"run_ms": 0, "echo": 0}}] * count
            job: dict[str, object] = {"tasks": tasks}
            call = lambda job=job: small.call(vm, "POST", path, job)  # noqa: E731
            costs[count] = _cost_ms(process, call, 40)
        task_us = 1000 * (costs[340] - costs[1]) / 339
        threads = process.num_threads()
    return [
        figures.Row("daemon: processor a request", request_ms, "ms"),
        figures.Row("daemon: processor a job of 1", costs[1], "ms"),
        figures.Row("daemon: processor a job of 340", costs[340], "ms"),
        figures.Row("daemon: processor a further task", task_us, "us"),
        figures.Row("daemon: threads", threads, "threads"),
    ]


def _cost_ms(process: psutil.Process, call: object, count: int) -> float:
    before = process.cpu_times()
    for _ in range(count):
        call()  # type: ignore[operator]
    after = process.cpu_times()
    spent = after.user + after.system - before.user - before.system
    return 1000 * spent / count
