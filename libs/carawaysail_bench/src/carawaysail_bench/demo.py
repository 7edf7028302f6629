"""Demonstration of a small fleet over loopback, with a printed report.

Starts four entry daemons in two data centres and twelve targets of different speed,
then runs requests, a job of 340 tasks, a settings change, a killed entry daemon with
resubmissions, and a graceful end. Exits with status 0 only if every check passed.
"""

import concurrent.futures
import sys
import time
import typing

from carawaysail_bench import fleet
from carawaysail_cli import daemon_client, rollout, settings_store
from carawaysail_platform import keyvalue
from carawaysail_settings import edits, tree
from carawaysail_standins import main as standins
from carawaysail_types import clock

DATA_CENTRES = ("rosario", "cordoba")
REQUEST_PATH = "/v1/services/pedidos/requests"
JOB_PATH = "/v1/services/pedidos/jobs"


class Report:
    """Prints the result of each check and records whether all of them passed."""

    def __init__(self) -> None:
        self.all_passed = True

    def record(self, description: str, passed: bool, since_s: float) -> None:
        """Print one result with the milliseconds since a monotonic time in seconds."""
        self.all_passed = self.all_passed and passed
        mark = "ok " if passed else "NOT"
        print(
            f"{mark} {1000 * (time.monotonic() - since_s):7.0f} ms  {description}",
            flush=True,
        )


def make_targets(data_centre: str) -> list[standins.StandinSpec]:
    """Return three runners and three workers of different slowness."""
    ports = fleet.free_ports(6)
    specs: list[standins.StandinSpec] = []
    for number in range(6):
        kind = "runner" if number < 3 else "worker"
        specs.append(
            {
                "name": f"{data_centre}-{kind}-{number % 3 + 1}",
                "kind": kind,
                "port": ports[number],
                "slots": 8 if kind == "runner" else 32,
                "slowness": 1.0 + 0.5 * (number % 3),
            }
        )
    return specs


def make_fleet() -> fleet.Fleet:
    """Return the fleet of the demonstration, not started yet."""
    entries = fleet.make_entry_specs(dict.fromkeys(DATA_CENTRES, 2))
    targets = {data_centre: make_targets(data_centre) for data_centre in DATA_CENTRES}
    service: tree.Service = {"settings": {"deadline_ms": 10_000}}
    teams: dict[str, tree.Team] = {"ventas": {"services": {"pedidos": service}}}
    return fleet.Fleet(entries, targets, teams, {})


def run_requests(local_fleet: fleet.Fleet, report: Report) -> None:
    """Send one request to each daemon, and a job of 340 tasks to one of them."""
    for vm in local_fleet.entries:
        since_s = time.monotonic()
        body = {"payload": {"run_ms": 100, "echo": vm}}
        status, result = local_fleet.call(vm, "POST", REQUEST_PATH, body)
        passed = status == 200 and result["answer"]["echo"] == vm
        report.record(
            f"a request of 100 ms through {vm}: {result['outcome']}", passed, since_s
        )
    since_s = time.monotonic()
    before = local_fleet.message_count()
    tasks = [{"payload": {"run_ms": 50 + n % 50, "echo": n}} for n in range(340)]
    status, result = local_fleet.call("cordoba-e1", "POST", JOB_PATH, {"tasks": tasks})
    echoes = [answer["echo"] for answer in result.get("answers", [])]
    sent = local_fleet.message_count() - before
    description = f"a job of 340 tasks: {result['outcome']}, {len(echoes)} answers, "
    report.record(
        f"{description}{sent} messages to workers", echoes == list(range(340)), since_s
    )


def change_setting(local_fleet: fleet.Fleet, report: Report) -> None:
    """Change a setting in the store and wait until it is in force everywhere."""
    since_s = time.monotonic()
    store = settings_store.SettingsStore(keyvalue.HttpKeyValue(local_fleet.store_url))
    before = store.read()
    after = edits.set_value(before.cfg, "teams/ventas/settings/weight", 2.0)
    written = store.write(before, after)
    all_daemons = daemon_client.DaemonClient("")
    confirmation = rollout.wait_until_in_force(
        all_daemons, after, written, clock.SystemClock()
    )
    description = f"weight of team ventas set to 2.0: {confirmation.text()}"
    report.record(
        description, len(confirmation.in_force) == len(local_fleet.entries), since_s
    )


