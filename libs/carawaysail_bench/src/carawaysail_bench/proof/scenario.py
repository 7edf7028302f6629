"""The fleet, work and operators of every simulated run, and its fault-free end."""

import datetime
import typing

from carawaysail_bench.proof import fakes, history, nodes, rules, setups, simulation
from carawaysail_cli import settings_store
from carawaysail_decisions import ownership
from carawaysail_platform import errors
from carawaysail_settings import edits, tree
from carawaysail_types import clock, identifiers, outcomes, work

DATA_CENTRES = ("rosario", "cordoba")
WARM_UP = clock.milliseconds(3_000)
"""Time for the nodes to receive settings and each other's gossip."""

DEADLINE = clock.milliseconds(5_000)
CALLER_TIMEOUT = clock.milliseconds(7_000)
HEAL_AFTER = clock.milliseconds(12_000)
"""Time for which the work runs under the faults before they are healed."""

SETTLE_TIME = clock.milliseconds(30_000)
"""Time from healing until the rules are checked."""

MAX_COPIES = 4
JOB_TASKS = 6


class Scenario:
    """A fleet of two data centres, each with two nodes, two runners and two workers.

    Parameters
    ----------
    setup : setups.NodeSetup, optional
        The decision code of every node; the real code by default.
    """

    def __init__(self, setup: setups.NodeSetup | None = None) -> None:
        self.sim = simulation.Simulation()
        self.setup = setup or setups.NodeSetup()
        store = fakes.Store(self.sim)
        self.fleet = nodes.SimulatedFleet(
            nodes={}, targets={}, store=store, leaving_vms=set(), list_is_out=False
        )
        self.tree = _make_tree()
        settings_store.SettingsStore(store).write(
            settings_store.StoredTree({}, {}, {}), self.tree
        )
        self._add_targets()
        self._add_nodes()
        self.submissions: dict[str, work.Submission] = {}
        self.sim.run_for(WARM_UP)

    def _add_targets(self) -> None:
        for data_centre in DATA_CENTRES:
            for kind in ("runner", "worker"):
                for number in (1, 2):
                    name = f"{data_centre}-{kind}-{number}"
                    target = fakes.Target(self.sim, name, data_centre, kind)
                    self.fleet["targets"][name] = target

    def _add_nodes(self) -> None:
        names = [
            (f"{data_centre}-e{n}", data_centre)
            for data_centre in DATA_CENTRES
            for n in (1, 2)
        ]
        nodes_by_name = self.fleet["nodes"]
        for name, data_centre in names:
            nodes_by_name[name] = nodes.Node(
                self.sim, self.fleet, name, data_centre, self.setup
            )
        for node in nodes_by_name.values():
            node.start()

    # Work

    def submit(
        self, own_id: str, kind: str, vms: tuple[str, ...], owner: str = "rosario-e1"
    ) -> str:
        """Submit work as a new caller; return its identifier as text.

        Parameters
        ----------
        own_id : str
            Local part of the identifier, unique for the owner.
        kind : str
            ``job``, ``request`` or ``idempotent``.
        vms : tuple of str
            VMs of the daemons that the copies are sent to, in turn.
        owner : str
            VM of the daemon whose owner token the identifier contains.
        """
        submission = self._make_submission(own_id, kind, owner)
        name = str(submission.submission_id)
        self.submissions[name] = submission

        def send(
            caller: fakes.Caller, copy: int, on_outcome: typing.Any, retry: typing.Any
        ) -> None:
            node = self.fleet["nodes"][vms[(copy - 1) % len(vms)]]
            self._send_copy(caller, submission, copy, node, on_outcome, retry)

        fakes.Caller(self.sim, send, name, MAX_COPIES).submit()
        return name

    def _make_submission(self, own_id: str, kind: str, owner: str) -> work.Submission:
        count = JOB_TASKS if kind == "job" else 1
        payloads = [f'"{own_id}-{number}"'.encode() for number in range(count)]
        register = self.fleet["nodes"][owner].coordinator.register
        token = register.owner(self.sim.now())
        return work.Submission(
            identifiers.SubmissionId(token, own_id),
            ownership.digest_of(b"".join(payloads)),
            "pedidos",
            "request" if kind != "job" else "job",
            tuple(work.Task(payload) for payload in payloads),
            self.sim.now() + DEADLINE,
            kind == "idempotent",
            kind == "job",
        )

    def _send_copy(
        self,
        caller: fakes.Caller,
        submission: work.Submission,
        copy: int,
        node: nodes.Node,
        on_outcome: typing.Any,
        retry: typing.Any,
    ) -> None:
        name = str(submission.submission_id)
        now = self.sim.now()
        payloads = tuple(task.payload for task in submission.tasks)
        self.sim.history.append(
            history.CopySent(
                now, name, copy, node.name, payloads, submission.idempotent
            )
        )
        sent = submission._replace(attempt=copy, deadline=now + DEADLINE)
        incarnation, was_leaving = node.incarnation, node.is_leaving
        received_by = 0
        is_answered = False

        def handle(answer: simulation.Reply) -> None:
            nonlocal received_by
            received_by = node.incarnation

            def send_answer(value: typing.Any) -> None:
                nonlocal is_answered
                is_answered = True
                answer(value)

            node.receive(sent, send_answer)

        def on_failure(was_sent: bool, was_refused: bool) -> None:
            was_closed = was_sent and self.sim.now() - now < CALLER_TIMEOUT
            is_pending = received_by == incarnation and not is_answered
            is_ending = not was_leaving and node.is_ending_gracefully(incarnation)
            was_graceful = is_ending and (was_closed or is_pending)
            unanswered = history.CopyUnanswered(
                self.sim.now(), name, copy, node.name, was_graceful
            )
            self.sim.history.append(unanswered)
            retry()

        self.sim.exchange(caller, node, handle, on_outcome, on_failure, CALLER_TIMEOUT)

    def cancel(self, submission_ids: tuple[str, ...], vm: str) -> None:
        """Cancel submissions at one daemon, all in one message."""
        self.fleet["nodes"][vm].cancel(submission_ids)

    # Operators

    def change_setting(self, path: str, value: object, attempts_left: int = 6) -> None:
        """Change one setting as an operator; retry every 4 s while the store fails.

        Stops after ``attempts_left`` attempts, or at once on a write conflict.
        """
        store = settings_store.SettingsStore(self.fleet["store"])
        try:
            before = store.read()
            store.write(before, edits.set_value(before.cfg, path, value))
        except errors.WriteConflictError:
            return
        except (errors.StoreUnavailableError, errors.WriteUncertainError):
            if attempts_left > 1:
                retry = lambda: self.change_setting(path, value, attempts_left - 1)  # noqa: E731
                self.sim.schedule(clock.milliseconds(4_000), retry)

    def start_leaving(self, target: str) -> None:
        """Mark a target as leaving in the VM list."""
        self.fleet["leaving_vms"].add(target)
        self.record_leaving(target)

    def record_leaving(self, target: str) -> None:
        """Record in the history that a target began to leave."""
        self.sim.history.append(history.LeaveStarted(self.sim.now(), target))

    # End of the run

    def heal_and_check(self) -> list[history.Violation]:
        """Heal all faults, run until the fleet has settled, and check the rules."""
        self.sim.run_for(HEAL_AFTER)
        self.heal()
        self.sim.run_for(SETTLE_TIME)
        revisions_by_daemon = {
            f"{node.name}/{node.incarnation}": node.versions.revisions()
            for node in self.fleet["nodes"].values()
            if node.is_alive
        }
        self.sim.history.append(
            history.HistoryEnded(self.sim.now(), revisions_by_daemon)
        )
        return rules.check(self.sim.history)

    def heal(self) -> None:
        """End partitions, outages and modes of targets; restart dead processes.

        Pauses end by themselves. Targets that leave by the settings or the VM list
        continue to do so.
        """
        self.sim.partitions.clear()
        store = self.fleet["store"]
        store.is_alive = True
        store.mode = ""
        self.fleet["list_is_out"] = False
        for target in self.fleet["targets"].values():
            target.is_silent = False
            target.mode = ""
            target.is_alive = True
        for node in self.fleet["nodes"].values():
            if not node.is_alive:
                node.start()

    def outcomes_of(self, name: str) -> list[outcomes.Outcome]:
        """Return the outcomes received for the copies of a submission, in order."""
        return [
            event.outcome
            for event in self.sim.history
            if isinstance(event, history.CopyAnswered) and event.submission == name
        ]

    def advance(self, duration: datetime.timedelta) -> None:
        """Advance the simulated clock and run what is due by then."""
        self.sim.run_for(duration)


def _make_tree() -> tree.Tree:
    data_centres: dict[str, tree.DataCentre] = {}
    for data_centre in DATA_CENTRES:
        targets: dict[str, tree.Target] = {}
        for kind in ("runner", "worker"):
            for number in (1, 2):
                targets[f"{data_centre}-{kind}-{number}"] = {
                    "kind": kind,
                    "url": "http://127.0.0.1:1",
                    "services": ["pedidos"],
                }
        data_centres[data_centre] = {"racks": {"r1": {"targets": targets}}}
    teams: dict[str, tree.Team] = {"ventas": {"services": {"pedidos": {}}}}
    return tree.check_tree({"settings": {}, "teams": teams, "places": data_centres})
