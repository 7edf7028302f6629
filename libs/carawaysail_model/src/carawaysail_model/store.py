"""The store of the model: daemons, tenures and reports, without its protocol."""

import itertools

from carawaysail_types import daemons, runs


class Store:
    """Keeps what daemons share; revisions only grow."""

    def __init__(self) -> None:
        self.is_up = True
        self.daemons: dict[str, daemons.Daemon] = {}
        self.tenures: dict[str, daemons.Tenure] = {}
        self.reports: dict[str, runs.WorkerReport] = {}
        self._revisions = itertools.count(2)

    def claim(
        self, me: daemons.Daemon, data_centre: str, token: int
    ) -> daemons.Tenure | None:
        """Replace the tenure that has a token; return the newest one."""
        known = self.tenures.get(data_centre)
        if token != (known.token if known is not None else 0):
            return known
        taken = daemons.Tenure(
            data_centre, me.vm, me.incarnation, next(self._revisions)
        )
        self.tenures[data_centre] = taken
        return taken
