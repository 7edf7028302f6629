"""Edits of a tree by path, and the difference of two trees."""

import copy
import typing

from carawaysail_settings import errors, tree


class Change(typing.NamedTuple):
    """One path that differs between two trees.

    Parameters
    ----------
    path : str
        Path of the value.
    before, after : object
        The values; ``None`` where the path is absent.
    """

    path: str
    before: object
    after: object


def put(cfg: tree.Tree, path: str, value: object) -> tree.Tree:
    """Return a copy of a tree with a value put at a path, checked.

    Objects on the way are created, so that a new service or target is one edit.

    Raises
    ------
    errors.SettingRejectedError, errors.UnknownKeyError
        If the new tree is not accepted.
    """
    changed, node, last = _reach(cfg, path, create=True)
    node[last] = value
    return tree.check_tree(changed)


def drop(cfg: tree.Tree, path: str) -> tree.Tree:
    """Return a copy of a tree without what stands at a path, checked.

    Raises
    ------
    errors.NoSuchPathError
        If nothing stands there.
    """
    changed, node, last = _reach(cfg, path, create=False)
    if last not in node:
        raise errors.NoSuchPathError(path, tuple(node))
    del node[last]
    return tree.check_tree(changed)


def look(cfg: tree.Tree, path: str) -> typing.Any:
    """Return what stands at a path.

    Raises
    ------
    errors.NoSuchPathError
        If nothing stands there.
    """
    node: typing.Any = cfg
    parts = [part for part in path.split("/") if part]
    for position, part in enumerate(parts):
        if not isinstance(node, dict) or part not in node:
            accepted = tuple(node) if isinstance(node, dict) else ()
            raise errors.NoSuchPathError("/".join(parts[: position + 1]), accepted)
        node = node[part]
    return node


def diff(before: object, after: object, path: str = "") -> list[Change]:
    """Return the paths that differ, in order.

    Examples
    --------
    >>> diff({"a": 1}, {"a": 2})
    [Change(path='a', before=1, after=2)]
    """
    if isinstance(before, dict) and isinstance(after, dict):
        found = []
        for name in sorted(set(before) | set(after)):
            where = f"{path}/{name}" if path else name
            found += diff(before.get(name), after.get(name), where)
        return found
    return [] if before == after else [Change(path, before, after)]


def _reach(
    cfg: tree.Tree, path: str, create: bool
) -> tuple[typing.Any, dict[str, typing.Any], str]:
    parts = [part for part in path.split("/") if part]
    if not parts:
        raise errors.NoSuchPathError(path, tuple(cfg))
    changed: typing.Any = copy.deepcopy(cfg)
    node = changed
    for part in parts[:-1]:
        if create and isinstance(node, dict):
            node.setdefault(part, {})
        if not isinstance(node, dict) or part not in node:
            raise errors.NoSuchPathError(path, tuple(node) if node else ())
        node = node[part]
    if not isinstance(node, dict):
        raise errors.NoSuchPathError(path, ())
    return changed, node, parts[-1]
