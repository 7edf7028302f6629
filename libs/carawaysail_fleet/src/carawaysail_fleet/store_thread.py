"""The thread of a task that calls the platform's store again and again.

It repeats a step, logs when the store becomes unreachable and when it is reachable
again, and records when the store has last answered.
"""

import datetime
import random
import threading
import typing

from carawaysail_fleet import backoff, messages, metrics, ports, store_limits
from carawaysail_platform import errors
from carawaysail_runtime import inbox, logs
from carawaysail_types import clock
from carawaysail_types import errors as type_errors


class Context(typing.NamedTuple):
    """What all tasks of a daemon share.

    Parameters
    ----------
    loop_inbox : inbox.Inbox
        Inbox of the decision loop, for what was read.
    source : clock.Clock
        Source of the present instant.
    metrics : metrics.DaemonMetrics
        Metrics of the daemon.
    seed : int
        Seed of the jitter of the backoff.
    limits : store_limits.StoreLimits
        Time limits of calls to the store.
    """

    loop_inbox: "inbox.Inbox[messages.Message]"
    source: clock.Clock
    metrics: metrics.DaemonMetrics
    seed: int
    limits: store_limits.StoreLimits


class StoreThread:
    """A thread that repeats a step until it is stopped.

    After a failed step, whatever its exception, it waits with exponential backoff and
    tries again. The time that a call without an answer has waited counts as a part of
    that pause.

    Parameters
    ----------
    store : ports.Store
        Client of the store; used by this thread only, except for
        ``LeaseTask.deregister``.
    context : Context
        What all tasks share.
    """

    name = "store"

    def __init__(self, store: ports.Store, context: Context) -> None:
        self._store = store
        self._loop_inbox = context.loop_inbox
        self._clock = context.source
        self._metrics = context.metrics
        self._limits = context.limits
        self._backoff = backoff.Backoff(
            random.Random(context.seed), context.limits.call_timeout
        )
        self._answered_at = context.source.now()
        self._call_began_at = self._answered_at
        self._is_stopping = threading.Event()
        self._is_reachable = True
        self._has_lost_history = False
        self._last_failure = ""
        self._thread = threading.Thread(target=self._run, name=self.name, daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Let the thread end after its present call; returns at once."""
        self._is_stopping.set()

    def _run(self) -> None:
        while not self._is_stopping.is_set():
            self._pause(self._attempt())

    def _pause(self, pause_s: float) -> None:
        """Wait between two steps."""
        self._is_stopping.wait(pause_s)

    def _attempt(self) -> float:
        """Do one step, whatever fails; return the pause before the next, in seconds."""
        self._call_began_at = self._clock.now()
        try:
            pause_s = self._step()
        except errors.HistoryLostError as exc:
            name = self.name
            logs.log_event(
                "store", "Watch history expired.", task=name, after=exc.after
            )
            # A store that keeps no history at all would be read without a pause.
            pause_s = self._backoff.next_pause_s() if self._has_lost_history else 0
            self._has_lost_history = True
        except type_errors.CarawaysailError as exc:
            self._log_unreachable(exc)
            pause_s = self._remaining_backoff_s()
        except Exception as exc:
            self._handle_failure(exc)
            pause_s = self._remaining_backoff_s()
        else:
            self._record_success()
        return pause_s

    def _remaining_backoff_s(self) -> float:
        """Return the pause after a failed step, in seconds.

        It is shorter by what the step's call has waited in vain.
        """
        waited = self._clock.now() - self._call_began_at - self._longest_wait()
        waited_s = max(0.0, waited.total_seconds())
        return max(0.0, self._backoff.next_pause_s() - waited_s)

    def _longest_wait(self) -> datetime.timedelta:
        """Return how long the store may hold the answer of a step back."""
        return datetime.timedelta()

    def _step(self) -> float:
        """Do one step; return the pause before the next one, in seconds."""
        raise NotImplementedError

    def _log_unreachable(self, exc: type_errors.CarawaysailError) -> None:
        if self._is_reachable:
            self._is_reachable = False
            logs.log_error(
                "store", "Store unreachable.", exc, task=self.name,
                waited_ms=self._milliseconds_since(self._call_began_at),
            )  # fmt: skip

    def _milliseconds_since(self, instant: datetime.datetime) -> int:
        return round(clock.to_milliseconds(self._clock.now() - instant))

    def _handle_failure(self, exc: Exception) -> None:
        """Log an exception that nobody expects; once if its type repeats."""
        failure = type(exc).__name__
        if failure != self._last_failure:
            self._last_failure = failure
            logs.log_error("store", "Task failed.", exc, task=self.name)

    def _record_success(self) -> None:
        self._backoff.reset()
        self._has_lost_history = False
        self._last_failure = ""
        if not self._is_reachable:
            self._is_reachable = True
            logs.log_event(
                "store", "Store reachable again.", task=self.name,
                after_ms=self._milliseconds_since(self._answered_at),
            )  # fmt: skip
        self._record_answer()

    def _record_answer(self) -> None:
        """Record that the store has answered, so that what is known is up to date."""
        self._answered_at = self._clock.now()
        self._metrics.record_store_answer(self.name, self._answered_at)


class WatchThread(StoreThread):
    """A task that reads once and then watches for changes."""

    def __init__(self, store: ports.Store, context: Context) -> None:
        super().__init__(store, context)
        # Last known revision; 0 makes the next step start with a read.
        self._after = 0

    def _longest_wait(self) -> datetime.timedelta:
        return self._limits.watch_wait

    def _handle_failure(self, exc: Exception) -> None:
        """Log an exception that nobody expects; the next step starts with a read."""
        super()._handle_failure(exc)
        # A change that was received may not have been published.
        self._after = 0

    def _watch(self, prefix: str) -> ports.WatchResult:
        """Wait for changes since the last known revision.

        After a failed call the next one resumes from the same revision. If the store no
        longer has the history since then, the next step starts with a read.

        Raises
        ------
        errors.HistoryLostError
            If the store no longer has the history since the last known revision.
        """
        after_revision = self._after
        try:
            result = self._store.watch(prefix, after_revision, self._longest_wait())
        except errors.HistoryLostError:
            self._after = 0
            raise
        self._after = max(after_revision, result.revision)
        return result
