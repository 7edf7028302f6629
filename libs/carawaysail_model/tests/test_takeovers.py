"""Random sequences of faults around takeovers, and what each guard prevents."""

import testtools

from carawaysail_fleet import decision_loop
from carawaysail_holding import former_workers, held_worker
from carawaysail_model import takeovers

SEEDS = (
    *range(1, 31), 103, 220, 236, 241, 262, 445, 518, 627, 669, 677, 681, 753, 836, 843,
    1031, 1057, 1587, 1864, 1884, 2106, 2250, 2318,
)  # fmt: skip
"""Seeds with all faults; 11 and those from 103 on broke the decisions before."""

UNSEEN_SEEDS = (
    20032, 20049, 20134, 20194, 20195, 20238, 20375, 20423, 20449, 20476,
)  # fmt: skip
"""Seeds with ``UNSEEN`` faults alone that broke the decisions before."""

UNSEEN = ("takeover_unseen", "handover_unseen", "handover_unseen")


OWN_WITHDRAWAL_SEEDS = (3450, 4337)
"""Seeds with all faults in which a daemon withdraws a shard from its own broker."""


class SequenceCase(testtools.TestCase):
    """Assertions on sequences of faults."""

    def violated(self, seeds, names=()):
        """Return the invariants that the sequences of seeds violate, by seed."""
        return {
            x.seed: sorted({y.invariant for y in x.violations})
            for x in takeovers.search(seeds, names)
            if x.violations
        }

    def assert_violated(self, invariant, *seeds):
        """Check that the sequences of some of the seeds violate an invariant."""
        violated = self.violated(seeds)
        self.assertIn(invariant, {x for found in violated.values() for x in found})


class TestTakeoverOrders(SequenceCase):
    """No task runs twice, and none for a client that has left, around takeovers."""

    # Two runs of a task at once after a takeover (issue 41).
    def test_all_faults(self):
        self.assertEqual({}, self.violated(SEEDS))

    # A lease counted as over that an earlier holder had extended after the takeover.
    def test_takeovers_that_the_earlier_holder_does_not_see(self):
        self.assertEqual({}, self.violated(UNSEEN_SEEDS, UNSEEN))

    # After a pause a task was started before the withdrawal that the own gateway had
    # sent to the own broker was handled.
    def test_withdrawals_of_the_own_gateway_after_a_pause(self):
        self.assertEqual({}, self.violated(OWN_WITHDRAWAL_SEEDS))


class TestTakeoverGuards(SequenceCase):
    """Sequences find the violation that each guard prevents, once it is taken away."""

    def test_holder_that_does_not_expect_the_workers_of_earlier_ones(self):
        def may_have_others(self, data_centre):
            return False

        self.patch(former_workers.FormerWorkers, "may_have_others", may_have_others)
        self.assert_violated("one run at a time", 236, 262, 677, 681)

    def test_lease_that_counts_from_the_takeover(self):
        real = held_worker.HeldWorker.handle_status

        def handle_status(self, status, requested_at, now):
            counts_from = self.lease_counts_from
            changes = real(self, status, requested_at, now)
            self.lease_counts_from = counts_from
            return changes

        self.patch(held_worker.HeldWorker, "handle_status", handle_status)
        self.assert_violated("lost runs are over", 103, 627, 669, 1587)

    def test_start_under_a_lease_that_was_granted_for_longer(self):
        def leased_until(self, terms):
            return held_worker.NEVER

        self.patch(held_worker.HeldWorker, "leased_until", leased_until)
        self.assert_violated("runs end before resends", 1057, 2626)

    def test_gateway_whose_word_counts_from_its_sending(self):
        self.patch(decision_loop.DecisionLoop, "known_age_ms", lambda self: 0.0)
        self.assert_violated("runs end before resends", 241, 2545, 2702)


class TestSequences(SequenceCase):
    """Properties of the sequences themselves."""

    def test_same_seed_same_history(self):
        findings = [takeovers.find(3) for _ in range(2)]
        self.assertEqual(findings[0], findings[1])

    def test_description_shows_what_happened_to_the_job_of_a_violation(self):
        self.patch(decision_loop.DecisionLoop, "known_age_ms", lambda self: 0.0)
        lines = takeovers.describe(takeovers.play(241, keeps_timelines=True))
        for text in ("fault gateway_", "VIOLATED", "attempt_ended", "started token="):
            self.assertTrue(any(text in line for line in lines), text)
