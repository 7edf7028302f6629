"""Handlers of the decision loop: one for each type of message and of action.

Importing this module fills the registries of ``decision_loop``, which are keyed by type
name. Handlers of messages update the state and carry out the actions that follow;
handlers of actions pass each action to the component that it concerns; handlers of
failures settle what a message began whose handler has raised an exception.
"""

import collections.abc
import datetime

from carawaysail_fleet import decision_loop, messages
from carawaysail_holding import broker_messages, gateway, report_age
from carawaysail_runtime import logs
from carawaysail_streams import messages as stream_messages
from carawaysail_types import clock, jobs, runs

# Messages of this daemon's own tasks and threads


@decision_loop.handlers.register("JobPosted")
def _handle_job_posted(
    loop: decision_loop.DecisionLoop,
    message: messages.JobPosted,
    now: datetime.datetime,
) -> None:
    req = message.request
    submission = broker_messages.Submission(
        req.job, req.queue, loop.me.data_centre, message.arrived,
        message.arrived + req.client_timeout,
    )  # fmt: skip
    loop.perform(loop.gateway.handle_job(submission, message.reply_id, now), now)


@decision_loop.failure_handlers.register("JobPosted")
def _abandon_job(
    loop: decision_loop.DecisionLoop,
    message: messages.JobPosted,
    now: datetime.datetime,
) -> None:
    job_id = message.request.job.job_id
    loop.perform(loop.gateway.abandon(job_id, message.reply_id), now)


@decision_loop.handlers.register("ClientLeft")
def _handle_client_left(
    loop: decision_loop.DecisionLoop,
    message: messages.ClientLeft,
    now: datetime.datetime,
) -> None:
    loop.perform(loop.gateway.handle_client_left(message.job_id, message.reply_id), now)


@decision_loop.handlers.register("WorkerStatusReceived")
def _handle_worker_status(
    loop: decision_loop.DecisionLoop,
    message: messages.WorkerStatusReceived,
    now: datetime.datetime,
) -> None:
    worker = message.worker
    if isinstance(message.result, runs.WorkerStatus):
        actions = loop.broker.handle_status(
            worker.worker_id, message.result, message.requested_at, now
        )
    else:
        actions = loop.broker.handle_poll_failure(
            worker.worker_id, worker.incarnation, message.result, now,
            message.requested_at,
        )  # fmt: skip
    loop.perform(actions, now)


@decision_loop.handlers.register("StartResultReceived")
def _handle_start_result(
    loop: decision_loop.DecisionLoop,
    message: messages.StartResultReceived,
    now: datetime.datetime,
) -> None:
    _handle_order_result(loop, loop.broker.handle_start_result, message, now)


@decision_loop.handlers.register("StopResultReceived")
def _handle_stop_result(
    loop: decision_loop.DecisionLoop,
    message: messages.StopResultReceived,
    now: datetime.datetime,
) -> None:
    _handle_order_result(loop, loop.broker.handle_stop_result, message, now)


def _handle_order_result(
    loop: decision_loop.DecisionLoop,
    handle_result: collections.abc.Callable[..., list[broker_messages.Action]],
    message: messages.StartResultReceived | messages.StopResultReceived,
    now: datetime.datetime,
) -> None:
    worker = message.worker
    actions = handle_result(
        worker.worker_id, worker.incarnation, message.run, message.result, now
    )
    loop.perform(actions, now)


@decision_loop.handlers.register("ConfigurationRead")
def _handle_configuration(
    loop: decision_loop.DecisionLoop,
    message: messages.ConfigurationRead,
    now: datetime.datetime,
) -> None:
    present = loop.configuration
    newest = message.configuration
    if present is not None and newest.version <= present.version:
        return
    loop.apply_limits(newest.limits)
    loop.dependencies.front_end.configure(newest)
    loop.configuration = newest
    loop.dependencies.metrics.set_configuration_version(newest.version)
    logs.log_event(
        "configuration", "Configuration in force.", version=newest.version,
        queues=len(newest.queues), services=len(newest.services),
        read_ago_ms=round(clock.to_milliseconds(now - message.read_at)),
    )  # fmt: skip


@decision_loop.handlers.register("ReportsRead")
def _handle_reports(
    loop: decision_loop.DecisionLoop,
    message: messages.ReportsRead,
    now: datetime.datetime,
) -> None:
    for data_centre in message.live_data_centres:
        loop.election.record_worker_report(data_centre, now)
    actions = loop.broker.handle_reports(message.reports, now, message.requested_at)
    loop.perform(actions, now)
    loop.dependencies.workers.close_except(loop.broker.worker_ids())


