"""Submissions that reach a daemon before it knows that it is the holder."""

import datetime

from carawaysail_holding import broker_messages

_Early = tuple[broker_messages.Submission, broker_messages.GatewayId]


class EarlySubmissions:
    """Submissions for tokens that are not held yet, in order of arrival."""

    def __init__(self) -> None:
        self._waiting: list[_Early] = []

    def add(
        self, submission: broker_messages.Submission, gateway: broker_messages.GatewayId
    ) -> None:
        """Add a submission of a gateway."""
        self._waiting.append((submission, gateway))

    def pop(self, data_centre: str, token: int) -> list[_Early]:
        """Remove all submissions for a data centre; return those for a token.

        Those for a lower token are dropped: their gateways submit them again. Those for
        a higher one stay.
        """
        of_data_centre = [x for x in self._waiting if x[0].data_centre == data_centre]
        self._waiting = [
            x
            for x in self._waiting
            if x[0].data_centre != data_centre or x[0].token > token
        ]
        return [x for x in of_data_centre if x[0].token == token]

    def prune(self, now: datetime.datetime) -> None:
        """Drop submissions whose deadline has passed; their gateways answer those."""
        if self._waiting:
            self._waiting = [x for x in self._waiting if x[0].deadline > now]
