"""Who may start a submission: the scenarios in which memory and views fail."""

import datetime
import itertools

import testtools

from carawaysail_bench import testing
from carawaysail_decisions import forwarding, handover, membership, ownership
from carawaysail_types import clock, errors, identifiers, outcomes

WINDOW = datetime.timedelta(minutes=10)
DONE = outcomes.Completed((b"1",))
A = ownership.digest_of(b"a")
B = ownership.digest_of(b"b")


class RegisterCase(testtools.TestCase):
    """A register with a clock."""

    def setUp(self):
        super().setUp()
        self.clock = clock.ManualClock()
        self.register = self.make_register("0123456789abcdef")

    def make_register(self, incarnation, vm="e1"):
        now = self.clock.now()
        return ownership.OwnershipRegister("rosario", vm, incarnation, now, WINDOW)

    def make_id(self, own="order-1", register=None):
        owner = (register or self.register).owner(self.clock.now())
        return identifiers.SubmissionId(owner, own)

    def bind(self, sid, digest=A, register=None):
        return (register or self.register).bind(sid, digest, self.clock.now())

    def assert_verdict(self, kind, verdict):
        self.assertIsInstance(verdict, kind)


class TestOffers(RegisterCase):
    """Copies of one submission at its owner."""

    def test_first_starts_second_joins_third_gets_the_answer(self):
        sid = self.make_id()
        self.assert_verdict(ownership.New, self.bind(sid))
        self.assert_verdict(ownership.InProgress, self.bind(sid))
        self.register.record_outcome(sid, DONE)
        self.assertEqual(ownership.Finished(DONE), self.bind(sid))

    def test_same_id_with_another_body(self):
        sid = self.make_id()
        self.bind(sid, A)
        self.assert_verdict(ownership.Conflict, self.bind(sid, B))
        self.register.record_outcome(sid, DONE)
        self.assert_verdict(ownership.Conflict, self.bind(sid, B))

    def test_resubmission_hours_later_is_never_started(self):
        sid = self.make_id()
        self.bind(sid)
        self.register.record_outcome(sid, DONE)
        self.clock.advance(datetime.timedelta(hours=3))
        self.assert_verdict(ownership.Expired, self.bind(sid))

    def test_late_first_copy_of_an_old_token_is_never_started(self):
        sid = self.make_id()
        self.clock.advance(WINDOW + datetime.timedelta(minutes=2))
        self.assert_verdict(ownership.Expired, self.bind(sid))

    def test_token_of_the_future_was_never_given(self):
        sid = self.make_id()
        forged = sid._replace(owner=sid.owner._replace(epoch=99))
        self.assertRaises(errors.BadInputError, self.bind, forged)

    def test_unknown_is_replaced_by_what_is_learned(self):
        sid = self.make_id()
        self.bind(sid)
        self.register.record_outcome(sid, outcomes.Unknown(outcomes.Reason.DEADLINE))
        self.register.record_outcome(sid, DONE)
        self.assertEqual(ownership.Finished(DONE), self.bind(sid))

    def test_evicted_answers_are_still_recognised(self):
        self.register.tables[self.register.incarnation] = ownership.SubmissionTable(
            0, self.clock.now(), WINDOW, max_answer_bytes=5_000
        )
        large = outcomes.Completed((b"x" * 2_000,))
        for number in range(10):
            sid = self.make_id(f"order-{number}")
            self.bind(sid)
            self.register.record_outcome(sid, large)
        first = self.make_id("order-0")
        self.assert_verdict(ownership.Expired, self.bind(first))
        self.assertEqual(
            ownership.Expired(), self.register.status_of(first, self.clock.now())
        )
        last = self.make_id("order-9")
        self.assertEqual(ownership.Finished(large), self.bind(last))
        self.clock.advance(datetime.timedelta(minutes=2))
        self.assert_verdict(ownership.Expired, self.bind(first))

    def test_memory_is_dropped_after_the_window(self):
        table = self.register.tables[self.register.incarnation]
        for number in range(50):
            sid = self.make_id(f"order-{number}")
            self.bind(sid)
            self.register.record_outcome(sid, DONE)
        self.assertEqual(50, table.known_count())
        self.clock.advance(WINDOW + datetime.timedelta(minutes=2))
        self.bind(self.make_id("later"))
        self.assertEqual(1, table.known_count())


