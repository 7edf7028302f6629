"""Checks of runs on workers."""

import collections
import collections.abc
import math

import msgspec

from carawaysail_fleet import member_records
from carawaysail_platform_standins import events
from carawaysail_soak.checks import evidence, registry
from carawaysail_types import daemons

FORGIVEN_ORDERS = 3
"""Orders of a holder that was fenced, past ``lease_ttl_ms``, which are no violation."""

START_AFTER_END_S = 1.0

MAX_UNACKNOWLEDGED_SHARE = 0.2
MIN_LISTED_ENDS = 5

_Findings = collections.abc.Iterator[registry.Finding]


@registry.register("one_run_of_a_task_at_once")
def find_concurrent_runs(gathered: evidence.Evidence) -> _Findings:
    """TWICE: no two runs of a task at once, on workers that are up."""
    for task, runs in gathered.tasks.items():
        for index, run in enumerate(runs):
            for other in runs[:index]:
                if other.ended > run.started:
                    yield (
                        run.started, task,
                        f"run {run.number} on {run.worker[0]} while run"
                        f" {other.number} is on {other.worker[0]}",
                    )  # fmt: skip


@registry.register("no_start_after_the_end")
def find_starts_after_ends(gathered: evidence.Evidence) -> _Findings:
    """TWICE: no start over a second after an end was acknowledged, or after the answer.

    A job that was sent again may run again from the start, so only jobs that were sent
    once are looked at.
    """
    for task, runs in gathered.tasks.items():
        sends = gathered.jobs.get(runs[0].job_id, [])
        if len(sends) > 1:
            continue
        known = [
            x.acknowledged
            for x in runs
            if x.result == "done" and x.acknowledged <= x.invalidated
        ]
        known += [
            x.answer.at
            for x in sends
            if x.answer is not None and x.answer.state == "completed"
        ]
        end = min(known, default=math.inf)
        for run in runs:
            is_judged = gathered.impairments.in_touch(run.vm, run.started)
            is_after = run.started > end + START_AFTER_END_S
            if is_after and is_judged and not run.is_late:
                yield run.started, task, f"on {run.worker[0]}, end known at {end:.3f}"


@registry.register("within_capacity")
def find_starts_over_capacity(gathered: evidence.Evidence) -> _Findings:
    """LIMIT: no start brings a worker over its capacity; what is stopped counts."""
    capacity = {
        x[1:3]: (x.cpu, x.mem_mb) for x in gathered.history.of(events.WorkerStarted)
    }
    by_worker: dict[tuple[str, int], list[evidence.Run]] = collections.defaultdict(list)
    for run in gathered.runs:
        running = [x for x in by_worker[run.worker] if x.ended > run.started] + [run]
        by_worker[run.worker] = running
        demands = [_demand(gathered, x) for x in running]
        used = tuple(sum(x) for x in zip(*demands, strict=True))
        room = capacity.get(run.worker)
        if room is not None and (used[0] > room[0] or used[1] > room[1]):
            yield run.started, run.worker[0], f"{run.task}: {used} of {room}"


def _demand(gathered: evidence.Evidence, run: evidence.Run) -> tuple[int, int]:
    if run.cpu or run.mem_mb:
        return run.cpu, run.mem_mb
    sends = gathered.jobs.get(run.job_id)
    return (sends[0].request.cpu, sends[0].request.mem_mb) if sends else (0, 0)


@registry.register("one_holder_for_each_token")
def find_shared_tokens(gathered: evidence.Evidence) -> _Findings:
    """ONE: no two senders use one fencing token, and no lower token is obeyed.

    Senders can be told apart only by the addresses that they connect from.
    """
    senders: dict[int, str] = {}
    highest: dict[tuple[str, int], int] = collections.defaultdict(int)
    for order in gathered.history.of(events.OrderReceived):
        if (
            order.token
            and senders.setdefault(order.token, order.sender) != order.sender
        ):
            yield order.at, order.worker_id, f"token {order.token} of two senders"
        worker = (order.worker_id, order.incarnation)
        if order.result != "fence":
            if order.token < highest[worker]:
                yield order.at, order.worker_id, f"token {order.token} after a higher"
            highest[worker] = max(order.token, highest[worker])


