"""What the desk does with each kind of message, and with each kind of action."""

import collections.abc
import datetime
import typing

from carawaysail_fleet import decision_loop, messages
from carawaysail_holding import broker_messages, gateway
from carawaysail_runtime import logs
from carawaysail_streams import messages as stream_messages
from carawaysail_types import clock, daemons, runs

# Messages


@decision_loop.handlers.register("JobPosted")
def _posted(
    owner: decision_loop.DecisionLoop,
    message: messages.JobPosted,
    now: datetime.datetime,
) -> None:
    req = message.request
    submission = broker_messages.Submission(
        req.job, req.queue, owner.me.data_centre, now, now + req.client_timeout
    )
    owner.perform(owner.gateway.handle_job(submission, message.reply_id, now), now)


@decision_loop.handlers.register("ClientLeft")
def _client_left(
    owner: decision_loop.DecisionLoop,
    message: messages.ClientLeft,
    now: datetime.datetime,
) -> None:
    owner.perform(
        owner.gateway.handle_client_left(message.job_id, message.reply_id), now
    )


@decision_loop.handlers.register("WorkerStatusReceived")
def _listed(
    owner: decision_loop.DecisionLoop,
    message: messages.WorkerStatusReceived,
    now: datetime.datetime,
) -> None:
    worker = message.worker
    if isinstance(message.answer, runs.WorkerStatus):
        taken = owner.broker.handle_status(
            worker.worker_id, message.answer, message.asked_at, now
        )
    else:
        taken = owner.broker.handle_poll_failure(
            worker.worker_id, worker.incarnation, message.answer, now
        )
    owner.perform(taken, now)


@decision_loop.handlers.register("StartAnswered")
def _started(
    owner: decision_loop.DecisionLoop,
    message: messages.StartAnswered,
    now: datetime.datetime,
) -> None:
    _order_answered(owner, owner.broker.handle_start_answer, message, now)


@decision_loop.handlers.register("StopAnswered")
def _stopped(
    owner: decision_loop.DecisionLoop,
    message: messages.StopAnswered,
    now: datetime.datetime,
) -> None:
    _order_answered(owner, owner.broker.handle_stop_answer, message, now)


def _order_answered(
    owner: decision_loop.DecisionLoop,
    take: collections.abc.Callable[..., list[broker_messages.Action]],
    message: messages.StartAnswered | messages.StopAnswered,
    now: datetime.datetime,
) -> None:
    worker = message.worker
    taken = take(worker.worker_id, worker.incarnation, message.run, message.answer, now)
    owner.perform(taken, now)


@decision_loop.handlers.register("ConfigurationRead")
def _configured(
    owner: decision_loop.DecisionLoop,
    message: messages.ConfigurationRead,
    now: datetime.datetime,
) -> None:
    known = owner.configuration
    found = message.configuration
    if known is not None and found.version <= known.version:
        return
    owner.configuration = found
    owner.apply_limits(found.limits)
    owner.links.front_end.configure(found)
    logs.log_event(
        "configuration", "In force.", version=found.version,
        queues=len(found.queues), services=len(found.services),
    )  # fmt: skip


@decision_loop.handlers.register("ReportsRead")
def _reports(
    owner: decision_loop.DecisionLoop,
    message: messages.ReportsRead,
    now: datetime.datetime,
) -> None:
    for place in message.live_data_centres:
        owner.election.record_worker_report(place, now)
    owner.perform(
        owner.broker.handle_reports(message.reports, now, message.asked_at), now
    )
    owner.links.workers.close_except(owner.broker.worker_ids())


@decision_loop.handlers.register("MembersRead")
def _members(
    owner: decision_loop.DecisionLoop,
    message: messages.MembersRead,
    now: datetime.datetime,
) -> None:
    owner.election.record_registrations(message.registered, (), now)
    for known in message.holders:
        owner.record_holder(known, now)
    owner.update_streams()


@decision_loop.handlers.register("ClaimAnswered")
def _claimed(
    owner: decision_loop.DecisionLoop,
    message: messages.ClaimAnswered,
    now: datetime.datetime,
) -> None:
    if message.holder is not None:
        owner.record_holder(message.holder, now)


@decision_loop.handlers.register("StreamOpened")
def _opened(
    owner: decision_loop.DecisionLoop,
    message: messages.StreamOpened,
    now: datetime.datetime,
) -> None:
    owner.perform(owner.gateway.resend_shards(message.peer), now)


@decision_loop.handlers.register("ConnectionRefused")
def _refused(
    owner: decision_loop.DecisionLoop,
    message: messages.ConnectionRefused,
    now: datetime.datetime,
) -> None:
    owner.election.record_refusal(message.peer)


@decision_loop.handlers.register("PeerMessagesReceived")
def _received(
    owner: decision_loop.DecisionLoop,
    message: messages.PeerMessagesReceived,
    now: datetime.datetime,
) -> None:
    for item in message.messages:
        decision_loop.handlers.get(type(item).__name__)(
            owner, (message.sender, item), now
        )


@decision_loop.handlers.register("SettingsReloaded")
def _reloaded(
    owner: decision_loop.DecisionLoop,
    message: messages.SettingsReloaded,
    now: datetime.datetime,
) -> None:
    owner.broker.set_terms(message.terms)


