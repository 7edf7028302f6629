"""Tasks that call the store, and their behaviour after failed calls."""

import random
import sys

import eliot
import msgspec
import testtools

from carawaysail_fleet import (
    backoff,
    messages,
    metrics,
    ports,
    store_limits,
    store_tasks,
    store_thread,
)
from carawaysail_platform import errors
from carawaysail_types import clock, daemons

ME = daemons.Daemon("a-1", "a", "incarnation", "127.0.0.1:7720")
MS = clock.milliseconds
TIMEOUT_S = 5.0
INTERVAL = MS(700)
LIMITS = store_limits.for_contact(clock.milliseconds(3000))
LONGEST_PAUSE = clock.milliseconds(1400)
NESTED = b"[" * 100_000
ODD_RECORDS = (
    b"", b"\xff", b"7", b"{}", b"[]", NESTED, b'{"a":' * 100_000, b'["a-2",' + NESTED,
    b'["a-2","a","i","127.0.0.1:70000"]', b'["a-2","a","i","nowhere"]',
    b'["a-2","a","i","h:\xc2\xb2"]', b'["a-2","a","i",7]',
    b'["a-2","a","\\ud800","h:1"]',
    b'["a-2","a","i","h:1",' + NESTED, b'["\xff","a","i","h:1"]',
)  # fmt: skip


class Store:
    """Records its calls; the next one raises ``failure`` if that is set."""

    def __init__(self):
        self.calls = []
        self.timeouts = []
        self.failure = None
        self.changed = ()
        self.items = ()
        self.value = b"old"
        self.on_list = lambda: None
        self.revision = 5

    def _record(self, call):
        self.calls.append(call)
        failure, self.failure = self.failure, None
        if failure is not None:
            raise failure

    def read(self, key):
        self._record("read")
        return ports.Item(key, self.value, self.revision)

    def list(self, prefix):
        self._record("list")
        self.on_list()
        return ports.Snapshot(self.items, self.revision)

    def watch(self, prefix, after_revision, timeout):
        self._record(("watch", after_revision))
        self.timeouts.append(timeout)
        self.revision += 1
        changed, self.changed = self.changed, ()
        return ports.WatchResult(changed, (), self.revision)

    def compare_and_swap(self, key, expected_revision, value, lease=0):
        self._record(("write", expected_revision))
        if expected_revision != self.revision:
            raise errors.WriteConflictError(key, expected_revision, self.revision)
        self.revision += 1
        return self.revision


class FakeInbox:
    """Collects the messages that a task sends."""

    def __init__(self):
        self.messages = []

    def put(self, message):
        self.messages.append(message)


def make_context(inbox, source=None):
    """Return the context of a task; its clock is the system's by default."""
    return store_thread.Context(
        inbox, source or clock.SystemClock(), metrics.DaemonMetrics("a-1", "a"), 1,
        LIMITS,
    )  # fmt: skip


class IdleClaims:
    """A queue of claims in which the first one waits for a while."""

    def __init__(self, claims, idle):
        self._claims = claims
        self._idle = idle

    def get(self):
        self._idle()
        return self._claims.get()


class Codec:
    """Returns the bytes of a configuration undecoded."""

    configuration_key = "settings"
    reports_prefix = "reports"

    def configuration(self, value):
        return value


class TestBackoff(testtools.TestCase):
    """Growth, jitter and reset of the pauses between failed calls."""

    def pauses(self, count, seed=1):
        pauses = backoff.Backoff(random.Random(seed), LONGEST_PAUSE)
        return [pauses.next_pause_s() for _ in range(count)]

    def test_pauses_grow_up_to_a_bound(self):
        pauses = self.pauses(40)
        self.assertLess(pauses[0], backoff.FIRST_PAUSE_S * 1.5)
        max_pause_s = LONGEST_PAUSE.total_seconds()
        self.assertLessEqual(max(pauses), max_pause_s)
        mean_s = sum(pauses[5:]) / 35
        max_mean_s = max_pause_s / (1.0 + backoff.JITTER)
        self.assertAlmostEqual(max_mean_s, mean_s, delta=0.15)

    def test_pauses_differ_between_daemons(self):
        self.assertEqual(20, len({self.pauses(1, seed)[0] for seed in range(20)}))

    def test_reset_returns_to_the_first_pause(self):
        pauses = backoff.Backoff(random.Random(1), LONGEST_PAUSE)
        for _ in range(10):
            pauses.next_pause_s()
        pauses.reset()
        self.assertLess(pauses.next_pause_s(), backoff.FIRST_PAUSE_S * 1.5)


