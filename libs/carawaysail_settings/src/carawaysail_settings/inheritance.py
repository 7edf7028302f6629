"""Effective values: what an object of the tree inherits and where it comes from."""

import typing

from carawaysail_settings import errors, keys, tree


class Origin(typing.NamedTuple):
    """An effective value and where it comes from.

    Parameters
    ----------
    value : int, float, bool or str
        The value in force.
    path : str
        Path that sets it, or ``default``.
    overridden : tuple of (str, value)
        Paths above that set it too, nearest first.
    """

    value: keys.Scalar
    path: str
    overridden: tuple[tuple[str, keys.Scalar], ...] = ()


class Found(typing.NamedTuple):
    """A service with its team.

    Parameters
    ----------
    team : str
        Name of the team.
    service : tree.Service
        The service's object.
    """

    team: str
    service: tree.Service


def find_service(cfg: tree.Tree, name: str) -> Found | None:
    """Return a service and its team, or ``None`` where the tree has none."""
    for team_name, team in cfg.get("teams", {}).items():
        services = team.get("services", {})
        if name in services:
            return Found(team_name, services[name])
    return None


def service_path(cfg: tree.Tree, service: str, job: str = "") -> str:
    """Return the path of a service, or of one of its kinds of job.

    A kind of job that the tree does not list inherits as the service itself.

    Raises
    ------
    errors.NoSuchPathError
        If the tree has no such service.
    """
    found = find_service(cfg, service)
    if found is None:
        teams = cfg.get("teams", {}).values()
        names = [name for team in teams for name in team.get("services", {})]
        raise errors.NoSuchPathError(service, tuple(sorted(names)))
    path = f"teams/{found.team}/services/{service}"
    if job and job in found.service.get("jobs", {}):
        path += f"/jobs/{job}"
    return path


def explain(cfg: tree.Tree, path: str, key: str) -> Origin:
    """Return the value that a key has at a path, and its origin.

    Parameters
    ----------
    cfg : tree.Tree
        A checked tree.
    path : str
        Path of an object, such as ``teams/ventas/services/pedidos``; empty for the
        root.
    key : str
        Name of the key.

    Raises
    ------
    errors.NoSuchPathError
        If the tree has no such object.
    carawaysail_types.errors.UnknownNameError
        If no such key is registered.

    Examples
    --------
    >>> explain({"settings": {"weight": 2.0}}, "", "weight").path
    'settings/weight'
    """
    known = keys.keys.get(key)
    found = []
    for where, node in reversed(_chain(cfg, path)):
        settings = node.get("settings", {})
        if key in settings:
            at = f"{where}/settings/{key}" if where else f"settings/{key}"
            found.append((at, settings[key]))
    if not found:
        return Origin(known.default, "default")
    return Origin(found[0][1], found[0][0], tuple(found[1:]))


def value(cfg: tree.Tree, path: str, key: str) -> keys.Scalar:
    """Return the value that a key has at a path."""
    return explain(cfg, path, key).value


def integer(cfg: tree.Tree, path: str, key: str) -> int:
    """Return the value of a key that holds a whole number."""
    return int(value(cfg, path, key))


def number(cfg: tree.Tree, path: str, key: str) -> float:
    """Return the value of a key that holds a number."""
    return float(value(cfg, path, key))


def flag(cfg: tree.Tree, path: str, key: str) -> bool:
    """Return the value of a key that holds a truth value."""
    return bool(value(cfg, path, key))


def _chain(cfg: tree.Tree, path: str) -> list[tuple[str, dict[str, typing.Any]]]:
    node: dict[str, typing.Any] = typing.cast("dict[str, typing.Any]", cfg)
    chain = [("", node)]
    parts = [part for part in path.split("/") if part]
    for position in range(0, len(parts), 2):
        pair = parts[position : position + 2]
        where = "/".join(parts[: position + 2])
        group = node.get(pair[0], {})
        if len(pair) < 2 or not isinstance(group, dict) or pair[1] not in group:
            names = tuple(group) if isinstance(group, dict) else ()
            raise errors.NoSuchPathError(where, names or tuple(node))
        node = group[pair[1]]
        chain.append((where, node))
    return chain