class TestOtherOwners(RegisterCase):
    """Identifiers of other incarnations."""

    def test_restart_at_the_same_address_starts_nothing_old(self):
        sid = self.make_id()
        self.bind(sid)
        reborn = self.make_register("fedcba9876543210")
        verdict = self.bind(sid, register=reborn)
        self.assertEqual(ownership.OtherOwner(sid.owner), verdict)

    def test_heir_answers_and_starts_what_never_came(self):
        known, new = self.make_id("known"), self.make_id("new")
        self.bind(known)
        self.register.record_outcome(known, DONE)
        heir = self.make_register("fedcba9876543210", "e2")
        heir.inherit(self.register.hand_over(self.clock.now()), self.clock.now())
        self.assert_verdict(ownership.OtherOwner, self.bind(new))
        self.assertEqual(ownership.Finished(DONE), self.bind(known, register=heir))
        self.assert_verdict(ownership.New, self.bind(new, register=heir))

    def test_repeated_handover_changes_nothing(self):
        snapshots = self.register.hand_over(self.clock.now())
        heir = self.make_register("fedcba9876543210", "e2")
        sid = self.make_id()
        heir.inherit(snapshots, self.clock.now())
        self.bind(sid, register=heir)
        heir.inherit(snapshots, self.clock.now())
        self.assert_verdict(ownership.InProgress, self.bind(sid, register=heir))

    def test_pieces_in_any_order_and_doubled_make_the_book(self):
        known = [self.make_id(f"order-{n}") for n in range(40)]
        for sid in known:
            self.bind(sid)
            self.register.record_outcome(sid, DONE)
        (snapshot,) = self.register.hand_over(self.clock.now())
        chunks = handover.split_into_chunks(snapshot, 1_000)
        self.assertGreater(len(chunks), 4)
        heir = self.make_register("fedcba9876543210", "e2")
        for chunk in (*reversed(chunks[1:]), chunks[1]):
            heir.inherit_chunk(chunk, self.clock.now())
            verdict = self.bind(known[0], register=heir)
            self.assert_verdict(ownership.OtherOwner, verdict)
        heir.inherit_chunk(chunks[0], self.clock.now())
        found = [self.bind(sid, register=heir) for sid in known]
        self.assertEqual([ownership.Finished(DONE)] * 40, found)
        heir.inherit_chunk(chunks[0], self.clock.now())
        self.assert_verdict(
            ownership.New, self.bind(self.make_id("new"), register=heir)
        )

    def test_pieces_that_stay_alone_are_dropped(self):
        snapshot = handover.TableSnapshot("a" * 16, 0, (), {1: b"12345678" * 2})
        first, last = handover.split_into_chunks(snapshot, 8)
        gathering = handover.ChunkAssembler(WINDOW)
        self.assertIsNone(gathering.add(first, self.clock.now()))
        self.clock.advance(2 * WINDOW)
        self.assertIsNone(gathering.add(last, self.clock.now()))
        self.assertEqual(snapshot, gathering.add(first, self.clock.now()))

    def test_an_answer_too_large_for_a_piece_is_handed_over_as_a_hash(self):
        sid = self.make_id()
        self.bind(sid)
        self.register.record_outcome(sid, outcomes.Completed((b"x" * 2_000,)))
        (snapshot,) = self.register.hand_over(self.clock.now())
        heir = self.make_register("fedcba9876543210", "e2")
        for chunk in handover.split_into_chunks(snapshot, 1_000):
            heir.inherit_chunk(chunk, self.clock.now())
        self.assert_verdict(ownership.Expired, self.bind(sid, register=heir))

    def test_nonsense_pieces_are_refused(self):
        snapshot = handover.TableSnapshot("a" * 16, 0, (), {})
        cut_hash = snapshot._replace(evicted={1: b"123"})
        nonsense = (
            (0, 0, snapshot),
            (2, 2, snapshot),
            (-1, 1, snapshot),
            (0, 1, cut_hash),
        )
        for chunk in itertools.starmap(handover.Chunk, nonsense):
            self.assertRaises(errors.BadInputError, handover.check_chunk, chunk)

    def test_unfinished_work_is_handed_over_as_unknown(self):
        sid = self.make_id()
        self.bind(sid)
        heir = self.make_register("fedcba9876543210", "e2")
        heir.inherit(self.register.hand_over(self.clock.now()), self.clock.now())
        verdict = self.bind(sid, register=heir)
        self.assertEqual("unknown", verdict.outcome.tag)

    def test_heir_of_an_heir(self):
        sid = self.make_id()
        self.bind(sid)
        self.register.record_outcome(sid, DONE)
        second = self.make_register("fedcba9876543210", "e2")
        second.inherit(self.register.hand_over(self.clock.now()), self.clock.now())
        third = self.make_register("00000000000000aa", "e3")
        third.inherit(second.hand_over(self.clock.now()), self.clock.now())
        self.assertEqual(ownership.Finished(DONE), self.bind(sid, register=third))

    def test_stray_binds_one_identifier_only(self):
        lost = testing.make_id("only")._replace(
            owner=testing.OWNER._replace(vm="e9", incarnation="9" * 16)
        )
        now = self.clock.now()
        self.assert_verdict(ownership.New, self.register.bind_orphan(lost, A, now))
        self.assert_verdict(
            ownership.InProgress, self.register.bind_orphan(lost, A, now)
        )
        self.assert_verdict(ownership.Conflict, self.register.bind_orphan(lost, B, now))
        self.register.record_outcome(lost, DONE)
        self.assertEqual(
            ownership.Finished(DONE), self.register.bind_orphan(lost, A, now)
        )
        other = lost._replace(local_id="other")
        self.assert_verdict(ownership.OtherOwner, self.bind(other))


class TestRelaying(testtools.TestCase):
    """What a daemon does with another owner's submission."""

    def assert_outcome(self, tag, step):
        self.assertIsInstance(step, forwarding.Finish)
        self.assertEqual(tag, step.outcome.tag)

    def test_lost_owner(self):
        lost = membership.OwnerLocation("", lost=True)
        self.assert_outcome("unknown", forwarding.first_step(lost, "h:1", 0))
        self.assert_outcome("unknown", forwarding.first_step(lost, "h:1", 2))
        self.assertIsInstance(
            forwarding.first_step(lost, "h:1", 1), forwarding.BindHere
        )

    def test_settings_give_the_address_before_gossip_does(self):
        nobody = membership.OwnerLocation("")
        self.assertEqual(
            forwarding.ForwardTo("h:1"), forwarding.first_step(nobody, "h:1", 0)
        )
        self.assert_outcome("unknown", forwarding.first_step(nobody, "", 0))
        self.assert_outcome("not_run", forwarding.first_step(nobody, "", 1))

    def test_only_an_unsent_only_copy_is_not_run(self):
        for attempt, was_sent, tag in (
            (1, False, "not_run"),
            (1, True, "unknown"),
            (2, False, "unknown"),
            (0, False, "unknown"),
        ):
            step = forwarding.step_after_failure(attempt, was_sent, was_refused=False)
            self.assert_outcome(tag, step)
