"""Nodes: one entry daemon's decisions, joined by fakes instead of sockets."""

import datetime
import typing

from carawaysail_bench.proof import fakes, history, process, setups, simulation, targets
from carawaysail_decisions import (
    coordinator,
    events,
    forwarding,
    handover,
    membership,
    ownership,
    shares,
    submission_status,
    versions,
)
from carawaysail_entry import configuring, effective
from carawaysail_platform import errors
from carawaysail_settings import sections, text
from carawaysail_types import clock, outcomes, work

WINDOW = datetime.timedelta(minutes=10)
EXCHANGE = clock.milliseconds(6_000)
GOSSIP = clock.milliseconds(1_000)
POLL = clock.milliseconds(2_000)
READ = clock.milliseconds(500)
DRAIN = clock.milliseconds(300)


class Fleet(typing.TypedDict):
    """Who there is: nodes, targets by name, the store and the VM list."""

    nodes: dict[str, "Node"]
    targets: dict[str, fakes.Target]
    store: fakes.Store
    leaving_vms: set[str]
    list_is_out: bool


class Node(process.Process):
    """One entry daemon.

    Parameters
    ----------
    earth : simulation.World
        The world.
    fleet : Fleet
        Who there is.
    name, place : str
        Its name and data centre.
    parts : parts.Parts
        What it is made of.
    """

    def __init__(
        self,
        earth: simulation.World,
        fleet: Fleet,
        name: str,
        place: str,
        parts: setups.Parts,
    ) -> None:
        super().__init__(earth, name, place)
        self.is_leaving = False
        self._fleet = fleet
        self._parts = parts
        self._relays = 0
        self._waiting: dict[str, list[typing.Any]] = {}
        self._applied: typing.Any = None
        self._vm_leaving: tuple[str, ...] = ()

    def start(self) -> None:
        """Start a new incarnation, without memory."""
        now = self.earth.now()
        self.begin_life()
        self._demand = shares.ReportedDemand()
        self.is_leaving = False
        seed = f"{self.name}/{self.life}".encode()
        incarnation = ownership.digest_of(seed).hex()[:16]
        register = self._parts.register(self.place, self.name, incarnation, now, WINDOW)
        self.coordinator = coordinator.Coordinator(
            register, self._parts.dispatcher(self.life)
        )
        born_ms = int(now.timestamp() * 1000)
        me = membership.Record(
            self.name, self.place, incarnation, born_ms, self.name, self.name
        )
        seeds = tuple(x for x in self._fleet["nodes"] if x != self.name)
        self.members = membership.Members(me, seeds, self.life, now)
        self.versions = self._parts.versions()
        self._waiting = {}
        self._relays = 0
        self._applied = None
        self._vm_leaving = ()
        quotas = events.QuotasChanged({self._parts.limits.team: 1_000})
        self._apply(quotas)
        life = self.life
        self.earth.later(READ, lambda: self.in_life(life, self._read_store))
        self._round(life)
        self._poll(life)

    def restart(self) -> None:
        """End at once and start again at the same address, without memory."""
        self.kill()
        self.start()

    # Callers

    def take(
        self,
        submission: work.Submission,
        give: typing.Any,
    ) -> None:
        """Take a caller's copy; ``give`` takes its outcome."""
        name = str(submission.submission_id)
        self.earth.step("received", name, self)
        self.earth.step("checked", name, self)
        self.post(lambda: self._place(submission, give, is_orphan=False))

    def _place(
        self, submission: work.Submission, give: typing.Any, is_orphan: bool
    ) -> None:
        now = self.earth.now()
        life = self.life
        limits = self._parts.limits
        taken = self.coordinator.submit(submission, limits, is_orphan, now)
        state = taken.submission_status.state
        if state == submission_status.State.OTHER_OWNER:
            self._relay(submission, give)
            return
        name = str(submission.submission_id)
        if state == submission_status.State.IN_PROGRESS:
            self._waiting.setdefault(name, []).append(give)
        elif taken.submission_status.outcome is not None:
            give(taken.submission_status.outcome)
        if taken.actions:
            self.earth.step("bound", name, self)
            self.earth.step("queued", name, self)
        self.in_life(life, lambda: self._do(taken.actions))

    def _relay(self, submission: work.Submission, give: typing.Any) -> None:
        self._relays += 1

        def give_once(outcome: outcomes.Outcome) -> None:
            self._relays -= 1
            give(outcome)

        self._begin_relay(submission, give_once)

    def _begin_relay(self, submission: work.Submission, give: typing.Any) -> None:
        owner = submission.submission_id.owner
        located = self.members.locate(owner)
        address = owner.vm if owner.vm in self._fleet["nodes"] else ""
        step = self._parts.forwarding.first_step(located, address, submission.attempt)
        self._follow(step, submission, give)

    def _follow(
        self, step: forwarding.Step, submission: work.Submission, give: typing.Any
    ) -> None:
        if isinstance(step, forwarding.Finish):
            give(step.outcome)
        elif isinstance(step, forwarding.BindHere):
            self._place(submission, give, is_orphan=True)
        else:
            self._ask(step.address, submission, give)

    def _ask(self, address: str, submission: work.Submission, give: typing.Any) -> None:
        peer = self._fleet["nodes"][address]
        owner = submission.submission_id.owner
        attempt = submission.attempt

        def serve(answer: simulation.Give) -> None:
            peer.answer_forward(submission, answer)

        def got(value: submission_status.SubmissionStatus) -> None:
            if value.state == submission_status.State.OTHER_OWNER:
                self.members.record_dead(owner.vm, owner.incarnation)
                step = self._parts.forwarding.step_after_wrong_owner(attempt)
                self._follow(step, submission, give)
            elif value.outcome is not None:
                give(value.outcome)

        def fail(was_sent: bool, nobody_listens: bool) -> None:
            if nobody_listens:
                self.members.record_dead(owner.vm, owner.incarnation)
            step = self._parts.forwarding.step_after_failure(
                attempt, was_sent, nobody_listens
            )
            self._follow(step, submission, give)

        self.earth.exchange(self, peer, serve, got, fail, EXCHANGE)

    def answer_forward(
        self, submission: work.Submission, answer: simulation.Give
    ) -> None:
        """Answer a peer that passes a submission on."""
        now = self.earth.now()
        life = self.life
        limits = self._parts.limits
        taken = self.coordinator.submit(submission, limits, False, now)
        name = str(submission.submission_id)
        if taken.submission_status.state == submission_status.State.IN_PROGRESS:

            def give(outcome: outcomes.Outcome) -> None:
                answer(submission_status.ended(outcome))

            self._waiting.setdefault(name, []).append(give)
        else:
            answer(taken.submission_status)
        if taken.actions:
            self.earth.step("bound", name, self)
            self.earth.step("queued", name, self)
        self.in_life(life, lambda: self._do(taken.actions))

    def cancel(self, names: tuple[str, ...]) -> None:
        """Cancel submissions."""
        self._apply(events.SubmissionsCancelled(names))

    # Actions

    def tell(self, event: events.Event) -> None:
        """Take an event from a target."""
        self._apply(event)

    def _apply(self, event: events.Event) -> None:
        self._do(self.coordinator.handle(event, self.earth.now()))

    def _do(self, actions: list[events.Action]) -> None:
        life = self.life
        for action in actions:
            if not self.is_alive or self.life != life:
                return
            if isinstance(action, events.SendBatch):
                self._send(action)
            elif isinstance(action, events.StopTasks):
                self._fleet["targets"][action.target_id].stop(action.tasks)
            elif isinstance(action, events.ReportOutcome):
                self._answer(action)
            else:
                self._wake_at(action.at)

    def _send(self, action: events.SendBatch) -> None:
        name = action.tasks[0].task_id.submission
        life = self.life
        self.earth.step("slot_granted", name, self)
        target = self._fleet["targets"][action.target_id]

        def send() -> None:
            target.take(self, action, self.tell)
            self.earth.step("sent", name, self)

        self.in_life(life, send)

    def _answer(self, action: events.ReportOutcome) -> None:
        name = str(action.submission)
        waiting = self._waiting.pop(name, [])
        life = self.life
        self.earth.step("answered", name, self)
        for give in waiting:

            def call(give: typing.Any = give) -> None:
                give(action.outcome)

            self.in_life(life, call)
        self.earth.step("remembered", name, self)

    def _wake_at(self, at: datetime.datetime) -> None:
        life = self.life
        wait = max(datetime.timedelta(), at - self.earth.now())
        tick = lambda: self._apply(events.TimerFired())  # noqa: E731
        self.earth.later(wait, lambda: self.in_life(life, tick))

    # Gossip

    def _round(self, life: int) -> None:
        def act() -> None:
            dispatch = self.coordinator.dispatcher
            now = self.earth.now()
            leaving = {*dispatch.leaving(now), *self._vm_leaving}
            self.members.update_own_record(
                demand=self._demand.record_tasks(dispatch.demand(), now),
                settings=self.versions.digest(),
                ejected=dispatch.ejected(now),
                leaving=tuple(sorted(leaving)),
            )
            for address in self.members.tick(now):
                self._gossip(self._fleet["nodes"][address])
            self._apply_shares()

        if self.life != life or not self.is_alive:
            return
        self.post(act)
        self.earth.later(self.members.gossip_period(), lambda: self._round(life))

    def _gossip(self, peer: "Node") -> None:
        message = self.members.gossip(peer.place)

        def serve(answer: simulation.Give) -> None:
            peer._took(message)
            answer(peer.members.gossip(self.place))

        def fail(was_sent: bool, nobody_listens: bool) -> None:
            known = self.members.record_at(peer.name)
            if nobody_listens and known is not None:
                self.members.record_dead(known.vm, known.incarnation)

        self.earth.exchange(self, peer, serve, self._took, fail, GOSSIP)

    def _took(self, gossip: membership.Gossip) -> None:
        self.members.merge_gossip(gossip, self.earth.now())
        mine = self.versions.digest()
        for record in gossip.records:
            current = self.members.record_at(record.peer)
            if current is not None and current.settings not in ("", mine):
                self._pull(self._fleet["nodes"][record.peer])

    def _pull(self, peer: "Node") -> None:
        revisions = self.versions.revisions()

        def serve(answer: simulation.Give) -> None:
            answer(peer.versions.newer_than(revisions))

        def fail(was_sent: bool, nobody_listens: bool) -> None:
            """Leave it to the next gossip."""

        self.earth.exchange(self, peer, serve, self.accept, fail, GOSSIP)

    def _apply_shares(self) -> None:
        alive = self.members.alive(self.earth.now())
        demands = tuple(shares.Demand(x.vm, x.demand) for x in alive)
        leaving = {name for record in alive for name in record.leaving}
        leaving.update(self.members.own_record.leaving, self._leaving_by_settings())
        key = (demands, frozenset(leaving))
        if key == self._applied:
            return
        self._applied = key
        described = tuple(
            targets.make_spec(target, target.name in leaving)
            for target in self._fleet["targets"].values()
            if target.place == self.place
        )
        found = shares.compute_shares(self.name, described, demands)
        self._apply(events.TargetsChanged(described, found))

    # Settings and the VM list

    def _leaving_by_settings(self) -> set[str]:
        parts = {
            section.name: text.parse(section.name, section.text)
            for section in self.versions.sections()
        }
        cfg = sections.join(parts)
        found = effective.target_specs(cfg, self.place)
        return {spec.target_id for spec in found if spec.leaving}

    def accept(self, given: tuple[versions.Section, ...]) -> None:
        """Take over newer sections."""
        now = self.earth.now()
        taken = []
        for section in given:
            if self.versions.accept(section, now):
                taken.append(section)
                daemon = f"{self.name}/{self.life}"
                self.earth.history.append(
                    history.InForce(now, daemon, section.name, section.revision)
                )
        if not taken:
            return
        for section in taken:
            self.earth.step("in_force", section.name, self)
        self._apply_shares()

    def hear_later(self, items: typing.Any) -> simulation.Call:
        """Return the call that brings a watch's news to this incarnation."""
        life = self.life

        def hear() -> None:
            given = tuple(_section(item) for item in items)
            for section in given:
                self.earth.step("watched", section.name, self)
            self.in_life(life, lambda: self._spread(given))

        return hear

    def _spread(self, given: tuple[versions.Section, ...]) -> None:
        self.accept(given)
        for record in self.members.alive(self.earth.now()):
            if record.vm != self.name:
                self._push(self._fleet["nodes"][record.peer], given)

    def _push(self, peer: "Node", given: tuple[versions.Section, ...]) -> None:
        def serve(answer: simulation.Give) -> None:
            self.earth.step("relayed", given[0].name, peer)
            peer.accept(given)
            answer(None)

        def nothing(*args: object) -> None:
            """Leave the rest to the gossip."""

        self.earth.exchange(self, peer, serve, nothing, nothing, GOSSIP)

    def _read_store(self) -> None:
        """Read the store now and again while this node watches."""
        store = self._fleet["store"]
        life = self.life
        is_watcher = self.members.is_watcher(self.earth.now())
        if is_watcher and not self.earth.is_cut(self, store):
            try:
                snapshot = store.read(sections.STORE_PREFIX)
                self._spread(tuple(_section(item) for item in snapshot.items))
                if self not in store.watchers:
                    store.watchers.append(self)
            except errors.StoreUnavailableError:
                pass
        self.earth.later(POLL, lambda: self.in_life(life, self._read_store))

    def _poll(self, life: int) -> None:
        def act() -> None:
            is_watcher = self.members.is_watcher(self.earth.now())
            if is_watcher and not self._fleet["list_is_out"]:
                self._vm_leaving = tuple(sorted(self._fleet["leaving_vms"]))

        if self.life != life or not self.is_alive:
            return
        self.post(act)
        self.earth.later(POLL, lambda: self._poll(life))

    # Graceful end

    def end(self) -> None:
        """End gracefully: drain, hand over, then go."""
        self.is_leaving = True
        self.members.update_own_record(state=membership.LEAVING)
        self._announce()
        life = self.life
        self.earth.later(DRAIN, lambda: self.in_life(life, self._drain))

    def _announce(self) -> None:
        for record, _ in self.members.all_records(self.earth.now()):
            if record.vm != self.name and record.state != membership.GONE:
                self._gossip(self._fleet["nodes"][record.peer])

    def _drain(self) -> None:
        self._apply(events.DrainRequested())
        self._until_idle()

    def _until_idle(self) -> None:
        life = self.life
        is_busy = self._relays or self.coordinator.dispatcher.unfinished()
        if self._parts.waits_until_idle and is_busy:
            again = lambda: self.in_life(life, self._until_idle)  # noqa: E731
            self.earth.later(clock.milliseconds(50), again)
            return
        heir = self.members.choose_successor(self.earth.now())
        if heir is None:
            self._go()
            return
        memories = self.coordinator.register.hand_over(self.earth.now())
        size = self._parts.piece_bytes
        pieces = [
            x for memory in memories for x in handover.split_into_chunks(memory, size)
        ]
        self._hand_over(self._fleet["nodes"][heir.peer], pieces, 5)

    def _hand_over(self, heir: "Node", pieces: typing.Any, tries: int) -> None:
        def serve(answer: simulation.Give) -> None:
            heir.adopt(pieces[0])
            answer(None)

        def fail(was_sent: bool, nobody_listens: bool) -> None:
            if tries > 1:
                self._hand_over(heir, pieces, tries - 1)
            else:
                self._go()

        def done(value: object) -> None:
            self._hand_over(heir, pieces[1:], 5) if pieces[1:] else self._go()

        self.earth.exchange(self, heir, serve, done, fail, GOSSIP)

    def adopt(self, piece: handover.Chunk) -> None:
        """Take a piece of the memory of an incarnation that ends."""
        register = self.coordinator.register
        register.inherit_chunk(piece, self.earth.now())
        inherited = tuple(x for x in register.tables if x != register.incarnation)
        self.members.update_own_record(inherited=inherited)

    def _go(self) -> None:
        self.members.update_own_record(state=membership.GONE)
        self._announce()
        life = self.life

        def last() -> None:
            self.is_alive = False

        wait = clock.milliseconds(50)
        self.earth.later(wait, lambda: self.in_life(life, last))


def _section(item: typing.Any) -> versions.Section:
    content = configuring.section_text(item)
    return versions.Section(
        item.key[len(sections.STORE_PREFIX) :], item.revision, content
    )
