"""Planning: which data centres the tasks of a job are sent to.

The gateway's view of the free capacity of all data centres is some milliseconds old.
The gateway assigns tasks to slots that are expected to be free and to finish them in
time, and the remaining tasks to the slots and queues that are expected to finish them
first. Only the broker of a data centre decides which worker runs a task.
"""

import typing
import zlib

from carawaysail_holding import loads
from carawaysail_types import jobs

REMOTE_ROUND_TRIP_MS = 4.0
"""Added to the finish time in another data centre: a network round trip to it."""

HIGH_UTILISATION = 0.5
"""Share of the slots in use (for the choice of a worker: of the processors) above which
fast workers are reserved for long tasks."""


ALIKE_SHARE_PER_GATEWAY = 0.001
MAX_ALIKE_SHARE = 0.1
"""Slots whose times differ by less than a share of a task's run time are alike. It
grows with the number of gateways, which all plan on the same reports."""

MIN_ALIKE_MS = 0.1


class Requirements(typing.NamedTuple):
    """Requirements of a job.

    Parameters
    ----------
    task_count : int
        Number of tasks.
    resources : jobs.Resources
        Resources that each task occupies.
    run_time_ms : float
        Expected run time of a task on an average worker, in milliseconds.
    upper_bound_ms : float
        Run time that nineteen tasks in twenty do not exceed, in milliseconds.
    target_finish_ms : float
        Latest finish that meets the response-time objective, in milliseconds from now.
    timeout_ms : float
        When the client stops waiting, in milliseconds from now.
    """

    task_count: int
    resources: jobs.Resources
    run_time_ms: float
    upper_bound_ms: float
    target_finish_ms: float
    timeout_ms: float


class Plan(typing.NamedTuple):
    """Where the tasks of a job would be sent.

    Parameters
    ----------
    tasks_by_data_centre : dict of str to int
        Number of tasks for each data centre.
    finish_ms : float
        Expected finish of the last task, in milliseconds from now.
    queued : int
        Number of tasks that no free slot is expected to finish in time.
    options : tuple of Option
        The slot of each task.
    """

    tasks_by_data_centre: dict[str, int]
    finish_ms: float
    queued: int
    options: tuple["Option", ...] = ()

    @property
    def has_to_wait(self) -> bool:
        """Whether a task of the job is planned behind others, without a free slot."""
        return any(x.slot_index is None for x in self.options)


class Option(typing.NamedTuple):
    """A slot that a task may get: free now, or later by waiting in a queue.

    ``slot_index`` is the position of the worker in ``ServiceLoad.free_capacity``,
    ``None`` for a queue. Times are in milliseconds from now.
    """

    start_ms: float
    run_time_ms: float
    upper_bound_ms: float
    round_trip_ms: float
    data_centre: str
    slot_index: int | None

    @property
    def finish_ms(self) -> float:
        """Expected finish, in milliseconds from now."""
        return self.start_ms + self.run_time_ms + self.round_trip_ms

    @property
    def latest_finish_ms(self) -> float:
        """Upper bound of the finish, in milliseconds from now."""
        return self.start_ms + self.upper_bound_ms + self.round_trip_ms


class _Slots(typing.NamedTuple):
    """Alike slots: free ones of workers with one speed, or a place in a queue.

    ``free`` has pairs of a slot index, ``None`` for a queue, and the number of tasks
    that fit; ``option`` is that of each slot but for its index.
    """

    option: Option
    free: list[tuple[int | None, int]]


