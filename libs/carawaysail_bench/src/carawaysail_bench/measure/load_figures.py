"""Figures of real daemons under load: light, policies, crest, behind, failing."""

import random
import statistics
import time

import urllib3

from carawaysail_bench import fleet
from carawaysail_bench.measure import figures, fleets, load
from carawaysail_cli import confirm, daemons, stored
from carawaysail_platform import keyvalue
from carawaysail_settings import edits, keys, tree
from carawaysail_types import clock

SEED = 7
LIGHT_CALLS = 60
LIGHT_RUN_MS = 100
STEADY_S = 10.0


@figures.figures.register("light")
def light() -> list[figures.Row]:
    """Measure a 100 ms request at light load beside a direct call to the target."""
    with fleets.make(fleets.runners(1), entries=1) as small:
        url = next(iter(small.target_urls().values()))
        (entry,) = small.entries.values()
        direct, through = [], []
        http = urllib3.PoolManager(retries=False)
        for number in range(LIGHT_CALLS):
            direct.append(_timed(http, f"{url}/run/pedidos", False, number))
            path = f"{entry.url}{load.PATH}"
            through.append(_timed(http, path, True, number))
    ideal = statistics.median(direct)
    ratio = statistics.median(through) / ideal
    return [
        figures.Row("light: direct call, median", ideal, "ms"),
        figures.Row("light: through an entry, median", ratio * ideal, "ms"),
        figures.at_most("light: median over a direct call", ratio, "ratio", 1.05),
    ]


def _timed(http: urllib3.PoolManager, url: str, wrapped: bool, number: int) -> float:
    payload = f'{{"run_ms": {LIGHT_RUN_MS}, "echo": {number}}}'
    body = f'{{"payload": {payload}}}' if wrapped else payload
    began = time.monotonic()
    http.request("POST", url, body=body, headers={"Carawaysail-Task": "a~b#0"})
    return 1000 * (time.monotonic() - began)


def steady_dues(share: float, seconds: float, deadline_ms: int) -> list[load.Due]:
    """Return mixed requests at a share of the capacity."""
    rng = random.Random(SEED)
    rate = share * fleets.capacity_per_s(load.MEAN_RUN_MS)
    times = load.arrivals(rate, seconds, SEED)
    return [load.Due(at, load.mixed_run_ms(rng), deadline_ms) for at in times]


@figures.figures.register("policies")
def policies() -> list[figures.Row]:
    """Measure each routing policy on the same load and seed, at 70% of capacity."""
    dues = steady_dues(0.7, STEADY_S, 10_000)
    rows = []
    for name in keys.ROUTING_POLICIES:
        with fleets.make(fleets.runners(), settings={"routing": name}) as small:
            samples = load.run(small, dues)
            sent = small.messages()
        ratios = load.ratios(samples)
        median, tail = load.percentile(ratios, 50.0), load.percentile(ratios, 99.0)
        done = len(ratios)
        if name == "expected_finish":
            rows.append(figures.at_most(f"70%: median, {name}", median, "ratio", 1.05))
            rows.append(figures.at_most(f"70%: p99, {name}", tail, "ratio", 1.5))
            wasted = sent / max(1, done)
            rows.append(figures.at_most("70%: messages a task", wasted, "ratio", 1.02))
        else:
            rows.append(figures.Row(f"70%: median, {name}", median, "ratio"))
            rows.append(figures.Row(f"70%: p99, {name}", tail, "ratio"))
    return rows + _bound_rows(dues)


def _bound_rows(dues: list[load.Due]) -> list[figures.Row]:
    """Return what one queue with perfect knowledge and no cost reaches on the load."""
    ratios = fleets.perfect_ratios(dues)
    return [
        figures.Row(f"70%: {words}, one queue that knows all, worked out",
                    load.percentile(ratios, share), "ratio")
        for words, share in (("median", 50.0), ("p99", 99.0))
    ]  # fmt: skip


CREST_DEADLINE_MS = 4_000
BEFORE_S, CREST_S, AFTER_S = 4.0, 6.0, 6.0


