"""Planning and placing under load; each test names the pattern that it answers."""

import datetime

import testtools

from carawaysail_holding import (
    events,
    held,
    jobstate,
    lengths,
    loads,
    planning,
    policies,
    standing,
)
from carawaysail_types import clock, jobs, runs

MS = clock.milliseconds
ROOM = jobs.Room(14_000, 64, 0)


def make_load(slots=(), frees=(), waiting=0, waiting_ms=0.0, speeds=(1.4, 0.6)):
    """Return a report; slots are (free cores, speed), frees (ms, speed)."""
    return loads.Load(
        "desk",
        tuple(loads.Slot(int(free * 1000), speed) for free, speed in slots),
        speeds,
        tuple(loads.Free(after, speed) for after, speed in frees),
        waiting,
        waiting_ms,
    )


def make_need(width=1, length_ms=100.0, patience_ms=1500.0):
    """Return a need with the usual objective."""
    due_ms = 1.6 * length_ms + 60.0
    return planning.Need(width, ROOM, length_ms, due_ms, patience_ms)


class TestBoard(testtools.TestCase):
    """Sharing tasks out over data centres."""

    def make(self, **reports):
        board = planning.Board("home")
        for place, load in reports.items():
            board.take(place, (load,))
        return board

    def test_free_slots_at_home_come_first(self):
        board = self.make(home=make_load([(32, 1.4)]), away=make_load([(32, 1.4)]))
        self.assertEqual({"home": 2}, board.plan("desk", make_need(2)).shares)

    def test_wide_job_in_a_burst_uses_all_data_centres(self):
        board = self.make(
            home=make_load([(32, 1.4)]),
            east=make_load([(32, 1.4)]),
            west=make_load([(32, 1.4)]),
        )
        plan = board.plan("desk", make_need(6))
        self.assertEqual({"home": 2, "east": 2, "west": 2}, plan.shares)
        self.assertEqual(0, plan.queued)

    def test_fragments_of_large_workers_are_no_slots(self):
        board = self.make(home=make_load([(13, 1.4), (13, 1.4)], [(50, 1.4)]))
        self.assertEqual(1, board.plan("desk", make_need()).queued)

    def test_jobs_planned_at_once_do_not_share_a_slot(self):
        board = self.make(home=make_load([(14, 1.4)], [(500, 1.4)]))
        self.assertEqual(0, board.plan("desk", make_need()).queued)
        self.assertEqual(1, board.plan("desk", make_need()).queued)

    def test_short_work_leaves_fast_workers_at_the_crest(self):
        busy = [(100, 1.4)] * 6
        board = self.make(home=make_load([(14, 1.4), (14, 0.6)], busy))
        board.plan("desk", make_need(1, 51.0))
        left = board._loads["home", "desk"].slots
        self.assertEqual([14_000, 0], [x.free_milli for x in left])

    def test_long_work_waits_for_a_fast_worker(self):
        board = self.make(home=make_load([(14, 0.6)], [(100, 1.4)]))
        plan = board.plan("desk", make_need(1, 760.0))
        self.assertEqual(1, plan.queued)
        self.assertLess(plan.finish_ms, make_need(1, 760.0).due_ms)

    def test_overload_makes_the_finish_late(self):
        queue = make_load([], [(400, 1.4), (500, 0.6)], 20, 6000.0)
        plan = self.make(home=queue).plan("desk", make_need())
        self.assertGreater(plan.finish_ms, make_need().due_ms)

    def test_data_centre_that_is_cut_off_is_left_out(self):
        board = self.make(home=make_load([(32, 1.4)]), away=make_load([(32, 1.4)]))
        board.keep({"away"})
        self.assertEqual({"away": 1}, board.plan("desk", make_need()).shares)

    def test_no_report_no_plan(self):
        self.assertIsNone(self.make().plan("desk", make_need()))


