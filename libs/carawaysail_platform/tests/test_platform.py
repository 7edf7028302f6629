"""Clients of the platform's services against stand-ins on loopback, with faults."""

import threading
import time

import hypothesis
import hypothesis.strategies
import testtools

from carawaysail_bench import fleet
from carawaysail_platform import errors, keyvalue, runners, targets, vmlist, workers
from carawaysail_standins import runner, store, worker
from carawaysail_standins import vmlist as vmlist_standin
from carawaysail_types import identifiers, outcomes, work

FUZZ = hypothesis.settings(
    max_examples=200, derandomize=True, deadline=None, database=None
)


def make_order(local_id="a", payload=b'{"run_ms": 1, "echo": 7}'):
    """Return an order for one task; ``local_id`` is the caller's part of its id."""
    task = identifiers.TaskId(f"d.v.{'0' * 16}.0~{local_id}", 0)
    return targets.Order(task, "pedidos", payload, work.TaskResources(), "")


class TestKeyValue(testtools.TestCase):
    """Compare-and-swap, watches, leases and outages."""

    def setUp(self):
        super().setUp()
        self.store = store.Store(0)
        self.store.server.start()
        self.addCleanup(self.store.server.stop)
        self.client = keyvalue.HttpKeyValue(self.store.server.url)

    def test_write_with_an_old_revision_is_a_conflict(self):
        first = self.client.compare_and_swap("k/a", 0, "one")
        second = self.client.compare_and_swap("k/a", first, "two")
        self.assertGreater(second, first)
        exc = self.assertRaises(
            errors.WriteConflictError, self.client.compare_and_swap, "k/a", first, "x"
        )
        self.assertEqual(second, exc.found)
        snapshot = self.client.read("k/")
        self.assertEqual((keyvalue.Item("k/a", "two", second),), snapshot.items)

    def test_watch_yields_a_deleted_key_with_an_empty_value(self):
        first = self.client.compare_and_swap("k/a", 0, "one")
        changes = self.client.watch("k/", first)
        self.client.compare_and_swap("k/a", first, "")
        (item,) = next(changes)
        self.assertEqual(("k/a", ""), (item.key, item.value))
        self.assertEqual((), self.client.read("k/").items)

    def test_watch_is_one_call(self):
        changes = self.client.watch("k/", 1)
        self.client.compare_and_swap("k/a", 0, "one")
        next(changes)
        self.assertEqual(1, self.store.calls["/v3/watch"])

    def test_outage_raises_a_typed_error(self):
        self.store.faults.set({"down": 1})
        self.assertRaises(errors.StoreUnavailableError, self.client.read, "k/")

    def test_refused_connection_raises_a_typed_error(self):
        (port,) = fleet.free_ports(1)
        client = keyvalue.HttpKeyValue(f"http://127.0.0.1:{port}")
        self.assertRaises(errors.StoreUnavailableError, client.read, "k/")

    def test_write_with_lost_response_is_uncertain(self):
        self.store.faults.set({"lost_answers": 1})
        self.assertRaises(
            errors.WriteUncertainError, self.client.compare_and_swap, "k/a", 0, "one"
        )
        self.assertEqual(1, len(self.client.read("k/").items))

    def test_lease_is_renewed_only_if_it_exists(self):
        lease = self.client.grant_lease(10)
        self.assertTrue(self.client.renew_lease(lease))
        self.assertFalse(self.client.renew_lease("no-such-lease"))


