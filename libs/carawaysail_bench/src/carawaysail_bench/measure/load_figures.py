"""Figures of real daemons under load, and of settings changes that reach them."""

import random
import statistics
import time

import urllib3

from carawaysail_bench import fleet
from carawaysail_bench.measure import figures, fleets, load
from carawaysail_cli import daemon_client, rollout, settings_store
from carawaysail_platform import keyvalue
from carawaysail_settings import edits, keys, tree
from carawaysail_types import clock

SEED = 7
LIGHT_CALLS = 60
LIGHT_RUN_MS = 100
STEADY_S = 10.0


@figures.figures.register("light")
def light_load() -> list[figures.Row]:
    """Measure a 100 ms request at light load, and a direct call to the target."""
    with fleets.make_fleet(fleets.runners(1), entries=1) as local_fleet:
        url = next(iter(local_fleet.target_urls().values()))
        (entry,) = local_fleet.entries.values()
        direct_ms, via_entry_ms = [], []
        http = urllib3.PoolManager(retries=False)
        for number in range(LIGHT_CALLS):
            direct_ms.append(_time_call_ms(http, f"{url}/run/pedidos", False, number))
            path = f"{entry.url}{load.REQUEST_PATH}"
            via_entry_ms.append(_time_call_ms(http, path, True, number))
    direct_median_ms = statistics.median(direct_ms)
    ratio = statistics.median(via_entry_ms) / direct_median_ms
    return [
        figures.Row("light: direct call, median", direct_median_ms, "ms"),
        figures.Row("light: through an entry, median", ratio * direct_median_ms, "ms"),
        figures.at_most("light: median over a direct call", ratio, "ratio", 1.05),
    ]


def _time_call_ms(
    http: urllib3.PoolManager, url: str, is_wrapped: bool, number: int
) -> float:
    payload = f'{{"run_ms": {LIGHT_RUN_MS}, "echo": {number}}}'
    body = f'{{"payload": {payload}}}' if is_wrapped else payload
    start_s = time.monotonic()
    http.request("POST", url, body=body, headers={"Carawaysail-Task": "a~b#0"})
    return 1000 * (time.monotonic() - start_s)


def steady_requests(
    share: float, seconds: float, deadline_ms: int
) -> list[load.PlannedRequest]:
    """Return Poisson requests of mixed run times.

    Parameters
    ----------
    share : float
        Load as a share of the capacity of the runners, 1 for all of it.
    seconds : float
        Duration of the load.
    deadline_ms : int
        Deadline of every request, in milliseconds.
    """
    rng = random.Random(SEED)
    rate = share * fleets.capacity_per_s(load.MEAN_RUN_MS)
    times = load.arrivals(rate, seconds, SEED)
    return [
        load.PlannedRequest(at, load.mixed_run_ms(rng), deadline_ms) for at in times
    ]


@figures.figures.register("policies")
def policies() -> list[figures.Row]:
    """Measure each routing policy with the same requests, at 70% of the capacity."""
    requests = steady_requests(0.7, STEADY_S, 10_000)
    rows = []
    for name in keys.ROUTING_POLICIES:
        with fleets.make_fleet(
            fleets.runners(), settings={"routing": name}
        ) as local_fleet:
            samples = load.run(local_fleet, requests)
            sent = local_fleet.message_count()
        ratios = load.ratios(samples)
        median, p99 = load.percentile(ratios, 50.0), load.percentile(ratios, 99.0)
        completed = len(ratios)
        if name == "expected_finish":
            rows.append(figures.at_most(f"70%: median, {name}", median, "ratio", 1.05))
            rows.append(figures.at_most(f"70%: p99, {name}", p99, "ratio", 1.5))
            messages_per_task = sent / max(1, completed)
            rows.append(
                figures.at_most(
                    "70%: messages a task", messages_per_task, "ratio", 1.02
                )
            )
        else:
            rows.append(figures.Row(f"70%: median, {name}", median, "ratio"))
            rows.append(figures.Row(f"70%: p99, {name}", p99, "ratio"))
    return rows + _ideal_rows(requests)


def _ideal_rows(requests: list[load.PlannedRequest]) -> list[figures.Row]:
    """Return the computed ratios of an ideal dispatcher for the same requests."""
    ratios = fleets.ideal_ratios(requests)
    return [
        figures.Row(f"70%: {statistic}, one queue that knows all, worked out",
                    load.percentile(ratios, percent), "ratio")
        for statistic, percent in (("median", 50.0), ("p99", 99.0))
    ]  # fmt: skip


PEAK_DEADLINE_MS = 4_000
BEFORE_S, PEAK_S, AFTER_S = 4.0, 6.0, 6.0


@figures.figures.register("crest")
def peak_load() -> list[figures.Row]:
    """Measure a load of three times the capacity for 6 s, by admission policy."""
    rows = []
    for name in keys.ADMISSION_POLICIES:
        with fleets.make_fleet(
            fleets.runners(), settings={"admission": name}
        ) as local_fleet:
            samples = load.run(local_fleet, _peak_requests())
        rows += _peak_rows(samples, name, name == "meets_deadline")
    return rows


