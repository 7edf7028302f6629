"""The broker: orders only what fits, once, and tells the truth about it."""

import datetime

import testtools

from carawaysail_holding import broker, broker_messages
from carawaysail_types import clock, jobs, runs

MS = clock.milliseconds
HERE = "dc-0"
ME = broker_messages.GatewayId("vm-0", "life-1")
OTHER = broker_messages.GatewayId("vm-1", "life-1")


def make_report(number=0, data_centre=HERE, life="1", milli=32_000, **fields):
    """Return the report of a worker."""
    name = f"w-{number}"
    room = jobs.Resources(milli, 65_536, 0)
    return runs.WorkerReport(
        name, life, "search", f"{name}:1", data_centre, room, **fields
    )


def make_submission(number=1, width=1, now=None, queue=None, length_ms=100, **fields):
    """Return a job of one step, ready to be submitted."""
    step = jobs.Step(width, jobs.Resources(14_000, 64, 0), MS(length_ms))
    job = jobs.Job(f"{number:016x}", "spec", (step,))
    queue = queue or jobs.Queue("q", "", "", "search", 0, 2, 1.6, MS(60), MS(1500))
    fields = {"data_centre": HERE, "arrived": now, "deadline": now + MS(1500), **fields}
    return broker_messages.Submission(job, queue, **fields)


class BrokerCase(testtools.TestCase):
    """Helpers around one broker with some workers."""

    def setUp(self):
        super().setUp()
        self.clock = clock.ManualClock()
        self.broker = broker.Broker(broker_messages.Terms())
        self.life = {}

    @property
    def now(self):
        return self.clock.now()

    def hold(self, *reports, data_centre=HERE, token=7):
        """Hold workers and let each list nothing."""
        self.broker.hold(data_centre, token, self.now)
        self.broker.handle_reports(reports, self.now)
        for report in reports:
            self.list(report)

    def list(self, report, running=(), ends=(), life=None, progress=()):
        """Give the broker a worker's listing."""
        listing = runs.WorkerStatus(
            life or report.incarnation, MS(10_000), tuple(running), tuple(ends),
            tuple(progress),
        )  # fmt: skip
        asked = self.now
        self.clock.advance(MS(1))
        return self.broker.handle_status(report.worker_id, listing, asked, self.now)

    def submit(self, submission, waiter=ME):
        return self.broker.submit(submission, waiter, self.now)

    def make(self, *args, **fields):
        return make_submission(*args, now=self.now, **fields)

    def answer(self, start, answer=runs.OrderResult.ACCEPTED):
        worker = start.worker
        return self.broker.handle_start_answer(
            worker.worker_id, worker.incarnation, start.run, answer, self.now
        )

    def end(self, start, ending=runs.RunResult.DONE, sequence=1):
        return self.list(
            start.worker, ends=[runs.FinishedRun(sequence, start.run, ending)]
        )

    @staticmethod
    def starts(actions):
        return [x for x in actions if isinstance(x, broker_messages.StartRun)]

    @staticmethod
    def stops(actions):
        return [x for x in actions if isinstance(x, broker_messages.StopRun)]

    def assert_replies(self, expected, actions):
        found = [
            x.outcome.verdict
            for x in actions
            if isinstance(x, broker_messages.SendOutcome)
        ]
        self.assertEqual(expected, found)


