"""Identifiers, registries, outcomes and clocks."""

import hypothesis
import hypothesis.strategies
import testtools

from carawaysail_types import clock, errors, identifiers, outcomes, registry

FUZZ = hypothesis.settings(
    max_examples=200, derandomize=True, deadline=None, database=None
)


class TestIdentifiers(testtools.TestCase):
    """Text forms of owners and submissions."""

    def test_round_trip(self):
        owner = identifiers.Owner("rosario", "e1", "0123456789abcdef", 7)
        sid = identifiers.SubmissionId(owner, "order:1")
        self.assertEqual(sid, identifiers.parse_submission(str(sid)))

    def test_error_names_the_value_and_the_accepted_form(self):
        exc = self.assertRaises(
            errors.BadInputError, identifiers.parse_submission, "order-1"
        )
        self.assertIn("'order-1'", str(exc))
        self.assertIn("<owner>~<own>", str(exc))

    @FUZZ
    @hypothesis.given(hypothesis.strategies.text())
    def test_any_text_parses_or_raises_a_typed_error(self, text):
        try:
            parsed = identifiers.parse_submission(text)
        except errors.BadInputError:
            return
        self.assertEqual(text, str(parsed))


class TestRegistry(testtools.TestCase):
    """Registration and lookup of items by name."""

    def test_error_for_an_unknown_name_lists_the_registered_names(self):
        shapes = registry.Registry("shapes")
        shapes.register("square")(1)
        exc = self.assertRaises(errors.UnknownNameError, shapes.get, "circle")
        self.assertEqual("shapes has no 'circle'; registered: square", str(exc))

    def test_duplicate_name_is_refused(self):
        shapes = registry.Registry("shapes")
        shapes.register("square")(1)
        add = shapes.register("square")
        self.assertRaises(errors.DuplicateNameError, add, 2)


class TestOutcomes(testtools.TestCase):
    """Flat records of outcomes, and advice on resubmission."""

    def test_flat_record_round_trip(self):
        for outcome in (
            outcomes.Completed((b"1", b"2")),
            outcomes.Failed(outcomes.Reason.TARGET_FAILED),
            outcomes.NotRun(outcomes.Reason.QUOTA, "why"),
            outcomes.Unknown(outcomes.Reason.DEADLINE),
        ):
            flat = outcomes.to_flat(outcome)
            self.assertEqual(outcome, outcomes.from_flat(flat))

    def test_unknown_tag_is_refused(self):
        flat = outcomes.FlatOutcome("perhaps", outcomes.Reason.NONE)
        self.assertRaises(errors.BadInputError, outcomes.from_flat, flat)

    def test_resubmission_after_loss_of_the_owner_is_unsafe(self):
        lost = outcomes.Unknown(outcomes.Reason.OWNER_LOST)
        self.assertEqual(outcomes.Resubmit.UNSAFE, lost.resubmit)
        late = outcomes.Unknown(outcomes.Reason.DEADLINE)
        self.assertEqual(outcomes.Resubmit.SAME_ID, late.resubmit)


class TestClocks(testtools.TestCase):
    """The system clock and the manual clock."""

    def test_system_clock_is_timezone_aware_and_monotonic(self):
        source = clock.SystemClock()
        first = source.now()
        self.assertIsNotNone(first.tzinfo)
        self.assertGreaterEqual(source.now(), first)

    def test_manual_clock_moves_by_advance(self):
        source = clock.ManualClock()
        before = source.now()
        source.advance(clock.milliseconds(5))
        self.assertEqual(5.0, clock.to_milliseconds(source.now() - before))
