"""Effective values: the value of a key at a path, own or inherited from above."""

import typing

from carawaysail_settings import errors, keys, tree


class EffectiveValue(typing.NamedTuple):
    """The value of a key at a path, and the path that sets it.

    Parameters
    ----------
    value : int, float, bool or str
        The value.
    path : str
        Path of the setting that it comes from; ``default`` where no level sets it.
    overridden : tuple of (str, value)
        Path and value of the settings of the same key at higher levels, the nearest
        level first.
    """

    value: keys.Scalar
    path: str
    overridden: tuple[tuple[str, keys.Scalar], ...] = ()


class ServiceMatch(typing.NamedTuple):
    """A service and the team that owns it.

    Parameters
    ----------
    team : str
        Name of the team.
    service : tree.Service
        The service.
    """

    team: str
    service: tree.Service


def find_service(cfg: tree.Tree, name: str) -> ServiceMatch | None:
    """Return a service and its team; ``None`` if no team has the service."""
    for team_name, team in cfg.get("teams", {}).items():
        services = team.get("services", {})
        if name in services:
            return ServiceMatch(team_name, services[name])
    return None


def service_path(cfg: tree.Tree, service: str, job: str = "") -> str:
    """Return the path of a service, or of one of its kinds of job.

    Parameters
    ----------
    cfg : tree.Tree
        A checked tree.
    service : str
        Name of the service.
    job : str
        Kind of job, or empty. For a kind that the tree does not list, the path is that
        of the service, so that such jobs use the settings of the service.

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


def resolve(cfg: tree.Tree, path: str, key: str) -> EffectiveValue:
    """Return the value of a key at a path, and where it is set.

    The level nearest to the path wins.

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
    >>> resolve({"settings": {"weight": 2.0}}, "", "weight").path
    'settings/weight'
    """
    known = keys.keys.get(key)
    found = []
    for node_path, node in reversed(_ancestors(cfg, path)):
        settings = node.get("settings", {})
        if key in settings:
            key_path = f"{node_path}/settings/{key}" if node_path else f"settings/{key}"
            found.append((key_path, settings[key]))
    if not found:
        return EffectiveValue(known.default, "default")
    return EffectiveValue(found[0][1], found[0][0], tuple(found[1:]))


def value(cfg: tree.Tree, path: str, key: str) -> keys.Scalar:
    """Return the value of a key at a path; arguments and errors as for ``resolve``."""
    return resolve(cfg, path, key).value


def integer(cfg: tree.Tree, path: str, key: str) -> int:
    """Return the value of a key at a path as an ``int``."""
    return int(value(cfg, path, key))


def number(cfg: tree.Tree, path: str, key: str) -> float:
    """Return the value of a key at a path as a ``float``."""
    return float(value(cfg, path, key))


def flag(cfg: tree.Tree, path: str, key: str) -> bool:
    """Return the value of a key at a path as a ``bool``."""
    return bool(value(cfg, path, key))


def _ancestors(cfg: tree.Tree, path: str) -> list[tuple[str, dict[str, typing.Any]]]:
    """Return path and object of each level from the root down to a path.

    Each level takes two segments of the path: the group, such as ``teams``, and the
    name of the object in it.

    Raises
    ------
    errors.NoSuchPathError
        If the tree has no such object.
    """
    node: dict[str, typing.Any] = typing.cast("dict[str, typing.Any]", cfg)
    levels = [("", node)]
    segments = [segment for segment in path.split("/") if segment]
    for position in range(0, len(segments), 2):
        pair = segments[position : position + 2]
        node_path = "/".join(segments[: position + 2])
        group = node.get(pair[0], {})
        if len(pair) < 2 or not isinstance(group, dict) or pair[1] not in group:
            names = tuple(group) if isinstance(group, dict) else ()
            raise errors.NoSuchPathError(node_path, names or tuple(node))
        node = group[pair[1]]
        levels.append((node_path, node))
    return levels