class TestStalledRuns(BrokerCase):
    """Workers whose runs stand still while they answer."""

    def setUp(self):
        super().setUp()
        self.good, self.bad = make_report(1), make_report(0)
        self.hold(self.bad)
        self.started = self.starts(self.submit(self.make(width=2)))
        for start in self.started:
            self.answer(start)
        self.running = [x.run for x in self.started]

    def pass_ms(self, wait_ms, *shares):
        self.clock.advance(MS(wait_ms))
        return self.list(self.bad, running=self.running, progress=shares)

    def test_runs_that_stand_still_are_stopped_and_started_elsewhere(self):
        self.pass_ms(20, 0.2, 0.2)
        self.assertEqual(2, len(self.stops(self.pass_ms(250, 0.2, 0.2))))
        self.broker.handle_reports([self.bad, self.good], self.now)
        self.list(self.good)
        ends = [
            runs.FinishedRun(number + 1, run, runs.RunResult.STOPPED)
            for number, run in enumerate(self.running)
        ]
        again = self.starts(self.list(self.bad, ends=ends))
        self.assertEqual({self.good.worker_id}, {x.worker.worker_id for x in again})
        self.assertEqual([2, 2], [x.run.number for x in again])

    def test_worker_gets_nothing_new_while_its_runs_stand_still(self):
        self.pass_ms(20, 0.2, 0.2)
        self.pass_ms(250, 0.2, 0.2)
        ends = [
            runs.FinishedRun(number + 1, run, runs.RunResult.STOPPED)
            for number, run in enumerate(self.running)
        ]
        self.assertEqual([], self.starts(self.list(self.bad, ends=ends)))

    def test_worker_with_one_run_that_moves_is_trusted(self):
        self.pass_ms(20, 0.2, 0.2)
        self.assertEqual([], self.stops(self.pass_ms(250, 0.2, 0.9)))

    def test_long_run_may_take_its_time_from_one_percent_to_the_next(self):
        self.hold(self.good)
        later = self.now + MS(100_000)
        long = self.make(2, length_ms=60_000, deadline=later)
        [start] = self.starts(self.submit(long))
        self.answer(start)
        self.list(self.good, running=[start.run], progress=[0.01])
        self.clock.advance(MS(400))
        actions = self.list(self.good, running=[start.run], progress=[0.01])
        self.assertEqual([], self.stops(actions))

    def test_workers_that_never_tell_progress_are_trusted(self):
        self.pass_ms(20, 0.0, 0.0)
        self.assertEqual([], self.stops(self.pass_ms(400, 0.0, 0.0)))

    def test_runs_that_stand_at_their_end_are_left(self):
        self.pass_ms(20, 0.5, 1.0)
        self.assertEqual([], self.stops(self.pass_ms(150, 1.0, 1.0)))
        self.assertEqual([], self.stops(self.pass_ms(400, 1.0, 1.0)))


class TestPlacing(BrokerCase):
    """Where tasks go, and when not."""

    def test_starts_what_fits_and_no_more(self):
        self.hold(make_report())
        started = self.starts(self.submit(self.make(width=3)))
        self.assertEqual(2, len(started))
        self.assertEqual([7, 7], [x.token for x in started])

    def test_next_task_starts_when_one_has_ended(self):
        self.hold(make_report())
        started = self.starts(self.submit(self.make(width=3)))
        self.answer(started[0])
        self.answer(started[1])
        self.assertEqual(1, len(self.starts(self.end(started[0]))))

    def test_nothing_starts_before_the_first_listing(self):
        self.broker.hold(HERE, 7, self.now)
        self.broker.handle_reports([make_report()], self.now)
        self.assert_replies([jobs.Verdict.REFUSED], self.submit(self.make()))

    def test_nothing_starts_on_draining_worker(self):
        self.hold(make_report(is_draining=True))
        self.assertEqual([], self.starts(self.submit(self.make())))

    def test_part_stays_in_its_data_centre(self):
        near, far = make_report(0), make_report(1, data_centre="dc-1")
        self.hold(near)
        self.broker.hold("dc-1", 9, self.now)
        self.broker.handle_reports([near, far], self.now)
        self.list(far)
        started = self.starts(self.submit(self.make(width=4, data_centre="dc-1")))
        self.assertEqual({"w-1"}, {x.worker.worker_id for x in started})

    def test_job_that_no_worker_holds_is_refused_at_once(self):
        self.hold(make_report(milli=8_000))
        actions = self.submit(self.make())
        self.assert_replies([jobs.Verdict.REFUSED], actions)
        reply = next(x for x in actions if isinstance(x, broker_messages.SendOutcome))
        self.assertEqual(jobs.Reason.NEVER_FITS, reply.outcome.reason)

    def test_required_label_and_limit_by_worker(self):
        self.hold(make_report(0), make_report(1, labels=("b",)))
        step = jobs.Step(
            2, jobs.Resources(1_000, 1, 0), MS(50), required_label="b", max_per_worker=1
        )
        plain = self.make()
        job = plain.job._replace(steps=(step,))
        started = self.starts(self.submit(plain._replace(job=job)))
        self.assertEqual(["w-1"], [x.worker.worker_id for x in started])

    def test_later_step_waits_for_earlier_one(self):
        self.hold(make_report())
        first = jobs.Step(1, jobs.Resources(1_000, 1, 0), MS(50))
        second = first._replace(after=(0,))
        plain = self.make()
        job = plain.job._replace(steps=(first, second))
        started = self.starts(self.submit(plain._replace(job=job)))
        self.assertEqual([0], [x.run.task.step for x in started])
        self.answer(started[0])
        later = self.starts(self.end(started[0]))
        self.assertEqual([1], [x.run.task.step for x in later])


