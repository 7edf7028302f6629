"""What a broker knows of the gateways that submit shards to it."""

import datetime
import typing

from carawaysail_holding import broker_messages
from carawaysail_types import clock

RETENTION = clock.milliseconds(10_000)
"""How long the last statement of a gateway that makes no more is kept."""


class _Entry(typing.NamedTuple):
    """The newest statement of a gateway, and when it can have been sent at earliest."""

    statement: broker_messages.Statement
    sent_at: datetime.datetime


class Gateways:
    """The newest statement of each gateway, and what the own gateway knows.

    Attributes
    ----------
    live : frozenset of broker_messages.GatewayId
        Gateways of the other daemons that may be alive.
    """

    def __init__(self) -> None:
        self._entries: dict[broker_messages.GatewayId, _Entry] = {}
        self._own: tuple[broker_messages.GatewayId, datetime.datetime] | None = None
        self.live: frozenset[broker_messages.GatewayId] = frozenset()

    def record_own(
        self, gateway: broker_messages.GatewayId, known_at: datetime.datetime
    ) -> None:
        """Record that the own daemon's gateway has withdrawn what it has to.

        Parameters
        ----------
        gateway : broker_messages.GatewayId
            The gateway of the own daemon, which makes no statements.
        known_at : datetime.datetime
            Instant up to which it knows of disconnects of its clients.
        """
        self._own = (gateway, known_at)

    def is_own(self, gateway: broker_messages.GatewayId) -> bool:
        """Return whether a gateway is the one of the own daemon."""
        return self._own is not None and self._own[0] == gateway

    def waits_until(
        self, gateway: broker_messages.GatewayId, submitted_at: datetime.datetime
    ) -> datetime.datetime:
        """Return until when a gateway is known to have waited for a shard.

        Parameters
        ----------
        gateway : broker_messages.GatewayId
            The gateway.
        submitted_at : datetime.datetime
            Earliest instant at which it can have submitted the shard, which is not
            withdrawn.
        """
        if self._own is not None and self._own[0] == gateway:
            return max(submitted_at, self._own[1])
        entry = self._entries.get(gateway)
        return submitted_at if entry is None else max(submitted_at, entry.sent_at)

    def record_statement(
        self,
        gateway: broker_messages.GatewayId,
        statement: broker_messages.Statement,
        sent_at: datetime.datetime,
    ) -> bool:
        """Record a statement; return whether it is newer than those recorded before.

        Statements on different connections may overtake each other.
        """
        entry = self._entries.get(gateway)
        if entry is not None and entry.statement.sequence >= statement.sequence:
            return False
        self._entries[gateway] = _Entry(statement, sent_at)
        return True

    def is_withdrawn(
        self, gateway: broker_messages.GatewayId, submission: broker_messages.Submission
    ) -> bool:
        """Return whether a gateway has stated that it does not wait for a shard."""
        entry = self._entries.get(gateway)
        return (
            entry is not None
            and submission.sequence < entry.statement.sequence
            and submission.shard not in entry.statement.shards
        )

    def statements_under(
        self, token: int
    ) -> dict[broker_messages.GatewayId, broker_messages.Statement] | None:
        """Return the newest statements of all live gateways.

        ``None`` if one of them has made no statement since it knows of a holder's
        token.
        """
        statements = {}
        for gateway in self.live:
            entry = self._entries.get(gateway)
            if entry is None or token not in entry.statement.tokens:
                return None
            statements[gateway] = entry.statement
        return statements

    def prune(self, now: datetime.datetime) -> None:
        """Forget gateways that have made no statement for ``RETENTION``."""
        oldest = now - RETENTION
        if any(x.sent_at < oldest for x in self._entries.values()):
            self._entries = {
                k: v for k, v in self._entries.items() if v.sent_at >= oldest
            }
