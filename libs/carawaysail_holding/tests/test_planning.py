"""Planning and placing under load; each test names the pattern that it answers."""

import datetime
import random

import testtools

from carawaysail_holding import (
    broker_messages,
    held_worker,
    loads,
    planning,
    policies,
    run_time_estimates,
    shard_state,
    worker_health,
)
from carawaysail_types import clock, jobs, runs

MS = clock.milliseconds
ROOM = jobs.Resources(14_000, 64, 0)


def make_load(
    free_capacity=(),
    expected_releases=(),
    waiting_tasks=0,
    waiting_work_ms=0.0,
    speeds=(1.4, 0.6),
):
    """Return a report; slots are (free cores, speed), frees (ms, speed)."""
    return loads.ServiceLoad(
        "search",
        tuple(
            loads.FreeCapacity(int(free * 1000), speed) for free, speed in free_capacity
        ),
        speeds,
        tuple(
            loads.ExpectedRelease(after, speed) for after, speed in expected_releases
        ),
        waiting_tasks,
        waiting_work_ms,
    )


def make_need(width=1, length_ms=100.0, timeout_ms=1500.0):
    """Return a need with the usual objective."""
    target_finish_ms = 1.6 * length_ms + 60.0
    upper_bound_ms = 1.6 * length_ms
    return planning.Requirements(
        width, ROOM, length_ms, upper_bound_ms, target_finish_ms, timeout_ms
    )


def make_length(expected_ms, upper_bound_ms=None):
    """Return a run time; by default nineteen in twenty are below 1.6 times it."""
    if upper_bound_ms is None:
        upper_bound_ms = 1.6 * expected_ms
    return run_time_estimates.RunTimeEstimate(
        MS(expected_ms), MS(expected_ms / 1.3), MS(upper_bound_ms)
    )


class TestBoard(testtools.TestCase):
    """Sharing tasks out over data centres."""

    def make(self, **reports):
        board = planning.CapacityView("home")
        for place, load in reports.items():
            board.record_load(place, (load,))
        return board

    def test_free_slots_at_home_come_first(self):
        board = self.make(home=make_load([(32, 1.4)]), away=make_load([(32, 1.4)]))
        self.assertEqual(
            {"home": 2}, board.plan("search", make_need(2)).tasks_by_data_centre
        )

    def test_wide_job_in_a_burst_uses_all_data_centres(self):
        board = self.make(
            home=make_load([(32, 1.4)]),
            east=make_load([(32, 1.4)]),
            west=make_load([(32, 1.4)]),
        )
        plan = board.plan("search", make_need(6))
        self.assertEqual({"home": 2, "east": 2, "west": 2}, plan.tasks_by_data_centre)
        self.assertEqual(0, plan.queued)

    def test_fragments_of_large_workers_are_no_slots(self):
        board = self.make(home=make_load([(13, 1.4), (13, 1.4)], [(50, 1.4)]))
        self.assertEqual(1, board.plan("search", make_need()).queued)

    def test_jobs_planned_at_once_do_not_share_a_slot(self):
        board = self.make(home=make_load([(14, 1.4)], [(500, 1.4)]))
        self.assertEqual(0, board.plan("search", make_need()).queued)
        self.assertEqual(1, board.plan("search", make_need()).queued)

    def test_short_work_leaves_fast_workers_at_the_crest(self):
        busy = [(100, 1.4)] * 6
        board = self.make(home=make_load([(14, 1.4), (14, 0.6)], busy))
        board.plan("search", make_need(1, 51.0))
        left = board._loads["home", "search"].free_capacity
        self.assertEqual([14_000, 0], [x.free_milli for x in left])

    def test_long_work_waits_for_a_fast_worker(self):
        board = self.make(home=make_load([(14, 0.6)], [(100, 1.4)]))
        plan = board.plan("search", make_need(1, 760.0))
        self.assertEqual(1, plan.queued)
        self.assertLess(plan.finish_ms, make_need(1, 760.0).target_finish_ms)

    def test_straggler_gets_the_fast_slot_it_needs(self):
        board = self.make(home=make_load([(28, 0.8), (14, 1.8)]))
        need = make_need(1, 1000.0)._replace(upper_bound_ms=2000.0)
        board.plan("search", need)
        left = board._loads["home", "search"].free_capacity
        self.assertEqual([28_000, 0], [x.free_milli for x in left])

    def test_free_slot_beats_a_queue_though_neither_is_sure(self):
        board = self.make(home=make_load([(14, 1.4)], [(900, 1.4)]))
        plan = board.plan("search", make_need(1, 2000.0))
        self.assertEqual(1, plan.queued)
        self.assertAlmostEqual(2000.0 / 1.4, plan.finish_ms)

    def test_fastest_worker_of_all_data_centres_is_known(self):
        board = self.make(home=make_load(speeds=(1.4,)), away=make_load(speeds=(1.8,)))
        self.assertEqual(1.8, board.highest_speed("search"))

    def test_overload_makes_the_finish_late(self):
        queue = make_load([], [(400, 1.4), (500, 0.6)], 20, 6000.0)
        plan = self.make(home=queue).plan("search", make_need())
        self.assertGreater(plan.finish_ms, make_need().target_finish_ms)

    def test_data_centre_that_is_cut_off_is_left_out(self):
        board = self.make(home=make_load([(32, 1.4)]), away=make_load([(32, 1.4)]))
        board.retain({"away"})
        self.assertEqual(
            {"away": 1}, board.plan("search", make_need()).tasks_by_data_centre
        )

    def test_no_report_no_plan(self):
        self.assertIsNone(self.make().plan("search", make_need()))


