"""Planning, placement policies, run-time estimates and worker health."""

import collections
import datetime
import random

import testtools

from carawaysail_holding import (
    broker_messages,
    held_worker,
    job_sizes,
    loads,
    planning,
    policies,
    run_time_estimates,
    shard_state,
    worker_health,
)
from carawaysail_types import clock, jobs, runs

MS = clock.milliseconds
RESOURCES = jobs.Resources(14_000, 64, 0)


def make_load(
    free_capacity=(),
    expected_releases=(),
    waiting_tasks=0,
    waiting_work_ms=0.0,
    speeds=(1.4, 0.6),
    unlisted_releases=0,
):
    """Return a load report.

    ``free_capacity`` has pairs of free cores and speed, ``expected_releases`` pairs of
    milliseconds from now and speed.
    """
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
        unlisted_releases,
    )


def make_requirements(task_count=1, run_time_ms=100.0, timeout_ms=1500.0):
    """Return requirements with an objective of 1.6 times the run time plus 60 ms."""
    target_finish_ms = 1.6 * run_time_ms + 60.0
    upper_bound_ms = 1.6 * run_time_ms
    return planning.Requirements(
        task_count, RESOURCES, run_time_ms, upper_bound_ms, target_finish_ms, timeout_ms
    )


def make_estimate(expected_ms, upper_bound_ms=None):
    """Return a run time; its upper bound is 1.6 times the expected one by default."""
    if upper_bound_ms is None:
        upper_bound_ms = 1.6 * expected_ms
    return run_time_estimates.RunTimeEstimate(
        expected_ms, expected_ms / 1.3, upper_bound_ms
    )


