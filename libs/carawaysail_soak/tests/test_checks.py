"""Checks pass on histories that keep their promise and fail on those that break it."""

import msgspec
import testtools

from carawaysail_fleet import member_records
from carawaysail_platform_standins import events
from carawaysail_soak import checks, history
from carawaysail_types import daemons, errors

JOB = "00000000000000aa"
TASK = f"{JOB}.0.0.0"
HOLDER = member_records.HOLDERS_PREFIX
BOUNDS = checks.Bounds()


def sent(at=10.0, request_id="r1", tasks=1, **options):
    fields = {"job_id": JOB, "vm": "a-1", "queue": "/a/", "deadline_s": 4.0, **options}
    return history.RequestSent(at, request_id, task_count=tasks, **fields)


def answered(at=10.5, state="completed", status=200, request_id="r1"):
    return history.RequestAnswered(at, request_id, status, state)


def started(at=10.1, number=1, worker="i-1", task=TASK, cpu=8_000):
    return events.RunStarted(at, worker, 7, task, number, cpu, 64)


def ended(at=10.2, number=1, worker="i-1", task=TASK, result="done", sequence=1):
    return events.RunEnded(at, worker, 7, task, number, result, sequence)


def acknowledged(at=10.3, worker="i-1", sequence=1):
    return events.EndAcknowledged(at, worker, 7, sequence)


def listed(at=10.21, worker="i-1", sequence=1):
    return events.EndListed(at, worker, 7, sequence)


def order(at, token, result="ok", sender="127.0.0.2", worker="i-1", delay_s=0.0):
    return events.OrderReceived(
        at, worker, 7, "start", TASK, 1, token, result, sender, delay_s
    )


def claimed(at, vm):
    daemon = daemons.Daemon(vm, "a", f"{vm}-1", "h:1")
    value = msgspec.json.encode(daemon).decode()
    return events.KeyWritten(at, f"{HOLDER}a", int(at), value)


def worker(at=0.0, name="i-1"):
    return events.WorkerStarted(at, name, 7, 16_000, 1_024)


def crashed(at, name="i-1"):
    return events.WorkerCrashed(at, name, 7)


def fault(begin, end, layer="links", vms=()):
    begun = history.FaultBegun(begin, "cut", "x", layer, vms)
    return [begun, history.FaultEnded(end, "cut", "x")]


def process(at=0.0, vm="a-1", pid=5, address=""):
    return history.ProcessStarted(at, vm, pid, address)


def signalled(at, name, vm="a-1", pid=5):
    return history.Signalled(at, vm, pid, name)


def config(at, version, *prefixes):
    return history.ConfigWritten(at, version, prefixes)


def pending(at, status, queue="/a/", vm="a-1"):
    return history.JobsPending(at + 0.01, at, vm, queue, status)


def run_of(at, end, number=1, worker="i-1", task=TASK, sequence=1):
    run = {"number": number, "worker": worker, "task": task}
    return [started(at, **run), ended(end, **run, sequence=sequence)]


WHOLE = [worker(), sent(), started(), ended(), listed(), acknowledged(), answered()]
END_OF_HISTORY = history.TrafficEnded(100.0)


class CheckCase(testtools.TestCase):
    """Shared assertions."""

    def judge(self, recorded):
        flat = []
        for event in recorded:
            flat.extend(event if isinstance(event, list) else [event])
        return checks.judge(history.History(flat), BOUNDS)

    def assert_kept(self, rule, *recorded):
        found = [x for x in self.judge(recorded) if x.rule == rule]
        self.assertEqual([], found)

    def assert_broken(self, rule, at, *recorded):
        found = [x for x in self.judge(recorded) if x.rule == rule]
        self.assertEqual(1, len(found), found)
        self.assertAlmostEqual(at, found[0].at)


class TestRegistry(CheckCase):
    """All checks together."""

    def test_whole_history_keeps_every_promise(self):
        self.assertEqual([], self.judge(WHOLE))
        self.assertEqual([], self.judge([]))
        self.assertEqual(22, len(checks.names()))

    def test_some_checks_are_chosen(self):
        rules = ("refused_never_starts",)
        cut = history.History([sent(), answered()])
        self.assertEqual([], checks.judge(cut, BOUNDS, rules))
        self.assertEqual(1, len(checks.judge(cut, BOUNDS)))
        self.assertRaises(errors.UnknownNameError, checks.judge, cut, BOUNDS, ("no",))


