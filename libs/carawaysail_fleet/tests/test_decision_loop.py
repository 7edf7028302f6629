"""The decision loop: exceptions end neither the loop nor what they do not concern."""

import datetime

import testtools

from carawaysail_fleet import decision_loop, handlers, messages, ports
from carawaysail_holding import broker, broker_messages, gateway
from carawaysail_streams import messages as stream_messages
from carawaysail_types import clock, daemons, jobs

MS = clock.milliseconds
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

        return call


class DecisionLoopCase(testtools.TestCase):
    """Shared fixtures: a decision loop whose components record calls."""

    def setUp(self):
        super().setUp()
        self.clock = clock.ManualClock()
        cfg = ports.Settings(
            "vm-0", "home", "", "", "", "", ("home", "away"), broker_messages.Terms(),
            MS(6000),
        )  # fmt: skip
        self.inbox, self.workers = Component(), Component()
        self.replies, self.metrics = Component(), Component()
        self.loop = decision_loop.DecisionLoop(
            cfg, ME, self.inbox, self.clock, lambda peer: Component()
        )
        self.loop.set_dependencies(
            decision_loop.Dependencies(
                self.workers, Component(), Component(), self.replies, self.metrics,
                Component(),
            )
        )  # fmt: skip

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
        self.loop.handle(messages.JobPosted(req, reply_id))


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
        self.loop.handle(messages.PeerMessagesReceived(REMOTE, (submit, withdraw)))
        self.assertEqual(1, len(calls))
        self.assertEqual(["Submit"], self.failures())


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


class TestFailedTicks(DecisionLoopCase):
    """Timed steps that raise an exception."""

    # An exception in a tick ended the task of the loop, and the process served nobody.
    def test_later_steps_are_done(self):
        self.patch(broker.Broker, "tick", self.raise_error)
        self.clock.advance(datetime.timedelta(seconds=1))
        self.loop.tick()
        self.assertEqual(["_check_broker"], self.failures())
        self.assertIn("set_sizes", [name for name, _ in self.metrics.calls])


class TestHeartbeats(DecisionLoopCase):
    """Heartbeats of other daemons."""

    def test_load_of_a_new_holder_counts_with_its_heartbeat(self):
        holder = daemons.Holder("away", REMOTE.vm, REMOTE.incarnation, 5)
        seen = []
        self.patch(
            gateway.Gateway, "record_load", lambda self, *args: seen.append(
                (args[0], set(self._brokers))
            ),
        )  # fmt: skip
        heartbeat = stream_messages.Heartbeat(
            False, (holder,), (("away", ()),), 10.0, 1
        )
        self.loop.handle(messages.PeerMessagesReceived(REMOTE, (heartbeat,)))
        self.assertEqual([(REMOTE, {"away"})], seen)