class TestCapacityView(testtools.TestCase):
    """Plans that split the tasks of a job among data centres."""

    def make(self, **load_by_data_centre):
        view = planning.CapacityView("home")
        for data_centre, load in load_by_data_centre.items():
            view.record_load(data_centre, (load,))
        return view

    def take(self, view, requirements):
        """Plan a job, occupy the slots of its plan, and return the plan."""
        plan = view.plan("search", requirements)
        view.occupy("search", requirements, plan)
        return plan

    def test_free_slots_at_home_come_first(self):
        view = self.make(home=make_load([(32, 1.4)]), away=make_load([(32, 1.4)]))
        self.assertEqual(
            {"home": 2}, view.plan("search", make_requirements(2)).tasks_by_data_centre
        )

    # Jobs were sent to a holder that was a second late, and ended there untried.
    def test_tasks_go_past_a_holder_that_is_late(self):
        view = self.make(home=make_load([(32, 1.4)]), away=make_load([(32, 1.4)]))
        view.record_load("home", (make_load([(32, 1.4)]),), delay_ms=500.0)
        plan = view.plan("search", make_requirements(2))
        self.assertEqual({"away": 2}, plan.tasks_by_data_centre)
        self.assertLess(plan.finish_ms, 500.0)

    # All gateways sent to the data centre with the fastest worker, by a hair, and its
    # holder got twice its share of a crest.
    def test_gateways_of_a_fleet_do_not_all_choose_the_same_data_centre(self):
        names = [f"dc-{n}" for n in range(6)]
        counts = collections.Counter()
        for number in range(90):
            view = planning.CapacityView("home", f"vm-{number}")
            view.record_gateway_count(90)
            for speed, name in enumerate(names):
                load = make_load([(48, 1.7 + 0.01 * speed)] * 15)
                view.record_load(name, (load,))
            plan = view.plan("search", make_requirements(2))
            counts.update(plan.tasks_by_data_centre)
        self.assertLess(max(counts.values()), 2 * sum(counts.values()) / len(names))

    def test_own_data_centre_is_preferred_to_one_that_is_hardly_faster(self):
        view = self.make(home=make_load([(32, 1.4)]), away=make_load([(32, 1.45)]))
        view.record_gateway_count(90)
        plan = view.plan("search", make_requirements(2))
        self.assertEqual({"home": 2}, plan.tasks_by_data_centre)

    def test_job_with_many_tasks_uses_all_data_centres(self):
        view = self.make(
            home=make_load([(32, 1.4)]),
            east=make_load([(32, 1.4)]),
            west=make_load([(32, 1.4)]),
        )
        plan = view.plan("search", make_requirements(6))
        self.assertEqual({"home": 2, "east": 2, "west": 2}, plan.tasks_by_data_centre)
        self.assertEqual(0, plan.queued)

    def test_too_small_remainders_of_workers_are_no_slots(self):
        view = self.make(home=make_load([(13, 1.4), (13, 1.4)], [(50, 1.4)]))
        self.assertEqual(1, view.plan("search", make_requirements()).queued)

    def test_jobs_planned_at_once_do_not_share_a_slot(self):
        view = self.make(home=make_load([(14, 1.4)], [(500, 1.4)]))
        self.assertEqual(0, self.take(view, make_requirements()).queued)
        self.assertEqual(1, view.plan("search", make_requirements()).queued)

    def test_plan_alone_occupies_nothing(self):
        view = self.make(home=make_load([(14, 1.4)], [(500, 1.4)]))
        plans = [view.plan("search", make_requirements(3)) for _ in range(3)]
        self.assertEqual(plans[0], plans[2])

    def test_short_task_leaves_the_fast_worker_free_at_peak_load(self):
        busy = [(100, 1.4)] * 6
        view = self.make(home=make_load([(14, 1.4), (14, 0.6)], busy))
        self.take(view, make_requirements(1, 51.0))
        remaining = view._loads["home", "search"].free_capacity
        self.assertEqual([14_000, 0], [x.free_milli for x in remaining])

    # Half of all slots were free, but hardly a fast one, and short tasks took these.
    def test_short_task_leaves_the_fast_worker_free_if_most_fast_ones_are_busy(self):
        free = [(14, 1.4)] * 2 + [(14, 0.6)] * 20
        load = make_load(free, [(100, 1.4)] * 8, speeds=(1.4,) * 10 + (0.6,) * 10)
        plan = self.make(home=load).plan("search", make_requirements(1, 51.0))
        self.assertAlmostEqual(51.0 / 0.6, plan.finish_ms)

    # A report lists 48 runs; a data centre with more looked half idle at a crest, and
    # short tasks took the fast workers.
    def test_runs_that_a_report_does_not_list_count_as_utilisation(self):
        free = [(14, 1.4)] * 20 + [(14, 0.6)] * 30
        load = make_load(free, [(100, 1.4)] * 48, unlisted_releases=40)
        plan = self.make(home=load).plan("search", make_requirements(1, 51.0))
        self.assertAlmostEqual(51.0 / 0.6, plan.finish_ms)

    # Tasks that would wait behind 48 others were taken to wait for a whole further run.
    def test_queue_is_spread_over_runs_that_a_report_does_not_list(self):
        releases = [(2 * number, 1.4) for number in range(1, 49)]
        load = make_load([], releases, 60, 6000.0, unlisted_releases=40)
        plan = self.make(home=load).plan("search", make_requirements(1, 100.0))
        self.assertAlmostEqual(2 * 61 + 100.0 / 1.4, plan.finish_ms)

    def test_long_task_is_queued_for_a_fast_worker(self):
        view = self.make(home=make_load([(14, 0.6)], [(100, 1.4)]))
        plan = view.plan("search", make_requirements(1, 760.0))
        self.assertEqual(1, plan.queued)
        self.assertLess(plan.finish_ms, make_requirements(1, 760.0).target_finish_ms)

    def test_possible_straggler_gets_the_fast_slot(self):
        view = self.make(home=make_load([(28, 0.8), (14, 1.8)]))
        requirements = make_requirements(1, 1000.0)._replace(upper_bound_ms=2000.0)
        self.take(view, requirements)
        remaining = view._loads["home", "search"].free_capacity
        self.assertEqual([28_000, 0], [x.free_milli for x in remaining])

    def test_free_slot_is_preferred_to_a_queue_if_neither_is_in_time(self):
        view = self.make(home=make_load([(14, 1.4)], [(900, 1.4)]))
        plan = view.plan("search", make_requirements(1, 2000.0))
        self.assertEqual(1, plan.queued)
        self.assertAlmostEqual(2000.0 / 1.4, plan.finish_ms)

    # A long job was planned behind a run of a worker that looked hardly faster than the
    # free ones, counted as one that waits, and was refused.
    def test_free_slot_is_preferred_to_a_queue_for_a_similar_worker(self):
        load = make_load([(14, 1.4)] * 2, [(10, 1.5)] * 2, speeds=(1.5, 1.4))
        view = self.make(home=load)
        view.record_gateway_count(97)
        plan = view.plan("search", make_requirements(2, 1500.0))
        self.assertFalse(plan.has_to_wait)

    def test_queue_for_a_clearly_faster_worker_is_preferred_to_a_free_slot(self):
        load = make_load([(14, 0.6)] * 2, [(10, 1.5)] * 2, speeds=(1.5, 0.6))
        view = self.make(home=load)
        view.record_gateway_count(97)
        plan = view.plan("search", make_requirements(2, 1500.0))
        self.assertTrue(plan.has_to_wait)

    def test_highest_speed_covers_all_data_centres(self):
        view = self.make(home=make_load(speeds=(1.4,)), away=make_load(speeds=(1.8,)))
        self.assertEqual(1.8, view.highest_speed("search"))

    def test_overload_makes_the_finish_late(self):
        full = make_load([], [(400, 1.4), (500, 0.6)], 20, 6000.0)
        plan = self.make(home=full).plan("search", make_requirements())
        self.assertGreater(plan.finish_ms, make_requirements().target_finish_ms)

    def test_unreachable_data_centre_gets_no_tasks(self):
        view = self.make(home=make_load([(32, 1.4)]), away=make_load([(32, 1.4)]))
        view.retain({"away"})
        self.assertEqual(
            {"away": 1}, view.plan("search", make_requirements()).tasks_by_data_centre
        )

    # Tasks were planned for workers that had gone, since their last load still counted.
    def test_service_that_is_missing_in_a_newer_report_has_no_load(self):
        view = self.make(home=make_load([(32, 1.4)]))
        view.record_load("home", ())
        self.assertIsNone(view.plan("search", make_requirements()))

    def test_there_is_no_plan_without_loads(self):
        self.assertIsNone(self.make().plan("search", make_requirements()))


