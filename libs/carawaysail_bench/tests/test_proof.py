"""The proof itself: the checker catches broken variants; cells of the matrix hold."""

import types

import hypothesis
import hypothesis.stateful
import hypothesis.strategies
import testtools

from carawaysail_bench.proof import (
    fault_matrix,
    faults,
    history,
    rules,
    scenario,
    setups,
)
from carawaysail_decisions import dispatcher, events, forwarding, ownership, versions
from carawaysail_types import clock, outcomes


class ForgetfulRegister(ownership.OwnershipRegister):
    """Starts every copy again."""

    def bind(self, sid, digest, now):
        verdict = super().bind(sid, digest, now)
        is_known = isinstance(verdict, ownership.InProgress | ownership.Finished)
        return ownership.New() if is_known else verdict


class PartialDispatcher(dispatcher.Dispatcher):
    """Answers a job when half of it has run."""

    def handle(self, event, now):
        actions = super().handle(event, now)
        for item in list(self._submissions.values()):
            if item.outcome is None and 0 < item.answered_count < len(item.answers):
                whole = outcomes.Completed(tuple(item.answers[: item.answered_count]))
                actions += self._replace(item, whole)
        return actions


class CrossingDispatcher(dispatcher.Dispatcher):
    """Gives each answer to the task that ended before."""

    last = b'"nobody"'

    def handle(self, event, now):
        if isinstance(event, events.TaskEnded) and event.ok:
            event, self.last = event._replace(answer=self.last), event.answer
        return super().handle(event, now)


class RevertingVersions(versions.SettingsVersions):
    """Takes over whatever comes."""

    def accept(self, section, now):
        self._held[section.name] = versions.ActiveSection(section, now)
        self._digest = None
        return True


class DeafDispatcher(dispatcher.Dispatcher):
    """Sends work to leaving targets."""

    def handle(self, event, now):
        if isinstance(event, events.TargetsChanged):
            specs = tuple(spec._replace(leaving=False) for spec in event.specs)
            shares = {spec.target_id: 1.0 for spec in specs}
            event = events.TargetsChanged(specs, shares)
        return super().handle(event, now)


def false_not_run(attempt, was_sent, nobody_listens):
    """Answer ``not run`` though the owner may have it."""
    return forwarding.Finish(outcomes.NotRun(outcomes.Reason.OWNER_UNREACHABLE))


def start_anyway(attempt):
    """Start what a lost owner may have started."""
    return forwarding.BindHere()


def vary_relaying(**changes):
    """Return the steps of relaying with some replaced."""
    steps = {
        name: getattr(forwarding, name)
        for name in ("first_step", "step_after_failure", "step_after_wrong_owner")
    }
    return types.SimpleNamespace(**{**steps, **changes})


class TestChecker(testtools.TestCase):
    """Each broken variant of the decisions is caught by its rule."""

    def assert_caught(self, rule, cell, **parts):
        self.assertEqual("passed", fault_matrix.run(cell).state)
        verdict = fault_matrix.run(cell, setups.Parts(**parts))
        self.assertIn(rule, {found.rule for found in verdict.breaks})

    def test_double_start(self):
        cell = fault_matrix.Cell("answered", ("message_lost",), "request")
        self.assert_caught("starts_once", cell, register=ForgetfulRegister)

    def test_start_after_lost_owner(self):
        cell = fault_matrix.Cell("finished", ("restart_without_memory",), "request")
        steps = vary_relaying(step_after_wrong_owner=start_anyway)
        self.assert_caught("starts_once", cell, forwarding=steps)

    def test_partial_job(self):
        cell = fault_matrix.Cell("sent", ("target_slow",), "job")
        parts = {"dispatcher": PartialDispatcher}
        self.assert_caught("whole_and_own_answer", cell, **parts)

    def test_crossed_answer(self):
        cell = fault_matrix.Cell("sent", ("vm_list_out",), "request")
        parts = {"dispatcher": CrossingDispatcher}
        self.assert_caught("whole_and_own_answer", cell, **parts)

    def test_false_not_run(self):
        cell = fault_matrix.Cell("started", ("partition_inside",), "request")
        steps = vary_relaying(step_after_failure=false_not_run)
        self.assert_caught("not_run_is_true", cell, forwarding=steps)

    def test_reverted_setting(self):
        cell = fault_matrix.Cell("written", ("store_watch_lags",), "job")
        self.assert_caught("settings_never_revert", cell, versions=RevertingVersions)

    def test_work_for_leaving_target(self):
        play = scenario.Scenario(setups.Parts(dispatcher=DeafDispatcher))
        play.leave("rosario-runner-1")
        play.run(clock.milliseconds(6_000))
        for number in range(12):
            play.submit(f"late-{number}", "request", ("rosario-e1",))
        found = {x.rule for x in play.finish()}
        self.assertIn("leaving_gets_nothing_new", found)

    def test_hasty_end(self):
        cell = fault_matrix.Cell("sent", ("target_slow", "graceful_end"), "job")
        self.assert_caught("graceful_end_cuts_nothing", cell, waits_until_idle=False)

    def test_trace_is_minimal(self):
        cell = fault_matrix.Cell("answered", ("message_lost",), "request")
        verdict = fault_matrix.run(cell, setups.Parts(register=ForgetfulRegister))
        found = next(x for x in verdict.breaks if x.rule == "starts_once")
        names = {event.submission for event in found.trace}
        self.assertEqual(1, len(names))
        self.assertLess(len(found.trace), verdict.events)


