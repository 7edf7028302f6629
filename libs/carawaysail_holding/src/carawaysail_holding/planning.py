"""Planning: how the tasks of a job are shared out among data centres.

A gateway knows the room of all data centres with an age of some milliseconds. It gives
each task a slot that is expected to be free and in time, and the others to the queues
that are expected to be shortest. Brokers have the last word on their workers.
"""

import typing

from carawaysail_holding import loads
from carawaysail_types import jobs

REMOTE_ROUND_TRIP_MS = 4.0
"""Cost of another data centre, in milliseconds: a round trip to it."""

HIGH_UTILISATION = 0.5
"""Share of the slots in use from which fast workers are kept for long tasks."""


class Requirements(typing.NamedTuple):
    """What a job needs.

    Parameters
    ----------
    width : int
        Number of tasks.
    room : jobs.Resources
        What each takes.
    run_time_ms : float
        Expected run time on an average worker, in milliseconds.
    upper_bound_ms : float
        What nineteen tasks in twenty do not exceed, in milliseconds.
    target_finish_ms : float
        Until when an answer keeps the objective, in milliseconds from now.
    timeout_ms : float
        Until when the client waits, in milliseconds from now.
    """

    width: int
    resources: jobs.Resources
    run_time_ms: float
    upper_bound_ms: float
    target_finish_ms: float
    timeout_ms: float


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

    tasks_by_data_centre: dict[str, int]
    finish_ms: float
    queued: int


class _Option(typing.NamedTuple):
    start_ms: float
    takes_ms: float
    most_ms: float
    distance_ms: float
    place: str
    slot: int | None

    @property
    def end_ms(self) -> float:
        return self.start_ms + self.takes_ms + self.distance_ms

    @property
    def latest_end_ms(self) -> float:
        return self.start_ms + self.most_ms + self.distance_ms


def _quickest(option: _Option) -> tuple[float, str]:
    return option.end_ms, option.place


def _surest(option: _Option, timeout_ms: float) -> tuple[float, float, str]:
    excess_ms = max(0.0, option.latest_end_ms - timeout_ms)
    return excess_ms, option.end_ms, option.place


def _slowest(option: _Option) -> tuple[float, float, str]:
    return -option.takes_ms, option.distance_ms, option.place


