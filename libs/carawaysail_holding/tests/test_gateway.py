"""The gateway: parts, brokers that change, and what clients are told."""

import testtools

from carawaysail_holding import broker_messages, gateway, loads
from carawaysail_types import clock, daemons, jobs

MS = clock.milliseconds
ME = daemons.Daemon("vm-0", "home", "vm-0-1", "vm-0:1")
FAR = daemons.Daemon("vm-1", "away", "vm-1-1", "vm-1:1")
DONE = jobs.JobOutcome(jobs.Verdict.COMPLETED)


def make_target(daemon, token, place=None):
    """Return a broker."""
    place = place or daemon.data_centre
    tenure = daemons.Holder(place, daemon.vm, daemon.incarnation, token)
    return gateway.ReachableBroker(tenure, daemon)


def make_load(cores):
    """Return the report of a data centre with one worker."""
    return loads.ServiceLoad(
        "desk", (loads.FreeCapacity(cores * 1000, 1.0),), (1.0,), (), 0, 0.0
    )


class GatewayCase(testtools.TestCase):
    """Helpers around one gateway and two brokers."""

    def setUp(self):
        super().setUp()
        self.clock = clock.ManualClock()
        self.gateway = gateway.Gateway(ME, random_state=1)
        self.targets = {"home": make_target(ME, 3), "away": make_target(FAR, 4)}
        self.gateway.update_brokers(self.targets, self.now)
        self.report(home=28, away=28)

    @property
    def now(self):
        return self.clock.now()

    def report(self, **cores):
        for place, free in cores.items():
            self.gateway.record_load(place, (make_load(free),))

    def post(self, number=1, width=4, reply=1, after=(), length_ms=100, priority=0):
        step = jobs.Step(width, jobs.Resources(14_000, 64, 0), MS(length_ms))
        steps = (step, *(step._replace(after=x) for x in after))
        job = jobs.Job(f"{number:016x}", "", steps)
        queue = jobs.Queue(
            f"q{priority}", "", "", "desk", priority, 2, 1.6, MS(60), MS(1500)
        )
        submission = broker_messages.Submission(
            job, queue, "home", self.now, self.now + MS(1500)
        )
        return self.gateway.handle_job(submission, reply, self.now)

    def reply(self, sent, outcome):
        submission = sent.submission
        return self.gateway.handle_outcome(
            sent.daemon, submission.job.job_id, submission.shard, outcome
        )

    @staticmethod
    def sent(actions):
        return [x for x in actions if isinstance(x, gateway.SendShard)]

    @staticmethod
    def withdrawn(actions):
        return [x.shard for x in actions if isinstance(x, gateway.SendWithdrawal)]

    def assert_answers(self, expected, actions):
        found = [x.outcome.verdict for x in actions if isinstance(x, gateway.Answer)]
        self.assertEqual(expected, found)


class TestParts(GatewayCase):
    """Tasks shared out over brokers."""

    def test_each_task_is_in_one_part(self):
        parts = self.sent(self.post(width=4))
        tasks = [n for x in parts for n in x.submission.tasks]
        self.assertEqual([0, 1, 2, 3], sorted(tasks))
        self.assertEqual({"home", "away"}, {x.submission.data_centre for x in parts})

    def test_answer_comes_when_all_parts_are_done(self):
        first, second = self.sent(self.post())
        self.assert_answers([], self.reply(first, DONE))
        self.assert_answers([jobs.Verdict.COMPLETED], self.reply(second, DONE))

    def test_failed_part_ends_the_job_and_withdraws_the_others(self):
        first, second = self.sent(self.post())
        failed = jobs.JobOutcome(jobs.Verdict.FAILED, jobs.Reason.TASK_FAILED)
        actions = self.reply(first, failed)
        self.assert_answers([jobs.Verdict.FAILED], actions)
        self.assertEqual([second.submission.shard], self.withdrawn(actions))

    def test_later_copy_of_a_job_has_parts_of_its_own(self):
        """Brokers remember parts; a copy may be shared out in another way."""
        first = self.sent(self.post())
        self.gateway.handle_client_left(f"{1:016x}", 1)
        self.report(home=56, away=0)
        later = self.sent(self.post())
        self.assertEqual(
            set(), {x.submission.shard for x in first}
            & {x.submission.shard for x in later},
        )  # fmt: skip

    def test_outcome_of_an_earlier_copy_is_passed_over(self):
        first = self.sent(self.post())
        self.gateway.handle_client_left(f"{1:016x}", 1)
        self.report(home=28, away=28)
        self.post()
        for sent in first:
            self.assert_answers([], self.reply(sent, DONE))

    def test_job_of_several_steps_stays_whole(self):
        [sent] = self.sent(self.post(width=2, after=((0,),)))
        self.assertEqual((), sent.submission.tasks)

    def test_second_client_of_a_job_gets_the_same_answer(self):
        parts = self.sent(self.post(width=1))
        self.post(width=1, reply=2)
        actions = self.reply(parts[0], DONE)
        self.assert_answers([jobs.Verdict.COMPLETED] * 2, actions)


