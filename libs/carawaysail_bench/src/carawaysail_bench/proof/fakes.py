"""Fake targets, store and callers, driven by the simulated clock."""

import datetime
import typing

from carawaysail_bench.proof import history, simulation
from carawaysail_decisions import events
from carawaysail_platform import errors, keyvalue
from carawaysail_types import clock, identifiers, outcomes

RUN_TIME = clock.milliseconds(100)
KEEP_ALIVE_TIMEOUT = clock.milliseconds(6_000)
SLOWNESS_FACTOR = 20
"""Run times of a target in mode ``slow``, as a multiple of ``RUN_TIME``."""


class Target:
    """A target that starts all tasks of a batch and answers each with its payload.

    Parameters
    ----------
    sim : simulation.Simulation
        Clock, event queue and network.
    name, data_centre : str
        Its name and data centre.
    kind : str
        ``runner`` or ``worker``.

    Attributes
    ----------
    mode : str
        Fault: ``leaving``, ``slow``, ``never_ends``, ``fails_all``, ``crossed`` (the
        next answer has another task's identifier); empty for none.
    is_silent : bool
        Whether it accepts connections but neither starts tasks nor answers.
    """

    incarnation = 0

    def __init__(
        self, sim: simulation.Simulation, name: str, data_centre: str, kind: str
    ) -> None:
        self.name = name
        self.data_centre = data_centre
        self.kind = kind
        self.is_alive = True
        self.mode = ""
        self.is_silent = False
        self._sim = sim
        self._stopped: set[identifiers.TaskId] = set()

    def post(self, callback: simulation.Callback) -> None:
        """Run a callback at once."""
        callback()

    def receive_batch(
        self, sender: typing.Any, action: events.SendBatch, handle_event: typing.Any
    ) -> None:
        """Receive a batch from a daemon.

        Parameters
        ----------
        sender : nodes.Node
            The daemon.
        action : events.SendBatch
            The batch.
        handle_event : callable
            Runs at the daemon with each event of the batch: results of tasks, its end,
            and the target's notice that it leaves.
        """
        sent_at = self._sim.now()
        incarnation = sender.incarnation

        def send_event(event: typing.Any) -> None:
            def arrive() -> None:
                if sender.is_alive and sender.incarnation == incarnation:
                    sender.post(lambda: handle_event(event))

            if not self.is_silent:
                self._sim.deliver(self, sender, simulation.LOCAL_LATENCY, arrive)

        def report_lost_connection() -> None:
            """End the batch at the daemon as possibly started."""
            reason = outcomes.Reason.CONNECTION_LOST
            status = outcomes.BatchStatus.MAY_HAVE_STARTED
            if sender.is_alive and sender.incarnation == incarnation:
                finished = events.BatchFinished(action.batch, status, reason)
                sender.post(lambda: handle_event(finished))

        if not self.is_alive or self._sim.is_partitioned(sender, self):
            reason = outcomes.Reason.CONNECTION_LOST
            not_started = events.BatchFinished(
                action.batch, outcomes.BatchStatus.NOT_STARTED, reason
            )
            self._sim.schedule(
                simulation.LOCAL_LATENCY,
                lambda: sender.post(lambda: handle_event(not_started)),
            )
            return

        def arrive() -> None:
            self._start_tasks(sender, action, send_event, sent_at)

        self._sim.deliver(
            sender, self, simulation.LOCAL_LATENCY, arrive, may_duplicate=False
        )
        self._schedule_keep_alive_probe(action, report_lost_connection)

    def _schedule_keep_alive_probe(
        self, action: events.SendBatch, report_lost_connection: simulation.Callback
    ) -> None:
        """Report the connection as lost to a sender that would wait in vain.

        The sender is notified once the keep-alive timeout is over if the target is
        silent or dead then, as TCP keep-alive probes do, and in any case 30 s after
        the latest deadline of the batch.
        """

        def probe() -> None:
            if self.is_silent or not self.is_alive:
                report_lost_connection()

        self._sim.schedule(KEEP_ALIVE_TIMEOUT, probe)
        longest_wait = (
            action.latest_deadline - self._sim.now() + clock.milliseconds(30_000)
        )
        self._sim.schedule(longest_wait, report_lost_connection)

    def _start_tasks(
        self,
        sender: typing.Any,
        action: events.SendBatch,
        send_event: typing.Any,
        sent_at: datetime.datetime,
    ) -> None:
        if not self.is_alive or self.is_silent:
            return
        if self.mode == "leaving":
            send_event(events.TargetLeaving(self.name))
        for batch_task in action.tasks:
            self._record_start(batch_task, sent_at)
            self._sim.reach_step("started", batch_task.task_id.submission, self)
        run_time = RUN_TIME * (SLOWNESS_FACTOR if self.mode == "slow" else 1)
        if self.mode == "never_ends":
            return

        def finish() -> None:
            if self.is_alive:
                self._finish(action, send_event)

        self._sim.schedule(run_time, finish)

    def _record_start(
        self, batch_task: events.BatchTask, sent_at: datetime.datetime
    ) -> None:
        submission, position = batch_task.task_id
        self._sim.history.append(
            history.TaskStarted(
                self._sim.now(), submission, position, self.name, sent_at
            )
        )

    def _finish(self, action: events.SendBatch, send_event: typing.Any) -> None:
        self._sim.reach_step("finished", action.tasks[0].task_id.submission, self)
        for batch_task in action.tasks:
            send_event(self._result(action.batch, batch_task))
        send_event(events.BatchFinished(action.batch, outcomes.BatchStatus.ANSWERED))

    def _result(self, batch: int, batch_task: events.BatchTask) -> events.TaskFinished:
        if self.mode == "fails_all":
            reason = outcomes.Reason.TARGET_FAILED
            return events.TaskFinished(batch, batch_task.task_id, False, b"", reason)
        if batch_task.task_id in self._stopped:
            reason = outcomes.Reason.TASK_STOPPED
            return events.TaskFinished(batch, batch_task.task_id, False, b"", reason)
        task_id = batch_task.task_id
        if self.mode == "crossed":
            self.mode = ""
            task_id = identifiers.TaskId("another~task", 0)
        return events.TaskFinished(
            batch, task_id, True, batch_task.payload, ran_ms=100.0
        )

    def stop(self, tasks: tuple[identifiers.TaskId, ...]) -> None:
        """Answer the given tasks as stopped once their run time is over."""
        self._stopped.update(tasks)