class TestRemainingRunTime(testtools.TestCase):
    """Expected remaining run time of runs, stragglers among them."""

    def remaining(self, elapsed_ms):
        now = clock.ManualClock().now()
        step = jobs.Step(1, RESOURCES, MS(100))
        task, counts = runs.Task("0" * 16, 0, 0, 0), shard_state.PhaseCounts()
        state = shard_state.TaskState(task, step, counts)
        state.record_placement(runs.Run(state.task, 1), "w", now - MS(elapsed_ms))
        return loads.remaining_run_time_ms(state, 100.0, now)

    def test_run_within_its_expected_run_time(self):
        self.assertEqual(60.0, self.remaining(40))

    def test_run_near_its_expected_run_time(self):
        self.assertEqual(20.0, self.remaining(99))

    def test_overdue_run_is_expected_to_need_as_long_again(self):
        self.assertEqual(400.0, self.remaining(500))


class TestFitToTarget(testtools.TestCase):
    """The default choice among workers with free resources."""

    def setUp(self):
        super().setUp()
        self.now = clock.ManualClock().now()
        self.policy = policies.worker_choice_policies.get("fit_to_due")

    def make_job(self, run_time_ms):
        step = jobs.Step(1, RESOURCES, MS(run_time_ms))
        job = jobs.Job("0" * 16, "", (step,))
        queue = jobs.Queue("q", "", "", "search", 0, 2, 1.6, MS(60), MS(1500))
        submission = broker_messages.Submission(
            job, queue, "home", self.now, self.now + MS(1500)
        )
        shard_id = broker_messages.ShardId(
            job.job_id, 0, broker_messages.GatewayId("vm", "1")
        )
        schedule = policies.make_schedule(
            run_time_estimates.RunTimeEstimates(), submission, highest_speed=1.4
        )
        return shard_state.ShardState(shard_id, submission, schedule)

    def choose(
        self,
        run_time_ms,
        run_times_ms,
        utilisation=0.9,
        next_finish_ms=None,
        upper_bound_ms=None,
        next_upper_bound_ms=None,
    ):
        candidates = [
            policies.Candidate(self.make_worker(n), make_estimate(x, upper_bound_ms), 0)
            for n, x in enumerate(run_times_ms)
        ]

        def is_sooner_after_wait(candidate, compares_bounds):
            if next_finish_ms is None:
                return False
            next_finish = make_estimate(next_finish_ms, next_upper_bound_ms)
            if compares_bounds:
                return next_finish.upper_bound_ms < candidate.upper_bound_ms
            return next_finish.expected_ms < candidate.expected_ms

        context = policies.PlacementContext(
            self.make_job(run_time_ms), is_sooner_after_wait, lambda: utilisation,
            self.now,
        )  # fmt: skip
        chosen = self.policy.choose(candidates, context)
        if chosen is None:
            return None
        return chosen.run_time.expected_ms

    def make_worker(self, number):
        report = runs.WorkerReport(
            f"w-{number}", "1", "search", "h:1", "home", jobs.Resources(32_000, 1000, 0)
        )
        return held_worker.HeldWorker(report, 1, self.now)

    def test_fastest_worker_is_chosen_at_low_utilisation(self):
        self.assertEqual(70, self.choose(100, [70, 170], utilisation=0.2))

    def test_slowest_worker_in_time_is_chosen_at_peak_load(self):
        self.assertEqual(170, self.choose(100, [70, 170]))

    def test_slow_worker_that_would_be_late_is_not_chosen_at_peak_load(self):
        self.assertEqual(530, self.choose(760, [530, 1290]))

    def test_long_task_waits_for_a_worker_that_finishes_earlier(self):
        self.assertIsNone(self.choose(760, [1290], next_finish_ms=630))

    def test_possible_straggler_waits_for_a_fast_worker(self):
        chosen = self.choose(
            600,
            [720],
            next_finish_ms=750,
            upper_bound_ms=1900,
            next_upper_bound_ms=1300,
        )
        self.assertIsNone(chosen)

    def test_possible_straggler_does_not_use_the_slow_worker_at_peak_load(self):
        self.assertIsNone(
            self.choose(600, [720], next_finish_ms=500, upper_bound_ms=1900)
        )

    def test_late_task_is_placed_if_waiting_is_no_better(self):
        self.assertEqual(1290, self.choose(760, [1290], next_finish_ms=1500))


