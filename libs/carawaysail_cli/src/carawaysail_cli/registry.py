"""Registry of the commands, with the types of their parameters and results."""

import collections.abc
import enum
import typing

from carawaysail_cli import daemon_client, settings_store
from carawaysail_types import registry


class ExitCode(enum.IntEnum):
    """Exit codes of the command line, as its help text describes them."""

    OK = 0
    NEGATIVE = 1
    BAD_INPUT = 2
    CONFLICT = 3
    UNAVAILABLE = 4
    UNCERTAIN = 5


class Context(typing.NamedTuple):
    """Clients that commands use.

    Parameters
    ----------
    store : settings_store.SettingsStore
        The settings in the platform's key-value service.
    daemon_client : daemon_client.DaemonClient
        Client of the entry daemons.
    """

    store: settings_store.SettingsStore
    daemon_client: daemon_client.DaemonClient


class CommandResult(typing.NamedTuple):
    """Result of a command.

    Parameters
    ----------
    text : str
        Output for people.
    value : object
        Output with ``--json``.
    exit_code : ExitCode
        Exit code of the process.
    """

    text: str
    value: object
    exit_code: ExitCode = ExitCode.OK


Arguments = dict[str, typing.Any]
"""Arguments as parsed by docopt: options, positional arguments and command words."""

Command = collections.abc.Callable[[Context, Arguments], CommandResult]

commands: registry.Registry[Command] = registry.Registry("commands")
