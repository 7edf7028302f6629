"""Tests of ownership: handover, restart and loss of an owner start nothing twice."""

import datetime
import itertools

import testtools

from carawaysail_bench import testing
from carawaysail_decisions import forwarding, handover, membership, ownership
from carawaysail_types import clock, errors, identifiers, outcomes

WINDOW = datetime.timedelta(minutes=10)
DONE = outcomes.Completed((b"1",))
DIGEST_A = ownership.digest_of(b"a")
DIGEST_B = ownership.digest_of(b"b")


class RegisterTestCase(testtools.TestCase):
    """Test case with an ownership register and a manual clock."""

    def setUp(self):
        super().setUp()
        self.clock = clock.ManualClock()
        self.register = self.make_register("0123456789abcdef")

    def make_register(self, incarnation, vm="e1"):
        now = self.clock.now()
        return ownership.OwnershipRegister("rosario", vm, incarnation, now, WINDOW)

    def make_id(self, local_id="order-1", register=None):
        owner = (register or self.register).owner(self.clock.now())
        return identifiers.SubmissionId(owner, local_id)

    def bind(self, sid, digest=DIGEST_A, register=None, attempt=0):
        register = register or self.register
        return register.bind(sid, digest, self.clock.now(), attempt)

    def assert_result(self, kind, result):
        self.assertIsInstance(result, kind)


class TestBinding(RegisterTestCase):
    """Copies of one submission at its owner."""

    def test_copies_join_the_first_and_get_its_answer(self):
        sid = self.make_id()
        self.assert_result(ownership.New, self.bind(sid))
        self.assert_result(ownership.InProgress, self.bind(sid))
        self.register.record_outcome(sid, DONE)
        self.assertEqual(ownership.Finished(DONE), self.bind(sid))

    def test_same_id_with_another_body_conflicts(self):
        sid = self.make_id()
        self.bind(sid, DIGEST_A)
        self.assert_result(ownership.Conflict, self.bind(sid, DIGEST_B))
        self.register.record_outcome(sid, DONE)
        self.assert_result(ownership.Conflict, self.bind(sid, DIGEST_B))

    def test_resubmission_after_the_window_is_not_started(self):
        sid = self.make_id()
        self.bind(sid)
        self.register.record_outcome(sid, DONE)
        self.clock.advance(datetime.timedelta(hours=3))
        self.assert_result(ownership.Expired, self.bind(sid))

    def test_first_copy_after_the_window_is_not_started(self):
        sid = self.make_id()
        self.clock.advance(WINDOW + datetime.timedelta(minutes=2))
        self.assert_result(ownership.Expired, self.bind(sid))

    def test_token_of_a_future_epoch_is_refused(self):
        sid = self.make_id()
        forged = sid._replace(owner=sid.owner._replace(epoch=99))
        self.assertRaises(errors.BadInputError, self.bind, forged)

    def test_unknown_is_replaced_by_a_later_outcome(self):
        sid = self.make_id()
        self.bind(sid)
        self.register.record_outcome(sid, outcomes.Unknown(outcomes.Reason.DEADLINE))
        self.register.record_outcome(sid, DONE)
        self.assertEqual(ownership.Finished(DONE), self.bind(sid))

    def test_submission_with_evicted_answer_is_still_recognised(self):
        self.register.tables[self.register.incarnation] = ownership.SubmissionTable(
            0, self.clock.now(), WINDOW, max_answer_bytes=5_000
        )
        large = outcomes.Completed((b"x" * 2_000,))
        for number in range(10):
            sid = self.make_id(f"order-{number}")
            self.bind(sid)
            self.register.record_outcome(sid, large)
        first = self.make_id("order-0")
        self.assert_result(ownership.Expired, self.bind(first))
        self.assertEqual(
            ownership.Expired(), self.register.status_of(first, self.clock.now())
        )
        last = self.make_id("order-9")
        self.assertEqual(ownership.Finished(large), self.bind(last))
        self.clock.advance(datetime.timedelta(minutes=2))
        self.assert_result(ownership.Expired, self.bind(first))

    def test_records_are_dropped_after_the_window(self):
        table = self.register.tables[self.register.incarnation]
        for number in range(50):
            sid = self.make_id(f"order-{number}")
            self.bind(sid)
            self.register.record_outcome(sid, DONE)
        self.assertEqual(50, table.known_count())
        self.clock.advance(WINDOW + datetime.timedelta(minutes=2))
        self.bind(self.make_id("later"))
        self.assertEqual(1, table.known_count())


