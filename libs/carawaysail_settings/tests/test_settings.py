"""Settings tree: checks, inheritance, edits, sections and parsing."""

import hypothesis
import hypothesis.strategies
import testtools

from carawaysail_decisions import admission, queues, routing
from carawaysail_settings import (
    daemon_settings,
    edits,
    errors,
    inheritance,
    json_text,
    keys,
    sections,
    tree,
)
from carawaysail_types import errors as type_errors

FUZZ = hypothesis.settings(
    max_examples=150, derandomize=True, deadline=None, database=None
)

JSON = hypothesis.strategies.recursive(
    hypothesis.strategies.none()
    | hypothesis.strategies.booleans()
    | hypothesis.strategies.integers()
    | hypothesis.strategies.text(max_size=8),
    lambda inner: (
        hypothesis.strategies.lists(inner, max_size=3)
        | hypothesis.strategies.dictionaries(
            hypothesis.strategies.sampled_from(
                ["settings", "teams", "places", "services", "racks", "weight", "x"]
            ),
            inner,
            max_size=4,
        )
    ),
    max_leaves=12,
)


def make_tree():
    """Return a valid tree with one team, one service and one target."""
    return {
        "settings": {"weight": 2.0},
        "teams": {
            "ventas": {
                "settings": {"deadline_ms": 5000},
                "services": {"pedidos": {"jobs": {"cierre": {}}}},
            }
        },
        "places": {
            "rosario": {
                "racks": {
                    "r1": {
                        "settings": {"slots": 4},
                        "targets": {"a": {"kind": "runner", "url": "http://h:1"}},
                    }
                }
            }
        },
    }


class TestChecks(testtools.TestCase):
    """Checks of whole trees and of single values."""

    def test_accepts_a_valid_tree(self):
        self.assertEqual(make_tree(), tree.check_tree(make_tree()))

    def assert_rejected(self, change, *words):
        cfg = make_tree()
        change(cfg)
        exc = self.assertRaises(type_errors.CarawaysailError, tree.check_tree, cfg)
        for word in words:
            self.assertIn(word, str(exc))

    def test_unknown_key_suggests_a_similar_one(self):
        self.assert_rejected(
            lambda cfg: cfg["settings"].update(wieght=1), "wieght", "'weight'"
        )

    def test_out_of_range_value_reports_the_bounds(self):
        self.assert_rejected(
            lambda cfg: cfg["teams"]["ventas"]["settings"].update(deadline_ms=0),
            "teams/ventas/settings/deadline_ms is 0",
            "from 1 to 3600000",
        )

    def test_value_of_wrong_type_is_rejected(self):
        self.assert_rejected(
            lambda cfg: cfg["settings"].update(weight=True), "settings/weight is True"
        )

    def test_unknown_choice_reports_the_choices(self):
        self.assert_rejected(
            lambda cfg: cfg["settings"].update(routing="best"), "expected_finish"
        )

    def test_key_at_a_wrong_level_is_rejected(self):
        self.assert_rejected(
            lambda cfg: cfg["teams"]["ventas"]["settings"].update(slots=3), "'slots'"
        )

    def test_service_of_two_teams_is_rejected(self):
        def change(cfg):
            cfg["teams"]["otros"] = {"services": {"pedidos": {}}}

        self.assert_rejected(change, "teams/otros/services/pedidos")

    def test_target_in_two_racks_is_rejected(self):
        def change(cfg):
            racks = cfg["places"]["rosario"]["racks"]
            racks["r2"] = {"targets": {"a": {"kind": "runner", "url": "http://h:2"}}}

        self.assert_rejected(change, "r2/targets/a")

    def test_bad_names_and_addresses_are_rejected(self):
        self.assert_rejected(
            lambda cfg: cfg["teams"].update({"Más": {}}), "a name of a-z"
        )
        self.assert_rejected(
            lambda cfg: cfg["places"]["rosario"].update(entries={"e": {"peer": "x"}}),
            "host:port",
        )

    def test_choices_are_the_registered_policies(self):
        self.assertEqual(keys.ROUTING_POLICIES, routing.policies.names())
        self.assertEqual(keys.QUEUE_POLICIES, queues.policies.names())
        self.assertEqual(keys.ADMISSION_POLICIES, admission.policies.names())

    @FUZZ
    @hypothesis.given(JSON)
    def test_any_value_is_accepted_or_rejected(self, value):
        try:
            tree.check_tree(value)
        except type_errors.CarawaysailError:
            return
        self.assertIsInstance(value, dict)


