"""Builders and test cases that the tests of several libraries share."""

import datetime
import pathlib
import tempfile
import typing

import testtools

from carawaysail_bench import fleet
from carawaysail_decisions import capacity, dispatcher, events, ownership
from carawaysail_standins import main as standins
from carawaysail_types import clock, identifiers, outcomes, work

OWNER = identifiers.Owner("rosario", "e1", "0123456789abcdef", 0)
TEAM = "default"


def make_id(own: str = "order-1") -> identifiers.SubmissionId:
    """Return a submission identifier with the default owner."""
    return identifiers.SubmissionId(OWNER, own)


def make_submission(
    now: datetime.datetime,
    own: str = "order-1",
    tasks: int = 1,
    deadline_ms: float = 5_000,
    **changes: typing.Any,
) -> work.Submission:
    """Return a submission with the default owner to the default service.

    Parameters
    ----------
    now : datetime.datetime
        Time of the submission.
    own : str
        Local part of the identifier, unique for the owner.
    tasks : int
        Number of tasks: 1 makes a request, more a job.
    deadline_ms : float
        Deadline, in milliseconds from ``now``.
    **changes
        Fields of the submission to replace.
    """
    payloads = [f'"{own}-{number}"'.encode() for number in range(tasks)]
    submission = work.Submission(
        make_id(own),
        ownership.digest_of(b"".join(payloads)),
        "pedidos",
        "job" if tasks > 1 else "request",
        tuple(work.Task(payload) for payload in payloads),
        now + clock.milliseconds(deadline_ms),
        is_job=tasks > 1,
    )
    return submission._replace(**changes)


def make_spec(name: str, kind: str = "runner", slots: float = 4) -> capacity.TargetSpec:
    """Return the spec of a target that serves the default service.

    Parameters
    ----------
    name : str
        Name of the target.
    kind : str
        ``runner`` or ``worker``.
    slots : float
        Number of slots of a runner, or of processors of a worker.
    """
    task_capacity = capacity.Capacity(slots)
    if kind == "worker":
        task_capacity = capacity.Capacity(slots, 16_000.0, 1.0)
    return capacity.TargetSpec(name, kind, "", frozenset({"pedidos"}), task_capacity)


def make_folder(case: testtools.TestCase) -> pathlib.Path:
    """Return a new temporary folder that is removed after the test."""
    folder = tempfile.TemporaryDirectory()
    case.addCleanup(folder.cleanup)
    return pathlib.Path(folder.name)


def make_targets(
    data_centre: str, runners: int = 2, workers: int = 2
) -> list[standins.StandinSpec]:
    """Return specs of the stand-in targets of a data centre, on unused ports."""
    kinds = ["runner"] * runners + ["worker"] * workers
    return [
        {
            "name": f"{data_centre}-{kind}-{number}",
            "kind": kind,
            "port": port,
            "slots": 8,
            "slowness": 1.0,
        }
        for number, (kind, port) in enumerate(
            zip(kinds, fleet.free_ports(len(kinds)), strict=True)
        )
    ]


class DispatcherCase(testtools.TestCase):
    """A dispatcher with a manual clock, four targets and a large quota."""

    specs: tuple[capacity.TargetSpec, ...] = (
        make_spec("r1"),
        make_spec("r2"),
        make_spec("w1", "worker"),
        make_spec("w2", "worker"),
    )
    dispatch_settings = events.DispatchSettings()

    def setUp(self) -> None:
        """Create the dispatcher with its quota and targets."""
        super().setUp()
        self.clock = clock.ManualClock()
        self.dispatcher = dispatcher.Dispatcher(1, self.dispatch_settings)
        self.handle(events.QuotasChanged({TEAM: 1_000}))
        self.set_targets(self.specs)

    def handle(self, event: events.Event) -> list[events.Action]:
        """Handle an event at the current time and return the actions."""
        return self.dispatcher.handle(event, self.clock.now())

    def set_targets(
        self, specs: tuple[capacity.TargetSpec, ...]
    ) -> list[events.Action]:
        """Set the targets, with a share of 1 in each of them."""
        shares = {spec.target_id: 1.0 for spec in specs}
        return self.handle(events.TargetsChanged(specs, shares))

    def submit(
        self,
        own: str = "order-1",
        service_settings: events.ServiceDispatchSettings | None = None,
        **more: typing.Any,
    ) -> list[events.Action]:
        """Submit work for the default service and return the actions."""
        submission = make_submission(self.clock.now(), own, **more)
        return self.handle(
            events.SubmissionReceived(
                submission, service_settings or events.ServiceDispatchSettings()
            )
        )

    def finish(
        self, sent: events.SendBatch, ran_ms: float = 100.0
    ) -> list[events.Action]:
        """Complete all tasks of a batch and return the actions.

        Parameters
        ----------
        sent : events.SendBatch
            The batch; each task is answered with its payload.
        ran_ms : float
            Run time of each task as its target reports it, in milliseconds.
        """
        actions = []
        for task in sent.tasks:
            finished = events.TaskFinished(
                sent.batch, task.task_id, True, task.payload, ran_ms=ran_ms
            )
            actions += self.handle(finished)
        return actions + self.handle(
            events.BatchFinished(sent.batch, outcomes.BatchStatus.ANSWERED)
        )

    def advance(self, milliseconds: float) -> list[events.Action]:
        """Advance the clock by milliseconds, fire the timer and return the actions."""
        self.clock.advance(clock.milliseconds(milliseconds))
        return self.handle(events.TimerFired())

    def assert_answer(
        self, actions: list[events.Action], expected: outcomes.Outcome
    ) -> None:
        """Check that the actions report exactly one outcome, the expected one."""
        found = [x.outcome for x in actions if isinstance(x, events.ReportOutcome)]
        self.assertEqual([expected], found)


def sent_batches(actions: list[events.Action]) -> list[events.SendBatch]:
    """Return the actions that send a batch, in order."""
    return [action for action in actions if isinstance(action, events.SendBatch)]
