"""The tree of settings: text, checks, inheritance, origins and sections.

Each service, place and job inherits from above and overrides only what it must.
"""

from carawaysail_settings import (
    checks,
    daemon,
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
    "daemon",
    "edits",
    "errors",
    "inheritance",
    "keys",
    "sections",
    "text",
    "tree",
]
