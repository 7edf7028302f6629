"""Exponential backoff with jitter between failed calls."""

import random

FIRST_PAUSE_S = 0.25
"""Mean pause after the first failure."""

MAX_PAUSE_S = 1.0
"""Largest mean pause. A new configuration has to be in force within two seconds of its
write, also if the store was unreachable until shortly before."""

JITTER = 0.4
"""A pause differs from its mean by up to this ratio, drawn at random, so that daemons
do not retry at the same time."""


class Backoff:
    """Pauses whose mean doubles with each failure, up to ``MAX_PAUSE_S``.

    Parameters
    ----------
    random_state : random.Random
        Random number generator of the jitter.
    """

    def __init__(self, random_state: random.Random) -> None:
        self._random = random_state
        self._mean_s = FIRST_PAUSE_S

    def next_pause_s(self) -> float:
        """Return the pause after a failure, in seconds, and double the next mean."""
        mean_s = self._mean_s
        self._mean_s = min(MAX_PAUSE_S, 2.0 * mean_s)
        return mean_s * self._random.uniform(1.0 - JITTER, 1.0 + JITTER)

    def reset(self) -> None:
        """Return to the first pause, after a success."""
        self._mean_s = FIRST_PAUSE_S
