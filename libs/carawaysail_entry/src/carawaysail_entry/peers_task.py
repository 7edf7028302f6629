"""The peers task: owns the membership and the exchange of messages with peers."""

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
from carawaysail_entry import (
    dispatch_task,
    effective_settings,
    replies,
    settings_task,
    traces,
)
from carawaysail_entry import errors as entry_errors
from carawaysail_peers import errors, messages, transport
from carawaysail_platform import vmlist
from carawaysail_runtime import logs
from carawaysail_types import clock, identifiers, outcomes, registry, work
from carawaysail_types import errors as type_errors

GOSSIP_TIMEOUT_S = 1.0
"""Timeout of a gossip exchange; also the delay between attempts of a handover."""

CONTROL_TIMEOUT_S = 2.0
"""Timeout of pulls, pushes and cancellations."""

FORWARD_GRACE_S = 2.0
"""Time added to the wait of a forward or lookup, for the owner's answer to arrive."""

HANDOVER_ATTEMPTS = 5
"""Largest number of attempts to hand over one chunk of a table."""

HANDOVER_TIMEOUT_S = 10.0
"""Timeout of one attempt of a handover."""

Handler = collections.abc.Callable[
    ["PeersTask", transport.Sender, typing.Any],
    collections.abc.Awaitable[messages.Message],
]

ForwardResult = submission_status.SubmissionStatus | forwarding.BindHere

BackgroundWork = collections.abc.Coroutine[typing.Any, typing.Any, None]

handlers: registry.Registry[Handler] = registry.Registry("peer message handlers")


_ShareInputs = tuple[
    effective_settings.EffectiveSettings, frozenset[str], tuple[shares.Demand, ...]
]
"""Inputs of the shares: settings, leaving targets, demand of each daemon."""


def _is_equal(first: _ShareInputs, second: _ShareInputs) -> bool:
    return first[0] is second[0] and first[1:] == second[1:]