class TestJobSizes(testtools.TestCase):
    """Classes of jobs by the rank of their work in their queue."""

    def classify(self, count=2000, seed=1):
        sizes, draw = job_sizes.JobSizes(), random.Random(seed)
        return collections.Counter(
            sizes.classify("q", draw.lognormvariate(7.0, 0.6)) for _ in range(count)
        )

    def test_classes_have_a_tenth_and_a_fifth_of_the_jobs(self):
        found = self.classify()
        self.assertAlmostEqual(0.1, found[job_sizes.SizeClass.LARGEST] / 2000, 1)
        self.assertAlmostEqual(0.2, found[job_sizes.SizeClass.LARGE] / 2000, 1)

    def test_queues_are_told_apart(self):
        sizes = job_sizes.JobSizes()
        for _ in range(50):
            sizes.classify("short", 10.0)
            sizes.classify("long", 1000.0)
        self.assertIs(job_sizes.SizeClass.LARGEST, sizes.classify("short", 100.0))
        self.assertIs(job_sizes.SizeClass.USUAL, sizes.classify("long", 100.0))


class TestJobOrder(testtools.TestCase):
    """The order of jobs, with short tasks that arrive behind long ones."""

    def key(self, name, run_time_ms, age_ms=0, has_ordered_runs=False):
        now = clock.ManualClock().now()
        case = TestFitToTarget("setUp")
        case.now = now - MS(age_ms)
        job = case.make_job(run_time_ms)
        job.has_ordered_runs = has_ordered_runs
        return policies.job_order_policies.get(name).key(job, now)

    def test_short_task_is_ordered_before_a_long_one_that_can_wait(self):
        for name in ("latest_start", "priority"):
            self.assertLess(self.key(name, 51), self.key(name, 760))

    def test_started_job_is_ordered_before_new_ones(self):
        for name in ("latest_start", "priority"):
            started = self.key(name, 760, has_ordered_runs=True)
            self.assertLess(started, self.key(name, 51))

    # The latest start of a long job followed from its objective alone, so it waited
    # behind shorter ones until its client had left.
    def test_job_whose_client_leaves_first_is_ordered_by_the_client_timeout(self):
        for name in ("latest_start", "priority"):
            long = self.key(name, 1350, age_ms=200)
            self.assertLess(long, self.key(name, 500))

    def test_late_job_is_ordered_after_one_in_time(self):
        late = self.key("latest_start", 51, age_ms=500)
        self.assertLess(self.key("latest_start", 760), late)


