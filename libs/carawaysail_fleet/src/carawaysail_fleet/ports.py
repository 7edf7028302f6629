"""Interfaces to the outside: what a daemon needs of its platform.

Adapters carry them out. They translate and decide nothing.
"""

import datetime
import typing

from carawaysail_holding import broker_messages, policies
from carawaysail_types import errors, jobs, runs


class Item(typing.NamedTuple):
    """One key of the store.

    Parameters
    ----------
    key : str
        The key.
    value : bytes
        Its value.
    revision : int
        Revision of its last write.
    """

    key: str
    value: bytes
    revision: int


class Snapshot(typing.NamedTuple):
    """Keys under a prefix.

    Parameters
    ----------
    items : tuple of Item
        The keys.
    revision : int
        The store's revision that they were read at.
    """

    items: tuple[Item, ...]
    revision: int


class WatchResult(typing.NamedTuple):
    """What a watch has seen.

    Parameters
    ----------
    changed : tuple of Item
        Keys that were written.
    removed : tuple of str
        Keys that were removed.
    revision : int
        Revision to go on from.
    """

    changed: tuple[Item, ...]
    removed: tuple[str, ...]
    revision: int


class Store(typing.Protocol):
    """The platform's store; every call raises an error of ``carawaysail_platform``."""

    def read(self, key: str) -> Item | None:
        """Return a key, or ``None`` if there is none."""

    def list(self, prefix: str, allow_stale: bool = False) -> Snapshot:
        """Return all keys under a prefix; a stale answer costs much less."""

    def wait(self, prefix: str, after: int, wait: datetime.timedelta) -> WatchResult:
        """Wait for a change under a prefix; also return when the wait is over.

        Raises ``HistoryLostError`` if the store has forgotten what came after.
        """

    def compare_and_swap(
        self, key: str, expected: int, value: bytes, lease: int = 0
    ) -> int:
        """Write a key if its revision is the expected one; return the new one."""

    def grant(self, ttl: datetime.timedelta) -> int:
        """Return a new lease."""

    def renew(self, lease: int) -> bool:
        """Renew a lease; tell whether it still held."""

    def revoke(self, lease: int) -> None:
        """End a lease; its keys are removed."""


class WorkerClient(typing.Protocol):
    """Calls to workers; none raises, an answer says what became of the order."""

    def start(self, order: broker_messages.StartRun) -> runs.OrderResult:
        """Order a run."""

    def stop(self, order: broker_messages.StopRun) -> runs.OrderResult:
        """Stop a run."""

    def poll(
        self, order: broker_messages.PollWorker
    ) -> runs.WorkerStatus | runs.OrderResult:
        """Renew the lease and return what runs, or why there is no listing."""

    def forget(self, worker_id: str) -> None:
        """Close the connections to a worker."""


class StoreCodec(typing.Protocol):
    """Keys and formats of what lies in the store."""

    configuration_key: str
    reports_prefix: str

    def configuration(self, value: bytes) -> jobs.Configuration:
        """Decode the operators' configuration."""

    def report(self, item: Item) -> tuple[runs.WorkerReport, int] | None:
        """Decode a worker's report and its count of heartbeats, if it is one."""


class Settings(typing.NamedTuple):
    """What a daemon learns at its start.

    Parameters
    ----------
    vm, data_centre : str
        Who it is and where.
    front, readiness, peer, metrics : str
        Addresses to listen at, ``host:port``; empty for none.
    data_centres : tuple of str
        All data centres.
    terms : events.Terms
        Figures that decisions rest on.
    grace : datetime.timedelta
        Time between the request to end and the kill.
    policy_names : policies.PolicyNames
        Policies of brokers.
    admission : str
        Admission policy of the gateway.
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


class Request(typing.NamedTuple):
    """A request over HTTP.

    Parameters
    ----------
    method, host, path : str
        Method, host name without port, and path without query.
    headers : dict of str to str
        Headers by lower-case name.
    body : bytes
        The body.
    """

    method: str
    host: str
    path: str
    headers: dict[str, str]
    body: bytes


class Response(typing.NamedTuple):
    """A response over HTTP.

    Parameters
    ----------
    status : int
        Status code.
    body : bytes
        The body.
    headers : tuple of (str, str)
        Headers besides type and length.
    content_type : str
        Type of the body.
    """

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()
    content_type: str = "application/json"


class JobRequest(typing.NamedTuple):
    """A job that a client sends.

    Parameters
    ----------
    queue : jobs.Queue
        The queue that it is for.
    job : jobs.Job
        The job.
    patience : datetime.timedelta
        How long the client waits, at most.
    """

    queue: jobs.Queue
    job: jobs.Job
    client_timeout: datetime.timedelta


class StateRequest(typing.NamedTuple):
    """A question after the state of a job that is kept."""

    queue: jobs.Queue
    job_id: str


class CancelRequest(typing.NamedTuple):
    """A request to cancel a job that is kept."""

    queue: jobs.Queue
    job_id: str


class PendingRequest(typing.NamedTuple):
    """A question after the number of kept jobs that have not begun."""

    queue: jobs.Queue


ClientRequest = JobRequest | StateRequest | CancelRequest | PendingRequest


class ClientCodec(typing.Protocol):
    """Translates between requests of clients and their meaning."""

    def decode(
        self, request: Request, configuration: jobs.Configuration
    ) -> ClientRequest | None:
        """Return what a request asks for; ``None`` if no queue has its path.

        Raises
        ------
        carawaysail_types.errors.BadInputError
            If the request cannot be understood.
        """

    def outcome(self, outcome: jobs.JobOutcome) -> Response:
        """Return the answer to a job."""

    def pending(self, count: int) -> Response:
        """Return the answer to a question after waiting jobs."""

    def unknown_job(self) -> Response:
        """Return the answer to a question after a job that does not exist."""

    def unknown_queue(self) -> Response:
        """Return the answer where no queue has the path."""

    def invalid(self, exc: errors.CarawaysailError) -> Response:
        """Return the answer to a request that cannot be understood."""
