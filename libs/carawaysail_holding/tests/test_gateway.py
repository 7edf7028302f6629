"""The gateway: shards, changes of brokers, and answers to clients."""

import testtools

from carawaysail_holding import broker_messages, gateway, loads, planning
from carawaysail_types import clock, daemons, jobs

MS = clock.milliseconds
ME = daemons.Daemon("vm-0", "home", "vm-0-1", "vm-0:1")
REMOTE = daemons.Daemon("vm-1", "away", "vm-1-1", "vm-1:1")
DONE = jobs.JobOutcome(jobs.Verdict.COMPLETED)


def make_broker(daemon, token, data_centre=None):
    """Return a reachable broker; by default of its daemon's own data centre."""
    data_centre = data_centre or daemon.data_centre
    holder = daemons.Holder(data_centre, daemon.vm, daemon.incarnation, token)
    return gateway.ReachableBroker(holder, daemon)


def make_load(cores):
    """Return the load of a data centre with one worker and some free cores."""
    return loads.ServiceLoad(
        "search", (loads.FreeCapacity(cores * 1000, 1.0),), (1.0,), (), 0, 0.0
    )


class GatewayCase(testtools.TestCase):
    """Shared fixtures: a gateway with a broker at home and a remote one."""

    def setUp(self):
        super().setUp()
        self.clock = clock.ManualClock()
        self.gateway = gateway.Gateway(ME, random_state=1)
        self.brokers = {"home": make_broker(ME, 3), "away": make_broker(REMOTE, 4)}
        self.gateway.update_brokers(self.brokers, self.now)
        self.record_free_cores(home=28, away=28)

    @property
    def now(self):
        return self.clock.now()

    def record_free_cores(self, **cores):
        for data_centre, free in cores.items():
            self.record_load(data_centre, make_load(free))

    def record_load(self, data_centre, load):
        """Record a load report of the data centre's broker."""
        daemon = self.brokers[data_centre].daemon
        self.gateway.record_load(daemon, data_centre, (load,))

    def submit_job(
        self, number=1, task_count=4, reply_id=1, after=(), run_time_ms=100, priority=0
    ):
        step = jobs.Step(task_count, jobs.Resources(14_000, 64, 0), MS(run_time_ms))
        steps = (step, *(step._replace(after=x) for x in after))
        job = jobs.Job(f"{number:016x}", "", steps)
        queue = jobs.Queue(
            f"q{priority}", "", "", "search", priority, 2, 1.6, MS(60), MS(1500)
        )
        submission = broker_messages.Submission(
            job, queue, "home", self.now, self.now + MS(1500)
        )
        return self.gateway.handle_job(submission, reply_id, self.now)

    def handle_outcome(self, sent, outcome):
        submission = sent.submission
        return self.gateway.handle_outcome(
            sent.daemon, submission.job.job_id, submission.shard, outcome, self.now
        )

    @staticmethod
    def sent(actions):
        return [x for x in actions if isinstance(x, gateway.SendShard)]

    @staticmethod
    def withdrawn(actions):
        return [x.shard for x in actions if isinstance(x, gateway.SendWithdrawal)]

    def assert_answers(self, expected, actions):
        verdicts = [x.outcome.verdict for x in actions if isinstance(x, gateway.Answer)]
        self.assertEqual(expected, verdicts)