class TestOtherOwners(RegisterTestCase):
    """Identifiers of other incarnations: restart, handover and orphans."""

    def test_restarted_daemon_starts_nothing_of_its_predecessor(self):
        sid = self.make_id()
        self.bind(sid)
        restarted = self.make_register("fedcba9876543210")
        result = self.bind(sid, register=restarted)
        self.assertEqual(ownership.OtherOwner(sid.owner), result)

    def test_successor_answers_known_and_starts_new_submissions(self):
        known, new = self.make_id("known"), self.make_id("new")
        self.bind(known)
        self.register.record_outcome(known, DONE)
        successor = self.make_register("fedcba9876543210", "e2")
        successor.inherit(self.register.hand_over(self.clock.now()), self.clock.now())
        self.assert_result(ownership.OtherOwner, self.bind(new))
        self.assertEqual(ownership.Finished(DONE), self.bind(known, register=successor))
        self.assert_result(ownership.New, self.bind(new, register=successor))

    # A resubmission was started although another daemon had bound the only copy before.
    def test_successor_starts_no_resubmission_that_it_does_not_know(self):
        successor = self.make_register("fedcba9876543210", "e2")
        lost = ownership.Finished(outcomes.Unknown(outcomes.Reason.OWNER_LOST))
        first, second = self.make_id("first"), self.make_id("second")
        successor.inherit(self.register.hand_over(self.clock.now()), self.clock.now())
        self.assertEqual(lost, self.bind(second, register=successor, attempt=2))
        late = self.bind(second, register=successor, attempt=1)
        self.assertEqual(lost, late)
        only = self.bind(first, register=successor, attempt=1)
        self.assert_result(ownership.New, only)
        resubmitted = self.bind(first, register=successor, attempt=2)
        self.assert_result(ownership.InProgress, resubmitted)
        own = self.make_id("own", successor)
        self.assert_result(ownership.New, self.bind(own, register=successor, attempt=2))

    # The successor reported a submission as never received that ran elsewhere.
    def test_successor_does_not_know_what_others_received(self):
        successor = self.make_register("fedcba9876543210", "e2")
        sid, own = self.make_id(), self.make_id("own", successor)
        successor.inherit(self.register.hand_over(self.clock.now()), self.clock.now())
        now = self.clock.now()
        self.assertEqual("unknown", successor.status_of(sid, now).outcome.tag)
        self.assertIsNone(successor.status_of(own, now))

    def test_repeated_handover_changes_nothing(self):
        snapshots = self.register.hand_over(self.clock.now())
        successor = self.make_register("fedcba9876543210", "e2")
        sid = self.make_id()
        successor.inherit(snapshots, self.clock.now())
        self.bind(sid, register=successor)
        successor.inherit(snapshots, self.clock.now())
        self.assert_result(ownership.InProgress, self.bind(sid, register=successor))

    def test_chunks_in_any_order_and_duplicates_make_the_table(self):
        known = [self.make_id(f"order-{n}") for n in range(40)]
        for sid in known:
            self.bind(sid)
            self.register.record_outcome(sid, DONE)
        (snapshot,) = self.register.hand_over(self.clock.now())
        chunks = handover.split_into_chunks(snapshot, 1_000)
        self.assertGreater(len(chunks), 4)
        successor = self.make_register("fedcba9876543210", "e2")
        for chunk in (*reversed(chunks[1:]), chunks[1]):
            successor.inherit_chunk(chunk, self.clock.now())
            result = self.bind(known[0], register=successor)
            self.assert_result(ownership.OtherOwner, result)
        successor.inherit_chunk(chunks[0], self.clock.now())
        found = [self.bind(sid, register=successor) for sid in known]
        self.assertEqual([ownership.Finished(DONE)] * 40, found)
        successor.inherit_chunk(chunks[0], self.clock.now())
        self.assert_result(
            ownership.New, self.bind(self.make_id("new"), register=successor)
        )

    def test_chunks_of_an_incomplete_table_are_dropped(self):
        snapshot = handover.TableSnapshot("a" * 16, 0, (), {1: b"12345678" * 2})
        first, last = handover.split_into_chunks(snapshot, 8)
        assembler = handover.ChunkAssembler(WINDOW)
        self.assertIsNone(assembler.add(first, self.clock.now()))
        self.clock.advance(2 * WINDOW)
        self.assertIsNone(assembler.add(last, self.clock.now()))
        self.assertEqual(snapshot, assembler.add(first, self.clock.now()))

    def test_answer_too_large_for_a_chunk_is_handed_over_as_a_hash(self):
        sid = self.make_id()
        self.bind(sid)
        self.register.record_outcome(sid, outcomes.Completed((b"x" * 2_000,)))
        (snapshot,) = self.register.hand_over(self.clock.now())
        successor = self.make_register("fedcba9876543210", "e2")
        for chunk in handover.split_into_chunks(snapshot, 1_000):
            successor.inherit_chunk(chunk, self.clock.now())
        self.assert_result(ownership.Expired, self.bind(sid, register=successor))

    def test_invalid_chunks_are_refused(self):
        snapshot = handover.TableSnapshot("a" * 16, 0, (), {})
        truncated_hash = snapshot._replace(evicted={1: b"123"})
        invalid = (
            (0, 0, snapshot),
            (2, 2, snapshot),
            (-1, 1, snapshot),
            (0, 1, truncated_hash),
        )
        for chunk in itertools.starmap(handover.Chunk, invalid):
            self.assertRaises(errors.BadInputError, handover.check_chunk, chunk)

    def test_unfinished_submission_is_handed_over_as_unknown(self):
        sid = self.make_id()
        self.bind(sid)
        successor = self.make_register("fedcba9876543210", "e2")
        successor.inherit(self.register.hand_over(self.clock.now()), self.clock.now())
        result = self.bind(sid, register=successor)
        self.assertEqual("unknown", result.outcome.tag)

    def test_successor_hands_over_inherited_tables(self):
        sid = self.make_id()
        self.bind(sid)
        self.register.record_outcome(sid, DONE)
        second = self.make_register("fedcba9876543210", "e2")
        second.inherit(self.register.hand_over(self.clock.now()), self.clock.now())
        third = self.make_register("00000000000000aa", "e3")
        third.inherit(second.hand_over(self.clock.now()), self.clock.now())
        self.assertEqual(ownership.Finished(DONE), self.bind(sid, register=third))

    def test_orphan_binds_one_identifier_only(self):
        orphan = testing.make_id("only")._replace(
            owner=testing.OWNER._replace(vm="e9", incarnation="9" * 16)
        )
        now = self.clock.now()
        self.assert_result(
            ownership.New, self.register.bind_orphan(orphan, DIGEST_A, now)
        )
        self.assert_result(
            ownership.InProgress, self.register.bind_orphan(orphan, DIGEST_A, now)
        )
        self.assert_result(
            ownership.Conflict, self.register.bind_orphan(orphan, DIGEST_B, now)
        )
        self.register.record_outcome(orphan, DONE)
        self.assertEqual(
            ownership.Finished(DONE), self.register.bind_orphan(orphan, DIGEST_A, now)
        )
        other = orphan._replace(local_id="other")
        self.assert_result(ownership.OtherOwner, self.bind(other))


