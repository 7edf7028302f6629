"""Two daemons, a gateway and a broker, on a link that loses messages."""

import testtools

from carawaysail_fleet import decision_loop, handlers, messages, ports
from carawaysail_holding import broker_messages
from carawaysail_streams import messages as stream_messages
from carawaysail_types import clock, daemons, jobs, runs

MS = clock.milliseconds
GATEWAY = daemons.Daemon("vm-0", "home", "vm-0-1", "vm-0:1")
BROKER = daemons.Daemon("vm-1", "away", "vm-1-1", "vm-1:1")
HANDLER_MODULES = (handlers,)
"""Modules whose import fills the registries of the decision loop."""

WORKER = runs.WorkerReport(
    "w-0", "1", "search", "w-0:1", "away", jobs.Resources(32_000, 64_000, 0)
)
QUEUE = jobs.Queue("q", "", "", "search", 0, 2, 1.6, MS(60), MS(1500))


class Component:
    """Records the calls of its methods."""

    def __init__(self):
        self.calls = []

    def __getattr__(self, name):
        def call(*args):
            self.calls.append((name, args))
            return 0

        return call

    def arguments(self, name):
        """Return the first argument of each call of a method."""
        return [args[0] for called, args in self.calls if called == name]


class Link:
    """A connection of a daemon to the other; it drops messages while ``is_lossy``."""

    def __init__(self, site, peer):
        self.peer = peer
        self._site = site

    def send(self, message):
        if self._site.held_up is not None and self.peer == BROKER:
            self._site.held_up.append((self.peer, message))
        elif not self._site.is_lossy:
            self._site.under_way.append((self.peer, message))

    def send_shared(self, shared):
        self.send(shared.message)

    def count_heartbeat(self):
        return 0

    def restart(self):
        pass

    def close(self):
        pass


class Inbox:
    """Inbox of a daemon that puts messages behind those that are under way."""

    def __init__(self, site, me):
        self._site, self._me = site, me

    def put(self, message):
        self._site.under_way.append((self._me, message))


class Observer:
    """Observer of a daemon's event loop; it reads nothing after ``stuck_since``."""

    def __init__(self, source):
        self.clock = source
        self.stuck_since = None

    def handled_until(self):
        return self.stuck_since or self.clock.now()


