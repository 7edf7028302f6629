"""Interfaces of a daemon to its platform: the store, workers and clients.

Adapters implement them. An adapter converts formats and makes no decisions.
"""

import datetime
import typing

from carawaysail_holding import broker_messages, contacts, policies
from carawaysail_platform import http_calls
from carawaysail_types import errors, jobs, runs


class Item(typing.NamedTuple):
    """One key of the store with its value.

    Parameters
    ----------
    key : str
        The key.
    value : bytes
        Value of the key.
    revision : int
        Revision of the last write of the key.
    lease : int
        Identifier of the lease whose end removes the key; 0 for none.
    """

    key: str
    value: bytes
    revision: int
    lease: int = 0


class Snapshot(typing.NamedTuple):
    """All keys under a prefix.

    Parameters
    ----------
    items : tuple of Item
        Keys with their values.
    revision : int
        Revision of the store when the read began; a watch after it misses no change.
    """

    items: tuple[Item, ...]
    revision: int


class WatchResult(typing.NamedTuple):
    """Changes that a watch has returned; none if its wait ended without any.

    Parameters
    ----------
    changed : tuple of Item
        Keys that were written, with their values.
    removed : tuple of str
        Keys that were removed.
    revision : int
        Revision from which the next watch resumes.
    """

    changed: tuple[Item, ...]
    removed: tuple[str, ...]
    revision: int


class Store(typing.Protocol):
    """Client of the platform's store, a key-value store with revisions and leases.

    Each method raises an error of ``carawaysail_platform.errors`` if the call fails.
    """

    def read(self, key: str) -> Item | None:
        """Return a key with its value, or ``None`` if the key does not exist."""

    def list(self, prefix: str) -> Snapshot:
        """Return all keys under a prefix, as of the call or later."""

    def watch(
        self, prefix: str, after_revision: int, timeout: datetime.timedelta
    ) -> WatchResult:
        """Wait for changes under a prefix.

        Parameters
        ----------
        prefix : str
            Prefix of the keys.
        after_revision : int
            Revision of the store; only later changes are returned.
        timeout : datetime.timedelta
            Longest wait; without a change the result is empty.

        Raises
        ------
        carawaysail_platform.errors.HistoryLostError
            If the store no longer has the changes after the revision.
        """

    def compare_and_swap(
        self, key: str, expected_revision: int, value: bytes, lease: int = 0
    ) -> int:
        """Write a key if its revision is the expected one; return the new revision.

        Parameters
        ----------
        key : str
            The key.
        expected_revision : int
            Revision of the last write of the key; 0 if the key must not exist.
        value : bytes
            New value.
        lease : int
            Identifier of the lease whose end removes the key; 0 for none.

        Raises
        ------
        carawaysail_platform.errors.WriteConflictError
            If the key has another revision.
        carawaysail_platform.errors.WriteUncertainError
            If the answer was lost, so that the key may or may not be written.
        """

    def grant(self, ttl: datetime.timedelta) -> int:
        """Return the identifier of a new lease, which expires after ``ttl``."""

    def renew(self, lease: int) -> bool:
        """Renew a lease; return ``False`` if it has expired already."""

    def revoke(self, lease: int) -> None:
        """End a lease at once; the keys that are bound to it are removed."""


class WorkerCodec(typing.Protocol):
    """Encodes calls to workers and decodes the replies."""

    def start(self, order: broker_messages.StartRun) -> http_calls.Request:
        """Encode an order that starts a run."""

    def stop(self, order: broker_messages.StopRun) -> http_calls.Request:
        """Encode an order that stops a run."""

    def poll(self, order: broker_messages.PollWorker) -> http_calls.Request:
        """Encode a poll."""

    def order_result(self, reply: http_calls.Reply) -> runs.OrderResult:
        """Decode the reply to an order: whether it was executed, or why not."""

    def status(self, reply: http_calls.Reply) -> runs.WorkerStatus | runs.OrderResult:
        """Decode the reply to a poll: the worker's status, or why there is none."""