def _peak_requests() -> list[load.PlannedRequest]:
    rng = random.Random(SEED)
    capacity = fleets.capacity_per_s(load.MEAN_RUN_MS)
    times = load.arrivals(0.7 * capacity, BEFORE_S, SEED)
    times += load.arrivals(3.0 * capacity, PEAK_S, SEED + 1, BEFORE_S)
    times += load.arrivals(0.7 * capacity, AFTER_S, SEED + 2, BEFORE_S + PEAK_S)
    deadline = PEAK_DEADLINE_MS
    return [load.PlannedRequest(at, load.mixed_run_ms(rng), deadline) for at in times]


def _peak_rows(
    samples: list[load.Sample], name: str, has_bounds: bool
) -> list[figures.Row]:
    """Return the rows of an admission policy.

    Requests of the first second of the peak are not counted.
    """
    peak_end_s = BEFORE_S + PEAK_S
    during_peak = [x for x in samples if BEFORE_S + 1.0 <= x.request.at_s < peak_end_s]
    in_time = [x for x in during_peak if x.outcome == "completed" and _is_in_time(x)]
    seconds = PEAK_S - 1.0
    completed_ms_per_s = sum(x.request.run_ms for x in in_time) / seconds
    capacity_ms_per_s = fleets.capacity_per_s(load.MEAN_RUN_MS) * load.MEAN_RUN_MS
    accepted = [x for x in during_peak if x.outcome != "not_run"]
    late = sum(1 for x in accepted if not _is_in_time(x) or x.outcome == "unknown")
    refusals_ms = [x.call_ms for x in during_peak if x.outcome == "not_run"]
    goodput = completed_ms_per_s / capacity_ms_per_s
    late_share = 100.0 * late / max(1, len(accepted))
    refusal_p99_ms = load.percentile(refusals_ms, 99.0) if refusals_ms else 0.0
    recovery_s = _recovery_s(samples, peak_end_s)
    values = (
        ("goodput over capacity", goodput, "ratio", 0.95),
        ("accepted and late", late_share, "%", 0.5),
        ("a refusal, p99", refusal_p99_ms, "ms", 10.0),
        ("time to normal", recovery_s, "s", 2.0),
    )
    rows = []
    for label, value, unit, bound in values:
        figure = f"crest 3x: {label}, {name}"
        if not has_bounds:
            rows.append(figures.Row(figure, value, unit))
        elif label.startswith("goodput"):
            rows.append(figures.at_least(figure, value, unit, bound))
        else:
            rows.append(figures.at_most(figure, value, unit, bound))
    return rows


def _is_in_time(sample: load.Sample) -> bool:
    return sample.response_ms <= sample.request.deadline_ms + DEADLINE_TOLERANCE_MS


DEADLINE_TOLERANCE_MS = 20.0
"""An answer that is late by at most this still counts as in time."""

RECOVERY_WINDOW_S = 0.5


def _recovery_s(samples: list[load.Sample], peak_end_s: float) -> float:
    """Return the seconds after the peak until response times are normal again.

    They are normal in the first window of 0.5 s whose requests all complete with a
    median ratio of response time to run time below ``RECOVERED_RATIO``. Without such
    a window, the result is ``AFTER_S``.
    """
    for number in range(int(AFTER_S / RECOVERY_WINDOW_S)):
        start_s = peak_end_s + number * RECOVERY_WINDOW_S
        window = [
            x
            for x in samples
            if start_s <= x.request.at_s < start_s + RECOVERY_WINDOW_S
        ]
        completed = load.ratios(window)
        all_completed = len(completed) == len(window) and window
        if all_completed and statistics.median(completed) < RECOVERED_RATIO:
            return number * RECOVERY_WINDOW_S
    return AFTER_S


RECOVERED_RATIO = 1.5


@figures.figures.register("behind")
def short_behind_long() -> list[figures.Row]:
    """Measure the waits of short requests with and without concurrent long requests."""
    rows = []
    waits_ms: dict[tuple[str, bool], float] = {}
    for queue in keys.QUEUE_POLICIES:
        for with_long in (False, True):
            settings: tree.Settings = {"queue": queue}
            if queue == "fifo":
                settings["long_share"] = 1.0
            waits_ms[queue, with_long] = _short_wait_p99_ms(settings, with_long)
        ratio = waits_ms[queue, True] / max(waits_ms[queue, False], 1.0)
        figure = f"short work's p99 wait, long beside it over not, {queue}"
        if queue == "fair_lanes":
            rows.append(figures.at_most(figure, ratio, "ratio", 1.2))
        else:
            rows.append(figures.Row(figure, ratio, "ratio"))
    for (queue, with_long), wait_ms in waits_ms.items():
        words = "with" if with_long else "without"
        figure = f"short work's p99 wait {words} long work, {queue}"
        rows.append(figures.Row(figure, wait_ms, "ms"))
    return rows