@decision_loop.handlers.register("LeaveRequested")
def _leave(
    owner: decision_loop.DecisionLoop,
    message: messages.LeaveRequested,
    now: datetime.datetime,
) -> None:
    owner.start_leaving(now)


# Messages of other daemons

_Sent = tuple[daemons.Daemon, typing.Any]


@decision_loop.handlers.register("Heartbeat")
def _heartbeat(
    owner: decision_loop.DecisionLoop, sent: _Sent, now: datetime.datetime
) -> None:
    owner.handle_heartbeat(sent[0], sent[1], now)


@decision_loop.handlers.register("Submit")
def _submit(
    owner: decision_loop.DecisionLoop, sent: _Sent, now: datetime.datetime
) -> None:
    sender, message = sent
    submission = broker_messages.Submission(
        message.job,
        message.queue,
        message.data_centre,
        now - clock.milliseconds(message.age_ms),
        now + clock.milliseconds(message.remaining_ms),
        message.shard,
        message.tasks,
        message.is_resumed,
        message.workers,
    )
    waiter = broker_messages.GatewayId(sender.vm, sender.incarnation)
    owner.perform(owner.broker.submit(submission, waiter, now), now)


@decision_loop.handlers.register("Withdraw")
def _withdraw(
    owner: decision_loop.DecisionLoop, sent: _Sent, now: datetime.datetime
) -> None:
    waiter = broker_messages.GatewayId(sent[0].vm, sent[0].incarnation)
    part = broker_messages.ShardId(sent[1].job_id, sent[1].shard, waiter)
    owner.perform(owner.broker.withdraw(part, now), now)


@decision_loop.handlers.register("ShardStarted")
def _begun(
    owner: decision_loop.DecisionLoop, sent: _Sent, now: datetime.datetime
) -> None:
    message = sent[1]
    owner.gateway.record_started_workers(
        sent[0], message.job_id, message.shard, message.workers
    )


@decision_loop.handlers.register("Outcome")
def _outcome(
    owner: decision_loop.DecisionLoop, sent: _Sent, now: datetime.datetime
) -> None:
    message = sent[1]
    taken = owner.gateway.handle_outcome(
        sent[0], message.job_id, message.shard, message.outcome
    )
    owner.perform(taken, now)


# Actions


@decision_loop.action_handlers.register("StartRun")
def _start(
    owner: decision_loop.DecisionLoop,
    action: broker_messages.StartRun,
    now: datetime.datetime,
) -> None:
    owner.links.workers.start(action)


@decision_loop.action_handlers.register("StopRun")
def _stop(
    owner: decision_loop.DecisionLoop,
    action: broker_messages.StopRun,
    now: datetime.datetime,
) -> None:
    owner.links.workers.stop(action)


@decision_loop.action_handlers.register("PollWorker")
def _hold(
    owner: decision_loop.DecisionLoop,
    action: broker_messages.PollWorker,
    now: datetime.datetime,
) -> None:
    owner.links.workers.poll(action)


@decision_loop.action_handlers.register("SendOutcome")
def _reply(
    owner: decision_loop.DecisionLoop,
    action: broker_messages.SendOutcome,
    now: datetime.datetime,
) -> None:
    part = action.shard_id
    message = stream_messages.Outcome(part.job_id, part.shard, action.outcome)
    _send_to_waiter(owner, part.gateway, message)


@decision_loop.action_handlers.register("ShardStarted")
def _tell_begun(
    owner: decision_loop.DecisionLoop,
    action: broker_messages.ShardStarted,
    now: datetime.datetime,
) -> None:
    part = action.shard_id
    message = stream_messages.ShardStarted(part.job_id, part.shard, action.workers)
    _send_to_waiter(owner, part.gateway, message)


def _send_to_waiter(
    owner: decision_loop.DecisionLoop,
    waiter: broker_messages.GatewayId,
    message: stream_messages.Message,
) -> None:
    daemon = owner.election.daemon(waiter.vm, waiter.incarnation)
    if daemon is not None:
        owner.send(daemon, message)


@decision_loop.action_handlers.register("HolderFenced")
def _fenced(
    owner: decision_loop.DecisionLoop,
    action: broker_messages.HolderFenced,
    now: datetime.datetime,
) -> None:
    owner.update_worker_links()


@decision_loop.action_handlers.register("LogDecision")
def _note(
    owner: decision_loop.DecisionLoop,
    action: broker_messages.LogDecision,
    now: datetime.datetime,
) -> None:
    owner.log_decision(action.name, action.subject, action.fields)


@decision_loop.action_handlers.register("SendShard")
def _send_job(
    owner: decision_loop.DecisionLoop, action: gateway.SendShard, now: datetime.datetime
) -> None:
    submission = action.submission
    age_ms = clock.to_milliseconds(now - submission.arrived)
    left_ms = clock.to_milliseconds(submission.deadline - now)
    owner.send(action.daemon, stream_messages.submit(submission, age_ms, left_ms))


@decision_loop.action_handlers.register("SendWithdrawal")
def _send_withdrawal(
    owner: decision_loop.DecisionLoop,
    action: gateway.SendWithdrawal,
    now: datetime.datetime,
) -> None:
    owner.send(action.daemon, stream_messages.Withdraw(action.job_id, action.shard))


@decision_loop.action_handlers.register("Answer")
def _answer(
    owner: decision_loop.DecisionLoop, action: gateway.Answer, now: datetime.datetime
) -> None:
    owner.links.replies.put(action.reply, action.outcome)