class TestRefusals(GatewayCase):
    """A refusal says that nothing ran."""

    def refused(self, reason=jobs.Reason.NO_WORKERS):
        return jobs.JobOutcome(jobs.Verdict.REFUSED, reason)

    def test_part_goes_to_another_broker_once(self):
        self.report(home=28, away=0)
        [sent] = self.sent(self.post(width=2))
        [again] = self.sent(self.reply(sent, self.refused()))
        self.assertEqual("away", again.submission.data_centre)
        self.assertNotEqual(sent.submission.shard, again.submission.shard)
        self.assert_answers([jobs.Verdict.REFUSED], self.reply(again, self.refused()))

    def test_job_with_another_part_under_way_is_unknown(self):
        first, _ = self.sent(self.post())
        never = self.refused(jobs.Reason.NEVER_FITS)
        self.assert_answers([jobs.Verdict.UNKNOWN], self.reply(first, never))

    def test_overload_is_refused_at_once_with_a_time_to_return(self):
        queue = loads.ServiceLoad(
            "desk", (), (1.0,), (loads.ExpectedRelease(500.0, 1.0),), 30, 9000.0
        )
        for place in ("home", "away"):
            self.gateway.record_load(place, (queue,))
        actions = self.post()
        self.assert_answers([jobs.Verdict.REFUSED], actions)
        [answer] = [x for x in actions if isinstance(x, gateway.Answer)]
        self.assertGreaterEqual(answer.outcome.retry_after, MS(9000))

    def test_without_any_broker_it_is_refused(self):
        self.gateway.update_brokers({}, self.now)
        self.assert_answers([jobs.Verdict.REFUSED], self.post())


class TestAdmissionUnderLoad(GatewayCase):
    """Who is taken when there is no free slot; patterns are named by the tests."""

    def setUp(self):
        super().setUp()
        self.set_wait(40.0)

    def set_wait(self, wait_ms):
        """Let every slot be taken for some time."""
        full = loads.ServiceLoad(
            "desk", (), (1.0,), (loads.ExpectedRelease(wait_ms, 1.0),) * 8, 0, 0.0
        )
        for place in ("home", "away"):
            self.gateway.record_load(place, (full,))

    def is_taken(self, actions):
        return bool(self.sent(actions))

    def test_crest_short_urgent_work_waits_its_turn(self):
        self.assertTrue(self.is_taken(self.post(width=1)))

    def test_crest_less_urgent_work_does_not_queue_behind_it(self):
        self.post(1, width=1)
        self.assertFalse(self.is_taken(self.post(2, width=1, priority=1)))

    def test_crest_less_urgent_work_that_can_wait_is_taken(self):
        self.post(1, width=1)
        taken = self.post(2, width=1, priority=2, length_ms=500)
        self.assertTrue(self.is_taken(taken))

    def test_lone_priority_yields_to_nobody(self):
        self.assertTrue(self.is_taken(self.post(1, width=1, priority=1)))

    def test_free_slots_are_for_all(self):
        self.post(1, width=1)
        self.report(home=28, away=28)
        self.assertTrue(self.is_taken(self.post(2, width=2, priority=1)))

    def test_straggler_beyond_the_clients_patience_is_refused_at_once(self):
        self.report(home=28, away=28)
        for number in range(20):
            self.post(number, width=1)
            self.report(home=28, away=28)
        actions = self.post(99, width=1, length_ms=4000)
        self.assert_answers([jobs.Verdict.REFUSED], actions)
        [answer] = [x for x in actions if isinstance(x, gateway.Answer)]
        self.assertEqual(jobs.Reason.TOO_LONG, answer.outcome.reason)
        self.assertEqual(MS(0), answer.outcome.retry_after)

    def test_straggler_within_the_clients_patience_is_taken(self):
        self.report(home=28, away=28)
        self.assertTrue(self.is_taken(self.post(width=1, length_ms=1000)))