class TestShards(GatewayCase):
    """Tasks of a job split into shards for several brokers."""

    def test_each_task_is_in_one_shard(self):
        sent_shards = self.sent(self.submit_job(task_count=4))
        tasks = [n for x in sent_shards for n in x.submission.tasks]
        self.assertEqual([0, 1, 2, 3], sorted(tasks))
        self.assertEqual(
            {"home", "away"}, {x.submission.data_centre for x in sent_shards}
        )

    def test_answer_comes_when_all_shards_are_done(self):
        first, second = self.sent(self.submit_job())
        self.assert_answers([], self.handle_outcome(first, DONE))
        self.assert_answers([jobs.Verdict.COMPLETED], self.handle_outcome(second, DONE))

    def test_failed_shard_ends_the_job_and_withdraws_the_others(self):
        first, second = self.sent(self.submit_job())
        failed = jobs.JobOutcome(jobs.Verdict.FAILED, jobs.Reason.TASK_FAILED)
        actions = self.handle_outcome(first, failed)
        self.assert_answers([jobs.Verdict.FAILED], actions)
        self.assertEqual([second.submission.shard], self.withdrawn(actions))

    def test_later_copy_of_a_job_has_new_shard_numbers(self):
        """Brokers cache outcomes by shard, and a copy may be split differently."""
        first = self.sent(self.submit_job())
        self.gateway.handle_client_left(f"{1:016x}", 1)
        self.record_free_cores(home=56, away=0)
        later = self.sent(self.submit_job())
        self.assertEqual(
            set(), {x.submission.shard for x in first}
            & {x.submission.shard for x in later},
        )  # fmt: skip

    def test_outcome_of_an_earlier_copy_is_ignored(self):
        first = self.sent(self.submit_job())
        self.gateway.handle_client_left(f"{1:016x}", 1)
        self.record_free_cores(home=28, away=28)
        self.submit_job()
        for sent in first:
            self.assert_answers([], self.handle_outcome(sent, DONE))

    def test_job_of_several_steps_stays_whole(self):
        [sent] = self.sent(self.submit_job(task_count=2, after=((0,),)))
        self.assertEqual((), sent.submission.tasks)

    def test_second_client_of_a_job_gets_the_same_answer(self):
        sent_shards = self.sent(self.submit_job(task_count=1))
        self.submit_job(task_count=1, reply_id=2)
        actions = self.handle_outcome(sent_shards[0], DONE)
        self.assert_answers([jobs.Verdict.COMPLETED] * 2, actions)


class TestIdentifiers(GatewayCase):
    """Jobs of different content that have the same identifier."""

    # A client got the answer to another client's job of the same identifier.
    def test_other_job_with_the_identifier_of_one_under_way_is_refused(self):
        [sent] = self.sent(self.submit_job(task_count=1))
        for other in ({"task_count": 2}, {"task_count": 1, "priority": 1}):
            actions = self.submit_job(reply_id=2, **other)
            [answer] = [x for x in actions if isinstance(x, gateway.Answer)]
            self.assertIs(jobs.Verdict.REFUSED, answer.outcome.verdict)
            self.assertIs(jobs.Reason.IDENTIFIER_IN_USE, answer.outcome.reason)
            self.assertEqual(2, answer.reply_id)
        actions = self.handle_outcome(sent, DONE)
        self.assert_answers([jobs.Verdict.COMPLETED], actions)


class TestCountedJobs(GatewayCase):
    """Each job that ends is counted once, by queue, size class and outcome."""

    def counted(self, actions):
        return [
            (x.queue, x.size_class.value, x.outcome.verdict)
            for x in actions
            if isinstance(x, gateway.CountJob)
        ]

    def test_completed_job_is_counted_by_its_size(self):
        for number in range(9):
            self.submit_job(number, task_count=1)
            self.record_free_cores(home=28, away=28)
        actions = self.submit_job(99, task_count=3)
        [*_, last] = [self.handle_outcome(x, DONE) for x in self.sent(actions)]
        self.assertEqual([("q0", "largest", DONE.verdict)], self.counted(last))

    def test_refused_job_is_counted(self):
        actions = self.submit_job(task_count=60)
        self.assertEqual([("q0", "usual", jobs.Verdict.REFUSED)], self.counted(actions))


