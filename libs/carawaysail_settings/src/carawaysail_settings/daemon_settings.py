"""Settings file of one entry daemon, read when it starts: names and addresses."""

import typing

from carawaysail_settings import errors, json_text


class DaemonSettings(typing.TypedDict):
    """Settings of one entry daemon.

    ``vm`` and ``data_centre`` are the names of its VM and data centre; ``caller`` and
    ``peer`` are the addresses that it listens on for callers and for other entry
    daemons (``host:port``); ``seeds`` are the peer addresses that it contacts first;
    ``store_url`` and ``vm_list_url`` are the URLs of the platform's key-value service
    and VM list, empty for none; ``threads`` is the maximum number of callers that wait
    for an answer at the same time, ``target_threads`` that of concurrent calls to
    targets; ``backlog`` is the length of the accept queue; ``drain_ms`` is the time
    between the announcement that the daemon is leaving and its refusal of new work, in
    milliseconds; ``log_file`` and ``trace_file`` are the files that the log and the
    traces are written to as JSON lines. An empty ``log_file`` means standard error, an
    empty ``trace_file`` that no traces are recorded.
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


DEFAULTS: DaemonSettings = {
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
"""Least and greatest accepted value of each number."""


def load(source: str, content: str) -> DaemonSettings:
    """Parse and check the settings file of an entry daemon.

    A setting that the file omits has its value in ``DEFAULTS``; ``vm`` and
    ``data_centre`` are required.

    Parameters
    ----------
    source : str
        Name of the file, for errors.
    content : str
        Content of the file: JSON with comments.

    Raises
    ------
    errors.BadTextError, errors.UnknownKeyError, errors.SettingRejectedError
        If the text or a value is not accepted.
    """
    value = json_text.parse(source, content)
    if not isinstance(value, dict):
        raise errors.SettingRejectedError(source, value, "an object")
    for name, setting in value.items():
        if name not in DEFAULTS:
            raise errors.UnknownKeyError(source, name, tuple(DEFAULTS))
        _check(f"{source}: {name}", name, setting)
    merged = {**DEFAULTS, **value}
    for name in ("vm", "data_centre"):
        if not merged[name]:
            raise errors.SettingRejectedError(f"{source}: {name}", "", "a name")
    return typing.cast(DaemonSettings, merged)


def _check(path: str, name: str, value: object) -> None:
    default = DEFAULTS[name]  # type: ignore[literal-required]
    if type(value) is not type(default):
        raise errors.SettingRejectedError(path, value, f"a {type(default).__name__}")
    if name in BOUNDS:
        low, high = BOUNDS[name]
        if not low <= value <= high:  # type: ignore[operator]
            accepted = f"a whole number from {low} to {high}"
            raise errors.SettingRejectedError(path, value, accepted)
    if name in {"caller", "peer"} and not str(value).rpartition(":")[2].isdigit():
        raise errors.SettingRejectedError(path, value, "host:port")
