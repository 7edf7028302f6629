"""Typed errors between the tasks of a daemon."""

import dataclasses

from carawaysail_types import errors


@dataclasses.dataclass(eq=False)
class TaskFailedError(errors.CarawaysailError):
    """The task that should have replied raised an exception, which is in its log.

    Parameters
    ----------
    request : str
        Kind of the request.
    cause : str
        Type of the exception.
    """

    request: str
    cause: str

    def __str__(self) -> str:
        """Return a sentence with the request and the cause."""
        return f"no reply to {self.request}: its handler raised {self.cause}"
