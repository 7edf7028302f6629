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
    json_text,
    keys,
    sections,
    tree,
)

__all__ = [
    "checks",
    "daemon_settings",
    "edits",
    "errors",
    "inheritance",
    "json_text",
    "keys",
    "sections",
    "tree",
]
