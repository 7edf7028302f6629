"""The decision loop: exceptions end neither the loop nor what they do not concern."""

import asyncio
import datetime
import unittest.mock

import eliot
import testtools

from carawaysail_fleet import decision_loop, handlers, messages, ports
from carawaysail_holding import broker, broker_messages, gateway
from carawaysail_runtime import inbox
from carawaysail_streams import messages as stream_messages
from carawaysail_types import clock, daemons, jobs, runs

MS = clock.milliseconds
TIMEOUT_S = 5.0
ME = daemons.Daemon("vm-0", "home", "vm-0-1", "vm-0:1")
REMOTE = daemons.Daemon("vm-1", "away", "vm-1-1", "vm-1:1")
HANDLER_MODULES = (handlers,)
"""Modules whose import fills the registries of the decision loop."""


class Component:
    """Records the calls of its methods; those in ``failing`` raise an exception."""

    def __init__(self, *failing):
        self.failing = failing
        self.calls = []

    def __getattr__(self, name):
        def call(*args):
            self.calls.append((name, args))
            if name in self.failing:
                raise RuntimeError(name)
            return 0

        return call


def make_heartbeat():
    """Return a heartbeat without holders and loads."""
    return stream_messages.Heartbeat(False, ())


def make_submit(remaining_ms=900.0):
    """Return the submission of a job with one task to the data centre ``home``."""
    step = jobs.Step(1, jobs.Resources(1000, 64, 0), MS(50))
    queue = jobs.Queue("q", "", "", "search", 0, 2, 1.6, MS(60), MS(1500))
    job = jobs.Job("a" * 16, "", (step,))
    return stream_messages.Submit(job, queue, "home", 0.0, remaining_ms, 1, (), False)


