"""The file that one entry daemon reads at its start: who and where it is."""

import typing

from carawaysail_settings import errors, text


class Daemon(typing.TypedDict):
    """Settings of one entry daemon.

    ``vm`` and ``data_centre`` name it; ``caller`` and ``peer`` are the addresses that
    it listens on (``host:port``); ``seeds`` are peer addresses to ask first;
    ``store_url`` and ``vm_list_url`` are the platform's services, empty for none;
    ``threads`` bounds the callers that wait at once, ``target_threads`` the calls to
    targets; ``backlog`` is the length of the accept queue; ``log_file`` and
    ``trace_file`` hold JSON lines, empty for standard error and none.
    """

    vm: str
    data_centre: str
    caller: str
    peer: str
    seeds: list[str]
    store_url: str
    vm_list_url: str
    threads: int
    target_threads: int
    backlog: int
    drain_ms: int
    log_file: str
    trace_file: str


DEFAULTS: Daemon = {
    "vm": "",
    "data_centre": "",
    "caller": "127.0.0.1:8080",
    "peer": "127.0.0.1:8081",
    "seeds": [],
    "store_url": "",
    "vm_list_url": "",
    "threads": 64,
    "target_threads": 256,
    "backlog": 512,
    "drain_ms": 2_000,
    "log_file": "",
    "trace_file": "",
}

BOUNDS = {
    "threads": (4, 1024),
    "target_threads": (4, 4096),
    "backlog": (16, 65_535),
    "drain_ms": (0, 600_000),
}


def load(source: str, content: str) -> Daemon:
    """Return the checked settings of a daemon.

    Parameters
    ----------
    source : str
        Name of the file, for errors.
    content : str
        JSON with comments.

    Raises
    ------
    errors.BadTextError, errors.UnknownKeyError, errors.SettingRejectedError
        If the text or a value is not accepted.
    """
    value = text.parse(source, content)
    if not isinstance(value, dict):
        raise errors.SettingRejectedError(source, value, "an object")
    for name, given in value.items():
        if name not in DEFAULTS:
            raise errors.UnknownKeyError(source, name, tuple(DEFAULTS))
        _check(f"{source}: {name}", name, given)
    merged = {**DEFAULTS, **value}
    for name in ("vm", "data_centre"):
        if not merged[name]:
            raise errors.SettingRejectedError(f"{source}: {name}", "", "a name")
    return typing.cast(Daemon, merged)


def _check(path: str, name: str, given: object) -> None:
    default = DEFAULTS[name]  # type: ignore[literal-required]
    if type(given) is not type(default):
        raise errors.SettingRejectedError(path, given, f"a {type(default).__name__}")
    if name in BOUNDS:
        low, high = BOUNDS[name]
        if not low <= given <= high:  # type: ignore[operator]
            accepted = f"a whole number from {low} to {high}"
            raise errors.SettingRejectedError(path, given, accepted)
    if name in {"caller", "peer"} and not str(given).rpartition(":")[2].isdigit():
        raise errors.SettingRejectedError(path, given, "host:port")