class TestRunTimeEstimates(testtools.TestCase):
    """Estimates of run times by queue, and of speeds by worker."""

    def setUp(self):
        super().setUp()
        self.estimates = run_time_estimates.RunTimeEstimates()
        self.step = jobs.Step(1, RESOURCES, MS(100))

    def record_runs(self, number, run_time_ms, count=8):
        report = TestFitToTarget.make_worker(
            type("", (), {"now": clock.ManualClock().now()}), number
        ).report
        for _ in range(count):
            self.estimates.record_run("q", self.step, report, MS(run_time_ms))
        return report

    def test_slow_and_fast_workers_get_their_speeds(self):
        self.estimates.record_estimate("q", self.step)
        fast, slow = self.record_runs(1, 70), self.record_runs(2, 170)
        self.assertAlmostEqual(1.43, self.estimates.speed(fast), delta=0.15)
        self.assertAlmostEqual(0.59, self.estimates.speed(slow), delta=0.1)

    def record_estimates(self, spread=0.57, count=400):
        """Record log-normal estimates of a queue, with a median of 100 ms."""
        generator = random.Random(1)
        for _ in range(count):
            estimate = MS(100 * generator.lognormvariate(0.0, spread))
            self.estimates.record_estimate("q", self.step._replace(estimate=estimate))

    def estimate(self, estimate_ms):
        return self.estimates.estimate(
            "q", self.step._replace(estimate=MS(estimate_ms))
        )

    def test_high_estimate_is_shrunk_towards_the_mean_of_its_queue(self):
        self.record_estimates()
        expected, _, _ = self.estimate(200)
        self.assertAlmostEqual(141.0, expected, delta=15.0)

    def test_low_estimate_is_raised_towards_the_mean_of_its_queue(self):
        self.record_estimates()
        expected, _, _ = self.estimate(20)
        self.assertAlmostEqual(45.0, expected, delta=5.0)

    def test_estimate_of_a_straggler_is_kept(self):
        self.record_estimates()
        expected, _, upper_bound_ms = self.estimate(900)
        self.assertGreater(expected, 600.0)
        self.assertGreater(upper_bound_ms, 900.0)

    def test_longer_estimate_never_gives_a_shorter_run_time(self):
        self.record_estimates()
        expected = [self.estimate(100 * 1.1**n)[0] for n in range(30)]
        self.assertEqual(sorted(expected), expected)

    def test_bounds_enclose_the_expected_run_time(self):
        self.record_estimates()
        for estimate_ms in (10, 50, 100, 300, 500, 700, 1000, 5000):
            expected, lower_bound_ms, upper_bound_ms = self.estimate(estimate_ms)
            self.assertLess(lower_bound_ms, expected * 1.05)
            self.assertGreater(upper_bound_ms, expected)

    def test_stragglers_do_not_change_the_mean_of_the_queue(self):
        self.record_estimates()
        before = self.estimate(100)[0]
        for _ in range(5):
            self.estimates.record_estimate("q", self.step._replace(estimate=MS(1000)))
        self.assertAlmostEqual(before, self.estimate(100)[0], delta=5.0)

    def test_equal_estimates_of_a_queue_give_narrow_bounds(self):
        self.record_estimates(spread=0.0)
        expected, _, upper_bound_ms = self.estimate(100)
        self.assertAlmostEqual(100.0, expected, delta=1.0)
        self.assertLess(upper_bound_ms, 130.0)

    def test_missing_estimate_is_replaced_by_the_mean_of_the_queue(self):
        self.estimates.record_estimate("q", self.step)
        without_estimate = self.step._replace(estimate=datetime.timedelta())
        expected = self.estimates.expected("q", without_estimate)
        self.assertAlmostEqual(100.0, clock.to_milliseconds(expected), delta=0.1)

    def test_one_straggling_run_changes_the_speed_little(self):
        self.estimates.record_estimate("q", self.step)
        report = self.record_runs(1, 100)
        self.record_runs(1, 5000, count=1)
        self.assertGreater(self.estimates.speed(report), 0.75)


class TestWorkerHealth(testtools.TestCase):
    """A worker that fails all its runs must not attract more of them."""

    def setUp(self):
        super().setUp()
        self.now = clock.ManualClock().now()
        self.health = worker_health.WorkerHealth()

    def test_failures_of_two_jobs_in_a_row_start_a_quarantine(self):
        self.assertFalse(self.health.record_failure("a", self.now))
        self.assertTrue(self.health.record_failure("b", self.now))
        self.assertFalse(self.health.accepts(self.now, 0))

    def test_failures_of_one_job_start_no_quarantine(self):
        for _ in range(5):
            self.assertFalse(self.health.record_failure("a", self.now))
        self.assertTrue(self.health.accepts(self.now, 3))

    def test_worker_gets_one_run_at_a_time_after_its_quarantine(self):
        self.health.record_failure("a", self.now)
        self.health.record_failure("b", self.now)
        later = self.now + worker_health.INITIAL_QUARANTINE
        self.assertTrue(self.health.accepts(later, 0))
        self.assertFalse(self.health.accepts(later, 1))

    def test_quarantine_grows_while_runs_fail(self):
        self.health.record_failure("a", self.now)
        self.health.record_failure("b", self.now)
        later = self.now + worker_health.INITIAL_QUARANTINE
        self.assertTrue(self.health.record_failure("c", later))
        self.assertFalse(
            self.health.accepts(later + worker_health.INITIAL_QUARANTINE, 0)
        )

    def test_success_ends_the_quarantine(self):
        self.health.record_failure("a", self.now)
        self.health.record_failure("b", self.now)
        self.health.record_success()
        self.assertTrue(self.health.accepts(self.now, 3))
