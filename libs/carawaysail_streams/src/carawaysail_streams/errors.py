"""Typed errors of the streams between daemons."""

import dataclasses

from carawaysail_types import errors


@dataclasses.dataclass(eq=False)
class BadFrameError(errors.CarawaysailError):
    """A frame of another daemon cannot be decoded.

    Parameters
    ----------
    size_bytes : int
        Size of the frame.
    detail : str
        What is wrong with it.
    """

    size_bytes: int
    detail: str

    def __str__(self) -> str:
        """Return a sentence with the size of the frame and the cause."""
        return f"a frame of {self.size_bytes} bytes cannot be decoded: {self.detail}"
