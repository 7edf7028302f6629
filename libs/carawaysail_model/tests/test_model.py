"""The promises hold in modelled sites under every fault; the checker catches breaks."""

import collections
import datetime

import testtools

from carawaysail_holding import broker, gateway, job_table, ledger, worker_table
from carawaysail_model import faults, results, sites
from carawaysail_types import clock, jobs, runs

SMALL = sites.Site(
    places=3, daemons=5, workers=12,
    kinds=(
        sites.Kind("check", 12.0, 6, 51.0, 0, 0.03),
        sites.Kind("confirm", 2.0, 3, 760.0, 2, 0.16),
        sites.Kind("quote", 20.0, 2, 170.0, 1, 0.01),
    ),
)  # fmt: skip
LENGTH = clock.milliseconds(8000)

QUIET_TARGET = 0.9
"""Share that a quiet day is to reach."""


def play(name, seed=1, site=SMALL, rate=0.6):
    """Run a site with a fault and return its world."""
    world = sites.World(site, seed)
    world.rate_factor = rate
    faults.apply(world, name)
    world.run(LENGTH)
    return world


class PromiseCase(testtools.TestCase):
    """Helpers of tests that look at a history."""

    def assert_kept(self, world):
        """Check that no promise was broken."""
        self.assertEqual([], world.history.broken[:3])

    def assert_broken(self, promise, world):
        """Check that a certain promise was broken."""
        found = collections.Counter(x.promise for x in world.history.broken)
        self.assertGreater(found[promise], 0, found)

    def assert_served(self, world, least):
        """Check the share of jobs that were done in time."""
        self.assertGreaterEqual(results.summarise(world)["in_time"], least)


class TestPromisesUnderFaults(PromiseCase):
    """Each fault, alone and with another one."""

    def test_every_fault_alone(self):
        for name in faults.faults.names():
            with self.subTest(fault=name):
                world = play(name)
                self.assert_kept(world)
                self.assert_served(world, 0.5)

    def test_holder_frozen_while_store_is_down(self):
        world = sites.World(SMALL, 3)
        faults.apply(world, "store_down")
        faults.apply(world, "holder_frozen")
        world.run(LENGTH)
        self.assert_kept(world)

    def test_rolling_restart_with_a_data_centre_cut_off(self):
        world = sites.World(SMALL, 4)
        faults.apply(world, "rolling_restart")
        faults.apply(world, "data_centre_cut")
        world.run(LENGTH)
        self.assert_kept(world)

    def test_holders_killed_twice(self):
        world = sites.World(SMALL, 5)
        faults.apply(world, "holder_killed")
        faults.apply(world, "holder_killed", faults.FIRST + clock.milliseconds(700))
        world.run(LENGTH)
        self.assert_kept(world)

    def test_workers_restart_while_holders_move(self):
        world = sites.World(SMALL, 6)
        faults.apply(world, "workers_restart")
        faults.apply(world, "holder_killed")
        faults.apply(world, "workers_silent")
        world.run(LENGTH)
        self.assert_kept(world)


class TestModel(PromiseCase):
    """The model itself."""

    def test_same_seed_same_result(self):
        self.assertEqual(
            results.summarise(play("holder_killed", 7)),
            results.summarise(play("holder_killed", 7)),
        )

    def test_light_load_is_served(self):
        world = play("none", 2, rate=0.3)
        self.assert_kept(world)
        self.assert_served(world, QUIET_TARGET)

    def test_overload_refuses_and_keeps_promises(self):
        world = play("none", 2, rate=3.0)
        self.assert_kept(world)
        self.assertGreater(results.summarise(world)["refused"], 0.1)


def suitable(self, submission):
    """Return the workers of a service in all held data centres."""
    service = submission.queue.service
    return [x for x in self._workers.values() if x.report.service == service]


