"""Identifiers, submissions, outcomes, errors and the clock interface.

Every other library of the workspace may import this one; it imports none of them.
"""

from carawaysail_types import clock, errors, identifiers, outcomes, registry, work

__all__ = ["clock", "errors", "identifiers", "outcomes", "registry", "work"]