def kill_and_resubmit(local_fleet: fleet.Fleet, report: Report) -> None:
    """Kill a daemon that has unfinished requests, and resubmit them to another."""
    owners = {vm: local_fleet.owner_token(vm) for vm in ("rosario-e1", "rosario-e2")}
    bodies = {
        vm: {"id": f"{owner}~truck-1", "payload": {"run_ms": 600, "echo": vm}}
        for vm, owner in owners.items()
    }
    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        calls = {
            vm: pool.submit(_outcome_of, local_fleet, vm, body)
            for vm, body in bodies.items()
        }
        time.sleep(0.3)
        since_s = time.monotonic()
        local_fleet.kill("rosario-e1")
        lost, other = calls["rosario-e1"].result(), calls["rosario-e2"].result()
    report.record(
        f"entry daemon rosario-e1 killed; its caller received: {lost}", True, since_s
    )
    report.record(
        f"request of rosario-e2 meanwhile: {other}", other == "completed", since_s
    )
    since_s = time.monotonic()
    for vm, expected in (("rosario-e1", "unknown"), ("rosario-e2", "completed")):
        result = _outcome_of(local_fleet, "cordoba-e1", bodies[vm])
        description = f"resubmitted through cordoba-e1, owned by {vm}: {result}"
        report.record(description, result == expected, since_s)
    first = {"id": f"{owners['rosario-e1']}~truck-2", "attempt": 1}
    first["payload"] = {"run_ms": 50, "echo": 2}  # type: ignore[assignment]
    result = _outcome_of(local_fleet, "rosario-e2", first)
    description = f"a first copy that contains the killed daemon's token: {result}"
    report.record(description, result == "completed", since_s)


def _outcome_of(local_fleet: fleet.Fleet, vm: str, body: dict[str, typing.Any]) -> str:
    try:
        return str(local_fleet.call(vm, "POST", REQUEST_PATH, body)[1].get("outcome"))
    except Exception as exc:
        return f"no answer ({type(exc).__name__})"


def end_gracefully(local_fleet: fleet.Fleet, report: Report) -> None:
    """End a daemon with an unfinished request; its successor has the answer."""
    since_s = time.monotonic()
    body = {"id": local_fleet.owner_token("cordoba-e1") + "~truck-3"}
    body["payload"] = {"run_ms": 500, "echo": 3}  # type: ignore[assignment]
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        call = pool.submit(_outcome_of, local_fleet, "cordoba-e1", body)
        time.sleep(0.1)
        code = local_fleet.terminate("cordoba-e1")
        result = call.result()
    description = (
        f"cordoba-e1 ended gracefully (exit {code}) with a request under way: {result}"
    )
    report.record(description, code == 0 and result == "completed", since_s)
    again = _outcome_of(local_fleet, "cordoba-e2", body)
    report.record(
        f"resubmitted to its successor: {again}", again == "completed", since_s
    )


def check_starts(local_fleet: fleet.Fleet, report: Report) -> None:
    """Check at the targets that no task was started more than once."""
    since_s = time.monotonic()
    start_counts = local_fleet.start_counts()
    twice = [task for task, count in start_counts.items() if count > 1]
    description = (
        f"{len(start_counts)} tasks started at the targets, {len(twice)} more than once"
    )
    report.record(description, not twice, since_s)


def main() -> None:
    """Run the demonstration and exit with its status."""
    report = Report()
    since_s = time.monotonic()
    with make_fleet() as local_fleet:
        description = "4 entry daemons in 2 data centres and 12 targets are ready"
        report.record(description, True, since_s)
        for step in (
            run_requests,
            change_setting,
            kill_and_resubmit,
            end_gracefully,
            check_starts,
        ):
            step(local_fleet, report)
    print("all checks passed" if report.all_passed else "NOT all checks passed")
    sys.exit(0 if report.all_passed else 1)


if __name__ == "__main__":
    main()