class TestChecker(PromiseCase):
    """A variant that breaks a promise is caught."""

    def vary(self, owner, name, value):
        """Replace an attribute for the length of a test."""
        self.patch(owner, name, value)

    def test_ledger_that_forgets_orders(self):
        self.vary(ledger.Ledger, "free", lambda self: self.report.resources)
        self.assert_broken("capacity", play("none"))

    def test_ledger_that_drops_what_is_being_stopped(self):
        def stop(self, run, now):
            self._remove(run)

        self.vary(ledger.Ledger, "record_stop_order", stop)
        self.assert_broken("capacity", play("none", rate=2.0))

    def test_broker_that_starts_resumed_parts_at_once(self):
        self.vary(worker_table.WorkerTable, "may_miss_runs", lambda *args: False)
        broken = [play("holder_killed", seed) for seed in range(8)]
        found = [x.promise for world in broken for x in world.history.broken]
        self.assertIn("one run at a time", found)

    def hand_back(self):
        """Let a data centre go to another daemon and back, under load."""
        found = []
        for seed in range(4):
            world = sites.World(SMALL._replace(daemons=3), seed)
            world.rate_factor = 1.2
            begin = faults.FIRST
            world.engine.after(begin, lambda w=world: w.leave("vm-0"))
            soon = begin + clock.milliseconds(300)
            world.engine.after(soon, lambda w=world: w.kill("vm-0"))
            world.engine.after(soon, lambda w=world: w.start_node("vm-0", "dc-0"))
            world.run(LENGTH)
            found.extend(x.promise for x in world.history.broken)
        return found

    def test_broker_that_mixes_data_centres(self):
        self.assertEqual([], self.hand_back())
        self.vary(worker_table.WorkerTable, "suitable", suitable)
        # What a part was begun on would otherwise hold its copy back.
        self.vary(gateway.Gateway, "record_started_workers", lambda *args: None)
        self.assertIn("one run at a time", self.hand_back())

    def test_broker_that_uses_draining_workers(self):
        def accepts(self, now):
            return self.ledger.has_status

        self.vary(broker.held_worker.HeldWorker, "accepts", accepts)
        self.assert_broken("nothing on draining workers", play("workers_drain"))

    def test_broker_that_refuses_what_has_run(self):
        def finish(self, job, outcome, now, real=job_table.JobTable.finish):
            if outcome.verdict is jobs.Verdict.UNKNOWN:
                outcome = outcome._replace(verdict=jobs.Verdict.REFUSED)
            real(self, job, outcome, now)

        self.vary(job_table.JobTable, "finish", finish)
        self.assert_broken("true refusals", play("workers_slow", rate=1.0))

    def test_answer_before_all_tasks_are_done(self):
        def is_done(self):
            return any(
                x.phase is broker.shard_state.Phase.DONE for x in self.tasks.values()
            )

        self.vary(broker.shard_state.ShardState, "is_done", is_done)
        self.assert_broken("whole answers", play("none"))


class TestWorkerOfTheModel(testtools.TestCase):
    """Fences, run numbers and leases as the platform's pages say."""

    def make(self):
        world = sites.World(SMALL, 1)
        worker = next(iter(world.all_workers().values()))
        task = runs.Task("0" * 16, 0, 0, 0)
        room = jobs.Resources(1000, 1, 0)
        world._truth[task.job_id] = (room, [datetime.timedelta(seconds=5)])
        return world, worker, task

    def start(self, worker, task, number=1, token=5, expires_s=1):
        expires = worker._clock() + datetime.timedelta(seconds=expires_s)
        order = broker.broker_messages.StartRun(
            worker.report, runs.Run(task, number), "", expires, token
        )
        return worker.start(order)

    def test_lower_token_is_fenced(self):
        _, worker, task = self.make()
        self.assertEqual(runs.OrderResult.ACCEPTED, self.start(worker, task, token=7))
        self.assertEqual(runs.OrderResult.FENCED, self.start(worker, task, 2, token=6))

    def test_same_run_again_is_taken_and_older_one_is_not(self):
        _, worker, task = self.make()
        self.assertEqual(runs.OrderResult.ACCEPTED, self.start(worker, task, 3))
        self.assertEqual(runs.OrderResult.ACCEPTED, self.start(worker, task, 3))
        self.assertEqual(runs.OrderResult.STALE_RUN, self.start(worker, task, 2))

    def test_start_after_its_expiry_is_late(self):
        _, worker, task = self.make()
        self.assertEqual(
            runs.OrderResult.EXPIRED, self.start(worker, task, expires_s=0)
        )

    def test_run_lapses_without_renewal(self):
        world, worker, task = self.make()
        self.start(worker, task)
        world.engine.run(datetime.timedelta(seconds=2))
        self.assertEqual(
            [runs.RunResult.LEASE_EXPIRED], [x.result for x in worker._ends]
        )
