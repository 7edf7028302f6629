"""Fakes of targets, of the store and of callers, under the world's clock."""

import datetime
import typing

from carawaysail_bench.proof import history, simulation
from carawaysail_decisions import events
from carawaysail_platform import errors, keyvalue
from carawaysail_types import clock, identifiers, outcomes

RUN = clock.milliseconds(100)
SILENT = clock.milliseconds(6_000)
SLOWNESS = 20


class Target:
    """A target: starts what it is sent, and answers when it has run.

    Parameters
    ----------
    earth : simulation.World
        The world.
    name, place, kind : str
        Its name, data centre and kind.
    """

    life = 0

    def __init__(
        self, earth: simulation.World, name: str, place: str, kind: str
    ) -> None:
        self.name = name
        self.place = place
        self.kind = kind
        self.is_alive = True
        self.mode = ""
        self.is_silent = False
        self._earth = earth
        self._stopped: set[identifiers.TaskId] = set()

    def post(self, call: simulation.Call) -> None:
        """Run a call at once."""
        call()

    def take(
        self, sender: typing.Any, action: events.SendBatch, tell: typing.Any
    ) -> None:
        """Take a batch from a daemon; ``tell`` takes events back to it."""
        sent_at = self._earth.now()
        life = sender.life

        def deliver(event: typing.Any) -> None:
            def arrive() -> None:
                if sender.is_alive and sender.life == life:
                    sender.post(lambda: tell(event))

            if not self.is_silent:
                self._earth.leg(self, sender, simulation.NEAR, arrive)

        def lost() -> None:
            """Tell the daemon that the connection is silent."""
            reason = outcomes.Reason.CONNECTION_LOST
            fate = outcomes.Fate.MAY_HAVE_STARTED
            if sender.is_alive and sender.life == life:
                ended = events.BatchEnded(action.batch, fate, reason)
                sender.post(lambda: tell(ended))

        if not self.is_alive or self._earth.is_cut(sender, self):
            reason = outcomes.Reason.CONNECTION_LOST
            refused = events.BatchEnded(action.batch, outcomes.Fate.NOT_STARTED, reason)
            self._earth.later(
                simulation.NEAR, lambda: sender.post(lambda: tell(refused))
            )
            return

        def arrive() -> None:
            self._start(sender, action, deliver, sent_at)

        self._earth.leg(sender, self, simulation.NEAR, arrive, may_double=False)
        self._watch(action, lost)

    def _watch(self, action: events.SendBatch, lost: simulation.Call) -> None:
        """Let the sender find a silent connection, as keep-alive probes do."""

        def probe() -> None:
            if self.is_silent or not self.is_alive:
                lost()

        self._earth.later(SILENT, probe)
        until = action.latest_deadline - self._earth.now() + clock.milliseconds(30_000)
        self._earth.later(until, lost)

    def _start(
        self,
        sender: typing.Any,
        action: events.SendBatch,
        deliver: typing.Any,
        sent_at: datetime.datetime,
    ) -> None:
        if not self.is_alive or self.is_silent:
            return
        if self.mode == "leaving":
            deliver(events.TargetLeaving(self.name))
        for sent in action.tasks:
            self._record(sent, sent_at)
            self._earth.step("started", sent.task_id.submission, self)
        run = RUN * (SLOWNESS if self.mode == "slow" else 1)
        if self.mode == "never_ends":
            return

        def finish() -> None:
            if self.is_alive:
                self._finish(action, deliver)

        self._earth.later(run, finish)

    def _record(self, sent: events.BatchTask, sent_at: datetime.datetime) -> None:
        submission, position = sent.task_id
        self._earth.history.append(
            history.Started(self._earth.now(), submission, position, self.name, sent_at)
        )

    def _finish(self, action: events.SendBatch, deliver: typing.Any) -> None:
        self._earth.step("finished", action.tasks[0].task_id.submission, self)
        for sent in action.tasks:
            deliver(self._result(action.batch, sent))
        deliver(events.BatchEnded(action.batch, outcomes.Fate.ANSWERED))

    def _result(self, batch: int, sent: events.BatchTask) -> events.TaskEnded:
        if self.mode == "fails_all":
            reason = outcomes.Reason.TARGET_FAILED
            return events.TaskEnded(batch, sent.task_id, False, b"", reason)
        if sent.task_id in self._stopped:
            reason = outcomes.Reason.TASK_STOPPED
            return events.TaskEnded(batch, sent.task_id, False, b"", reason)
        task_id = sent.task_id
        if self.mode == "crossed":
            self.mode = ""
            task_id = identifiers.TaskId("another~task", 0)
        return events.TaskEnded(batch, task_id, True, sent.payload, ran_ms=100.0)

    def stop(self, tasks: tuple[identifiers.TaskId, ...]) -> None:
        """Stop tasks; they are answered as stopped."""
        self._stopped.update(tasks)


