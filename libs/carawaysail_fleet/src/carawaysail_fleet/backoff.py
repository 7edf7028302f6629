"""Exponential backoff with jitter between failed calls."""

import datetime
import random

FIRST_PAUSE_S = 0.25
"""Mean pause after the first failure."""

JITTER = 0.4
"""A pause differs from its mean by up to this ratio, drawn at random, so that daemons
do not retry at the same time."""


class Backoff:
    """Pauses whose mean doubles with each failure, up to a bound.

    Parameters
    ----------
    random_state : random.Random
        Random number generator of the jitter.
    longest_pause : datetime.timedelta
        Upper bound of all pauses.
    """

    def __init__(
        self, random_state: random.Random, longest_pause: datetime.timedelta
    ) -> None:
        self._random = random_state
        self._max_mean_s = longest_pause.total_seconds() / (1.0 + JITTER)
        self._mean_s = min(self._max_mean_s, FIRST_PAUSE_S)

    def next_pause_s(self) -> float:
        """Return the pause after a failure, in seconds, and double the next mean."""
        mean_s = self._mean_s
        self._mean_s = min(self._max_mean_s, 2.0 * mean_s)
        return mean_s * self._random.uniform(1.0 - JITTER, 1.0 + JITTER)

    def reset(self) -> None:
        """Return to the first pause, after a success."""
        self._mean_s = min(self._max_mean_s, FIRST_PAUSE_S)