class TestOrdersWithoutAnswer(BrokerCase):
    """An order without an answer may be carried out much later."""

    def start_lost(self):
        self.hold(make_report(0), make_report(1))
        [started] = self.starts(self.submit(self.make()))
        return started, self.answer(started, runs.OrderResult.NO_ANSWER)

    def test_run_is_stopped_and_not_started_elsewhere(self):
        _, actions = self.start_lost()
        self.assertEqual(1, len(self.stops(actions)))
        self.assertEqual([], self.starts(actions))

    def test_task_starts_elsewhere_once_the_stop_is_proved(self):
        started, _ = self.start_lost()
        worker = started.worker
        self.broker.handle_stop_answer(
            worker.worker_id, "1", started.run, runs.OrderResult.ACCEPTED, self.now
        )
        self.clock.advance(MS(5))
        again = self.starts(self.list(worker))
        self.assertEqual([2], [x.run.number for x in again])

    def test_stop_without_answer_is_tried_again(self):
        started, _ = self.start_lost()
        self.broker.handle_stop_answer(
            started.worker.worker_id,
            "1",
            started.run,
            runs.OrderResult.NO_ANSWER,
            self.now,
        )
        self.assertEqual(1, len(self.stops(self.broker.tick(self.now))))

    def test_run_found_running_goes_on(self):
        started, _ = self.start_lost()
        worker = started.worker
        actions = self.list(worker, running=[started.run])
        self.assertEqual([], self.starts(actions))
        self.assert_replies([jobs.Verdict.COMPLETED], self.end(started))

    def test_expired_job_is_unknown_and_not_refused(self):
        self.start_lost()
        self.clock.advance(MS(1600))
        self.assert_replies([jobs.Verdict.UNKNOWN], self.broker.tick(self.now))


class TestRepeatedMessages(BrokerCase):
    """Messages between daemons may be lost, repeated or late."""

    def test_known_part_is_not_started_again(self):
        self.hold(make_report())
        submission = self.make()
        self.assertEqual(1, len(self.starts(self.submit(submission))))
        self.assertEqual([], self.starts(self.submit(submission)))

    def test_refused_part_is_not_started_by_a_repeated_message(self):
        submission = self.make()
        self.broker.hold(HERE, 7, self.now)
        self.broker.handle_reports([make_report()], self.now)
        self.assert_replies([jobs.Verdict.REFUSED], self.submit(submission))
        self.list(make_report())
        actions = self.submit(submission)
        self.assertEqual([], self.starts(actions))
        self.assert_replies([jobs.Verdict.REFUSED], actions)

    def test_withdrawn_part_is_not_started_by_a_late_message(self):
        self.hold(make_report())
        submission = self.make()
        part = broker_messages.ShardId(submission.job.job_id, submission.shard, ME)
        self.broker.withdraw(part, self.now)
        self.assertEqual([], self.starts(self.submit(submission)))

    def test_lost_answer_is_given_again(self):
        self.hold(make_report())
        submission = self.make()
        [started] = self.starts(self.submit(submission))
        self.answer(started)
        self.end(started)
        self.assert_replies([jobs.Verdict.COMPLETED], self.submit(submission))

    def test_copy_by_another_daemon_replaces_the_first(self):
        self.hold(make_report())
        submission = self.make()
        [started] = self.starts(self.submit(submission))
        self.answer(started)
        actions = self.submit(submission, OTHER)
        self.assertEqual([started.run], [x.run for x in self.stops(actions)])
        self.assertEqual([], self.starts(actions))
        self.clock.advance(MS(5))
        again = self.starts(self.end(started, runs.RunResult.STOPPED))
        self.assertEqual([2], [x.run.number for x in again])