class CapacityView:
    """The newest report of each data centre, less what was planned since.

    Parameters
    ----------
    home : str
        The gateway's own data centre.
    """

    def __init__(self, home: str) -> None:
        self._home = home
        self._loads: dict[tuple[str, str], loads.ServiceLoad] = {}

    def record_load(self, place: str, found: tuple[loads.ServiceLoad, ...]) -> None:
        """Take the report of a data centre."""
        for load in found:
            self._loads[place, load.service] = load

    def retain(self, places: typing.Collection[str]) -> None:
        """Forget data centres that cannot be reached."""
        self._loads = {k: v for k, v in self._loads.items() if k[0] in places}

    def plan(
        self, service: str, need: Requirements, without: typing.Collection[str] = ()
    ) -> Plan | None:
        """Share out a job's tasks, and count them as taken.

        Parameters
        ----------
        service : str
            The service.
        need : Requirements
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
        free = self._free(places, need)
        safe: list[_Option] = []
        others: list[_Option] = []
        for option in free:
            (safe if _is_safe(option, need) else others).append(option)
        busy = sum(len(load.expected_releases) for load in places.values())
        is_crowded = busy > HIGH_UTILISATION * (busy + len(free))
        taken = sorted(safe, key=_slowest if is_crowded else _quickest)[: need.width]
        missing = need.width - len(taken)
        others.extend(self._queued(places, need, missing))
        others.sort(key=lambda x: _surest(x, need.timeout_ms))
        chosen = [*taken, *others[:missing]]
        tasks_by_data_centre: dict[str, int] = {}
        for option in chosen:
            tasks_by_data_centre[option.place] = (
                tasks_by_data_centre.get(option.place, 0) + 1
            )
        for option in chosen:
            if option.slot is None:
                self._enqueue(option.place, service, need)
            else:
                self._use(option, option.slot, service, need)
        return Plan(tasks_by_data_centre, max(x.end_ms for x in chosen), missing)

    def highest_speed(self, service: str) -> float:
        """Return the speed of the fastest worker; 1 is that of an average worker."""
        return max(
            (
                max(load.speeds)
                for (_, name), load in self._loads.items()
                if name == service and load.speeds
            ),
            default=1.0,
        )

    def backlog_ms(self, service: str) -> float:
        """Return how long the shortest queue is expected to last."""
        found = [
            load.waiting_work_ms / sum(load.speeds)
            for (_, name), load in self._loads.items()
            if name == service and load.speeds
        ]
        return min(found, default=0.0)

    def _free(
        self, places: dict[str, loads.ServiceLoad], need: Requirements
    ) -> list[_Option]:
        """Return the slots that are free."""
        milli = max(1, need.resources.processor_milli)
        found: list[_Option] = []
        for place, load in places.items():
            distance_ms = self._distance_ms(place)
            for number, slot in enumerate(load.free_capacity):
                option = _option(need, 0.0, slot.speed, distance_ms, place, number)
                found.extend([option] * (slot.free_milli // milli))
        return found

    def _queued(
        self, places: dict[str, loads.ServiceLoad], need: Requirements, count: int
    ) -> list[_Option]:
        """Return where tasks that find no free slot are expected to be done first."""
        options: list[_Option] = []
        for place, load in places.items():
            distance_ms = self._distance_ms(place)
            expected_releases = load.expected_releases or (
                loads.ExpectedRelease(0.0, max(load.speeds)),
            )
            mean_ms = (
                load.waiting_work_ms / load.waiting_tasks if load.waiting_tasks else 0.0
            )
            for number in range(count):
                rounds, position = divmod(
                    load.waiting_tasks + number, len(expected_releases)
                )
                free = expected_releases[position]
                start_ms = free.after_ms + rounds * max(mean_ms, need.run_time_ms)
                options.append(
                    _option(need, start_ms, free.speed, distance_ms, place, None)
                )
        return options

    def _distance_ms(self, place: str) -> float:
        return 0.0 if place == self._home else REMOTE_ROUND_TRIP_MS

    def _use(
        self, option: _Option, number: int, service: str, need: Requirements
    ) -> None:
        load = self._loads[option.place, service]
        free_capacity = list(load.free_capacity)
        slot = free_capacity[number]
        free_capacity[number] = slot._replace(
            free_milli=slot.free_milli - need.resources.processor_milli
        )
        expected_releases = sorted(
            (
                *load.expected_releases,
                loads.ExpectedRelease(option.takes_ms, slot.speed),
            )
        )
        self._loads[option.place, service] = load._replace(
            free_capacity=tuple(free_capacity),
            expected_releases=tuple(expected_releases),
        )

    def _enqueue(self, place: str, service: str, need: Requirements) -> None:
        load = self._loads[place, service]
        self._loads[place, service] = load._replace(
            waiting_tasks=load.waiting_tasks + 1,
            waiting_work_ms=load.waiting_work_ms + need.run_time_ms,
        )


def _is_safe(option: _Option, need: Requirements) -> bool:
    return is_in_time(
        option.end_ms, option.latest_end_ms, need.target_finish_ms, need.timeout_ms
    )


def _option(
    need: Requirements,
    start_ms: float,
    speed: float,
    distance_ms: float,
    place: str,
    slot: int | None,
) -> _Option:
    takes_ms, most_ms = need.run_time_ms / speed, need.upper_bound_ms / speed
    return _Option(start_ms, takes_ms, most_ms, distance_ms, place, slot)


DUE_MARGIN = 1.05
"""Run times within a job differ little, and the objective follows their true length."""


def is_in_time(
    takes_ms: float, upper_bound_ms: float, target_finish_ms: float, timeout_ms: float
) -> bool:
    """Tell whether a run is expected to be in time, however rough its estimate.

    Parameters
    ----------
    takes_ms, upper_bound_ms : float
        Time until it is done, as expected and in the worst case that counts, in
        milliseconds.
    target_finish_ms, timeout_ms : float
        Until when the answer keeps the objective, and until when the client waits.
    """
    return takes_ms * DUE_MARGIN <= target_finish_ms and upper_bound_ms <= timeout_ms
