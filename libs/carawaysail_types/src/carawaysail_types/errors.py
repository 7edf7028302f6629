"""Typed errors shared by all libraries.

Every error is a dataclass with fields; its text names the offending value and what
would have been accepted.
"""

import dataclasses


class CarawaysailError(Exception):
    """Base of every error that the system raises on purpose."""

    @property
    def tag(self) -> str:
        """Stable machine-readable name of the error."""
        return type(self).__name__


@dataclasses.dataclass(eq=False)
class UnknownNameError(CarawaysailError):
    """A registry was asked for a name that nobody registered."""

    registry: str
    name: str
    accepted: tuple[str, ...]

    def __str__(self) -> str:
        """Return a sentence with the name and the accepted ones."""
        names = ", ".join(self.accepted) or "none"
        return f"{self.registry} has no {self.name!r}; registered: {names}"


@dataclasses.dataclass(eq=False)
class DuplicateNameError(CarawaysailError):
    """A registry was given the same name twice."""

    registry: str
    name: str

    def __str__(self) -> str:
        """Return a sentence with the name."""
        return f"{self.registry} already has {self.name!r}"


@dataclasses.dataclass(eq=False)
class BadInputError(CarawaysailError):
    """A field of an input has a value that is not accepted."""

    field: str
    value: object
    accepted: str

    def __str__(self) -> str:
        """Return a sentence with the field, its value and what is accepted."""
        shown = repr(self.value)
        if len(shown) > MAX_SHOWN_CHARACTERS:
            shown = shown[:MAX_SHOWN_CHARACTERS] + "..."
        return f"{self.field} is {shown}; accepted: {self.accepted}"


MAX_SHOWN_CHARACTERS = 80