SHORT_MS, LONG_MS = 60.0, 2_500.0
SHORT_LOAD, LONG_LOAD = 0.25, 0.5
"""Shares of the capacity; the long requests alone occupy half of the slots."""


def _short_wait_p99_ms(settings: tree.Settings, with_long: bool) -> float:
    """Return the 99th percentile of the waits of short requests, in milliseconds.

    The wait is the response time without the run time on the target. Long requests
    start 3 s before the short ones, so that they occupy their slots by then.
    """
    teams: dict[str, tree.Team] = {
        "ventas": {"services": {"pedidos": {}, "cierres": {}}}
    }
    rate = SHORT_LOAD * fleets.capacity_per_s(SHORT_MS)
    requests = [
        load.PlannedRequest(at, SHORT_MS, 20_000)
        for at in load.arrivals(rate, STEADY_S, SEED, 3.0)
    ]
    if with_long:
        rate = LONG_LOAD * fleets.capacity_per_s(LONG_MS)
        times = load.arrivals(rate, STEADY_S + 3.0, SEED + 1)
        requests += [
            load.PlannedRequest(at, LONG_MS, 60_000, "cierres") for at in times
        ]
    with fleets.make_fleet(
        fleets.runners(), settings=settings, teams=teams
    ) as local_fleet:
        samples = load.run(local_fleet, sorted(requests))
    waits_ms = [
        x.response_ms - SHORT_MS * fleets.slowness_of(x.target)
        for x in samples
        if x.request.service == "pedidos" and x.outcome == "completed"
    ]
    return load.percentile(waits_ms, 99.0)


@figures.figures.register("failing")
def failing_runner() -> list[figures.Row]:
    """Measure the requests lost to a runner that starts to fail every task."""
    requests = steady_requests(0.5, 12.0, 5_000)
    with fleets.make_fleet(fleets.runners()) as local_fleet:
        name = next(iter(local_fleet.target_urls()))
        samples = _run_with_fault(local_fleet, requests, name)
    lost = sum(1 for x in samples if x.outcome == "failed")
    return [
        figures.at_most("lost to a runner that fails all", lost, "requests", 10.0),
        figures.Row("requests sent meanwhile", len(samples), "requests"),
    ]


def _run_with_fault(
    local_fleet: fleet.Fleet, requests: list[load.PlannedRequest], name: str
) -> list[load.Sample]:
    """Send requests; the named target fails every task after the first 3 s."""
    first = [x for x in requests if x.at_s < 3.0]
    rest = [x._replace(at_s=x.at_s - 3.0) for x in requests if x.at_s >= 3.0]
    samples = load.run(local_fleet, first)
    local_fleet.set_faults(name, {"fail_all": 1})
    return samples + load.run(local_fleet, rest)


CHANGE_COUNT = 15
WATCH_LAG_S = 3.0


@figures.figures.register("in_force")
def settings_in_force() -> list[figures.Row]:
    """Measure the time from an accepted change until it is in force at all daemons."""
    data_centres = dict.fromkeys(("rosario", "cordoba", "salta", "viedma"), 2)
    teams: dict[str, tree.Team] = {"ventas": {"services": {"pedidos": {}}}}
    entries = fleet.make_entry_specs(data_centres)
    with fleet.Fleet(entries, {}, teams, {}) as local_fleet:
        time.sleep(3.0)
        prompt_s = [
            _time_change_s(local_fleet, number) for number in range(CHANGE_COUNT)
        ]
        local_fleet.set_faults("store", {"lagging_watch": WATCH_LAG_S})
        lagging_s = [_time_change_s(local_fleet, 100 + number) for number in range(3)]
    return [
        figures.at_most(
            "setting in force on the last of 8, worst", max(prompt_s), "s", 2
        ),
        figures.Row("setting in force on the last of 8, median",
                    statistics.median(prompt_s), "s"),
        figures.at_most("the same, watches lagging 3 s", max(lagging_s), "s", 6.0),
    ]  # fmt: skip


def _time_change_s(local_fleet: fleet.Fleet, number: int) -> float:
    """Change one setting; return the seconds until it is in force at all daemons."""
    store = settings_store.SettingsStore(keyvalue.HttpKeyValue(local_fleet.store_url))
    before = store.read()
    after = edits.set_value(before.cfg, "settings/weight", 1.0 + number)
    written = store.write(before, after)
    start_s = time.monotonic()
    confirmation = rollout.wait_until_in_force(
        daemon_client.DaemonClient(""), after, written, clock.SystemClock()
    )
    elapsed_s = time.monotonic() - start_s
    return (
        elapsed_s
        if len(confirmation.in_force) == len(local_fleet.entries)
        else rollout.ROLLOUT_TIMEOUT_S
    )
