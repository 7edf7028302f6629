"""Sections: the subtrees that are stored, versioned and sent separately.

A change rewrites one section, so that a message carries a few kilobytes and the writes
of two operators conflict only if both edit the same team or data centre.
"""

import copy
import typing

from carawaysail_settings import errors, json_text, tree

ROOT = "root"
"""Name of the section with the ``settings`` object of the root."""

STORE_PREFIX = "carawaysail/settings/"
"""Key prefix of the sections in the platform's key-value service."""


class StoredSection(typing.NamedTuple):
    """The value of a section's key in the key-value service.

    Parameters
    ----------
    section : dict
        The section.
    writers : list of str
        Identifiers of its last writes, newest first. A writer that did not receive the
        response to its write looks for its own identifier here.
    """

    section: dict[str, typing.Any]
    writers: list[str]


def pack(stored: StoredSection) -> str:
    """Encode a section as the value of its key in the key-value service."""
    return json_text.compact(stored._asdict())


def unpack(name: str, value: str) -> StoredSection:
    """Decode the value of a section's key; the inverse of ``pack``.

    Parameters
    ----------
    name : str
        Name of the section, for errors.
    value : str
        Value from the key-value service.

    Raises
    ------
    errors.BadTextError
        If the value is not JSON, or not an object with exactly the fields of
        ``StoredSection``.
    """
    parsed = json_text.parse(name, value)
    if not isinstance(parsed, dict) or set(parsed) != set(StoredSection._fields):
        raise errors.BadTextError(name, "not an object of section and writers")
    return StoredSection(parsed["section"], parsed["writers"])


def split(cfg: tree.Tree) -> dict[str, dict[str, typing.Any]]:
    """Split a tree into its sections.

    Returns
    -------
    dict
        Section by name: ``root``, ``teams/<name>`` and ``places/<name>``.

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
    for name, data_centre in cfg.get("places", {}).items():
        found[f"places/{name}"] = typing.cast("dict[str, typing.Any]", data_centre)
    return found


def join(parts: dict[str, dict[str, typing.Any]]) -> tree.Tree:
    """Merge sections, by name, into a tree; the inverse of ``split``."""
    cfg: dict[str, typing.Any] = {"settings": {}, "teams": {}, "places": {}}
    for name, section in parts.items():
        if name == ROOT:
            cfg["settings"] = copy.deepcopy(section.get("settings", {}))
            continue
        group, _, child = name.partition("/")
        cfg[group][child] = copy.deepcopy(section)
    return typing.cast(tree.Tree, cfg)


def section_of(path: str) -> str:
    """Return the name of the section that contains a path of the tree."""
    segments = path.split("/")
    if segments[0] in {"teams", "places"} and len(segments) > 1:
        return "/".join(segments[:2])
    return ROOT
