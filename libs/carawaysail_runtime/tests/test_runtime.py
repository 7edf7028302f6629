"""Bounded logs, inboxes and metrics."""

import asyncio
import io
import json
import threading
import time
import unittest.mock

import testtools

from carawaysail_runtime import inbox, logs, metrics


class BlockingStream(io.StringIO):
    """A stream whose writes block until ``may_write`` is set."""

    def __init__(self):
        super().__init__()
        self.may_write = threading.Event()

    def write(self, text):
        self.may_write.wait(10)
        return super().write(text)


class CountingStream(io.StringIO):
    """A stream that counts its flushes."""

    def __init__(self):
        super().__init__()
        self.flush_count = 0

    def flush(self):
        self.flush_count += 1
        super().flush()


class TestBoundedLog(testtools.TestCase):
    """A thread writes the lines; lines that a full queue refuses are counted."""

    def lines(self, stream):
        return [json.loads(x) for x in stream.getvalue().splitlines()]

    def test_lines_are_written_in_order(self):
        stream = io.StringIO()
        log = logs.BoundedLog(stream)
        for number in range(50):
            log({"n": number, "task_uuid": "left out"})
        log.close()
        self.assertEqual(list(range(50)), [x["n"] for x in self.lines(stream)])
        self.assertNotIn("task_uuid", stream.getvalue())

    def test_full_log_drops_lines_and_logs_their_number(self):
        stream = BlockingStream()
        log = logs.BoundedLog(stream, max_lines=10)
        for number in range(100):
            log({"n": number})
        stream.may_write.set()
        log.close()
        lines = self.lines(stream)
        written = [x for x in lines if "n" in x]
        dropped = sum(x["dropped"] for x in lines if "dropped" in x)
        self.assertEqual(100, len(written) + dropped)
        self.assertGreaterEqual(dropped, 70)

    def test_values_of_any_type_are_written(self):
        stream = io.StringIO()
        log = logs.BoundedLog(stream)
        log({"value": {1, 2}})
        log({"value": "\u00f1 \ud800"})
        log({"value": 2**70})
        log.close()
        self.assertEqual(3, len(self.lines(stream)))
        self.assertTrue(stream.getvalue().isascii())

    # A daemon at a crest of the load woke the writing thread for nearly each line.
    def test_lines_that_come_one_by_one_are_written_many_at_a_time(self):
        stream = CountingStream()
        log = logs.BoundedLog(stream, interval_s=30.0)
        for number in range(200):
            log({"n": number})
            # Lets the writing thread run after each line.
            time.sleep(0.001)
        log.close()
        self.assertEqual(list(range(200)), [x["n"] for x in self.lines(stream)])
        self.assertLessEqual(stream.flush_count, 2)


class TestInbox(testtools.TestCase):
    """Messages from threads to an asyncio task."""

    def test_wait_without_messages_ends_with_the_timeout(self):
        async def run():
            box = inbox.Inbox(asyncio.get_running_loop(), 10)
            self.assertEqual([], await box.drain(0.01))
            box.put(1)
            self.assertEqual([1], await box.drain(0.01))
            self.assertEqual([], await box.drain(0.01))

        asyncio.run(run())

    # Each wait set a timer of its own, a third of what a message cost an idle daemon.
    def test_waits_until_the_same_instant_share_a_timer(self):
        async def run():
            loop = asyncio.get_running_loop()
            box = inbox.Inbox(loop, 10)
            timers = []
            real = loop.call_at
            loop.call_at = lambda *args, **kw: timers.append(args) or real(*args, **kw)
            end_s = loop.time() + 30.0
            for number in range(10):
                loop.call_soon(box.put, number)
                self.assertEqual([number], await box.drain(end_s - loop.time()))
            self.assertEqual(1, len(timers))
            self.assertEqual([], await box.drain(0.01))
            self.assertEqual(2, len(timers))

        asyncio.run(run())

    def test_message_of_the_loops_own_thread_ends_the_wait(self):
        async def run():
            loop = asyncio.get_running_loop()
            box = inbox.Inbox(loop, 10)
            loop.call_later(0.01, box.put, 1)
            self.assertEqual([1], await box.drain(10.0))
            self.assertEqual([], await box.drain(0.01))

        asyncio.run(run())

    def test_messages_of_many_threads_arrive_once(self):
        async def run():
            box = inbox.Inbox(asyncio.get_running_loop(), 1000)
            threads = [
                threading.Thread(target=lambda n=n: [box.put(n) for _ in range(100)])
                for n in range(4)
            ]
            for thread in threads:
                thread.start()
            received = []
            while len(received) < 400:
                received.extend(await box.drain())
            return received

        received = asyncio.run(run())
        self.assertEqual([100] * 4, [received.count(n) for n in range(4)])

    def test_full_inbox_refuses_further_messages(self):
        async def run():
            box = inbox.Inbox(asyncio.get_running_loop(), 2)
            return [box.try_put(n) for n in range(3)]

        self.assertEqual([True, True, False], asyncio.run(run()))


