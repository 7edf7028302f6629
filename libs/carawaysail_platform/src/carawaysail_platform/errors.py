"""Typed errors of the platform's clients."""

import dataclasses

from carawaysail_types import errors


@dataclasses.dataclass(eq=False)
class StoreUnavailableError(errors.CarawaysailError):
    """The key-value service did not answer, or answered that it cannot."""

    url: str
    detail: str

    def __str__(self) -> str:
        """Return a sentence with the address and what went wrong."""
        return f"the key-value service at {self.url} is unavailable: {self.detail}"


@dataclasses.dataclass(eq=False)
class WriteUncertainError(errors.CarawaysailError):
    """A write was sent and its answer was lost: it may have taken effect."""

    key: str
    detail: str

    def __str__(self) -> str:
        """Return a sentence with the key and what went wrong."""
        return (
            f"the write of {self.key} may or may not have taken effect: {self.detail}"
        )


@dataclasses.dataclass(eq=False)
class WriteConflictError(errors.CarawaysailError):
    """Somebody else wrote the key first."""

    key: str
    expected: int
    found: int

    def __str__(self) -> str:
        """Return a sentence with the key and both revisions."""
        return (
            f"{self.key} is at revision {self.found}, not {self.expected}: "
            "somebody else changed it; look at the new value and try again"
        )


@dataclasses.dataclass(eq=False)
class BadAnswerError(errors.CarawaysailError):
    """An outside service answered with something that cannot be understood."""

    source: str
    detail: str

    def __str__(self) -> str:
        """Return a sentence with the source and what is wrong."""
        return f"{self.source} answered with something unusable: {self.detail}"


@dataclasses.dataclass(eq=False)
class HistoryLostError(errors.CarawaysailError):
    """A watch asked for changes that the key-value service has forgotten."""

    prefix: str
    after: int

    def __str__(self) -> str:
        """Return a sentence with the prefix and the revision."""
        return (
            f"the changes under {self.prefix} after revision {self.after} are "
            "forgotten: read all keys anew"
        )