class TestTimeLeft(testtools.TestCase):
    """What is expected of runs, stragglers among them."""

    def left(self, ran_ms):
        now = clock.ManualClock().now()
        step = jobs.Step(1, ROOM, MS(100))
        state = shard_state.TaskState(runs.Task("0" * 16, 0, 0, 0), step)
        state.record_placement(runs.Run(state.task, 1), "w", now - MS(ran_ms))
        return loads.remaining_run_time(state, MS(100), now)

    def test_run_in_time(self):
        self.assertEqual(MS(60), self.left(40))

    def test_run_about_to_end(self):
        self.assertEqual(MS(20), self.left(99))

    def test_straggler_is_not_expected_any_moment(self):
        self.assertEqual(MS(400), self.left(500))


class TestFitToDue(testtools.TestCase):
    """The choice among workers with room."""

    def setUp(self):
        super().setUp()
        self.now = clock.ManualClock().now()
        self.policy = policies.choices.get("fit_to_due")

    def make_job(self, length_ms):
        step = jobs.Step(1, ROOM, MS(length_ms))
        job = jobs.Job("0" * 16, "", (step,))
        queue = jobs.Queue("q", "", "", "search", 0, 2, 1.6, MS(60), MS(1500))
        submission = broker_messages.Submission(
            job, queue, "home", self.now, self.now + MS(1500)
        )
        part = broker_messages.ShardId(
            job.job_id, 0, broker_messages.GatewayId("vm", "1")
        )
        schedule = policies.make_schedule(
            run_time_estimates.RunTimeEstimates(), submission
        )
        return shard_state.ShardState(part, submission, schedule)

    def choose(
        self,
        length_ms,
        takes,
        utilisation=0.9,
        next_end=None,
        upper_bound=None,
        at_most_next=None,
    ):
        found = [
            policies.Candidate(self.make_worker(n), make_length(x, upper_bound), 0)
            for n, x in enumerate(takes)
        ]
        wait = make_length(next_end, at_most_next) if next_end is not None else None
        view = policies.PlacementContext(
            self.make_job(length_ms), wait, utilisation, self.now
        )
        chosen = self.policy.choose(found, view)
        if chosen is None:
            return None
        return clock.to_milliseconds(chosen.run_time.expected)

    def make_worker(self, number):
        report = runs.WorkerReport(
            f"w-{number}", "1", "search", "h:1", "home", jobs.Resources(32_000, 1000, 0)
        )
        return held_worker.HeldWorker(report, 1, self.now)

    def test_light_load_takes_the_fastest(self):
        self.assertEqual(70, self.choose(100, [70, 170], utilisation=0.2))

    def test_crest_takes_the_slowest_in_time(self):
        self.assertEqual(170, self.choose(100, [70, 170]))

    def test_crest_keeps_slow_workers_from_what_they_would_make_late(self):
        self.assertEqual(530, self.choose(760, [530, 1290]))

    def test_long_task_waits_rather_than_be_late(self):
        self.assertIsNone(self.choose(760, [1290], next_end=630))

    def test_possible_straggler_waits_for_a_fast_worker(self):
        chosen = self.choose(
            600, [720], next_end=750, upper_bound=1900, at_most_next=1300
        )
        self.assertIsNone(chosen)

    def test_possible_straggler_leaves_the_slow_worker_at_the_crest(self):
        self.assertIsNone(self.choose(600, [720], next_end=500, upper_bound=1900))

    def test_late_task_goes_on_where_nothing_better_comes(self):
        self.assertEqual(1290, self.choose(760, [1290], next_end=1500))


class TestOrders(testtools.TestCase):
    """Who goes first; a pattern of short work behind long work."""

    def key(self, name, length_ms, age_ms=0, begun=False):
        now = clock.ManualClock().now()
        case = TestFitToDue("setUp")
        case.now = now - MS(age_ms)
        job = case.make_job(length_ms)
        job.has_ordered_runs = begun
        return policies.orders.get(name).key(job, now)

    def test_short_work_goes_before_long_work_that_can_wait(self):
        for name in ("latest_start", "priority"):
            self.assertLess(self.key(name, 51), self.key(name, 760))

    def test_begun_job_goes_before_new_ones(self):
        for name in ("latest_start", "priority"):
            begun = self.key(name, 760, begun=True)
            self.assertLess(begun, self.key(name, 51))

    def test_late_work_goes_after_work_in_time(self):
        late = self.key("latest_start", 51, age_ms=500)
        self.assertLess(self.key("latest_start", 760), late)


