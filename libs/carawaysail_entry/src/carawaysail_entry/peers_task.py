"""The peers task: owns the membership, the channels and the server for peers."""

import asyncio
import collections.abc
import typing

from carawaysail_decisions import (
    forwarding,
    handover,
    membership,
    shares,
    submission_status,
)
from carawaysail_entry import configuring, dispatch_task, effective, replies, traces
from carawaysail_peers import errors, messages, transport
from carawaysail_platform import vmlist
from carawaysail_runtime import logs
from carawaysail_types import clock, identifiers, outcomes, registry, work
from carawaysail_types import errors as type_errors

GOSSIP_S = 1.0
CONTROL_S = 2.0
RELAY_GRACE_S = 2.0
HANDOVER_TRIES = 5
HANDOVER_S = 10.0

Answers = collections.abc.Callable[
    ["PeersTask", transport.Sender, typing.Any],
    collections.abc.Awaitable[messages.Message],
]

Relayed = submission_status.SubmissionStatus | forwarding.BindHere

Errand = collections.abc.Coroutine[typing.Any, typing.Any, None]

handlers: registry.Registry[Answers] = registry.Registry("peer message handlers")


_Inputs = tuple[effective.Effective, frozenset[str], tuple[shares.Demand, ...]]
"""What the shares follow from: settings, leaving targets and demands."""


def _is_same(first: _Inputs, second: _Inputs) -> bool:
    return first[0] is second[0] and first[1:] == second[1:]


