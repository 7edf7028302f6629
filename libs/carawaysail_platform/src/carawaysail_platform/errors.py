"""Typed errors of the clients of the platform's services."""

import dataclasses

from carawaysail_types import errors


@dataclasses.dataclass(eq=False)
class StoreUnavailableError(errors.CarawaysailError):
    """The key-value service did not answer, reported an error, or sent no valid answer.

    Parameters
    ----------
    url : str
        Address of the service.
    detail : str
        What went wrong.
    """

    url: str
    detail: str

    def __str__(self) -> str:
        """Return a sentence with the address and the detail."""
        return f"the key-value service at {self.url} is unavailable: {self.detail}"


@dataclasses.dataclass(eq=False)
class WriteUncertainError(errors.CarawaysailError):
    """A write was sent, but its response was lost: it may have taken effect.

    Parameters
    ----------
    key : str
        The key that was to be written.
    detail : str
        What went wrong.
    """

    key: str
    detail: str

    def __str__(self) -> str:
        """Return a sentence with the key and the detail."""
        return (
            f"the write of {self.key} may or may not have taken effect: {self.detail}"
        )


@dataclasses.dataclass(eq=False)
class WriteConflictError(errors.CarawaysailError):
    """A compare-and-swap failed: the key has another revision than expected.

    Parameters
    ----------
    key : str
        The key that was to be written.
    expected, found : int
        The revision that the writer expected, and the current one; 0 for a key that
        does not exist.
    """

    key: str
    expected: int
    found: int

    def __str__(self) -> str:
        """Return a sentence with the key and both revisions."""
        return (
            f"{self.key} is at revision {self.found}, not {self.expected}: "
            "another writer changed it; read the new value and try again"
        )


@dataclasses.dataclass(eq=False)
class BadAnswerError(errors.CarawaysailError):
    """A platform service did not answer, or its answer cannot be parsed.

    Parameters
    ----------
    source : str
        Address of the service.
    detail : str
        What went wrong.
    """

    source: str
    detail: str

    def __str__(self) -> str:
        """Return a sentence with the source and the detail."""
        return f"{self.source} gave no usable answer: {self.detail}"


@dataclasses.dataclass(eq=False)
class HistoryLostError(errors.CarawaysailError):
    """The key-value service no longer stores the changes that a watch requested.

    Parameters
    ----------
    prefix : str
        Prefix of the watched keys.
    after : int
        Revision after which the watch requested changes.
    """

    prefix: str
    after: int

    def __str__(self) -> str:
        """Return a sentence with the prefix and the revision."""
        return (
            f"the changes under {self.prefix} after revision {self.after} are "
            "no longer available: read all keys again"
        )


@dataclasses.dataclass(eq=False)
class NoReplyError(errors.CarawaysailError):
    """A call got no reply.

    Parameters
    ----------
    detail : str
        The cause.
    is_unsent : bool
        Whether the request was certainly not sent.
    """

    detail: str
    is_unsent: bool

    def __str__(self) -> str:
        """Return a sentence with the cause and whether the call may have an effect."""
        sent = "it was not sent" if self.is_unsent else "it may have been carried out"
        return f"no reply to a call, {sent}: {self.detail}"