class TestLimits(testtools.TestCase):
    """Time limits of calls to the store."""

    # A watch waited for 16 s whatever the platform promised its users.
    def test_lost_watch_and_the_next_call_fit_into_the_time_in_touch(self):
        for contact_ms in (1000, 3000, 5000, 30_000):
            with self.subTest(contact_ms=contact_ms):
                contact = clock.milliseconds(contact_ms)
                limits = store_limits.for_contact(contact)
                lost = limits.watch_wait + limits.call_timeout
                self.assertLessEqual(lost + limits.call_timeout, contact)

    def test_watch_can_resume_within_the_history(self):
        for contact_ms in (3000, 30_000, 3_600_000):
            limits = store_limits.for_contact(clock.milliseconds(contact_ms))
            lost = limits.watch_wait + limits.call_timeout
            self.assertLess(lost, clock.milliseconds(20_000))

    # Daemons and holders were not followed for 16 s after a call was lost.
    def test_watch_of_members_waits_no_longer_than_a_lease(self):
        store = Store()
        store_tasks.MembersTask(store, make_context(FakeInbox()))._step()
        self.assertEqual([store_tasks.LEASE_TTL], store.timeouts)


class TestWatches(testtools.TestCase):
    """A watch resumes after failed calls, and starts with a read after lost history."""

    def setUp(self):
        super().setUp()
        self.store = Store()
        self.store.items = (ports.Item("settings", b"old", 4),)
        self.inbox = FakeInbox()
        self.task = store_tasks.ConfigurationTask(
            self.store, Codec(), make_context(self.inbox)
        )

    def step(self, failure=None):
        self.store.failure = failure
        self.store.calls.clear()
        try:
            self.task._step()
        except (errors.StoreUnavailableError, errors.HistoryLostError) as exc:
            self.assertIs(failure, exc)
        return list(self.store.calls)

    def test_first_step_reads_and_watches(self):
        self.assertEqual(["list", ("watch", 5)], self.step())

    def test_watch_resumes_from_the_last_revision(self):
        self.step()
        self.assertEqual([("watch", 6)], self.step())

    def test_failed_watch_resumes_without_a_read(self):
        self.step()
        self.step(errors.StoreUnavailableError("watch", "503"))
        self.assertEqual([("watch", 6)], self.step())

    def test_lost_history_is_followed_by_a_read(self):
        self.step()
        self.step(errors.HistoryLostError("settings", 6))
        self.assertEqual(["list", ("watch", 6)], self.step())

    # 97 daemons read all entries over and over while the store forgot its history.
    def test_history_that_is_lost_again_and_again_is_read_with_pauses(self):
        def watch(*args):
            raise errors.HistoryLostError("settings", 6)

        self.store.watch = watch
        self.task.start()
        clock.SystemClock().sleep_s(0.5)
        self.task.stop()
        reads = self.store.calls.count("list")
        self.assertGreaterEqual(reads, 2)
        self.assertLessEqual(reads, 6)

    # Once the store had dropped the history of the last change, each daemon read and
    # watched from that change until the next one, which never succeeded.
    def test_watch_does_not_start_before_the_history(self):
        self.store.revision = 90
        self.assertEqual(["list", ("watch", 90)], self.step())

    def test_step_without_a_configuration_is_repeated(self):
        self.store.items = ()
        self.assertEqual(["list"], self.step())

    def test_change_during_an_outage_is_published(self):
        self.step()
        self.step(errors.StoreUnavailableError("watch", "503"))
        self.store.changed = (ports.Item("settings", b"new", 7),)
        self.step()
        published = [x.configuration for x in self.inbox.messages]
        self.assertEqual([b"old", b"new"], published)


