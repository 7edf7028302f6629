"""The pooled queue that knows all, and the command that compares with it."""

import contextlib
import io
import json

import testtools

from carawaysail_model import main, pooled, results, sites
from carawaysail_types import clock, errors, jobs

MS = clock.milliseconds
ROOM = jobs.Resources(14_000, 64, 0)
PATIENCE = MS(1500)
FAST, SLOW = pooled.PooledWorker(0.5, 14_000), pooled.PooledWorker(2.0, 14_000)


class TestPool(testtools.TestCase):
    """Who gets which worker when everything is known."""

    def setUp(self):
        super().setUp()
        self.now = clock.ManualClock().now()

    def arrive(self, at_ms, *lengths_ms, slack_ms=60.0):
        aim_ms = 1.6 * max(lengths_ms) + slack_ms
        lengths = tuple(MS(x) for x in lengths_ms)
        return sites.Arrival("kind", self.now + MS(at_ms), ROOM, lengths, aim_ms, 1.0)

    def serve(self, workers, *arrivals):
        return pooled.Pool(list(workers), PATIENCE).serve(arrivals)

    def took(self, workers, *arrivals):
        found = self.serve(workers, *arrivals)
        done = [x for x in found if x.outcome.verdict is jobs.Verdict.COMPLETED]
        return sorted(round(x.took_ms) for x in done)

    def test_short_work_leaves_the_fast_worker(self):
        self.assertEqual([80, 500], self.took(
            [FAST, SLOW], self.arrive(0, 40), self.arrive(1, 1000)
        ))  # fmt: skip

    def test_work_that_a_slow_worker_makes_late_waits(self):
        self.assertEqual([100, 190], self.took(
            [FAST, SLOW], self.arrive(0, 200), self.arrive(10, 200)
        ))  # fmt: skip

    def test_job_that_cannot_keep_its_objective_is_refused(self):
        served = self.serve([SLOW], self.arrive(0, 400))
        self.assertEqual(jobs.Verdict.REFUSED, served[0].outcome.verdict)

    def test_every_job_is_counted_once(self):
        arrivals = [self.arrive(n, 100, 100) for n in range(0, 200, 5)]
        self.assertEqual(len(arrivals), len(self.serve([FAST, SLOW], *arrivals)))

    def test_room_is_never_exceeded(self):
        took = self.took([FAST], *(self.arrive(0, 100) for _ in range(4)))
        self.assertEqual([50, 100, 150, 200], took)


class TestReference(testtools.TestCase):
    """What daemons reach, compared with a pool."""

    def test_daemons_do_not_beat_the_pool_at_the_crest(self):
        world = sites.World(sites.Site(workers=12), 3)
        world.rate_factor = 0.4
        world.run(MS(8000))
        found = results.summarise(world)
        self.assertLessEqual(found["worth"], found["pooled"])
        self.assertGreater(found["worth"], 0.5 * found["pooled"])


class TestCommand(testtools.TestCase):
    """Sweeps of the command."""

    def run_command(self, *args):
        out = io.StringIO()
        with contextlib.redirect_stdout(out):
            status = main.main(["--seconds", "1", "--rate", "0.1", *args])
        return status, [json.loads(x) for x in out.getvalue().splitlines()]

    def test_each_value_has_a_line(self):
        status, rows = self.run_command("--sweep", "choice=fit_to_due,random")
        self.assertEqual(0, status)
        self.assertEqual(["fit_to_due", "random"], [x["value"] for x in rows])

    def test_rate_is_swept(self):
        _, rows = self.run_command("--sweep", "rate=0.1,0.3")
        self.assertLess(rows[0]["jobs"], rows[1]["jobs"])

    def test_number_of_the_site_is_swept(self):
        site = main.swept(sites.Site(), "tail", "0.1")
        self.assertEqual(0.1, site.tail)

    def test_unknown_field_is_refused(self):
        for field in ("nothing", "kinds", "count"):
            with testtools.ExpectedException(errors.BadInputError):
                main.swept(sites.Site(), field, "1")

    def test_word_for_a_number_is_refused(self):
        with testtools.ExpectedException(errors.BadInputError):
            main.swept(sites.Site(), "workers", "many")
