"""The scenario of every cell: a small fleet, work, operators, and a quiet end."""

import datetime
import typing

from carawaysail_bench.proof import fakes, history, nodes, rules, setups, simulation
from carawaysail_cli import stored
from carawaysail_decisions import ownership
from carawaysail_platform import errors
from carawaysail_settings import edits, tree
from carawaysail_types import clock, identifiers, outcomes, work

PLACES = ("rosario", "cordoba")
WARM_UP = clock.milliseconds(3_000)
DEADLINE = clock.milliseconds(5_000)
GIVE_UP = clock.milliseconds(7_000)
HEAL = clock.milliseconds(12_000)
QUIET = clock.milliseconds(30_000)
COPIES = 4
JOB_TASKS = 6


class Scenario:
    """A small fleet of two data centres under one clock.

    Parameters
    ----------
    parts : setups.Parts
        What each node is made of; broken variants replace a part.
    """

    def __init__(self, parts: setups.Parts | None = None) -> None:
        self.earth = simulation.World()
        self.parts = parts or setups.Parts()
        store = fakes.Store(self.earth)
        self.fleet = nodes.Fleet(
            nodes={}, targets={}, store=store, leaving_vms=set(), list_is_out=False
        )
        self.tree = _tree()
        stored.SettingsStore(store).write(stored.Read({}, {}, {}), self.tree)
        self._add_targets()
        self._add_nodes()
        self.submissions: dict[str, work.Submission] = {}
        self.earth.run(WARM_UP)

    def _add_targets(self) -> None:
        for place in PLACES:
            for kind in ("runner", "worker"):
                for number in (1, 2):
                    name = f"{place}-{kind}-{number}"
                    target = fakes.Target(self.earth, name, place, kind)
                    self.fleet["targets"][name] = target

    def _add_nodes(self) -> None:
        names = [(f"{place}-e{n}", place) for place in PLACES for n in (1, 2)]
        known = self.fleet["nodes"]
        for name, place in names:
            known[name] = nodes.Node(self.earth, self.fleet, name, place, self.parts)
        for node in known.values():
            node.start()

    # Work

    def submit(
        self, own: str, kind: str, via: tuple[str, ...], owner: str = "rosario-e1"
    ) -> str:
        """Let a caller submit one submission, with copies through several daemons.

        Parameters
        ----------
        own : str
            The caller's part of the identifier.
        kind : str
            ``job``, ``request`` or ``idempotent``.
        via : tuple of str
            Daemons that the copies go to, in turn.
        owner : str
            The daemon whose token the identifier carries.
        """
        submission = self._make(own, kind, owner)
        name = str(submission.submission_id)
        self.submissions[name] = submission

        def send(
            caller: fakes.Caller, copy: int, give: typing.Any, again: typing.Any
        ) -> None:
            node = self.fleet["nodes"][via[(copy - 1) % len(via)]]
            self._send(caller, submission, copy, node, give, again)

        fakes.Caller(self.earth, send, name, COPIES).submit()
        return name

    def _make(self, own: str, kind: str, owner: str) -> work.Submission:
        count = JOB_TASKS if kind == "job" else 1
        payloads = [f'"{own}-{number}"'.encode() for number in range(count)]
        register = self.fleet["nodes"][owner].coordinator.register
        token = register.owner(self.earth.now())
        return work.Submission(
            identifiers.SubmissionId(token, own),
            ownership.digest_of(b"".join(payloads)),
            "pedidos",
            "request" if kind != "job" else "job",
            tuple(work.Task(payload) for payload in payloads),
            self.earth.now() + DEADLINE,
            kind == "idempotent",
            kind == "job",
        )

    def _send(
        self,
        caller: fakes.Caller,
        submission: work.Submission,
        copy: int,
        node: nodes.Node,
        give: typing.Any,
        again: typing.Any,
    ) -> None:
        name = str(submission.submission_id)
        now = self.earth.now()
        payloads = tuple(task.payload for task in submission.tasks)
        self.earth.history.append(
            history.Attempted(
                now, name, copy, node.name, payloads, submission.idempotent
            )
        )
        sent = submission._replace(attempt=copy, deadline=now + DEADLINE)
        was_leaving = node.is_leaving

        def serve(answer: simulation.Give) -> None:
            node.take(sent, answer)

        def fail(was_sent: bool, nobody_listens: bool) -> None:
            is_ending = node.is_leaving and not was_leaving
            is_cut_off = was_sent and is_ending and not node.is_paused
            broken = history.Broken(self.earth.now(), name, copy, node.name, is_cut_off)
            self.earth.history.append(broken)
            again()

        self.earth.exchange(caller, node, serve, give, fail, GIVE_UP)

    def cancel(self, names: tuple[str, ...], via: str) -> None:
        """Let callers cancel submissions, all in one message."""
        self.fleet["nodes"][via].cancel(names)

    # Operators

    def change(self, path: str, value: object, tries: int = 6) -> None:
        """Let an operator change one value, trying again while the store is out."""
        store = stored.SettingsStore(self.fleet["store"])
        try:
            before = store.read()
            store.write(before, edits.put(before.cfg, path, value))
        except errors.WriteConflictError:
            return
        except (errors.StoreUnavailableError, errors.WriteUncertainError):
            if tries > 1:
                again = lambda: self.change(path, value, tries - 1)  # noqa: E731
                self.earth.later(clock.milliseconds(4_000), again)

    def leave(self, target: str) -> None:
        """Let a target begin to leave, by the VM list."""
        self.fleet["leaving_vms"].add(target)
        self.left(target)

    def left(self, target: str) -> None:
        """Record that a target began to leave."""
        self.earth.history.append(history.Left(self.earth.now(), target))

    # The end

    def finish(self) -> list[history.Break]:
        """Heal all faults, let everything settle, and check the history."""
        self.earth.run(HEAL)
        self.heal()
        self.earth.run(QUIET)
        holders = {
            f"{node.name}/{node.life}": node.versions.revisions()
            for node in self.fleet["nodes"].values()
            if node.is_alive
        }
        self.earth.history.append(history.Ended(self.earth.now(), holders))
        return rules.check(self.earth.history)

    def heal(self) -> None:
        """End every fault that can end."""
        self.earth.cuts.clear()
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
        """Return the outcomes that a submission's copies got, in order."""
        return [
            event.outcome
            for event in self.earth.history
            if isinstance(event, history.Answered) and event.submission == name
        ]

    def run(self, duration: datetime.timedelta) -> None:
        """Let time pass."""
        self.earth.run(duration)


def _tree() -> tree.Tree:
    places: dict[str, tree.Place] = {}
    for place in PLACES:
        targets: dict[str, tree.Target] = {}
        for kind in ("runner", "worker"):
            for number in (1, 2):
                targets[f"{place}-{kind}-{number}"] = {
                    "kind": kind,
                    "url": "http://127.0.0.1:1",
                    "services": ["pedidos"],
                }
        places[place] = {"racks": {"r1": {"targets": targets}}}
    teams: dict[str, tree.Team] = {"ventas": {"services": {"pedidos": {}}}}
    return tree.check_tree({"settings": {}, "teams": teams, "places": places})
