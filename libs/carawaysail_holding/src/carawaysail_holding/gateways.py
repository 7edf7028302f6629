"""What a broker knows of the gateways that submit shards to it."""

import datetime
import typing

from carawaysail_holding import broker_messages
from carawaysail_types import clock

RETENTION = clock.milliseconds(10_000)
"""How long the last statement of a gateway that makes no more is kept."""


class _Entry(typing.NamedTuple):
    """The newest statement of a gateway, and up to when its clients' ends are known."""

    statement: broker_messages.Statement
    known_at: datetime.datetime


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

    def own_known_at(self, default: datetime.datetime) -> datetime.datetime:
        """Return up to when the own gateway knows of its clients, or a default."""
        return default if self._own is None else self._own[1]

    def is_own(self, gateway: broker_messages.GatewayId) -> bool:
        """Return whether a gateway is the one of the own daemon."""
        return self._own is not None and self._own[0] == gateway

    def waits_until(
        self, gateway: broker_messages.GatewayId, known_at: datetime.datetime
    ) -> datetime.datetime:
        """Return until when a gateway is known to have waited for a shard.

        Parameters
        ----------
        gateway : broker_messages.GatewayId
            The gateway.
        known_at : datetime.datetime
            Up to when it knew that a client waits as it submitted the shard, which is
            not withdrawn.
        """
        if self._own is not None and self._own[0] == gateway:
            return max(known_at, self._own[1])
        entry = self._entries.get(gateway)
        return known_at if entry is None else max(known_at, entry.known_at)

    def record_statement(
        self,
        gateway: broker_messages.GatewayId,
        statement: broker_messages.Statement,
        known_at: datetime.datetime,
    ) -> bool:
        """Record a statement; return whether it is newer than those recorded before.

        Statements on different connections may overtake each other.

        Parameters
        ----------
        gateway : broker_messages.GatewayId
            The gateway.
        statement : broker_messages.Statement
            Its statement.
        known_at : datetime.datetime
            Instant up to which it knew of disconnects of its clients.
        """
        entry = self._entries.get(gateway)
        if entry is not None and entry.statement.sequence >= statement.sequence:
            return False
        if entry is not None:
            known_at = max(known_at, entry.known_at)
        self._entries[gateway] = _Entry(statement, known_at)
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
        if any(x.known_at < oldest for x in self._entries.values()):
            self._entries = {
                k: v for k, v in self._entries.items() if v.known_at >= oldest
            }
