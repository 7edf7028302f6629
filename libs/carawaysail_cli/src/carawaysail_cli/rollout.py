"""Rollout of a settings change: which entry daemons use the written revisions."""

import typing

from carawaysail_cli import daemon_client, settings_store
from carawaysail_settings import tree
from carawaysail_types import clock

ROLLOUT_TIMEOUT_S = 6.0
POLL_INTERVAL = clock.milliseconds(100)


class RolloutStatus(typing.NamedTuple):
    """Entry daemons by whether a change is in force there.

    Parameters
    ----------
    in_force : tuple of str
        VMs of the daemons that use the written revisions or newer ones.
    behind : tuple of str
        VMs of the daemons that use older revisions.
    silent : tuple of str
        VMs of the daemons that did not answer.
    """

    in_force: tuple[str, ...]
    behind: tuple[str, ...]
    silent: tuple[str, ...]

    def text(self) -> str:
        """Return the status as text for operators."""
        parts = [f"in force on {len(self.in_force)} entry daemons"]
        if self.behind:
            parts.append("not yet on " + ", ".join(self.behind))
        if self.silent:
            parts.append("not confirmed by " + ", ".join(self.silent))
        return "; ".join(parts)


def rollout_status(
    client: daemon_client.DaemonClient,
    cfg: tree.Tree,
    written: list[settings_store.WrittenSection],
) -> RolloutStatus:
    """Request the status of all entry daemons, and return where a change is in force.

    Parameters
    ----------
    client : daemon_client.DaemonClient
        Client of the entry daemons.
    cfg : tree.Tree
        Tree with the addresses of the entry daemons.
    written : list of settings_store.WrittenSection
        The sections of the change.
    """
    in_force, behind, silent = [], [], []
    for vm, daemon_status in client.status_of_all(cfg).items():
        if daemon_status is None:
            silent.append(vm)
        elif _is_in_force(daemon_status, written):
            in_force.append(vm)
        else:
            behind.append(vm)
    return RolloutStatus(tuple(in_force), tuple(behind), tuple(silent))


def wait_until_in_force(
    client: daemon_client.DaemonClient,
    cfg: tree.Tree,
    written: list[settings_store.WrittenSection],
    time_source: clock.SystemClock,
) -> RolloutStatus:
    """Poll until a change is in force on all daemons, or ``ROLLOUT_TIMEOUT_S`` is over.

    Parameters
    ----------
    client, cfg, written
        As for ``rollout_status``.
    time_source : clock.SystemClock
        The clock.

    Returns
    -------
    RolloutStatus
        The last status.
    """
    end_s = time_source.seconds() + ROLLOUT_TIMEOUT_S
    while True:
        status = rollout_status(client, cfg, written)
        is_complete = not status.behind and not status.silent
        if is_complete or time_source.seconds() >= end_s:
            return status
        time_source.sleep(POLL_INTERVAL)


def _is_in_force(
    daemon_status: dict[str, typing.Any], written: list[settings_store.WrittenSection]
) -> bool:
    revisions = daemon_status["settings"]["revisions"]
    return all(revisions.get(name, 0) >= revision for name, revision in written)
