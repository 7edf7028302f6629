"""The fleets that are measured: one data centre of today's sizes."""

from carawaysail_bench import fleet
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
