"""Inboxes: how tasks and threads send messages to a task of the event loop."""

import asyncio
import collections
import typing

Message = typing.TypeVar("Message")


class Inbox(typing.Generic[Message]):
    """Messages for one task, put in by any thread.

    The loop is woken once for all messages that come before the task looks.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        The loop that the owning task runs in.
    bound : int
        How many messages may wait.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, bound: int) -> None:
        self._loop = loop
        self._bound = bound
        self._items: collections.deque[Message] = collections.deque()
        self._event = asyncio.Event()
        self._is_signalled = False

    def put(self, message: Message) -> None:
        """Add a message that must not be lost, such as a target's answer."""
        self._items.append(message)
        if not self._is_signalled:
            self._is_signalled = True
            self._loop.call_soon_threadsafe(self._event.set)

    def offer(self, message: Message) -> bool:
        """Add a message if there is room.

        Returns
        -------
        bool
            Whether there was; where not, the message is certainly not handled.
        """
        if len(self._items) >= self._bound:
            return False
        self.put(message)
        return True

    async def drain(self) -> list[Message]:
        """Return all messages that wait, at least one."""
        while True:
            await self._event.wait()
            self._event.clear()
            self._is_signalled = False
            found = []
            while self._items:
                found.append(self._items.popleft())
            if found:
                return found
