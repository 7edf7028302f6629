"""The reference queue with perfect knowledge, and sweeps of the command line."""

import contextlib
import io
import json

import testtools

from carawaysail_model import main, pooled, results, sites
from carawaysail_types import clock, errors, jobs

MS = clock.milliseconds
RESOURCES = jobs.Resources(14_000, 64, 0)
CLIENT_TIMEOUT = MS(1500)
FAST, SLOW = pooled.PooledWorker(0.5, 14_000), pooled.PooledWorker(2.0, 14_000)


class TestPool(testtools.TestCase):
    """Choice of workers by the pooled queue."""

    def setUp(self):
        super().setUp()
        self.now = clock.ManualClock().now()

    def make_arrival(self, at_ms, *run_times_ms, added_ms=60.0):
        objective_ms = 1.6 * max(run_times_ms) + added_ms
        run_times = tuple(MS(x) for x in run_times_ms)
        return sites.Arrival(
            "kind", self.now + MS(at_ms), RESOURCES, run_times, objective_ms, 1.0
        )

    def serve(self, workers, *arrivals):
        return pooled.Pool(list(workers), CLIENT_TIMEOUT).serve(arrivals)

    def completed_ms(self, workers, *arrivals):
        served = self.serve(workers, *arrivals)
        done = [x for x in served if x.outcome.verdict is jobs.Verdict.COMPLETED]
        return sorted(round(x.response_ms) for x in done)

    def test_short_task_leaves_the_fast_worker_free(self):
        self.assertEqual([80, 500], self.completed_ms(
            [FAST, SLOW], self.make_arrival(0, 40), self.make_arrival(1, 1000)
        ))  # fmt: skip

    def test_task_that_would_be_late_on_a_slow_worker_waits(self):
        self.assertEqual([100, 190], self.completed_ms(
            [FAST, SLOW], self.make_arrival(0, 200), self.make_arrival(10, 200)
        ))  # fmt: skip

    def test_job_that_cannot_meet_its_objective_is_refused(self):
        served = self.serve([SLOW], self.make_arrival(0, 400))
        self.assertEqual(jobs.Verdict.REFUSED, served[0].outcome.verdict)

    def test_every_job_is_counted_once(self):
        arrivals = [self.make_arrival(n, 100, 100) for n in range(0, 200, 5)]
        self.assertEqual(len(arrivals), len(self.serve([FAST, SLOW], *arrivals)))

    def test_capacity_is_never_exceeded(self):
        completed_ms = self.completed_ms(
            [FAST], *(self.make_arrival(0, 100) for _ in range(4))
        )
        self.assertEqual([50, 100, 150, 200], completed_ms)


class TestReference(testtools.TestCase):
    """Worth that daemons earn, compared with the reference."""

    def test_daemons_do_not_beat_the_pool_at_peak_load(self):
        simulation = sites.Simulation(sites.Site(workers=12), 3)
        simulation.rate_factor = 0.4
        simulation.run(MS(8000))
        served = results.summarise(simulation)
        self.assertLessEqual(served["worth"], served["pooled"])
        self.assertGreater(served["worth"], 0.5 * served["pooled"])


class TestCommand(testtools.TestCase):
    """Sweeps over values of a field."""

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

    def test_numeric_field_is_swept(self):
        site = main.with_value(sites.Site(), "tail", "0.1")
        self.assertEqual(0.1, site.tail)

    def test_unknown_field_is_refused(self):
        for field in ("nothing", "kinds", "count"):
            with testtools.ExpectedException(errors.BadInputError):
                main.with_value(sites.Site(), field, "1")

    def test_text_for_a_number_is_refused(self):
        with testtools.ExpectedException(errors.BadInputError):
            main.with_value(sites.Site(), "workers", "many")