class TwoDaemonsCase(testtools.TestCase):
    """Shared fixtures: a gateway, and a broker that holds one worker."""

    def setUp(self):
        super().setUp()
        self.clock = clock.ManualClock()
        self.under_way = []
        self.is_lossy = False
        # Daemons that stand still, each with when it was stopped.
        self.frozen = {}
        # What the network holds up on the way to the broker; None if it does not.
        self.held_up = None
        self.workers = {x: Component() for x in (GATEWAY, BROKER)}
        self.replies = {x: Component() for x in (GATEWAY, BROKER)}
        self.observers = {x: Observer(self.clock) for x in (GATEWAY, BROKER)}
        self.loops = {x: self.make_loop(x) for x in (GATEWAY, BROKER)}
        self.open_connections()
        holder = daemons.Holder("away", BROKER.vm, BROKER.incarnation, 5)
        for loop in self.loops.values():
            loop.record_holder(holder, self.now)
        broker = self.loops[BROKER]
        broker.handle(messages.ReportsRead((WORKER,), frozenset({"away"}), self.now))
        self.report_status()
        self.pass_time(200)

    @property
    def now(self):
        return self.clock.now()

    def make_loop(self, me):
        cfg = ports.Settings(
            me.vm, me.data_centre, "", "", "", "", ("home", "away"),
            broker_messages.Terms(), MS(6000),
        )  # fmt: skip
        loop = decision_loop.DecisionLoop(
            cfg, me, Inbox(self, me), self.clock, lambda peer: Link(self, peer),
            observer=self.observers[me],
        )  # fmt: skip
        loop.set_dependencies(
            decision_loop.Dependencies(
                self.workers[me], Component(), Component(), self.replies[me],
                Component(), Component(),
            )
        )  # fmt: skip
        return loop

    def open_connections(self):
        """Open the connection of each daemon to the other, as after a reset."""
        for me, peer in ((GATEWAY, BROKER), (BROKER, GATEWAY)):
            loop = self.loops[me]
            loop.handle(messages.PeerMessagesReceived(peer, (), self.now))
            loop.handle(messages.ConnectionAccepted(peer, Link(self, peer)))
            loop.handle(messages.StreamOpened(peer))
        self.deliver()

    def deliver(self):
        """Deliver all messages under way, and those that follow from them.

        Those to a daemon that stands still wait.
        """
        waiting = []
        while self.under_way:
            receiver, message = self.under_way.pop(0)
            if receiver in self.frozen:
                waiting.append((receiver, message))
            else:
                self.pass_message(receiver, message, self.now)
        self.under_way = waiting

    def pass_message(self, receiver, message, sent_at):
        """Pass a daemon a message that can have been sent at an instant."""
        sender = BROKER if receiver == GATEWAY else GATEWAY
        if isinstance(message, stream_messages.Message):
            message = messages.PeerMessagesReceived(sender, (message,), sent_at)
        self.loops[receiver].handle(message)

    def freeze(self, daemon, duration_ms):
        """Let a daemon stand still for some time, then read what has come."""
        self.frozen[daemon] = self.now
        self.pass_time(duration_ms)
        self.thaw(daemon)

    def thaw(self, daemon):
        """Let a daemon go on that stood still."""
        stopped_at = self.frozen.pop(daemon)
        waiting, self.under_way = self.under_way, []
        self.loops[daemon].tick()
        for receiver, message in waiting:
            self.pass_message(receiver, message, stopped_at)
        self.deliver()

    def pass_time(self, duration_ms):
        """Let time pass in short ticks."""
        for _ in range(duration_ms // 20):
            self.clock.advance(MS(20))
            for daemon, loop in self.loops.items():
                if daemon not in self.frozen:
                    loop.tick()
            self.deliver()

    def read_reports(self, daemon, *workers):
        """Let a daemon read the reports of workers, which answer its first poll."""
        data_centres = frozenset(x.data_centre for x in workers)
        self.loops[daemon].handle(messages.ReportsRead(workers, data_centres, self.now))
        for worker in workers:
            self.report_status(daemon=daemon, worker=worker)

    def report_status(self, *running, daemon=BROKER, worker=WORKER):
        """Let a worker answer a poll."""
        status = runs.WorkerStatus("1", MS(10_000), tuple(running), ())
        self.loops[daemon].handle(
            messages.WorkerStatusReceived(worker, status, self.now)
        )
        self.deliver()

    def post(self, reply_id=1, timeout_ms=1500):
        """Post a job with one task."""
        step = jobs.Step(1, jobs.Resources(1000, 64, 0), MS(900))
        req = ports.JobRequest(QUEUE, jobs.Job("a" * 16, "", (step,)), MS(timeout_ms))
        self.loops[GATEWAY].handle(messages.JobPosted(req, reply_id, self.now))
        self.deliver()

    def post_job(self):
        """Post a job with one task, which starts; return its run."""
        self.post()
        run = self.orders("start")[-1].run
        self.loops[BROKER].handle(
            messages.StartResultReceived(WORKER, run, runs.OrderResult.ACCEPTED)
        )
        return run

    def leave(self, reply_id=1):
        """Let the client of the job disconnect."""
        self.loops[GATEWAY].handle(messages.ClientLeft("a" * 16, reply_id))
        self.deliver()

    def orders(self, kind, daemon=BROKER):
        """Return a daemon's orders to workers: ``start`` or ``stop``."""
        return self.workers[daemon].arguments(kind)

    def answers(self):
        """Return the outcomes that clients got."""
        return [x[1][1] for x in self.replies[GATEWAY].calls if x[0] == "put"]


class TestLostWithdrawals(TwoDaemonsCase):
    """A withdrawal that is lost on its way to the broker."""

    # The run went on until the job's deadline, beside that of the next attempt.
    def test_withdrawal_lost_with_a_connection_is_made_up_for_by_the_next_one(self):
        run = self.post_job()
        self.is_lossy = True
        self.leave()
        self.is_lossy = False
        self.assertEqual([], self.orders("stop"))
        self.open_connections()
        self.assertEqual([run], [x.run for x in self.orders("stop")])

    # No connection was opened anew, so nothing made up for it.
    def test_withdrawal_lost_on_a_connection_that_stays_open(self):
        run = self.post_job()
        self.is_lossy = True
        self.leave()
        self.is_lossy = False
        self.pass_time(300)
        self.assertEqual([run], [x.run for x in self.orders("stop")])

    def test_shard_that_is_waited_for_runs_on(self):
        run = self.post_job()
        self.open_connections()
        for _ in range(3):
            self.pass_time(200)
            self.report_status(run)
        self.assertEqual([], self.orders("stop"))


class TestFormerHolder(TwoDaemonsCase):
    """A broker that another holder has replaced, which the gateway cannot reach yet."""

    def replace_holder(self):
        newer = daemons.Holder("away", "vm-2", "vm-2-1", 6)
        self.loops[BROKER].record_holder(newer, self.now)
        self.open_connections()

    # The client got 503, which says that nothing ran, while the task ran.
    def test_job_with_a_run_is_not_refused(self):
        self.post_job()
        self.replace_holder()
        self.assertEqual([], self.answers())
        self.pass_time(1000)
        unknown = jobs.JobOutcome(jobs.Verdict.UNKNOWN, jobs.Reason.BROKER_LOST)
        self.assertEqual([unknown], self.answers())

    # The task was started a second time, in the gateway's own data centre.
    def test_job_with_a_run_is_not_started_in_another_data_centre(self):
        self.post_job()
        own = daemons.Holder("home", GATEWAY.vm, GATEWAY.incarnation, 3)
        self.loops[GATEWAY].record_holder(own, self.now)
        worker = WORKER._replace(worker_id="w-1", data_centre="home")
        self.read_reports(GATEWAY, worker)
        self.replace_holder()
        self.pass_time(1000)
        self.assertEqual([], self.orders("start", GATEWAY))


class TestKilledHolder(TwoDaemonsCase):
    """A holder that is killed right after a start; the gateway's daemon is the next."""

    def setUp(self):
        super().setUp()
        self.other = WORKER._replace(worker_id="w-1", address="w-1:1")

    def start_and_kill(self):
        """Let the holder start a task, and end before it can tell its gateway."""
        self.held_up = []
        self.post()
        to_broker, self.held_up = self.held_up, None
        for _, message in to_broker:
            self.pass_message(BROKER, message, self.now)
        self.under_way.clear()
        self.frozen[BROKER] = self.now
        [start] = self.orders("start")
        self.loops[GATEWAY].handle(messages.ConnectionRefused(BROKER))
        return start.run

    def succeed(self, *workers):
        """Let the gateway's daemon become the holder, and read a list of workers."""
        holder = daemons.Holder("away", GATEWAY.vm, GATEWAY.incarnation, 6)
        self.loops[GATEWAY].record_holder(holder, self.now)
        self.read_reports(GATEWAY, *workers)
        self.deliver()

    # The entry of the worker had expired while the store was down.
    def test_task_on_a_worker_that_the_list_lacks_is_not_started_again(self):
        run = self.start_and_kill()
        self.succeed(self.other)
        self.pass_time(500)
        self.assertEqual([], self.orders("start", GATEWAY))
        self.loops[GATEWAY].handle(
            messages.ReportsRead((self.other, WORKER), frozenset({"away"}), self.now)
        )
        self.report_status(run, daemon=GATEWAY)
        self.pass_time(100)
        self.assertEqual([], self.orders("start", GATEWAY))
        self.assertEqual([], self.orders("stop", GATEWAY))

    def test_daemon_that_has_just_started_is_told_of_the_workers(self):
        self.loops[GATEWAY] = self.make_loop(GATEWAY)
        self.open_connections()
        self.pass_time(200)
        self.start_and_kill()
        self.succeed(self.other)
        self.pass_time(500)
        self.assertEqual([], self.orders("start", GATEWAY))
        expected = self.loops[GATEWAY].broker.worker_sets()[0].workers
        self.assertEqual({"w-0", "w-1"}, expected)

    # A worker that was told of and that answers without the run keeps no task waiting.
    def test_task_starts_once_all_workers_have_answered(self):
        self.start_and_kill()
        self.succeed(self.other)
        self.pass_time(200)
        self.assertEqual([], self.orders("start", GATEWAY))
        self.read_reports(GATEWAY, self.other, WORKER)
        self.pass_time(100)
        self.assertEqual(1, len(self.orders("start", GATEWAY)))


class TestFrozenBroker(TwoDaemonsCase):
    """A broker that stands still while shards are submitted and withdrawn."""

    # The run started, beside that of the client's next attempt, until the withdrawal
    # behind the submission was read.
    def test_shard_that_was_withdrawn_meanwhile_starts_nothing(self):
        self.frozen[BROKER] = self.now
        self.post(timeout_ms=9000)
        self.pass_time(100)
        self.leave()
        self.pass_time(1400)
        self.thaw(BROKER)
        self.pass_time(500)
        self.assertEqual([], self.orders("start"))

    def test_shard_whose_client_still_waits_starts_afterwards(self):
        self.frozen[BROKER] = self.now
        self.post(timeout_ms=9000)
        self.pass_time(900)
        self.thaw(BROKER)
        self.pass_time(200)
        self.assertEqual(1, len(self.orders("start")))

    # Its silence did not count while the gateway stood still as well, so that did not
    # submit again what the broker had refused as old.
    def test_shard_whose_gateway_stood_still_as_well_starts_afterwards(self):
        self.frozen[BROKER] = self.now
        self.pass_time(400)
        self.loops[GATEWAY].election.record_pause(MS(400), self.now)
        self.post(timeout_ms=9000)
        self.pass_time(500)
        self.thaw(BROKER)
        self.pass_time(200)
        self.assertEqual(1, len(self.orders("start")))

    def test_short_pause_changes_nothing(self):
        self.frozen[BROKER] = self.now
        self.post()
        self.pass_time(300)
        self.thaw(BROKER)
        self.assertEqual(1, len(self.orders("start")))


class TestLostGateway(TwoDaemonsCase):
    """A gateway of which the broker hears nothing any more."""

    def test_its_runs_are_stopped(self):
        run = self.post_job()
        self.frozen[GATEWAY] = self.now
        self.pass_time(640)
        self.assertEqual([run], [x.run for x in self.orders("stop")])

    # What else arrives of it does not say that its clients wait.
    def test_its_runs_are_stopped_if_it_states_nothing(self):
        run = self.post_job()
        self.frozen[GATEWAY] = self.now
        for _ in range(7):
            self.pass_time(100)
            message = stream_messages.Heartbeat(False, ())
            self.pass_message(BROKER, message, self.now)
        self.assertEqual([run], [x.run for x in self.orders("stop")])


class TestLateGateway(TwoDaemonsCase):
    """A gateway that goes on, but has not read what its clients sent of late."""

    def stop_reading(self, duration_ms):
        self.observers[GATEWAY].stuck_since = self.now
        self.pass_time(duration_ms)

    def lease_ms(self, run):
        """Return for how long the next poll of the worker extends its lease."""
        self.report_status(run)
        lease_end = self.orders("poll")[-1].lease_end
        # The worker's clock shows 10 s in each status.
        return lease_end and clock.to_milliseconds(lease_end - MS(10_000))

    # Its statements renewed the lease for clients that may have left long ago.
    def test_lease_counts_from_what_it_has_read(self):
        run = self.post_job()
        self.stop_reading(400)
        longest_ms = 1250 / 1.02 - 60
        self.assertAlmostEqual(longest_ms - 400, self.lease_ms(run), 2)

    def test_its_runs_are_stopped_if_it_reads_nothing(self):
        run = self.post_job()
        self.stop_reading(640)
        self.assertEqual([run], [x.run for x in self.orders("stop")])

    # Its new holder started it beside the client's next attempt.
    def test_shard_that_it_submits_again_starts_nothing(self):
        self.is_lossy = True
        self.post(timeout_ms=9000)
        self.is_lossy = False
        self.stop_reading(700)
        self.open_connections()
        self.assertEqual([], self.orders("start"))

    # The broker refused it as old, and nobody submitted it again.
    def test_shard_that_it_submits_again_starts_once_it_has_read(self):
        self.is_lossy = True
        self.post(timeout_ms=9000)
        self.is_lossy = False
        self.stop_reading(700)
        self.open_connections()
        self.observers[GATEWAY].stuck_since = None
        self.pass_time(160)
        self.assertEqual(1, len(self.orders("start")))

    def test_job_that_has_just_come_starts_at_once(self):
        self.stop_reading(700)
        self.post()
        self.assertEqual(1, len(self.orders("start")))


class TestHeldUpLink(TwoDaemonsCase):
    """A network that delivers what a gateway has sent much later, with no sign of it.

    The same shows if the VM of the gateway is suspended with bytes in its sockets.
    """

    def hold_up(self, duration_ms):
        """Hold up all to the broker for some time."""
        self.pass_time(duration_ms)
        self.under_way, self.held_up = self.held_up, None
        self.deliver()

    # The submission looked new: its task started, and ended the client's next attempt.
    def test_shard_that_was_withdrawn_meanwhile_starts_nothing(self):
        self.held_up = []
        self.post(timeout_ms=9000)
        self.pass_time(100)
        self.leave()
        self.hold_up(1400)
        self.pass_time(300)
        self.assertEqual([], self.orders("start"))

    def test_shard_that_is_held_up_shortly_starts(self):
        self.held_up = []
        self.post()
        self.hold_up(400)
        self.assertEqual(1, len(self.orders("start")))