class TestAnswerAge(testtools.TestCase):
    """Metrics and log lines that show how old a daemon's knowledge is."""

    def test_age_counts_from_the_last_answer(self):
        source, store = clock.ManualClock(), Store()
        store.items = (ports.Item("settings", b"old", 4),)
        context = make_context(FakeInbox(), source)
        task = store_tasks.ConfigurationTask(store, Codec(), context)
        log = []
        eliot.add_destinations(log.append)
        self.addCleanup(eliot.remove_destination, log.append)
        task._attempt()
        source.advance(clock.milliseconds(7000))
        store.failure = errors.StoreUnavailableError("watch", "timed out")
        task._attempt()
        text = context.metrics.render(source.now())[0].decode()
        age_ms = metrics.find_sample(
            text, metrics.STORE_ANSWER_AGE, task="configuration"
        )
        self.assertEqual(7000.0, age_ms)
        task._attempt()
        again = [x for x in log if x["text"] == "Store reachable again."]
        self.assertEqual([7000], [x["after_ms"] for x in again])


class TestPauses(testtools.TestCase):
    """Pauses after failed calls of tasks that wait until they are needed."""

    def setUp(self):
        super().setUp()
        self.source = clock.ManualClock()
        self.store = Store()
        self.store.failure = errors.StoreUnavailableError("store", "503")
        self.context = make_context(FakeInbox(), self.source)

    def idle(self, *args):
        self.source.advance(clock.milliseconds(30_000))

    def test_idle_time_before_a_refused_read_is_no_pause(self):
        task = store_tasks.ReportsTask(self.store, Codec(), INTERVAL, self.context)
        task._is_needed.wait = self.idle
        self.assertGreater(task._attempt(), 0.0)

    def test_idle_time_before_a_refused_claim_is_no_pause(self):
        task = store_tasks.ClaimTask(self.store, ME, self.context)
        task.claim("a", 5)
        task._claims = IdleClaims(task._claims, self.idle)
        self.assertGreater(task._attempt(), 0.0)


class TestUnexpectedExceptions(testtools.TestCase):
    """A task goes on after an exception that nobody expects."""

    def setUp(self):
        super().setUp()
        self.store = Store()
        self.inbox = FakeInbox()
        self.log = []
        eliot.add_destinations(self.log.append)
        # The first destination receives what was logged before.
        self.log.clear()
        self.addCleanup(eliot.remove_destination, self.log.append)

    def run_until(self, task, condition):
        """Run a task's thread until a condition holds."""
        task._is_stopping.wait = lambda pause_s: self.pauses.append(pause_s)
        self.pauses = []
        task.start()
        source = clock.SystemClock()
        while not condition() and source.seconds() < TIMEOUT_S:
            source.sleep_s(0.01)
        task.stop()
        task._thread.join(TIMEOUT_S)
        self.assertTrue(condition())

    def failures(self):
        return [x["text"] for x in self.log if x["text"] == "Task failed."]

    # The thread ended without a log line, and the list was not followed any more.
    def test_watch_goes_on_with_a_read(self):
        self.store.failure = RecursionError("too deep")
        task = store_tasks.MembersTask(self.store, make_context(self.inbox))
        self.run_until(task, lambda: len(self.inbox.messages) > 0)
        self.assertEqual(["list", "list"], self.store.calls[:2])
        self.assertEqual(1, len(self.failures()))
        self.assertGreater(self.pauses[0], 0.0)

    def test_failed_watch_is_followed_by_a_read(self):
        task = store_tasks.MembersTask(self.store, make_context(self.inbox))
        task._step()
        task._handle_failure(ValueError("odd"))
        task._handle_failure(ValueError("odd"))
        self.store.calls.clear()
        task._step()
        self.assertEqual("list", self.store.calls[0])
        self.assertEqual(1, len(self.failures()))

    def test_claim_has_a_result(self):
        self.store.failure = OverflowError("odd")
        task = store_tasks.ClaimTask(self.store, ME, make_context(self.inbox))
        task.claim("a", 5)
        task.claim("a", 5)
        self.run_until(task, lambda: len(self.inbox.messages) == 2)
        self.assertIsNone(self.inbox.messages[0].holder)
        self.assertEqual("a-1", self.inbox.messages[1].holder.vm)


