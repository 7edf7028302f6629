"""Clients of the platform's services: key-value service, VM list, runners, workers.

Each client has a narrow interface and one implementation over HTTP, with urllib3; tests
replace it by a small fake.
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
