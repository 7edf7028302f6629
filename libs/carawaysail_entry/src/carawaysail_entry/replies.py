"""Replies: how a task answers a thread or another task that waits."""

import concurrent.futures
import typing

Value = typing.TypeVar("Value")


class Reply(typing.Generic[Value]):
    """One value that a task gives and a thread or task waits for."""

    def __init__(self) -> None:
        self.fut: concurrent.futures.Future[Value] = concurrent.futures.Future()

    def give(self, value: Value) -> None:
        """Give the value; a second one changes nothing."""
        if not self.fut.done():
            self.fut.set_result(value)

    def wait(self, seconds: float) -> Value | None:
        """Block the calling thread until the value is there, or the time is over."""
        try:
            return self.fut.result(max(0.0, seconds))
        except concurrent.futures.TimeoutError:
            return None