class TestQuietRun(testtools.TestCase):
    """Without a fault all work completes, so that cells do not pass by idleness."""

    def test_all_completed(self):
        play = scenario.Scenario()
        fault_matrix._work(play, "job")
        self.assertEqual([], play.finish())
        for name in play.submissions:
            self.assertEqual("completed", play.outcomes_of(name)[0].tag)
        counts = rules.summary(play.earth.history)
        self.assertEqual(26, counts["Started"])


class TestMatrix(testtools.TestCase):
    """A spread of the cells; ``bin/matrix`` runs them all."""

    def test_every_fault_at_two_steps(self):
        names = faults.faults.names()
        for number, name in enumerate(names):
            for shift in (0, 7):
                step = fault_matrix.WORK_STEPS[
                    (number + shift) % len(fault_matrix.WORK_STEPS)
                ]
                kind = fault_matrix.KINDS[number % len(fault_matrix.KINDS)]
                verdict = fault_matrix.run(fault_matrix.Cell(step, (name,), kind))
                told = [found.text() for found in verdict.breaks]
                self.assertEqual([], told, verdict.cell.text())

    def test_settings_steps(self):
        for number, name in enumerate(faults.faults.names()):
            step = fault_matrix.SETTINGS_STEPS[
                number % len(fault_matrix.SETTINGS_STEPS)
            ]
            verdict = fault_matrix.run(fault_matrix.Cell(step, (name,), "job"))
            told = [found.text() for found in verdict.breaks]
            self.assertEqual([], told, verdict.cell.text())

    def test_some_pairs(self):
        for cell in fault_matrix.pair_cells()[::13]:
            verdict = fault_matrix.run(cell)
            told = [found.text() for found in verdict.breaks]
            self.assertEqual([], told, cell.text())


NODES = ("rosario-e1", "rosario-e2", "cordoba-e1", "cordoba-e2")


class Interleavings(hypothesis.stateful.RuleBasedStateMachine):
    """Work and faults in any order; the rules hold over every history."""

    def __init__(self):
        super().__init__()
        self.play = scenario.Scenario()
        self.count = 0

    @hypothesis.stateful.rule(
        kind=hypothesis.strategies.sampled_from(fault_matrix.KINDS),
        owner=hypothesis.strategies.sampled_from(NODES),
        via=hypothesis.strategies.permutations(NODES),
    )
    def submit(self, kind, owner, via):
        self.count += 1
        if self.play.fleet["nodes"][owner].is_alive:
            self.play.submit(f"s{self.count}", kind, tuple(via), owner)

    @hypothesis.stateful.rule(
        name=hypothesis.strategies.sampled_from(faults.faults.names()),
        node=hypothesis.strategies.sampled_from(NODES),
    )
    def strike(self, name, node):
        process = self.play.fleet["nodes"][node]
        if process.is_alive:
            faults.faults.get(name).strike(self.play, process)

    @hypothesis.stateful.rule(wait=hypothesis.strategies.sampled_from((1, 40, 900)))
    def advance(self, wait):
        self.play.run(clock.milliseconds(wait))

    @hypothesis.stateful.rule()
    def heal(self):
        self.play.heal()

    def teardown(self):
        found = [x.text() for x in self.play.finish()]
        assert not found, "\n".join(found)


Interleavings.TestCase.settings = hypothesis.settings(
    max_examples=25,
    stateful_step_count=15,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)


class TestInterleavings(Interleavings.TestCase):
    """Interleavings found and shrunk by hypothesis, with a fixed seed."""


class TestHistory(testtools.TestCase):
    """Histories and their summary."""

    def test_summary_counts_kinds(self):
        now = clock.ManualClock().now()
        events_seen = [history.Left(now, "a"), history.Left(now, "b")]
        self.assertEqual({"Left": 2}, rules.summary(events_seen))
