"""Team quotas that are enforced over the fleet without a message for each task.

A quota is divided into fixed allocations, one for each entry daemon that the settings
list. Only its own daemon uses an allocation, so the sum never exceeds the quota,
whichever daemons can reach each other. The cost: while a daemon is down, and in a
partition, its allocation is unused. Daemons of one data centre lend each other parts of
their allocations: the lender lowers its own limit before it answers the borrower, and
raises it again only when the loan has expired by its own clock, with a margin.
"""

import datetime
import typing

LOAN_DURATION = datetime.timedelta(seconds=5)
"""Time for which a borrower may use lent tasks, from the sending of its request."""
LOAN_MARGIN = datetime.timedelta(seconds=5)
"""Added to the duration at the lender before it uses the lent tasks again."""


class Loan(typing.NamedTuple):
    """A part of an allocation that another daemon may use for a limited time.

    Parameters
    ----------
    team : str
        The team.
    tasks : int
        Tasks that the borrower may run at once in addition to its own limit.
    duration : datetime.timedelta
        Validity; the borrower counts it from the sending of its request.
    """

    team: str
    tasks: int
    duration: datetime.timedelta


class _TeamState:
    """Allocation, running tasks and loans of a team.

    ``lent`` and ``borrowed`` hold the end of each loan and its number of tasks.
    """

    __slots__ = ("borrowed", "lent", "allocation", "running")

    def __init__(self) -> None:
        self.allocation = 0
        self.running = 0
        self.lent: list[tuple[datetime.datetime, int]] = []
        self.borrowed: list[tuple[datetime.datetime, int]] = []


def allocation_of(quota: int, daemons: tuple[str, ...], vm: str) -> int:
    """Return the allocation of a quota to one daemon.

    Parameters
    ----------
    quota : int
        Tasks of the team that may run at once over the fleet.
    daemons : tuple of str
        Names of all entry daemons in the settings.
    vm : str
        Name of the daemon; its allocation is 0 if the settings don't list it.

    Examples
    --------
    >>> allocation_of(10, ("a", "b", "c"), "a"), allocation_of(10, ("a", "b", "c"), "c")
    (4, 3)
    """
    if vm not in daemons:
        return 0
    base, remainder = divmod(quota, len(daemons))
    return base + (1 if sorted(daemons).index(vm) < remainder else 0)


class Ledger:
    """Running tasks of each team against this daemon's allocations and loans."""

    def __init__(self) -> None:
        self._teams: dict[str, _TeamState] = {}

    def set_allocation(self, team: str, allocation: int) -> None:
        """Set this daemon's allocation of a team's quota, in tasks."""
        self._teams.setdefault(team, _TeamState()).allocation = allocation

    def remaining(self, team: str, now: datetime.datetime) -> int:
        """Return how many more tasks of a team this daemon may start.

        The result is 0 for an unknown team, and negative while more tasks run than the
        limit allows, as after the limit was lowered.
        """
        state = self._teams.get(team)
        if state is None:
            return 0
        return _limit(state, now) - state.running

    def record_start(self, team: str) -> None:
        """Add a running task of a team."""
        self._teams[team].running += 1

    def record_end(self, team: str) -> None:
        """Remove a running task of a team."""
        self._teams[team].running -= 1

    def running(self, team: str) -> int:
        """Return how many tasks of a team this daemon has running."""
        state = self._teams.get(team)
        return state.running if state else 0

    def lend(self, team: str, requested: int, now: datetime.datetime) -> Loan | None:
        """Lend at most half of what remains of a team's limit.

        Parameters
        ----------
        team : str
            The team.
        requested : int
            Tasks that the borrower could start.
        now : datetime.datetime
            The present instant.

        Returns
        -------
        Loan or None
            ``None`` if there is nothing to lend.
        """
        state = self._teams.get(team)
        if state is None:
            return None
        spare = min(requested, (_limit(state, now) - state.running) // 2)
        if spare <= 0:
            return None
        state.lent.append((now + LOAN_DURATION + LOAN_MARGIN, spare))
        return Loan(team, spare, LOAN_DURATION)

    def borrow(self, loan: Loan, requested_at: datetime.datetime) -> None:
        """Raise the limit by a loan.

        Parameters
        ----------
        loan : Loan
            The loan.
        requested_at : datetime.datetime
            When this daemon sent its request, by its own clock. The loan cannot have
            started earlier, so counted from here it ends before it does at the lender.
        """
        state = self._teams.setdefault(loan.team, _TeamState())
        state.borrowed.append((requested_at + loan.duration, loan.tasks))


def _limit(state: _TeamState, now: datetime.datetime) -> int:
    """Return how many tasks of a team may run, and drop expired loans."""
    if not state.lent and not state.borrowed:
        return state.allocation
    if state.lent:
        state.lent = [item for item in state.lent if item[0] > now]
    if state.borrowed:
        state.borrowed = [item for item in state.borrowed if item[0] > now]
    lent = sum(tasks for _, tasks in state.lent)
    borrowed = sum(tasks for _, tasks in state.borrowed)
    return state.allocation - lent + borrowed