class CapacityView:
    """The newest load report of each data centre, less what was planned since then.

    Parameters
    ----------
    home : str
        The gateway's own data centre.
    gateway : str
        Name of the gateway. Each prefers the data centres in an order of its own where
        they are alike, so that not all gateways send to the same one.
    """

    def __init__(self, home: str, gateway: str = "") -> None:
        self._home = home
        self._gateway = gateway
        self._loads: dict[tuple[str, str], loads.ServiceLoad] = {}
        self._delays_ms: dict[str, float] = {}
        self._turns: dict[str, int] = {}
        self._alike_share = ALIKE_SHARE_PER_GATEWAY

    def record_load(
        self,
        data_centre: str,
        service_loads: tuple[loads.ServiceLoad, ...],
        delay_ms: float = 0.0,
    ) -> None:
        """Replace the load of a data centre by a newer report.

        A service that is missing in it has no workers there any more.

        Parameters
        ----------
        data_centre : str
            The data centre.
        service_loads : tuple of loads.ServiceLoad
            Its load by service.
        delay_ms : float
            By how much its holder is late with its work, in milliseconds.
        """
        self._delays_ms[data_centre] = delay_ms
        self._loads = {k: v for k, v in self._loads.items() if k[0] != data_centre}
        for load in service_loads:
            self._loads[data_centre, load.service] = load

    def record_gateway_count(self, count: int) -> None:
        """Record how many gateways, at least one, plan on the same reports."""
        self._alike_share = min(MAX_ALIKE_SHARE, ALIKE_SHARE_PER_GATEWAY * count)

    def retain(self, data_centres: typing.Collection[str]) -> None:
        """Drop all data centres but the given ones, which can be reached."""
        self._loads = {k: v for k, v in self._loads.items() if k[0] in data_centres}
        self._delays_ms = {
            k: v for k, v in self._delays_ms.items() if k in data_centres
        }

    def plan(
        self,
        service: str,
        requirements: Requirements,
        excluded: typing.Collection[str] = (),
    ) -> Plan | None:
        """Assign a job's tasks to data centres; nothing is occupied by that.

        Parameters
        ----------
        service : str
            Name of the service.
        requirements : Requirements
            Requirements of the job.
        excluded : collection of str
            Data centres that get none of the tasks.

        Returns
        -------
        Plan or None
            ``None`` if no data centre has workers for the service.
        """
        candidates = {
            data_centre: load
            for (data_centre, name), load in self._loads.items()
            if name == service and load.speeds and data_centre not in excluded
        }
        if not candidates:
            return None
        all_free = self._free_slots(candidates, requirements)
        in_time: list[_Slots] = []
        fallbacks: list[_Slots] = []
        for slots in all_free:
            is_in_time = _is_in_time(slots.option, requirements)
            (in_time if is_in_time else fallbacks).append(slots)
        free_count = sum(count for slots in all_free for _, count in slots.free)
        busy = sum(load.run_count() for load in candidates.values())
        is_highly_utilised = busy > HIGH_UTILISATION * (busy + free_count)
        preference = self._by_longest_run if is_highly_utilised else self._by_finish
        in_time.sort(key=lambda x: preference(x.option, requirements))
        chosen = _take(in_time, requirements.task_count)
        unassigned = requirements.task_count - len(chosen)
        if unassigned:
            fallbacks.extend(
                _Slots(option, [(None, 1)])
                for option in self._queue_options(candidates, requirements, unassigned)
            )
            fallbacks.sort(key=lambda x: self._by_timeout_excess(x, requirements))
            chosen.extend(_take(fallbacks, unassigned))
        tasks_by_data_centre: dict[str, int] = {}
        for option in chosen:
            tasks_by_data_centre[option.data_centre] = (
                tasks_by_data_centre.get(option.data_centre, 0) + 1
            )
        finish_ms = max(x.finish_ms for x in chosen)
        return Plan(tasks_by_data_centre, finish_ms, unassigned, tuple(chosen))

    def _by_finish(
        self, option: Option, requirements: Requirements
    ) -> tuple[int, float, int]:
        """Sort key that puts early finishes first, near ones among those alike."""
        step_ms = max(MIN_ALIKE_MS, self._alike_share * requirements.run_time_ms)
        return (
            int(option.finish_ms / step_ms),
            option.round_trip_ms,
            self._turn(option.data_centre),
        )

    def _by_longest_run(
        self, option: Option, requirements: Requirements
    ) -> tuple[int, float, int]:
        """Sort key that puts slow slots first, to leave fast ones for long tasks."""
        step_ms = max(MIN_ALIKE_MS, self._alike_share * requirements.run_time_ms)
        return (
            -int(option.run_time_ms / step_ms),
            option.round_trip_ms,
            self._turn(option.data_centre),
        )

    def _by_timeout_excess(
        self, slots: _Slots, requirements: Requirements
    ) -> tuple[float, float, int]:
        """Sort key by the time that the latest finish is after the client timeout.

        A place in a queue counts as later by as much as slots that are alike differ.
        """
        option, delay_ms = slots.option, 0.0
        if slots.free[0][0] is None:
            delay_ms = max(MIN_ALIKE_MS, self._alike_share * requirements.run_time_ms)
        latest_finish_ms = option.latest_finish_ms + delay_ms
        excess_ms = max(0.0, latest_finish_ms - requirements.timeout_ms)
        turn = self._turn(option.data_centre)
        return excess_ms, option.finish_ms + delay_ms, turn

    def _turn(self, data_centre: str) -> int:
        """Return the place of a data centre in this gateway's order of preference."""
        turn = self._turns.get(data_centre)
        if turn is None:
            text = f"{self._gateway}|{data_centre}"
            turn = self._turns[data_centre] = zlib.crc32(text.encode())
        return turn

    def occupy(self, service: str, requirements: Requirements, plan: Plan) -> None:
        """Count the slots of a plan as occupied until the next load report.

        Parameters
        ----------
        service : str
            Name of the service.
        requirements : Requirements
            Requirements of the job.
        plan : Plan
            A plan of this view, made since the last report.
        """
        for option in plan.options:
            if option.slot_index is None:
                self._enqueue(option.data_centre, service, requirements)
            else:
                self._occupy(option, option.slot_index, service, requirements)

    def free_by_speed(self, service: str, requirements: Requirements) -> dict[str, int]:
        """Return the number of tasks that free slots hold, for logs.

        ``fast`` slots are those of workers faster than the average.
        """
        loads_by_data_centre = {
            data_centre: load
            for (data_centre, name), load in self._loads.items()
            if name == service and load.speeds
        }
        counts = {"fast": 0, "slow": 0}
        for slots in self._free_slots(loads_by_data_centre, requirements):
            is_fast = slots.option.run_time_ms < requirements.run_time_ms
            counts["fast" if is_fast else "slow"] += sum(x for _, x in slots.free)
        return counts

    def highest_speed(self, service: str) -> float:
        """Return the speed of the service's fastest worker in all data centres.

        1 is the speed of an average worker, and the result if there are no workers.
        """
        return max(
            (
                max(load.speeds)
                for (_, name), load in self._loads.items()
                if name == service and load.speeds
            ),
            default=1.0,
        )

    def backlog_ms(self, service: str) -> float:
        """Return the time in which the shortest queue is expected to empty.

        In milliseconds; 0 if there are no workers.
        """
        backlogs_ms = [
            load.waiting_work_ms / sum(load.speeds)
            for (_, name), load in self._loads.items()
            if name == service and load.speeds
        ]
        return min(backlogs_ms, default=0.0)

    def _free_slots(
        self, candidates: dict[str, loads.ServiceLoad], requirements: Requirements
    ) -> list[_Slots]:
        """Return the slots that a task fits into now, by data centre and speed."""
        milli = max(1, requirements.resources.processor_milli)
        found: list[_Slots] = []
        for data_centre, load in candidates.items():
            free_by_speed: dict[float, list[tuple[int | None, int]]] = {}
            for slot_index, (free_milli, speed) in enumerate(load.free_capacity):
                if free_milli >= milli:
                    free = free_by_speed.setdefault(speed, [])
                    free.append((slot_index, free_milli // milli))
            round_trip_ms = self._round_trip_ms(data_centre)
            for speed, free in free_by_speed.items():
                option = _option(requirements, 0.0, speed, round_trip_ms, data_centre)
                found.append(_Slots(option, free))
        return found

    def _queue_options(
        self,
        candidates: dict[str, loads.ServiceLoad],
        requirements: Requirements,
        count: int,
    ) -> list[Option]:
        """Return options to queue tasks, ``count`` for each data centre.

        Queued tasks are expected to start as running ones release their slots, in the
        order of these releases. Once each slot has been used, the first one is expected
        to be released again after the run time of a task.
        """
        options: list[Option] = []
        for data_centre, load in candidates.items():
            round_trip_ms = self._round_trip_ms(data_centre)
            if not load.expected_releases:
                idle = loads.ExpectedRelease(0.0, max(load.speeds))
                load = load._replace(expected_releases=(idle,))
            mean_run_time_ms = (
                load.waiting_work_ms / load.waiting_tasks if load.waiting_tasks else 0.0
            )
            for number in range(count):
                rounds, position = divmod(load.waiting_tasks + number, load.run_count())
                release = load.release(position)
                start_ms = release.after_ms + rounds * max(
                    mean_run_time_ms, requirements.run_time_ms
                )
                options.append(
                    _option(
                        requirements,
                        start_ms,
                        release.speed,
                        round_trip_ms,
                        data_centre,
                    )
                )
        return options

    def _round_trip_ms(self, data_centre: str) -> float:
        delay_ms = self._delays_ms.get(data_centre, 0.0)
        return delay_ms + (0.0 if data_centre == self._home else REMOTE_ROUND_TRIP_MS)

    def _occupy(
        self,
        option: Option,
        slot_index: int,
        service: str,
        requirements: Requirements,
    ) -> None:
        load = self._loads[option.data_centre, service]
        free_capacity = list(load.free_capacity)
        slot = free_capacity[slot_index]
        free_capacity[slot_index] = slot._replace(
            free_milli=slot.free_milli - requirements.resources.processor_milli
        )
        expected_releases = sorted(
            (
                *load.expected_releases,
                loads.ExpectedRelease(option.run_time_ms, slot.speed),
            )
        )
        self._loads[option.data_centre, service] = load._replace(
            free_capacity=tuple(free_capacity),
            expected_releases=tuple(expected_releases),
        )

    def _enqueue(
        self, data_centre: str, service: str, requirements: Requirements
    ) -> None:
        load = self._loads[data_centre, service]
        self._loads[data_centre, service] = load._replace(
            waiting_tasks=load.waiting_tasks + 1,
            waiting_work_ms=load.waiting_work_ms + requirements.run_time_ms,
        )


def _is_in_time(option: Option, requirements: Requirements) -> bool:
    return is_in_time(
        option.finish_ms,
        option.latest_finish_ms,
        requirements.target_finish_ms,
        requirements.timeout_ms,
    )


def _option(
    requirements: Requirements,
    start_ms: float,
    speed: float,
    round_trip_ms: float,
    data_centre: str,
) -> Option:
    run_time_ms, upper_bound_ms = (
        requirements.run_time_ms / speed,
        requirements.upper_bound_ms / speed,
    )
    return Option(
        start_ms, run_time_ms, upper_bound_ms, round_trip_ms, data_centre, None
    )


def _take(ordered: typing.Iterable[_Slots], count: int) -> list[Option]:
    """Return the options of the first slots, at most ``count``."""
    taken: list[Option] = []
    for slots in ordered:
        for slot_index, free_count in slots.free:
            missing = count - len(taken)
            if missing <= 0:
                return taken
            option = slots.option._replace(slot_index=slot_index)
            taken.extend([option] * min(free_count, missing))
    return taken


FINISH_MARGIN = 1.05
"""Factor on the expected finish. A small one is enough: the tasks of a job differ
little in run time, and the objective is a multiple of their true run time."""


def is_in_time(
    finish_ms: float,
    latest_finish_ms: float,
    target_finish_ms: float,
    timeout_ms: float,
) -> bool:
    """Return whether a run is expected to finish in time despite its estimate's error.

    Parameters
    ----------
    finish_ms, latest_finish_ms : float
        Expected finish, and upper bound of the finish, in milliseconds from now.
    target_finish_ms, timeout_ms : float
        Latest finish that meets the objective, and when the client stops waiting, in
        milliseconds from now.
    """
    return (
        finish_ms * FINISH_MARGIN <= target_finish_ms and latest_finish_ms <= timeout_ms
    )
