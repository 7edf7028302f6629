"""Entries of daemons and holders in the platform's store: their keys and decoding."""

import typing

import msgspec

from carawaysail_fleet import ports
from carawaysail_types import addresses, daemons, errors

PREFIX = "carawaysail/"
DAEMONS_PREFIX = PREFIX + "daemon/"
HOLDERS_PREFIX = PREFIX + "holder/"

MAX_SHOWN_BYTES = 80
"""Bytes of an unreadable value that an error keeps."""


def decode_daemon(item: ports.Item) -> daemons.Daemon:
    """Return the daemon that an entry of the store registers.

    Raises
    ------
    carawaysail_types.errors.BadInputError
        If the value is not the record of a daemon, its address is not valid, or the key
        names another VM.
    """
    daemon = _decode_record(item)
    vm = item.key.removeprefix(DAEMONS_PREFIX)
    if daemon.vm != vm:
        raise errors.BadInputError(item.key, daemon.vm, f"the VM {vm}")
    return daemon


class HolderRecord(typing.NamedTuple):
    """A holder, and the daemon that wrote its entry.

    Parameters
    ----------
    holder : daemons.Holder
        The holder.
    daemon : daemons.Daemon
        The daemon, which may be in no other entry.
    """

    holder: daemons.Holder
    daemon: daemons.Daemon


def decode_holder(item: ports.Item) -> HolderRecord:
    """Return the holder that an entry of the store names.

    The data centre is taken from the entry's key; the fencing token is the revision of
    the entry's last write.

    Raises
    ------
    carawaysail_types.errors.BadInputError
        If the value is not the record of a daemon, or its address is not valid.
    """
    daemon = _decode_record(item)
    data_centre = item.key.removeprefix(HOLDERS_PREFIX)
    holder = daemons.Holder(data_centre, daemon.vm, daemon.incarnation, item.revision)
    return HolderRecord(holder, daemon)


def _decode_record(item: ports.Item) -> daemons.Daemon:
    try:
        daemon = msgspec.json.decode(item.value, type=daemons.Daemon)
    except (msgspec.MsgspecError, RecursionError) as exc:
        accepted = f"the record of a daemon ({exc})"
        raise errors.BadInputError(
            item.key, item.value[:MAX_SHOWN_BYTES], accepted
        ) from exc
    addresses.split(daemon.address, f"address in {item.key}")
    return daemon