class TestMembers(testtools.TestCase):
    """Entries of daemons and holders; an odd one hides no other."""

    def setUp(self):
        super().setUp()
        self.store = Store()
        self.inbox = FakeInbox()

    def read(self, *items):
        self.store.items = items
        store_tasks.MembersTask(self.store, make_context(self.inbox))._step()
        return self.inbox.messages[-1]

    def test_odd_records_are_ignored(self):
        good = ports.Item("carawaysail/daemon/a-1", msgspec.json.encode(ME), 3)
        held = ports.Item("carawaysail/holder/a", msgspec.json.encode(ME), 4)
        holder = daemons.Holder("a", "a-1", "incarnation", 4)
        for value in ODD_RECORDS:
            with self.subTest(value=value[:40]):
                members = self.read(
                    ports.Item("carawaysail/daemon/a-2", value, 1), good,
                    ports.Item("carawaysail/holder/b", value, 2), held,
                )  # fmt: skip
                self.assertEqual(((ME,), (holder,), ()), members)

    def test_daemon_that_became_a_holder_after_its_entry_is_named(self):
        later = msgspec.json.encode(ME._replace(incarnation="later"))
        entry = ports.Item("carawaysail/daemon/a-1", msgspec.json.encode(ME), 5)
        for revision, incarnations in ((4, []), (6, ["later"])):
            with self.subTest(revision=revision):
                held = ports.Item("carawaysail/holder/a", later, revision)
                holding = self.read(entry, held).holding
                self.assertEqual(incarnations, [x.incarnation for x in holding])
        own = ports.Item("carawaysail/holder/a", msgspec.json.encode(ME), 6)
        self.assertEqual((), self.read(entry, own).holding)
        self.assertEqual((ME,), self.read(own).holding)

    def test_record_of_another_vm_is_ignored(self):
        item = ports.Item("carawaysail/daemon/a-2", msgspec.json.encode(ME), 3)
        self.assertEqual((), self.read(item).registered)


