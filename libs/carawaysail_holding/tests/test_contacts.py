"""Which daemons are connected, and how often they send."""

import testtools

from carawaysail_holding import contacts, holder_election
from carawaysail_types import clock, daemons

MS = clock.milliseconds
DATA_CENTRES = ("dc-0", "dc-1", "dc-2")


def make_daemons(count, processor_milli=400):
    """Return daemons in turns over the data centres."""
    return [
        daemons.Daemon(f"vm-{n}", f"dc-{n % 3}", f"{n}-1", f"vm-{n}:1", processor_milli)
        for n in range(count)
    ]


class TestWanted(testtools.TestCase):
    """The choice of contacts by size of the fleet."""

    def test_all_of_a_small_fleet_are_connected(self):
        peers = tuple(make_daemons(contacts.FULL_MESH_PEERS))
        self.assertEqual(peers, contacts.wanted(contacts.View(peers, peers[:1], ())))

    def test_holders_and_candidates_of_a_large_one_are_connected_once(self):
        peers = tuple(make_daemons(97))
        view = contacts.View(peers, peers[:2], peers[1:3])
        self.assertEqual(peers[:3], contacts.wanted(view))


class TestIntervals(testtools.TestCase):
    """Intervals of heartbeats and of load reports."""

    def test_lost_gateway_is_suspected_before_its_client_sends_again(self):
        for peer_count in (1, 7, 12, 13, 96, 1000):
            self.assertLess(contacts.pace(peer_count).suspect_after(), MS(1300 - 300))

    # The frames of an idle fleet of a hundred took most of its processor time.
    def test_idle_daemon_of_a_large_fleet_gets_and_sends_twenty_frames_a_second(self):
        interval = contacts.pace(96).heartbeat_interval
        self.assertLessEqual(6 / interval.total_seconds(), 20.0)

    def test_few_listeners_get_each_change(self):
        interval = contacts.loads_interval(
            contacts.Listeners(6), 2_000, contacts.Limits()
        )
        self.assertEqual(contacts.MIN_LOADS_INTERVAL, interval)

    def test_reports_stay_within_their_share_of_the_link(self):
        link_bytes = 1_250_000.0
        limits = contacts.Limits(8_000, link_bytes)
        interval = contacts.loads_interval(contacts.Listeners(96), 2_000, limits)
        sent = 96 * 2_000 / interval.total_seconds()
        self.assertLessEqual(sent, contacts.LOADS_LINK_SHARE * link_bytes * 1.001)

    # A sixth of what a fleet of a hundred did at a crest was to receive load reports.
    def test_reports_of_all_holders_stay_within_the_share_of_the_smallest_listener(
        self,
    ):
        listeners = contacts.Listeners(96, 6, 387)
        limits = contacts.Limits(2_000)
        interval = contacts.loads_interval(listeners, 2_000, limits)
        taken = 6 * contacts.RECEIVE_TIME / 0.387 / interval
        self.assertLessEqual(taken, contacts.LOADS_PROCESSOR_SHARE * 1.001)

    def test_slow_daemon_reports_less_often(self):
        slow, fast = (
            contacts.loads_interval(contacts.Listeners(96), 100, contacts.Limits(milli))
            for milli in (120, 2_000)
        )
        self.assertGreater(slow, 10 * fast)


