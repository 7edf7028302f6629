"""The task that makes a daemon's decisions."""

import asyncio
import datetime

import eliot
import testtools

from carawaysail_fleet import decision_loop, ports
from carawaysail_holding import broker_messages
from carawaysail_runtime import inbox
from carawaysail_types import clock, daemons

ME = daemons.Daemon("a-1", "a", "incarnation", "127.0.0.1:7720")
CFG = ports.Settings(
    "a-1", "a", "", "", "", "", ("a",), broker_messages.Terms(),
    datetime.timedelta(seconds=6),
)  # fmt: skip
TIMEOUT_S = 5.0


class TestTimedWork(testtools.TestCase):
    """The work that the loop does between messages."""

    # The task of the loop ended without a log line; no decision was made any more.
    def test_loop_goes_on_after_an_exception(self):
        log = []
        eliot.add_destinations(log.append)
        # The first destination receives what was logged before.
        log.clear()
        self.addCleanup(eliot.remove_destination, log.append)
        source = clock.SystemClock()
        calls = []

        def tick():
            calls.append(source.seconds())
            if len(calls) < 4:
                raise OverflowError("odd")

        async def run():
            loop_inbox = inbox.Inbox(asyncio.get_running_loop(), 10)
            loop = decision_loop.DecisionLoop(CFG, ME, loop_inbox, source, None, 1)
            loop.tick = tick
            task = asyncio.create_task(loop.run())
            while len(calls) < 5 and source.seconds() < TIMEOUT_S:
                await asyncio.sleep(0.01)
            self.assertFalse(task.done())
            task.cancel()

        asyncio.run(run())
        self.assertEqual(["Timed work failed."], [x["text"] for x in log])
        pause_s = decision_loop.BUSY_TICK_INTERVAL.total_seconds()
        self.assertGreaterEqual(calls[3] - calls[0], 3 * pause_s)