class TestUnreachableDataCentre(GatewayCase):
    """Data centres whose load is known but whose broker cannot be reached."""

    def setUp(self):
        super().setUp()
        self.gateway.update_brokers({"home": self.brokers["home"]}, self.now)
        self.record_free_cores(home=28, away=28)

    def handle_message(self, handler, *args):
        """Call a handler as the decision loop does, which goes on if it fails."""
        try:
            return handler(*args)
        except Exception:
            return []

    def change_holders(self):
        """Replace the holder of the home data centre."""
        return self.gateway.update_brokers({"home": make_broker(ME, 9)}, self.now)

    # A job was answered as completed while one of its tasks was in no shard.
    def test_completed_job_has_run_all_its_tasks(self):
        actions = self.handle_message(self.submit_job)
        actions = [*actions, *self.change_holders()]
        tasks = set()
        for sent in self.sent(actions):
            tasks.update(sent.submission.tasks)
            answers = self.handle_outcome(sent, DONE)
            if any(isinstance(x, gateway.Answer) for x in answers):
                self.assertEqual({0, 1, 2, 3}, tasks)

    def test_tasks_are_planned_only_where_they_can_be_submitted(self):
        [sent] = self.sent(self.submit_job())
        self.assertEqual((0, 1, 2, 3), sent.submission.tasks)

    def test_load_reported_by_another_daemon_than_the_broker_is_ignored(self):
        other = daemons.Daemon("vm-2", "home", "vm-2-1", "vm-2:1")
        self.gateway.record_load(other, "home", (make_load(0),))
        [sent] = self.sent(self.submit_job(task_count=2))
        self.assertEqual("home", sent.submission.data_centre)

    def replace_plan(self, tasks_by_data_centre):
        plan = planning.Plan(tasks_by_data_centre, 0.0, 0)
        self.patch(planning.CapacityView, "plan", lambda *args: plan)

    # A shard of a job that could not be split was submitted to the next holder.
    def test_job_that_cannot_be_split_leaves_no_shard(self):
        self.replace_plan({"home": 2, "away": 2})
        self.assertRaises(KeyError, self.submit_job)
        self.assertEqual(0, self.gateway.open_jobs())
        self.assertEqual([], self.sent(self.change_holders()))

    # A job counted as complete once the shards that it had were done.
    def test_job_is_not_completed_while_a_task_is_in_no_shard(self):
        self.replace_plan({"home": 3})
        [sent] = self.sent(self.submit_job(task_count=4))
        self.assert_answers([], self.handle_outcome(sent, DONE))


class TestRefusals(GatewayCase):
    """``REFUSED`` is answered only if no task of the job ran."""

    def refusal(self, reason=jobs.Reason.NO_WORKERS):
        return jobs.JobOutcome(jobs.Verdict.REFUSED, reason)

    def test_refused_shard_is_submitted_to_another_broker_once(self):
        self.record_free_cores(home=28, away=0)
        [sent] = self.sent(self.submit_job(task_count=2))
        [resubmitted] = self.sent(self.handle_outcome(sent, self.refusal()))
        self.assertEqual("away", resubmitted.submission.data_centre)
        self.assertNotEqual(sent.submission.shard, resubmitted.submission.shard)
        self.assert_answers(
            [jobs.Verdict.REFUSED], self.handle_outcome(resubmitted, self.refusal())
        )

    def test_job_with_another_shard_under_way_is_unknown(self):
        first, _ = self.sent(self.submit_job())
        never_fits = self.refusal(jobs.Reason.NEVER_FITS)
        self.assert_answers(
            [jobs.Verdict.UNKNOWN], self.handle_outcome(first, never_fits)
        )

    def test_overload_is_refused_at_once_with_a_retry_after(self):
        load = loads.ServiceLoad(
            "search", (), (1.0,), (loads.ExpectedRelease(500.0, 1.0),), 30, 9000.0
        )
        for data_centre in ("home", "away"):
            self.record_load(data_centre, load)
        actions = self.submit_job()
        self.assert_answers([jobs.Verdict.REFUSED], actions)
        [answer] = [x for x in actions if isinstance(x, gateway.Answer)]
        self.assertGreaterEqual(answer.outcome.retry_after, MS(9000))

    def test_job_is_refused_without_any_broker(self):
        self.gateway.update_brokers({}, self.now)
        self.assert_answers([jobs.Verdict.REFUSED], self.submit_job())


