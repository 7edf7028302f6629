"""Retries: a budget refilled by first starts, and full jitter between attempts.

Full jitter follows the description in the payment notification article listed in the
design page's references; ``bin/measure retries`` compares it with fixed delays.
"""

import datetime
import random

BASE_BACKOFF_MS = 20.0
"""Longest wait after the first start."""
MAX_BACKOFF_MS = 2_000.0
"""Longest wait after any start."""
MAX_TOKENS = 20.0
"""Retries that a service can save up; a new budget has half of them."""


class Budget:
    """Retries allowed to one service, as a share of its first starts.

    Parameters
    ----------
    ratio : float
        Retries allowed for each first start.
    """

    def __init__(self, ratio: float) -> None:
        self.ratio = ratio
        self._tokens = MAX_TOKENS / 2

    def record_first_start(self) -> None:
        """Add the fraction of a retry that one first start allows."""
        self._tokens = min(MAX_TOKENS, self._tokens + self.ratio)

    def try_acquire(self) -> bool:
        """Use one retry of the budget; return whether one was available."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class Budgets:
    """The retry budget of each service."""

    def __init__(self) -> None:
        self._by_service: dict[str, Budget] = {}

    def of(self, service: str, ratio: float) -> Budget:
        """Return the budget of a service, with its ratio set to the given one."""
        budget = self._by_service.get(service)
        if budget is None:
            budget = self._by_service[service] = Budget(ratio)
        budget.ratio = ratio
        return budget


def backoff(attempt: int, rng: random.Random) -> datetime.timedelta:
    """Return the wait before the next attempt, uniform up to a limit that doubles.

    Parameters
    ----------
    attempt : int
        Starts so far, at least 1.
    rng : random.Random
        Random number generator.
    """
    max_ms = min(BASE_BACKOFF_MS * 2 ** (attempt - 1), MAX_BACKOFF_MS)
    return datetime.timedelta(milliseconds=rng.uniform(0.0, max_ms))