class TestInheritance(testtools.TestCase):
    """Effective values, and the settings that they come from."""

    def test_nearest_level_wins_and_others_are_reported(self):
        cfg = make_tree()
        path = "teams/ventas/services/pedidos"
        cfg["teams"]["ventas"]["settings"]["weight"] = 3.0
        found = inheritance.resolve(cfg, path, "weight")
        self.assertEqual(3.0, found.value)
        self.assertEqual("teams/ventas/settings/weight", found.path)
        self.assertEqual((("settings/weight", 2.0),), found.overridden)

    def test_default_applies_where_no_level_sets_the_key(self):
        self.assertEqual(
            "default", inheritance.resolve(make_tree(), "", "idempotent").path
        )

    def test_target_inherits_from_its_rack(self):
        path = "places/rosario/racks/r1/targets/a"
        self.assertEqual(4, inheritance.integer(make_tree(), path, "slots"))

    def test_unlisted_kind_of_job_uses_the_path_of_its_service(self):
        path = inheritance.service_path(make_tree(), "pedidos", "otro")
        self.assertEqual("teams/ventas/services/pedidos", path)
        path = inheritance.service_path(make_tree(), "pedidos", "cierre")
        self.assertEqual("teams/ventas/services/pedidos/jobs/cierre", path)

    def test_unknown_paths_and_services_raise(self):
        cfg = make_tree()
        exc = self.assertRaises(
            errors.NoSuchPathError, inheritance.resolve, cfg, "teams/ventos", "weight"
        )
        self.assertIn("did you mean 'ventas'", str(exc))
        self.assertRaises(errors.NoSuchPathError, inheritance.service_path, cfg, "nada")


class TestEdits(testtools.TestCase):
    """Edits by path, which return a changed copy of the tree."""

    def test_set_value_creates_parents_and_keeps_the_old_tree(self):
        cfg = make_tree()
        changed = edits.set_value(
            cfg, "teams/nuevo/services/facturas/settings/weight", 1
        )
        self.assertNotIn("nuevo", cfg["teams"])
        changes = edits.diff(cfg, changed)
        self.assertEqual(["teams/nuevo"], [change.path for change in changes])

    def test_removed_value_is_absent_and_unknown_paths_raise(self):
        cfg = edits.remove_value(make_tree(), "settings/weight")
        self.assertEqual({}, edits.get_value(cfg, "settings"))
        self.assertRaises(
            errors.NoSuchPathError, edits.remove_value, cfg, "settings/weight"
        )
        self.assertRaises(errors.NoSuchPathError, edits.get_value, cfg, "teams/x/y")

    def test_edit_with_an_invalid_value_is_rejected(self):
        self.assertRaises(
            errors.SettingRejectedError,
            edits.set_value,
            make_tree(),
            "settings/weight",
            0,
        )


class TestSections(testtools.TestCase):
    """Splitting a tree into sections, joining them, and their stored form."""

    def test_join_is_the_inverse_of_split(self):
        by_name = sections.split(make_tree())
        self.assertEqual(["places/rosario", "root", "teams/ventas"], sorted(by_name))
        self.assertEqual(make_tree(), sections.join(by_name))

    def test_unpack_is_the_inverse_of_pack_and_rejects_other_values(self):
        stored = sections.StoredSection({"settings": {}}, ["w1"])
        self.assertEqual(stored, sections.unpack("root", sections.pack(stored)))
        for value in ("{", "[]", '{"section": {}}'):
            self.assertRaises(errors.BadTextError, sections.unpack, "root", value)

    def test_section_of_a_path(self):
        self.assertEqual("teams/a", sections.section_of("teams/a/services/b"))
        self.assertEqual("root", sections.section_of("settings/weight"))


class TestText(testtools.TestCase):
    """Parsing of JSON with comments."""

    def test_comments_and_trailing_commas_are_accepted(self):
        value = json_text.parse("f", '{"a": 1, // one\n /* two */ "b": [1, 2,],}')
        self.assertEqual({"a": 1, "b": [1, 2]}, value)

    def test_errors_name_the_source(self):
        exc = self.assertRaises(errors.BadTextError, json_text.parse, "f.json", "{,}")
        self.assertIn("f.json", str(exc))

    def test_too_deep_and_too_long_texts_are_rejected(self):
        deep = "[" * 200_000
        self.assertRaises(errors.BadTextError, json_text.parse, "f", deep)
        large = " " * (json_text.MAX_TEXT_CHARACTERS + 1)
        self.assertRaises(errors.BadTextError, json_text.parse, "f", large)


class TestDaemonFile(testtools.TestCase):
    """Settings file of one entry daemon."""

    def test_defaults_apply_and_invalid_files_are_rejected(self):
        cfg = daemon_settings.load("f", '{"vm": "e1", "data_centre": "rosario"} // me')
        self.assertEqual(64, cfg["threads"])
        for content, word in (
            ('{"vm": "e1"}', "data_centre"),
            ('{"vm": "e1", "data_centre": "d", "thread": 1}', "'threads'"),
            ('{"vm": "e1", "data_centre": "d", "threads": 1}', "from 4 to 1024"),
            ('{"vm": 1, "data_centre": "d"}', "a str"),
            ('{"vm": "e1", "data_centre": "d", "peer": "x"}', "host:port"),
            ("[]", "an object"),
        ):
            exc = self.assertRaises(
                type_errors.CarawaysailError, daemon_settings.load, "f", content
            )
            self.assertIn(word, str(exc))