class TestTakeover(BrokerCase):
    """Runs of an earlier holder."""

    def found(self):
        report = make_report()
        self.broker.hold(HERE, 9, self.now)
        self.broker.handle_reports([report], self.now)
        run = runs.Run(runs.Task(f"{1:016x}", 0, 0, 0), 3)
        return report, run

    def test_run_is_claimed_by_its_job(self):
        report, run = self.found()
        self.list(report, running=[run])
        actions = self.submit(self.make(is_resumed=True))
        self.assertEqual([], self.starts(actions))
        end = runs.FinishedRun(1, run, runs.RunResult.DONE)
        self.assert_replies([jobs.Verdict.COMPLETED], self.list(report, ends=[end]))

    def test_resumed_job_waits_for_listings(self):
        report, run = self.found()
        self.assertEqual([], self.starts(self.submit(self.make(is_resumed=True))))
        self.assertEqual([], self.starts(self.list(report, running=[run])))

    def test_resumed_job_waits_for_a_worker_that_does_not_answer(self):
        """The earlier holder may still reach it and keep its runs alive."""
        self.found()
        self.broker.handle_reports([make_report(0), make_report(1)], self.now)
        self.list(make_report(1))
        self.submit(self.make(is_resumed=True))
        self.broker.handle_poll_failure(
            "w-0", "1", runs.OrderResult.NO_ANSWER, self.now
        )
        self.clock.advance(MS(1200))
        self.assertEqual([], self.starts(self.broker.tick(self.now)))

    def test_resumed_job_waits_for_reports_that_are_newer_than_the_tenure(self):
        """Reports read before, or during a cut, may leave workers out."""
        late = make_report(1)
        self.broker.handle_reports([make_report(0)], self.now)
        self.clock.advance(MS(100))
        self.broker.hold(HERE, 9, self.now)
        self.list(make_report(0))
        self.assertEqual([], self.starts(self.submit(self.make(is_resumed=True))))
        run = runs.Run(runs.Task(f"{1:016x}", 0, 0, 0), 1)
        self.broker.handle_reports([make_report(0), late], self.now)
        self.assertEqual([], self.starts(self.list(late, running=[run])))

    def test_resumed_job_waits_for_the_workers_it_was_begun_on(self):
        self.broker.hold(HERE, 9, self.now)
        self.broker.handle_reports([make_report(0)], self.now)
        self.list(make_report(0))
        resumed = self.make(is_resumed=True, workers=("w-1",))
        self.assertEqual([], self.starts(self.submit(resumed)))
        self.broker.handle_reports([make_report(0), make_report(1)], self.now)
        self.assertEqual(1, len(self.starts(self.list(make_report(1)))))

    def test_daemon_is_told_where_its_part_was_begun(self):
        self.hold(make_report())
        submission = self.make(width=2)
        actions = self.submit(submission)
        part = broker_messages.ShardId(submission.job.job_id, 0, ME)
        self.assertIn(broker_messages.ShardStarted(part, ("w-0",)), actions)

    def test_worker_with_unknown_runs_gets_nothing(self):
        report, run = self.found()
        self.list(report, running=[run])
        self.assertEqual([], self.starts(self.submit(self.make(2))))

    def test_run_that_nobody_claims_is_stopped(self):
        report, run = self.found()
        self.list(report, running=[run])
        self.clock.advance(MS(500))
        stopped = self.stops(self.broker.tick(self.now))
        self.assertEqual([run], [x.run for x in stopped])

    def test_fenced_holder_forgets_the_data_centre(self):
        report = make_report()
        self.hold(report)
        [started] = self.starts(self.submit(self.make()))
        actions = self.answer(started, runs.OrderResult.FENCED)
        self.assertIn(broker_messages.HolderFenced(HERE, "w-0"), actions)
        self.assertEqual({}, self.broker.tokens())
        self.assertEqual(frozenset(), self.broker.worker_ids())


