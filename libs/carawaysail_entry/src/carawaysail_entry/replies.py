"""Single-use replies from a task of the event loop to a thread or another task."""

import concurrent.futures
import typing

Value = typing.TypeVar("Value")


class Reply(typing.Generic[Value]):
    """One value that one task sets and a thread or another task waits for."""

    def __init__(self) -> None:
        self.fut: concurrent.futures.Future[Value] = concurrent.futures.Future()

    def set_value(self, value: Value) -> None:
        """Set the value; has no effect if it is already set."""
        if not self.fut.done():
            self.fut.set_result(value)

    def wait(self, timeout_s: float) -> Value | None:
        """Block the calling thread until the value is set.

        Parameters
        ----------
        timeout_s : float
            Longest time to wait, in seconds; a negative one counts as 0.

        Returns
        -------
        Value or None
            The value, or ``None`` after the timeout.
        """
        try:
            return self.fut.result(max(0.0, timeout_s))
        except concurrent.futures.TimeoutError:
            return None