class TestAnswers(CheckCase):
    """An answer belongs to its request."""

    def test_answer_belongs_to_request(self):
        rule = "answer_belongs_to_request"
        self.assert_kept(rule, *WHOLE)
        self.assert_broken(rule, 9.0, answered(9.0, request_id="r2"))
        self.assert_broken(rule, 10.5, sent(), answered(10.4), answered(10.5))
        left = history.ClientLeft(10.2, "r1")
        self.assert_broken(rule, 10.5, sent(), left, answered())
        self.assert_broken(rule, 10.5, sent(11.0), answered())


class TestCompleted(CheckCase):
    """What ``completed`` says, MIXED."""

    mild = "completed_means_every_task_ended_done"
    strict = "completed_means_every_end_stands"

    def test_every_task_ended_done(self):
        self.assert_kept(self.mild, *WHOLE)
        self.assert_broken(self.mild, 10.5, sent(tasks=2), *WHOLE[2:])
        failed = ended(result="failed")
        self.assert_broken(self.mild, 10.5, sent(), started(), failed, answered())
        late = ended(10.6)
        self.assert_broken(self.mild, 10.5, sent(), started(), late, answered())
        other = run_of(10.3, 10.4, number=2, worker="i-2")
        self.assert_kept(self.mild, sent(), started(), failed, other, answered())

    def test_end_that_stands(self):
        base = [sent(), started(), ended(), answered()]
        self.assert_kept(self.strict, *base)
        self.assert_kept(self.strict, *base, acknowledged(10.6), crashed(10.7))
        self.assert_broken(self.strict, 10.5, *base, crashed(10.7))
        self.assert_broken(self.strict, 10.5, *base, crashed(10.4))
        lapse = events.LeaseExpired(10.55, "i-1", 7)
        self.assert_broken(self.strict, 10.5, *base, lapse, acknowledged(10.6))
        self.assert_kept(self.strict, *base, acknowledged(), lapse)
        (found,) = self.judge([*base, lapse, acknowledged(10.6)])
        self.assertIn("lapse that killed 0 runs at 10.55", found.detail)

    def test_end_of_another_run_suffices(self):
        base = [sent(), started(), ended(), crashed(10.25), answered()]
        other = run_of(10.3, 10.4, number=2, worker="i-2")
        self.assert_broken(self.strict, 10.5, *base)
        self.assert_kept(self.strict, *base, other, acknowledged(10.45, "i-2"))

    def test_failed_means_a_task_failed(self):
        rule = "failed_means_a_task_failed"
        failures = [
            started(10.1),
            ended(10.2, result="failed"),
            started(10.3, number=2),
            ended(10.4, number=2, result="failed", sequence=2),
        ]
        self.assert_kept(rule, sent(), *failures, answered(state="failed"))
        self.assert_broken(rule, 10.5, sent(), *failures[:3], answered(state="failed"))


class TestRefused(CheckCase):
    """REFUSED."""

    rule = "refused_never_starts"

    def test_task_of_a_refused_job_starts(self):
        refused = answered(10.05, "", 503)
        self.assert_kept(self.rule, sent(), refused)
        self.assert_broken(self.rule, 10.1, sent(), refused, started())

    def test_other_send_of_the_job_has_no_answer(self):
        again = sent(10.2, "r2")
        broken = history.RequestBroken(10.3, "r2", "reset")
        refused = answered(10.05, "", 503)
        self.assert_kept(self.rule, sent(), refused, again, broken, started(10.25))


