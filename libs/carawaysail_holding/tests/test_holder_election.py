"""Holder election: which daemon claims a data centre, and when."""

import itertools
import random

import testtools

from carawaysail_holding import holder_election
from carawaysail_types import clock, daemons

MS = clock.milliseconds
DATA_CENTRES = ("dc-0", "dc-1")


def make_daemon(vm, data_centre="dc-0", incarnation="1"):
    """Return a daemon; by default in the data centre of the daemon under test."""
    return daemons.Daemon(vm, data_centre, f"{vm}-{incarnation}", f"{vm}:1")


class ElectionCase(testtools.TestCase):
    """Shared fixtures: the election at one daemon, a local peer and a remote peer."""

    def setUp(self):
        super().setUp()
        self.clock = clock.ManualClock()
        self.me = make_daemon("me")
        self.local_peer = make_daemon("local")
        self.remote_peer = make_daemon("remote", "dc-1")
        self.election = holder_election.HolderElection(
            self.me, DATA_CENTRES, self.clock.now()
        )

    @property
    def now(self):
        return self.clock.now()

    def register_all(self, *others):
        self.election.record_registrations((self.me, *others), (), self.now)

    def receive_message(self, *others, is_leaving=False):
        for other in others:
            self.election.record_message(other, is_leaving, self.now)

    def advance(self, ms, *senders, reporting=()):
        """Advance the clock, with heartbeats and worker reports every 100 ms.

        ``senders`` are the daemons that send heartbeats; ``reporting`` names the data
        centres whose workers report.
        """
        for _ in range(ms // 100):
            self.clock.advance(MS(100))
            self.election.update_contacts(self.now)
            self.receive_message(*senders)
            for data_centre in reporting:
                self.election.record_worker_report(data_centre, self.now)

    def record_holder(self, data_centre, daemon, token):
        holder = daemons.Holder(data_centre, daemon.vm, daemon.incarnation, token)
        return self.election.record_holder(holder, self.now)

    def claims(self):
        return {x.data_centre: x.token for x in self.election.next_claims(self.now)}

    def assert_claims(self, expected, ms=1300, *senders, **fields):
        """Check the claims within a time, whatever the rank of this daemon."""
        claims = {}
        for _ in range(ms // 100):
            self.advance(100, *senders, **fields)
            claims.update(self.claims())
        self.assertEqual(expected, claims)


class TestPeers(ElectionCase):
    """Which other daemons are known, and since when they are contacted."""

    def test_daemon_is_known_while_registered_or_once_it_has_sent_a_message(self):
        first, second = self.local_peer, self.remote_peer
        self.assertEqual((), self.election.peers())
        self.register_all(first, second)
        self.assertEqual({first, second}, set(self.election.peers()))
        self.receive_message(first)
        self.register_all()
        self.assertEqual((first,), self.election.peers())
        again = first._replace(incarnation="later")
        self.receive_message(again)
        self.assertEqual((again,), self.election.peers())

    def test_later_incarnation_gets_time_for_its_first_message(self):
        first = self.local_peer
        self.register_all(first)
        self.advance(5000, first)
        again = first._replace(incarnation="later")
        self.register_all(again)
        self.election.update_contacts(self.now)
        self.assertIn(again, self.election.live_peers(self.now))
        self.advance(1500)
        self.assertNotIn(again, self.election.live_peers(self.now))


class TestOwnDataCentre(ElectionCase):
    """Claims on the daemon's own data centre."""

    def test_data_centre_without_holder_is_claimed(self):
        self.assert_claims({"dc-0": 0})

    # A data centre whose holder was refused by mistake had no holder from then on.
    def test_refused_holder_claims_again_unless_there_is_a_newer_one(self):
        self.record_holder("dc-0", self.me, 5)
        self.election.record_refused_holder("dc-0", self.now)
        self.assert_claims({}, 900)
        self.assert_claims({"dc-0": 5}, 500)
        self.record_holder("dc-0", self.me, 7)
        self.assert_claims({})

    def test_responsive_holder_is_not_replaced(self):
        self.register_all(self.local_peer)
        self.record_holder("dc-0", self.local_peer, 5)
        self.assert_claims({}, 5000, self.local_peer)

    def test_leaving_holder_is_replaced(self):
        self.register_all(self.local_peer)
        self.record_holder("dc-0", self.local_peer, 5)
        self.receive_message(self.local_peer, is_leaving=True)
        self.assertEqual({"dc-0": 5}, self.claims())

    def test_holder_that_refuses_connections_is_replaced(self):
        self.register_all(self.local_peer)
        self.receive_message(self.local_peer)
        self.record_holder("dc-0", self.local_peer, 5)
        self.election.record_refusal(self.local_peer)
        self.assertEqual({"dc-0": 5}, self.claims())

    def test_restarted_holder_is_replaced(self):
        self.register_all(self.local_peer)
        self.record_holder("dc-0", self.local_peer, 5)
        self.advance(400, make_daemon("local", incarnation="2"))
        self.assert_claims({"dc-0": 5}, 1300, make_daemon("local", incarnation="2"))

    def test_silent_holder_is_replaced_after_the_min_holding_time(self):
        self.register_all(self.local_peer)
        self.receive_message(self.local_peer)
        self.record_holder("dc-0", self.local_peer, 5)
        self.assert_claims({}, 3000)
        self.assert_claims({"dc-0": 5}, 1500)

    def test_leaving_daemon_claims_nothing(self):
        self.election.is_leaving = True
        self.assert_claims({})

    def test_data_centre_is_claimed_back_from_a_remote_holder(self):
        self.register_all(self.remote_peer)
        self.record_holder("dc-0", self.remote_peer, 5)
        self.assert_claims({}, 3000, self.remote_peer)
        self.assert_claims({"dc-0": 5}, 1500, self.remote_peer)


class TestUnlistedHolder(ElectionCase):
    """Holders that are not among the registered daemons, for whatever reason."""

    def read_store(self, *registered, holding=()):
        """Read the present holders, the registered daemons and those in ``holding``."""
        self.election.record_registrations(
            (self.me, *registered), self.election.holders(), self.now, holding
        )

    # Two daemons that the store did not list replaced each other for ever.
    def test_unlisted_holder_that_answers_is_not_replaced(self):
        self.record_holder("dc-0", self.local_peer, 5)
        self.read_store(holding=(self.local_peer,))
        self.assertIn(self.local_peer, self.election.update_contacts(self.now))
        self.assert_claims({}, 6000, self.local_peer)

    def test_holder_of_which_only_a_heartbeat_tells_is_not_replaced_at_once(self):
        self.advance(1000)
        self.record_holder("dc-0", self.local_peer, 5)
        self.assert_claims({}, 3000)
        self.assert_claims({"dc-0": 5}, 1500)

    # The list had the former incarnation, so that the present one counted as gone.
    def test_holder_is_not_replaced_for_the_entry_of_its_former_process(self):
        former = make_daemon("local", incarnation="0")
        self.read_store(former)
        self.advance(1000, former)
        self.record_holder("dc-0", self.local_peer, 5)
        self.advance(700)
        self.read_store(former, holding=(self.local_peer,))
        self.assert_claims({}, 6000, self.local_peer)

    def test_list_does_not_hide_an_incarnation_that_sends_messages(self):
        former = make_daemon("local", incarnation="0")
        self.record_holder("dc-0", self.local_peer, 5)
        self.receive_message(self.local_peer)
        self.read_store(former)
        self.assert_claims({}, 2000, self.local_peer)

    def test_unlisted_holder_that_refuses_connections_is_replaced(self):
        self.advance(400)
        self.record_holder("dc-0", self.local_peer, 5)
        self.read_store(holding=(self.local_peer,))
        self.election.update_contacts(self.now)
        self.election.record_refusal(self.local_peer)
        self.assertEqual({"dc-0": 5}, self.claims())

    def test_unlisted_holder_that_never_answers_is_replaced(self):
        self.record_holder("dc-0", self.local_peer, 5)
        self.read_store(holding=(self.local_peer,))
        self.assert_claims({}, 900)
        self.assert_claims({"dc-0": 5}, 300)

    # Two that cannot reach each other would take turns within the time of a lease.
    def test_data_centre_is_not_taken_back_soon_from_one_that_never_answers(self):
        self.record_holder("dc-0", self.me, 5)
        self.advance(1000)
        self.record_holder("dc-0", self.local_peer, 6)
        self.read_store(holding=(self.local_peer,))
        self.assert_claims({}, 3000)
        self.assert_claims({"dc-0": 6}, 1000)

    # Two that ran refused each other's connections, and replaced each other at once.
    def test_data_centre_is_not_taken_back_soon_from_one_that_refuses(self):
        self.register_all(self.local_peer)
        self.record_holder("dc-0", self.me, 5)
        self.advance(5000)
        self.record_holder("dc-0", self.local_peer, 6)
        self.election.record_refusal(self.local_peer)
        self.assert_claims({}, 3000)
        self.assert_claims({"dc-0": 6}, 400)

    def test_former_process_of_the_own_vm_is_replaced(self):
        self.record_holder("dc-0", make_daemon("me", incarnation="0"), 5)
        self.assert_claims({"dc-0": 5}, 500)

    def test_holder_whose_vm_has_registered_again_is_replaced(self):
        self.advance(400)
        self.record_holder("dc-0", self.local_peer, 5)
        self.read_store(make_daemon("local", incarnation="2"))
        self.assertEqual({"dc-0": 5}, self.claims())


class TestOtherDataCentres(ElectionCase):
    """Claims on data centres whose daemons may have stopped."""

    def start_remote_holder(self):
        self.register_all(self.remote_peer)
        self.receive_message(self.remote_peer)
        self.record_holder("dc-1", self.remote_peer, 5)
        self.record_holder("dc-0", self.me, 6)

    def test_cut_off_data_centre_stays_with_its_holder(self):
        self.start_remote_holder()
        self.advance(3000)
        self.register_all()
        self.assert_claims({}, 3000)

    def test_data_centre_that_comes_back_is_not_claimed_at_once(self):
        self.start_remote_holder()
        self.advance(3000)
        self.register_all()
        self.advance(2500)
        self.assert_claims({}, 1500, reporting=("dc-1",))

    def test_data_centre_without_daemons_is_claimed(self):
        self.start_remote_holder()
        self.advance(3000, reporting=("dc-1",))
        self.register_all()
        self.assert_claims({"dc-1": 5}, 3500, reporting=("dc-1",))

    def test_data_centre_of_a_stopped_process_is_claimed_at_once(self):
        self.start_remote_holder()
        self.advance(2500, self.remote_peer, reporting=("dc-1",))
        self.election.record_refusal(self.remote_peer)
        self.assertEqual({"dc-1": 5}, self.claims())

    def test_registered_daemon_keeps_its_data_centre_without_messages(self):
        self.start_remote_holder()
        self.assert_claims({}, 6000, reporting=("dc-1",))


class TestRecords(ElectionCase):
    """Recorded holders and daemons: newer ones replace older ones only."""

    def test_older_holder_is_ignored(self):
        self.assertTrue(self.record_holder("dc-0", self.local_peer, 5))
        self.assertFalse(self.record_holder("dc-0", self.remote_peer, 4))
        self.assertEqual("local", self.election.holder("dc-0").vm)

    def test_daemon_is_known_by_its_last_incarnation_only(self):
        self.receive_message(self.local_peer)
        restarted = make_daemon("local", incarnation="2")
        self.receive_message(restarted)
        self.assertIsNone(self.election.daemon("local", self.local_peer.incarnation))
        self.assertEqual(
            restarted, self.election.daemon("local", restarted.incarnation)
        )

    def test_all_daemons_compute_the_same_ranking(self):
        vms = [f"vm-{n}" for n in range(6)]
        ranks = set()
        for vm in vms:
            election = holder_election.HolderElection(
                make_daemon(vm), DATA_CENTRES, self.now
            )
            others = tuple(make_daemon(x) for x in vms)
            election.record_registrations(others, (), self.now)
            for other in others:
                if other.vm != vm:
                    election.record_message(other, False, self.now)
            ranks.add(election._rank("dc-0", self.now))
        self.assertEqual(set(range(6)), ranks)


class Fleet:
    """Elections that run on one store, which lists some daemons wrongly or not at all.

    All reach the store, and each hears those that it or they have contacted, unless
    connections between the two are refused.
    """

    def __init__(self, seed, refused_share=0.0):
        draw = random.Random(seed)
        self.clock = clock.ManualClock()
        daemon_ids = [(f"vm-{n}", draw.choice(DATA_CENTRES)) for n in range(4)]
        self.daemons = [make_daemon(vm, home, "2") for vm, home in daemon_ids]
        former = [make_daemon(vm, home) for vm, home in daemon_ids]
        self.listed = [
            draw.choice((None, old, new))
            for old, new in zip(former, self.daemons, strict=True)
        ]
        self.elections = [
            holder_election.HolderElection(x, DATA_CENTRES, self.clock.now())
            for x in self.daemons
        ]
        self.entries = {}
        self.revision = 10
        for data_centre in DATA_CENTRES:
            if draw.random() < 0.7:
                self._write(data_centre, draw.choice(former))
        self.changes = []
        self._reads_at = [draw.randrange(1, 12) for _ in self.daemons]
        pairs = itertools.combinations(range(len(self.daemons)), 2)
        self._refused = {frozenset(x) for x in pairs if draw.random() < refused_share}

    def _write(self, data_centre, daemon):
        self.revision += 1
        holder = daemons.Holder(
            data_centre, daemon.vm, daemon.incarnation, self.revision
        )
        self.entries[data_centre] = (holder, daemon)
        return holder

    def run(self, ms):
        """Let all act each 50 ms; record who becomes a holder, and when."""
        for step in range(ms // 50):
            self.clock.advance(MS(50))
            now = self.clock.now()
            contacts = [x.update_contacts(now) for x in self.elections]
            for number, election in enumerate(self.elections):
                self._listen(number, contacts)
                for data_centre in DATA_CENTRES:
                    election.record_worker_report(data_centre, now)
                if step % 12 == self._reads_at[number]:
                    self._read(election)
                for claim in election.next_claims(now):
                    self._claim(election, claim)

    def _listen(self, number, contacts):
        me, election = self.daemons[number], self.elections[number]
        for other, peer in enumerate(self.daemons):
            wanted = [x for x in contacts[number] if x.vm == peer.vm]
            if frozenset((number, other)) in self._refused:
                for daemon in wanted:
                    election.record_refusal(daemon)
            elif other != number and (wanted or me in contacts[other]):
                election.record_message(peer, False, self.clock.now())

    def _read(self, election):
        listed = tuple(x for x in self.listed if x is not None)
        holders = tuple(x for x, _ in self.entries.values())
        writers = {daemon for _, daemon in self.entries.values()}
        now = self.clock.now()
        election.record_registrations(
            listed, holders, now, tuple(writers - set(listed))
        )
        for holder in holders:
            election.record_holder(holder, now)

    def _claim(self, election, claim):
        present = self.entries.get(claim.data_centre)
        if claim.token == (present[0].token if present else 0):
            holder = self._write(claim.data_centre, election.me)
            self.changes.append((self.clock.now(), claim.data_centre, holder.vm))
            election.record_holder(holder, self.clock.now())


class TestStableHolders(testtools.TestCase):
    """Daemons that run and reach the store and each other keep the holder they have."""

    # Two that the store did not list were the holder in turn for as long as they ran.
    def test_holders_do_not_change_whomever_the_store_lists(self):
        for seed in range(200):
            with self.subTest(seed=seed):
                fleet = Fleet(seed)
                fleet.run(8000)
                vms = {k: holder.vm for k, (holder, _) in fleet.entries.items()}
                fleet.changes.clear()
                fleet.run(8000)
                self.assertEqual([], fleet.changes)
                self.assertEqual(set(DATA_CENTRES), set(vms))

    # Two that refused each other's connections were the holder in turn every 100 ms.
    def test_nobody_takes_turns_though_connections_are_refused(self):
        for seed in range(200):
            with self.subTest(seed=seed):
                fleet = Fleet(seed, refused_share=0.5)
                fleet.run(12_000)
                for data_centre in DATA_CENTRES:
                    tenures = [x for x in fleet.changes if x[1] == data_centre]
                    for first, _, again in zip(
                        tenures, tenures[1:], tenures[2:], strict=False
                    ):
                        if first[2] == again[2]:
                            self.assertGreater(again[0] - first[0], MS(3000))
