"""Run stand-ins of the platform and of targets on loopback.

Usage:
  carawaysail-standin store --port PORT
  carawaysail-standin vmlist --port PORT [--lag SECONDS]
  carawaysail-standin targets --file FILE
  carawaysail-standin (-h | --help)

Options:
  --port PORT      Port on loopback.
  --lag SECONDS    How old the list is [default: 5].
  --file FILE      JSON list of {"name", "kind", "port", "slots", "slowness"}.
  -h --help        Show this text.
"""

import json
import pathlib
import signal
import typing

import docopt

from carawaysail_standins import runner, store, vmlist, worker


class Spec(typing.TypedDict):
    """One target of the file; ``slots`` are a worker's processors."""

    name: str
    kind: str
    port: int
    slots: int
    slowness: float


def make_target(spec: Spec) -> runner.Runner | worker.Worker:
    """Return the stand-in that a spec describes."""
    if spec["kind"] == "worker":
        return worker.Worker(
            spec["name"], spec["port"], spec["slots"], spec["slowness"]
        )
    return runner.Runner(spec["name"], spec["port"], spec["slots"], spec["slowness"])


def main() -> None:
    """Start what the arguments name and wait to be ended."""
    args = docopt.docopt(__doc__)
    servers = []
    if args["store"]:
        servers.append(store.Store(int(args["--port"])).server)
    elif args["vmlist"]:
        port, lag_s = int(args["--port"]), float(args["--lag"])
        servers.append(vmlist.VmList(port, lag_s).server)
    else:
        specs = json.loads(pathlib.Path(args["--file"]).read_text(encoding="utf-8"))
        servers += [make_target(spec).server for spec in specs]
    for server in servers:
        server.start()
    print("ready", flush=True)
    signal.sigwait({signal.SIGTERM, signal.SIGINT})