class TestShutdown(CheckCase):
    """LOST around a SIGTERM."""

    rule = "shutdown_cuts_nothing"

    def broken(self, at=11.0, cause="closed"):
        return history.RequestBroken(at, "r1", cause)

    def test_request_is_cut(self):
        term = signalled(10.2, "SIGTERM")
        self.assert_broken(self.rule, 11.0, sent(), term, self.broken())
        self.assert_broken(
            self.rule, 10.15, signalled(10.05, "SIGTERM"), sent(), started(),
            self.broken(10.15),
        )  # fmt: skip
        self.assert_kept(self.rule, sent(), term, answered())

    def test_cuts_that_the_rule_allows(self):
        term = signalled(10.2, "SIGTERM")
        other = signalled(10.2, "SIGTERM", vm="b-1")
        self.assert_kept(self.rule, sent(), other, self.broken())
        self.assert_kept(self.rule, sent(), term, self.broken(cause="refused"))
        self.assert_kept(self.rule, sent(is_whole=False), term, self.broken())
        self.assert_kept(self.rule, sent(10.9), term, self.broken())
        self.assert_kept(self.rule, sent(deadline_s=0.5), term, self.broken())
        self.assert_kept(self.rule, sent(), term, self.broken(), fault(8.0, 9.0))
        self.assert_broken(
            self.rule, 11.0, sent(), term, self.broken(), fault(5.0, 6.0)
        )
        long = sent(deadline_s=9.0)
        self.assert_kept(self.rule, long, term, self.broken(16.0))

    def test_kill_after_the_grace_is_planned(self):
        late = sent(13.5, deadline_s=9.0)
        kill = signalled(16.2, "SIGKILL")
        self.assert_broken(
            self.rule, 16.3, signalled(10.2, "SIGTERM"), late, kill, self.broken(16.3)
        )


class TestTwice(CheckCase):
    """TWICE."""

    def test_two_runs_at_once(self):
        rule = "one_run_of_a_task_at_once"
        second = run_of(10.15, 10.4, number=2, worker="i-2")
        self.assert_broken(rule, 10.15, sent(), started(), ended(), second)
        self.assert_kept(rule, sent(), started(), crashed(10.12), second)
        after = run_of(10.2, 10.4, number=2, worker="i-2")
        self.assert_kept(rule, sent(), started(), ended(), after)

    def test_start_after_the_end(self):
        rule = "no_start_after_the_end"
        base = [sent(), started(), ended(), acknowledged()]
        again = started(11.4, number=2, worker="i-2")
        self.assert_broken(rule, 11.4, *base, again)
        self.assert_broken(rule, 11.6, *base[:3], answered(), started(11.6, number=2))
        self.assert_kept(rule, *base, started(11.2, number=2))
        self.assert_kept(rule, *base, sent(11.0, "r2"), again)
        self.assert_kept(rule, *base, again, fault(9.0, 11.0))
        late = events.OrderReceived(11.4, "i-2", 7, "start", TASK, 2, 1, "ok", "x", 3.0)
        self.assert_kept(rule, *base, late, again)


class TestCapacity(CheckCase):
    """LIMIT."""

    rule = "within_capacity"

    def test_start_over_capacity(self):
        runs = [started(10.0 + n / 10, task=f"{JOB}.0.0.{n}") for n in range(3)]
        self.assert_kept(self.rule, worker(), *runs[:2])
        self.assert_broken(self.rule, 10.2, worker(), *runs)
        self.assert_kept(self.rule, worker(), *runs, ended(10.15))
        self.assert_broken(self.rule, 10.2, worker(), *runs, ended(10.25))

    def test_demand_is_that_of_the_request(self):
        runs = [started(10.1, task=f"{JOB}.0.0.{n}", cpu=0) for n in range(2)]
        runs = [x._replace(mem_mb=0) for x in runs]
        small, large = sent(cpu=8_000), sent(cpu=9_000)
        self.assert_kept(self.rule, worker(), small, *runs)
        self.assert_broken(self.rule, 10.1, worker(), large, *runs)


class TestTokens(CheckCase):
    """ONE."""

    def test_one_holder_for_each_token(self):
        rule = "one_holder_for_each_token"
        self.assert_kept(rule, order(1, 5), order(2, 6, sender="127.0.0.3"))
        self.assert_broken(rule, 2, order(1, 5), order(2, 5, sender="127.0.0.3"))
        self.assert_broken(rule, 2, order(1, 6), order(2, 5))
        self.assert_kept(rule, order(1, 6), order(2, 5, "fence"))

    def test_holders_take_no_turns(self):
        rule = "holders_take_no_turns"
        first, second, third = (
            claimed(10, "a-1"),
            claimed(11, "a-2"),
            claimed(12, "a-1"),
        )
        self.assert_kept(rule, first, second)
        self.assert_kept(rule, first, claimed(11, "a-1"), claimed(12, "a-1"))
        self.assert_broken(rule, 12, first, second, third)
        self.assert_broken(rule, 12, first, second, claimed(11.5, "a-2"), third)
        self.assert_kept(rule, first, second, claimed(13, "a-1"))
        self.assert_kept(rule, first, second._replace(key=f"{HOLDER}b"), third)
        self.assert_kept(rule, first, second, third, *fault(9.5, 9.8, "store"))

    def test_fenced_holder_stops(self):
        rule = "fenced_holder_stops"
        refused = order(1, 5, "fence")
        late = [order(4.5 + n, 5, "fence") for n in range(4)]
        self.assert_kept(rule, refused, *late[:3])
        self.assert_broken(rule, 7.5, refused, *late)
        self.assert_kept(rule, refused, *(x._replace(delay_s=3.0) for x in late))
        self.assert_kept(rule, refused, *(x._replace(token=6) for x in late))


