"""Tests of membership and of the versions of the settings."""

import datetime

import hypothesis
import hypothesis.strategies
import testtools

from carawaysail_decisions import membership, versions
from carawaysail_types import clock, errors, identifiers

FUZZ = hypothesis.settings(
    max_examples=150, derandomize=True, deadline=None, database=None
)


class Cluster:
    """Members that gossip over a simulated network, one tick at a time."""

    def __init__(self, names, manual_clock):
        self.clock = manual_clock
        self.isolated = set()
        self.members = {name: self.make(name) for name in names}

    def make(self, name, born_ms=1, incarnation=None):
        number = int(name[1:])
        data_centre = "rosario" if number < 6 else "cordoba"
        incarnation = incarnation or f"{number:016x}"
        own_record = membership.Record(
            name, data_centre, incarnation, born_ms, name, name
        )
        seeds = ("e0", "e6")
        return membership.Members(own_record, seeds, number, self.clock.now())

    def run_ticks(self, ticks=1):
        for _ in range(ticks):
            for name, member in list(self.members.items()):
                if name not in self.isolated:
                    self._tick(member)
            self.clock.advance(membership.MIN_GOSSIP_PERIOD)

    def _tick(self, member):
        now = self.clock.now()
        for address in member.tick(now):
            peer = self.members.get(address)
            if peer is None or address in self.isolated:
                continue
            peer.merge_gossip(member.gossip(peer.own_record.data_centre), now)
            member.merge_gossip(peer.gossip(member.own_record.data_centre), now)

    def alive(self, name):
        return [x.vm for x in self.members[name].alive(self.clock.now())]


class TestMembership(testtools.TestCase):
    """Which members know each other, and which are suspected after silence."""

    def make_cluster(self, count=8):
        cluster = Cluster([f"e{n}" for n in range(count)], clock.ManualClock())
        cluster.run_ticks(16)
        return cluster

    def test_members_of_a_data_centre_know_each_other(self):
        cluster = self.make_cluster()
        for number in range(6):
            self.assertEqual([f"e{n}" for n in range(6)], cluster.alive(f"e{number}"))
        self.assertEqual(["e6", "e7"], cluster.alive("e6"))

    def test_silent_member_is_suspected_until_it_returns(self):
        cluster = self.make_cluster()
        cluster.isolated.add("e3")
        cluster.run_ticks(14)
        self.assertNotIn("e3", cluster.alive("e0"))
        cluster.isolated.clear()
        cluster.run_ticks(8)
        self.assertIn("e3", cluster.alive("e0"))

    def test_paused_member_suspects_no_other(self):
        cluster = self.make_cluster()
        cluster.clock.advance(datetime.timedelta(seconds=30))
        cluster.members["e0"].tick(cluster.clock.now())
        self.assertEqual(6, len(cluster.alive("e0")))

    def test_dead_member_is_not_alive_until_its_next_record(self):
        cluster = self.make_cluster()
        record = cluster.members["e1"].own_record
        cluster.members["e0"].record_dead("e1", record.incarnation)
        self.assertNotIn("e1", cluster.alive("e0"))
        cluster.run_ticks(8)
        self.assertIn("e1", cluster.alive("e0"))

    def owner(self, cluster, name):
        record = cluster.members[name].own_record
        return identifiers.Owner(record.data_centre, name, record.incarnation, 0)

    def test_locate_follows_restart_and_successor(self):
        cluster = self.make_cluster()
        owner = self.owner(cluster, "e1")
        self.assertEqual("e1", cluster.members["e6"].locate(owner).peer)
        cluster.members["e1"] = cluster.make("e1", born_ms=9, incarnation="f" * 16)
        cluster.run_ticks(16)
        self.assertEqual(
            membership.OwnerLocation("e1"), cluster.members["e6"].locate(owner)
        )
        cluster.members["e2"].update_own_record(inherited=(owner.incarnation,))
        cluster.run_ticks(16)
        self.assertEqual("e2", cluster.members["e6"].locate(owner).peer)

    # A record of an earlier incarnation was taken as proof that a later one had ended.
    def test_record_of_another_incarnation_proves_no_loss(self):
        cluster = self.make_cluster()
        cluster.isolated.add("e1")
        cluster.members["e1"] = cluster.make("e1", born_ms=9, incarnation="f" * 16)
        owner = self.owner(cluster, "e1")
        for state in (membership.ALIVE, membership.GONE):
            located = cluster.members["e0"].locate(owner)
            self.assertEqual(membership.OwnerLocation("e1"), located, state)
            cluster.members["e0"].record_dead("e1", f"{1:016x}")

    def test_owner_known_to_have_ended_is_lost(self):
        cluster = self.make_cluster()
        owner = self.owner(cluster, "e1")
        cluster.members["e0"].record_dead("e1", owner.incarnation)
        self.assertTrue(cluster.members["e0"].locate(owner).lost)

    def test_successor_is_alive_and_in_the_same_data_centre(self):
        cluster = self.make_cluster(7)
        successor = cluster.members["e0"].choose_successor(cluster.clock.now())
        self.assertIn(successor.vm, ("e1", "e2", "e3", "e4", "e5"))
        self.assertIsNone(cluster.members["e6"].choose_successor(cluster.clock.now()))

    def test_two_members_of_each_data_centre_are_watchers(self):
        cluster = self.make_cluster()
        now = cluster.clock.now()
        watchers = [n for n, x in cluster.members.items() if x.is_watcher(now)]
        self.assertEqual(["e0", "e1", "e6", "e7"], watchers)
        cluster.isolated.add("e5")
        cluster.run_ticks(20)
        cluster.members["e5"].tick(cluster.clock.now())

    def test_period_grows_with_the_members(self):
        small, large = self.make_cluster(2), Cluster(["e0"], clock.ManualClock())
        member = large.members["e0"]
        for number in range(1, 40):
            record = small.members["e1"].own_record._replace(vm=f"e{number}")
            member.merge_gossip(membership.Gossip((record,)), large.clock.now())
        self.assertGreater(member.gossip_period(), small.members["e0"].gossip_period())

    def test_invalid_records_are_refused(self):
        cluster = self.make_cluster(2)
        bad = cluster.members["e1"].own_record._replace(state="perhaps", beat=99)
        gossip = membership.Gossip((bad,))
        self.assertRaises(
            errors.BadInputError,
            cluster.members["e0"].merge_gossip,
            gossip,
            cluster.clock.now(),
        )


SECTIONS = hypothesis.strategies.lists(
    hypothesis.strategies.tuples(
        hypothesis.strategies.sampled_from(["root", "teams/a", "places/b"]),
        hypothesis.strategies.integers(1, 9),
    ),
    max_size=30,
)


class TestVersions(testtools.TestCase):
    """Sections are merged by revision and never go back."""

    @FUZZ
    @hypothesis.given(SECTIONS)
    def test_any_order_ends_at_the_greatest_revision(self, received):
        now = clock.ManualClock().now()
        settings = versions.SettingsVersions()
        for name, revision in received:
            before = settings.revisions().get(name, 0)
            settings.accept(versions.Section(name, revision, str(revision)), now)
            self.assertGreaterEqual(settings.revisions()[name], before)
        expected = {}
        for name, revision in received:
            expected[name] = max(revision, expected.get(name, 0))
        self.assertEqual(expected, settings.revisions())

    def test_digests_are_equal_only_for_equal_revisions(self):
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
