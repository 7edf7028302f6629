"""Retries: a budget that first starts fill, and full jitter between tries.

Full jitter follows the description in the payment notification article listed in the
design page's references; ``bin/measure retries`` compares it with fixed delays.
"""

import datetime
import random

BASE_BACKOFF_MS = 20.0
MAX_BACKOFF_MS = 2_000.0
MAX_TOKENS = 20.0


class Budget:
    """Retries allowed, as a share of first starts.

    Parameters
    ----------
    ratio : float
        Retries for each first start.
    """

    def __init__(self, ratio: float) -> None:
        self.ratio = ratio
        self._tokens = MAX_TOKENS / 2

    def record_first_start(self) -> None:
        """Count a first start."""
        self._tokens = min(MAX_TOKENS, self._tokens + self.ratio)

    def try_acquire(self) -> bool:
        """Take one retry, if the budget has it."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class Budgets:
    """The budget of each service."""

    def __init__(self) -> None:
        self._held: dict[str, Budget] = {}

    def of(self, service: str, ratio: float) -> Budget:
        """Return the budget of a service, at its present ratio."""
        budget = self._held.get(service)
        if budget is None:
            budget = self._held[service] = Budget(ratio)
        budget.ratio = ratio
        return budget


def backoff(attempt: int, rng: random.Random) -> datetime.timedelta:
    """Return the wait before a retry, uniform up to a bound that doubles.

    Parameters
    ----------
    attempt : int
        Starts so far, at least 1.
    rng : random.Random
        Source of chance.
    """
    bound = min(BASE_BACKOFF_MS * 2 ** (attempt - 1), MAX_BACKOFF_MS)
    return datetime.timedelta(milliseconds=rng.uniform(0.0, bound))