class TestForwarding(testtools.TestCase):
    """Steps for a submission that another daemon owns."""

    def assert_outcome(self, tag, step):
        self.assertIsInstance(step, forwarding.Finish)
        self.assertEqual(tag, step.outcome.tag)

    def test_only_a_single_copy_of_a_lost_owner_is_bound_here(self):
        lost = membership.OwnerLocation("", lost=True)
        self.assert_outcome("unknown", forwarding.first_step(lost, "h:1", 0))
        self.assert_outcome("unknown", forwarding.first_step(lost, "h:1", 2))
        self.assertIsInstance(
            forwarding.first_step(lost, "h:1", 1), forwarding.BindHere
        )

    def test_address_of_the_settings_is_used_without_gossip(self):
        unknown_owner = membership.OwnerLocation("")
        self.assertEqual(
            forwarding.ForwardTo("h:1"), forwarding.first_step(unknown_owner, "h:1", 0)
        )
        self.assert_outcome("unknown", forwarding.first_step(unknown_owner, "", 0))
        self.assert_outcome("not_run", forwarding.first_step(unknown_owner, "", 1))

    def test_only_an_unsent_single_copy_is_not_run(self):
        for attempt, was_sent, tag in (
            (1, False, "not_run"),
            (1, True, "unknown"),
            (2, False, "unknown"),
            (0, False, "unknown"),
        ):
            step = forwarding.step_after_failure(attempt, was_sent, was_refused=False)
            self.assert_outcome(tag, step)
