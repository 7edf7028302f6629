"""What tasks and threads tell the desk; each is handled by a registered handler."""

import datetime
import typing

from carawaysail_fleet import ports
from carawaysail_holding import broker_messages
from carawaysail_types import daemons, jobs, runs


class JobPosted(typing.NamedTuple):
    """A client has sent a job."""

    request: ports.JobRequest
    reply_id: int


class ClientLeft(typing.NamedTuple):
    """A client has closed its connection."""

    job_id: str
    reply_id: int


class WorkerStatusReceived(typing.NamedTuple):
    """A worker has answered, or not, what runs on it."""

    worker: runs.WorkerReport
    answer: runs.WorkerStatus | runs.OrderResult
    asked_at: datetime.datetime


class StartAnswered(typing.NamedTuple):
    """A worker has answered, or not, an order to start."""

    worker: runs.WorkerReport
    run: runs.Run
    answer: runs.OrderResult


class StopAnswered(typing.NamedTuple):
    """A worker has answered, or not, an order to stop."""

    worker: runs.WorkerReport
    run: runs.Run
    answer: runs.OrderResult


class ConfigurationRead(typing.NamedTuple):
    """The store has a configuration."""

    configuration: jobs.Configuration


class ReportsRead(typing.NamedTuple):
    """The store has been asked for the reports of all workers."""

    reports: tuple[runs.WorkerReport, ...]
    live_data_centres: frozenset[str]
    asked_at: datetime.datetime


class MembersRead(typing.NamedTuple):
    """The store has been asked for all daemons and tenures."""

    registered: tuple[daemons.Daemon, ...]
    holders: tuple[daemons.Holder, ...]


class ClaimAnswered(typing.NamedTuple):
    """A tenure was tried for; the newest one that the store has, if it told."""

    data_centre: str
    holder: daemons.Holder | None


class StreamOpened(typing.NamedTuple):
    """A stream from or to another daemon was opened."""

    peer: daemons.Daemon


class ConnectionRefused(typing.NamedTuple):
    """Nothing listens at a daemon's address."""

    peer: daemons.Daemon


class PeerMessagesReceived(typing.NamedTuple):
    """Another daemon has sent messages."""

    sender: daemons.Daemon
    messages: tuple[typing.Any, ...]


class SettingsReloaded(typing.NamedTuple):
    """The settings were read again."""

    terms: broker_messages.Terms


class LeaveRequested(typing.NamedTuple):
    """The daemon is asked to end."""


Message = (
    JobPosted
    | ClientLeft
    | WorkerStatusReceived
    | StartAnswered
    | StopAnswered
    | ConfigurationRead
    | ReportsRead
    | MembersRead
    | ClaimAnswered
    | StreamOpened
    | ConnectionRefused
    | PeerMessagesReceived
    | SettingsReloaded
    | LeaveRequested
)
