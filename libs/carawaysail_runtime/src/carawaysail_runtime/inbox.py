"""Inboxes: message queues from any thread to one asyncio task."""

import asyncio
import collections
import threading
import typing

TIMER_TOLERANCE_S = 0.001
"""Time by which a wait may exceed its timeout, in seconds."""

Message = typing.TypeVar("Message")


class Inbox(typing.Generic[Message]):
    """A queue of messages for one asyncio task; any thread may add messages.

    The event loop is signalled once for all messages that arrive before the task next
    drains the inbox.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        Event loop that the receiving task runs in; the inbox is created in its thread.
    max_messages : int
        Number of waiting messages from which ``try_put`` refuses more; ``put`` has no
        limit.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, max_messages: int) -> None:
        self._loop = loop
        self._max_messages = max_messages
        self._items: collections.deque[Message] = collections.deque()
        # What the receiving task waits for; ``None`` while it does not wait.
        self._waiter: asyncio.Future[None] | None = None
        # Kept for the next wait if that ends no earlier.
        self._timer: asyncio.TimerHandle | None = None
        self._is_signalled = False
        # Thread of the event loop, which can be signalled without a system call.
        self._thread_id = threading.get_ident()

    def put(self, message: Message) -> None:
        """Add a message that must not be lost, such as a target's response."""
        self._items.append(message)
        if self._is_signalled:
            return
        self._is_signalled = True
        if threading.get_ident() == self._thread_id:
            self._wake()
        else:
            self._loop.call_soon_threadsafe(self._wake)

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

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

    async def drain(self, timeout_s: float | None = None) -> list[Message]:
        """Wait for messages; return all that have arrived, in order.

        Parameters
        ----------
        timeout_s : float, optional
            Longest wait in seconds, after which there may be no messages; by default
            there is no limit, and at least one message is returned.
        """
        while not self._items:
            await self._wait(timeout_s)
            if timeout_s is not None:
                break
        self._is_signalled = False
        drained = []
        while self._items:
            drained.append(self._items.popleft())
        return drained

    async def _wait(self, timeout_s: float | None) -> None:
        """Wait for a message, or until the timeout."""
        self._is_signalled = False
        self._waiter = self._loop.create_future()
        self._set_timer(timeout_s)
        try:
            # A message of another thread may have come before there was a waiter.
            while not self._items and not self._waiter.done():
                await self._waiter
        finally:
            self._waiter = None

    def _set_timer(self, timeout_s: float | None) -> None:
        """Let the present wait end after a timeout; ``None`` for no timeout.

        A timer of an earlier wait is used again if it ends this one in time but not
        before half of the timeout: most waits end by a message, and setting a timer
        costs more than many a message.
        """
        timer = self._timer
        if timeout_s is None:
            if timer is not None:
                timer.cancel()
            self._timer = None
            return
        now_s = self._loop.time()
        if timer is not None:
            latest_s = now_s + timeout_s + TIMER_TOLERANCE_S
            if now_s + timeout_s / 2 <= timer.when() <= latest_s:
                return
            timer.cancel()
        self._timer = self._loop.call_at(now_s + timeout_s, self._wake)