class TestStandinShutdown(testtools.TestCase):
    """The server of a stand-in stops while calls to it are still pending.

    A call that blocked the shutdown would keep the test process running after its last
    test.
    """

    def assert_stops(self, server, call):
        thread = threading.Thread(target=lambda: list(call()), daemon=True)
        thread.start()
        server.stop()
        thread.join()
        self.assertEqual([], [x for x in threading.enumerate() if x is thread])

    def test_idle_watch_ends_with_the_server(self):
        standin = store.Store(0)
        standin.server.start()
        client = keyvalue.HttpKeyValue(standin.server.url)
        changes = client.watch("k/", 1)
        client.compare_and_swap("k/a", 0, "one")
        next(changes)
        self.assert_stops(standin.server, lambda: changes)

    def test_server_stops_after_the_client_closed_its_watch(self):
        standin = store.Store(0)
        standin.server.start()
        client = keyvalue.HttpKeyValue(standin.server.url)
        changes = client.watch("k/", 1)
        client.compare_and_swap("k/a", 0, "one")
        next(changes)
        changes.close()
        self.assert_stops(standin.server, tuple)

    def assert_task_call_ends(self, standin, client):
        standin.server.start()
        self.addCleanup(standin.server.stop)
        standin.faults.set({"never_end": 1})
        found = []
        thread = threading.Thread(
            target=lambda: found.extend(client.run((make_order(),), 30.0)), daemon=True
        )
        thread.start()
        while not standin.records.totals()["starts"]:
            threading.Event().wait(0.005)
        standin.server.stop()
        thread.join()
        self.assertNotEqual([], found)

    def test_endless_request_ends_with_the_server(self):
        standin = runner.Runner("r1", 0, 1, 1.0)
        self.assert_task_call_ends(
            standin, runners.RunnerClient(standin.server.url, 1.0, 1)
        )

    def test_endless_batch_ends_with_the_server(self):
        standin = worker.Worker("w1", 0, 1, 1.0)
        client = workers.WorkerClient(standin.server.url, 1.0, 1, 30_000)
        self.assert_task_call_ends(standin, client)


class TestVmList(testtools.TestCase):
    """Client of the VM list."""

    def test_reads_the_list_and_reports_an_outage(self):
        standin = vmlist_standin.VmList(0, lag_s=0.0)
        standin.server.start()
        self.addCleanup(standin.server.stop)
        client = vmlist.HttpVmList(standin.server.url)
        self.assertEqual((), client.read())
        (port,) = fleet.free_ports(1)
        unreachable = vmlist.HttpVmList(f"http://127.0.0.1:{port}")
        self.assertRaises(errors.BadAnswerError, unreachable.read)


class TestRunner(testtools.TestCase):
    """One task on a runner, without and with faults of the runner."""

    def setUp(self):
        super().setUp()
        self.target = runner.Runner("r1", 0, 2, 1.0)
        self.target.server.start()
        self.addCleanup(self.target.server.stop)
        self.client = runners.RunnerClient(self.target.server.url, 1.0, 4)

    def run_one(self, **faults):
        self.target.faults.set(faults)
        return list(self.client.run((make_order(),), 5.0))

    def assert_exchange_result(self, batch_status, reason, found):
        self.assertEqual((batch_status, reason), found[-1][:2])

    def test_completed_task_yields_its_answer_and_run_time(self):
        result, exchange_result = self.run_one()
        self.assertTrue(result.ok)
        self.assertIn(b'"echo": 7', result.answer)
        self.assertIsNotNone(result.ran_ms)
        self.assertEqual(outcomes.BatchStatus.ANSWERED, exchange_result.batch_status)

    def test_failure_refusal_and_invalid_json_give_a_reason(self):
        for fault, reason in (
            ("fail_all", outcomes.Reason.TARGET_FAILED),
            ("refuse", outcomes.Reason.TARGET_REFUSED),
            ("nonsense", outcomes.Reason.TARGET_FAILED),
        ):
            result, _ = self.run_one(**{fault: 1})
            self.assertEqual((False, reason), (result.ok, result.reason))

    def test_answer_for_another_task_is_rejected(self):
        found = self.run_one(crossed=1)
        reason = outcomes.Reason.BAD_ANSWER
        self.assert_exchange_result(
            outcomes.BatchStatus.MAY_HAVE_STARTED, reason, found
        )
        self.assertEqual(1, len(found))

    def test_truncated_answer_is_rejected(self):
        found = self.run_one(cut_short=1)
        reason = outcomes.Reason.CONNECTION_LOST
        self.assert_exchange_result(
            outcomes.BatchStatus.MAY_HAVE_STARTED, reason, found
        )

    def test_leaving_is_reported(self):
        self.assertTrue(self.run_one(leaving=1)[-1].is_leaving)

    def test_refused_connection_means_not_started(self):
        (port,) = fleet.free_ports(1)
        client = runners.RunnerClient(f"http://127.0.0.1:{port}", 1.0, 4)
        found = list(client.run((make_order(),), 5.0))
        reason = outcomes.Reason.CONNECTION_LOST
        self.assert_exchange_result(outcomes.BatchStatus.NOT_STARTED, reason, found)