class TestElectionInALargeFleet(testtools.TestCase):
    """The election at one daemon of a fleet in which not all are connected."""

    def setUp(self):
        super().setUp()
        self.clock = clock.ManualClock()
        self.fleet = make_daemons(30)
        self.make(self.fleet[0])

    def make(self, me):
        self.me = me
        self.election = holder_election.HolderElection(
            me, DATA_CENTRES, self.clock.now()
        )
        registered = tuple(x for x in self.fleet if x.vm != me.vm)
        self.election.record_registrations((*registered, me), (), self.clock.now())

    def hold(self, data_centre, daemon, token=5):
        holder = daemons.Holder(data_centre, daemon.vm, daemon.incarnation, token)
        self.election.record_holder(holder, self.clock.now())

    def hold_all(self):
        """Let the second daemon of each data centre hold it."""
        self.holders = self.fleet[3:6]
        for daemon in self.holders:
            self.hold(daemon.data_centre, daemon)

    def contacts(self):
        return set(self.election.update_contacts(self.clock.now()))

    def advance(self, ms, *senders):
        """Let time pass; return the claims made meanwhile, by data centre."""
        claims = {}
        for _ in range(ms // 50):
            self.clock.advance(MS(50))
            self.contacts()
            for daemon in senders:
                self.election.record_message(daemon, None, self.clock.now())
            for claim in self.election.next_claims(self.clock.now()):
                claims[claim.data_centre] = claim.cause
        return claims

    def test_gateway_is_connected_to_the_holders_only(self):
        self.hold_all()
        self.assertEqual(set(self.holders), self.contacts())
        self.assertEqual({}, self.advance(5000, *self.holders))

    def test_without_a_holder_those_that_may_claim_before_are_contacted(self):
        wanted = set()
        for me in self.fleet[::3]:
            self.make(me)
            self.advance(400)
            reached = self.contacts()
            self.assertEqual({"dc-0"}, {x.data_centre for x in reached} | {"dc-0"})
            wanted.add(len(reached))
        self.assertEqual(set(range(10)), wanted)

    def test_holder_that_refuses_connections_is_replaced_by_one_that_is_alive(self):
        claimants = []
        for me in self.fleet[::3]:
            if me == self.fleet[3]:
                continue
            self.make(me)
            self.hold_all()
            self.advance(1000, *self.holders)
            self.election.record_refusal(self.holders[0])
            if self.advance(50).get("dc-0"):
                claimants.append(me.vm)
        self.assertEqual(1, len(claimants))

    def test_silent_holder_is_replaced_within_four_and_a_half_seconds(self):
        claims = []
        for me in self.fleet[::3]:
            if me == self.fleet[3]:
                continue
            self.make(me)
            self.hold_all()
            self.advance(4000, *self.holders)
            claims.append(self.advance(1500, *self.holders[1:]).get("dc-0"))
        self.assertIn("holder is silent", claims)

    # A dead daemon of higher rank kept the others waiting for as long as the store
    # listed it.
    def test_candidates_that_refuse_connections_are_passed_over(self):
        claimed = []
        for me in self.fleet[::3]:
            self.make(me)
            self.contacts()
            for daemon in self.fleet:
                if daemon != me:
                    self.election.record_refusal(daemon)
            claimed.append(self.advance(50).get("dc-0"))
        self.assertEqual(["vacant"] * 10, claimed)

    def test_largest_daemon_takes_over_from_a_small_holder(self):
        self.fleet[0] = self.fleet[0]._replace(processor_milli=2_000)
        self.make(self.fleet[0])
        self.hold_all()
        self.assertEqual({}, self.advance(3000, *self.holders))
        claims = self.advance(1000, *self.holders)
        self.assertEqual({"dc-0": "holder is small"}, claims)

    def test_largest_daemon_claims_first(self):
        self.fleet[0] = self.fleet[0]._replace(processor_milli=2_000)
        self.make(self.fleet[0])
        self.assertEqual({"dc-0": "vacant"}, self.advance(50))

    def test_only_holders_claim_a_data_centre_without_daemons(self):
        for me, expected in ((self.fleet[0], set()), (self.fleet[3], {"dc-2"})):
            self.make(me)
            self.hold_all()
            left = tuple(x for x in self.fleet if x.data_centre != "dc-2")
            self.advance(2500, *self.holders)
            claims = set()
            for _ in range(80):
                now = self.clock.now()
                self.election.record_registrations(left, (), now)
                self.election.record_worker_report("dc-2", now)
                claims |= set(self.advance(100, *self.holders[:2]))
            self.assertEqual(expected, claims)