class DecisionLoopCase(testtools.TestCase):
    """Shared fixtures: a decision loop whose components record calls."""

    def setUp(self):
        super().setUp()
        self.clock = clock.ManualClock()
        self.inbox, self.workers = Component(), Component()
        self.replies, self.metrics = Component(), Component()
        self.streams = []
        self.make_loop()

    def make_loop(self, observer=None):
        """Make the decision loop."""
        cfg = ports.Settings(
            "vm-0", "home", "", "", "", "", ("home", "away"), broker_messages.Terms(),
            MS(6000),
        )  # fmt: skip
        self.loop = decision_loop.DecisionLoop(
            cfg, ME, self.inbox, self.clock, self.open_stream, observer=observer
        )
        self.claims = Component()
        self.loop.set_dependencies(
            decision_loop.Dependencies(
                self.workers, self.claims, Component(), self.replies, self.metrics,
                Component(),
            )
        )  # fmt: skip

    def open_stream(self, peer):
        self.streams.append(Component())
        self.streams[-1].peer = peer
        return self.streams[-1]

    def raise_error(self, *args):
        raise KeyError("away")

    def answered(self):
        """Return the outcomes that clients got, by the number of the reply."""
        return {args[0]: args[1] for name, args in self.replies.calls if name == "put"}

    def failures(self):
        """Return the kinds of what has failed."""
        return [
            args[1]
            for name, args in self.metrics.calls
            if name == "count_decision" and args[0] == "failed"
        ]

    def post_job(self, reply_id):
        step = jobs.Step(2, jobs.Resources(1000, 64, 0), MS(50))
        queue = jobs.Queue("q", "", "", "search", 0, 2, 1.6, MS(60), MS(1500))
        job = jobs.Job("a" * 16, "", (step,))
        req = ports.JobRequest(queue, job, MS(1500))
        self.loop.handle(messages.JobPosted(req, reply_id, self.clock.now()))

    def hold_worker(self):
        """Hold one idle worker."""
        now = self.clock.now()
        report = runs.WorkerReport(
            "w-0", "1", "search", "w-0:1", "home", jobs.Resources(32_000, 64_000, 0)
        )
        self.loop.record_holder(daemons.Holder("home", ME.vm, ME.incarnation, 5), now)
        self.loop.handle(messages.ReportsRead((report,), frozenset({"home"}), now))
        status = runs.WorkerStatus("1", MS(10_000), (), ())
        self.loop.handle(messages.WorkerStatusReceived(report, status, now))

    def pass_time(self, duration_ms):
        """Let time pass in short ticks."""
        for _ in range(duration_ms // 20):
            self.clock.advance(MS(20))
            self.loop.tick()

    def receive(self, message, sender=REMOTE):
        """Pass the loop a message of another daemon."""
        self.loop.handle(
            messages.PeerMessagesReceived(sender, (message,), self.clock.now())
        )

    def sent_outcomes(self):
        """Return the outcomes that other daemons were sent."""
        sent = [
            args[0]
            for stream in self.streams
            for name, args in stream.calls
            if name == "send"
        ]
        return [x for x in sent if isinstance(x, stream_messages.Outcome)]


class TestFailedMessages(DecisionLoopCase):
    """Messages whose handler raises an exception."""

    # A client waited until its timeout for a job whose handling had failed.
    def test_client_of_a_failed_job_is_answered_at_once(self):
        self.patch(gateway.Gateway, "handle_job", self.raise_error)
        self.post_job(7)
        outcome = self.answered()[7]
        self.assertIs(jobs.Verdict.UNKNOWN, outcome.verdict)
        self.assertIs(jobs.Reason.INTERNAL_ERROR, outcome.reason)
        self.assertEqual(["JobPosted"], self.failures())

    # The messages behind a failed one in the same frame were lost.
    def test_later_messages_of_a_frame_are_handled(self):
        calls = []
        self.patch(broker.Broker, "submit", self.raise_error)
        self.patch(
            broker.Broker, "withdraw", lambda self, *args: calls.append(args) or []
        )
        step = jobs.Step(1, jobs.NO_RESOURCES, MS(50))
        queue = jobs.Queue("q", "", "", "search", 0, 2, 1.6, MS(60), MS(1500))
        submit = stream_messages.Submit(
            jobs.Job("a" * 16, "", (step,)), queue, "home", 0.0, 900.0, 1, (), False
        )
        withdraw = stream_messages.Withdraw("b" * 16, 2)
        self.loop.handle(
            messages.PeerMessagesReceived(REMOTE, (submit, withdraw), self.clock.now())
        )
        self.assertEqual(1, len(calls))
        self.assertEqual(["Submit"], self.failures())

    # A gateway waited until its client's timeout for a shard whose handling had failed.
    def test_gateway_of_a_failed_shard_is_answered_at_once(self):
        self.patch(broker.Broker, "submit", self.raise_error)
        self.receive(make_heartbeat())
        self.receive(make_submit())
        self.assertEqual(
            [jobs.Verdict.UNKNOWN], [x.outcome.verdict for x in self.sent_outcomes()]
        )


class TestConfigurations(DecisionLoopCase):
    """Configurations that are read from the store."""

    # A configuration that was applied in part counted as in force, and was never
    # applied to the front end.
    def test_configuration_that_failed_is_applied_when_it_is_read_again(self):
        self.loop.apply_limits = self.raise_error
        cfg = jobs.Configuration(3, (), (), jobs.Limits())
        self.loop.handle(messages.ConfigurationRead(cfg, self.clock.now()))
        self.loop.apply_limits = lambda limits: None
        self.loop.handle(messages.ConfigurationRead(cfg, self.clock.now()))
        self.assertIn(("configure", (cfg,)), self.loop.dependencies.front_end.calls)


class TestFailedActions(DecisionLoopCase):
    """Actions that raise an exception when they are carried out."""

    # The actions behind a failed one were never carried out, an answer among them.
    def test_later_actions_are_carried_out(self):
        outcome = jobs.JobOutcome(jobs.Verdict.COMPLETED)
        withdrawal = gateway.SendWithdrawal(REMOTE, "a" * 16, 1)
        self.patch(decision_loop.DecisionLoop, "send", self.raise_error)
        self.loop.perform(
            [withdrawal, gateway.Answer(3, "a" * 16, outcome)], self.clock.now()
        )
        self.assertEqual({3: outcome}, self.answered())
        self.assertEqual(["SendWithdrawal"], self.failures())

    # A task whose start order was never sent held its worker until the job's deadline.
    def test_run_whose_order_failed_is_stopped_before_the_deadline(self):
        self.hold_worker()
        self.workers.failing = ("start",)
        self.receive(make_submit(remaining_ms=5000.0), ME)
        self.assertEqual(["StartRun"], self.failures())
        self.pass_time(1000)
        self.assertIn("stop", [name for name, _ in self.workers.calls])

    # A worker whose poll was never sent was never polled again.
    def test_worker_whose_poll_failed_is_polled_again(self):
        self.workers.failing = ("poll",)
        self.hold_worker()
        self.workers.failing = ()
        self.workers.calls.clear()
        self.pass_time(2000)
        self.assertIn("poll", [name for name, _ in self.workers.calls])


class TestLatePolls(DecisionLoopCase):
    """Polls that were sent before the worker was held as it is now."""

    # The refusal of a poll with an earlier token released a data centre that was held
    # again, and nobody held it from then on.
    def test_late_refusal_of_an_earlier_token_releases_nothing(self):
        self.hold_worker()
        sent_at = self.clock.now()
        self.clock.advance(MS(50))
        now = self.clock.now()
        for vm, incarnation, token in (
            (REMOTE.vm, REMOTE.incarnation, 6),
            (ME.vm, ME.incarnation, 7),
        ):
            holder = daemons.Holder("home", vm, incarnation, token)
            self.loop.record_holder(holder, now)
        [worker_id] = self.loop.broker.worker_ids()
        report = runs.WorkerReport(
            worker_id, "1", "search", "w-0:1", "home", jobs.NO_RESOURCES
        )
        self.loop.handle(
            messages.WorkerStatusReceived(report, runs.OrderResult.FENCED, sent_at)
        )
        self.assertEqual({"home": 7}, self.loop.broker.tokens())


class TestRefusedOrders(DecisionLoopCase):
    """Orders that a worker refuses because of their token."""

    # The refusal of a late order with an earlier token left the data centre without a
    # daemon that held its workers, and nobody claimed it.
    def test_refused_holder_with_the_newest_record_claims_again(self):
        self.hold_worker()
        report = runs.WorkerReport(
            "w-0", "1", "search", "w-0:1", "home", jobs.NO_RESOURCES
        )
        run = runs.Run(runs.Task("a" * 16, 0, 0, 0), 1)
        self.loop.handle(
            messages.StartResultReceived(report, run, runs.OrderResult.FENCED)
        )
        self.pass_time(30_000)
        claims = [name for name, _ in self.loop.dependencies.claims.calls]
        self.assertTrue(self.loop.broker.tokens() or "claim" in claims)


class TestFailedTicks(DecisionLoopCase):
    """Timed steps that raise an exception."""

    # An exception in a tick ended the task of the loop, and the process served nobody.
    def test_later_steps_are_done(self):
        self.patch(broker.Broker, "tick", self.raise_error)
        self.clock.advance(datetime.timedelta(seconds=1))
        self.loop.tick()
        self.assertEqual(["_check_broker"], self.failures())
        self.assertIn("set_sizes", [name for name, _ in self.metrics.calls])

    # The task of the loop ended without a log line; no decision was made any more.
    def test_loop_goes_on_with_a_pause_and_one_log_line(self):
        log = []
        eliot.add_destinations(log.append)
        # The first destination receives what was logged before.
        log.clear()
        self.addCleanup(eliot.remove_destination, log.append)
        source = self.loop.clock = clock.SystemClock()
        calls = []

        def tick(*args):
            calls.append(source.seconds())
            if len(calls) < 4:
                raise OverflowError("odd")
            return []

        self.patch(broker.Broker, "tick", tick)

        async def run():
            self.loop.inbox = inbox.Inbox(asyncio.get_running_loop(), 10)
            task = asyncio.create_task(self.loop.run())
            end_s = source.seconds() + TIMEOUT_S
            while len(calls) < 5 and source.seconds() < end_s:
                await asyncio.sleep(0.01)
            self.assertFalse(task.done())
            task.cancel()

        asyncio.run(run())
        errors = [x["text"] for x in log if x["message_type"].endswith(":error")]
        self.assertEqual(["Timed step failed."], errors)
        pause_s = decision_loop.BUSY_TICK_INTERVAL.total_seconds()
        self.assertGreaterEqual(calls[3] - calls[0], 3 * pause_s)


class TestLeaving(DecisionLoopCase):
    """A daemon that is asked to end."""

    # The daemon ended although a client had come after it was first idle.
    def test_job_that_comes_while_leaving_is_waited_for(self):
        self.replies.waiting_count = lambda: 0
        self.loop.handle(messages.LeaveRequested())
        self.loop.tick()
        self.assertTrue(self.loop.has_ended.is_set())
        self.replies.waiting_count = lambda: 1
        self.loop.tick()
        self.assertFalse(self.loop.has_ended.is_set())


class TestIdleWork(DecisionLoopCase):
    """What a daemon does while its clients wait for the holders."""

    # A daemon with a waiting client woke up every 20 ms only to look for deadlines.
    def test_gateway_with_waiting_clients_is_not_woken_for_each_deadline_check(self):
        self.receive(make_heartbeat())
        self.loop.record_holder(
            daemons.Holder("home", REMOTE.vm, REMOTE.incarnation, 5), self.clock.now()
        )
        self.loop.tick()
        before = self.loop.max_wait()
        self.post_job(7)
        self.assertEqual(1, self.loop.gateway.open_jobs())
        self.assertGreaterEqual(self.loop.max_wait(), before)

    # Each daemon of a fleet of a hundred looked at all others eight times a second, for
    # a list that only holders use.
    def test_only_holders_look_at_all_other_daemons(self):
        for number in range(2, 100):
            vm = f"vm-{number}"
            self.receive(make_heartbeat(), daemons.Daemon(vm, "away", vm, f"{vm}:1"))
        looks = []
        real = self.loop.election.live_peers
        self.patch(
            self.loop.election, "live_peers", lambda now: looks.append(now) or real(now)
        )
        for _ in range(20):
            self.clock.advance(MS(50))
            self.receive(make_heartbeat())
            self.loop.tick()
        self.assertEqual([], looks)
        self.hold_worker()
        self.assertNotEqual([], looks)

    def test_client_is_answered_when_its_job_is_due(self):
        self.receive(make_heartbeat())
        self.loop.record_holder(
            daemons.Holder("home", REMOTE.vm, REMOTE.incarnation, 5), self.clock.now()
        )
        self.loop.tick()
        self.post_job(7)
        waited_ms = 0
        while not self.answered() and waited_ms < 3000:
            wait = self.loop.max_wait()
            waited_ms += clock.to_milliseconds(wait)
            self.clock.advance(wait)
            self.receive(make_heartbeat())
            self.loop.tick()
        self.assertIs(jobs.Reason.TIMED_OUT, self.answered()[7].reason)
        margin_ms = clock.to_milliseconds(gateway.ANSWER_MARGIN)
        self.assertAlmostEqual(1500 + margin_ms, waited_ms, delta=1.0)


class TestOverload(DecisionLoopCase):
    """A daemon that gets more messages than it can handle at once."""

    def run_with_messages(self, count, duration_ms):
        """Let the loop handle messages, each of which takes some time."""
        handled = []

        def handle(loop, *args):
            handled.append(args)
            self.clock.advance(MS(duration_ms))

        async def run():
            self.loop.inbox = inbox.Inbox(asyncio.get_running_loop(), 10)
            for _ in range(count):
                self.loop.inbox.put(messages.LeaveRequested())
            task = asyncio.create_task(self.loop.run())
            async with asyncio.timeout(TIMEOUT_S):
                while len(handled) < count:
                    await asyncio.sleep(0)
            task.cancel()

        with unittest.mock.patch.object(decision_loop.DecisionLoop, "dispatch", handle):
            asyncio.run(run())

    # Heartbeats waited behind all messages of a batch, and other daemons took a holder
    # at peak load for dead.
    def test_heartbeats_do_not_wait_for_all_messages(self):
        self.receive(make_heartbeat())
        self.loop.tick()
        [stream] = self.streams
        stream.calls.clear()
        self.run_with_messages(100, 10)
        sent = [name for name, _ in stream.calls if name == "send_shared"]
        self.assertGreaterEqual(len(sent), 1000 // 150)

    # A holder that was late started tasks of clients that had left.
    def test_shard_of_a_client_that_has_left_meanwhile_is_refused(self):
        self.receive(make_heartbeat())
        self.hold_worker()
        read_at = self.clock.now()
        self.run_with_messages(3, 160)
        submit = make_submit(remaining_ms=40.0)
        self.loop.handle(messages.PeerMessagesReceived(REMOTE, (submit,), read_at))
        self.assertEqual(
            [jobs.Verdict.REFUSED], [x.outcome.verdict for x in self.sent_outcomes()]
        )
        self.assertNotIn("start", [name for name, _ in self.workers.calls])

    def test_delay_is_a_metric_and_travels_with_the_load(self):
        self.receive(make_heartbeat())
        self.hold_worker()
        self.run_with_messages(20, 100)
        self.loop.tick()
        [stream] = self.streams
        shared = [args[0].message for name, args in stream.calls
                  if name == "send_shared"]  # fmt: skip
        loads = [x for x in shared if isinstance(x, stream_messages.Loads)]
        self.assertGreater(loads[-1].delay_ms, 20)
        sizes = [args[0] for name, args in self.metrics.calls if name == "set_sizes"]
        self.assertGreater(sizes[-1]["delay_ms"], 20)


class LateObserver:
    """Observer of an event loop that is late until ``catch_up`` is called."""

    def __init__(self, source):
        self.clock = source
        self.late = MS(700)
        # How long the turns between two questions take.
        self.turns_take = MS(0)

    def handled_until(self):
        self.clock.advance(self.turns_take)
        return self.clock.now() - self.late

    def catch_up(self):
        self.late = MS(0)


class TestPauses(DecisionLoopCase):
    """A daemon that goes on after a pause in which clients have left."""

    TURNS_TO_READ = 6
    """Turns of the event loop until the end of a connection is a message."""

    def setUp(self):
        super().setUp()
        self.observer = LateObserver(self.clock)
        self.make_loop(self.observer)
        self.decided = []
        self.ticked_at = None
        self.catches_up = True

    def go_on(self, *received, client_left=None):
        """Let the loop go on with some messages, while a client's end is unread."""

        def read(turns_left):
            if turns_left:
                asyncio.get_running_loop().call_soon(read, turns_left - 1)
            else:
                self.observer.catch_up()
                if client_left is not None:
                    self.loop.inbox.put(client_left)

        async def run():
            self.loop.inbox = inbox.Inbox(asyncio.get_running_loop(), 10)
            for message in received:
                self.loop.inbox.put(message)
            task = asyncio.create_task(self.loop.run())
            if self.catches_up:
                read(self.TURNS_TO_READ)
            for _ in range(10 * decision_loop.CATCH_UP_TURNS):
                await asyncio.sleep(0)
            task.cancel()

        self.clock.advance(MS(700))
        asyncio.run(run())

    def play(self, *received, client_left=None):
        """Let the loop go on, and record what it handles and when it ticks."""

        def handle(loop, message):
            self.decided.append(type(message).__name__)
            return self.clock.now()

        def tick(loop):
            self.decided.append("tick")
            self.ticked_at = self.ticked_at or self.clock.now()
            self.clock.advance(MS(1))
            loop._last_tick = self.clock.now()
            loop._next_heartbeat = self.clock.now() + MS(60_000)
            return True

        with (
            unittest.mock.patch.object(decision_loop.DecisionLoop, "handle", handle),
            unittest.mock.patch.object(decision_loop.DecisionLoop, "tick", tick),
        ):
            self.go_on(*received, client_left=client_left)

    # It stated, and submitted to new holders, the shards of clients that had left.
    def test_ends_of_clients_are_handled_before_anything_is_decided(self):
        heard = messages.PeerMessagesReceived(REMOTE, (), self.clock.now())
        self.play(heard, client_left=messages.ClientLeft("a" * 16, 1))
        expected = ["ClientLeft", "tick", "PeerMessagesReceived"]
        self.assertEqual(expected, self.decided)

    def test_job_whose_client_has_left_meanwhile_is_not_begun(self):
        step = jobs.Step(2, jobs.Resources(1000, 64, 0), MS(50))
        queue = jobs.Queue("q", "", "", "search", 0, 2, 1.6, MS(60), MS(1500))
        req = ports.JobRequest(queue, jobs.Job("a" * 16, "", (step,)), MS(1500))
        posted = [messages.JobPosted(req, x, self.clock.now()) for x in (1, 2)]
        self.play(*posted, client_left=messages.ClientLeft("a" * 16, 1))
        self.assertEqual(["ClientLeft", "tick", "JobPosted"], self.decided)

    def test_loop_that_stays_late_goes_on(self):
        heard = messages.PeerMessagesReceived(REMOTE, (), self.clock.now())
        self.catches_up = False
        self.play(heard)
        self.assertEqual(["tick", "PeerMessagesReceived"], self.decided[:2])

    # Other daemons would take a slow one for dead.
    def test_heartbeats_wait_for_a_short_time_only(self):
        self.catches_up = False
        self.observer.turns_take = MS(30)
        went_on_at = self.clock.now() + MS(700)
        self.play(messages.PeerMessagesReceived(REMOTE, (), self.clock.now()))
        self.assertLess(self.ticked_at - went_on_at, MS(200))

    # It claimed the data centre of a holder that had been well all the time.
    def test_others_do_not_count_as_silent(self):
        holder = REMOTE._replace(data_centre="home")
        self.observer.catch_up()
        self.receive(make_heartbeat(), holder)
        self.loop.record_holder(
            daemons.Holder("home", holder.vm, holder.incarnation, 5), self.clock.now()
        )
        for _ in range(40):
            self.clock.advance(MS(100))
            self.receive(make_heartbeat(), holder)
            self.loop.tick()
        self.observer.late = MS(700)
        self.go_on(messages.PeerMessagesReceived(ME, (), self.clock.now()))
        self.assertEqual([], self.claims.calls)
        for _ in range(7):
            self.clock.advance(MS(100))
            self.loop.tick()
        self.assertEqual([("claim", ("home", 5))], self.claims.calls[:1])

    # The same, if it stood still between two messages.
    def test_nobody_counts_as_silent_before_it_has_read(self):
        step = unittest.mock.Mock(__name__="judge")
        with unittest.mock.patch.object(decision_loop, "_SLOW_STEPS", (step,)):
            self.clock.advance(MS(700))
            self.loop.tick()
            step.assert_not_called()
            self.observer.catch_up()
            self.loop.tick()
            step.assert_called()


class TestHeartbeats(DecisionLoopCase):
    """Heartbeats of other daemons."""

    def test_what_was_sent_stands_for_a_heartbeat_without_news(self):
        self.receive(make_heartbeat())
        for _ in range(decision_loop.HEARTBEATS_PER_REFRESH):
            self.clock.advance(MS(300))
            self.loop.tick()
        [stream] = self.streams
        stream.calls.clear()
        self.clock.advance(MS(300))
        self.loop.tick()
        stream.calls.clear()
        self.loop.send(REMOTE, make_heartbeat())
        self.clock.advance(MS(300))
        self.loop.tick()
        self.assertEqual(
            ["send", "count_heartbeat"], [name for name, _ in stream.calls]
        )
        self.clock.advance(MS(300))
        self.loop.tick()
        self.assertIn("send_shared", [name for name, _ in stream.calls])

    # Shards that a restarted daemon had sent before its first heartbeat were withdrawn
    # as those of its earlier incarnation, and their clients waited until the timeout.
    def test_first_heartbeat_keeps_the_shards_of_its_own_incarnation(self):
        self.hold_worker()
        self.receive(make_submit())
        self.assertEqual(1, self.loop.broker.counts()["jobs"])
        self.receive(make_heartbeat())
        self.assertEqual(1, self.loop.broker.counts()["jobs"])

    def test_first_heartbeat_withdraws_the_shards_of_an_earlier_incarnation(self):
        self.hold_worker()
        self.receive(make_heartbeat())
        self.receive(make_submit())
        self.receive(make_heartbeat(), REMOTE._replace(incarnation="vm-1-2"))
        self.assertEqual(0, self.loop.broker.counts()["jobs"])

    # The outcome of a shard was dropped if no heartbeat of its daemon had arrived yet.
    def test_shard_refused_before_the_first_heartbeat_is_answered(self):
        self.receive(make_submit())
        self.receive(make_heartbeat())
        self.pass_time(500)
        self.assertEqual(
            [jobs.Verdict.REFUSED], [x.outcome.verdict for x in self.sent_outcomes()]
        )

    def test_load_of_a_new_holder_counts_with_its_heartbeat(self):
        holder = daemons.Holder("away", REMOTE.vm, REMOTE.incarnation, 5)
        seen = []
        self.patch(
            gateway.Gateway, "record_load", lambda self, *args: seen.append(
                (args[0], set(self._brokers))
            ),
        )  # fmt: skip
        heartbeat = stream_messages.Heartbeat(False, (holder,))
        load = stream_messages.Loads((("away", ()),))
        self.loop.handle(
            messages.PeerMessagesReceived(REMOTE, (heartbeat, load), self.clock.now())
        )
        self.assertEqual([(REMOTE, {"away"})], seen)