@decision_loop.handlers.register("ReportsRequested")
def _handle_reports_request(
    loop: decision_loop.DecisionLoop,
    message: messages.ReportsRequested,
    now: datetime.datetime,
) -> None:
    loop.broker.report_age.record_request(message.overdue_at)


@decision_loop.handlers.register("ReportsFailed")
def _handle_reports_failure(
    loop: decision_loop.DecisionLoop,
    message: messages.ReportsFailed,
    now: datetime.datetime,
) -> None:
    loop.broker.report_age.record_failure(message.at)


@decision_loop.handlers.register("MembersRead")
def _handle_members(
    loop: decision_loop.DecisionLoop,
    message: messages.MembersRead,
    now: datetime.datetime,
) -> None:
    loop.election.record_registrations(
        message.registered, message.holders, now, message.holding
    )
    for holder in message.holders:
        loop.record_holder(holder, now)
    loop.update_streams(now)


@decision_loop.handlers.register("ClaimResultReceived")
def _handle_claim_result(
    loop: decision_loop.DecisionLoop,
    message: messages.ClaimResultReceived,
    now: datetime.datetime,
) -> None:
    if message.holder is not None:
        loop.record_holder(message.holder, now)


@decision_loop.handlers.register("StreamOpened")
def _handle_stream_opened(
    loop: decision_loop.DecisionLoop,
    message: messages.StreamOpened,
    now: datetime.datetime,
) -> None:
    loop.tell_workers(message.peer)
    loop.restate_shards(message.peer, now)


@decision_loop.handlers.register("ConnectionAccepted")
def _handle_connection_accepted(
    loop: decision_loop.DecisionLoop,
    message: messages.ConnectionAccepted,
    now: datetime.datetime,
) -> None:
    loop.accept(message.sender, message.connection, now)
    loop.restate_shards(message.sender, now)


@decision_loop.handlers.register("ConnectionClosed")
def _handle_connection_closed(
    loop: decision_loop.DecisionLoop,
    message: messages.ConnectionClosed,
    now: datetime.datetime,
) -> None:
    loop.forget(message.sender, message.connection)


@decision_loop.handlers.register("ConnectionRefused")
def _handle_connection_refused(
    loop: decision_loop.DecisionLoop,
    message: messages.ConnectionRefused,
    now: datetime.datetime,
) -> None:
    loop.election.record_refusal(message.peer)


@decision_loop.handlers.register("PeerMessagesReceived")
def _handle_peer_messages(
    loop: decision_loop.DecisionLoop,
    message: messages.PeerMessagesReceived,
    now: datetime.datetime,
) -> None:
    loop.record_sender(message.sender, now)
    for item in message.messages:
        sent = messages.PeerMessage(message.sender, item, message.sent_at)
        loop.dispatch(type(item).__name__, sent, now)


@decision_loop.handlers.register("SettingsReloaded")
def _handle_settings_reloaded(
    loop: decision_loop.DecisionLoop,
    message: messages.SettingsReloaded,
    now: datetime.datetime,
) -> None:
    loop.broker.set_terms(message.terms)
    loop.dependencies.reports.set_interval(report_age.read_interval(message.terms))


@decision_loop.handlers.register("LeaveRequested")
def _handle_leave_request(
    loop: decision_loop.DecisionLoop,
    message: messages.LeaveRequested,
    now: datetime.datetime,
) -> None:
    loop.start_leaving(now)


# Messages of other daemons


def _gateway_id(sent: messages.PeerMessage) -> broker_messages.GatewayId:
    return broker_messages.GatewayId(sent.sender.vm, sent.sender.incarnation)


@decision_loop.handlers.register("Heartbeat")
def _handle_heartbeat(
    loop: decision_loop.DecisionLoop, sent: messages.PeerMessage, now: datetime.datetime
) -> None:
    loop.handle_heartbeat(sent.sender, sent.content, now)


@decision_loop.handlers.register("Loads")
def _handle_loads(
    loop: decision_loop.DecisionLoop, sent: messages.PeerMessage, now: datetime.datetime
) -> None:
    loop.handle_loads(sent.sender, sent.content)


@decision_loop.handlers.register("Submit")
def _handle_submit(
    loop: decision_loop.DecisionLoop, sent: messages.PeerMessage, now: datetime.datetime
) -> None:
    message, sent_at = sent.content, sent.sent_at
    submission = broker_messages.Submission(
        message.job,
        message.queue,
        message.data_centre,
        sent_at - clock.milliseconds(message.age_ms),
        sent_at + clock.milliseconds(message.remaining_ms),
        message.shard,
        message.tasks,
        message.is_resumed,
        message.workers,
        message.sequence,
        message.token,
    )
    echoed_at = loop.clock_instant(message.echo_ms)
    known_at = sent_at - clock.milliseconds(message.known_age_ms)
    actions = loop.broker.submit(
        submission, _gateway_id(sent), now, known_at, echoed_at
    )
    loop.perform(actions, now)


