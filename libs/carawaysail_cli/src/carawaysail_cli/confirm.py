"""Where a change is in force, and where that could not be confirmed."""

import typing

from carawaysail_cli import daemons, stored
from carawaysail_settings import tree
from carawaysail_types import clock

CONFIRM_S = 6.0
POLL = clock.milliseconds(100)


class Spread(typing.NamedTuple):
    """How far a change has come.

    Parameters
    ----------
    in_force : tuple of str
        Daemons at the written revisions, or newer ones.
    behind : tuple of str
        Daemons that answered with older ones.
    silent : tuple of str
        Daemons that did not answer.
    """

    in_force: tuple[str, ...]
    behind: tuple[str, ...]
    silent: tuple[str, ...]

    def text(self) -> str:
        """Return a sentence for people."""
        parts = [f"in force on {len(self.in_force)} entry daemons"]
        if self.behind:
            parts.append("not yet on " + ", ".join(self.behind))
        if self.silent:
            parts.append("not confirmed by " + ", ".join(self.silent))
        return "; ".join(parts)


def spread(
    asked: daemons.Daemons, cfg: tree.Tree, written: list[stored.Written]
) -> Spread:
    """Return where the written sections are in force now."""
    in_force, behind, silent = [], [], []
    for vm, status in asked.status_of_all(cfg).items():
        if status is None:
            silent.append(vm)
        elif _has(status, written):
            in_force.append(vm)
        else:
            behind.append(vm)
    return Spread(tuple(in_force), tuple(behind), tuple(silent))


def wait(
    asked: daemons.Daemons,
    cfg: tree.Tree,
    written: list[stored.Written],
    source: clock.SystemClock,
) -> Spread:
    """Ask until the change is in force everywhere, or ``CONFIRM_S`` is over."""
    until = source.seconds() + CONFIRM_S
    while True:
        found = spread(asked, cfg, written)
        done = not found.behind and not found.silent
        if done or source.seconds() >= until:
            return found
        source.sleep(POLL)


def _has(status: dict[str, typing.Any], written: list[stored.Written]) -> bool:
    held = status["settings"]["revisions"]
    return all(held.get(name, 0) >= revision for name, revision in written)