class TestAdmissionUnderLoad(GatewayCase):
    """Which jobs are admitted when there is no free slot."""

    def setUp(self):
        super().setUp()
        self.fill_slots(40.0)

    def fill_slots(self, wait_ms):
        """Report loads without a free slot for some time."""
        full = loads.ServiceLoad(
            "search", (), (1.0,), (loads.ExpectedRelease(wait_ms, 1.0),) * 8, 0, 0.0
        )
        for data_centre in ("home", "away"):
            self.record_load(data_centre, full)

    def is_admitted(self, actions):
        return bool(self.sent(actions))

    def test_short_urgent_job_is_queued_at_peak_load(self):
        self.assertTrue(self.is_admitted(self.submit_job(task_count=1)))

    def test_less_urgent_job_is_refused_behind_a_queued_one_at_peak_load(self):
        self.submit_job(1, task_count=1)
        self.assertFalse(self.is_admitted(self.submit_job(2, task_count=1, priority=1)))

    def test_less_urgent_job_with_a_late_target_is_queued_at_peak_load(self):
        self.submit_job(1, task_count=1)
        actions = self.submit_job(2, task_count=1, priority=2, run_time_ms=500)
        self.assertTrue(self.is_admitted(actions))

    # A gateway that had refused a burst of wide jobs saw a fuller fleet than there was
    # until the next reports, and refused what would have fitted.
    def test_refused_jobs_do_not_count_as_load_of_the_next_ones(self):
        self.record_free_cores(home=28, away=28)
        for number in range(20):
            actions = self.submit_job(number, task_count=30)
            self.assert_answers([jobs.Verdict.REFUSED], actions)
        self.assertTrue(self.is_admitted(self.submit_job(99, task_count=4)))

    def test_low_priority_alone_is_not_outranked(self):
        self.assertTrue(self.is_admitted(self.submit_job(1, task_count=1, priority=1)))

    def test_free_slots_are_open_to_every_priority(self):
        self.submit_job(1, task_count=1)
        self.record_free_cores(home=28, away=28)
        self.assertTrue(self.is_admitted(self.submit_job(2, task_count=2, priority=1)))

    def test_straggler_beyond_the_client_timeout_is_refused_at_once(self):
        self.record_free_cores(home=28, away=28)
        for number in range(20):
            self.submit_job(number, task_count=1)
            self.record_free_cores(home=28, away=28)
        actions = self.submit_job(99, task_count=1, run_time_ms=4000)
        self.assert_answers([jobs.Verdict.REFUSED], actions)
        [answer] = [x for x in actions if isinstance(x, gateway.Answer)]
        self.assertEqual(jobs.Reason.TOO_LONG, answer.outcome.reason)
        self.assertEqual(MS(0), answer.outcome.retry_after)

    # A long job in free slots counted as one that waits, since it might outlast its
    # client, and was refused for the sake of more urgent jobs.
    def test_long_job_with_free_slots_does_not_wait_for_urgent_jobs(self):
        self.submit_job(1, task_count=1)
        fast = loads.ServiceLoad(
            "search", (loads.FreeCapacity(28_000, 1.4),), (1.4,), (), 0, 0.0
        )
        self.record_load("home", fast)
        actions = self.submit_job(2, task_count=2, run_time_ms=2000, priority=2)
        self.assertTrue(self.is_admitted(actions))

    # Jobs expected to end a little after their client's limit, of which a good third
    # would have ended before it, were refused while there were free slots for them.
    def test_job_that_may_outlast_its_client_is_admitted_to_free_slots(self):
        fast = loads.ServiceLoad(
            "search", (loads.FreeCapacity(28_000, 1.4),), (1.4,), (), 0, 0.0
        )
        self.record_load("home", fast)
        actions = self.submit_job(1, task_count=2, run_time_ms=2150)
        self.assertTrue(self.is_admitted(actions))

    def test_job_that_would_outlast_its_client_is_refused_at_once(self):
        self.fill_slots(600.0)
        actions = self.submit_job(1, task_count=1, run_time_ms=1000)
        self.assert_answers([jobs.Verdict.REFUSED], actions)

    def test_straggler_within_the_client_timeout_is_admitted(self):
        self.record_free_cores(home=28, away=28)
        self.assertTrue(
            self.is_admitted(self.submit_job(task_count=1, run_time_ms=1000))
        )


