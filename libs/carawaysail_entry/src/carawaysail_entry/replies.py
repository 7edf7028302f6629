"""Single-use replies from a task of the event loop to a thread or another task."""

import concurrent.futures
import typing

from carawaysail_entry import errors

Value = typing.TypeVar("Value")


class Reply(typing.Generic[Value]):
    """One value that one task sets and a thread or another task waits for."""

    def __init__(self) -> None:
        self.fut: concurrent.futures.Future[Value] = concurrent.futures.Future()

    def set_value(self, value: Value) -> None:
        """Set the value; has no effect if it is already set."""
        if not self.fut.done():
            self.fut.set_result(value)

    def fail(self, request: str, exc: Exception) -> None:
        """Settle the reply without a value; has no effect if it is already set.

        Parameters
        ----------
        request : str
            Kind of the request.
        exc : Exception
            What its handler raised.
        """
        if not self.fut.done():
            self.fut.set_exception(errors.TaskFailedError(request, type(exc).__name__))

    def wait(self, timeout_s: float) -> Value | None:
        """Block the calling thread until the reply is settled.

        Parameters
        ----------
        timeout_s : float
            Longest time to wait, in seconds; a negative one counts as 0.

        Returns
        -------
        Value or None
            The value, or ``None`` after the timeout or a failure of the task.
        """
        try:
            return self.fut.result(max(0.0, timeout_s))
        except (concurrent.futures.TimeoutError, errors.TaskFailedError):
            return None
