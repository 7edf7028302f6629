"""The registry of figures and the rows that they give."""

import collections.abc
import typing

from carawaysail_types import registry


class Row(typing.NamedTuple):
    """One figure.

    Parameters
    ----------
    figure : str
        What was measured.
    value : float
        The value.
    unit : str
        Its unit.
    target : str
        What it must reach; empty for none.
    holds : bool or None
        Whether it does; ``None`` for no target.
    """

    figure: str
    value: float
    unit: str
    target: str = ""
    holds: bool | None = None


Figure = collections.abc.Callable[[], list[Row]]

figures: registry.Registry[Figure] = registry.Registry("figures")


def at_most(figure: str, value: float, unit: str, bound: float) -> Row:
    """Return a row that must not exceed a bound."""
    return Row(figure, value, unit, f"at most {bound:g}", value <= bound)


def at_least(figure: str, value: float, unit: str, bound: float) -> Row:
    """Return a row that must reach a bound."""
    return Row(figure, value, unit, f"at least {bound:g}", value >= bound)
