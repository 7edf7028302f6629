"""Typed errors of the command line."""

import dataclasses

from carawaysail_types import errors


@dataclasses.dataclass(eq=False)
class DaemonUnavailableError(errors.CarawaysailError):
    """An entry daemon did not answer."""

    url: str
    detail: str

    def __str__(self) -> str:
        """Return a sentence that says what to do."""
        return (
            f"the entry daemon at {self.url} did not answer ({self.detail}); "
            "check --entry, or ask another daemon"
        )


@dataclasses.dataclass(eq=False)
class NotConfiguredError(errors.CarawaysailError):
    """An address that a command needs was not given."""

    option: str
    variable: str

    def __str__(self) -> str:
        """Return a sentence that says what to do."""
        return f"give {self.option}, or set {self.variable}"


@dataclasses.dataclass(eq=False)
class FileUnreadableError(errors.CarawaysailError):
    """A file cannot be read."""

    path: str
    detail: str

    def __str__(self) -> str:
        """Return a sentence that says what to do."""
        return f"cannot read {self.path}: {self.detail}"
