"""The shape of the tree of settings and the check of a whole tree."""

import typing

from carawaysail_settings import checks, errors, keys
from carawaysail_types import identifiers

Settings = dict[str, keys.Scalar]

TARGET_KINDS = ("runner", "worker")


class Job(typing.TypedDict, total=False):
    """A kind of job of a service."""

    settings: Settings


class Service(typing.TypedDict, total=False):
    """A service, with the kinds of job that it submits."""

    settings: Settings
    jobs: dict[str, Job]


class Team(typing.TypedDict, total=False):
    """A team, with its services."""

    settings: Settings
    services: dict[str, Service]


class Target(typing.TypedDict, total=False):
    """A runner or a worker: where it is and which services it serves."""

    settings: Settings
    kind: str
    url: str
    services: list[str]


class Rack(typing.TypedDict, total=False):
    """A rack with its targets."""

    settings: Settings
    targets: dict[str, Target]


class Entry(typing.TypedDict, total=False):
    """An entry daemon's addresses, each ``host:port``."""

    caller: str
    peer: str


class Place(typing.TypedDict, total=False):
    """A data centre with its entry daemons and racks."""

    settings: Settings
    entries: dict[str, Entry]
    racks: dict[str, Rack]


class Tree(typing.TypedDict, total=False):
    """The whole tree."""

    settings: Settings
    teams: dict[str, Team]
    places: dict[str, Place]


class Level(typing.NamedTuple):
    """What an object at one level of the tree may hold.

    Parameters
    ----------
    name : str
        Name of the level, as ``keys.Key.levels`` has it.
    children : dict of str to str
        Field to the level of the objects in it.
    texts : tuple of str
        Fields that hold a text.
    """

    name: str
    children: dict[str, str]
    texts: tuple[str, ...] = ()


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
    """Return a checked tree.

    Parameters
    ----------
    value : object
        A tree as parsed from JSON.

    Raises
    ------
    errors.SettingRejectedError, errors.UnknownKeyError
        At the first offending path.
    """
    _check_node("", LEVELS["root"], value)
    tree = typing.cast(Tree, value)
    _check_services(tree)
    _check_unique_targets(tree)
    return tree


def check_section(path: str, value: object) -> None:
    """Check one section of the tree, such as ``teams/ventas``, on its own.

    Raises
    ------
    errors.SettingRejectedError, errors.UnknownKeyError
        At the first offending path.
    """
    levels = {"root": "root", "teams": "team", "places": "place"}
    head = path.split("/")[0]
    _check_node(path, LEVELS[levels[head]], value)


def _check_node(path: str, level: Level, value: object) -> None:
    if not isinstance(value, dict):
        raise errors.SettingRejectedError(path or "the tree", value, "an object")
    accepted = _fields(level)
    for name, child in value.items():
        where = f"{path}/{name}" if path else name
        if name not in accepted:
            raise errors.UnknownKeyError(path or "the tree", name, accepted)
        if name == "settings":
            _check_settings(where, level, child)
        elif name in level.children:
            _check_children(where, LEVELS[level.children[name]], child)
        else:
            _check_field(where, name, child)


def _fields(level: Level) -> tuple[str, ...]:
    own = ("services",) if level.name == "target" else ()
    holds_settings = level.name != "entry"
    settings = ("settings",) if holds_settings else ()
    return settings + tuple(level.children) + level.texts + own


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
    accepted = keys.at_level(level.name)
    for name, scalar in value.items():
        if name not in accepted:
            raise errors.UnknownKeyError(path, name, accepted)
        checks.check(f"{path}/{name}", keys.keys.get(name), scalar)


def _check_field(path: str, name: str, value: object) -> None:
    if name == "services":
        texts = isinstance(value, list) and all(isinstance(x, str) for x in value)
        if not texts:
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


def _check_services(tree: Tree) -> None:
    owners: dict[str, str] = {}
    for team_name, team in tree.get("teams", {}).items():
        for name in team.get("services", {}):
            path = f"teams/{team_name}/services/{name}"
            if name in owners:
                accepted = f"a name that {owners[name]} does not use"
                raise errors.SettingRejectedError(path, name, accepted)
            owners[name] = path


def _check_unique_targets(tree: Tree) -> None:
    seen: dict[str, str] = {}
    for place_name, place in tree.get("places", {}).items():
        for rack_name, rack in place.get("racks", {}).items():
            for name in rack.get("targets", {}):
                path = f"places/{place_name}/racks/{rack_name}/targets/{name}"
                if name in seen:
                    accepted = f"a name that {seen[name]} does not use"
                    raise errors.SettingRejectedError(path, name, accepted)
                seen[name] = path
