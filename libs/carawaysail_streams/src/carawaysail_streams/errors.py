"""Typed errors of the streams between daemons."""

import dataclasses

from carawaysail_types import errors


@dataclasses.dataclass(eq=False)
class BadFrameError(errors.CarawaysailError):
    """A frame of another daemon cannot be understood."""

    size_bytes: int
    detail: str

    def __str__(self) -> str:
        """Return a sentence with the size and what is wrong."""
        return f"a frame of {self.size_bytes} bytes is unusable: {self.detail}"
