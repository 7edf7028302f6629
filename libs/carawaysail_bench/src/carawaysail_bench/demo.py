"""A small fleet over loopback, with a short account of what it does.

Four entry daemons in two data centres and twelve targets of different speed; a
request, a job of 340 tasks, a setting changed live, a killed entry daemon and
resubmissions. Exit 0 only if all of it held.
"""

import concurrent.futures
import sys
import time
import typing

from carawaysail_bench import fleet
from carawaysail_cli import confirm, daemons, stored
from carawaysail_platform import keyvalue
from carawaysail_settings import edits, tree
from carawaysail_standins import main as standins
from carawaysail_types import clock

PLACES = ("rosario", "cordoba")
REQUEST = "/v1/services/pedidos/requests"
JOB = "/v1/services/pedidos/jobs"


class Account:
    """Prints what happened, and remembers whether it held."""

    def __init__(self) -> None:
        self.held = True

    def tell(self, what: str, holds: bool, since: float) -> None:
        """Print one line with its time."""
        self.held = self.held and holds
        mark = "ok " if holds else "NOT"
        print(f"{mark} {1000 * (time.monotonic() - since):7.0f} ms  {what}", flush=True)


def make_targets(place: str) -> list[standins.Spec]:
    """Return three runners and three workers of different speed."""
    ports = fleet.free_ports(6)
    specs: list[standins.Spec] = []
    for number in range(6):
        kind = "runner" if number < 3 else "worker"
        specs.append(
            {
                "name": f"{place}-{kind}-{number % 3 + 1}",
                "kind": kind,
                "port": ports[number],
                "slots": 8 if kind == "runner" else 32,
                "slowness": 1.0 + 0.5 * (number % 3),
            }
        )
    return specs


def make_fleet() -> fleet.Fleet:
    """Return the fleet, not started yet."""
    entries = fleet.plan_entries(dict.fromkeys(PLACES, 2))
    targets = {place: make_targets(place) for place in PLACES}
    service: tree.Service = {"settings": {"deadline_ms": 10_000}}
    teams: dict[str, tree.Team] = {"ventas": {"services": {"pedidos": service}}}
    return fleet.Fleet(entries, targets, teams, {})


def run_requests(small: fleet.Fleet, account: Account) -> None:
    """Send one request to each daemon, and a job of 340 tasks."""
    for vm in small.entries:
        since = time.monotonic()
        body = {"payload": {"run_ms": 100, "echo": vm}}
        status, told = small.call(vm, "POST", REQUEST, body)
        right = status == 200 and told["answer"]["echo"] == vm
        account.tell(
            f"a request of 100 ms through {vm}: {told['outcome']}", right, since
        )
    since = time.monotonic()
    before = small.messages()
    tasks = [{"payload": {"run_ms": 50 + n % 50, "echo": n}} for n in range(340)]
    status, told = small.call("cordoba-e1", "POST", JOB, {"tasks": tasks})
    echoes = [answer["echo"] for answer in told.get("answers", [])]
    sent = small.messages() - before
    what = f"a job of 340 tasks: {told['outcome']}, {len(echoes)} answers, "
    account.tell(f"{what}{sent} messages to workers", echoes == list(range(340)), since)


def change_setting(small: fleet.Fleet, account: Account) -> None:
    """Change a setting in the store and wait until it is in force everywhere."""
    since = time.monotonic()
    store = stored.SettingsStore(keyvalue.HttpKeyValue(small.store_url))
    before = store.read()
    after = edits.put(before.cfg, "teams/ventas/settings/weight", 2.0)
    written = store.write(before, after)
    asked = daemons.Daemons("")
    found = confirm.wait(asked, after, written, clock.SystemClock())
    what = f"weight of team ventas set to 2.0: {found.text()}"
    account.tell(what, len(found.in_force) == len(small.entries), since)


def kill_and_resubmit(small: fleet.Fleet, account: Account) -> None:
    """Kill a daemon with work under way, and resubmit through another one."""
    owners = {vm: small.owner(vm) for vm in ("rosario-e1", "rosario-e2")}
    bodies = {
        vm: {"id": f"{owner}~truck-1", "payload": {"run_ms": 600, "echo": vm}}
        for vm, owner in owners.items()
    }
    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        calls = {vm: pool.submit(_try, small, vm, body) for vm, body in bodies.items()}
        time.sleep(0.3)
        since = time.monotonic()
        small.kill("rosario-e1")
        lost, kept = calls["rosario-e1"].result(), calls["rosario-e2"].result()
    account.tell(f"entry daemon rosario-e1 killed; its caller saw: {lost}", True, since)
    account.tell(f"work of rosario-e2 meanwhile: {kept}", kept == "completed", since)
    since = time.monotonic()
    for vm, expected in (("rosario-e1", "unknown"), ("rosario-e2", "completed")):
        told = _try(small, "cordoba-e1", bodies[vm])
        what = f"resubmitted through cordoba-e1, owned by {vm}: {told}"
        account.tell(what, told == expected, since)
    first = {"id": f"{owners['rosario-e1']}~truck-2", "attempt": 1}
    first["payload"] = {"run_ms": 50, "echo": 2}  # type: ignore[assignment]
    told = _try(small, "rosario-e2", first)
    what = f"a first copy that carries the killed daemon's token: {told}"
    account.tell(what, told == "completed", since)


def _try(small: fleet.Fleet, vm: str, body: dict[str, typing.Any]) -> str:
    try:
        return str(small.call(vm, "POST", REQUEST, body)[1].get("outcome"))
    except Exception as exc:
        return f"no answer ({type(exc).__name__})"


def end_gracefully(small: fleet.Fleet, account: Account) -> None:
    """End a daemon with a request under way; its heir remembers the answer."""
    since = time.monotonic()
    body = {"id": small.owner("cordoba-e1") + "~truck-3"}
    body["payload"] = {"run_ms": 500, "echo": 3}  # type: ignore[assignment]
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        call = pool.submit(_try, small, "cordoba-e1", body)
        time.sleep(0.1)
        code = small.terminate("cordoba-e1")
        told = call.result()
    what = f"cordoba-e1 ended gracefully (exit {code}) with a request under way: {told}"
    account.tell(what, code == 0 and told == "completed", since)
    again = _try(small, "cordoba-e2", body)
    account.tell(f"resubmitted at its heir: {again}", again == "completed", since)


def check_starts(small: fleet.Fleet, account: Account) -> None:
    """Check at the targets that no task was started twice."""
    since = time.monotonic()
    starts = small.starts()
    twice = [task for task, count in starts.items() if count > 1]
    what = f"{len(starts)} tasks started at the targets, {len(twice)} more than once"
    account.tell(what, not twice, since)


def main() -> None:
    """Run it all."""
    account = Account()
    since = time.monotonic()
    with make_fleet() as small:
        what = "4 entry daemons in 2 data centres and 12 targets are ready"
        account.tell(what, True, since)
        for act in (
            run_requests,
            change_setting,
            kill_and_resubmit,
            end_gracefully,
            check_starts,
        ):
            act(small, account)
    print("all held" if account.held else "NOT all held")
    sys.exit(0 if account.held else 1)


if __name__ == "__main__":
    main()