class TestSuccession(GatewayCase):
    """Brokers that are replaced by the next holder's, or lost."""

    def test_shard_is_resubmitted_to_the_next_holder_with_its_workers(self):
        sent_shards = self.sent(self.submit_job())
        [away] = [x for x in sent_shards if x.submission.data_centre == "away"]
        job_id, number = away.submission.job.job_id, away.submission.shard
        self.gateway.record_started_workers(REMOTE, job_id, number, ("w-2", "w-1"))
        successors = {"home": self.brokers["home"], "away": make_broker(ME, 9, "away")}
        [resubmitted] = self.sent(self.gateway.update_brokers(successors, self.now))
        self.assertEqual(number, resubmitted.submission.shard)
        self.assertTrue(resubmitted.submission.is_resumed)
        self.assertEqual(("w-1", "w-2"), resubmitted.submission.workers)

    def test_lost_broker_without_successor_makes_the_job_unknown(self):
        self.submit_job()
        self.gateway.update_brokers({"home": self.brokers["home"]}, self.now)
        self.assert_answers([], self.gateway.tick(self.now))
        self.clock.advance(gateway.SUCCESSION_TIMEOUT + MS(1))
        self.assert_answers([jobs.Verdict.UNKNOWN], self.gateway.tick(self.now))

    def test_broker_that_comes_back_keeps_its_shards(self):
        self.submit_job()
        self.gateway.update_brokers({"home": self.brokers["home"]}, self.now)
        self.gateway.update_brokers(self.brokers, self.now)
        self.clock.advance(gateway.SUCCESSION_TIMEOUT + MS(1))
        self.assert_answers([], self.gateway.tick(self.now))

    def test_refusal_of_a_resumed_shard_is_unknown(self):
        self.record_free_cores(home=0, away=28)
        [sent] = self.sent(self.submit_job(task_count=2))
        successors = {"away": make_broker(ME, 9, "away")}
        [resubmitted] = self.sent(self.gateway.update_brokers(successors, self.now))
        refusal = jobs.JobOutcome(jobs.Verdict.REFUSED, jobs.Reason.NO_WORKERS)
        self.assertEqual(sent.submission.shard, resubmitted.submission.shard)
        self.assert_answers(
            [jobs.Verdict.UNKNOWN], self.handle_outcome(resubmitted, refusal)
        )

    def test_unfinished_shards_are_sent_again_after_a_reconnection(self):
        sent_shards = self.sent(self.submit_job())
        [home] = [x for x in sent_shards if x.submission.data_centre == "home"]
        self.handle_outcome(home, DONE)
        resubmitted = self.sent(self.gateway.resend_shards(REMOTE))
        self.assertEqual(["away"], [x.submission.data_centre for x in resubmitted])
        self.assertEqual([], self.gateway.resend_shards(ME))


class TestClients(GatewayCase):
    """Clients that disconnect, and deadlines."""

    def test_last_client_that_leaves_withdraws_the_job(self):
        self.submit_job(task_count=1)
        self.submit_job(task_count=1, reply_id=2)
        self.assertEqual([], self.gateway.handle_client_left(f"{1:016x}", 1))
        actions = self.gateway.handle_client_left(f"{1:016x}", 2)
        self.assertEqual(1, len(self.withdrawn(actions)))
        self.assertEqual(0, self.gateway.open_jobs())

    def test_job_is_unknown_after_its_deadline(self):
        self.submit_job(task_count=1)
        self.clock.advance(MS(1530))
        actions = self.gateway.tick(self.now)
        self.assert_answers([jobs.Verdict.UNKNOWN], actions)
        self.assertEqual(1, len(self.withdrawn(actions)))


