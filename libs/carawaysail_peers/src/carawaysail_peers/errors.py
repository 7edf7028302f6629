"""Typed errors of the exchange between entry daemons."""

import dataclasses

from carawaysail_types import errors


@dataclasses.dataclass(eq=False)
class PeerUnreachableError(errors.CarawaysailError):
    """A peer could not be asked, or did not answer.

    Parameters
    ----------
    address : str
        Address of the peer.
    sent : bool
        Whether the message may have arrived.
    refused : bool
        Whether the address refused the connection: no process listens there.
    detail : str
        What went wrong.
    """

    address: str
    sent: bool
    refused: bool
    detail: str

    def __str__(self) -> str:
        """Return a sentence with the address and what went wrong."""
        how = "did not answer" if self.sent else "cannot be reached"
        return f"the entry daemon at {self.address} {how}: {self.detail}"


@dataclasses.dataclass(eq=False)
class BadMessageError(errors.CarawaysailError):
    """A message cannot be understood."""

    kind: str
    detail: str

    def __str__(self) -> str:
        """Return a sentence with the kind and what is wrong."""
        return f"message {self.kind!r} cannot be understood: {self.detail}"