class TestReports(testtools.TestCase):
    """Reads of the workers' reports: when they begin, and what is published of them."""

    def setUp(self):
        super().setUp()
        self.store = Store()
        self.inbox = FakeInbox()
        self.clock = clock.ManualClock()
        self.task = store_tasks.ReportsTask(
            self.store, Codec(), INTERVAL, make_context(self.inbox, self.clock)
        )
        self.pauses = []
        self.task._read_now.wait = self.pauses.append
        self.task.set_needed(True)

    def read(self, answered_after=MS(0)):
        """Read once; return the messages to the decision loop."""
        self.store.calls.clear()
        self.inbox.messages.clear()
        self.store.on_list = lambda: self.clock.advance(answered_after)
        self.task._attempt()
        return self.inbox.messages

    # A stale answer was used however old it was, if it was newer than the one before.
    def test_each_read_is_linearizable(self):
        for _ in range(3):
            self.read()
            self.assertEqual(["list"], self.store.calls)

    def test_answer_counts_from_its_request(self):
        sent_at = self.clock.now()
        requested, read = self.read(MS(100))
        self.assertEqual(sent_at + LIMITS.call_timeout, requested.overdue_at)
        self.assertEqual(sent_at, read.requested_at)

    def test_next_read_begins_an_interval_after_the_last_one(self):
        self.read(MS(100))
        self.read(MS(900))
        self.assertEqual([0.6, 0.0], self.pauses)

    def test_failed_and_late_reads_are_told(self):
        self.store.failure = errors.StoreUnavailableError("list", "503")
        _, failed = self.read()
        self.assertEqual(messages.ReportsFailed(self.clock.now()), failed)
        _, late, read = self.read(LIMITS.call_timeout + MS(1))
        self.assertEqual(messages.ReportsFailed(self.clock.now()), late)
        self.assertEqual(self.clock.now(), read.requested_at + MS(751))

    def read_with_request(self, number):
        """Read once; ask for another read just before a line of the task's code.

        Returns
        -------
        bool
            Whether the read has so many lines.
        """
        count = 0

        def trace(frame, event, argument):
            nonlocal count
            if frame.f_code.co_filename != store_tasks.__file__:
                return None
            count += event == "line"
            if event == "line" and count == number:
                self.store.calls.append("request")
                self.task.refresh()
            return trace

        self.store.calls.clear()
        sys.settrace(trace)
        try:
            self.task._attempt()
        finally:
            sys.settrace(None)
        return count >= number

    # One that came between the look at the flag and its reset was cleared with it.
    def test_request_at_any_moment_of_a_read_is_not_lost(self):
        number = 1
        while self.read_with_request(number):
            calls = self.store.calls
            begins_later = "list" in calls[calls.index("request") :]
            self.assertTrue(begins_later or self.task._read_now.is_set(), number)
            number += 1
        self.assertGreater(number, 10)

    # While the store was away, each request was forgotten with the first failed read.
    def test_request_outlives_failed_reads(self):
        self.read()
        self.task.refresh()
        for _ in range(2):
            self.store.failure = errors.StoreUnavailableError("list", "503")
            self.task._attempt()
        self.assertEqual(["list"], self.read() and self.store.calls)

    def test_interval_may_change(self):
        self.task.set_interval(MS(300))
        self.read()
        self.assertEqual([0.3], self.pauses)


class LeaseStore(Store):
    """Holds one entry under leases; refuses the calls that are named in ``refused``."""

    def __init__(self):
        super().__init__()
        self.item = None
        self.leases = set()
        self.refused = set()

    def _refuse(self, call):
        self._record(call)
        if call in self.refused:
            raise errors.StoreUnavailableError(call, "429")

    def read(self, key):
        self._refuse("read")
        return self.item

    def compare_and_swap(self, key, expected_revision, value, lease=0):
        self._refuse("write")
        revision = self.item.revision if self.item is not None else 0
        if expected_revision != revision:
            raise errors.WriteConflictError(key, expected_revision, revision)
        self.write(value, lease)
        return self.revision

    def write(self, value, lease):
        self.revision += 1
        self.item = ports.Item("carawaysail/daemon/a-1", value, self.revision, lease)

    def grant(self, ttl):
        self._refuse("grant")
        self.leases.add(len(self.leases) + 1)
        return len(self.leases)

    def renew(self, lease):
        self._refuse("renew")
        return lease in self.leases

    def owner(self):
        """Return the incarnation and the lease of the entry."""
        if self.item is None:
            return None
        daemon = msgspec.json.decode(self.item.value, type=daemons.Daemon)
        return daemon.incarnation, self.item.lease