@decision_loop.failure_handlers.register("Submit")
def _abandon_shard(
    loop: decision_loop.DecisionLoop, sent: messages.PeerMessage, now: datetime.datetime
) -> None:
    gateway_id = _gateway_id(sent)
    shard_id = broker_messages.ShardId(
        sent.content.job.job_id, sent.content.shard, gateway_id
    )
    loop.perform(loop.broker.abandon(shard_id, now), now)


@decision_loop.handlers.register("Withdraw")
def _handle_withdraw(
    loop: decision_loop.DecisionLoop, sent: messages.PeerMessage, now: datetime.datetime
) -> None:
    gateway_id = _gateway_id(sent)
    shard_id = broker_messages.ShardId(
        sent.content.job_id, sent.content.shard, gateway_id
    )
    loop.perform(loop.broker.withdraw(shard_id, now), now)


@decision_loop.handlers.register("WaitingShards")
def _handle_waiting_shards(
    loop: decision_loop.DecisionLoop, sent: messages.PeerMessage, now: datetime.datetime
) -> None:
    known_at = sent.sent_at - clock.milliseconds(sent.content.known_age_ms)
    actions = loop.broker.handle_statement(
        _gateway_id(sent), sent.content.statement, now, known_at
    )
    loop.perform(actions, now)


@decision_loop.handlers.register("ShardStarted")
def _handle_shard_started(
    loop: decision_loop.DecisionLoop, sent: messages.PeerMessage, now: datetime.datetime
) -> None:
    message = sent.content
    loop.gateway.record_started_workers(
        sent.sender, message.job_id, message.shard, message.workers
    )


@decision_loop.handlers.register("AskAgain")
def _handle_ask_again(
    loop: decision_loop.DecisionLoop, sent: messages.PeerMessage, now: datetime.datetime
) -> None:
    loop.submit_again(sent.sender)


@decision_loop.handlers.register("HeldWorkers")
def _handle_held_workers(
    loop: decision_loop.DecisionLoop, sent: messages.PeerMessage, now: datetime.datetime
) -> None:
    loop.perform(loop.broker.record_worker_set(sent.content.worker_set), now)


@decision_loop.handlers.register("Outcome")
def _handle_outcome(
    loop: decision_loop.DecisionLoop, sent: messages.PeerMessage, now: datetime.datetime
) -> None:
    message = sent.content
    actions = loop.gateway.handle_outcome(
        sent.sender, message.job_id, message.shard, message.outcome, now, message.token
    )
    loop.perform(actions, now)


# Actions


@decision_loop.action_handlers.register("StartRun")
def _perform_start(
    loop: decision_loop.DecisionLoop,
    action: broker_messages.StartRun,
    now: datetime.datetime,
) -> None:
    loop.dependencies.workers.start(action)


@decision_loop.failure_handlers.register("StartRun")
def _settle_start(
    loop: decision_loop.DecisionLoop,
    action: broker_messages.StartRun,
    now: datetime.datetime,
) -> None:
    """Treat a failed start order as one without an answer: it may have been sent."""
    worker, no_answer = action.worker, runs.OrderResult.NO_ANSWER
    actions = loop.broker.handle_start_result(
        worker.worker_id, worker.incarnation, action.run, no_answer, now
    )
    loop.perform(actions, now)


@decision_loop.failure_handlers.register("StopRun")
def _settle_stop(
    loop: decision_loop.DecisionLoop,
    action: broker_messages.StopRun,
    now: datetime.datetime,
) -> None:
    """Treat a failed stop order as one without an answer: the tick repeats it."""
    worker, no_answer = action.worker, runs.OrderResult.NO_ANSWER
    actions = loop.broker.handle_stop_result(
        worker.worker_id, worker.incarnation, action.run, no_answer, now
    )
    loop.perform(actions, now)


@decision_loop.action_handlers.register("StopRun")
def _perform_stop(
    loop: decision_loop.DecisionLoop,
    action: broker_messages.StopRun,
    now: datetime.datetime,
) -> None:
    loop.dependencies.workers.stop(action)


@decision_loop.action_handlers.register("PollWorker")
def _perform_poll(
    loop: decision_loop.DecisionLoop,
    action: broker_messages.PollWorker,
    now: datetime.datetime,
) -> None:
    loop.dependencies.workers.poll(action)


