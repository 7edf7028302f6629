"""Addresses of processes in the form ``host:port``."""

import ipaddress
import re

from carawaysail_types import errors

MIN_PORT = 1
MAX_PORT = 65_535

MAX_HOST_CHARACTERS = 253
"""Longest host name of the DNS."""

ACCEPTED = (
    f"host:port with a host name, an IPv4 address or an IPv6 address in brackets, "
    f"and a port from {MIN_PORT} to {MAX_PORT}"
)

_PORT = re.compile(r"[0-9]{1,5}")
_HOST_NAME = re.compile(r"(?!-)[A-Za-z0-9_-]{1,63}(\.(?!-)[A-Za-z0-9_-]{1,63})*\.?")


def split(address: str, field: str = "address") -> tuple[str, int]:
    """Return the host and the port of an address.

    Parameters
    ----------
    address : str
        ``host:port``; an IPv6 address stands in brackets.
    field : str
        What the address is, for the error.

    Returns
    -------
    tuple of (str, int)
        Host, without the brackets of an IPv6 address, and port.

    Raises
    ------
    errors.BadInputError
        If the host is not valid in a URL or the port is out of range.

    Examples
    --------
    >>> split("10.1.0.9:8080")
    ('10.1.0.9', 8080)
    """
    host, _, port = address.rpartition(":")
    is_valid_port = _PORT.fullmatch(port) and MIN_PORT <= int(port) <= MAX_PORT
    if not is_valid_port or not _is_valid_host(host):
        raise errors.BadInputError(field, address, ACCEPTED)
    return host.strip("[]"), int(port)


def _is_valid_host(host: str) -> bool:
    try:
        if host.startswith("["):
            return host.endswith("]") and _is_ipv6(host[1:-1])
        if host.rpartition(".")[2].isdecimal():
            return bool(ipaddress.IPv4Address(host))
    except ValueError:
        return False
    return len(host) <= MAX_HOST_CHARACTERS and bool(_HOST_NAME.fullmatch(host))


def _is_ipv6(host: str) -> bool:
    # A scope identifier is not valid in a URL.
    return "%" not in host and bool(ipaddress.IPv6Address(host))
