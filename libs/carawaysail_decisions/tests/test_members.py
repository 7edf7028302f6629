"""Membership and versions."""

import datetime

import hypothesis
import hypothesis.strategies
import testtools

from carawaysail_decisions import membership, versions
from carawaysail_types import clock, errors, identifiers

FUZZ = hypothesis.settings(
    max_examples=150, derandomize=True, deadline=None, database=None
)


class Mesh:
    """Members that gossip over a fake network, one round at a time."""

    def __init__(self, names, source):
        self.clock = source
        self.cut = set()
        self.members = {name: self.make(name) for name in names}

    def make(self, name, born_ms=1, incarnation=None):
        number = int(name[1:])
        place = "rosario" if number < 6 else "cordoba"
        incarnation = incarnation or f"{number:016x}"
        own_record = membership.Record(name, place, incarnation, born_ms, name, name)
        seeds = ("e0", "e6")
        return membership.Members(own_record, seeds, number, self.clock.now())

    def round(self, ticks=1):
        for _ in range(ticks):
            for name, member in list(self.members.items()):
                if name not in self.cut:
                    self._tick(member)
            self.clock.advance(membership.MIN_GOSSIP_PERIOD)

    def _tick(self, member):
        now = self.clock.now()
        for address in member.tick(now):
            peer = self.members.get(address)
            if peer is None or address in self.cut:
                continue
            peer.merge_gossip(member.gossip(peer.own_record.data_centre), now)
            member.merge_gossip(peer.gossip(member.own_record.data_centre), now)

    def alive(self, name):
        return [x.vm for x in self.members[name].alive(self.clock.now())]


class TestMembership(testtools.TestCase):
    """Who knows whom, and what follows from silence."""

    def make_mesh(self, count=8):
        mesh = Mesh([f"e{n}" for n in range(count)], clock.ManualClock())
        mesh.round(16)
        return mesh

    def test_all_of_a_data_centre_know_each_other(self):
        mesh = self.make_mesh()
        for number in range(6):
            self.assertEqual([f"e{n}" for n in range(6)], mesh.alive(f"e{number}"))
        self.assertEqual(["e6", "e7"], mesh.alive("e6"))

    def test_silent_member_is_suspected_and_returns(self):
        mesh = self.make_mesh()
        mesh.cut.add("e3")
        mesh.round(14)
        self.assertNotIn("e3", mesh.alive("e0"))
        mesh.cut.clear()
        mesh.round(8)
        self.assertIn("e3", mesh.alive("e0"))

    def test_pause_suspects_nobody(self):
        mesh = self.make_mesh()
        mesh.clock.advance(datetime.timedelta(seconds=30))
        mesh.members["e0"].tick(mesh.clock.now())
        self.assertEqual(6, len(mesh.alive("e0")))

    def test_seen_dead_is_not_alive_until_it_writes_again(self):
        mesh = self.make_mesh()
        record = mesh.members["e1"].own_record
        mesh.members["e0"].record_dead("e1", record.incarnation)
        self.assertNotIn("e1", mesh.alive("e0"))
        mesh.round(8)
        self.assertIn("e1", mesh.alive("e0"))

    def owner(self, mesh, name):
        record = mesh.members[name].own_record
        return identifiers.Owner(record.data_centre, name, record.incarnation, 0)

    def test_locate_owner_restart_and_heir(self):
        mesh = self.make_mesh()
        owner = self.owner(mesh, "e1")
        self.assertEqual("e1", mesh.members["e6"].locate(owner).peer)
        mesh.members["e1"] = mesh.make("e1", born_ms=9, incarnation="f" * 16)
        mesh.round(16)
        self.assertTrue(mesh.members["e6"].locate(owner).lost)
        mesh.members["e2"].update_own_record(inherited=(owner.incarnation,))
        mesh.round(16)
        self.assertEqual("e2", mesh.members["e6"].locate(owner).peer)

    def test_heir_is_alive_and_near(self):
        mesh = self.make_mesh(7)
        heir = mesh.members["e0"].choose_successor(mesh.clock.now())
        self.assertIn(heir.vm, ("e1", "e2", "e3", "e4", "e5"))
        self.assertIsNone(mesh.members["e6"].choose_successor(mesh.clock.now()))

    def test_two_watch_and_an_isolated_one_does(self):
        mesh = self.make_mesh()
        now = mesh.clock.now()
        watching = [n for n, x in mesh.members.items() if x.is_watcher(now)]
        self.assertEqual(["e0", "e1", "e6", "e7"], watching)
        mesh.cut.add("e5")
        mesh.round(20)
        mesh.members["e5"].tick(mesh.clock.now())

    def test_period_grows_with_the_members(self):
        small, large = self.make_mesh(2), Mesh(["e0"], clock.ManualClock())
        member = large.members["e0"]
        for number in range(1, 40):
            record = small.members["e1"].own_record._replace(vm=f"e{number}")
            member.merge_gossip(membership.Gossip((record,)), large.clock.now())
        self.assertGreater(member.gossip_period(), small.members["e0"].gossip_period())

    def test_bad_records_are_refused(self):
        mesh = self.make_mesh(2)
        bad = mesh.members["e1"].own_record._replace(state="perhaps", beat=99)
        gossip = membership.Gossip((bad,))
        self.assertRaises(
            errors.BadInputError,
            mesh.members["e0"].merge_gossip,
            gossip,
            mesh.clock.now(),
        )


SECTIONS = hypothesis.strategies.lists(
    hypothesis.strategies.tuples(
        hypothesis.strategies.sampled_from(["root", "teams/a", "places/b"]),
        hypothesis.strategies.integers(1, 9),
    ),
    max_size=30,
)


class TestVersions(testtools.TestCase):
    """Sections merge by revision and never go back."""

    @FUZZ
    @hypothesis.given(SECTIONS)
    def test_any_order_ends_at_the_greatest(self, seen):
        now = clock.ManualClock().now()
        held = versions.SettingsVersions()
        for name, revision in seen:
            before = held.revisions().get(name, 0)
            held.accept(versions.Section(name, revision, str(revision)), now)
            self.assertGreaterEqual(held.revisions()[name], before)
        expected = {}
        for name, revision in seen:
            expected[name] = max(revision, expected.get(name, 0))
        self.assertEqual(expected, held.revisions())

    def test_digest_tells_equal_from_different(self):
        now = clock.ManualClock().now()
        first, second = versions.SettingsVersions(), versions.SettingsVersions()
        for name in ("a", "b"):
            first.accept(versions.Section(name, 1, "x"), now)
        for name in ("b", "a"):
            second.accept(versions.Section(name, 1, "x"), now)
        self.assertEqual(first.digest(), second.digest())
        first.accept(versions.Section("a", 2, "y"), now)
        self.assertNotEqual(first.digest(), second.digest())
        newer = first.newer_than(second.revisions())
        self.assertEqual([("a", 2)], [(x.name, x.revision) for x in newer])

    def test_revision_must_be_positive(self):
        now = clock.ManualClock().now()
        section = versions.Section("root", 0, "")
        self.assertRaises(
            errors.BadInputError, versions.SettingsVersions().accept, section, now
        )
