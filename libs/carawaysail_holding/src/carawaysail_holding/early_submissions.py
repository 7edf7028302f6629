"""Submissions that reach a daemon before it knows that it is the holder."""

import datetime
import typing

from carawaysail_holding import broker_messages


class EarlySubmission(typing.NamedTuple):
    """A submission for a token that is not held yet.

    Parameters
    ----------
    submission : broker_messages.Submission
        The submission.
    gateway : broker_messages.GatewayId
        The gateway that submits it.
    known_at : datetime.datetime
        Up to when the gateway knew that a client waits, as it sent it.
    """

    submission: broker_messages.Submission
    gateway: broker_messages.GatewayId
    known_at: datetime.datetime


class EarlySubmissions:
    """Submissions for tokens that are not held yet, in order of arrival."""

    def __init__(self) -> None:
        self._waiting: list[EarlySubmission] = []

    def add(self, early: EarlySubmission) -> None:
        """Add a submission."""
        self._waiting.append(early)

    def pop(self, data_centre: str, token: int) -> list[EarlySubmission]:
        """Remove all submissions for a data centre; return those for a token.

        Those for a lower token are dropped: their gateways submit them again. Those for
        a higher one stay.
        """
        due, kept = [], []
        for early in self._waiting:
            submission = early.submission
            if submission.data_centre != data_centre or submission.token > token:
                kept.append(early)
            elif submission.token == token:
                due.append(early)
        self._waiting = kept
        return due

    def prune(self, now: datetime.datetime) -> None:
        """Drop submissions whose deadline has passed; their gateways answer those."""
        if self._waiting:
            self._waiting = [x for x in self._waiting if x.submission.deadline > now]
