"""Identifiers, registries, outcomes and clocks."""

import time
import unittest.mock

import hypothesis
import hypothesis.strategies
import testtools

from carawaysail_types import (
    addresses,
    clock,
    errors,
    identifiers,
    outcomes,
    registry,
)

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


class TestBadInput(testtools.TestCase):
    """Text of the error for a value that is not accepted."""

    # The error's text raised another error, which nobody expected where it is logged.
    def test_value_that_has_no_text_is_described(self):
        nested = []
        for _ in range(100_000):
            nested = [nested]
        for value in (nested, 10**5000):
            exc = errors.BadInputError("state", value, "ready")
            expected = f"a {type(value).__name__} that cannot be shown"
            self.assertEqual(f"state is {expected}; accepted: ready", str(exc))


class TestAddresses(testtools.TestCase):
    """Host and port of an address."""

    def test_hosts_and_ports_are_split(self):
        for address, expected in (
            ("10.1.0.9:8080", ("10.1.0.9", 8080)),
            ("runner-1.a_b.example:1", ("runner-1.a_b.example", 1)),
            ("[::1]:65535", ("::1", 65_535)),
        ):
            self.assertEqual(expected, addresses.split(address))

    def test_error_shows_the_address_and_what_is_accepted(self):
        exc = self.assertRaises(
            errors.BadInputError, addresses.split, "h:70000", "listen.front"
        )
        self.assertIn("listen.front is 'h:70000'", str(exc))
        self.assertIn("a port from 1 to 65535", str(exc))

    def test_odd_addresses_are_refused(self):
        for address in (
            "", ":", "h", "h:", ":80", "h:0", "h:65536", "h:-1", "h:+1", "h: 1",
            "h:8_0", "h:\u00b2", "h:\u0661", "h:" + "1" * 5000, "h:1\n", "h\n:1",
            "a b:1", "a/b:1", "a@b:1", "a?b:1", "a#b:1", "%41:1", "a\x00:1",
            "\u00e9.example:1", "\ud800:1", "-a:1", "a..b:1", "x" * 64 + ":1",
            "a." * 127 + "a:1", "1.2.3:1", "1.2.3.256:1", "::1:80", "[::1:80",
            "[::zz]:80", "[::1%lo]:80", "[10.1.0.9]:80", "[]:80",
        ):  # fmt: skip
            with self.subTest(address=address[:40]):
                self.assertRaises(errors.BadInputError, addresses.split, address)

    @FUZZ
    @hypothesis.given(hypothesis.strategies.text())
    def test_any_text_is_split_or_raises_a_typed_error(self, text):
        try:
            _, port = addresses.split(text)
        except errors.BadInputError:
            return
        self.assertTrue(addresses.MIN_PORT <= port <= addresses.MAX_PORT)


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

    # Deadlines and leases were too late by the time in which the VM had been suspended.
    def test_system_clock_counts_the_time_in_which_the_vm_is_suspended(self):
        source = clock.SystemClock()
        before = source.now()
        real = time.clock_gettime

        def resumed(number):
            is_boot_time = number == time.CLOCK_BOOTTIME
            return real(number) + (4.0 if is_boot_time else 0.0)

        with unittest.mock.patch.object(time, "clock_gettime", resumed):
            elapsed = source.now() - before
        self.assertGreaterEqual(elapsed, clock.milliseconds(4000))

    def test_manual_clock_moves_by_advance(self):
        source = clock.ManualClock()
        before = source.now()
        source.advance(clock.milliseconds(5))
        self.assertEqual(5.0, clock.to_milliseconds(source.now() - before))