class TestSuccession(GatewayCase):
    """Brokers that are replaced or lost."""

    def test_part_follows_its_data_centre_with_what_is_known_of_it(self):
        parts = self.sent(self.post())
        [away] = [x for x in parts if x.submission.data_centre == "away"]
        job_id, number = away.submission.job.job_id, away.submission.shard
        self.gateway.record_started_workers(FAR, job_id, number, ("w-2", "w-1"))
        heir = {"home": self.targets["home"], "away": make_target(ME, 9, "away")}
        [again] = self.sent(self.gateway.update_brokers(heir, self.now))
        self.assertEqual(number, again.submission.shard)
        self.assertTrue(again.submission.is_resumed)
        self.assertEqual(("w-1", "w-2"), again.submission.workers)

    def test_lost_broker_without_heir_makes_the_job_unknown(self):
        self.post()
        self.gateway.update_brokers({"home": self.targets["home"]}, self.now)
        self.assert_answers([], self.gateway.tick(self.now))
        self.clock.advance(gateway.SUCCESSION_TIMEOUT + MS(1))
        self.assert_answers([jobs.Verdict.UNKNOWN], self.gateway.tick(self.now))

    def test_broker_that_comes_back_goes_on(self):
        self.post()
        self.gateway.update_brokers({"home": self.targets["home"]}, self.now)
        self.gateway.update_brokers(self.targets, self.now)
        self.clock.advance(gateway.SUCCESSION_TIMEOUT + MS(1))
        self.assert_answers([], self.gateway.tick(self.now))

    def test_refusal_of_a_resumed_part_is_unknown(self):
        self.report(home=0, away=28)
        [sent] = self.sent(self.post(width=2))
        heir = {"away": make_target(ME, 9, "away")}
        [again] = self.sent(self.gateway.update_brokers(heir, self.now))
        refused = jobs.JobOutcome(jobs.Verdict.REFUSED, jobs.Reason.NO_WORKERS)
        self.assertEqual(sent.submission.shard, again.submission.shard)
        self.assert_answers([jobs.Verdict.UNKNOWN], self.reply(again, refused))

    def test_open_parts_are_sent_again_after_a_reconnection(self):
        parts = self.sent(self.post())
        [home] = [x for x in parts if x.submission.data_centre == "home"]
        self.reply(home, DONE)
        again = self.sent(self.gateway.resend_shards(FAR))
        self.assertEqual(["away"], [x.submission.data_centre for x in again])
        self.assertEqual([], self.gateway.resend_shards(ME))


class TestClients(GatewayCase):
    """Clients that leave and time that is up."""

    def test_last_client_that_leaves_withdraws_the_job(self):
        self.post(width=1)
        self.post(width=1, reply=2)
        self.assertEqual([], self.gateway.handle_client_left(f"{1:016x}", 1))
        actions = self.gateway.handle_client_left(f"{1:016x}", 2)
        self.assertEqual(1, len(self.withdrawn(actions)))
        self.assertEqual(0, self.gateway.open_calls())

    def test_time_is_up(self):
        self.post(width=1)
        self.clock.advance(MS(1530))
        actions = self.gateway.tick(self.now)
        self.assert_answers([jobs.Verdict.UNKNOWN], actions)
        self.assertEqual(1, len(self.withdrawn(actions)))
