"""Typed errors of the settings library."""

import dataclasses
import difflib

from carawaysail_types import errors


@dataclasses.dataclass(eq=False)
class SettingRejectedError(errors.CarawaysailError):
    """A value of the tree is not accepted."""

    path: str
    value: object
    accepted: str

    def __str__(self) -> str:
        """Return a sentence with the path, the value and what is accepted."""
        return f"{self.path} is {self.value!r}; accepted: {self.accepted}"


@dataclasses.dataclass(eq=False)
class UnknownKeyError(errors.CarawaysailError):
    """The tree has a key that its place does not know."""

    path: str
    name: str
    accepted: tuple[str, ...]

    def __str__(self) -> str:
        """Return a sentence with the key, a near match and the accepted keys."""
        near = difflib.get_close_matches(self.name, self.accepted, n=1)
        hint = f" did you mean {near[0]!r}?" if near else ""
        names = ", ".join(self.accepted)
        return f"{self.path}: unknown key {self.name!r};{hint} accepted: {names}"


@dataclasses.dataclass(eq=False)
class NoSuchPathError(errors.CarawaysailError):
    """A path names nothing in the tree."""

    path: str
    accepted: tuple[str, ...]

    def __str__(self) -> str:
        """Return a sentence with the path and what stands at its parent."""
        near = difflib.get_close_matches(self.path.split("/")[-1], self.accepted, n=1)
        hint = f" did you mean {near[0]!r}?" if near else ""
        names = ", ".join(self.accepted) or "nothing"
        return f"the tree has no {self.path!r};{hint} there is: {names}"


@dataclasses.dataclass(eq=False)
class BadTextError(errors.CarawaysailError):
    """A text is not JSON with comments."""

    source: str
    detail: str

    def __str__(self) -> str:
        """Return a sentence with the source and where it goes wrong."""
        return f"{self.source} is not JSON with comments: {self.detail}"
