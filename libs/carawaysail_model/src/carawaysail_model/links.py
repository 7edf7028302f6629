"""Links between one daemon and one worker, apart from the links of other daemons."""

import datetime

_NO_DELAY = datetime.timedelta()


class Direction:
    """One direction of a link; messages arrive in the order in which they were sent.

    Attributes
    ----------
    extra_delay : datetime.timedelta
        Added to the delay of the network.
    held_until : datetime.datetime or None
        Until when messages are held up; ``None`` if they are not.
    cut_until : datetime.datetime or None
        Until when messages are lost; ``None`` if they are not.
    """

    def __init__(self) -> None:
        self.extra_delay = _NO_DELAY
        self.held_until: datetime.datetime | None = None
        self.cut_until: datetime.datetime | None = None
        self._last_arrival: datetime.datetime | None = None

    def arrival(
        self, now: datetime.datetime, delay: datetime.timedelta
    ) -> datetime.datetime | None:
        """Return when a message arrives that is sent now; ``None`` if it is lost.

        Parameters
        ----------
        now : datetime.datetime
            Current time.
        delay : datetime.timedelta
            One-way delay of the network.
        """
        if self.cut_until is not None and now < self.cut_until:
            return None
        arrival = max(now, self.held_until or now) + delay + self.extra_delay
        if self._last_arrival is not None:
            arrival = max(arrival, self._last_arrival)
        self._last_arrival = arrival
        return arrival


class Link:
    """A link between a daemon and a worker.

    Attributes
    ----------
    requests : Direction
        From the daemon to the worker.
    responses : Direction
        From the worker to the daemon.
    late_until : datetime.datetime or None
        Until when calls may be carried out late; ``None`` if none are.
    """

    def __init__(self) -> None:
        self.requests = Direction()
        self.responses = Direction()
        self.late_until: datetime.datetime | None = None
