"""Team quotas that hold over the fleet without a message for each task.

A quota is cut into fixed parts, one for each entry daemon that the settings list. A
part is used by its holder alone, so the sum never exceeds the quota, whatever the
daemons see of each other. The price is paid on the other side: in a partition, or
while a daemon is down, its part lies idle. Daemons of one data centre lend each other
parts: the lender lowers its own before it tells the borrower, and gets it back only
when the loan has expired by the lender's clock with a margin.
"""

import datetime
import typing

LOAN_DURATION = datetime.timedelta(seconds=5)
LOAN_MARGIN = datetime.timedelta(seconds=5)


class Loan(typing.NamedTuple):
    """A part of a quota that another daemon may use for a while.

    Parameters
    ----------
    team : str
        The team.
    tasks : int
        How many tasks it may run.
    duration : datetime.timedelta
        How long from the arrival of the message.
    """

    team: str
    tasks: int
    duration: datetime.timedelta


class _Team:
    __slots__ = ("borrowed", "lent", "part", "running")

    def __init__(self) -> None:
        self.part = 0
        self.running = 0
        self.lent: list[tuple[datetime.datetime, int]] = []
        self.borrowed: list[tuple[datetime.datetime, int]] = []


def allocation_of(quota: int, members: tuple[str, ...], vm: str) -> int:
    """Return the fixed part of a quota that one daemon holds.

    Parameters
    ----------
    quota : int
        Tasks that may run at once over the fleet.
    members : tuple of str
        All entry daemons in the settings.
    vm : str
        The daemon.

    Examples
    --------
    >>> allocation_of(10, ("a", "b", "c"), "a"), allocation_of(10, ("a", "b", "c"), "c")
    (4, 3)
    """
    if vm not in members:
        return 0
    base, rest = divmod(quota, len(members))
    return base + (1 if sorted(members).index(vm) < rest else 0)


class Ledger:
    """Running tasks of each team against this daemon's parts and loans."""

    def __init__(self) -> None:
        self._teams: dict[str, _Team] = {}

    def set_allocation(self, team: str, part: int) -> None:
        """Set the fixed part of a team's quota that this daemon holds."""
        self._teams.setdefault(team, _Team()).part = part

    def remaining(self, team: str, now: datetime.datetime) -> int:
        """Return how many more tasks of a team may start here."""
        state = self._teams.get(team)
        if state is None:
            return 0
        return _limit(state, now) - state.running

    def record_start(self, team: str) -> None:
        """Count a start."""
        self._teams[team].running += 1

    def record_end(self, team: str) -> None:
        """Count an end."""
        self._teams[team].running -= 1

    def running(self, team: str) -> int:
        """Return how many tasks of a team run from here."""
        state = self._teams.get(team)
        return state.running if state else 0

    def lend(self, team: str, wanted: int, now: datetime.datetime) -> Loan | None:
        """Lower this daemon's part and return the loan for the borrower.

        Parameters
        ----------
        team : str
            The team.
        wanted : int
            Tasks that the borrower could start.
        now : datetime.datetime
            The present instant.
        """
        state = self._teams.get(team)
        if state is None:
            return None
        spare = min(wanted, (_limit(state, now) - state.running) // 2)
        if spare <= 0:
            return None
        state.lent.append((now + LOAN_DURATION + LOAN_MARGIN, spare))
        return Loan(team, spare, LOAN_DURATION)

    def borrow(self, loan: Loan, sent: datetime.datetime) -> None:
        """Raise the limit by a loan.

        Parameters
        ----------
        loan : Loan
            The loan.
        sent : datetime.datetime
            When this daemon sent its wish, by its own clock: the loan cannot have
            begun earlier, so counting from here ends it before the lender does.
        """
        state = self._teams.setdefault(loan.team, _Team())
        state.borrowed.append((sent + loan.duration, loan.tasks))


def _limit(state: _Team, now: datetime.datetime) -> int:
    if not state.lent and not state.borrowed:
        return state.part
    if state.lent:
        state.lent = [item for item in state.lent if item[0] > now]
    if state.borrowed:
        state.borrowed = [item for item in state.borrowed if item[0] > now]
    lent = sum(tasks for _, tasks in state.lent)
    borrowed = sum(tasks for _, tasks in state.borrowed)
    return state.part - lent + borrowed
