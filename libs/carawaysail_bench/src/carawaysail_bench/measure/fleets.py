"""The fleets that are measured: one data centre of today's sizes."""

import heapq

from carawaysail_bench import fleet
from carawaysail_bench.measure import load
from carawaysail_settings import tree
from carawaysail_standins import main as standins

SLOWNESS = (1.0, 1.0, 1.1, 1.2, 1.4, 1.6)
SLOTS = 8


def runners(count: int = 6, place: str = "rosario") -> list[standins.Spec]:
    """Return the runners of one data centre: 8 slots each, differing in speed."""
    ports = fleet.free_ports(count)
    return [
        {
            "name": f"{place}-r{number}",
            "kind": "runner",
            "port": port,
            "slots": SLOTS,
            "slowness": SLOWNESS[number % len(SLOWNESS)],
        }
        for number, port in enumerate(ports)
    ]


def workers(
    count: int, processors: int = 32, place: str = "rosario"
) -> list[standins.Spec]:
    """Return the workers of one data centre."""
    ports = fleet.free_ports(count)
    return [
        {
            "name": f"{place}-w{number}",
            "kind": "worker",
            "port": port,
            "slots": processors,
            "slowness": 1.0,
        }
        for number, port in enumerate(ports)
    ]


def slowness_of(name: str) -> float:
    """Return the slowness of a runner, by its name."""
    return SLOWNESS[int(name.rpartition("r")[2]) % len(SLOWNESS)]


def capacity_per_s(mean_run_ms: float, count: int = 6) -> float:
    """Return the requests a second that the runners can finish."""
    speeds = sum(1.0 / SLOWNESS[n % len(SLOWNESS)] for n in range(count))
    return SLOTS * speeds * 1000.0 / mean_run_ms


def perfect_ratios(dues: list[load.Due]) -> list[float]:
    """Return response over run time of one queue that knows each runner's speed.

    It sends each request at once to the fastest free slot, at no cost: what no
    dispatcher can do much better on the same arrivals.

    Parameters
    ----------
    dues : list of load.Due
        The requests, in order of arrival.
    """
    free = sorted(SLOWNESS * SLOTS)
    busy: list[tuple[float, float]] = []
    ratios = []
    for due in dues:
        now_ms = start_ms = 1000.0 * due.at_s
        while busy and (busy[0][0] <= now_ms or not free):
            start_ms, slowness = heapq.heappop(busy)
            start_ms = max(start_ms, now_ms)
            heapq.heappush(free, slowness)
        end_ms = start_ms + due.run_ms * (slowness := heapq.heappop(free))
        heapq.heappush(busy, (end_ms, slowness))
        ratios.append((end_ms - now_ms) / due.run_ms)
    return ratios


def make(
    targets: list[standins.Spec],
    entries: int = 2,
    settings: tree.Settings | None = None,
    teams: dict[str, tree.Team] | None = None,
) -> fleet.Fleet:
    """Return a fleet of one data centre, not started yet."""
    known: dict[str, tree.Team] = {"ventas": {"services": {"pedidos": {}}}}
    return fleet.Fleet(
        fleet.plan_entries({"rosario": entries}),
        {"rosario": targets},
        teams or known,
        settings or {},
        {"threads": 320, "target_threads": 256},
    )