class TestLengths(testtools.TestCase):
    """Learned run times and speeds."""

    def setUp(self):
        super().setUp()
        self.known = run_time_estimates.RunTimeEstimates()
        self.step = jobs.Step(1, ROOM, MS(100))

    def observe(self, number, took_ms, times=8):
        report = TestFitToDue.make_worker(
            type("", (), {"now": clock.ManualClock().now()}), number
        ).report
        for _ in range(times):
            self.known.record_run("q", self.step, report, MS(took_ms))
        return report

    def test_slow_third_of_the_workers_is_told_from_the_rest(self):
        self.known.record_estimate("q", self.step)
        fast, slow = self.observe(1, 70), self.observe(2, 170)
        self.assertAlmostEqual(1.43, self.known.speed(fast), delta=0.15)
        self.assertAlmostEqual(0.59, self.known.speed(slow), delta=0.1)

    def learn(self, spread=0.57, count=400):
        """Learn a queue's estimates: around 100 ms, log-normal."""
        draw = random.Random(1)
        for _ in range(count):
            estimate = MS(100 * draw.lognormvariate(0.0, spread))
            self.known.record_estimate("q", self.step._replace(estimate=estimate))

    def length(self, estimate_ms):
        found = self.known.estimate("q", self.step._replace(estimate=MS(estimate_ms)))
        return [clock.to_milliseconds(x) for x in found]

    def test_estimate_is_drawn_to_its_queue(self):
        self.learn()
        expected, _, _ = self.length(200)
        self.assertAlmostEqual(141.0, expected, delta=15.0)

    def test_low_estimate_is_drawn_up(self):
        self.learn()
        expected, _, _ = self.length(20)
        self.assertAlmostEqual(45.0, expected, delta=5.0)

    def test_straggler_is_believed(self):
        self.learn()
        expected, _, upper_bound = self.length(900)
        self.assertGreater(expected, 600.0)
        self.assertGreater(upper_bound, 900.0)

    def test_no_estimate_shortens_a_longer_one(self):
        self.learn()
        found = [self.length(100 * 1.1**n)[0] for n in range(30)]
        self.assertEqual(sorted(found), found)

    def test_quantiles_enclose_what_is_expected(self):
        self.learn()
        for estimate_ms in (10, 50, 100, 300, 500, 700, 1000, 5000):
            expected, lower_bound, upper_bound = self.length(estimate_ms)
            self.assertLess(lower_bound, expected * 1.05)
            self.assertGreater(upper_bound, expected)

    def test_stragglers_do_not_move_the_queue(self):
        self.learn()
        before = self.length(100)[0]
        for _ in range(5):
            self.known.record_estimate("q", self.step._replace(estimate=MS(1000)))
        self.assertAlmostEqual(before, self.length(100)[0], delta=5.0)

    def test_queue_whose_estimates_agree_is_believed(self):
        self.learn(spread=0.0)
        expected, _, upper_bound = self.length(100)
        self.assertAlmostEqual(100.0, expected, delta=1.0)
        self.assertLess(upper_bound, 130.0)

    def test_missing_estimate_is_that_of_the_queue(self):
        self.known.record_estimate("q", self.step)
        bare = self.step._replace(estimate=datetime.timedelta())
        expected = self.known.expected("q", bare)
        self.assertAlmostEqual(100.0, clock.to_milliseconds(expected), delta=0.1)

    def test_one_straggler_changes_little(self):
        self.known.record_estimate("q", self.step)
        report = self.observe(1, 100)
        self.observe(1, 5000, times=1)
        self.assertGreater(self.known.speed(report), 0.75)


class TestStanding(testtools.TestCase):
    """A worker that fails everything draws no work."""

    def setUp(self):
        super().setUp()
        self.now = clock.ManualClock().now()
        self.found = worker_health.WorkerHealth()

    def test_two_jobs_in_a_row_make_it_rest(self):
        self.assertFalse(self.found.record_failure("a", self.now))
        self.assertTrue(self.found.record_failure("b", self.now))
        self.assertFalse(self.found.accepts(self.now, 0))

    def test_hopeless_job_alone_does_not(self):
        for _ in range(5):
            self.assertFalse(self.found.record_failure("a", self.now))
        self.assertTrue(self.found.accepts(self.now, 3))

    def test_it_is_tried_with_one_task_after_its_rest(self):
        self.found.record_failure("a", self.now)
        self.found.record_failure("b", self.now)
        later = self.now + worker_health.INITIAL_QUARANTINE
        self.assertTrue(self.found.accepts(later, 0))
        self.assertFalse(self.found.accepts(later, 1))

    def test_rests_grow_while_it_fails(self):
        self.found.record_failure("a", self.now)
        self.found.record_failure("b", self.now)
        later = self.now + worker_health.INITIAL_QUARANTINE
        self.assertTrue(self.found.record_failure("c", later))
        self.assertFalse(
            self.found.accepts(later + worker_health.INITIAL_QUARANTINE, 0)
        )

    def test_success_clears_it(self):
        self.found.record_failure("a", self.now)
        self.found.record_failure("b", self.now)
        self.found.record_success()
        self.assertTrue(self.found.accepts(self.now, 3))