class Store:
    """The key-value service as the operators' command line uses it.

    Parameters
    ----------
    earth : simulation.World
        The world.
    """

    name = "store"
    place = "platform"
    life = 0

    def __init__(self, earth: simulation.World) -> None:
        self.is_alive = True
        self.mode = ""
        self._earth = earth
        self._revision = 0
        self._held: dict[str, keyvalue.Item] = {}
        self.watchers: list[typing.Any] = []

    def post(self, call: simulation.Call) -> None:
        """Run a call at once."""
        call()

    def read(self, prefix: str) -> keyvalue.Snapshot:
        """Return all keys under a prefix."""
        self._check_up()
        items = [x for key, x in self._held.items() if key.startswith(prefix)]
        return keyvalue.Snapshot(tuple(items), self._revision)

    def compare_and_swap(self, key: str, expected: int, value: str) -> int:
        """Write a key if its revision is the expected one."""
        self._check_up()
        found = self._held[key].revision if key in self._held else 0
        if found != expected:
            raise errors.WriteConflictError(key, expected, found)
        self._revision += 1
        self._held[key] = keyvalue.Item(key, value, self._revision)
        section = key.rpartition("settings/")[2]
        now = self._earth.now()
        self._earth.history.append(history.Accepted(now, section, self._revision))
        self._tell(self._held[key])
        self._earth.step("written", section, self)
        if self.mode == "lost_answers":
            raise errors.WriteUncertainError(key, "lost")
        return self._revision

    def watch(
        self, prefix: str, after: int
    ) -> typing.Iterator[tuple[keyvalue.Item, ...]]:
        """Yield nothing: the fake tells its watchers directly."""
        yield from ()

    def _check_up(self) -> None:
        if not self.is_alive:
            raise errors.StoreUnavailableError(self.name, "down")

    def _tell(self, item: keyvalue.Item) -> None:
        lag = clock.milliseconds(5_000 if self.mode == "lagging" else 2)
        for node in list(self.watchers):
            if not self._earth.is_cut(self, node):
                self._earth.later(lag, node.hear_later((item,)))


class Caller:
    """A caller: sends copies of one submission until it knows, or gives up.

    Parameters
    ----------
    earth : simulation.World
        The world.
    send : callable
        Sends a copy to a daemon: takes the number of the copy, what gives the
        outcome and what tells a failure; returns the daemon's name.
    submission : str
        Text of the identifier.
    copies : int
        Copies sent at most.
    """

    life = 0
    place = "callers"

    def __init__(
        self,
        earth: simulation.World,
        send: typing.Any,
        submission: str,
        copies: int,
    ) -> None:
        self.name = f"caller of {submission}"
        self.is_alive = True
        self._earth = earth
        self._send = send
        self._submission = submission
        self._copies = copies
        self._copy = 0

    def post(self, call: simulation.Call) -> None:
        """Run a call at once."""
        call()

    def submit(self) -> None:
        """Send the next copy."""
        self._copy += 1
        copy = self._copy

        def give(outcome: outcomes.Outcome) -> None:
            now = self._earth.now()
            told = history.Answered(now, self._submission, copy, outcome)
            self._earth.history.append(told)
            self._earth.step("acknowledged", self._submission, self)
            if isinstance(outcome, outcomes.Unknown):
                self._again()

        self._send(self, copy, give, self._again)

    def _again(self) -> None:
        if self._copy < self._copies:
            self._earth.later(clock.milliseconds(700), self.submit)
