"""Registries that decorators fill.

Examples
--------
>>> shapes = Registry("shapes")
>>> @shapes.register("square")
... class Square: ...
>>> shapes.get("square").__name__
'Square'
"""

import collections.abc
import typing

from carawaysail_types import errors

Item = typing.TypeVar("Item")


class Registry(typing.Generic[Item]):
    """Named items of one kind, such as routing policies or commands.

    Parameters
    ----------
    kind : str
        Kind of the items; named in error texts.
    """

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self._items: dict[str, Item] = {}

    def register(self, name: str) -> collections.abc.Callable[[typing.Any], typing.Any]:
        """Return a decorator that adds its argument under a name.

        Parameters
        ----------
        name : str
            Name of the item; unique in the registry.

        Raises
        ------
        errors.DuplicateNameError
            If the name is registered already; raised by the decorator.
        """

        def add(item: typing.Any) -> typing.Any:
            if name in self._items:
                raise errors.DuplicateNameError(self.kind, name)
            self._items[name] = item
            return item

        return add

    def get(self, name: str) -> Item:
        """Return the item that is registered under a name.

        Raises
        ------
        errors.UnknownNameError
            If no item is registered under the name.
        """
        if name not in self._items:
            raise errors.UnknownNameError(self.kind, name, self.names())
        return self._items[name]

    def names(self) -> tuple[str, ...]:
        """Return all registered names, sorted."""
        return tuple(sorted(self._items))

    def items(self) -> collections.abc.ItemsView[str, Item]:
        """Return names and items, in the order of registration."""
        return self._items.items()
