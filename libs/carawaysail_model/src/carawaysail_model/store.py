"""The store of the model: daemons, tenures and reports, without its protocol."""

import datetime
import itertools

from carawaysail_types import clock, daemons, runs

LEASE = clock.milliseconds(3000)


class Store:
    """Keeps what daemons share; revisions only grow."""

    def __init__(self) -> None:
        self.is_up = True
        self.cut_places: set[str] = set()
        self._renewed: dict[str, tuple[daemons.Daemon, datetime.datetime]] = {}
        self.tenures: dict[str, daemons.Holder] = {}
        self.reports: dict[str, runs.WorkerReport] = {}
        self._revisions = itertools.count(2)

    def reaches(self, place: str) -> bool:
        """Tell whether a data centre reaches the store."""
        return self.is_up and place not in self.cut_places

    def renew(self, daemon: daemons.Daemon, now: datetime.datetime) -> None:
        """Keep a daemon's entry for the length of a lease."""
        self._renewed[daemon.vm] = (daemon, now)

    def listed(self, now: datetime.datetime) -> tuple[daemons.Daemon, ...]:
        """Return the daemons whose lease holds."""
        return tuple(x for x, at in self._renewed.values() if now - at < LEASE)

    def claim(
        self, me: daemons.Daemon, data_centre: str, token: int
    ) -> daemons.Holder | None:
        """Replace the tenure that has a token; return the newest one."""
        known = self.tenures.get(data_centre)
        if token != (known.token if known is not None else 0):
            return known
        taken = daemons.Holder(
            data_centre, me.vm, me.incarnation, next(self._revisions)
        )
        self.tenures[data_centre] = taken
        return taken
