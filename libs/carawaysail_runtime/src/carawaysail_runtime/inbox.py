"""Inboxes: message queues from any thread to one asyncio task."""

import asyncio
import collections
import typing

Message = typing.TypeVar("Message")


class Inbox(typing.Generic[Message]):
    """A queue of messages for one asyncio task; any thread may add messages.

    The event loop is signalled once for all messages that arrive before the task next
    drains the inbox.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        Event loop that the receiving task runs in.
    max_messages : int
        Number of waiting messages from which ``try_put`` refuses more; ``put`` has no
        limit.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, max_messages: int) -> None:
        self._loop = loop
        self._max_messages = max_messages
        self._items: collections.deque[Message] = collections.deque()
        self._event = asyncio.Event()
        self._is_signalled = False

    def put(self, message: Message) -> None:
        """Add a message that must not be lost, such as a target's response."""
        self._items.append(message)
        if not self._is_signalled:
            self._is_signalled = True
            self._loop.call_soon_threadsafe(self._event.set)

    def try_put(self, message: Message) -> bool:
        """Add a message unless the inbox is full.

        Returns
        -------
        bool
            Whether it was added; if not, the message is certainly not handled.
        """
        if len(self._items) >= self._max_messages:
            return False
        self.put(message)
        return True

    async def drain(self) -> list[Message]:
        """Wait for messages; return all that have arrived, at least one, in order."""
        while True:
            await self._event.wait()
            self._event.clear()
            self._is_signalled = False
            drained = []
            while self._items:
                drained.append(self._items.popleft())
            if drained:
                return drained
