"""Turns of an event loop: since when what it reads can have waited."""

import asyncio
import socket
import unittest.mock

import testtools

from carawaysail_runtime import inbox, turns
from carawaysail_types import clock

MS = clock.milliseconds


class TestTurns(testtools.TestCase):
    """The earliest arrival of what is read, from the times of the turns."""

    def setUp(self):
        super().setUp()
        self.clock = clock.ManualClock()
        self.turns = turns.Turns(self.clock)

    def take_turn(self, busy_ms=0, waited_ms=0, timeout_ms=100, has_events=True):
        """Handle events for some time, then wait for others."""
        self.clock.advance(MS(busy_ms))
        self.turns.begin_wait()
        self.clock.advance(MS(waited_ms))
        self.turns.end_wait(timeout_ms / 1000, has_events)

    def waited_ms(self, turn_count=1):
        arrived = self.turns.arrived(turn_count)
        return clock.to_milliseconds(self.clock.now() - arrived)

    def assert_handled_ms_ago(self, expected_ms):
        handled = self.clock.now() - self.turns.handled_until()
        self.assertEqual(expected_ms, clock.to_milliseconds(handled))

    def test_what_arrives_during_a_wait_is_read_at_once(self):
        self.take_turn(waited_ms=80)
        self.assertEqual(0.0, self.waited_ms())

    def test_what_arrives_while_events_are_handled_waits(self):
        self.take_turn(busy_ms=30, waited_ms=80)
        self.assertEqual(30.0, self.waited_ms())

    def test_wait_that_outlasts_its_timeout_was_a_pause(self):
        self.take_turn(waited_ms=4080, timeout_ms=80)
        self.assertEqual(4000.0, self.waited_ms())

    # A process that was stopped gets its events only with the next wait.
    def test_pause_that_ends_without_events_counts_for_the_next_turn(self):
        self.take_turn(waited_ms=4080, timeout_ms=80, has_events=False)
        self.take_turn()
        self.assertEqual(4000.0, self.waited_ms())
        self.assertEqual(4000.0, self.waited_ms(turns.ACCEPT_TURNS))
        self.take_turn()
        self.assertEqual(0.0, self.waited_ms())

    # The turn after a pause claimed to know all that had come meanwhile, unread still:
    # gateways said that clients waited which had left, and brokers kept their runs.
    def test_pause_that_ends_without_events_leaves_unread_what_came_meanwhile(self):
        self.take_turn(waited_ms=4080, timeout_ms=80, has_events=False)
        self.assert_handled_ms_ago(4000.0)
        self.turns.skip_wait()
        self.assert_handled_ms_ago(4000.0)
        for _ in range(turns.MAX_TURNS):
            self.take_turn()
            self.assert_handled_ms_ago(4000.0)
        self.take_turn()
        self.assert_handled_ms_ago(0.0)

    # A process was stopped once the kernel had collected the events of a wait. What was
    # sent meanwhile was read in the next turn, and counted from there.
    def test_pause_that_ends_with_events_counts_for_the_next_turn_as_well(self):
        self.take_turn(waited_ms=4080, timeout_ms=80)
        self.turns.skip_wait()
        self.take_turn()
        self.assertEqual(4000.0, self.waited_ms())
        for turn_count in (2, 3, turns.ACCEPT_TURNS):
            self.assertEqual(4000.0, self.waited_ms(turn_count))
        self.take_turn()
        self.assertEqual(0.0, self.waited_ms())
        self.assertEqual(4000.0, self.waited_ms(turns.ACCEPT_TURNS))

    # The position of a turn was kept if its wait had outlasted its timeout by less than
    # a microsecond, and raised an exception in the event loop some turns later.
    def test_wait_that_outlasts_its_timeout_by_nothing_leaves_no_trace(self):
        self.take_turn(waited_ms=80, timeout_ms=79.9999999)
        for _ in range(3 * turns.MAX_TURNS):
            self.turns.skip_wait()
            self.take_turn(waited_ms=1)
        self.take_turn(waited_ms=4080, timeout_ms=80, has_events=False)
        self.take_turn()
        self.assertEqual(4000.0, self.waited_ms())
        self.assertEqual(4000.0, self.waited_ms(turns.MAX_TURNS))

    def test_time_since_the_turn_began_counts(self):
        self.take_turn()
        self.clock.advance(MS(20))
        self.assertEqual(20.0, self.waited_ms())

    def test_earlier_turns_count_on_request(self):
        self.take_turn(busy_ms=500)
        self.take_turn(busy_ms=2)
        self.take_turn(busy_ms=1)
        self.assertEqual(1.0, self.waited_ms())
        self.assertEqual(503.0, self.waited_ms(3))

    def test_first_bytes_of_a_connection_may_have_waited_for_it_to_be_accepted(self):
        self.take_turn(busy_ms=500)
        arrivals = turns.Arrivals(self.turns)
        for _ in range(turns.ACCEPT_TURNS - 1):
            self.take_turn(busy_ms=1)
        waited = self.clock.now() - arrivals.earliest()
        self.assertEqual(499.0 + turns.ACCEPT_TURNS, clock.to_milliseconds(waited))
        self.take_turn(busy_ms=1)
        waited = self.clock.now() - arrivals.earliest()
        self.assertEqual(1.0, clock.to_milliseconds(waited))


class TestSelector(testtools.TestCase):
    """Which calls of an event loop for events are system calls."""

    def run_loop(self, make_main):
        """Run a coroutine function; ``looks`` counts the system calls."""
        selector = turns.Selector(turns.Turns(clock.SystemClock()))
        self.looks = 0
        real = selector._selector.poll

        def poll(*args):
            self.looks += 1
            return real(*args)

        selector._selector = unittest.mock.Mock(wraps=selector._selector, poll=poll)
        with asyncio.Runner(
            loop_factory=lambda: asyncio.SelectorEventLoop(selector)
        ) as runner:
            runner.run(make_main())

    # Each message cost an idle daemon a second look at its sockets, for the task that
    # the first one had woken.
    def test_task_that_a_message_wakes_runs_without_another_look(self):
        async def main():
            reader, writer = socket.socketpair()
            reader.setblocking(False)
            loop = asyncio.get_running_loop()
            box = inbox.Inbox(loop, 10)
            loop.add_reader(reader, lambda: box.put(reader.recv(10)))
            await asyncio.sleep(0.001)
            before = self.looks
            for _ in range(10):
                writer.send(b"x")
                self.assertEqual([b"x"], await box.drain(5.0))
            self.assertLessEqual(self.looks - before, 11)
            loop.remove_reader(reader)
            reader.close()
            writer.close()

        self.run_loop(main)

    def test_sockets_are_looked_at_while_callbacks_are_always_due(self):
        async def main():
            for _ in range(100):
                await asyncio.sleep(0)

        self.run_loop(main)
        self.assertGreaterEqual(self.looks, 50)

    def test_time_of_a_turn_without_a_look_counts_as_unobserved(self):
        manual = clock.ManualClock()
        recorded = turns.Turns(manual)
        selector = turns.Selector(recorded)
        self.addCleanup(selector.close)
        for busy_ms in (5, 30, 7, 0):
            selector.select(0.0)
            manual.advance(MS(busy_ms))
        waited = manual.now() - recorded.arrived()
        self.assertEqual(37.0, clock.to_milliseconds(waited))
