"""Operate carawaysail.

Usage:
  carawaysail check FILE [options]
  carawaysail show [PATH] [options]
  carawaysail explain PATH KEY [options]
  carawaysail set PATH VALUE [options]
  carawaysail unset PATH [options]
  carawaysail diff FILE [options]
  carawaysail apply FILE [options]
  carawaysail service create NAME TEAM [TARGET...] [options]
  carawaysail service limit NAME KEY VALUE [options]
  carawaysail quota TEAM TASKS [options]
  carawaysail status [options]
  carawaysail drain target NAME [options]
  carawaysail drain entry NAME [options]
  carawaysail undrain target NAME [options]
  carawaysail submit SERVICE [options]
  carawaysail job SERVICE FILE [options]
  carawaysail look ID [options]
  carawaysail cancel ID... [options]
  carawaysail (-h | --help)

Settings:
  check      Check a file of settings without writing anything.
  show       Show what the store holds at a path such as teams/ventas.
  explain    Tell which value a key has at a path, and where it comes from;
             the path of the root is written "".
  set        Put a JSON value, or a text, at a path.
  unset      Remove what stands at a path, so that it inherits again.
  diff       Show how a file differs from the store; exit 1 if it does.
  apply      Make the store hold what a file holds.
  service    Create a service for targets, or set one of its limits.
  quota      Set how many tasks of a team may run at once over the fleet.

Fleet:
  status     Entry daemons, targets, queues, and the revision in force where.
  drain      Let a target get no new work, or an entry daemon end gracefully.
  undrain    Let a target get work again.

Work:
  submit     Submit a single request and wait for its answer.
  job        Submit a job whose tasks are a JSON list in a file.
  look       Tell how a submission stands.
  cancel     Cancel submissions, many at once.

Options:
  --store URL       The key-value service; else CARAWAYSAIL_STORE.
  --entry URL       An entry daemon; else CARAWAYSAIL_ENTRY.
  --json            Print JSON.
  --payload JSON    Payload of a request.
  --id ID           Identifier of a submission: an owner token, ~, your own part.
  --deadline MS     Time to answer, in milliseconds.
  --kind KIND       Kind of job.
  --idempotent      The request may run more than once.
  -h --help         Show this text.

Exit codes: 0 done; 1 done, but the answer is negative (a job that failed, a change
not yet in force everywhere, files that differ); 2 input not accepted; 3 somebody
else changed it first; 4 store or daemon unavailable; 5 it cannot be told.
"""

import json
import os
import sys
import typing

import docopt

from carawaysail_cli import (
    daemons,
    errors,
    fleet_commands,
    registry,
    service_commands,
    settings_commands,
    stored,
    work_commands,
)
from carawaysail_platform import errors as platform_errors
from carawaysail_platform import keyvalue
from carawaysail_types import errors as type_errors

COMMAND_MODULES = (settings_commands, service_commands, fleet_commands, work_commands)
"""Modules whose import fills the registry of commands."""

_EXITS: dict[type[type_errors.CarawaysailError], registry.Exit] = {
    platform_errors.WriteConflictError: registry.Exit.CONFLICT,
    platform_errors.StoreUnavailableError: registry.Exit.UNAVAILABLE,
    platform_errors.WriteUncertainError: registry.Exit.UNCERTAIN,
    errors.DaemonUnavailableError: registry.Exit.UNAVAILABLE,
}

_ADVICE: dict[type[type_errors.CarawaysailError], str] = {
    platform_errors.StoreUnavailableError: "check --store and try again",
    platform_errors.WriteUncertainError: "look with 'show' before you try again",
}


class _LateStore:
    """Opens the store when a command first uses it, so that others need none."""

    def __init__(self, url: str) -> None:
        self._url = url

    def __getattr__(self, name: str) -> typing.Any:
        if not self._url:
            raise errors.NotConfiguredError("--store URL", "CARAWAYSAIL_STORE")
        return getattr(keyvalue.HttpKeyValue(self._url), name)


def find_command(args: registry.Arguments) -> str:
    """Return the name of the command that the arguments choose."""
    words = [word for word in args if word.isalpha() and args[word] is True]
    return max(
        (name for name in registry.commands.names() if set(name.split()) <= set(words)),
        key=len,
    )


def run(argv: list[str]) -> int:
    """Run one command and return its exit code.

    Parameters
    ----------
    argv : list of str
        Arguments, without the program's name.
    """
    try:
        args = docopt.docopt(__doc__, argv)
    except docopt.DocoptExit:
        print(
            "carawaysail: these arguments fit no command; see carawaysail --help",
            file=sys.stderr,
        )
        return registry.Exit.BAD_INPUT
    store_url = args["--store"] or os.environ.get("CARAWAYSAIL_STORE", "")
    entry_url = args["--entry"] or os.environ.get("CARAWAYSAIL_ENTRY", "")
    context = registry.Context(
        stored.SettingsStore(typing.cast(keyvalue.KeyValue, _LateStore(store_url))),
        daemons.Daemons(entry_url.rstrip("/")),
    )
    try:
        result = registry.commands.get(find_command(args))(context, args)
    except type_errors.CarawaysailError as exc:
        return _fail(exc, args["--json"])
    print(json.dumps(result.value) if args["--json"] else result.text)
    return result.exit


def _fail(exc: type_errors.CarawaysailError, as_json: bool) -> int:
    advice = _ADVICE.get(type(exc), "")
    sentence = f"{exc}; {advice}" if advice else str(exc)
    if as_json:
        print(json.dumps({"error": exc.tag, "detail": sentence}))
    print(f"carawaysail: {sentence}", file=sys.stderr)
    for kind, code in _EXITS.items():
        if isinstance(exc, kind):
            return code
    return registry.Exit.BAD_INPUT


def main() -> None:
    """Run the command that the program's arguments name."""
    sys.exit(run(sys.argv[1:]))
