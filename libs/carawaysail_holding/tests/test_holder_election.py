"""Tenures: who tries to hold a data centre's workers, and when."""

import testtools

from carawaysail_holding import holder_election
from carawaysail_types import clock, daemons

MS = clock.milliseconds
PLACES = ("dc-0", "dc-1")


def make_daemon(name, place="dc-0", life="1"):
    """Return a daemon."""
    return daemons.Daemon(name, place, f"{name}-{life}", f"{name}:1")


class TenureCase(testtools.TestCase):
    """Helpers around what one daemon believes."""

    def setUp(self):
        super().setUp()
        self.clock = clock.ManualClock()
        self.me = make_daemon("me")
        self.mate = make_daemon("mate")
        self.far = make_daemon("far", "dc-1")
        self.view = holder_election.HolderElection(self.me, PLACES, self.clock.now())

    @property
    def now(self):
        return self.clock.now()

    def list_all(self, *others):
        self.view.record_registrations((self.me, *others), (), self.now)

    def hear(self, *others, is_leaving=False):
        for other in others:
            self.view.record_message(other, is_leaving, self.now)

    def pass_time(self, ms, *heard, beating=()):
        """Let time pass, with heartbeats of some daemons and workers."""
        for _ in range(ms // 100):
            self.clock.advance(MS(100))
            self.hear(*heard)
            for place in beating:
                self.view.record_worker_report(place, self.now)

    def learn(self, place, daemon, token):
        known = daemons.Holder(place, daemon.vm, daemon.incarnation, token)
        return self.view.record_holder(known, self.now)

    def claims(self):
        return {x.data_centre: x.token for x in self.view.next_claims(self.now)}

    def assert_claims(self, expected, ms=1300, *heard, **fields):
        """Check what is claimed within some time, whoever's turn it is."""
        found = {}
        for _ in range(ms // 100):
            self.pass_time(100, *heard, **fields)
            found.update(self.claims())
        self.assertEqual(expected, found)


class TestOwnDataCentre(TenureCase):
    """The data centre that a daemon is in."""

    def test_vacant_tenure_is_claimed(self):
        self.assert_claims({"dc-0": 0})

    def test_living_holder_is_left_alone(self):
        self.list_all(self.mate)
        self.learn("dc-0", self.mate, 5)
        self.assert_claims({}, 5000, self.mate)

    def test_leaving_holder_is_replaced(self):
        self.list_all(self.mate)
        self.learn("dc-0", self.mate, 5)
        self.hear(self.mate, is_leaving=True)
        self.assertEqual({"dc-0": 5}, self.claims())

    def test_holder_that_refuses_connections_is_replaced(self):
        self.list_all(self.mate)
        self.hear(self.mate)
        self.learn("dc-0", self.mate, 5)
        self.view.record_refusal(self.mate)
        self.assertEqual({"dc-0": 5}, self.claims())

    def test_restarted_holder_is_replaced(self):
        self.list_all(self.mate)
        self.learn("dc-0", self.mate, 5)
        self.pass_time(400, make_daemon("mate", life="2"))
        self.assert_claims({"dc-0": 5}, 1300, make_daemon("mate", life="2"))

    def test_silent_holder_is_replaced_after_the_least_tenure(self):
        self.list_all(self.mate)
        self.hear(self.mate)
        self.learn("dc-0", self.mate, 5)
        self.assert_claims({}, 3000)
        self.assert_claims({"dc-0": 5}, 1500)

    def test_leaving_daemon_claims_nothing(self):
        self.view.is_leaving = True
        self.assert_claims({})

    def test_tenure_comes_home_after_a_while(self):
        self.list_all(self.far)
        self.learn("dc-0", self.far, 5)
        self.assert_claims({}, 3000, self.far)
        self.assert_claims({"dc-0": 5}, 1500, self.far)


class TestOtherDataCentres(TenureCase):
    """Data centres whose daemons seem to be gone."""

    def lose_far(self):
        self.list_all(self.far)
        self.hear(self.far)
        self.learn("dc-1", self.far, 5)
        self.learn("dc-0", self.me, 6)

    def test_cut_off_data_centre_is_left_to_its_holder(self):
        self.lose_far()
        self.pass_time(3000)
        self.list_all()
        self.assert_claims({}, 3000)

    def test_data_centre_that_comes_back_is_not_taken_at_once(self):
        self.lose_far()
        self.pass_time(3000)
        self.list_all()
        self.pass_time(2500)
        self.assert_claims({}, 1500, beating=("dc-1",))

    def test_data_centre_without_daemons_is_taken(self):
        self.lose_far()
        self.pass_time(3000, beating=("dc-1",))
        self.list_all()
        self.assert_claims({"dc-1": 5}, 3500, beating=("dc-1",))

    def test_data_centre_of_a_dead_process_is_taken_at_once(self):
        self.lose_far()
        self.pass_time(2500, self.far, beating=("dc-1",))
        self.view.record_refusal(self.far)
        self.assertEqual({"dc-1": 5}, self.claims())

    def test_listed_daemon_keeps_its_data_centre_though_it_is_not_heard(self):
        self.lose_far()
        self.assert_claims({}, 6000, beating=("dc-1",))


class TestKnowledge(TenureCase):
    """Newer tenures replace older ones, never the other way."""

    def test_older_tenure_is_passed_over(self):
        self.assertTrue(self.learn("dc-0", self.mate, 5))
        self.assertFalse(self.learn("dc-0", self.far, 4))
        self.assertEqual("mate", self.view.holder("dc-0").vm)

    def test_daemon_is_known_by_its_present_life_only(self):
        self.hear(self.mate)
        later = make_daemon("mate", life="2")
        self.hear(later)
        self.assertIsNone(self.view.daemon("mate", self.mate.incarnation))
        self.assertEqual(later, self.view.daemon("mate", later.incarnation))

    def test_same_seed_of_names_gives_the_same_order_everywhere(self):
        names = [f"vm-{n}" for n in range(6)]
        ranks = set()
        for name in names:
            view = holder_election.HolderElection(make_daemon(name), PLACES, self.now)
            others = tuple(make_daemon(x) for x in names)
            view.record_registrations(others, (), self.now)
            for other in others:
                if other.vm != name:
                    view.record_message(other, False, self.now)
            ranks.add(view._rank("dc-0", self.now))
        self.assertEqual(set(range(6)), ranks)
