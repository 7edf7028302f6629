"""Run stand-ins of the platform and of targets on loopback.

Usage:
  carawaysail-standin store --port PORT
  carawaysail-standin vmlist --port PORT [--lag SECONDS]
  carawaysail-standin targets --file FILE
  carawaysail-standin (-h | --help)

Options:
  --port PORT      Port on loopback.
  --lag SECONDS    Age of the VM list that is returned [default: 5].
  --file FILE      JSON list of {"name", "kind", "port", "slots", "slowness"}.
  -h --help        Show this text.
"""

import json
import pathlib
import signal
import typing

import docopt

from carawaysail_standins import runner, store, vmlist, worker


class StandinSpec(typing.TypedDict):
    """One target of the file.

    ``kind`` is ``runner`` or ``worker``; ``slots`` is the number of slots of a runner
    or of processors of a worker; ``slowness`` multiplies every run time.
    """

    name: str
    kind: str
    port: int
    slots: int
    slowness: float


def make_standin(spec: StandinSpec) -> runner.Runner | worker.Worker:
    """Return the stand-in that a spec describes, not started yet."""
    if spec["kind"] == "worker":
        return worker.Worker(
            spec["name"], spec["port"], spec["slots"], spec["slowness"]
        )
    return runner.Runner(spec["name"], spec["port"], spec["slots"], spec["slowness"])


def main() -> None:
    """Start the stand-ins that the arguments name; stop on SIGTERM or SIGINT."""
    args = docopt.docopt(__doc__)
    servers = []
    if args["store"]:
        servers.append(store.Store(int(args["--port"])).server)
    elif args["vmlist"]:
        port, lag_s = int(args["--port"]), float(args["--lag"])
        servers.append(vmlist.VmList(port, lag_s).server)
    else:
        specs = json.loads(pathlib.Path(args["--file"]).read_text(encoding="utf-8"))
        servers += [make_standin(spec).server for spec in specs]
    for server in servers:
        server.start()
    print("ready", flush=True)
    signal.sigwait({signal.SIGTERM, signal.SIGINT})
