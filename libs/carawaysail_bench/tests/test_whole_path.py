"""The whole path over loopback: real entry daemons, real stand-in targets."""

import testtools

from carawaysail_bench import fleet, testing


class TestWholePath(testtools.TestCase):
    """A request and a job through several entry daemons."""

    def setUp(self):
        super().setUp()
        entries = fleet.plan_entries({"rosario": 2, "cordoba": 1})
        targets = {
            place: testing.make_targets(place) for place in ("rosario", "cordoba")
        }
        teams = {"ventas": {"services": {"pedidos": {}}}}
        self.fleet = fleet.Fleet(entries, targets, teams, {})
        self.fleet.__enter__()
        self.addCleanup(self.fleet.close)

    def test_request_job_and_resubmission(self):
        path = "/v1/services/pedidos/requests"
        body = {"id": self.fleet.owner("rosario-e1") + "~order-1"}
        body["payload"] = {"run_ms": 20, "echo": "oats"}
        for vm in ("rosario-e1", "rosario-e2", "cordoba-e1"):
            status, told = self.fleet.call(vm, "POST", path, body)
            self.assertEqual((200, "completed"), (status, told["outcome"]))
            self.assertEqual("oats", told["answer"]["echo"])
        tasks = [{"payload": {"run_ms": 5, "echo": n}} for n in range(100)]
        path = "/v1/services/pedidos/jobs"
        status, told = self.fleet.call("cordoba-e1", "POST", path, {"tasks": tasks})
        self.assertEqual(200, status)
        self.assertEqual(list(range(100)), [x["echo"] for x in told["answers"]])
        starts = self.fleet.starts()
        self.assertEqual(101, len(starts))
        self.assertEqual({1}, set(starts.values()))


class TestFewWorkers(testtools.TestCase):
    """More entry daemons than workers."""

    def test_every_daemon_runs_jobs_on_the_only_worker(self):
        (port,) = fleet.free_ports(1)
        only = {"name": "rosario-w1", "kind": "worker", "port": port, "slots": 8}
        teams = {"ventas": {"services": {"pedidos": {}}}}
        entries = fleet.plan_entries({"rosario": 4})
        targets = {"rosario": [{**only, "slowness": 1.0}]}
        small = fleet.Fleet(entries, targets, teams, {})
        small.__enter__()
        self.addCleanup(small.close)
        for vm in small.entries:
            for processors in (1, 8):
                task = {"payload": {"run_ms": 5, "echo": 1}, "processors": processors}
                body = {"tasks": [task] * 4, "deadline_ms": 5_000}
                told = small.call(vm, "POST", "/v1/services/pedidos/jobs", body)
                self.assertEqual("completed", told[1].get("outcome"), (vm, told))
