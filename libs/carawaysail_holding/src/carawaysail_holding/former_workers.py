"""Workers that the earlier holders of a data centre may have given orders to.

The store may lack a worker that is alive and has runs, so a holder tells the other
daemons which workers it may give orders to, before it does. The next holder expects all
of these beside those in the store.
"""

import datetime

from carawaysail_holding import broker_messages, held_worker


class _Tenure:
    """What is still unknown of the earlier holders of a data centre held here.

    Parameters
    ----------
    token, former_token : int
        Fencing tokens of this holder and of the one before; 0 if there was none.
    """

    def __init__(self, token: int, former_token: int) -> None:
        self.token = token
        self.former_token = former_token
        # First read of the store; it may have been away since the takeover.
        self._read_at: datetime.datetime | None = None
        self.is_known = not former_token
        self.expected: set[str] = set()
        self._held: set[str] = set()

    def record(self, told: broker_messages.WorkerSet) -> None:
        """Expect the workers of an earlier holder."""
        if told.token >= self.token:
            return
        self.expected |= told.workers - self._held
        if told.token == self.former_token and told.is_whole:
            self.is_known = True

    def record_held(self, worker_id: str) -> None:
        """Expect a worker no more; from now on its status shows what runs there."""
        self._held.add(worker_id)
        self.expected.discard(worker_id)

    def record_read(self, requested_at: datetime.datetime) -> set[str]:
        """Return and forget the expected workers if they count as gone by a read."""
        if self._read_at is None:
            self._read_at = requested_at
        if requested_at - self._read_at <= held_worker.MISSING_TIMEOUT:
            return set()
        self.is_known = True
        gone, self.expected = self.expected, set()
        return gone


class FormerWorkers:
    """Newest set of workers that each data centre's holders have told of.

    For the data centres that are held here, also the workers that are expected beside
    those in the store.
    """

    def __init__(self) -> None:
        self._told: dict[str, broker_messages.WorkerSet] = {}
        self._tenures: dict[str, _Tenure] = {}
        self._sequence = 0

    def record(self, told: broker_messages.WorkerSet) -> None:
        """Record what a holder has told; what is older than that known is ignored."""
        tenure = self._tenures.get(told.data_centre)
        if tenure is not None:
            tenure.record(told)
        known = self._told.get(told.data_centre)
        if known is not None:
            if (known.token, known.sequence) >= (told.token, told.sequence):
                return
            if not told.is_whole:
                told = told._replace(workers=told.workers | known.workers)
        self._told[told.data_centre] = told

    def start_holding(self, data_centre: str, token: int, former_token: int) -> None:
        """Expect what the earlier holders of a data centre have told of."""
        tenure = _Tenure(token, former_token)
        self._tenures[data_centre] = tenure
        told = self._told.get(data_centre)
        if told is not None:
            tenure.record(told)

    def stop_holding(self, data_centre: str) -> None:
        """Expect no workers of a data centre any more."""
        self._tenures.pop(data_centre, None)

    def record_held(self, data_centre: str, worker_id: str) -> None:
        """Record that a worker is held here, so that its status shows its runs."""
        self._tenures[data_centre].record_held(worker_id)

    def record_read(self, requested_at: datetime.datetime) -> list[str]:
        """Return and forget the workers that count as gone by a read of the store.

        Those are the ones that no read has shown for ``MISSING_TIMEOUT``.
        """
        gone = (x.record_read(requested_at) for x in self._tenures.values())
        return sorted(set[str]().union(*gone))

    def expected(self, data_centre: str) -> frozenset[str]:
        """Return the workers of a held data centre that the store lacks so far."""
        tenure = self._tenures.get(data_centre)
        return frozenset(tenure.expected if tenure is not None else ())

    def are_known(self, data_centre: str) -> bool:
        """Return whether it is known which workers the earlier holders have used."""
        tenure = self._tenures.get(data_centre)
        return tenure is None or tenure.is_known

    def may_have_others(self, data_centre: str) -> bool:
        """Return whether earlier holders may have used workers that are not held."""
        return bool(self.expected(data_centre)) or not self.are_known(data_centre)

    def tell(
        self, data_centre: str, held: frozenset[str]
    ) -> broker_messages.WorkerSet | None:
        """Return what to tell the other daemons of a held data centre.

        Parameters
        ----------
        data_centre : str
            The data centre.
        held : frozenset of str
            Workers that this daemon holds, or is about to.

        Returns
        -------
        broker_messages.WorkerSet or None
            ``None`` if nothing has changed since the last call, or if a later holder
            has told of its workers.
        """
        tenure = self._tenures[data_centre]
        workers = held | tenure.expected
        last = self._told.get(data_centre)
        if last is not None:
            is_same = (last.workers, last.is_whole) == (workers, tenure.is_known)
            is_replaced = last.token > tenure.token
            if is_replaced or (last.token == tenure.token and is_same):
                return None
        self._sequence += 1
        told = broker_messages.WorkerSet(
            data_centre, tenure.token, self._sequence, workers, tenure.is_known
        )
        self._told[data_centre] = told
        return told

    def told_here(self) -> list[broker_messages.WorkerSet]:
        """Return what was last told of each data centre that is held here."""
        told = (self._told[x] for x in self._tenures if x in self._told)
        return [x for x in told if x.token == self._tenures[x.data_centre].token]