class TestUnasked(CheckCase):
    """UNASKED."""

    def test_started_only_for_a_client(self):
        rule = "started_only_for_a_client"
        self.assert_kept(rule, *WHOLE)
        self.assert_broken(rule, 10.1, started())
        self.assert_broken(rule, 9.9, sent(), started(9.9))
        self.assert_broken(rule, 10.1, sent(), started(task=f"{JOB}.0.0.1"))

    def test_abandoned_work_is_stopped(self):
        rule = "abandoned_work_is_stopped"
        left = history.ClientLeft(11.0, "r1")
        limit = 14.0 + 3.05
        base = [sent(), left, started(), END_OF_HISTORY]
        self.assert_kept(rule, *base, ended(limit - 0.01))
        self.assert_broken(rule, limit, *base, ended(limit + 0.01))
        self.assert_broken(rule, limit, *base)
        self.assert_kept(rule, *base, fault(12.0, 13.0, "workers"))
        self.assert_kept(rule, *base, sent(16.0, "r2"), ended(limit + 0.01))
        failed = answered(10.5, "failed")
        self.assert_broken(rule, 10.5 + 3.05, sent(), started(), failed, END_OF_HISTORY)

    def test_nothing_starts_for_nobody(self):
        rule = "nothing_starts_for_nobody"
        self.assert_kept(rule, sent(), started(16.9))
        self.assert_broken(rule, 17.1, sent(), started(17.1))
        self.assert_kept(rule, sent(), started(17.1), fault(15.0, 16.0, "store"))
        vms = [process(address="127.0.0.2"), process(address="127.0.0.3", vm="b-1")]
        other = fault(15.0, 16.0, "processes", ("b-1",))
        start = [order(17.1, 5), started(17.1)]
        self.assert_broken(rule, 17.1, vms, sent(), start, other)


class TestDraining(CheckCase):
    """DRAIN."""

    rule = "draining_worker_gets_no_start"

    def test_start_on_a_draining_worker(self):
        draining = events.WorkerDraining(8.0, "i-1", 7)
        self.assert_kept(self.rule, draining, sent(), started(9.9))
        self.assert_broken(self.rule, 10.1, draining, sent(), started(10.1))
        self.assert_kept(self.rule, draining, sent(), started(10.1, worker="i-2"))
        self.assert_kept(self.rule, draining, started(), fault(8.0, 9.0, "store"))


class TestAcknowledgements(CheckCase):
    """Ends are taken note of."""

    rule = "ends_are_acknowledged"

    def ends(self, count, missed):
        for n in range(count):
            yield from run_of(10.0, 10.1, task=f"{JOB}.0.0.{n}", sequence=n + 1)
            yield listed(10.2, sequence=n + 1)
            if n >= missed:
                yield acknowledged(10.3, sequence=n + 1)

    def test_more_than_a_fifth_is_not_acknowledged(self):
        self.assert_kept(self.rule, *self.ends(40, 8), END_OF_HISTORY)
        self.assert_broken(self.rule, 14.2, *self.ends(40, 9), END_OF_HISTORY)
        self.assert_kept(self.rule, *self.ends(40, 9), END_OF_HISTORY, crashed(12.0))


