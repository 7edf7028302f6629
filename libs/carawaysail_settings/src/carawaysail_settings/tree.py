"""Types of the settings tree, and the check of a tree or a section."""

import typing

from carawaysail_settings import checks, errors, keys
from carawaysail_types import identifiers

Settings = dict[str, keys.Scalar]
"""Value by name of the key, for the keys that an object sets itself."""

TARGET_KINDS = ("runner", "worker")


class JobKind(typing.TypedDict, total=False):
    """One kind of job of a service."""

    settings: Settings


class Service(typing.TypedDict, total=False):
    """A service with its kinds of job, by name."""

    settings: Settings
    jobs: dict[str, JobKind]


class Team(typing.TypedDict, total=False):
    """A team with its services, by name."""

    settings: Settings
    services: dict[str, Service]


class Target(typing.TypedDict, total=False):
    """A runner or a worker: its kind, its address and the services that it serves.

    ``kind`` is one of ``TARGET_KINDS``; ``url`` is ``http://host:port``.
    """

    settings: Settings
    kind: str
    url: str
    services: list[str]


class Rack(typing.TypedDict, total=False):
    """A rack with its targets, by name."""

    settings: Settings
    targets: dict[str, Target]


class EntryDaemon(typing.TypedDict, total=False):
    """Addresses of an entry daemon, each ``host:port``.

    The daemon serves callers at ``caller`` over HTTP, and other daemons at ``peer``.
    """

    caller: str
    peer: str


class DataCentre(typing.TypedDict, total=False):
    """A data centre with its entry daemons and racks, by name."""

    settings: Settings
    entries: dict[str, EntryDaemon]
    racks: dict[str, Rack]


class Tree(typing.TypedDict, total=False):
    """The whole tree: settings of the root, teams and data centres by name."""

    settings: Settings
    teams: dict[str, Team]
    places: dict[str, DataCentre]


class Level(typing.NamedTuple):
    """Fields that an object at one level of the tree may have.

    Parameters
    ----------
    name : str
        Name of the level, as in ``keys.Key.levels``.
    children : dict of str to str
        For each field that holds named child objects, the level of these objects.
    text_fields : tuple of str
        Fields whose value is a string.
    """

    name: str
    children: dict[str, str]
    text_fields: tuple[str, ...] = ()


LEVELS: dict[str, Level] = {
    "root": Level("root", {"teams": "team", "places": "place"}),
    "team": Level("team", {"services": "service"}),
    "service": Level("service", {"jobs": "job"}),
    "job": Level("job", {}),
    "place": Level("place", {"racks": "rack", "entries": "entry"}),
    "rack": Level("rack", {"targets": "target"}),
    "target": Level("target", {}, ("kind", "url")),
    "entry": Level("entry", {}, ("caller", "peer")),
}


def check_tree(value: object) -> Tree:
    """Check a whole tree and return it.

    A service name must be unique in all teams, a target name in all data centres.

    Parameters
    ----------
    value : object
        A tree as parsed from JSON.

    Raises
    ------
    errors.SettingRejectedError, errors.UnknownKeyError
        At the first path that is not accepted.
    """
    _check_node("", LEVELS["root"], value)
    tree = typing.cast(Tree, value)
    _check_unique_services(tree)
    _check_unique_targets(tree)
    return tree


def check_section(path: str, value: object) -> None:
    """Check one section of the tree without the others.

    Parameters
    ----------
    path : str
        Name of the section, such as ``teams/ventas``.
    value : object
        The section as parsed from JSON.

    Raises
    ------
    errors.SettingRejectedError, errors.UnknownKeyError
        At the first path that is not accepted.
    KeyError
        If the name starts with none of ``root``, ``teams`` and ``places``.
    """
    levels = {"root": "root", "teams": "team", "places": "place"}
    group = path.split("/")[0]
    _check_node(path, LEVELS[levels[group]], value)


def _check_node(path: str, level: Level, value: object) -> None:
    if not isinstance(value, dict):
        raise errors.SettingRejectedError(path or "the tree", value, "an object")
    accepted = _accepted_fields(level)
    for name, child in value.items():
        child_path = f"{path}/{name}" if path else name
        if name not in accepted:
            raise errors.UnknownKeyError(path or "the tree", name, accepted)
        if name == "settings":
            _check_settings(child_path, level, child)
        elif name in level.children:
            _check_children(child_path, LEVELS[level.children[name]], child)
        else:
            _check_field(child_path, name, child)


def _accepted_fields(level: Level) -> tuple[str, ...]:
    services = ("services",) if level.name == "target" else ()
    has_settings = level.name != "entry"
    settings = ("settings",) if has_settings else ()
    return settings + tuple(level.children) + level.text_fields + services


def _check_children(path: str, level: Level, value: object) -> None:
    if not isinstance(value, dict):
        raise errors.SettingRejectedError(path, value, "an object of named entries")
    for name, child in value.items():
        if identifiers.NAME_PATTERN.fullmatch(name) is None:
            accepted = "a name of a-z, 0-9 and -, at most 63 long"
            raise errors.SettingRejectedError(path, name, accepted)
        _check_node(f"{path}/{name}", level, child)


def _check_settings(path: str, level: Level, value: object) -> None:
    if not isinstance(value, dict):
        raise errors.SettingRejectedError(path, value, "an object")
    accepted = keys.names_at_level(level.name)
    for name, scalar in value.items():
        if name not in accepted:
            raise errors.UnknownKeyError(path, name, accepted)
        checks.check(f"{path}/{name}", keys.keys.get(name), scalar)


def _check_field(path: str, name: str, value: object) -> None:
    if name == "services":
        is_valid = isinstance(value, list) and all(isinstance(x, str) for x in value)
        if not is_valid:
            raise errors.SettingRejectedError(path, value, "a list of service names")
    elif name == "kind":
        if value not in TARGET_KINDS:
            raise errors.SettingRejectedError(path, value, ", ".join(TARGET_KINDS))
    elif name == "url":
        if not isinstance(value, str) or not value.startswith(("http://", "https://")):
            raise errors.SettingRejectedError(path, value, "http://host:port")
    elif not _is_address(value):
        raise errors.SettingRejectedError(path, value, "host:port")


def _is_address(value: object) -> bool:
    if not isinstance(value, str):
        return False
    host, separator, port = value.rpartition(":")
    return bool(host and separator) and port.isdigit() and 0 < int(port) < 65536


def _check_unique_services(tree: Tree) -> None:
    paths: dict[str, str] = {}
    for team_name, team in tree.get("teams", {}).items():
        for name in team.get("services", {}):
            path = f"teams/{team_name}/services/{name}"
            if name in paths:
                accepted = f"a name that {paths[name]} does not use"
                raise errors.SettingRejectedError(path, name, accepted)
            paths[name] = path


def _check_unique_targets(tree: Tree) -> None:
    paths: dict[str, str] = {}
    for data_centre_name, data_centre in tree.get("places", {}).items():
        for rack_name, rack in data_centre.get("racks", {}).items():
            for name in rack.get("targets", {}):
                path = f"places/{data_centre_name}/racks/{rack_name}/targets/{name}"
                if name in paths:
                    accepted = f"a name that {paths[name]} does not use"
                    raise errors.SettingRejectedError(path, name, accepted)
                paths[name] = path
