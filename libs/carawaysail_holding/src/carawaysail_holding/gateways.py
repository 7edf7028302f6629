"""What a broker knows of the gateways that submit shards to it."""

import datetime
import typing

from carawaysail_holding import broker_messages
from carawaysail_types import clock

RETENTION = clock.milliseconds(10_000)
"""How long the last statement of a gateway that makes no more is kept."""


class _Entry(typing.NamedTuple):
    """The newest statement of a gateway, and when it was recorded."""

    statement: broker_messages.Statement
    recorded_at: datetime.datetime


class Gateways:
    """The newest statement of each gateway."""

    def __init__(self) -> None:
        self._entries: dict[broker_messages.GatewayId, _Entry] = {}

    def record_statement(
        self,
        gateway: broker_messages.GatewayId,
        statement: broker_messages.Statement,
        now: datetime.datetime,
    ) -> bool:
        """Record a statement; return whether it is newer than those recorded before.

        Statements on different connections may overtake each other.
        """
        entry = self._entries.get(gateway)
        if entry is not None and entry.statement.sequence >= statement.sequence:
            return False
        self._entries[gateway] = _Entry(statement, now)
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

    def prune(self, now: datetime.datetime) -> None:
        """Forget gateways that have made no statement for ``RETENTION``."""
        oldest = now - RETENTION
        if any(x.recorded_at < oldest for x in self._entries.values()):
            self._entries = {
                k: v for k, v in self._entries.items() if v.recorded_at >= oldest
            }
