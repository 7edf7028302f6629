"""Typed errors that all libraries share.

Every error is a dataclass; its text names the rejected value and what is accepted.
"""

import dataclasses


class CarawaysailError(Exception):
    """Base class of all errors that the system raises on purpose."""

    @property
    def tag(self) -> str:
        """Stable machine-readable name of the error: the name of its class."""
        return type(self).__name__


@dataclasses.dataclass(eq=False)
class UnknownNameError(CarawaysailError):
    """A name is not registered in a registry.

    Parameters
    ----------
    registry : str
        Kind of the registry's items.
    name : str
        Name that was looked up.
    accepted : tuple of str
        All registered names.
    """

    registry: str
    name: str
    accepted: tuple[str, ...]

    def __str__(self) -> str:
        """Return a sentence with the name and all registered names."""
        names = ", ".join(self.accepted) or "none"
        return f"{self.registry} has no {self.name!r}; registered: {names}"


@dataclasses.dataclass(eq=False)
class DuplicateNameError(CarawaysailError):
    """A name is registered in a registry already.

    Parameters
    ----------
    registry : str
        Kind of the registry's items.
    name : str
        Name that was to be registered again.
    """

    registry: str
    name: str

    def __str__(self) -> str:
        """Return a sentence with the name."""
        return f"{self.registry} already has {self.name!r}"


@dataclasses.dataclass(eq=False)
class BadInputError(CarawaysailError):
    """A field of an input has a value that is not accepted.

    Parameters
    ----------
    field : str
        Name of the field.
    value : object
        Rejected value; its text is cut to ``MAX_SHOWN_CHARACTERS``.
    accepted : str
        Description of the accepted values.
    """

    field: str
    value: object
    accepted: str

    def __str__(self) -> str:
        """Return a sentence with the field, its value and what is accepted."""
        try:
            value = repr(self.value)
        except (RecursionError, ValueError):
            # Too deeply nested, or an integer with too many digits.
            value = f"a {type(self.value).__name__} that cannot be shown"
        if len(value) > MAX_SHOWN_CHARACTERS:
            value = value[:MAX_SHOWN_CHARACTERS] + "..."
        return f"{self.field} is {value}; accepted: {self.accepted}"


MAX_SHOWN_CHARACTERS = 80
