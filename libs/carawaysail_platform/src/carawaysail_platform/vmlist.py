"""Client of the platform's list of live and leaving VMs.

The list lags: a VM that has left may still be on it, and a new one may be missing.
"""

import json
import typing

import urllib3.exceptions

from carawaysail_platform import errors, http

CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 3.0


class Vm(typing.NamedTuple):
    """One VM of the list.

    Parameters
    ----------
    name : str
        Name of the VM.
    state : str
        ``live`` or ``leaving``.
    """

    name: str
    state: str


class VmList(typing.Protocol):
    """Interface of the VM list."""

    def read(self) -> tuple[Vm, ...]:
        """Return all VMs, in a state that may be out of date."""


class HttpVmList:
    """The VM list over HTTP: ``GET /vms`` returns ``{"vms": [{"name", "state"}]}``.

    Parameters
    ----------
    url : str
        ``http://host:port``.
    """

    def __init__(self, url: str) -> None:
        self.url = url
        self._pool = http.open_pool(
            url, CONNECT_TIMEOUT_S, READ_TIMEOUT_S, connections=1
        )

    def read(self) -> tuple[Vm, ...]:
        """Return all VMs that the platform lists.

        Raises
        ------
        errors.BadAnswerError
            If the service does not answer, or its answer cannot be parsed.
        """
        try:
            response = self._pool.request("GET", "/vms")
            vms = json.loads(response.data)["vms"]
            return tuple(Vm(str(vm["name"]), str(vm["state"])) for vm in vms)
        except urllib3.exceptions.HTTPError as exc:
            raise errors.BadAnswerError(self.url, str(exc)) from exc
        except (ValueError, KeyError, TypeError, RecursionError) as exc:
            raise errors.BadAnswerError(self.url, repr(exc)) from exc