class PeersTask:
    """Exchanges messages with the other entry daemons.

    Gossips the membership, exchanges settings, forwards submissions to their owners,
    hands the submission tables over at shutdown, and computes this daemon's shares of
    the targets.

    Parameters
    ----------
    members : membership.Members
        Membership records known to this daemon.
    dispatch : dispatch_task.DispatchTask
        The task that runs submissions.
    settings : settings_task.SettingsTask
        The task that owns the settings.
    time_source : clock.Clock
        The clock.
    tracer : traces.Tracer
        Records a span for each forwarded submission.
    """

    def __init__(
        self,
        members: membership.Members,
        dispatch: dispatch_task.DispatchTask,
        settings: settings_task.SettingsTask,
        time_source: clock.Clock,
        tracer: traces.Tracer,
    ) -> None:
        self.members = members
        self._dispatch = dispatch
        self._settings = settings
        self._clock = time_source
        self._tracer = tracer
        local = transport.Sender(members.own_record.vm, members.own_record.data_centre)
        self.channels = transport.Channels(local)
        self.service = transport.Service(local, self._answer)
        self.server = transport.Server(self.service)
        self._applied_inputs: _ShareInputs | None = None
        self._demand = shares.ReportedDemand()
        self._suspected: frozenset[str] = frozenset()
        self._vm_list_leaving: tuple[str, ...] = ()
        self._pulling: set[str] = set()
        self._background: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Gossip until cancelled, then close the channels and the server."""
        try:
            while True:
                await self._gossip_round()
                await asyncio.sleep(self.members.gossip_period().total_seconds())
        finally:
            self.channels.close()
            await self.server.stop()

    async def _gossip_round(self) -> None:
        reply: replies.Reply[dispatch_task.Description] = replies.Reply()
        self._dispatch.inbox.put(dispatch_task.Describe(reply))
        try:
            described = await asyncio.wrap_future(reply.fut)
        except entry_errors.TaskFailedError:
            # The last description stays; other daemons must go on hearing of this one.
            pass
        else:
            self.members.update_own_record(
                demand=self._demand.record_tasks(described.demand, self._clock.now()),
                settings=self._settings.versions.digest(),
                ejected=described.ejected,
                leaving=tuple(sorted({*described.leaving, *self._vm_list_leaving})),
            )
        now = self._clock.now()
        for address in self.members.tick(now):
            self._spawn(self._gossip(address))
        self._apply_shares()

    def _spawn(self, coroutine: BackgroundWork) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def _gossip(self, address: str) -> None:
        known = self.members.record_at(address)
        gossip = self.members.gossip(known.data_centre if known else "")
        try:
            answer = await self.channels.exchange(
                address, messages.Gossip(gossip), GOSSIP_TIMEOUT_S
            )
        except type_errors.CarawaysailError as exc:
            if known and isinstance(exc, errors.PeerUnreachableError) and exc.refused:
                self.members.record_dead(known.vm, known.incarnation)
            return
        if isinstance(answer, messages.Gossip):
            self._merge(answer.gossip)

    def _merge(self, gossip: membership.Gossip) -> None:
        try:
            self.members.merge_gossip(gossip, self._clock.now())
        except type_errors.BadInputError as exc:
            logs.log_error("peers", "Gossip rejected.", exc)
            return
        own_digest = self._settings.versions.digest()
        for record in gossip.records:
            current = self.members.record_at(record.peer)
            if current is None or current.state != membership.ALIVE:
                continue
            if current.settings not in ("", own_digest):
                self._spawn(self._pull(record.peer))

    async def _pull(self, address: str) -> None:
        if address in self._pulling:
            return
        self._pulling.add(address)
        try:
            pull = messages.Pull(self._settings.versions.revisions())
            answer = await self.channels.exchange(address, pull, CONTROL_TIMEOUT_S)
            if isinstance(answer, messages.Push):
                self._settings.inbox.put(
                    settings_task.SectionsReceived(answer.sections, "peer")
                )
        except type_errors.CarawaysailError:
            return  # The digest in the next gossip causes another pull.
        finally:
            self._pulling.discard(address)

    def _apply_shares(self) -> None:
        settings = self._settings.effective
        if settings is None:
            return
        alive = self.members.alive(self._clock.now())
        demands = [shares.Demand(x.vm, x.demand) for x in alive]
        leaving = {name for record in alive for name in record.leaving}
        leaving.update(self.members.own_record.leaving)
        inputs = (settings, frozenset(leaving), tuple(demands))
        if self._applied_inputs is None or not _is_equal(inputs, self._applied_inputs):
            self._applied_inputs = inputs
            specs = tuple(
                spec._replace(leaving=spec.leaving or spec.target_id in leaving)
                for spec in settings.specs
            )
            computed = shares.compute_shares(self.members.own_record.vm, specs, demands)
            settings = settings._replace(specs=specs)
            self._dispatch.inbox.put(dispatch_task.ApplySettings(settings, computed))
        self._report_suspects(alive)

    def _report_suspects(self, alive: tuple[membership.Record, ...]) -> None:
        """Send the dispatch task the targets that other daemons have newly ejected."""
        others = [record for record in alive if record.vm != self.members.own_record.vm]
        ejected = frozenset(name for record in others for name in record.ejected)
        added = ejected - self._suspected
        self._suspected = ejected
        if added:
            self._dispatch.inbox.put(dispatch_task.SuspectTargets(tuple(sorted(added))))

    def set_vm_list(self, vms: tuple[vmlist.Vm, ...]) -> None:
        """Record which VMs are leaving; targets of these names get no new tasks.

        ``vms`` is empty while this daemon does not read the list.
        """
        self._vm_list_leaving = tuple(vm.name for vm in vms if vm.state == "leaving")

    def on_settings_changed(self) -> None:
        """Compute the shares under the changed settings and apply both."""
        self._apply_shares()

    def push_to_peers(self, push: messages.Push) -> None:
        """Send sections received from the store to all daemons of this data centre."""
        for record in self.members.alive(self._clock.now()):
            if record.vm != self.members.own_record.vm:
                self._spawn(self._push(record.peer, push))

    async def _push(self, address: str, push: messages.Push) -> None:
        try:
            await self.channels.exchange(address, push, CONTROL_TIMEOUT_S)
        except type_errors.CarawaysailError:
            return  # The digest in the gossip makes the peer pull what it missed.

    def is_watcher(self) -> bool:
        """Return whether this daemon reads store and VM list for its data centre."""
        return self.members.is_watcher(self._clock.now())

    # Forwarding to owners

    async def forward(
        self, submission: work.Submission, wait_s: float
    ) -> ForwardResult:
        """Forward a submission to its owner and return its status.

        Parameters
        ----------
        submission : work.Submission
            The submission.
        wait_s : float
            How long the owner may wait for the outcome, in seconds.

        Returns
        -------
        ForwardResult
            Its status, or ``BindHere`` if the owner is lost and this daemon is to run
            it.
        """
        now = self._clock.now()
        remaining_s = (submission.deadline - now).total_seconds()
        message = messages.Forward(submission, remaining_s * 1000.0, wait_s * 1000.0)
        sid, attempt = submission.submission_id, submission.attempt
        with self._tracer.span("entry.relay", submission.trace) as span:
            return await self._send_to_owner(
                sid, message, wait_s, attempt, span.traceparent
            )

    async def lookup(
        self, sid: identifiers.SubmissionId, wait_s: float
    ) -> submission_status.SubmissionStatus:
        """Request the status of a submission from its owner.

        Parameters
        ----------
        sid : identifiers.SubmissionId
            Its identifier.
        wait_s : float
            How long the owner may wait for the outcome, in seconds; 0 to answer with
            the present status.
        """
        message = messages.Lookup(str(sid), wait_s * 1000.0)
        found = await self._send_to_owner(sid, message, wait_s, attempt=0, trace="")
        return typing.cast(submission_status.SubmissionStatus, found)

    async def cancel(self, submission_ids: tuple[str, ...]) -> None:
        """Send cancellations to the owners of submissions, one message per owner.

        A cancellation that cannot be delivered is logged and not repeated; one without
        a known owner is dropped.

        Parameters
        ----------
        submission_ids : tuple of str
            Text form of their identifiers.
        """
        groups: dict[str, list[str]] = {}
        for submission_id in submission_ids:
            owner = identifiers.parse_submission(submission_id).owner
            located = self.members.locate(owner)
            if located.peer:
                groups.setdefault(located.peer, []).append(submission_id)
        for address, group in groups.items():
            try:
                cancel = messages.Cancel(tuple(group))
                await self.channels.exchange(address, cancel, CONTROL_TIMEOUT_S)
            except type_errors.CarawaysailError as exc:
                logs.log_error(
                    "peers", "Cancellation not delivered.", exc, peer=address
                )

    async def _send_to_owner(
        self,
        sid: identifiers.SubmissionId,
        message: messages.Forward | messages.Lookup,
        wait_s: float,
        attempt: int,
        trace: str,
    ) -> ForwardResult:
        located = self.members.locate(sid.owner)
        address = self._address_in_settings(sid.owner)
        step = forwarding.first_step(located, address, attempt)
        if not isinstance(step, forwarding.ForwardTo):
            return _result(step)
        try:
            answer = await self.channels.exchange(
                step.address, message, wait_s + FORWARD_GRACE_S, trace
            )
        except errors.PeerUnreachableError as exc:
            if exc.refused:
                self.members.record_dead(sid.owner.vm, sid.owner.incarnation)
            return _result(
                forwarding.step_after_failure(attempt, exc.sent, exc.refused)
            )
        except type_errors.CarawaysailError as exc:
            logs.log_error("peers", "Invalid answer from peer.", exc, peer=step.address)
            return _result(forwarding.step_after_failure(attempt, True, False))
        if not isinstance(answer, messages.StatusReport):
            return _result(forwarding.step_after_failure(attempt, True, False))
        if answer.state == submission_status.State.OTHER_OWNER:
            self.members.record_dead(sid.owner.vm, sid.owner.incarnation)
            return _result(forwarding.step_after_wrong_owner(attempt))
        outcome = outcomes.from_flat(answer.outcome) if answer.outcome else None
        return submission_status.SubmissionStatus(
            submission_status.State(answer.state), outcome
        )

    def _address_in_settings(self, owner: identifiers.Owner) -> str:
        """Return the peer address that the settings list for an owner; empty for none.

        Used while no gossip has reported that daemon.
        """
        settings = self._settings.effective
        data_centres = settings.cfg.get("places", {}) if settings else {}
        entries = data_centres.get(owner.data_centre, {}).get("entries", {})
        return entries.get(owner.vm, {}).get("peer", "")

    # Handlers of peer messages

    async def _answer(
        self, sender: transport.Sender, message: messages.Message
    ) -> messages.Message:
        handler = handlers.get(messages.kind_of(message))
        return await handler(self, sender, message)

    @handlers.register("gossip")
    async def _on_gossip(
        self, sender: transport.Sender, message: messages.Gossip
    ) -> messages.Message:
        self._merge(message.gossip)
        return messages.Gossip(self.members.gossip(sender.data_centre))

    @handlers.register("push")
    async def _on_push(
        self, sender: transport.Sender, message: messages.Push
    ) -> messages.Message:
        self._settings.inbox.put(
            settings_task.SectionsReceived(message.sections, "peer")
        )
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
            return _status_report(submission_status.finished(outcomes.NotRun(reason)))
        service_settings = settings.service(
            submission.service, submission.kind
        ).service_settings
        reply: replies.Reply[submission_status.SubmissionStatus] = replies.Reply()
        request = dispatch_task.PlaceSubmission(
            submission, service_settings, False, reply
        )
        if not self._dispatch.inbox.try_put(request):
            reason = outcomes.Reason.QUEUE_FULL
            return _status_report(submission_status.finished(outcomes.NotRun(reason)))
        return _status_report(await _wait_for_status(reply, message.wait_ms))

    @handlers.register("lookup")
    async def _on_lookup(
        self, sender: transport.Sender, message: messages.Lookup
    ) -> messages.Message:
        sid = identifiers.parse_submission(message.submission_id)
        reply: replies.Reply[submission_status.SubmissionStatus] = replies.Reply()
        self._dispatch.inbox.put(dispatch_task.Lookup(sid, message.wait_ms > 0, reply))
        return _status_report(
            await _wait_for_status(reply, max(message.wait_ms, MIN_LOOKUP_WAIT_MS))
        )

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
        handover.check_chunk(message.chunk)
        self._dispatch.inbox.put(dispatch_task.InheritChunk(message.chunk, reply))
        inherited = await asyncio.wrap_future(reply.fut)
        self.members.update_own_record(inherited=inherited)
        logs.log_event("peers", "Tables inherited.", incarnations=list(inherited))
        return messages.Done()

    # Shutdown

    async def announce(self, state: str) -> None:
        """Set this daemon's state and gossip it to all known daemons at once."""
        self.members.update_own_record(state=state)
        peers = [
            record.peer
            for record, _ in self.members.all_records(self._clock.now())
            if record.vm != self.members.own_record.vm
            and record.state != membership.GONE
        ]
        await asyncio.gather(*(self._gossip(peer) for peer in peers))

    async def hand_over(self) -> bool:
        """Hand the tables to one successor; return whether it acknowledged all chunks.

        Only one successor is ever tried: the answer to a handover that took effect may
        be lost, and two successors could start the same submission.
        """
        successor = self.members.choose_successor(self._clock.now())
        if successor is None:
            return False
        reply: replies.Reply[typing.Any] = replies.Reply()
        self._dispatch.inbox.put(dispatch_task.HandOver(reply))
        try:
            snapshots = await asyncio.wrap_future(reply.fut)
        except entry_errors.TaskFailedError as exc:
            logs.log_error("peers", "Nothing to hand over.", exc)
            return False
        for snapshot in snapshots:
            for chunk in handover.split_into_chunks(snapshot):
                if not await self._send_chunk(successor, chunk):
                    return False
        self.members.update_own_record(heir=successor.incarnation)
        return True

    async def _send_chunk(self, peer: membership.Record, chunk: handover.Chunk) -> bool:
        for _ in range(HANDOVER_ATTEMPTS):
            try:
                message = messages.HandOver(chunk)
                await self.channels.exchange(peer.peer, message, HANDOVER_TIMEOUT_S)
            except type_errors.CarawaysailError as exc:
                logs.log_error("peers", "Handover not answered.", exc, heir=peer.vm)
                await asyncio.sleep(GOSSIP_TIMEOUT_S)
            else:
                return True
        return False


MIN_LOOKUP_WAIT_MS = 1000.0
"""Shortest wait for the dispatch task's reply to a lookup."""


def _result(step: forwarding.Step) -> ForwardResult:
    if isinstance(step, forwarding.Finish):
        return submission_status.finished(step.outcome)
    return forwarding.BindHere()


def _status_report(status: submission_status.SubmissionStatus) -> messages.StatusReport:
    outcome = outcomes.to_flat(status.outcome) if status.outcome else None
    return messages.StatusReport(status.state.value, outcome)


async def _wait_for_status(
    reply: replies.Reply[submission_status.SubmissionStatus], wait_ms: float
) -> submission_status.SubmissionStatus:
    fut = asyncio.wrap_future(reply.fut)
    done, _ = await asyncio.wait([fut], timeout=max(0.0, wait_ms) / 1000.0)
    if not done or fut.exception() is not None:
        return submission_status.SubmissionStatus(submission_status.State.IN_PROGRESS)
    return fut.result()
