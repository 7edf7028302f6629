"""Clients of what the platform gives: key-value service, VM list, runners, workers.

Each client is a narrow interface with one implementation over HTTP by urllib3; tests
put small fakes in their place.
"""

from carawaysail_platform import (
    errors,
    http,
    keyvalue,
    runners,
    targets,
    vmlist,
    workers,
)

__all__ = ["errors", "http", "keyvalue", "runners", "targets", "vmlist", "workers"]