class StoreCodec(typing.Protocol):
    """Keys and value formats of the platform's entries in the store.

    Attributes
    ----------
    configuration_key : str
        Key of the operators' configuration.
    reports_prefix : str
        Prefix of the keys of the workers' reports.
    """

    configuration_key: str
    reports_prefix: str

    def configuration(self, value: bytes) -> jobs.Configuration:
        """Decode the operators' configuration.

        Raises
        ------
        carawaysail_types.errors.CarawaysailError
            If the value is not a valid configuration.
        """

    def report(self, item: Item) -> tuple[runs.WorkerReport, int] | None:
        """Decode a worker's report and its heartbeat count; ``None`` if unreadable."""


class Settings(typing.NamedTuple):
    """Settings of a daemon, from its settings file.

    Parameters
    ----------
    vm, data_centre : str
        Name of the daemon's VM, and its data centre.
    front, readiness, peer, metrics : str
        Addresses to listen on, ``host:port``: for clients, readiness checks, other
        daemons and metrics. ``readiness`` and ``metrics`` may be empty for none.
    data_centres : tuple of str
        All data centres of the deployment.
    terms : broker_messages.Terms
        Parameters of the deployment that decisions use.
    grace : datetime.timedelta
        Time between SIGTERM and the kill of the process.
    policy_names : policies.PolicyNames
        Names of the broker's policies.
    admission : str
        Name of the gateway's admission policy.
    limits : contacts.Limits
        Limits of the VM.
    """

    vm: str
    data_centre: str
    front: str
    readiness: str
    peer: str
    metrics: str
    data_centres: tuple[str, ...]
    terms: broker_messages.Terms
    grace: datetime.timedelta
    policy_names: policies.PolicyNames = policies.PolicyNames()
    admission: str = "yielding"
    limits: contacts.Limits = contacts.Limits()


class Request(typing.NamedTuple):
    """An HTTP request.

    Parameters
    ----------
    method, host, path : str
        Method, host name without port, and path without query.
    headers : dict of str to str
        Headers by lower-case name.
    body : bytes
        Body, empty if there is none.
    """

    method: str
    host: str
    path: str
    headers: dict[str, str]
    body: bytes


class Response(typing.NamedTuple):
    """An HTTP response.

    Parameters
    ----------
    status : int
        Status code.
    body : bytes
        Body, empty if there is none.
    headers : tuple of (str, str)
        Headers other than ``Content-Type`` and ``Content-Length``.
    content_type : str
        Value of ``Content-Type``.
    """

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()
    content_type: str = "application/json"


class JobRequest(typing.NamedTuple):
    """A client's request to run a job and wait for its outcome.

    Parameters
    ----------
    queue : jobs.Queue
        Queue that the request's host and path select.
    job : jobs.Job
        The job.
    client_timeout : datetime.timedelta
        Time after which the client stops waiting.
    """

    queue: jobs.Queue
    job: jobs.Job
    client_timeout: datetime.timedelta


class StateRequest(typing.NamedTuple):
    """A client's request for the state of a job that an earlier request stored."""

    queue: jobs.Queue
    job_id: str


class CancelRequest(typing.NamedTuple):
    """A client's request to cancel a job that an earlier request stored."""

    queue: jobs.Queue
    job_id: str


class PendingRequest(typing.NamedTuple):
    """A client's request for the number of stored jobs that have not started."""

    queue: jobs.Queue


ClientRequest = JobRequest | StateRequest | CancelRequest | PendingRequest


class ClientCodec(typing.Protocol):
    """Decodes clients' requests and encodes the responses."""

    def decode(
        self, request: Request, configuration: jobs.Configuration
    ) -> ClientRequest | None:
        """Decode a request; return ``None`` if no queue matches its host and path.

        Raises
        ------
        carawaysail_types.errors.BadInputError
            If the request is malformed.
        """

    def outcome(self, outcome: jobs.JobOutcome) -> Response:
        """Return the response with the outcome of a job."""

    def pending(self, count: int) -> Response:
        """Return the response with the number of stored jobs that have not started."""

    def unknown_job(self) -> Response:
        """Return the response for a job that does not exist."""

    def unknown_queue(self) -> Response:
        """Return the response for a request that matches no queue."""

    def invalid(self, exc: errors.CarawaysailError) -> Response:
        """Return the response for a malformed request."""
