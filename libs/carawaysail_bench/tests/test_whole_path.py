"""Requests and jobs from caller to target: real daemons and stand-ins on loopback."""

import testtools

from carawaysail_bench import fleet, testing


class TestWholePath(testtools.TestCase):
    """A request, its resubmissions and a job through several entry daemons."""

    def setUp(self):
        super().setUp()
        entries = fleet.make_entry_specs({"rosario": 2, "cordoba": 1})
        targets = {
            data_centre: testing.make_targets(data_centre)
            for data_centre in ("rosario", "cordoba")
        }
        teams = {"ventas": {"services": {"pedidos": {}}}}
        self.fleet = fleet.Fleet(entries, targets, teams, {})
        self.fleet.__enter__()
        self.addCleanup(self.fleet.close)

    def test_request_job_and_resubmission(self):
        path = "/v1/services/pedidos/requests"
        body = {"id": self.fleet.owner_token("rosario-e1") + "~order-1"}
        body["payload"] = {"run_ms": 20, "echo": "oats"}
        for vm in ("rosario-e1", "rosario-e2", "cordoba-e1"):
            status, result = self.fleet.call(vm, "POST", path, body)
            self.assertEqual((200, "completed"), (status, result["outcome"]))
            self.assertEqual("oats", result["answer"]["echo"])
        tasks = [{"payload": {"run_ms": 5, "echo": n}} for n in range(100)]
        path = "/v1/services/pedidos/jobs"
        status, result = self.fleet.call("cordoba-e1", "POST", path, {"tasks": tasks})
        self.assertEqual(200, status)
        self.assertEqual(list(range(100)), [x["echo"] for x in result["answers"]])
        start_counts = self.fleet.start_counts()
        self.assertEqual(101, len(start_counts))
        self.assertEqual({1}, set(start_counts.values()))


class TestFewWorkers(testtools.TestCase):
    """More entry daemons than workers: all of them share the only worker."""

    def test_every_daemon_runs_jobs_on_the_only_worker(self):
        (port,) = fleet.free_ports(1)
        worker_spec = {"name": "rosario-w1", "kind": "worker", "port": port, "slots": 8}
        teams = {"ventas": {"services": {"pedidos": {}}}}
        entries = fleet.make_entry_specs({"rosario": 4})
        targets = {"rosario": [{**worker_spec, "slowness": 1.0}]}
        local_fleet = fleet.Fleet(entries, targets, teams, {})
        local_fleet.__enter__()
        self.addCleanup(local_fleet.close)
        for vm in local_fleet.entries:
            for processors in (1, 8):
                task = {"payload": {"run_ms": 5, "echo": 1}, "processors": processors}
                body = {"tasks": [task] * 4, "deadline_ms": 5_000}
                result = local_fleet.call(vm, "POST", "/v1/services/pedidos/jobs", body)
                self.assertEqual("completed", result[1].get("outcome"), (vm, result))
