"""Model of the store: daemons, holder records and reports, without its protocol."""

import collections
import collections.abc
import datetime
import itertools

from carawaysail_types import clock, daemons, runs

LEASE = clock.milliseconds(3000)
"""Lease of a daemon's entry."""


class Store:
    """State that daemons share; revisions only increase.

    Attributes
    ----------
    is_up : bool
        Whether the store answers.
    cut_data_centres : set of str
        Data centres that a partition separates from the store.
    holders : dict of str to daemons.Holder
        Latest holder record of each data centre.
    reports : dict of str to runs.WorkerReport
        Latest report of each worker, by its identifier.
    cut_vms : collections.Counter of str
        VMs that cannot reach the store, though their data centre can, with the number
        of faults that cut them off.
    refused_vms : collections.Counter of str
        VMs whose entries the store refuses, while it serves all their other calls.
    claimants : dict of str to daemons.Daemon
        Daemon that wrote the holder record of each data centre.
    unlisted : collections.Counter of str
        Workers whose report is missing, with the number of faults that hide it.
    on_claim : list of callable
        Called with each new holder record.
    """

    def __init__(self) -> None:
        self.is_up = True
        self.cut_data_centres: set[str] = set()
        self._renewed: dict[str, tuple[daemons.Daemon, datetime.datetime]] = {}
        self.holders: dict[str, daemons.Holder] = {}
        self.reports: dict[str, runs.WorkerReport] = {}
        self.cut_vms: collections.Counter[str] = collections.Counter()
        self.refused_vms: collections.Counter[str] = collections.Counter()
        self.claimants: dict[str, daemons.Daemon] = {}
        self.unlisted: collections.Counter[str] = collections.Counter()
        self.on_claim: list[collections.abc.Callable[[daemons.Holder], None]] = []
        self._revisions = itertools.count(2)

    def is_reachable_from(self, data_centre: str) -> bool:
        """Return whether calls from a data centre reach the store and it answers."""
        return self.is_up and data_centre not in self.cut_data_centres

    def is_reachable(self, daemon: daemons.Daemon) -> bool:
        """Return whether calls of a daemon reach the store and it answers."""
        return self.is_reachable_from(daemon.data_centre) and (
            self.cut_vms[daemon.vm] <= 0
        )

    def visible_reports(self) -> tuple[runs.WorkerReport, ...]:
        """Return the reports of the workers that can reach the store."""
        return tuple(
            x
            for x in self.reports.values()
            if self.is_reachable_from(x.data_centre)
            and not self.unlisted[x.worker_id] > 0
        )

    def renew(self, daemon: daemons.Daemon, now: datetime.datetime) -> None:
        """Renew the lease of a daemon's entry; create the entry if there is none."""
        if self.refused_vms[daemon.vm] <= 0:
            self._renewed[daemon.vm] = (daemon, now)

    def remove_entry(self, vm: str) -> None:
        """Remove the entry of a VM's daemon, if it has one."""
        self._renewed.pop(vm, None)

    def live_daemons(self, now: datetime.datetime) -> tuple[daemons.Daemon, ...]:
        """Return the daemons whose lease has not expired."""
        return tuple(x for x, at in self._renewed.values() if now - at < LEASE)

    def unregistered_holders(
        self, now: datetime.datetime
    ) -> tuple[daemons.Daemon, ...]:
        """Return the writers of holder records whose VM has no entry."""
        registered_vms = {x.vm for x in self.live_daemons(now)}
        return tuple(
            {
                x.vm: x for x in self.claimants.values() if x.vm not in registered_vms
            }.values()
        )

    def claim(
        self, me: daemons.Daemon, data_centre: str, token: int
    ) -> daemons.Holder | None:
        """Make a daemon the holder if the present record has the expected token.

        Parameters
        ----------
        me : daemons.Daemon
            The claiming daemon.
        data_centre : str
            The data centre to hold.
        token : int
            Expected fencing token; 0 if there must be no record.

        Returns
        -------
        daemons.Holder or None
            The latest record, whether or not the claim succeeded.
        """
        current = self.holders.get(data_centre)
        if token != (current.token if current is not None else 0):
            return current
        claimed = daemons.Holder(
            data_centre, me.vm, me.incarnation, next(self._revisions)
        )
        self.holders[data_centre] = claimed
        self.claimants[data_centre] = me
        for notify in list(self.on_claim):
            notify(claimed)
        return claimed
