"""The fleets that are measured: one data centre of the current size."""

import heapq

from carawaysail_bench import fleet
from carawaysail_bench.measure import load
from carawaysail_settings import tree
from carawaysail_standins import main as standins

SLOWNESS = (1.0, 1.0, 1.1, 1.2, 1.4, 1.6)
"""Factors of the run times of the runners, which they get in turn."""

SLOTS_PER_RUNNER = 8


def runners(count: int = 6, data_centre: str = "rosario") -> list[standins.StandinSpec]:
    """Return the runners of one data centre: 8 slots each, with different slowness."""
    ports = fleet.free_ports(count)
    return [
        {
            "name": f"{data_centre}-r{number}",
            "kind": "runner",
            "port": port,
            "slots": SLOTS_PER_RUNNER,
            "slowness": SLOWNESS[number % len(SLOWNESS)],
        }
        for number, port in enumerate(ports)
    ]


def workers(
    count: int, processors: int = 32, data_centre: str = "rosario"
) -> list[standins.StandinSpec]:
    """Return the workers of one data centre, all of slowness 1."""
    ports = fleet.free_ports(count)
    return [
        {
            "name": f"{data_centre}-w{number}",
            "kind": "worker",
            "port": port,
            "slots": processors,
            "slowness": 1.0,
        }
        for number, port in enumerate(ports)
    ]


def slowness_of(name: str) -> float:
    """Return the slowness of a runner, given its name."""
    return SLOWNESS[int(name.rpartition("r")[2]) % len(SLOWNESS)]


def capacity_per_s(mean_run_ms: float, count: int = 6) -> float:
    """Return how many requests per second the runners can finish.

    Parameters
    ----------
    mean_run_ms : float
        Mean run time of a request on a target of slowness 1, in milliseconds.
    count : int
        Number of runners.
    """
    total_speed = sum(1.0 / SLOWNESS[n % len(SLOWNESS)] for n in range(count))
    return SLOTS_PER_RUNNER * total_speed * 1000.0 / mean_run_ms


def ideal_ratios(requests: list[load.PlannedRequest]) -> list[float]:
    """Return the ratios of response time to run time of an ideal dispatcher.

    It keeps one queue, knows the slowness of each runner and sends each request
    without delay to the fastest free slot: a bound that no dispatcher can improve on
    by much for the same arrivals.

    Parameters
    ----------
    requests : list of load.PlannedRequest
        The requests, in order of arrival.
    """
    free_slots = sorted(SLOWNESS * SLOTS_PER_RUNNER)
    busy_slots: list[tuple[float, float]] = []
    ratios = []
    for request in requests:
        now_ms = start_ms = 1000.0 * request.at_s
        while busy_slots and (busy_slots[0][0] <= now_ms or not free_slots):
            start_ms, slowness = heapq.heappop(busy_slots)
            start_ms = max(start_ms, now_ms)
            heapq.heappush(free_slots, slowness)
        end_ms = start_ms + request.run_ms * (slowness := heapq.heappop(free_slots))
        heapq.heappush(busy_slots, (end_ms, slowness))
        ratios.append((end_ms - now_ms) / request.run_ms)
    return ratios


def make_fleet(
    targets: list[standins.StandinSpec],
    entries: int = 2,
    settings: tree.Settings | None = None,
    teams: dict[str, tree.Team] | None = None,
) -> fleet.Fleet:
    """Return a fleet of one data centre that is not started yet.

    Parameters
    ----------
    targets : list of standins.StandinSpec
        Its targets.
    entries : int
        Number of entry daemons.
    settings : dict, optional
        Settings at the root of the tree; none by default.
    teams : dict, optional
        The ``teams`` of the tree; one team with one service by default.
    """
    default_teams: dict[str, tree.Team] = {"ventas": {"services": {"pedidos": {}}}}
    return fleet.Fleet(
        fleet.make_entry_specs({"rosario": entries}),
        {"rosario": targets},
        teams or default_teams,
        settings or {},
        {"threads": 320, "target_threads": 256},
    )
