"""Typed errors of the command line."""

import dataclasses

from carawaysail_types import errors


@dataclasses.dataclass(eq=False)
class DaemonUnavailableError(errors.CarawaysailError):
    """An entry daemon did not answer, or its answer is not JSON.

    Parameters
    ----------
    url : str
        Address of the daemon.
    detail : str
        What went wrong.
    """

    url: str
    detail: str

    def __str__(self) -> str:
        """Return a sentence with the error and what the operator can do."""
        return (
            f"the entry daemon at {self.url} did not answer ({self.detail}); "
            "check --entry, or use another daemon"
        )


@dataclasses.dataclass(eq=False)
class NotConfiguredError(errors.CarawaysailError):
    """An address that the command needs is not configured.

    Parameters
    ----------
    option : str
        Option that sets it.
    variable : str
        Environment variable that sets it.
    """

    option: str
    variable: str

    def __str__(self) -> str:
        """Return a sentence with the error and what the operator can do."""
        return f"give {self.option}, or set {self.variable}"


@dataclasses.dataclass(eq=False)
class FileUnreadableError(errors.CarawaysailError):
    """A file cannot be read.

    Parameters
    ----------
    path : str
        Path of the file.
    detail : str
        What went wrong.
    """

    path: str
    detail: str

    def __str__(self) -> str:
        """Return a sentence with the error and what the operator can do."""
        return f"cannot read {self.path}: {self.detail}"