class TestEntry(testtools.TestCase):
    """This daemon's entry, which has to stand as long as its lease is renewed."""

    def setUp(self):
        super().setUp()
        self.start()
        self.own = (ME.incarnation, 1)

    def start(self):
        """Start with an empty store."""
        self.store = LeaseStore()
        self.task = store_tasks.LeaseTask(self.store, ME, make_context(FakeInbox()))
        self.task._is_stopping.wait = lambda pause_s: None

    def attempt(self):
        self.store.calls.clear()
        self.task._attempt()

    def lose(self, item):
        """Let the store have another entry, or none, and show it to the task."""
        self.store.revision += 1
        self.store.item = item
        shown = msgspec.json.decode(item.value, type=daemons.Daemon) if item else None
        self.task.record_view(store_tasks.EntryView(self.store.revision, shown))
        self.task._pause(TIMEOUT_S)

    # A daemon whose entry was refused once renewed its lease and was never listed.
    def test_refused_registration_is_repeated(self):
        for call in ("grant", "read", "write"):
            with self.subTest(call=call):
                self.start()
                self.store.refused = {call}
                self.attempt()
                self.assertIsNone(self.store.owner())
                self.store.refused = set()
                self.attempt()
                self.assertEqual(self.own, self.store.owner())

    # The entry of the former process expired between the read and the write.
    def test_conflict_is_followed_by_another_registration(self):
        self.store.write(msgspec.json.encode(ME._replace(incarnation="former")), 7)
        read = self.store.read

        def read_and_expire(key):
            item = read(key)
            self.store.item = None
            return item

        self.store.read = read_and_expire
        self.attempt()
        self.store.read = read
        self.attempt()
        self.assertEqual(self.own, self.store.owner())

    # An entry that was removed or replaced while its lease lived on was not restored.
    def test_lost_entry_is_registered_again(self):
        former = msgspec.json.encode(ME._replace(incarnation="former"))
        for item in (None, ports.Item("carawaysail/daemon/a-1", former, 90)):
            with self.subTest(item=item):
                self.attempt()
                self.lose(item)
                self.attempt()
                self.assertEqual(self.own, self.store.owner())

    def test_view_from_before_the_registration_is_no_loss(self):
        self.attempt()
        self.task.record_view(store_tasks.EntryView(self.store.revision - 1, None))
        self.task._pause(0.0)
        self.attempt()
        self.assertEqual(["renew"], self.store.calls)

    def test_write_that_was_carried_out_without_an_answer_is_found(self):
        swap = self.store.compare_and_swap

        def swap_without_answer(*args):
            swap(*args)
            raise errors.WriteUncertainError(args[0], "no answer")

        self.store.compare_and_swap = swap_without_answer
        self.attempt()
        self.attempt()
        self.attempt()
        self.assertEqual(["renew"], self.store.calls)
        self.assertEqual(self.own, self.store.owner())

    def test_expired_lease_is_followed_by_a_new_entry(self):
        self.attempt()
        self.store.leases, self.store.item = {0, 1, 2} - {1}, None
        self.attempt()
        self.assertEqual((ME.incarnation, 3), self.store.owner())

    def test_watch_shows_the_lost_entry(self):
        self.store.items = (ports.Item("carawaysail/daemon/a-2", b"", 3),)
        self.store.revision = 9
        self.attempt()
        self.store.revision += 1
        members = store_tasks.MembersTask(
            self.store, make_context(FakeInbox()), self.task
        )
        members._step()
        self.task._pause(TIMEOUT_S)
        self.store.item = None
        self.attempt()
        self.assertEqual(self.own, self.store.owner())


class TestClaims(testtools.TestCase):
    """Claims of data centres."""

    def setUp(self):
        super().setUp()
        self.store = Store()
        self.inbox = FakeInbox()
        self.task = store_tasks.ClaimTask(self.store, ME, make_context(self.inbox))

    def claim(self, token):
        self.task.claim("a", token)
        self.task._step()
        return self.inbox.messages[-1].holder

    # The claim's thread ended, so that the data centre had no holder any more.
    def test_unreadable_holder_can_be_replaced(self):
        for value in ODD_RECORDS:
            with self.subTest(value=value[:40]):
                self.store.value = value
                unreadable = self.claim(0)
                revision = self.store.revision
                self.assertEqual(daemons.Holder("a", "", "", revision), unreadable)
                holder = self.claim(unreadable.token)
                self.assertEqual(ME.incarnation, holder.incarnation)