class TestTimeLeft(testtools.TestCase):
    """What is expected of runs, stragglers among them."""

    def left(self, ran_ms):
        now = clock.ManualClock().now()
        step = jobs.Step(1, ROOM, MS(100))
        state = jobstate.TaskState(runs.Task("0" * 16, 0, 0, 0), step)
        state.place(runs.Run(state.task, 1), "w", now - MS(ran_ms))
        return loads.time_left(state, MS(100), now)

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
        queue = jobs.Queue("q", "", "", "desk", 0, 2, 1.6, MS(60), MS(1500))
        submission = events.Submission(
            job, queue, "home", self.now, self.now + MS(1500)
        )
        part = events.PartId(job.job_id, 0, events.Waiter("vm", "1"))
        schedule = policies.schedule(lengths.Lengths(), submission)
        return jobstate.JobState(part, submission, schedule)

    def choose(self, length_ms, takes, utilisation=0.9, next_end=None):
        found = [
            policies.Candidate(self.make_worker(n), MS(x), 0)
            for n, x in enumerate(takes)
        ]
        wait = MS(next_end) if next_end is not None else None
        view = policies.View(self.make_job(length_ms), wait, utilisation, self.now)
        chosen = self.policy.choose(found, view)
        return None if chosen is None else clock.to_milliseconds(chosen.takes)

    def make_worker(self, number):
        report = runs.WorkerReport(
            f"w-{number}", "1", "desk", "h:1", "home", jobs.Room(32_000, 1000, 0)
        )
        return held.HeldWorker(report, 1, self.now)

    def test_light_load_takes_the_fastest(self):
        self.assertEqual(70, self.choose(100, [70, 170], utilisation=0.2))

    def test_crest_takes_the_slowest_in_time(self):
        self.assertEqual(170, self.choose(100, [70, 170]))

    def test_crest_keeps_slow_workers_from_what_they_would_make_late(self):
        self.assertEqual(530, self.choose(760, [530, 1290]))

    def test_long_task_waits_rather_than_be_late(self):
        self.assertIsNone(self.choose(760, [1290], next_end=630))

    def test_late_task_goes_on_where_nothing_better_comes(self):
        self.assertEqual(1290, self.choose(760, [1290], next_end=1500))


class TestOrders(testtools.TestCase):
    """Who goes first; a pattern of short work behind long work."""

    def key(self, name, length_ms, age_ms=0, begun=False):
        now = clock.ManualClock().now()
        case = TestFitToDue("setUp")
        case.now = now - MS(age_ms)
        job = case.make_job(length_ms)
        job.has_ordered = begun
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
        self.known = lengths.Lengths()
        self.step = jobs.Step(1, ROOM, MS(100))

    def observe(self, number, took_ms, times=8):
        report = TestFitToDue.make_worker(
            type("", (), {"now": clock.ManualClock().now()}), number
        ).report
        for _ in range(times):
            self.known.observe("q", self.step, report, MS(took_ms))
        return report

    def test_slow_third_of_the_workers_is_told_from_the_rest(self):
        self.known.estimated("q", self.step)
        fast, slow = self.observe(1, 70), self.observe(2, 170)
        self.assertAlmostEqual(1.43, self.known.speed(fast), delta=0.15)
        self.assertAlmostEqual(0.59, self.known.speed(slow), delta=0.1)

    def test_estimate_is_drawn_to_its_queue(self):
        for _ in range(200):
            self.known.estimated("q", self.step)
        large = self.step._replace(estimate=MS(400))
        self.assertAlmostEqual(
            200.0, clock.to_milliseconds(self.known.expected("q", large)), delta=5.0
        )

    def test_missing_estimate_is_that_of_the_queue(self):
        self.known.estimated("q", self.step)
        bare = self.step._replace(estimate=datetime.timedelta())
        expected = self.known.expected("q", bare)
        self.assertAlmostEqual(100.0, clock.to_milliseconds(expected), delta=0.1)

    def test_one_straggler_changes_little(self):
        self.known.estimated("q", self.step)
        report = self.observe(1, 100)
        self.observe(1, 5000, times=1)
        self.assertGreater(self.known.speed(report), 0.75)


class TestStanding(testtools.TestCase):
    """A worker that fails everything draws no work."""

    def setUp(self):
        super().setUp()
        self.now = clock.ManualClock().now()
        self.found = standing.Standing()

    def test_two_jobs_in_a_row_make_it_rest(self):
        self.assertFalse(self.found.failed("a", self.now))
        self.assertTrue(self.found.failed("b", self.now))
        self.assertFalse(self.found.accepts(self.now, 0))

    def test_hopeless_job_alone_does_not(self):
        for _ in range(5):
            self.assertFalse(self.found.failed("a", self.now))
        self.assertTrue(self.found.accepts(self.now, 3))

    def test_it_is_tried_with_one_task_after_its_rest(self):
        self.found.failed("a", self.now)
        self.found.failed("b", self.now)
        later = self.now + standing.FIRST_REST
        self.assertTrue(self.found.accepts(later, 0))
        self.assertFalse(self.found.accepts(later, 1))

    def test_rests_grow_while_it_fails(self):
        self.found.failed("a", self.now)
        self.found.failed("b", self.now)
        later = self.now + standing.FIRST_REST
        self.assertTrue(self.found.failed("c", later))
        self.assertFalse(self.found.accepts(later + standing.FIRST_REST, 0))

    def test_success_clears_it(self):
        self.found.failed("a", self.now)
        self.found.failed("b", self.now)
        self.found.succeeded()
        self.assertTrue(self.found.accepts(self.now, 3))
