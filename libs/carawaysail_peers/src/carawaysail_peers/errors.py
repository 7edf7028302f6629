"""Errors of the message exchange between entry daemons."""

import dataclasses

from carawaysail_types import errors


@dataclasses.dataclass(eq=False)
class PeerUnreachableError(errors.CarawaysailError):
    """The connection to a peer failed, or the peer did not answer.

    Parameters
    ----------
    address : str
        Address of the peer, ``host:port``.
    sent : bool
        Whether the message may have reached the peer.
    refused : bool
        Whether the connection was refused, so no process listens at the address.
    detail : str
        Text of the underlying error.
    """

    address: str
    sent: bool
    refused: bool
    detail: str

    def __str__(self) -> str:
        """Return one sentence with the address and the underlying error."""
        how = "did not answer" if self.sent else "cannot be reached"
        return f"the entry daemon at {self.address} {how}: {self.detail}"


@dataclasses.dataclass(eq=False)
class BadMessageError(errors.CarawaysailError):
    """A message is too large or cannot be decoded.

    Parameters
    ----------
    kind : str
        Registered name of the message type.
    detail : str
        Why decoding failed.
    """

    kind: str
    detail: str

    def __str__(self) -> str:
        """Return one sentence with the message kind and the reason."""
        return f"message {self.kind!r} cannot be decoded: {self.detail}"
