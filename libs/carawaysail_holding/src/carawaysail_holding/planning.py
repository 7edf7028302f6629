"""Planning: how the tasks of a job are shared out among data centres.

A gateway knows the room of all data centres with an age of some milliseconds. It gives
each task a slot that is expected to be free and in time, and the others to the queues
that are expected to be shortest. Brokers have the last word on their workers.
"""

import typing

from carawaysail_holding import loads
from carawaysail_types import jobs

AWAY_MS = 4.0
"""Cost of another data centre, in milliseconds: a round trip to it."""

CROWDED = 0.5
"""Share of the slots in use from which fast workers are kept for long tasks."""


class Need(typing.NamedTuple):
    """What a job needs.

    Parameters
    ----------
    width : int
        Number of tasks.
    room : jobs.Room
        What each takes.
    length_ms : float
        Expected run time on an average worker, in milliseconds.
    due_ms : float
        Until when an answer keeps the objective, in milliseconds from now.
    """

    width: int
    room: jobs.Room
    length_ms: float
    due_ms: float


class Plan(typing.NamedTuple):
    """Where the tasks of a job go.

    Parameters
    ----------
    shares : dict of str to int
        Number of tasks for each data centre.
    finish_ms : float
        When the last is expected to be done, in milliseconds from now.
    queued : int
        Tasks that find no free slot in time.
    """

    shares: dict[str, int]
    finish_ms: float
    queued: int


class _Option(typing.NamedTuple):
    takes_ms: float
    distance_ms: float
    place: str
    slot: int

    @property
    def end_ms(self) -> float:
        return self.takes_ms + self.distance_ms


def _quickest(option: _Option) -> tuple[float, str]:
    return option.end_ms, option.place


def _slowest(option: _Option) -> tuple[float, float, str]:
    return -option.takes_ms, option.distance_ms, option.place


class Board:
    """The newest report of each data centre, less what was planned since.

    Parameters
    ----------
    home : str
        The gateway's own data centre.
    """

    def __init__(self, home: str) -> None:
        self._home = home
        self._loads: dict[tuple[str, str], loads.Load] = {}

    def take(self, place: str, found: tuple[loads.Load, ...]) -> None:
        """Take the report of a data centre."""
        for load in found:
            self._loads[place, load.service] = load

    def keep(self, places: typing.Collection[str]) -> None:
        """Forget data centres that cannot be reached."""
        self._loads = {k: v for k, v in self._loads.items() if k[0] in places}

    def plan(
        self, service: str, need: Need, without: typing.Collection[str] = ()
    ) -> Plan | None:
        """Share out a job's tasks, and count them as taken.

        Parameters
        ----------
        service : str
            The service.
        need : Need
            What the job needs.
        without : collection of str
            Data centres to leave out.

        Returns
        -------
        Plan or None
            ``None`` if no data centre has workers for the service.
        """
        places = {
            place: load
            for (place, name), load in self._loads.items()
            if name == service and load.speeds and place not in without
        }
        if not places:
            return None
        options = self._options(places, need)
        taken = options[: need.width]
        shares: dict[str, int] = {}
        finish_ms = max((x.end_ms for x in taken), default=0.0)
        for option in taken:
            shares[option.place] = shares.get(option.place, 0) + 1
            self._use(option, service, need)
        queued = need.width - len(taken)
        for _ in range(queued):
            end_ms, place = min(
                (self._end_of_queue(place, service, need), place) for place in places
            )
            finish_ms = max(finish_ms, end_ms)
            shares[place] = shares.get(place, 0) + 1
            self._enqueue(place, service, need)
        return Plan(shares, finish_ms, queued)

    def backlog_ms(self, service: str) -> float:
        """Return how long the shortest queue is expected to last."""
        found = [
            load.waiting_ms / sum(load.speeds)
            for (_, name), load in self._loads.items()
            if name == service and load.speeds
        ]
        return min(found, default=0.0)

    def _options(self, places: dict[str, loads.Load], need: Need) -> list[_Option]:
        """Return the slots that are free and in time, the best first."""
        milli = max(1, need.room.processor_milli)
        found: list[_Option] = []
        busy = 0
        for place, load in places.items():
            busy += len(load.frees_ms)
            distance_ms = self._distance_ms(place)
            for number, slot in enumerate(load.slots):
                takes_ms = need.length_ms / slot.speed
                option = _Option(takes_ms, distance_ms, place, number)
                found.extend([option] * (slot.free_milli // milli))
        in_time = [x for x in found if x.end_ms <= need.due_ms]
        is_crowded = busy > CROWDED * (busy + len(found))
        if is_crowded and len(in_time) >= need.width:
            return sorted(in_time, key=_slowest)
        return sorted(in_time, key=_quickest)

    def _distance_ms(self, place: str) -> float:
        return 0.0 if place == self._home else AWAY_MS

    def _use(self, option: _Option, service: str, need: Need) -> None:
        load = self._loads[option.place, service]
        slots = list(load.slots)
        slot = slots[option.slot]
        slots[option.slot] = slot._replace(
            free_milli=slot.free_milli - need.room.processor_milli
        )
        frees = sorted((*load.frees_ms, option.takes_ms))
        self._loads[option.place, service] = load._replace(
            slots=tuple(slots), frees_ms=tuple(frees)
        )

    def _end_of_queue(self, place: str, service: str, need: Need) -> float:
        """Return when a task that joins a queue now is expected to be done."""
        load = self._loads[place, service]
        takes_ms = need.length_ms / max(load.speeds) + self._distance_ms(place)
        if not load.frees_ms:
            return takes_ms + load.waiting_ms / sum(load.speeds)
        count = len(load.frees_ms)
        rounds, position = divmod(load.waiting, count)
        mean_ms = load.waiting_ms / load.waiting if load.waiting else 0.0
        return load.frees_ms[position] + rounds * mean_ms + takes_ms

    def _enqueue(self, place: str, service: str, need: Need) -> None:
        load = self._loads[place, service]
        self._loads[place, service] = load._replace(
            waiting=load.waiting + 1, waiting_ms=load.waiting_ms + need.length_ms
        )