class TestStatements(GatewayCase):
    """Statements to brokers: the shards that the gateway waits for."""

    def stated(self):
        """Return the shards that the remote broker gets stated now."""
        [sent] = self.gateway.state_shards()
        self.assertEqual(REMOTE, sent.daemon)
        return sent.statement

    def remote(self, actions):
        [sent] = [x for x in self.sent(actions) if x.daemon == REMOTE]
        return sent

    def test_open_shards_are_listed_until_the_client_leaves(self):
        shard = self.remote(self.submit_job()).submission.shard
        self.assertEqual({shard}, self.stated().shards)
        self.gateway.handle_client_left(f"{1:016x}", 1)
        self.assertEqual(set(), self.stated().shards)

    # A new holder waits for it before it stops runs of the one before.
    def test_new_holder_gets_a_statement_after_the_resubmitted_shards(self):
        self.submit_job()
        self.brokers["away"] = make_broker(REMOTE, 9)
        actions = self.gateway.update_brokers(self.brokers, self.now)
        [shard, statement] = [
            x for x in actions
            if isinstance(x, gateway.SendShard | gateway.SendStatement)
        ]  # fmt: skip
        self.assertEqual({shard.submission.shard}, statement.statement.shards)
        self.assertEqual({9}, statement.statement.tokens)
        self.assertLess(shard.submission.sequence, statement.statement.sequence)

    def test_finished_shard_is_not_listed(self):
        self.handle_outcome(self.remote(self.submit_job()), DONE)
        self.assertEqual(set(), self.stated().shards)

    def test_submission_after_a_statement_is_not_covered_by_it(self):
        statement = self.stated()
        submission = self.remote(self.submit_job()).submission
        self.assertGreaterEqual(submission.sequence, statement.sequence)
        self.assertLess(submission.sequence, self.stated().sequence)


class TestMovedShards(GatewayCase):
    """Shards whose broker says that it is no longer the holder."""

    def setUp(self):
        super().setUp()
        self.record_free_cores(home=0, away=56)
        [self.sent_shard] = self.sent(self.submit_job())

    def answer_not_holder(self, token):
        submission = self.sent_shard.submission
        outcome = jobs.JobOutcome(jobs.Verdict.UNKNOWN, jobs.Reason.NOT_HOLDER)
        return self.gateway.handle_outcome(
            REMOTE, submission.job.job_id, submission.shard, outcome, self.now, token
        )

    def replace_holder(self, token):
        self.brokers["away"] = make_broker(REMOTE, token)
        return self.sent(self.gateway.update_brokers(self.brokers, self.now))

    def test_shard_waits_for_the_next_holder_and_is_resumed_there(self):
        self.assert_answers([], self.answer_not_holder(4))
        self.assertEqual([], self.sent(self.gateway.resend_shards(REMOTE)))
        [resumed] = self.replace_holder(9)
        self.assertTrue(resumed.submission.is_resumed)
        self.assertEqual(9, resumed.submission.token)

    def test_client_is_answered_if_there_is_no_next_holder(self):
        self.answer_not_holder(4)
        self.gateway.update_brokers({"home": self.brokers["home"]}, self.now)
        self.clock.advance(gateway.SUCCESSION_TIMEOUT)
        self.assert_answers([jobs.Verdict.UNKNOWN], self.gateway.tick(self.now))

    # The daemon may have become the holder again; the shard has been resumed there.
    def test_answer_to_an_earlier_submission_is_ignored(self):
        self.replace_holder(9)
        self.answer_not_holder(4)
        self.clock.advance(gateway.SUCCESSION_TIMEOUT)
        self.assert_answers([], self.gateway.tick(self.now))
