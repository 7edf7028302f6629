"""Edit the settings tree by path, and compare two trees."""

import copy
import typing

from carawaysail_settings import errors, tree


class Change(typing.NamedTuple):
    """One path whose value differs between two trees.

    Parameters
    ----------
    path : str
        Path of the value, such as ``teams/ventas/settings/weight``.
    before, after : object
        The value in each tree; ``None`` where the tree does not have the path.
    """

    path: str
    before: object
    after: object


def set_value(cfg: tree.Tree, path: str, value: object) -> tree.Tree:
    """Return a checked copy of a tree in which a path has a new value.

    Missing objects along the path are created, so that one edit adds a service or a
    target.

    Raises
    ------
    errors.NoSuchPathError
        If the path is empty or leads through a value that is not an object.
    errors.SettingRejectedError, errors.UnknownKeyError
        If the new tree does not pass ``tree.check_tree``.
    """
    changed, parent, name = _copy_and_find_parent(cfg, path, create=True)
    parent[name] = value
    return tree.check_tree(changed)


def remove_value(cfg: tree.Tree, path: str) -> tree.Tree:
    """Return a checked copy of a tree without the value or object at a path.

    Raises
    ------
    errors.NoSuchPathError
        If the tree has no such path.
    errors.SettingRejectedError, errors.UnknownKeyError
        If the new tree does not pass ``tree.check_tree``.
    """
    changed, parent, name = _copy_and_find_parent(cfg, path, create=False)
    if name not in parent:
        raise errors.NoSuchPathError(path, tuple(parent))
    del parent[name]
    return tree.check_tree(changed)


def get_value(cfg: tree.Tree, path: str) -> typing.Any:
    """Return the value or object at a path; the whole tree for an empty path.

    Raises
    ------
    errors.NoSuchPathError
        If the tree has no such path.
    """
    node: typing.Any = cfg
    segments = [segment for segment in path.split("/") if segment]
    for position, segment in enumerate(segments):
        if not isinstance(node, dict) or segment not in node:
            accepted = tuple(node) if isinstance(node, dict) else ()
            raise errors.NoSuchPathError("/".join(segments[: position + 1]), accepted)
        node = node[segment]
    return node


def diff(before: object, after: object, path: str = "") -> list[Change]:
    """Return the paths that differ, sorted.

    Parameters
    ----------
    before, after : object
        Two trees, or two values of the same path.
    path : str
        Path of the two values; empty for whole trees.

    Examples
    --------
    >>> diff({"a": 1}, {"a": 2})
    [Change(path='a', before=1, after=2)]
    """
    if isinstance(before, dict) and isinstance(after, dict):
        changes = []
        for name in sorted(set(before) | set(after)):
            child_path = f"{path}/{name}" if path else name
            changes += diff(before.get(name), after.get(name), child_path)
        return changes
    return [] if before == after else [Change(path, before, after)]


def _copy_and_find_parent(
    cfg: tree.Tree, path: str, create: bool
) -> tuple[typing.Any, dict[str, typing.Any], str]:
    """Return a deep copy of a tree, and parent and name of the path's object in it.

    Parameters
    ----------
    cfg : tree.Tree
        The tree to copy.
    path : str
        Path of a value or object.
    create : bool
        Whether missing objects along the path are created.

    Raises
    ------
    errors.NoSuchPathError
        If the path is empty, leads through a value that is not an object, or, unless
        ``create``, through one that the tree does not have.
    """
    segments = [segment for segment in path.split("/") if segment]
    if not segments:
        raise errors.NoSuchPathError(path, tuple(cfg))
    changed: typing.Any = copy.deepcopy(cfg)
    node = changed
    for segment in segments[:-1]:
        if create and isinstance(node, dict):
            node.setdefault(segment, {})
        if not isinstance(node, dict) or segment not in node:
            raise errors.NoSuchPathError(path, tuple(node) if node else ())
        node = node[segment]
    if not isinstance(node, dict):
        raise errors.NoSuchPathError(path, ())
    return changed, node, segments[-1]