class PeersTask:
    """Talks with the other entry daemons.

    Parameters
    ----------
    members : membership.Members
        What this daemon knows of all.
    dispatch : dispatch_task.DispatchTask
        Places submissions.
    settings : configuring.SettingsTask
        Holds the settings.
    source : clock.Clock
        The clock.
    tracer : traces.Tracer
        Records spans of messages to peers.
    """

    def __init__(
        self,
        members: membership.Members,
        dispatch: dispatch_task.DispatchTask,
        settings: configuring.SettingsTask,
        source: clock.Clock,
        tracer: traces.Tracer,
    ) -> None:
        self.members = members
        self._dispatch = dispatch
        self._settings = settings
        self._clock = source
        self._tracer = tracer
        me = transport.Sender(members.own_record.vm, members.own_record.data_centre)
        self.channels = transport.Channels(me)
        self.service = transport.Service(me, self._answer)
        self.server = transport.Server(self.service)
        self._applied: _Inputs | None = None
        self._demand = shares.ReportedDemand()
        self._suspected: frozenset[str] = frozenset()
        self._vm_list_leaving: tuple[str, ...] = ()
        self._asking: set[str] = set()
        self._background: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Gossip until cancelled."""
        try:
            while True:
                await self._round()
                await asyncio.sleep(self.members.gossip_period().total_seconds())
        finally:
            self.channels.close()
            await self.server.stop()

    async def _round(self) -> None:
        reply: replies.Reply[dispatch_task.Description] = replies.Reply()
        self._dispatch.inbox.put(dispatch_task.Describe(reply))
        told = await asyncio.wrap_future(reply.fut)
        now = self._clock.now()
        self.members.update_own_record(
            demand=self._demand.record_tasks(told.demand, now),
            settings=self._settings.versions.digest(),
            ejected=told.ejected,
            leaving=tuple(sorted({*told.leaving, *self._vm_list_leaving})),
        )
        for address in self.members.tick(now):
            self._spawn(self._gossip(address))
        self._apply_shares()

    def _spawn(self, errand: Errand) -> None:
        task = asyncio.get_running_loop().create_task(errand)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def _gossip(self, address: str) -> None:
        known = self.members.record_at(address)
        gossip = self.members.gossip(known.data_centre if known else "")
        try:
            answer = await self.channels.exchange(
                address, messages.Gossip(gossip), GOSSIP_S
            )
        except type_errors.CarawaysailError as exc:
            if known and isinstance(exc, errors.PeerUnreachableError) and exc.refused:
                self.members.record_dead(known.vm, known.incarnation)
            return
        if isinstance(answer, messages.Gossip):
            self._took(answer.gossip)

    def _took(self, gossip: membership.Gossip) -> None:
        try:
            self.members.merge_gossip(gossip, self._clock.now())
        except type_errors.BadInputError as exc:
            logs.log_error("peers", "Gossip refused.", exc)
            return
        mine = self._settings.versions.digest()
        for record in gossip.records:
            current = self.members.record_at(record.peer)
            if current is None or current.state != membership.ALIVE:
                continue
            if current.settings not in ("", mine):
                self._spawn(self._pull(record.peer))

    async def _pull(self, address: str) -> None:
        if address in self._asking:
            return
        self._asking.add(address)
        try:
            pull = messages.Pull(self._settings.versions.revisions())
            answer = await self.channels.exchange(address, pull, CONTROL_S)
            if isinstance(answer, messages.Push):
                self._settings.inbox.put(configuring.Took(answer.sections, "peer"))
        except type_errors.CarawaysailError:
            return
        finally:
            self._asking.discard(address)

    def _apply_shares(self) -> None:
        settings = self._settings.effective
        if settings is None:
            return
        alive = self.members.alive(self._clock.now())
        demands = [shares.Demand(x.vm, x.demand) for x in alive]
        leaving = {name for record in alive for name in record.leaving}
        leaving.update(self.members.own_record.leaving)
        key = (settings, frozenset(leaving), tuple(demands))
        if self._applied is None or not _is_same(key, self._applied):
            self._applied = key
            specs = tuple(
                spec._replace(leaving=spec.leaving or spec.target_id in leaving)
                for spec in settings.specs
            )
            found = shares.compute_shares(self.members.own_record.vm, specs, demands)
            settings = settings._replace(specs=specs)
            self._dispatch.inbox.put(dispatch_task.Configure(settings, found))
        self._tell_suspects(alive)

    def _tell_suspects(self, alive: tuple[membership.Record, ...]) -> None:
        """Pass on which targets other daemons have newly ejected."""
        others = [record for record in alive if record.vm != self.members.own_record.vm]
        ejected = frozenset(name for record in others for name in record.ejected)
        fresh = ejected - self._suspected
        self._suspected = ejected
        if fresh:
            self._dispatch.inbox.put(dispatch_task.Suspect(tuple(sorted(fresh))))

    def took_vm_list(self, vms: tuple[vmlist.Vm, ...]) -> None:
        """Take over which VMs the platform's list says are leaving."""
        self._vm_list_leaving = tuple(vm.name for vm in vms if vm.state == "leaving")

    def settings_changed(self) -> None:
        """Work out the shares again and spread the newer sections at once."""
        self._apply_shares()

    def spread(self, sections: messages.Push) -> None:
        """Send sections that came from the store to every daemon nearby."""
        for record in self.members.alive(self._clock.now()):
            if record.vm != self.members.own_record.vm:
                self._spawn(self._push(record.peer, sections))

    async def _push(self, address: str, push: messages.Push) -> None:
        try:
            await self.channels.exchange(address, push, CONTROL_S)
        except type_errors.CarawaysailError:
            return  # The gossip's hash makes up for a push that was lost.

    def is_watcher(self) -> bool:
        """Tell whether this daemon asks the platform for its data centre."""
        return self.members.is_watcher(self._clock.now())

    # Relaying

    async def relay(self, submission: work.Submission, wait_s: float) -> Relayed:
        """Pass a submission to its owner and return how it stands.

        Parameters
        ----------
        submission : work.Submission
            The submission.
        wait_s : float
            How long to wait for its outcome, in seconds.

        Returns
        -------
        Relayed
            Its standing, or ``BindHere`` if it is to be placed here.
        """
        now = self._clock.now()
        left = (submission.deadline - now).total_seconds()
        message = messages.Forward(submission, left * 1000.0, wait_s * 1000.0)
        sid, attempt = submission.submission_id, submission.attempt
        with self._tracer.span("entry.relay", submission.trace) as span:
            return await self._ask(sid, message, wait_s, attempt, span.traceparent)

    async def look(
        self, sid: identifiers.SubmissionId, wait_s: float
    ) -> submission_status.SubmissionStatus:
        """Ask the owner of a submission how it stands."""
        message = messages.Lookup(str(sid), wait_s * 1000.0)
        found = await self._ask(sid, message, wait_s, attempt=0, trace="")
        return typing.cast(submission_status.SubmissionStatus, found)

    async def cancel(self, names: tuple[str, ...]) -> None:
        """Pass a cancellation to the owners, one message an owner."""
        groups: dict[str, list[str]] = {}
        for name in names:
            owner = identifiers.parse_submission(name).owner
            located = self.members.locate(owner)
            if located.peer:
                groups.setdefault(located.peer, []).append(name)
        for address, group in groups.items():
            try:
                cancel = messages.Cancel(tuple(group))
                await self.channels.exchange(address, cancel, CONTROL_S)
            except type_errors.CarawaysailError as exc:
                logs.log_error("peers", "Cancellation lost.", exc, peer=address)

    async def _ask(
        self,
        sid: identifiers.SubmissionId,
        message: messages.Forward | messages.Lookup,
        wait_s: float,
        attempt: int,
        trace: str,
    ) -> Relayed:
        located = self.members.locate(sid.owner)
        address = self._address_in_settings(sid.owner)
        step = forwarding.first_step(located, address, attempt)
        if not isinstance(step, forwarding.ForwardTo):
            return _relayed(step)
        try:
            answer = await self.channels.exchange(
                step.address, message, wait_s + RELAY_GRACE_S, trace
            )
        except errors.PeerUnreachableError as exc:
            if exc.refused:
                self.members.record_dead(sid.owner.vm, sid.owner.incarnation)
            return _relayed(
                forwarding.step_after_failure(attempt, exc.sent, exc.refused)
            )
        except type_errors.CarawaysailError as exc:
            logs.log_error("peers", "Answer refused.", exc, peer=step.address)
            return _relayed(forwarding.step_after_failure(attempt, True, False))
        if not isinstance(answer, messages.Placed):
            return _relayed(forwarding.step_after_failure(attempt, True, False))
        if answer.state == submission_status.State.OTHER_OWNER:
            self.members.record_dead(sid.owner.vm, sid.owner.incarnation)
            return _relayed(forwarding.step_after_wrong_owner(attempt))
        outcome = outcomes.from_flat(answer.outcome) if answer.outcome else None
        return submission_status.SubmissionStatus(
            submission_status.State(answer.state), outcome
        )

    def _address_in_settings(self, owner: identifiers.Owner) -> str:
        """Return the address of a daemon that no gossip has told of yet."""
        settings = self._settings.effective
        places = settings.cfg.get("places", {}) if settings else {}
        entries = places.get(owner.data_centre, {}).get("entries", {})
        return entries.get(owner.vm, {}).get("peer", "")

    # Messages from peers

    async def _answer(
        self, sender: transport.Sender, message: messages.Message
    ) -> messages.Message:
        handler = handlers.get(messages.kind_of(message))
        return await handler(self, sender, message)

    @handlers.register("gossip")
    async def _on_gossip(
        self, sender: transport.Sender, message: messages.Gossip
    ) -> messages.Message:
        self._took(message.gossip)
        return messages.Gossip(self.members.gossip(sender.data_centre))

    @handlers.register("push")
    async def _on_push(
        self, sender: transport.Sender, message: messages.Push
    ) -> messages.Message:
        self._settings.inbox.put(configuring.Took(message.sections, "peer"))
        return messages.Done()

    @handlers.register("pull")
    async def _on_pull(
        self, sender: transport.Sender, message: messages.Pull
    ) -> messages.Message:
        newer = self._settings.versions.newer_than(message.revisions)
        return messages.Push(newer)

    @handlers.register("forward")
    async def _on_forward(
        self, sender: transport.Sender, message: messages.Forward
    ) -> messages.Message:
        settings = self._settings.effective
        remaining = clock.milliseconds(message.remaining_ms)
        submission = message.submission._replace(
            deadline=self._clock.now() + remaining, trace=sender.trace
        )
        if settings is None:
            reason = outcomes.Reason.NO_TARGET
            return _placed(submission_status.ended(outcomes.NotRun(reason)))
        limits = settings.service(submission.service, submission.kind).limits
        reply: replies.Reply[submission_status.SubmissionStatus] = replies.Reply()
        place = dispatch_task.Place(submission, limits, False, reply)
        if not self._dispatch.inbox.offer(place):
            reason = outcomes.Reason.QUEUE_FULL
            return _placed(submission_status.ended(outcomes.NotRun(reason)))
        return _placed(await _wait(reply, message.wait_ms))

    @handlers.register("lookup")
    async def _on_lookup(
        self, sender: transport.Sender, message: messages.Lookup
    ) -> messages.Message:
        sid = identifiers.parse_submission(message.submission_id)
        reply: replies.Reply[submission_status.SubmissionStatus] = replies.Reply()
        self._dispatch.inbox.put(dispatch_task.Look(sid, message.wait_ms > 0, reply))
        return _placed(await _wait(reply, max(message.wait_ms, LOOK_MS)))

    @handlers.register("cancel")
    async def _on_cancel(
        self, sender: transport.Sender, message: messages.Cancel
    ) -> messages.Message:
        self._dispatch.inbox.put(dispatch_task.Cancel(message.submission_ids))
        return messages.Done()

    @handlers.register("hand_over")
    async def _on_hand_over(
        self, sender: transport.Sender, message: messages.HandOver
    ) -> messages.Message:
        reply: replies.Reply[tuple[str, ...]] = replies.Reply()
        handover.check_chunk(message.piece)
        self._dispatch.inbox.put(dispatch_task.Adopt(message.piece, reply))
        inherited = await asyncio.wrap_future(reply.fut)
        self.members.update_own_record(inherited=inherited)
        logs.log_event("peers", "Memory taken.", incarnations=list(inherited))
        return messages.Done()

    # Leaving

    async def announce(self, state: str) -> None:
        """Tell every daemon nearby of this one's state, at once."""
        self.members.update_own_record(state=state)
        peers = [
            record.peer
            for record, _ in self.members.all_records(self._clock.now())
            if record.vm != self.members.own_record.vm
            and record.state != membership.GONE
        ]
        await asyncio.gather(*(self._gossip(peer) for peer in peers))

    async def hand_over(self) -> bool:
        """Hand the memory of submissions to one heir; tell whether it took it.

        Only one heir is ever tried: the answer of a handover that took effect may be
        lost, and two heirs could start the same submission.
        """
        heir = self.members.choose_successor(self._clock.now())
        if heir is None:
            return False
        reply: replies.Reply[typing.Any] = replies.Reply()
        self._dispatch.inbox.put(dispatch_task.HandOver(reply))
        for memory in await asyncio.wrap_future(reply.fut):
            for piece in handover.split_into_chunks(memory):
                if not await self._hand_piece(heir, piece):
                    return False
        self.members.update_own_record(heir=heir.incarnation)
        return True

    async def _hand_piece(self, heir: membership.Record, piece: handover.Chunk) -> bool:
        for _ in range(HANDOVER_TRIES):
            try:
                message = messages.HandOver(piece)
                await self.channels.exchange(heir.peer, message, HANDOVER_S)
            except type_errors.CarawaysailError as exc:
                logs.log_error("peers", "Handover not answered.", exc, heir=heir.vm)
                await asyncio.sleep(GOSSIP_S)
            else:
                return True
        return False


LOOK_MS = 1000.0


def _relayed(step: forwarding.Step) -> Relayed:
    if isinstance(step, forwarding.Finish):
        return submission_status.ended(step.outcome)
    return forwarding.BindHere()


def _placed(submission_status: submission_status.SubmissionStatus) -> messages.Placed:
    outcome = (
        outcomes.to_flat(submission_status.outcome)
        if submission_status.outcome
        else None
    )
    return messages.Placed(submission_status.state.value, outcome)


async def _wait(
    reply: replies.Reply[submission_status.SubmissionStatus], wait_ms: float
) -> submission_status.SubmissionStatus:
    fut = asyncio.wrap_future(reply.fut)
    done, _ = await asyncio.wait([fut], timeout=max(0.0, wait_ms) / 1000.0)
    return (
        fut.result()
        if done
        else submission_status.SubmissionStatus(submission_status.State.IN_PROGRESS)
    )