@registry.register("holders_take_no_turns")
def find_turns(gathered: evidence.Evidence) -> _Findings:
    """ONE: no two holders in touch replace each other within ``lease_ttl_ms``."""
    by_key: dict[str, list[tuple[float, str]]] = collections.defaultdict(list)
    for write in gathered.history.of(events.KeyWritten):
        if write.key.startswith(member_records.HOLDERS_PREFIX) and write.value:
            vm = msgspec.json.decode(write.value, type=daemons.Daemon).vm
            tenures = by_key[write.key]
            if not tenures or tenures[-1][1] != vm:
                tenures.append((write.at, vm))
    longest_s = gathered.bounds.lease_ttl_ms / 1000.0
    for key, tenures in by_key.items():
        turns = zip(tenures, tenures[1:], tenures[2:], strict=False)
        for (began, vm), (_, other), (again, later) in turns:
            is_turn = vm == later and again - began < longest_s
            if is_turn and all(
                gathered.impairments.in_touch(x, again) for x in (vm, other)
            ):
                yield again, key, f"{vm}, {other} and {vm} since {began:.3f}"


@registry.register("fenced_holder_stops")
def find_fenced_holders(gathered: evidence.Evidence) -> _Findings:
    """ONE: a holder that was refused for its token does not go on with it."""
    refused: dict[int, float] = {}
    later: dict[int, int] = collections.defaultdict(int)
    for order in gathered.history.of(events.OrderReceived):
        first = refused.get(order.token)
        if first is not None and not order.delay_s:
            if order.at > first + gathered.bounds.lease_ttl_ms / 1000.0:
                later[order.token] += 1
                if later[order.token] == FORGIVEN_ORDERS + 1:
                    detail = f"token {order.token}, refused at {first:.3f}"
                    yield order.at, order.worker_id, detail
        elif order.result == "fence":
            refused.setdefault(order.token, order.at)


@registry.register("started_only_for_a_client")
def find_unasked_starts(gathered: evidence.Evidence) -> _Findings:
    """UNASKED: every run is of a task that a client sent."""
    for run in gathered.runs:
        sends = gathered.jobs.get(run.job_id, [])
        index = run.task.rpartition(".")[2]
        if not any(
            x.request.at <= run.started and int(index) < x.request.task_count
            for x in sends
        ):
            yield run.started, run.task, "no client sent this task"


@registry.register("abandoned_work_is_stopped")
def find_abandoned_work(gathered: evidence.Evidence) -> _Findings:
    """UNASKED: what no client waits for ends within ``cancel_ms`` and ``stop_ms``.

    Judged without impairment near, and not for orders that were carried out late.
    """
    bounds = gathered.bounds
    for run in gathered.runs:
        sends = gathered.jobs.get(run.job_id)
        if not sends or run.is_late:
            continue
        begin = max(run.started, max(x.waits_until for x in sends))
        limit = begin + (bounds.cancel_ms + bounds.stop_ms) / 1000.0
        end = min(run.ended, gathered.history.end)
        if end > limit and gathered.impairments.is_calm(begin, limit):
            yield limit, run.task, f"on {run.worker[0]} until {end:.3f}"


@registry.register("nothing_starts_for_nobody")
def find_starts_for_nobody(gathered: evidence.Evidence) -> _Findings:
    """Nothing starts later than ``cancel_ms`` after the last client stopped waiting."""
    for run in gathered.runs:
        sends = gathered.jobs.get(run.job_id)
        if not sends or run.is_late:
            continue
        waits_until = max(x.waits_until for x in sends)
        is_judged = gathered.impairments.in_touch(run.vm, run.started)
        if run.started > waits_until + gathered.bounds.cancel_ms / 1000.0 and is_judged:
            yield run.started, run.task, f"nobody waits since {waits_until:.3f}"


@registry.register("draining_worker_gets_no_start")
def find_starts_on_draining(gathered: evidence.Evidence) -> _Findings:
    """DRAIN: no start later than ``drain_ms`` after the store had the report."""
    draining = {x[1:3]: x.at for x in gathered.history.of(events.WorkerDraining)}
    for run in gathered.runs:
        since = draining.get(run.worker)
        if since is None or run.is_late:
            continue
        if run.started > since + gathered.bounds.drain_ms / 1000.0 and (
            gathered.impairments.in_touch(run.vm, run.started)
        ):
            yield run.started, run.worker[0], f"{run.task}, draining since {since:.3f}"


@registry.register("ends_are_acknowledged")
def find_unacknowledged_ends(gathered: evidence.Evidence) -> _Findings:
    """At most a fifth of listed ends is not acknowledged in a calm ``ack_ms``."""
    ack_s = gathered.bounds.ack_ms / 1000.0
    judged = [
        x
        for x in gathered.runs
        if x.listed + ack_s < min(x.invalidated, gathered.history.end)
        and gathered.impairments.is_calm(x.listed, x.listed + ack_s)
    ]
    missed = [x for x in judged if x.acknowledged > x.listed + ack_s]
    if len(missed) > max(MIN_LISTED_ENDS, MAX_UNACKNOWLEDGED_SHARE * len(judged)):
        detail = f"{len(missed)} of {len(judged)} ends"
        yield missed[0].listed + ack_s, missed[0].worker[0], detail
