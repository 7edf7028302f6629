"""Typed errors of the settings library."""

import dataclasses
import difflib

from carawaysail_types import errors


@dataclasses.dataclass(eq=False)
class SettingRejectedError(errors.CarawaysailError):
    """A value of the settings tree or of a settings file is not accepted.

    Parameters
    ----------
    path : str
        Path of the value; for a settings file, its name and the key.
    value : object
        The value.
    accepted : str
        Description of the accepted values.
    """

    path: str
    value: object
    accepted: str

    def __str__(self) -> str:
        """Return a sentence with the path, the value and the accepted values."""
        return f"{self.path} is {self.value!r}; accepted: {self.accepted}"


@dataclasses.dataclass(eq=False)
class UnknownKeyError(errors.CarawaysailError):
    """An object has a key that is not accepted at its path.

    Parameters
    ----------
    path : str
        Path of the object, or name of the settings file.
    name : str
        The key.
    accepted : tuple of str
        Keys that are accepted there.
    """

    path: str
    name: str
    accepted: tuple[str, ...]

    def __str__(self) -> str:
        """Return a sentence with the key, a similar key and the accepted keys."""
        similar = difflib.get_close_matches(self.name, self.accepted, n=1)
        hint = f" did you mean {similar[0]!r}?" if similar else ""
        names = ", ".join(self.accepted)
        return f"{self.path}: unknown key {self.name!r};{hint} accepted: {names}"


@dataclasses.dataclass(eq=False)
class NoSuchPathError(errors.CarawaysailError):
    """The tree has no value or object at a path.

    Parameters
    ----------
    path : str
        The path, or the name of a service.
    accepted : tuple of str
        Names that exist at the last object that was found.
    """

    path: str
    accepted: tuple[str, ...]

    def __str__(self) -> str:
        """Return a sentence with the path, a similar name and the names that exist."""
        similar = difflib.get_close_matches(
            self.path.split("/")[-1], self.accepted, n=1
        )
        hint = f" did you mean {similar[0]!r}?" if similar else ""
        names = ", ".join(self.accepted) or "nothing"
        return f"the tree has no {self.path!r};{hint} there is: {names}"


@dataclasses.dataclass(eq=False)
class BadTextError(errors.CarawaysailError):
    """A text cannot be parsed, or does not have the expected structure.

    Parameters
    ----------
    source : str
        Name of the text, such as a file or a section.
    detail : str
        What is wrong with it.
    """

    source: str
    detail: str

    def __str__(self) -> str:
        """Return a sentence with the source and the detail."""
        return f"{self.source} cannot be read: {self.detail}"