class TestWorkerLives(BrokerCase):
    """Workers that crash, return, vanish or lie."""

    def test_restart_under_the_same_name_frees_its_tasks(self):
        report = make_report()
        self.hold(report)
        [started] = self.starts(self.submit(self.make()))
        self.answer(started)
        self.list(report, running=[started.run])
        later = make_report(life="2")
        self.broker.handle_reports([later], self.now)
        self.assertEqual(1, len(self.starts(self.list(later))))

    def test_listing_of_another_life_proves_the_restart(self):
        report = make_report()
        self.hold(report)
        [started] = self.starts(self.submit(self.make()))
        self.answer(started)
        self.list(report, running=[started.run])
        self.list(report, life="2")
        self.broker.handle_reports([make_report(life="2")], self.now)
        self.assertEqual(1, len(self.starts(self.list(make_report(life="2")))))

    def test_order_under_way_at_a_restart_blocks_its_task(self):
        report = make_report()
        self.hold(report)
        [started] = self.starts(self.submit(self.make()))
        later = make_report(life="2")
        self.broker.handle_reports([later], self.now)
        actions = self.list(later)
        self.assertEqual([], self.starts(actions))

    def test_runs_of_a_silent_worker_lapse_in_time(self):
        self.hold(make_report(0))
        [started] = self.starts(self.submit(self.make()))
        self.answer(started)
        self.broker.handle_poll_failure(
            "w-0", "1", runs.OrderResult.NO_ANSWER, self.now
        )
        self.broker.handle_reports([make_report(0), make_report(1)], self.now)
        self.list(make_report(1))
        self.clock.advance(MS(1000))
        self.assertEqual([], self.starts(self.broker.tick(self.now)))
        self.clock.advance(MS(100))
        again = self.starts(self.broker.tick(self.now))
        self.assertEqual(["w-1"], [x.worker.worker_id for x in again])

    def test_silent_worker_is_asked_without_extending_its_lease(self):
        self.hold(make_report())
        self.clock.advance(MS(300))
        actions = self.broker.handle_poll_failure(
            "w-0", "1", runs.OrderResult.NO_ANSWER, self.now
        )
        [asked] = [x for x in actions if isinstance(x, broker_messages.PollWorker)]
        self.assertIsNone(asked.lease_end)

    def test_worker_that_fails_everything_rests(self):
        self.hold(make_report())
        for number in (1, 2):
            queue = self.make().queue._replace(max_attempts=1)
            job = self.make(number, queue=queue)
            [started] = self.starts(self.submit(job))
            self.answer(started)
            actions = self.end(started, runs.RunResult.FAILED, number)
        self.assertEqual([], self.starts(actions))
        self.clock.advance(datetime.timedelta(seconds=1.1))
        self.assertEqual(1, len(self.starts(self.submit(self.make(3)))))

    def test_job_fails_after_its_attempts(self):
        self.hold(make_report(0), make_report(1))
        [first] = self.starts(self.submit(self.make()))
        self.answer(first)
        [second] = self.starts(self.end(first, runs.RunResult.FAILED))
        self.assertNotEqual(first.worker.worker_id, second.worker.worker_id)
        self.answer(second)
        actions = self.end(second, runs.RunResult.FAILED)
        self.assert_replies([jobs.Verdict.FAILED], actions)


class TestWithdrawal(BrokerCase):
    """What nobody waits for is stopped."""

    def test_runs_of_a_withdrawn_part_are_stopped(self):
        self.hold(make_report())
        submission = self.make(width=2)
        started = self.starts(self.submit(submission))
        part = broker_messages.ShardId(submission.job.job_id, 0, ME)
        stopped = self.stops(self.broker.withdraw(part, self.now))
        self.assertEqual({x.run for x in started}, {x.run for x in stopped})

    def test_parts_of_a_silent_daemon_are_withdrawn(self):
        self.hold(make_report())
        self.submit(self.make())
        self.assertEqual(
            1, len(self.stops(self.broker.handle_gateway_lost("vm-0", self.now)))
        )

    def test_room_of_a_stopped_run_stays_taken_until_its_end_is_listed(self):
        self.hold(make_report())
        submission = self.make(width=2)
        started = self.starts(self.submit(submission))
        for start in started:
            self.answer(start)
        part = broker_messages.ShardId(submission.job.job_id, 0, ME)
        self.broker.withdraw(part, self.now)
        self.assertEqual([], self.starts(self.submit(self.make(2))))
        actions = self.end(started[0], runs.RunResult.STOPPED)
        self.assertEqual(1, len(self.starts(actions)))
