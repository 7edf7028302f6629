"""Messages of a daemon's tasks and threads to its decision loop.

They stay inside the process. ``handlers`` registers the handler of each type.
"""

import datetime
import typing

from carawaysail_fleet import ports
from carawaysail_holding import broker_messages
from carawaysail_types import daemons, jobs, runs


class JobPosted(typing.NamedTuple):
    """A client has submitted a job.

    Parameters
    ----------
    request : ports.JobRequest
        The job, its queue and the client's timeout.
    reply_id : int
        Number of the pending reply, see ``replies.Replies``.
    arrived : datetime.datetime
        Earliest instant at which the request can have arrived; the client's timeout
        counts from it.
    """

    request: ports.JobRequest
    reply_id: int
    arrived: datetime.datetime


class ClientLeft(typing.NamedTuple):
    """A client has disconnected, or has had no answer in time.

    Parameters
    ----------
    job_id : str
        The job that the client submitted.
    reply_id : int
        Number of the pending reply, see ``replies.Replies``.
    """

    job_id: str
    reply_id: int


class WorkerStatusReceived(typing.NamedTuple):
    """A poll of a worker is over.

    Parameters
    ----------
    worker : runs.WorkerReport
        The worker.
    result : runs.WorkerStatus or runs.OrderResult
        The worker's status, or why there is none.
    requested_at : datetime.datetime
        When the poll was sent.
    """

    worker: runs.WorkerReport
    result: runs.WorkerStatus | runs.OrderResult
    requested_at: datetime.datetime


class StartResultReceived(typing.NamedTuple):
    """An order to start a run has a result.

    Parameters
    ----------
    worker : runs.WorkerReport
        Worker that got the order.
    run : runs.Run
        The run.
    result : runs.OrderResult
        Result of the order; may be ``NO_ANSWER``.
    """

    worker: runs.WorkerReport
    run: runs.Run
    result: runs.OrderResult


class StopResultReceived(typing.NamedTuple):
    """An order to stop a run has a result.

    Parameters
    ----------
    worker : runs.WorkerReport
        Worker that got the order.
    run : runs.Run
        The run.
    result : runs.OrderResult
        Result of the order; may be ``NO_ANSWER``.
    """

    worker: runs.WorkerReport
    run: runs.Run
    result: runs.OrderResult


class ConfigurationRead(typing.NamedTuple):
    """The operators' configuration was read from the store, at start or on change.

    Parameters
    ----------
    configuration : jobs.Configuration
        The configuration.
    read_at : datetime.datetime
        When the store's answer arrived.
    """

    configuration: jobs.Configuration
    read_at: datetime.datetime


class ReportsRead(typing.NamedTuple):
    """The reports of all workers were read from the store.

    Parameters
    ----------
    reports : tuple of runs.WorkerReport
        All reports that the store has.
    live_data_centres : frozenset of str
        Data centres where some report has a new heartbeat count since the last read.
    requested_at : datetime.datetime
        When the read began; the answer has all that the store had then.
    """

    reports: tuple[runs.WorkerReport, ...]
    live_data_centres: frozenset[str]
    requested_at: datetime.datetime


class ReportsRequested(typing.NamedTuple):
    """A read of the workers' reports has begun.

    Parameters
    ----------
    overdue_at : datetime.datetime
        Instant from which the store counts as not answering it.
    """

    overdue_at: datetime.datetime


class ReportsFailed(typing.NamedTuple):
    """A read of the workers' reports has failed, or its answer was late.

    Parameters
    ----------
    at : datetime.datetime
        When it was over.
    """

    at: datetime.datetime


class MembersRead(typing.NamedTuple):
    """All daemons and holders in the store, at the first read and after each change.

    Parameters
    ----------
    registered : tuple of daemons.Daemon
        Daemons whose entry is in the store, that is, whose lease has not expired.
    holders : tuple of daemons.Holder
        Newest holder of each data centre that has had one.
    holding : tuple of daemons.Daemon
        Daemons that wrote a holder record after the entry of their VM, if it has one.
    """

    registered: tuple[daemons.Daemon, ...]
    holders: tuple[daemons.Holder, ...]
    holding: tuple[daemons.Daemon, ...] = ()


class ClaimResultReceived(typing.NamedTuple):
    """A claim of a data centre has been answered.

    Parameters
    ----------
    data_centre : str
        Data centre that was claimed.
    holder : daemons.Holder or None
        Newest holder in the store, this daemon or another one; ``None`` if there is
        none or the store did not answer.
    """

    data_centre: str
    holder: daemons.Holder | None


class StreamOpened(typing.NamedTuple):
    """A connection to another daemon was opened, and that daemon has answered.

    Messages on the connection that it replaces may have been lost.
    """

    peer: daemons.Daemon


class ConnectionAccepted(typing.NamedTuple):
    """Another daemon has opened a connection; it can be answered there.

    Messages on the connection that it replaces may have been lost.
    """

    sender: daemons.Daemon
    connection: typing.Any


class ConnectionClosed(typing.NamedTuple):
    """A connection that another daemon had opened has ended."""

    sender: daemons.Daemon
    connection: typing.Any


class ConnectionRefused(typing.NamedTuple):
    """No process listens at a daemon's address, so the daemon has ended."""

    peer: daemons.Daemon


class PeerMessagesReceived(typing.NamedTuple):
    """Messages of a daemon have arrived.

    Parameters
    ----------
    sender : daemons.Daemon
        The daemon that sent them; may be this one.
    messages : tuple
        Messages of ``carawaysail_streams.messages``, in the order of sending.
    sent_at : datetime.datetime
        Earliest instant at which they can have been sent: they may have waited while
        this daemon stood still.
    """

    sender: daemons.Daemon
    messages: tuple[typing.Any, ...]
    sent_at: datetime.datetime


class PeerMessage(typing.NamedTuple):
    """One message of a daemon; the argument of its handler.

    Parameters
    ----------
    sender : daemons.Daemon
        The daemon that sent it; may be this one.
    content : object
        The message, of ``carawaysail_streams.messages``.
    sent_at : datetime.datetime
        Earliest instant at which it can have been sent.
    """

    sender: daemons.Daemon
    content: typing.Any
    sent_at: datetime.datetime


class SettingsReloaded(typing.NamedTuple):
    """The settings file was read again; ``terms`` are its present values."""

    terms: broker_messages.Terms


class LeaveRequested(typing.NamedTuple):
    """The daemon is asked to shut down gracefully."""


Message = (
    JobPosted
    | ClientLeft
    | WorkerStatusReceived
    | StartResultReceived
    | StopResultReceived
    | ConfigurationRead
    | ReportsRequested
    | ReportsRead
    | ReportsFailed
    | MembersRead
    | ClaimResultReceived
    | StreamOpened
    | ConnectionAccepted
    | ConnectionClosed
    | ConnectionRefused
    | PeerMessagesReceived
    | SettingsReloaded
    | LeaveRequested
)