@figures.figures.register("crest")
def crest() -> list[figures.Row]:
    """Measure three times the capacity for some seconds, by admission policy."""
    rows = []
    for name in keys.ADMISSION_POLICIES:
        with fleets.make(fleets.runners(), settings={"admission": name}) as small:
            samples = load.run(small, _crest_dues())
        rows += _crest_rows(samples, name, name == "meets_deadline")
    return rows


def _crest_dues() -> list[load.Due]:
    rng = random.Random(SEED)
    full = fleets.capacity_per_s(load.MEAN_RUN_MS)
    times = load.arrivals(0.7 * full, BEFORE_S, SEED)
    times += load.arrivals(3.0 * full, CREST_S, SEED + 1, BEFORE_S)
    times += load.arrivals(0.7 * full, AFTER_S, SEED + 2, BEFORE_S + CREST_S)
    deadline = CREST_DEADLINE_MS
    return [load.Due(at, load.mixed_run_ms(rng), deadline) for at in times]


def _crest_rows(
    samples: list[load.Sample], name: str, is_ours: bool
) -> list[figures.Row]:
    end = BEFORE_S + CREST_S
    inside = [x for x in samples if BEFORE_S + 1.0 <= x.due.at_s < end]
    good = [x for x in inside if x.outcome == "completed" and _is_in_time(x)]
    seconds = CREST_S - 1.0
    offered_ms = sum(x.due.run_ms for x in good) / seconds
    full_ms = fleets.capacity_per_s(load.MEAN_RUN_MS) * load.MEAN_RUN_MS
    taken = [x for x in inside if x.outcome != "not_run"]
    late = sum(1 for x in taken if not _is_in_time(x) or x.outcome == "unknown")
    refusals = [x.held_ms for x in inside if x.outcome == "not_run"]
    goodput = offered_ms / full_ms
    late_share = 100.0 * late / max(1, len(taken))
    refusal = load.percentile(refusals, 99.0) if refusals else 0.0
    recovery = _recovery_s(samples, end)
    values = (
        ("goodput over capacity", goodput, "ratio", 0.95),
        ("accepted and late", late_share, "%", 0.5),
        ("a refusal, p99", refusal, "ms", 10.0),
        ("time to normal", recovery, "s", 2.0),
    )
    rows = []
    for what, value, unit, bound in values:
        figure = f"crest 3x: {what}, {name}"
        if not is_ours:
            rows.append(figures.Row(figure, value, unit))
        elif what.startswith("goodput"):
            rows.append(figures.at_least(figure, value, unit, bound))
        else:
            rows.append(figures.at_most(figure, value, unit, bound))
    return rows


def _is_in_time(sample: load.Sample) -> bool:
    return sample.took_ms <= sample.due.deadline_ms + GRACE_MS


GRACE_MS = 20.0
WINDOW_S = 0.5


def _recovery_s(samples: list[load.Sample], end: float) -> float:
    """Return when a window of half a second is answered as before the crest."""
    for number in range(int(AFTER_S / WINDOW_S)):
        start = end + number * WINDOW_S
        window = [x for x in samples if start <= x.due.at_s < start + WINDOW_S]
        done = load.ratios(window)
        is_whole = len(done) == len(window) and window
        if is_whole and statistics.median(done) < NORMAL_RATIO:
            return number * WINDOW_S
    return AFTER_S


NORMAL_RATIO = 1.5


@figures.figures.register("behind")
def behind() -> list[figures.Row]:
    """Measure short work's wait with and without long work beside it."""
    rows = []
    waits: dict[tuple[str, bool], float] = {}
    for queue in keys.QUEUE_POLICIES:
        for with_long in (False, True):
            settings: tree.Settings = {"queue": queue}
            if queue == "fifo":
                settings["long_share"] = 1.0
            waits[queue, with_long] = _short_wait(settings, with_long)
        ratio = waits[queue, True] / max(waits[queue, False], 1.0)
        figure = f"short work's p99 wait, long beside it over not, {queue}"
        if queue == "fair_lanes":
            rows.append(figures.at_most(figure, ratio, "ratio", 1.2))
        else:
            rows.append(figures.Row(figure, ratio, "ratio"))
    for (queue, with_long), wait in waits.items():
        words = "with" if with_long else "without"
        figure = f"short work's p99 wait {words} long work, {queue}"
        rows.append(figures.Row(figure, wait, "ms"))
    return rows


