"""Pauses between failed calls."""

import random

FIRST_PAUSE_S = 0.25
"""Mean pause after the first failure, in seconds."""

MAX_PAUSE_S = 1.0
"""Mean pause after many failures, in seconds: a configuration has to be in force two
seconds after it was written, also where the store has just come back."""

JITTER = 0.4
"""Pauses are drawn from this share around their mean, so that daemons spread."""


class Backoff:
    """Pauses that double from one failure to the next.

    Parameters
    ----------
    random_state : random.Random
        Source of chance.
    """

    def __init__(self, random_state: random.Random) -> None:
        self._random = random_state
        self._mean_s = FIRST_PAUSE_S

    def next_pause_s(self) -> float:
        """Return the pause after a failure, in seconds."""
        mean_s = self._mean_s
        self._mean_s = min(MAX_PAUSE_S, 2.0 * mean_s)
        return mean_s * self._random.uniform(1.0 - JITTER, 1.0 + JITTER)

    def reset(self) -> None:
        """Begin anew."""
        self._mean_s = FIRST_PAUSE_S
