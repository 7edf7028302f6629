"""Fixed plans on real daemons, played in CI."""

import pathlib
import tempfile

import testtools
import testtools.content

from carawaysail_soak import main, plan, settings
from carawaysail_types import errors

STRICT = settings.load()
CFG = STRICT._replace(reported_only=frozenset({"completed_means_every_end_stands"}))
"""Settings without the check that ``TestStrictReading`` makes."""

LONG_JOBS = settings.load(
    str(pathlib.Path(settings.__file__).with_name("resends.json"))
)._replace(reported_only=CFG.reported_only)
"""Settings with jobs that last about as long as the pause of clients."""

PLANS = pathlib.Path(__file__).with_name("plans")


class PlayCase(testtools.TestCase):
    """Plans that have to pass."""

    def play(self, what, cfg=CFG):
        """Play a plan and check that no promise is broken."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        out = pathlib.Path(folder.name)
        result = main.play(what, cfg, out)
        for log in out.glob("*/vm-*.log"):
            text = log.read_text(errors="replace")[-20_000:]
            self.addDetail(log.name, testtools.content.text_content(text))
        self.assertEqual([], result["violations"])
        self.assertGreater(result["counts"]["RequestAnswered"], 50)


class TestSoak(PlayCase):
    """Plans that are drawn."""

    def test_seed_1(self):
        self.play(plan.draw(1, CFG.sizes["small"]))

    def test_seed_2(self):
        self.play(plan.draw(2, CFG.sizes["small"]))

    def test_seed_3(self):
        self.play(plan.draw(3, CFG.sizes["small"]))


class TestPlans(PlayCase):
    """Plans by hand, each for a fault that was found; its cause is in the file."""

    def play_file(self, name, cfg=CFG):
        self.play(plan.read(PLANS / f"{name}.json"), cfg)

    def test_lapse_before_acknowledgement(self):
        self.play_file("lapse_before_acknowledgement")

    def test_crash_around_the_end(self):
        self.play_file("crash_around_the_end")

    def test_signal_at_start(self):
        self.play_file("signal_at_start")

    # Daemons whose calls to the store were lost missed a later change for 16 s.
    def test_change_after_lost_calls(self):
        self.play_file("change_after_lost_calls")

    # Daemons whose entries had been refused were holders in turn from then on.
    def test_restart_beside_a_busy_store(self):
        self.play_file("restart_beside_a_busy_store")

    # The next holder started tasks again that ran on workers it had not heard of.
    def test_holder_killed_without_entries(self):
        self.play_file("holder_killed_without_entries", LONG_JOBS)


class TestStrictReading(PlayCase):
    """Each end of a completed job is acknowledged before it can be lost."""

    def test_lapse_before_acknowledgement(self):
        self.play(plan.read(PLANS / "lapse_before_acknowledgement.json"), STRICT)

    def test_crash_around_the_end(self):
        self.play(plan.read(PLANS / "crash_around_the_end.json"), STRICT)


class TestSettings(testtools.TestCase):
    """Settings of the soak."""

    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "soak.json"

    def test_a_file_replaces_the_fields_that_it_names(self):
        self.path.write_text('{"bounds": {"grace_s": 3} /* short */}')
        cfg = settings.load(str(self.path))
        self.assertEqual({"grace_s": 3}, cfg.bounds)
        self.assertEqual(CFG.sizes, cfg.sizes)

    def test_an_unknown_field_is_an_error(self):
        self.path.write_text('{"boundaries": {}}')
        self.assertRaises(errors.BadInputError, settings.load, str(self.path))

    def test_a_wrong_value_is_an_error(self):
        self.path.write_text('{"sizes": {"small": {"daemons": "many"}}}')
        self.assertRaises(errors.BadInputError, settings.load, str(self.path))


class TestCommand(testtools.TestCase):
    """Arguments of the command."""

    def test_invalid_arguments_have_status_2(self):
        self.assertEqual(2, main.main(["--size", "tiny"]))
        self.assertEqual(2, main.main(["--seeds", "one-two"]))
        self.assertEqual(2, main.main(["--plan", "/nowhere/plan.json"]))
