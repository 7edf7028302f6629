"""The registry of figures, each a function that measures and returns rows."""

import collections.abc
import typing

from carawaysail_types import registry


class Row(typing.NamedTuple):
    """One measured value.

    Parameters
    ----------
    figure : str
        What was measured.
    value : float
        The measured value, in ``unit``.
    unit : str
        Unit of the value, such as ``ms`` or ``ratio``.
    target : str
        Bound of the value, such as ``at most 25``; empty for none.
    holds : bool or None
        Whether the value is within the bound; ``None`` without one.
    """

    figure: str
    value: float
    unit: str
    target: str = ""
    holds: bool | None = None


Figure = collections.abc.Callable[[], list[Row]]

figures: registry.Registry[Figure] = registry.Registry("figures")


def at_most(figure: str, value: float, unit: str, bound: float) -> Row:
    """Return a row whose value must not exceed a bound, both in ``unit``."""
    return Row(figure, value, unit, f"at most {bound:g}", value <= bound)


def at_least(figure: str, value: float, unit: str, bound: float) -> Row:
    """Return a row whose value must not be below a bound, both in ``unit``."""
    return Row(figure, value, unit, f"at least {bound:g}", value >= bound)