class TestWorker(testtools.TestCase):
    """Batches of tasks on a worker, and requests that control them."""

    def setUp(self):
        super().setUp()
        self.target = worker.Worker("w1", 0, 4, 1.0)
        self.target.server.start()
        self.addCleanup(self.target.server.stop)
        self.client = workers.WorkerClient(self.target.server.url, 1.0, 4, 10_000)

    def make_orders(self, count, run_ms=1):
        payload = f'{{"run_ms": {run_ms}, "echo": 1}}'.encode()
        return tuple(make_order(f"t{n}", payload) for n in range(count))

    def test_batch_is_one_message_with_a_result_for_each_task(self):
        orders = self.make_orders(10)
        *results, exchange_result = self.client.run(orders, 5.0)
        self.assertEqual({x.task for x in orders}, {x.task for x in results})
        self.assertTrue(all(x.ok for x in results))
        self.assertEqual(outcomes.BatchStatus.ANSWERED, exchange_result.batch_status)
        self.assertEqual(1, self.target.records.totals()["messages"])

    def test_stopped_tasks_are_reported(self):
        orders = self.make_orders(2, run_ms=60_000)
        found = []
        thread = threading.Thread(
            target=lambda: found.extend(self.client.run(orders, 30.0)), daemon=True
        )
        thread.start()
        while self.target.records.totals()["starts"] < len(orders):
            time.sleep(0.01)
        self.client.stop(tuple(x.task for x in orders))
        thread.join(20.0)
        reasons = [x.reason for x in found if isinstance(x, targets.TaskResult)]
        self.assertEqual([outcomes.Reason.TASK_STOPPED] * 2, reasons)

    def test_expired_lease_stops_a_task(self):
        client = workers.WorkerClient(self.target.server.url, 1.0, 4, 50)
        result, _ = client.run(self.make_orders(1, run_ms=60_000), 5.0)
        self.assertEqual(outcomes.Reason.TASK_STOPPED, result.reason)

    def test_refused_batch_starts_nothing(self):
        self.target.faults.set({"refuse": 1})
        (exchange_result,) = self.client.run(self.make_orders(3), 5.0)
        self.assertEqual(outcomes.BatchStatus.NOT_STARTED, exchange_result.batch_status)
        self.assertEqual(0, self.target.records.totals()["starts"])

    def test_usage_and_lease_renewal_are_answered(self):
        self.assertIsNotNone(self.client.usage())
        tasks = (make_order().task,)
        self.assertTrue(self.client.renew(tasks))

    @FUZZ
    @hypothesis.given(hypothesis.strategies.binary())
    def test_any_line_is_parsed_or_skipped(self, line):
        found = workers.parse_result_line(line)
        self.assertTrue(found is None or isinstance(found, targets.TaskResult))

    @FUZZ
    @hypothesis.given(hypothesis.strategies.text())
    def test_any_task_id_is_parsed_or_rejected(self, text):
        task = targets.parse_task_id(text)
        self.assertTrue(task is None or task.position >= 0)