class TestConfig(CheckCase):
    """CONFIG."""

    def test_config_is_in_force_in_time(self):
        rule = "config_in_force_in_time"
        configs = [config(1.0, 1, "/a/"), config(10.0, 5, "/a/", "/b/")]
        self.assert_kept(rule, configs, pending(11.9, 404, "/b/"))
        self.assert_broken(rule, 12.11, configs, pending(12.1, 404, "/b/"))
        self.assert_kept(rule, configs, pending(12.1, 200, "/b/"))
        self.assert_kept(rule, configs, pending(12.1, 404, "/b/"), fault(9.0, 10.0))
        other_vm = fault(9.0, 10.0, "links", ("b-1",))
        self.assert_broken(rule, 12.11, configs, pending(12.1, 404, "/b/"), other_vm)
        dropped = [*configs, config(20.0, 9, "/a/")]
        self.assert_broken(rule, 22.11, dropped, pending(22.1, 200, "/b/"))
        self.assert_kept(rule, dropped, pending(21.9, 200, "/b/"))
        request = [sent(12.1, queue="/b/"), answered(12.2, "", 404)]
        self.assert_broken(rule, 12.2, configs, request)

    def test_config_never_goes_back(self):
        rule = "config_never_goes_back"
        base = [process(), config(1.0, 1, "/a/"), config(10.0, 5, "/a/", "/b/")]
        new = pending(10.2, 200, "/b/")
        self.assert_broken(rule, 10.51, base, new, pending(10.5, 404, "/b/"))
        self.assert_kept(rule, base, new, pending(10.4, 404, "/b/"))
        self.assert_kept(rule, base, new, pending(10.5, 404, "/b/", vm="b-1"))
        restart = process(10.3, pid=6)
        self.assert_kept(rule, base, new, restart, pending(12.5, 404, "/b/"))
        newer = config(10.3, 6, "/a/")
        self.assert_kept(rule, base, new, newer, pending(10.5, 404, "/b/"))


class TestProcesses(CheckCase):
    """Processes end only on order."""

    rule = "processes_end_only_on_order"

    def end(self, at, code):
        return history.ProcessEnded(at, "a-1", 5, code)

    def test_process_ends_by_itself(self):
        ready = [process(), history.ProcessReady(1.0, "a-1", 5)]
        term, kill = signalled(2.0, "SIGTERM"), signalled(2.0, "SIGKILL")
        self.assert_broken(self.rule, 3.0, ready, self.end(3.0, 0))
        self.assert_broken(
            self.rule, 3.0, ready, signalled(2, "SIGHUP"), self.end(3, -1)
        )
        self.assert_kept(self.rule, ready, term, self.end(3.0, 0))
        self.assert_kept(self.rule, ready, kill, self.end(3.0, -9))
        for code in (1, -15, -11):
            self.assert_broken(self.rule, 3.0, ready, term, self.end(3.0, code))
        self.assert_kept(self.rule, process(), term, self.end(3.0, -15))
        self.assert_broken(self.rule, 3.0, process(), term, self.end(3.0, 1))

    def test_signal_to_an_earlier_process_of_the_same_id(self):
        first = [process(), signalled(1.0, "SIGKILL"), self.end(1.1, -9)]
        self.assert_broken(self.rule, 3.0, first, process(2.0), self.end(3.0, 1))


class TestRecovery(CheckCase):
    """RECOVER."""

    rule = "recovers_after_the_last_fault"

    def requests(self, begin, count, completed):
        for n in range(count):
            name = f"{begin}-{n}"
            yield sent(begin + n / 10, name, job_id=name)
            state = ("completed", 200) if n < completed else ("", 503)
            yield answered(begin + n / 10 + 0.05, *state, request_id=name)

    def test_less_than_a_quarter_is_served(self):
        before = [*self.requests(1.0, 8, 8), *fault(5.0, 9.0)]
        traffic_end = history.TrafficEnded(40.0)
        for completed in (0, 1):
            after = self.requests(22.0, 8, completed)
            self.assert_broken(self.rule, 21.0, *before, *after, traffic_end)
        self.assert_kept(self.rule, *before, *self.requests(22.0, 8, 2), traffic_end)
        early = self.requests(20.0, 8, 0)
        self.assert_kept(self.rule, *before, *early, traffic_end)

    def test_little_was_served_before(self):
        before = [*self.requests(1.0, 8, 1), *fault(5.0, 9.0)]
        self.assert_kept(self.rule, *before, *self.requests(22.0, 8, 0))

    def test_signals_after_the_traffic_are_no_faults(self):
        before = [*self.requests(1.0, 8, 8), *fault(5.0, 9.0)]
        after = [*self.requests(22.0, 8, 0), history.TrafficEnded(30.0)]
        end = signalled(31.0, "SIGTERM")
        self.assert_broken(self.rule, 21.0, *before, *after, end)
