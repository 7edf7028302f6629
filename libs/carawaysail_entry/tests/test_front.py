"""The entry daemon: decoding, encoding, routes, inboxes, traces, effective settings."""

import asyncio
import datetime
import json
import threading

import hypothesis
import hypothesis.strategies
import testtools

from carawaysail_bench import testing
from carawaysail_decisions import ownership, submission_status
from carawaysail_entry import dispatch_task, effective_settings, replies, traces
from carawaysail_entry.front import decode, encode, routes, server
from carawaysail_runtime import inbox
from carawaysail_settings import errors as settings_errors
from carawaysail_settings import tree
from carawaysail_types import clock, errors, outcomes

FUZZ = hypothesis.settings(
    max_examples=200, derandomize=True, deadline=None, database=None
)
OWNER = testing.OWNER


def make_context():
    """Return a decoding context whose settings have one service."""
    services = {"pedidos": {"settings": {"max_payload_bytes": 100}}}
    cfg = tree.check_tree({"teams": {"ventas": {"services": services}}})
    settings = effective_settings.derive(cfg, "e1", "rosario")
    now = clock.ManualClock().now()
    return decode.Context(now, OWNER, lambda: "generated", settings, "")


class TestDecode(testtools.TestCase):
    """Decoding of callers' JSON to submissions."""

    def decode(self, **body):
        content = json.dumps(body).encode()
        return decode.request("pedidos", content, make_context())

    def decode_job(self, **body):
        content = json.dumps(body).encode()
        return decode.job("pedidos", content, make_context())

    def test_request(self):
        submission = self.decode(
            id=f"{OWNER}~a", attempt=2, payload={"x": [1]}, deadline_ms=50
        )
        self.assertEqual("a", submission.submission_id.local_id)
        self.assertEqual(
            (2, False, False),
            (submission.attempt, submission.idempotent, submission.is_job),
        )
        self.assertEqual({"x": [1]}, json.loads(submission.tasks[0].payload))
        remaining = submission.deadline - make_context().now
        self.assertEqual(50.0, clock.to_milliseconds(remaining))

    def test_generated_identifier(self):
        self.assertEqual("generated", self.decode().submission_id.local_id)

    def test_digest_depends_on_payload_but_not_on_attempt_or_deadline(self):
        first = self.decode(payload=1, attempt=1, deadline_ms=5)
        second = self.decode(payload=1, attempt=2, deadline_ms=9)
        other = self.decode(payload=2)
        self.assertEqual(first.digest, second.digest)
        self.assertNotEqual(first.digest, other.digest)

    def test_job(self):
        task = {"payload": 1, "run_time_ms": 50, "processors": 2, "memory_mb": 10}
        submission = self.decode_job(kind="cierre", tasks=[task] * 340)
        self.assertEqual(
            (340, True, "cierre"),
            (len(submission.tasks), submission.is_job, submission.kind),
        )
        self.assertEqual(2.0, submission.tasks[0].resources.processors)

    def assert_rejected(self, word, call, *args, **body):
        exc = self.assertRaises(errors.BadInputError, call, *args, **body)
        self.assertIn(word, str(exc))

    def test_errors_name_field_value_and_accepted_values(self):
        self.assert_rejected("deadline_ms is 0", self.decode, deadline_ms=0)
        self.assert_rejected('"soon"', self.decode, deadline_ms="soon")
        self.assert_rejected("'dedline_ms'", self.decode, dedline_ms=1)
        self.assert_rejected("at most 100 bytes", self.decode, payload="x" * 200)
        self.assert_rejected("a token from", self.decode, id="x~y")
        self.assert_rejected("1 to 340 tasks", self.decode_job, tasks=[])
        self.assert_rejected("1 to 340 tasks", self.decode_job, tasks=[{}] * 341)
        self.assert_rejected("tasks[0]", self.decode_job, tasks=[3])
        self.assert_rejected("processors", self.decode_job, tasks=[{"processors": -1}])
        self.assert_rejected("kind", self.decode_job, kind="No!", tasks=[{}])

    def test_unknown_service(self):
        self.assertRaises(
            settings_errors.NoSuchPathError,
            decode.request,
            "otro",
            b"{}",
            make_context(),
        )

    @FUZZ
    @hypothesis.given(hypothesis.strategies.binary(max_size=300))
    def test_arbitrary_body_is_decoded_or_rejected(self, body):
        for call in (decode.request, decode.job):
            try:
                call("pedidos", body, make_context())
            except errors.BadInputError:
                continue

    @FUZZ
    @hypothesis.given(
        hypothesis.strategies.dictionaries(
            hypothesis.strategies.sampled_from(
                ["id", "attempt", "payload", "deadline_ms", "idempotent", "tasks"]
            ),
            hypothesis.strategies.one_of(
                hypothesis.strategies.integers(),
                hypothesis.strategies.floats(),
                hypothesis.strategies.text(max_size=5),
                hypothesis.strategies.lists(hypothesis.strategies.integers()),
            ),
        )
    )
    def test_arbitrary_fields_are_decoded_or_rejected(self, body):
        content = json.dumps(body).encode()
        for call in (
            decode.request,
            decode.job,
        ):
            try:
                call("pedidos", content, make_context())
            except errors.BadInputError:
                continue

    def test_cancellation(self):
        name = f"{OWNER}~a"
        body = json.dumps({"ids": [name, name]}).encode()
        self.assertEqual((name, name), decode.cancellation(body))
        self.assert_rejected("1 to 10000", decode.cancellation, b'{"ids": []}')


