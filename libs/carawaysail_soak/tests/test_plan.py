"""Tests of plans: a plan is a function of its seed."""

import pathlib
import tempfile

import testtools

from carawaysail_soak import plan, player, settings
from carawaysail_types import errors

SIZES = settings.load().sizes


class TestDraw(testtools.TestCase):
    """Drawing a plan."""

    def test_a_plan_is_a_function_of_seed_and_size(self):
        for size in SIZES.values():
            self.assertEqual(plan.draw(7, size), plan.draw(7, size))
        self.assertNotEqual(
            plan.draw(7, SIZES["usual"]).steps, plan.draw(8, SIZES["usual"]).steps
        )

    def test_all_kinds_are_drawn_within_the_time_of_faults(self):
        drawn = set()
        for size in (SIZES["usual"], SIZES["resends"]):
            steps = [x for seed in range(100) for x in plan.draw(seed, size).steps]
            drawn.update(x.kind for x in steps)
            for step in steps:
                self.assertLessEqual(step.at_s, size.fault_s)
                self.assertLessEqual(step.at_s + step.for_s, size.fault_s + size.calm_s)
        self.assertEqual(set(plan.kinds.names()), drawn)

    # Seeds of the pages name the plans that they named before.
    def test_faults_that_strike_together_leave_the_series_as_they_are(self):
        size = SIZES["usual"]
        series = plan.draw(7, size).steps
        both = plan.draw(7, size._replace(coincidences=3)).steps
        layer = plan.COINCIDENCES
        apart = [x for x in both if plan.kinds.get(x.kind).layer != layer]
        self.assertEqual(list(series), apart)
        self.assertGreater(len(both), len(series))

    def test_faults_of_different_layers_overlap(self):
        steps = plan.draw(1, SIZES["usual"]).steps
        overlapping = {
            (plan.kinds.get(x.kind).layer, plan.kinds.get(y.kind).layer)
            for x in steps
            for y in steps
            if x.at_s < y.at_s < x.at_s + x.for_s
        }
        self.assertGreater(len([x for x in overlapping if x[0] != x[1]]), 3)


class TestFiles(testtools.TestCase):
    """Plans as JSON files."""

    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "plan.json"

    def test_a_plan_is_read_as_it_was_written(self):
        drawn = plan.draw(3, SIZES["large"])
        plan.write(self.path, drawn)
        self.assertEqual(drawn, plan.read(self.path))

    def test_an_unknown_kind_is_an_error(self):
        step = plan.Step("earthquake", 0.0, 1.0, "vm-00", {})
        plan.write(self.path, plan.Plan(1, SIZES["small"], (step,)))
        self.assertRaises(errors.UnknownNameError, plan.read, self.path)

    def test_a_file_that_is_no_plan_is_an_error(self):
        self.path.write_text('{"seed": 1}')
        self.assertRaises(errors.BadInputError, plan.read, self.path)


class TestKinds(testtools.TestCase):
    """The registry of kinds."""

    def test_each_kind_names_registered_targets(self):
        self.assertIn(player.platform_faults, player.FAULT_MODULES)
        for _, kind in plan.kinds.items():
            for target in kind.targets:
                self.assertIn(target, plan.targets.names())
