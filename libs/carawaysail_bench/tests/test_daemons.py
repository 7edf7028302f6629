"""Real daemons over loopback: invalid input, ends, outages and the callers' page."""

import concurrent.futures
import json
import os
import pathlib
import re
import signal
import subprocess
import time

import testtools

from carawaysail_bench import fleet, testing
from carawaysail_cli import main as cli

REQUEST_PATH = "/v1/services/pedidos/requests"
JOB_PATH = "/v1/services/pedidos/jobs"
CALLERS_PAGE = pathlib.Path(__file__).parents[3] / "docs" / "CALLERS.md"


class FleetCase(testtools.TestCase):
    """Two daemons and four targets in one data centre."""

    data_centres = {"rosario": 2}

    def setUp(self):
        super().setUp()
        entries = fleet.make_entry_specs(self.data_centres)
        targets = {
            data_centre: testing.make_targets(data_centre)
            for data_centre in self.data_centres
        }
        teams = {"ventas": {"services": {"pedidos": {}}}}
        self.fleet = fleet.Fleet(entries, targets, teams, {})
        self.fleet.__enter__()
        self.addCleanup(self.fleet.close)
        self.pool = concurrent.futures.ThreadPoolExecutor(4)
        self.addCleanup(self.pool.shutdown)

    def request(self, vm, run_ms=10, **body):
        body["payload"] = {"run_ms": run_ms, "echo": 1}
        return self.fleet.call(vm, "POST", REQUEST_PATH, body)

    def request_later(self, vm, run_ms, **body):
        """Send a request from a thread, and return once its target has started it."""
        before = len(self.fleet.start_counts())
        call = self.pool.submit(self.request, vm, run_ms, **body)
        while len(self.fleet.start_counts()) == before:
            time.sleep(0.01)
        return call

    def assert_outcome(self, expected, answer):
        self.assertEqual(expected, answer[1].get("outcome"), answer)


class TestWrongInput(FleetCase):
    """Invalid input is refused with a clear error, and nothing is started for it."""

    def assert_refused(self, status, path, body, expected_text, **options):
        url = self.fleet.entries["rosario-e1"].url + path
        answer = self.fleet.http.request("POST", url, body=body, **options)
        result = json.loads(answer.data)
        self.assertEqual(
            (status, "not_run"), (answer.status, result["outcome"]), result
        )
        self.assertIn(expected_text, result["accepted"])

    def test_each_kind_of_invalid_input(self):
        owner = self.fleet.owner_token("rosario-e1")
        self.request("rosario-e1", id=f"{owner}~a")
        other = json.dumps({"id": f"{owner}~a", "payload": 2})
        big = json.dumps({"tasks": [{"processors": 500}]})
        large = json.dumps({"payload": "x" * 1_000_001})
        for status, path, body, expected_text in (
            (400, REQUEST_PATH, "{", "a JSON object"),
            (400, REQUEST_PATH, b"\xff\xfe", "a JSON object"),
            (400, REQUEST_PATH, "[" * 10_000, "a JSON object"),
            (400, REQUEST_PATH, '{"deadline_ms": -5}', "from 1 to 3600000"),
            (400, REQUEST_PATH, '{"idempotent": 3}', "true or false"),
            (400, REQUEST_PATH, '{"id": "a"}', "<owner>~<own>"),
            (400, JOB_PATH, '{"tasks": 3}', "1 to 340 tasks"),
            (413, REQUEST_PATH, large, "at most 1000000 bytes"),
            (404, "/v1/services/otro/requests", "{}", "pedidos"),
            (404, "/v2", "{}", "POST /v1/services/{service}/requests"),
            (405, "/healthz", "{}", "GET /healthz"),
            (409, REQUEST_PATH, other, "the body that came first"),
        ):
            self.assert_refused(status, path, body, expected_text)
        status, result = self.fleet.call(
            "rosario-e1", "POST", JOB_PATH, json.loads(big)
        )
        self.assertEqual((422, "infeasible"), (status, result["reason"]))
        self.assertEqual(1, len(self.fleet.start_counts()))
        self.assert_outcome("completed", self.request("rosario-e1"))


class TestEnds(FleetCase):
    """Daemons that end gracefully, are killed or are paused."""

    def test_graceful_end_waits_for_forwarded_request(self):
        owner = self.fleet.owner_token("rosario-e1")
        call = self.request_later("rosario-e2", 900, id=f"{owner}~a")
        self.assertEqual(0, self.fleet.terminate("rosario-e2"))
        self.assert_outcome("completed", call.result())

    def test_successor_answers_and_accepts_new_work(self):
        owner = self.fleet.owner_token("rosario-e1")
        call = self.request_later("rosario-e1", 500, id=f"{owner}~a")
        self.assertEqual(0, self.fleet.terminate("rosario-e1"))
        self.assert_outcome("completed", call.result())
        for local_id in ("a", "never-sent-before"):
            answer = self.request("rosario-e2", 500 if local_id == "a" else 10,
                                  id=f"{owner}~{local_id}")  # fmt: skip
            self.assert_outcome("completed", answer)
        self.assertEqual({1}, set(self.fleet.start_counts().values()))

    def test_kill_restart_and_resubmission(self):
        owner = self.fleet.owner_token("rosario-e1")
        self.request_later("rosario-e1", 400, id=f"{owner}~a")
        self.fleet.kill("rosario-e1")
        again = {"id": f"{owner}~a"}
        self.assert_outcome("unknown", self.request("rosario-e2", 400, **again))
        self.fleet.start_entry("rosario-e1")
        self.fleet.wait_ready("rosario-e1")
        for vm in ("rosario-e1", "rosario-e2"):
            self.assert_outcome("unknown", self.request(vm, 400, **again))
        first = {"id": f"{owner}~b", "attempt": 1}
        self.assert_outcome("completed", self.request("rosario-e2", **first))
        self.assertEqual({1}, set(self.fleet.start_counts().values()))

    def test_submission_of_paused_owner_starts_at_most_once(self):
        owner = self.fleet.owner_token("rosario-e1")
        process = self.fleet.processes["rosario-e1"]
        process.send_signal(signal.SIGSTOP)
        body = {"id": f"{owner}~a", "deadline_ms": 300}
        answer = self.request("rosario-e2", **body)
        self.assertIn(answer[1].get("state", answer[1].get("outcome")),
                      ("unknown", "under_way"))  # fmt: skip
        process.send_signal(signal.SIGCONT)
        last = self.request("rosario-e2", id=f"{owner}~a")
        self.assertIn(last[1]["outcome"], ("completed", "not_run", "unknown"))
        self.assertLessEqual(max(self.fleet.start_counts().values(), default=0), 1)


