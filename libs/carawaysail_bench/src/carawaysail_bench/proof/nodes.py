"""Simulated entry daemons: the real decisions, with fakes instead of sockets."""

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
from carawaysail_entry import effective_settings, settings_task
from carawaysail_platform import errors
from carawaysail_settings import json_text, sections
from carawaysail_types import clock, outcomes, work

RETENTION = datetime.timedelta(minutes=10)
"""How long the ownership register keeps outcomes."""

FORWARD_TIMEOUT = clock.milliseconds(6_000)
PEER_TIMEOUT = clock.milliseconds(1_000)
POLL_INTERVAL = clock.milliseconds(2_000)
FIRST_READ_DELAY = clock.milliseconds(500)
DRAIN_DELAY = clock.milliseconds(300)


class SimulatedFleet(typing.TypedDict):
    """Nodes and targets by name, the store, and the state of the VM list."""

    nodes: dict[str, "Node"]
    targets: dict[str, fakes.Target]
    store: fakes.Store
    leaving_vms: set[str]
    list_is_out: bool


class Node(process.Process):
    """One entry daemon.

    Parameters
    ----------
    sim : simulation.Simulation
        Clock, event queue and network.
    fleet : SimulatedFleet
        The other processes.
    name, data_centre : str
        Its name, which is also its VM and peer address, and its data centre.
    setup : setups.NodeSetup
        The decision code that it runs.
    """

    def __init__(
        self,
        sim: simulation.Simulation,
        fleet: SimulatedFleet,
        name: str,
        data_centre: str,
        setup: setups.NodeSetup,
    ) -> None:
        super().__init__(sim, name, data_centre)
        self.is_leaving = False
        self._ended_gracefully: set[int] = set()
        self._fleet = fleet
        self._setup = setup
        self._forwarded = 0
        self._outcome_callbacks: dict[str, list[typing.Any]] = {}
        self._applied_key: typing.Any = None
        self._leaving_vms: tuple[str, ...] = ()

    def start(self) -> None:
        """Start a new incarnation with empty state."""
        now = self.sim.now()
        self.start_incarnation()
        self._demand = shares.ReportedDemand()
        self.is_leaving = False
        seed = f"{self.name}/{self.incarnation}".encode()
        incarnation_id = ownership.digest_of(seed).hex()[:16]
        register = self._setup.register(
            self.data_centre, self.name, incarnation_id, now, RETENTION
        )
        self.coordinator = coordinator.Coordinator(
            register, self._setup.dispatcher(self.incarnation)
        )
        born_ms = int(now.timestamp() * 1000)
        own_record = membership.Record(
            self.name, self.data_centre, incarnation_id, born_ms, self.name, self.name
        )
        seeds = tuple(x for x in self._fleet["nodes"] if x != self.name)
        self.members = membership.Members(own_record, seeds, self.incarnation, now)
        self.versions = self._setup.versions()
        self._outcome_callbacks = {}
        self._forwarded = 0
        self._applied_key = None
        self._leaving_vms = ()
        quotas = events.QuotasChanged({self._setup.service_settings.team: 1_000})
        self._handle(quotas)
        incarnation = self.incarnation
        self.sim.schedule(
            FIRST_READ_DELAY, lambda: self.post_to(incarnation, self._poll_store)
        )
        self._gossip_round(incarnation)
        self._poll_vm_list(incarnation)

    def restart(self) -> None:
        """Kill the node and start it at the same address with empty state."""
        self.kill()
        self.start()

    # Callers

    def receive(self, submission: work.Submission, reply: typing.Any) -> None:
        """Receive a caller's copy; ``reply`` sends the outcome to the caller."""
        name = str(submission.submission_id)
        self.sim.reach_step("received", name, self)
        self.sim.reach_step("checked", name, self)
        self.post(lambda: self._submit(submission, reply, is_orphan=False))

    def _submit(
        self, submission: work.Submission, reply: typing.Any, is_orphan: bool
    ) -> None:
        now = self.sim.now()
        incarnation = self.incarnation
        service_settings = self._setup.service_settings
        result = self.coordinator.submit(submission, service_settings, is_orphan, now)
        state = result.status.state
        if state == submission_status.State.OTHER_OWNER:
            self._forward(submission, reply)
            return
        name = str(submission.submission_id)
        if state == submission_status.State.IN_PROGRESS:
            self._outcome_callbacks.setdefault(name, []).append(reply)
        elif result.status.outcome is not None:
            reply(result.status.outcome)
        if result.actions:
            self.sim.reach_step("bound", name, self)
            self.sim.reach_step("queued", name, self)
        self.post_to(incarnation, lambda: self._execute(result.actions))

    def _forward(self, submission: work.Submission, reply: typing.Any) -> None:
        self._forwarded += 1

        def finish_forwarding(outcome: outcomes.Outcome) -> None:
            self._forwarded -= 1
            reply(outcome)

        self._start_forwarding(submission, finish_forwarding)

    def _start_forwarding(self, submission: work.Submission, reply: typing.Any) -> None:
        owner = submission.submission_id.owner
        located = self.members.locate(owner)
        vm = owner.vm if owner.vm in self._fleet["nodes"] else ""
        step = self._setup.forwarding.first_step(located, vm, submission.attempt)
        self._execute_step(step, submission, reply)

    def _execute_step(
        self, step: forwarding.Step, submission: work.Submission, reply: typing.Any
    ) -> None:
        if isinstance(step, forwarding.Finish):
            reply(step.outcome)
        elif isinstance(step, forwarding.BindHere):
            self._submit(submission, reply, is_orphan=True)
        else:
            self._send_to(step.address, submission, reply)

    def _send_to(self, vm: str, submission: work.Submission, reply: typing.Any) -> None:
        peer = self._fleet["nodes"][vm]
        owner = submission.submission_id.owner
        attempt = submission.attempt

        def handle(answer: simulation.Reply) -> None:
            peer.on_forward(submission, answer)

        def on_status(value: submission_status.SubmissionStatus) -> None:
            if value.state == submission_status.State.OTHER_OWNER:
                self.members.record_dead(owner.vm, owner.incarnation)
                step = self._setup.forwarding.step_after_wrong_owner(attempt)
                self._execute_step(step, submission, reply)
            elif value.outcome is not None:
                reply(value.outcome)

        def fail(was_sent: bool, was_refused: bool) -> None:
            if was_refused:
                self.members.record_dead(owner.vm, owner.incarnation)
            step = self._setup.forwarding.step_after_failure(
                attempt, was_sent, was_refused
            )
            self._execute_step(step, submission, reply)

        self.sim.exchange(self, peer, handle, on_status, fail, FORWARD_TIMEOUT)

    def on_forward(self, submission: work.Submission, answer: simulation.Reply) -> None:
        """Answer a peer that forwards a submission."""
        now = self.sim.now()
        incarnation = self.incarnation
        service_settings = self._setup.service_settings
        result = self.coordinator.submit(submission, service_settings, False, now)
        name = str(submission.submission_id)
        if result.status.state == submission_status.State.IN_PROGRESS:

            def reply(outcome: outcomes.Outcome) -> None:
                answer(submission_status.finished(outcome))

            self._outcome_callbacks.setdefault(name, []).append(reply)
        else:
            answer(result.status)
        if result.actions:
            self.sim.reach_step("bound", name, self)
            self.sim.reach_step("queued", name, self)
        self.post_to(incarnation, lambda: self._execute(result.actions))

    def cancel(self, submission_ids: tuple[str, ...]) -> None:
        """Cancel submissions, given by their identifiers as text."""
        self._handle(events.SubmissionsCancelled(submission_ids))

    # Events and actions

    def handle_event(self, event: events.Event) -> None:
        """Handle an event sent by a target."""
        self._handle(event)

    def _handle(self, event: events.Event) -> None:
        self._execute(self.coordinator.handle(event, self.sim.now()))

    def _execute(self, actions: list[events.Action]) -> None:
        incarnation = self.incarnation
        for action in actions:
            if not self.is_alive or self.incarnation != incarnation:
                return
            if isinstance(action, events.SendBatch):
                self._send_batch(action)
            elif isinstance(action, events.StopTasks):
                self._fleet["targets"][action.target_id].stop(action.tasks)
            elif isinstance(action, events.ReportOutcome):
                self._report_outcome(action)
            else:
                self._set_timer(action.at)

    def _send_batch(self, action: events.SendBatch) -> None:
        name = action.tasks[0].task_id.submission
        incarnation = self.incarnation
        self.sim.reach_step("slot_granted", name, self)
        target = self._fleet["targets"][action.target_id]

        def send() -> None:
            target.receive_batch(self, action, self.handle_event)
            self.sim.reach_step("sent", name, self)

        self.post_to(incarnation, send)

    def _report_outcome(self, action: events.ReportOutcome) -> None:
        name = str(action.submission)
        callbacks = self._outcome_callbacks.pop(name, [])
        incarnation = self.incarnation
        self.sim.reach_step("answered", name, self)
        for reply in callbacks:

            def report(reply: typing.Any = reply) -> None:
                reply(action.outcome)

            self.post_to(incarnation, report)
        self.sim.reach_step("remembered", name, self)

    def _set_timer(self, at: datetime.datetime) -> None:
        incarnation = self.incarnation
        wait = max(datetime.timedelta(), at - self.sim.now())
        tick = lambda: self._handle(events.TimerFired())  # noqa: E731
        self.sim.schedule(wait, lambda: self.post_to(incarnation, tick))

    # Gossip

    def _gossip_round(self, incarnation: int) -> None:
        def act() -> None:
            dispatch = self.coordinator.dispatcher
            now = self.sim.now()
            leaving = {*dispatch.leaving(now), *self._leaving_vms}
            self.members.update_own_record(
                demand=self._demand.record_tasks(dispatch.demand(), now),
                settings=self.versions.digest(),
                ejected=dispatch.ejected(now),
                leaving=tuple(sorted(leaving)),
            )
            for vm in self.members.tick(now):
                self._exchange_gossip(self._fleet["nodes"][vm])
            self._apply_shares()

        if self.incarnation != incarnation or not self.is_alive:
            return
        self.post(act)
        self.sim.schedule(
            self.members.gossip_period(), lambda: self._gossip_round(incarnation)
        )

    def _exchange_gossip(self, peer: "Node") -> None:
        message = self.members.gossip(peer.data_centre)
        record = self.members.record_at(peer.name)

        def handle(answer: simulation.Reply) -> None:
            peer._merge_gossip(message)
            answer(peer.members.gossip(self.data_centre))

        def fail(was_sent: bool, was_refused: bool) -> None:
            if was_refused and record is not None:
                self.members.record_dead(record.vm, record.incarnation)

        self.sim.exchange(self, peer, handle, self._merge_gossip, fail, PEER_TIMEOUT)

    def _merge_gossip(self, gossip: membership.Gossip) -> None:
        self.members.merge_gossip(gossip, self.sim.now())
        own_digest = self.versions.digest()
        for record in gossip.records:
            current = self.members.record_at(record.peer)
            if current is not None and current.settings not in ("", own_digest):
                self._pull_sections(self._fleet["nodes"][record.peer])

    def _pull_sections(self, peer: "Node") -> None:
        revisions = self.versions.revisions()

        def handle(answer: simulation.Reply) -> None:
            answer(peer.versions.newer_than(revisions))

        def fail(was_sent: bool, was_refused: bool) -> None:
            """Do nothing; the next gossip round pulls again."""

        self.sim.exchange(self, peer, handle, self.accept_sections, fail, PEER_TIMEOUT)

    def _apply_shares(self) -> None:
        alive = self.members.alive(self.sim.now())
        demands = tuple(shares.Demand(x.vm, x.demand) for x in alive)
        leaving = {name for record in alive for name in record.leaving}
        leaving.update(self.members.own_record.leaving, self._leaving_by_settings())
        key = (demands, frozenset(leaving))
        if key == self._applied_key:
            return
        self._applied_key = key
        specs = tuple(
            targets.make_spec(target, target.name in leaving)
            for target in self._fleet["targets"].values()
            if target.data_centre == self.data_centre
        )
        own_shares = shares.compute_shares(self.name, specs, demands)
        self._handle(events.TargetsChanged(specs, own_shares))

    # Settings and the VM list

    def _leaving_by_settings(self) -> set[str]:
        values = {
            section.name: json_text.parse(section.name, section.text)
            for section in self.versions.sections()
        }
        cfg = sections.join(values)
        specs = effective_settings.target_specs(cfg, self.data_centre)
        return {spec.target_id for spec in specs if spec.leaving}

    def accept_sections(self, received: tuple[versions.Section, ...]) -> None:
        """Put the sections into force that are newer than the current ones."""
        now = self.sim.now()
        accepted = []
        for section in received:
            if self.versions.accept(section, now):
                accepted.append(section)
                daemon = f"{self.name}/{self.incarnation}"
                self.sim.history.append(
                    history.SectionInForce(now, daemon, section.name, section.revision)
                )
        if not accepted:
            return
        for section in accepted:
            self.sim.reach_step("in_force", section.name, self)
        self._apply_shares()

    def watch_callback(self, items: typing.Any) -> simulation.Callback:
        """Return the callback that delivers changed items to this incarnation."""
        incarnation = self.incarnation

        def on_change() -> None:
            received = tuple(_section(item) for item in items)
            for section in received:
                self.sim.reach_step("watched", section.name, self)
            self.post_to(incarnation, lambda: self._accept_and_push(received))

        return on_change

    def _accept_and_push(self, received: tuple[versions.Section, ...]) -> None:
        self.accept_sections(received)
        for record in self.members.alive(self.sim.now()):
            if record.vm != self.name:
                self._push(self._fleet["nodes"][record.peer], received)

    def _push(self, peer: "Node", received: tuple[versions.Section, ...]) -> None:
        def handle(answer: simulation.Reply) -> None:
            self.sim.reach_step("relayed", received[0].name, peer)
            peer.accept_sections(received)
            answer(None)

        def ignore(*args: object) -> None:
            """Do nothing; gossip spreads the sections to peers that missed them."""

        self.sim.exchange(self, peer, handle, ignore, ignore, PEER_TIMEOUT)

    def _poll_store(self) -> None:
        """Read the store periodically and watch it, while this node is a watcher."""
        store = self._fleet["store"]
        incarnation = self.incarnation
        is_watcher = self.members.is_watcher(self.sim.now())
        if is_watcher and not self.sim.is_partitioned(self, store):
            try:
                snapshot = store.read(sections.STORE_PREFIX)
                self._accept_and_push(tuple(_section(item) for item in snapshot.items))
                if self not in store.watchers:
                    store.watchers.append(self)
            except errors.StoreUnavailableError:
                pass
        self.sim.schedule(
            POLL_INTERVAL, lambda: self.post_to(incarnation, self._poll_store)
        )

    def _poll_vm_list(self, incarnation: int) -> None:
        def act() -> None:
            is_watcher = self.members.is_watcher(self.sim.now())
            if is_watcher and not self._fleet["list_is_out"]:
                self._leaving_vms = tuple(sorted(self._fleet["leaving_vms"]))

        if self.incarnation != incarnation or not self.is_alive:
            return
        self.post(act)
        self.sim.schedule(POLL_INTERVAL, lambda: self._poll_vm_list(incarnation))

    # Graceful end

    def end_gracefully(self) -> None:
        """Announce the end, drain, hand over the submission tables, then exit."""
        self.is_leaving = True
        self.members.update_own_record(state=membership.LEAVING)
        self._announce_state()
        incarnation = self.incarnation
        self.sim.schedule(DRAIN_DELAY, lambda: self.post_to(incarnation, self._drain))

    def is_ending_gracefully(self, incarnation: int) -> bool:
        """Return whether an incarnation has ended gracefully, or does so right now.

        One that was killed before its end was complete has not; one that is paused
        does not go on with it.
        """
        if incarnation in self._ended_gracefully:
            return True
        is_running = self.is_alive and self.incarnation == incarnation
        return is_running and self.is_leaving and not self.is_paused

    def _announce_state(self) -> None:
        for record, _ in self.members.all_records(self.sim.now()):
            if record.vm != self.name and record.state != membership.GONE:
                self._exchange_gossip(self._fleet["nodes"][record.peer])

    def _drain(self) -> None:
        self._handle(events.DrainRequested())
        self._await_idle()

    def _await_idle(self) -> None:
        incarnation = self.incarnation
        is_busy = self._forwarded or self.coordinator.dispatcher.unfinished()
        if self._setup.waits_until_idle and is_busy:
            retry = lambda: self.post_to(incarnation, self._await_idle)  # noqa: E731
            self.sim.schedule(clock.milliseconds(50), retry)
            return
        successor = self.members.choose_successor(self.sim.now())
        if successor is None:
            self._exit()
            return
        snapshots = self.coordinator.register.hand_over(self.sim.now())
        size = self._setup.chunk_bytes
        chunks = [
            x for table in snapshots for x in handover.split_into_chunks(table, size)
        ]
        self._send_chunks(self._fleet["nodes"][successor.peer], chunks, 5)

    def _send_chunks(self, successor: "Node", chunks: typing.Any, tries: int) -> None:
        def handle(answer: simulation.Reply) -> None:
            successor.inherit_chunk(chunks[0])
            answer(None)

        def fail(was_sent: bool, was_refused: bool) -> None:
            if tries > 1:
                self._send_chunks(successor, chunks, tries - 1)
            else:
                self._exit()

        def on_answer(value: object) -> None:
            self._send_chunks(successor, chunks[1:], 5) if chunks[1:] else self._exit()

        self.sim.exchange(self, successor, handle, on_answer, fail, PEER_TIMEOUT)

    def inherit_chunk(self, chunk: handover.Chunk) -> None:
        """Inherit a chunk of the submission table of a daemon that ends gracefully."""
        register = self.coordinator.register
        register.inherit_chunk(chunk, self.sim.now())
        inherited = tuple(x for x in register.tables if x != register.incarnation)
        self.members.update_own_record(inherited=inherited)

    def _exit(self) -> None:
        self.members.update_own_record(state=membership.GONE)
        self._announce_state()
        incarnation = self.incarnation

        def exit_now() -> None:
            self.is_alive = False
            self._ended_gracefully.add(incarnation)

        wait = clock.milliseconds(50)
        self.sim.schedule(wait, lambda: self.post_to(incarnation, exit_now))


def _section(item: typing.Any) -> versions.Section:
    content = settings_task.section_text(item)
    return versions.Section(
        item.key[len(sections.STORE_PREFIX) :], item.revision, content
    )