SHORT_MS, LONG_MS = 60.0, 2_500.0
SHORT_LOAD, LONG_LOAD = 0.25, 0.5
"""Shares of the capacity: long work alone would hold half of the slots."""


def _short_wait(settings: tree.Settings, with_long: bool) -> float:
    teams: dict[str, tree.Team] = {
        "ventas": {"services": {"pedidos": {}, "cierres": {}}}
    }
    rate = SHORT_LOAD * fleets.capacity_per_s(SHORT_MS)
    dues = [
        load.Due(at, SHORT_MS, 20_000)
        for at in load.arrivals(rate, STEADY_S, SEED, 3.0)
    ]
    if with_long:
        rate = LONG_LOAD * fleets.capacity_per_s(LONG_MS)
        times = load.arrivals(rate, STEADY_S + 3.0, SEED + 1)
        dues += [load.Due(at, LONG_MS, 60_000, "cierres") for at in times]
    with fleets.make(fleets.runners(), settings=settings, teams=teams) as small:
        samples = load.run(small, sorted(dues))
    waits = [
        x.took_ms - SHORT_MS * fleets.slowness_of(x.target)
        for x in samples
        if x.due.service == "pedidos" and x.outcome == "completed"
    ]
    return load.percentile(waits, 99.0)


@figures.figures.register("failing")
def failing() -> list[figures.Row]:
    """Measure the work lost to a runner that begins to fail everything."""
    dues = steady_dues(0.5, 12.0, 5_000)
    with fleets.make(fleets.runners()) as small:
        name = next(iter(small.target_urls()))
        samples = _run_with_fault(small, dues, name)
    lost = sum(1 for x in samples if x.outcome == "failed")
    return [
        figures.at_most("lost to a runner that fails all", lost, "requests", 10.0),
        figures.Row("requests sent meanwhile", len(samples), "requests"),
    ]


def _run_with_fault(
    small: fleet.Fleet, dues: list[load.Due], name: str
) -> list[load.Sample]:
    first = [x for x in dues if x.at_s < 3.0]
    rest = [x._replace(at_s=x.at_s - 3.0) for x in dues if x.at_s >= 3.0]
    samples = load.run(small, first)
    small.set_faults(name, {"fail_all": 1})
    return samples + load.run(small, rest)


CHANGES = 15
LAG_S = 3.0


@figures.figures.register("in_force")
def in_force() -> list[figures.Row]:
    """Measure the time from an accepted change to its being in force everywhere."""
    places = dict.fromkeys(("rosario", "cordoba", "salta", "viedma"), 2)
    teams: dict[str, tree.Team] = {"ventas": {"services": {"pedidos": {}}}}
    entries = fleet.plan_entries(places)
    with fleet.Fleet(entries, {}, teams, {}) as small:
        time.sleep(3.0)
        quick = [_change_s(small, number) for number in range(CHANGES)]
        small.set_faults("store", {"lagging_watch": LAG_S})
        lagging = [_change_s(small, 100 + number) for number in range(3)]
    return [
        figures.at_most("setting in force on the last of 8, worst", max(quick), "s", 2),
        figures.Row("setting in force on the last of 8, median",
                    statistics.median(quick), "s"),
        figures.at_most("the same, watches lagging 3 s", max(lagging), "s", 6.0),
    ]  # fmt: skip


def _change_s(small: fleet.Fleet, number: int) -> float:
    """Change one value, and return the seconds until every daemon has it."""
    store = stored.SettingsStore(keyvalue.HttpKeyValue(small.store_url))
    before = store.read()
    after = edits.put(before.cfg, "settings/weight", 1.0 + number)
    written = store.write(before, after)
    began = time.monotonic()
    found = confirm.wait(daemons.Daemons(""), after, written, clock.SystemClock())
    took = time.monotonic() - began
    return took if len(found.in_force) == len(small.entries) else confirm.CONFIRM_S
