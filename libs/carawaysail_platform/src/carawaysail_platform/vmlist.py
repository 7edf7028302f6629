"""The platform's list of live and leaving VMs; it lags."""

import json
import typing

import urllib3.exceptions

from carawaysail_platform import errors, http

CONNECT_S = 1.0
READ_S = 3.0


class Vm(typing.NamedTuple):
    """One VM of the list.

    Parameters
    ----------
    name : str
        Its name.
    state : str
        ``live`` or ``leaving``.
    """

    name: str
    state: str


class VmList(typing.Protocol):
    """The list as the system uses it."""

    def read(self) -> tuple[Vm, ...]:
        """Return all VMs, as the platform saw them some time ago."""


class HttpVmList:
    """The list over HTTP: ``GET /vms`` answers ``{"vms": [{"name", "state"}]}``.

    Parameters
    ----------
    url : str
        ``http://host:port``.
    """

    def __init__(self, url: str) -> None:
        self.url = url
        self._pool = http.open_pool(url, CONNECT_S, READ_S, connections=1)

    def read(self) -> tuple[Vm, ...]:
        """Return all VMs.

        Raises
        ------
        errors.BadAnswerError
            If the list cannot be had or understood.
        """
        try:
            answer = self._pool.request("GET", "/vms")
            vms = json.loads(answer.data)["vms"]
            return tuple(Vm(str(vm["name"]), str(vm["state"])) for vm in vms)
        except urllib3.exceptions.HTTPError as exc:
            raise errors.BadAnswerError(self.url, str(exc)) from exc
        except (ValueError, KeyError, TypeError, RecursionError) as exc:
            raise errors.BadAnswerError(self.url, repr(exc)) from exc
