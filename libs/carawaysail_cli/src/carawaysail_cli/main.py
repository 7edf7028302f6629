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
  check      Check a settings file without writing anything.
  show       Show what the store holds at a path such as teams/ventas.
  explain    Show the effective value of a key at a path, and which path sets
             it; the path of the root is written "".
  set        Set the value at a path: JSON, or a string if it is not JSON.
  unset      Remove the value at a path, so that it is inherited again.
  diff       Show how a file differs from the store; exit 1 if it does.
  apply      Replace the settings in the store by those of a file.
  service    Create a service for targets, or set one of its limits.
  quota      Set how many tasks of a team may run at once in the whole fleet.

Fleet:
  status     Show entry daemons, their queues and settings revision, and targets.
  drain      Send no new tasks to a target, or end an entry daemon gracefully.
  undrain    Send new tasks to a target again.

Work:
  submit     Submit a single request and wait for its answer.
  job        Submit a job whose tasks are a JSON list in a file.
  look       Show the status of a submission.
  cancel     Cancel one or more submissions.

Options:
  --store URL       URL of the key-value service; else CARAWAYSAIL_STORE.
  --entry URL       URL of an entry daemon; else CARAWAYSAIL_ENTRY.
  --json            Print JSON.
  --payload JSON    Payload of a request.
  --id ID           Identifier of the submission: an owner token, ~ and your own part.
  --deadline MS     Deadline of the answer, in milliseconds from now.
  --kind KIND       Kind of job.
  --idempotent      The request may run more than once.
  -h --help         Show this text.

Exit codes: 0 success; 1 done, but with a negative result (a job that failed, a change
not yet in force everywhere, files that differ); 2 input not accepted; 3 another writer
changed the settings first; 4 store or daemon unavailable; 5 result unknown.
"""

import json
import os
import sys
import typing

import docopt

from carawaysail_cli import (
    daemon_client,
    errors,
    fleet_commands,
    registry,
    service_commands,
    settings_commands,
    settings_store,
    work_commands,
)
from carawaysail_platform import errors as platform_errors
from carawaysail_platform import keyvalue
from carawaysail_types import errors as type_errors

COMMAND_MODULES = (settings_commands, service_commands, fleet_commands, work_commands)
"""Modules that register the commands when they are imported."""

_EXIT_CODES: dict[type[type_errors.CarawaysailError], registry.ExitCode] = {
    platform_errors.WriteConflictError: registry.ExitCode.CONFLICT,
    platform_errors.StoreUnavailableError: registry.ExitCode.UNAVAILABLE,
    platform_errors.WriteUncertainError: registry.ExitCode.UNCERTAIN,
    errors.DaemonUnavailableError: registry.ExitCode.UNAVAILABLE,
}

_ADVICE: dict[type[type_errors.CarawaysailError], str] = {
    platform_errors.StoreUnavailableError: "check --store and try again",
    platform_errors.WriteUncertainError: "check with 'show' before you try again",
}


class _LazyStore:
    """Key-value service that is opened on use.

    Commands that do not use the settings need no ``--store``.
    """

    def __init__(self, url: str) -> None:
        self._url = url

    def __getattr__(self, name: str) -> typing.Any:
        if not self._url:
            raise errors.NotConfiguredError("--store URL", "CARAWAYSAIL_STORE")
        return getattr(keyvalue.HttpKeyValue(self._url), name)


def find_command(args: registry.Arguments) -> str:
    """Return the name of the command in the arguments.

    A name may have several words; the longest match wins.
    """
    words = [word for word in args if word.isalpha() and args[word] is True]
    return max(
        (name for name in registry.commands.names() if set(name.split()) <= set(words)),
        key=len,
    )


def run(argv: list[str]) -> int:
    """Run one command, print its result and return its exit code.

    Parameters
    ----------
    argv : list of str
        Arguments, without the name of the program.
    """
    try:
        args = docopt.docopt(__doc__, argv)
    except docopt.DocoptExit:
        print(
            "carawaysail: invalid arguments; see carawaysail --help",
            file=sys.stderr,
        )
        return registry.ExitCode.BAD_INPUT
    store_url = args["--store"] or os.environ.get("CARAWAYSAIL_STORE", "")
    entry_url = args["--entry"] or os.environ.get("CARAWAYSAIL_ENTRY", "")
    context = registry.Context(
        settings_store.SettingsStore(
            typing.cast(keyvalue.KeyValue, _LazyStore(store_url))
        ),
        daemon_client.DaemonClient(entry_url.rstrip("/")),
    )
    try:
        result = registry.commands.get(find_command(args))(context, args)
    except type_errors.CarawaysailError as exc:
        return _report_error(exc, args["--json"])
    print(json.dumps(result.value) if args["--json"] else result.text)
    return result.exit_code


def _report_error(exc: type_errors.CarawaysailError, as_json: bool) -> int:
    """Print an error, and return its exit code."""
    advice = _ADVICE.get(type(exc), "")
    sentence = f"{exc}; {advice}" if advice else str(exc)
    if as_json:
        print(json.dumps({"error": exc.tag, "detail": sentence}))
    print(f"carawaysail: {sentence}", file=sys.stderr)
    for error_class, code in _EXIT_CODES.items():
        if isinstance(exc, error_class):
            return code
    return registry.ExitCode.BAD_INPUT


def main() -> None:
    """Run the command in the arguments of the process, and exit."""
    sys.exit(run(sys.argv[1:]))