class TestEncode(testtools.TestCase):
    """Encoding of outcomes as HTTP responses."""

    def answer(self, outcome, is_job=False):
        response = encode.submission_response(
            "a~b", submission_status.finished(outcome), is_job
        )
        return response.status, json.loads(response.body)

    def test_status_code_of_each_outcome(self):
        for outcome, status in (
            (outcomes.Completed((b"1",)), 200),
            (outcomes.Failed(outcomes.Reason.TARGET_FAILED), 502),
            (outcomes.NotRun(outcomes.Reason.QUEUE_FULL), 503),
            (outcomes.NotRun(outcomes.Reason.INFEASIBLE), 422),
            (outcomes.Unknown(outcomes.Reason.DEADLINE), 504),
        ):
            found, body = self.answer(outcome)
            self.assertEqual((status, outcome.tag), (found, body["outcome"]))
            self.assertIn(body["resubmit"], list(outcomes.Resubmit))

    def test_answers_of_request_and_job(self):
        self.assertEqual(1, self.answer(outcomes.Completed((b"1",)))[1]["answer"])
        many = outcomes.Completed((b"1", b'"x"'))
        self.assertEqual([1, "x"], self.answer(many, is_job=True)[1]["answers"])

    def test_states_without_an_outcome(self):
        for state, status in (
            (submission_status.State.IN_PROGRESS, 202),
            (submission_status.State.CONFLICT, 409),
            (submission_status.State.NOT_RECEIVED, 404),
        ):
            response = encode.submission_response(
                "a~b", submission_status.SubmissionStatus(state), False
            )
            self.assertEqual(status, response.status)


class TestRoutes(testtools.TestCase):
    """The registry of routes."""

    def test_match_unknown_path_and_wrong_method(self):
        self.assertTrue(server.ROUTE_MODULES)
        found = routes.find("POST", "/v1/services/pedidos/requests")
        self.assertEqual({"service": "pedidos"}, found.path_params)
        self.assertEqual(404, routes.find("GET", "/v2"))
        self.assertEqual(405, routes.find("GET", "/v1/cancellations"))

    def test_integer_query_parameter(self):
        req = routes.HttpRequest("GET", "/", {}, {"wait_ms": "9"}, b"", "")
        self.assertEqual(9, routes.integer(req, "wait_ms", 1, 10))
        self.assertEqual(1, routes.integer(req, "other", 1, 10))
        bad = req._replace(query={"wait_ms": "-1"})
        self.assertRaises(errors.BadInputError, routes.integer, bad, "wait_ms", 1, 10)


