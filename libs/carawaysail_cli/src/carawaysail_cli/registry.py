"""The registry of commands and what a command is given and gives back."""

import collections.abc
import enum
import typing

from carawaysail_cli import daemons, stored
from carawaysail_types import registry


class Exit(enum.IntEnum):
    """Exit codes of the command line."""

    OK = 0
    NEGATIVE = 1
    BAD_INPUT = 2
    CONFLICT = 3
    UNAVAILABLE = 4
    UNCERTAIN = 5


class Context(typing.NamedTuple):
    """What commands use.

    Parameters
    ----------
    store : stored.SettingsStore
        The settings in the platform's key-value service.
    daemons : daemons.Daemons
        The entry daemons.
    """

    store: stored.SettingsStore
    daemons: daemons.Daemons


class Result(typing.NamedTuple):
    """What a command gives back.

    Parameters
    ----------
    text : str
        For people.
    value : object
        For ``--json``.
    exit : Exit
        The exit code.
    """

    text: str
    value: object
    exit: Exit = Exit.OK


Arguments = dict[str, typing.Any]
Command = collections.abc.Callable[[Context, Arguments], Result]

commands: registry.Registry[Command] = registry.Registry("commands")