class TestOutages(FleetCase):
    """Work and new daemons while the store is down."""

    def test_work_completes_and_new_daemon_gets_settings_from_peer(self):
        self.fleet.kill("store")
        self.assert_outcome("completed", self.request("rosario-e1"))
        self.fleet.kill("rosario-e2")
        self.fleet.start_entry("rosario-e2")
        self.fleet.wait_ready("rosario-e2")
        self.assert_outcome("completed", self.request("rosario-e2"))


class TestFailingTargets(FleetCase):
    """Targets that fail, do not answer, or leave."""

    def test_unanswered_request_is_unknown_at_deadline(self):
        for name in self.fleet.target_urls():
            self.fleet.set_faults(name, {"never_end": 1})
        answer = self.request("rosario-e1", deadline_ms=300)
        self.assertEqual("unknown", answer[1]["outcome"])
        self.assertEqual("deadline", answer[1]["reason"])

    def test_idempotent_request_completes_despite_failing_runner(self):
        self.fleet.set_faults("rosario-runner-0", {"fail_all": 1})
        for _ in range(8):
            answer = self.request("rosario-e1", idempotent=True)
            self.assert_outcome("completed", answer)

    def test_leaving_runner_receives_no_new_tasks(self):
        self.fleet.set_faults("rosario-runner-0", {"leaving": 1})
        for _ in range(8):
            self.assert_outcome("completed", self.request("rosario-e1"))
        url = self.fleet.target_urls()["rosario-runner-0"]
        result = json.loads(self.fleet.http.request("GET", url + "/totals").data)
        self.assertLessEqual(result["starts"], 1)


class TestCommandLine(FleetCase):
    """The command line with a real store and real daemons."""

    def run_cli(self, *args):
        entry = self.fleet.entries["rosario-e1"].url
        argv = [*args, "--store", self.fleet.store_url, "--entry", entry]
        return cli.run(argv)

    def test_exit_codes_of_changes_invalid_input_and_outages(self):
        self.assertEqual(0, self.run_cli("set", "settings/weight", "2.5"))
        result = self.fleet.call("rosario-e2", "GET", "/v1/settings")[1]
        self.assertEqual(2.5, result["tree"]["settings"]["weight"])
        self.assertEqual(0, self.run_cli("explain", "teams/ventas", "weight"))
        self.assertEqual(0, self.run_cli("quota", "ventas", "50", "--json"))
        self.assertEqual(2, self.run_cli("set", "settings/wieght", "2"))
        self.assertEqual(2, self.run_cli("drain", "target", "nobody"))
        self.assertEqual(0, self.run_cli("drain", "target", "rosario-runner-1"))
        self.assertEqual(0, self.run_cli("status"))
        self.assertEqual(0, self.run_cli("submit", "pedidos", "--payload", "{}"))
        self.assertEqual(2, self.run_cli("submit", "otro"))
        self.fleet.set_faults("store", {"lost_answers": 1})
        self.assertEqual(0, self.run_cli("unset", "settings/weight"))
        self.fleet.set_faults("store", {"down": 1})
        self.assertEqual(4, self.run_cli("show"))
        self.assertEqual(0, self.run_cli("status", "--json"))
        self.assertEqual(2, self.run_cli("no-such-command"))


class TestCallersPage(FleetCase):
    """The examples of docs/CALLERS.md run unchanged."""

    def test_examples_print_what_the_page_says(self):
        page = CALLERS_PAGE.read_text(encoding="utf-8")
        blocks = re.findall(r"```sh\n(.*?)```", page, re.S)
        self.assertGreaterEqual(len(blocks), 5)
        separated = "\n".join(block + "\necho" for block in blocks)
        env = {**os.environ, "ENTRY": self.fleet.entries["rosario-e1"].url}
        out = subprocess.run(
            ["bash", "-eu", "-c", separated], env=env, capture_output=True, timeout=60
        )
        self.assertEqual(0, out.returncode, out.stderr)
        text = out.stdout.decode()
        self.assertEqual(1, text.count("under_way"), text)
        self.assertEqual(5, text.count('"outcome":"completed"'), text)
        self.assertIn("a whole number from 1 to 3600000", text)
        self.assertIn('"cancelled":2', text)