class TestInbox(testtools.TestCase):
    """Messages from threads to a task, and replies to threads."""

    def test_messages_of_several_threads_all_arrive(self):
        async def main():
            box = inbox.Inbox(asyncio.get_running_loop(), 1_000)
            threads = [
                threading.Thread(target=lambda: [box.put(1) for _ in range(200)])
                for _ in range(4)
            ]
            for thread in threads:
                thread.start()
            received = 0
            while received < 800:
                received += len(await box.drain())
            return received

        self.assertEqual(800, asyncio.run(main()))

    def test_full_inbox_rejects_try_put_but_accepts_put(self):
        async def main():
            box = inbox.Inbox(asyncio.get_running_loop(), 1)
            accepted = [box.try_put(1), box.try_put(2)]
            box.put(3)
            return accepted, await box.drain()

        self.assertEqual(([True, False], [1, 3]), asyncio.run(main()))

    def test_second_value_of_a_reply_has_no_effect(self):
        reply = replies.Reply()
        self.assertIsNone(reply.wait(0))
        reply.set_value(1)
        reply.set_value(2)
        self.assertEqual(1, reply.wait(1))


class TestFailedRequests(testtools.TestCase):
    """Requests to the dispatch task whose handler raises an exception."""

    # The gossip waited forever for a description that had failed.
    def test_reply_of_a_failed_request_is_settled(self):
        async def main():
            source = clock.ManualClock()
            register = ownership.OwnershipRegister(
                "dc-0", "e1", "1", source.now(), datetime.timedelta(seconds=60)
            )
            folder = testing.make_folder(self)
            tracer = traces.Tracer("e1", str(folder / "spans"), 0.0)
            task = dispatch_task.DispatchTask(
                asyncio.get_running_loop(), register, source, tracer, 1, 1
            )
            register.tables = None
            running = asyncio.create_task(task.run())
            reply = replies.Reply()
            task.inbox.put(dispatch_task.Describe(reply))
            await asyncio.sleep(0.05)
            running.cancel()
            return reply.fut.done()

        self.assertTrue(asyncio.run(main()))

    def test_thread_that_waits_for_a_failed_request_goes_on(self):
        reply = replies.Reply()
        reply.fail("Describe", KeyError("odd"))
        self.assertIsNone(reply.wait(60.0))
        exc = reply.fut.exception()
        self.assertEqual(("Describe", "KeyError"), (exc.request, exc.cause))


class TestTraces(testtools.TestCase):
    """Export of spans to a file, and W3C trace context."""

    def test_span_is_a_child_of_the_callers_span(self):
        folder = testing.make_folder(self)
        tracer = traces.Tracer("e1", str(folder / "spans"), 1.0)
        parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
        with tracer.span("hop", parent) as span:
            span.set("tasks", 3)
            self.assertIn("0af7651916cd43dd8448eb211c80319c", span.traceparent)
        line = json.loads((folder / "spans").read_text())
        self.assertEqual("0xb7ad6b7169203331", line["parent_id"])
        self.assertEqual(3, line["attributes"]["tasks"])

    def test_without_a_file_the_context_is_passed_on(self):
        tracer = traces.Tracer("e1", "", 1.0)
        with tracer.span("hop", "00-x") as span:
            self.assertEqual("00-x", span.traceparent)


class TestEffective(testtools.TestCase):
    """Settings of one daemon, derived from the tree."""

    def test_targets_allocations_and_limits(self):
        cfg = tree.check_tree(
            {
                "settings": {"long_share": 0.5},
                "teams": {
                    "ventas": {
                        "settings": {"max_running": 10},
                        "services": {
                            "pedidos": {
                                "settings": {"short_ms": 100},
                                "jobs": {"cierre": {"settings": {"weight": 3}}},
                            }
                        },
                    }
                },
                "places": {
                    "rosario": {
                        "entries": {"e1": {}, "e2": {}, "e3": {}},
                        "racks": {
                            "r1": {
                                "settings": {"slots": 4},
                                "targets": {
                                    "a": {"kind": "runner", "url": "http://h:1"},
                                    "b": {"kind": "worker", "url": "http://h:2"},
                                },
                            }
                        },
                    }
                },
            }
        )
        found = effective_settings.derive(cfg, "e1", "rosario")
        self.assertEqual([4.0, 32.0], [x.capacity.processors for x in found.specs])
        self.assertEqual({"ventas": 4}, found.allocations)
        self.assertEqual(0.5, found.dispatch_settings.long_share)
        service_settings = found.service("pedidos", "cierre").service_settings
        self.assertEqual(
            ("ventas", 3, 100.0),
            (service_settings.team, service_settings.weight, service_settings.short_ms),
        )
        self.assertEqual((), effective_settings.derive(cfg, "e1", "cordoba").specs)
