"""Sections: the parts of the tree that are stored, versioned and sent on their own.

A change rewrites one section, so that a message carries a few kilobytes and operators
conflict only where they edit the same team or place.
"""

import copy
import typing

from carawaysail_settings import errors, text, tree

ROOT = "root"

STORE_PREFIX = "carawaysail/settings/"
"""Prefix of the keys under which the platform's store holds the sections."""


class Stored(typing.NamedTuple):
    """A section as the store holds it.

    Parameters
    ----------
    section : dict
        The section.
    writers : list of str
        Identifiers of its last writes, by which a writer whose answer was lost
        recognises its own.
    """

    section: dict[str, typing.Any]
    writers: list[str]


def pack(stored: Stored) -> str:
    """Return the store's value of a section."""
    return text.compact(stored._asdict())


def unpack(name: str, value: str) -> Stored:
    """Return the section that a value of the store holds.

    Raises
    ------
    errors.BadTextError
        If the value holds none.
    """
    parsed = text.parse(name, value)
    if not isinstance(parsed, dict) or set(parsed) != set(Stored._fields):
        raise errors.BadTextError(name, "a value without section and writers")
    return Stored(parsed["section"], parsed["writers"])


def split(cfg: tree.Tree) -> dict[str, dict[str, typing.Any]]:
    """Return the sections of a tree by name.

    Returns
    -------
    dict
        ``root``, ``teams/<name>`` and ``places/<name>``, each with its object.

    Examples
    --------
    >>> sorted(split({"teams": {"ventas": {}}}))
    ['root', 'teams/ventas']
    """
    found: dict[str, dict[str, typing.Any]] = {
        ROOT: {"settings": dict(cfg.get("settings", {}))}
    }
    for name, team in cfg.get("teams", {}).items():
        found[f"teams/{name}"] = typing.cast("dict[str, typing.Any]", team)
    for name, place in cfg.get("places", {}).items():
        found[f"places/{name}"] = typing.cast("dict[str, typing.Any]", place)
    return found


def join(parts: dict[str, dict[str, typing.Any]]) -> tree.Tree:
    """Return the tree that sections make up; the inverse of ``split``."""
    cfg: dict[str, typing.Any] = {"settings": {}, "teams": {}, "places": {}}
    for name, value in parts.items():
        if name == ROOT:
            cfg["settings"] = copy.deepcopy(value.get("settings", {}))
            continue
        group, _, child = name.partition("/")
        cfg[group][child] = copy.deepcopy(value)
    return typing.cast(tree.Tree, cfg)


def name_of(path: str) -> str:
    """Return the section that a path of the tree belongs to."""
    parts = path.split("/")
    if parts[0] in {"teams", "places"} and len(parts) > 1:
        return "/".join(parts[:2])
    return ROOT