class TestRegistry(testtools.TestCase):
    """Labels and values of the metrics of one process."""

    def test_all_metrics_have_the_labels_of_the_process(self):
        registry = metrics.Registry("vm-1", "dc-1")
        counter = registry.counter("jobs_total", "Jobs.")
        gauge = registry.gauge("size", "Size.")
        histogram = registry.histogram("took_ms", "Time.", [1.0, 10.0])
        with registry.lock:
            counter.inc({"name": "a"})
            gauge.set({}, 3)
            histogram.observe({}, 5.0)
        body, content_type = registry.render()
        self.assertIn("text/plain", content_type)
        lines = body.decode().splitlines()
        for name, value in (("jobs_total", 1), ("size", 3), ("took_ms_count", 1)):
            [line] = [x for x in lines if x.startswith(f"{name}{{")]
            self.assertIn('vm="vm-1"', line)
            self.assertEqual(value, float(line.rsplit(" ", 1)[1]))

    def samples(self, registry, name):
        body, _ = registry.render()
        lines = [x for x in body.decode().splitlines() if x.startswith(f"{name}{{")]
        return {x.rsplit(" ", 1)[0]: float(x.rsplit(" ", 1)[1]) for x in lines}

    def test_counts_are_complete_at_each_rendering(self):
        registry = metrics.Registry("vm-1", "dc-1")
        counts = registry.counts("decisions_total", "Decisions.", "name", "outcome")
        for total in (1, 2):
            counts.add("placed", "")
            counts.add("answered", "none")
            samples = self.samples(registry, "decisions_total")
            self.assertEqual(2, len(samples))
            self.assertEqual({float(total)}, set(samples.values()))
            self.assertTrue(any('outcome="none"' in x for x in samples))

    def test_observations_of_known_labels_are_added_to_their_sample(self):
        registry = metrics.Registry("vm-1", "dc-1")
        times = registry.observations("took_ms", "Time.", [1.0, 10.0], "service")
        for value in (0.5, 5.0, 50.0):
            times.observe(value, "store")
        times.observe(5.0, "worker")
        counts = self.samples(registry, "took_ms_count")
        self.assertEqual([1.0, 3.0], sorted(counts.values()))
        buckets = self.samples(registry, "took_ms_bucket")
        of_store = [v for k, v in buckets.items() if 'service="store"' in k]
        self.assertEqual([1.0, 2.0, 3.0], sorted(of_store))

    # A count encoded its labels as JSON three times, at each of five decisions a task.
    def test_counting_an_event_encodes_no_labels(self):
        registry = metrics.Registry("vm-1", "dc-1")
        counts = registry.counts("decisions_total", "Decisions.", "name")
        times = registry.observations("took_ms", "Time.", [1.0], "service")
        times.observe(0.5, "store")
        with unittest.mock.patch("aioprometheus.metricdict.orjson.dumps") as dumps:
            for _ in range(100):
                counts.add("placed")
                times.observe(0.5, "store")
        self.assertEqual(0, dumps.call_count)