class Store:
    """The key-value service that holds the settings; implements ``keyvalue.KeyValue``.

    Parameters
    ----------
    sim : simulation.Simulation
        Clock, event queue and network.

    Attributes
    ----------
    mode : str
        Fault: ``lost_answers`` (writes take effect, their answers are lost),
        ``lagging`` (watchers receive changes 5 s late); empty for none.
    watchers : list of nodes.Node
        Nodes that receive every change.
    """

    name = "store"
    data_centre = "platform"
    incarnation = 0

    def __init__(self, sim: simulation.Simulation) -> None:
        self.is_alive = True
        self.mode = ""
        self._sim = sim
        self._revision = 0
        self._items: dict[str, keyvalue.Item] = {}
        self.watchers: list[typing.Any] = []

    def post(self, callback: simulation.Callback) -> None:
        """Run a callback at once."""
        callback()

    def read(self, prefix: str) -> keyvalue.Snapshot:
        """Return all keys under a prefix.

        Raises
        ------
        errors.StoreUnavailableError
            If the store is down.
        """
        self._check_available()
        items = [x for key, x in self._items.items() if key.startswith(prefix)]
        return keyvalue.Snapshot(tuple(items), self._revision)

    def compare_and_swap(self, key: str, expected_revision: int, value: str) -> int:
        """Write a key if its revision is the expected one; return the new revision.

        The revision of a key that does not exist is 0.

        Raises
        ------
        errors.WriteConflictError
            If the key has another revision.
        errors.StoreUnavailableError
            If the store is down; nothing was written.
        errors.WriteUncertainError
            If the answer was lost; the key was written.
        """
        self._check_available()
        current_revision = self._items[key].revision if key in self._items else 0
        if current_revision != expected_revision:
            raise errors.WriteConflictError(key, expected_revision, current_revision)
        self._revision += 1
        self._items[key] = keyvalue.Item(key, value, self._revision)
        section = key.rpartition("settings/")[2]
        now = self._sim.now()
        self._sim.history.append(history.SectionWritten(now, section, self._revision))
        self._notify_watchers(self._items[key])
        self._sim.reach_step("written", section, self)
        if self.mode == "lost_answers":
            raise errors.WriteUncertainError(key, "lost")
        return self._revision

    def watch(
        self, prefix: str, after_revision: int
    ) -> typing.Iterator[tuple[keyvalue.Item, ...]]:
        """Yield nothing; ``watchers`` receive changes by callback instead."""
        yield from ()

    def _check_available(self) -> None:
        if not self.is_alive:
            raise errors.StoreUnavailableError(self.name, "down")

    def _notify_watchers(self, item: keyvalue.Item) -> None:
        lag = clock.milliseconds(5_000 if self.mode == "lagging" else 2)
        for node in list(self.watchers):
            if not self._sim.is_partitioned(self, node):
                self._sim.schedule(lag, node.watch_callback((item,)))


class Caller:
    """A caller that resubmits one submission until its outcome is known.

    Each submission under the same identifier, the first one included, is a copy.

    Parameters
    ----------
    sim : simulation.Simulation
        Clock, event queue and network.
    send : callable
        Sends a copy to a daemon; takes the caller, the number of the copy, and the
        functions to run with the outcome and on failure.
    submission : str
        Identifier of the submission, as text.
    max_copies : int
        Largest number of copies sent; the caller gives up after the last one.
    """

    incarnation = 0
    data_centre = "callers"

    def __init__(
        self,
        sim: simulation.Simulation,
        send: typing.Any,
        submission: str,
        max_copies: int,
    ) -> None:
        self.name = f"caller of {submission}"
        self.is_alive = True
        self._sim = sim
        self._send = send
        self._submission = submission
        self._max_copies = max_copies
        self._copies_sent = 0

    def post(self, callback: simulation.Callback) -> None:
        """Run a callback at once."""
        callback()

    def submit(self) -> None:
        """Send the next copy."""
        self._copies_sent += 1
        copy = self._copies_sent

        def on_outcome(outcome: outcomes.Outcome) -> None:
            now = self._sim.now()
            answered = history.CopyAnswered(now, self._submission, copy, outcome)
            self._sim.history.append(answered)
            self._sim.reach_step("acknowledged", self._submission, self)
            if isinstance(outcome, outcomes.Unknown):
                self._schedule_next_copy()

        self._send(self, copy, on_outcome, self._schedule_next_copy)

    def _schedule_next_copy(self) -> None:
        if self._copies_sent < self._max_copies:
            self._sim.schedule(clock.milliseconds(700), self.submit)