@decision_loop.action_handlers.register("SendOutcome")
def _perform_send_outcome(
    loop: decision_loop.DecisionLoop,
    action: broker_messages.SendOutcome,
    now: datetime.datetime,
) -> None:
    shard_id = action.shard_id
    message = stream_messages.Outcome(
        shard_id.job_id, shard_id.shard, action.outcome, action.token
    )
    _send_to_gateway(loop, shard_id.gateway, message)


@decision_loop.action_handlers.register("SendShardStarted")
def _perform_send_shard_started(
    loop: decision_loop.DecisionLoop,
    action: broker_messages.SendShardStarted,
    now: datetime.datetime,
) -> None:
    shard_id = action.shard_id
    message = stream_messages.ShardStarted(
        shard_id.job_id, shard_id.shard, action.workers
    )
    _send_to_gateway(loop, shard_id.gateway, message)


@decision_loop.action_handlers.register("AskAgain")
def _perform_ask_again(
    loop: decision_loop.DecisionLoop,
    action: broker_messages.AskAgain,
    now: datetime.datetime,
) -> None:
    _send_to_gateway(loop, action.gateway, stream_messages.AskAgain())


@decision_loop.action_handlers.register("TellWorkers")
def _perform_tell_workers(
    loop: decision_loop.DecisionLoop,
    action: broker_messages.TellWorkers,
    now: datetime.datetime,
) -> None:
    loop.broadcast(stream_messages.HeldWorkers(action.worker_set))


def _send_to_gateway(
    loop: decision_loop.DecisionLoop,
    gateway_id: broker_messages.GatewayId,
    message: stream_messages.Message,
) -> None:
    """Send a message to a gateway; drop it if the gateway's daemon has ended."""
    daemon = loop.election.daemon(gateway_id.vm, gateway_id.incarnation)
    if daemon is not None:
        loop.send(daemon, message)


@decision_loop.action_handlers.register("HolderFenced")
def _perform_holder_fenced(
    loop: decision_loop.DecisionLoop,
    action: broker_messages.HolderFenced,
    now: datetime.datetime,
) -> None:
    loop.election.record_refused_holder(action.data_centre, now)
    loop.update_worker_links()


@decision_loop.action_handlers.register("LogDecision")
def _perform_log_decision(
    loop: decision_loop.DecisionLoop,
    action: broker_messages.LogDecision,
    now: datetime.datetime,
) -> None:
    loop.log_decision(action.name, action.subject, action.fields)


@decision_loop.action_handlers.register("CountJob")
def _perform_count_job(
    loop: decision_loop.DecisionLoop, action: gateway.CountJob, now: datetime.datetime
) -> None:
    outcome = action.outcome
    is_plain = outcome.reason is jobs.Reason.NONE
    text = outcome.verdict.value if is_plain else outcome.reason.value
    loop.dependencies.metrics.count_job(action.queue, action.size_class.value, text)


@decision_loop.action_handlers.register("SendShard")
def _perform_send_shard(
    loop: decision_loop.DecisionLoop, action: gateway.SendShard, now: datetime.datetime
) -> None:
    submission = action.submission
    age_ms = clock.to_milliseconds(now - submission.arrived)
    remaining_ms = clock.to_milliseconds(submission.deadline - now)
    echo_ms = loop.peer_clock_ms(action.daemon)
    # The client waited when its request arrived, however late that was read.
    known_age_ms = min(age_ms, loop.known_age_ms())
    message = stream_messages.submit(
        submission, age_ms, remaining_ms, echo_ms, known_age_ms
    )
    loop.send(action.daemon, message)


@decision_loop.action_handlers.register("SendWithdrawal")
def _perform_send_withdrawal(
    loop: decision_loop.DecisionLoop,
    action: gateway.SendWithdrawal,
    now: datetime.datetime,
) -> None:
    loop.send(action.daemon, stream_messages.Withdraw(action.job_id, action.shard))


@decision_loop.action_handlers.register("SendStatement")
def _perform_send_statement(
    loop: decision_loop.DecisionLoop,
    action: gateway.SendStatement,
    now: datetime.datetime,
) -> None:
    message = stream_messages.WaitingShards(action.statement, loop.known_age_ms())
    loop.send_on_all(action.daemon, message)


@decision_loop.action_handlers.register("Answer")
def _perform_answer(
    loop: decision_loop.DecisionLoop, action: gateway.Answer, now: datetime.datetime
) -> None:
    loop.dependencies.replies.put(action.reply_id, action.outcome)
