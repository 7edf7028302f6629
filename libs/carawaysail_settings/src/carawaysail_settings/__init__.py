"""The settings tree: parsing, checks, inheritance, edits and sections.

Services, kinds of job and targets inherit the settings of the levels above them and set
only what differs.
"""

from carawaysail_settings import (
    checks,
    daemon_settings,
    edits,
    errors,
    inheritance,
    keys,
    sections,
    text,
    tree,
)

__all__ = [
    "checks",
    "daemon_settings",
    "edits",
    "errors",
    "inheritance",
    "keys",
    "sections",
    "text",
    "tree",
]
