"""Checks of setting values, registered under the name that ``keys.Key.check`` holds."""

import collections.abc

from carawaysail_settings import errors, keys
from carawaysail_types import registry

Check = collections.abc.Callable[[str, keys.Key, object], keys.Scalar]

checks: registry.Registry[Check] = registry.Registry("settings checks")


@checks.register("integer")
def check_integer(path: str, key: keys.Key, value: object) -> keys.Scalar:
    """Accept a whole number within the bounds of the key."""
    is_integer = isinstance(value, int) and not isinstance(value, bool)
    if not is_integer or not key.low <= value <= key.high:  # type: ignore[operator]
        accepted = f"a whole number from {key.low:.0f} to {key.high:.0f}"
        raise errors.SettingRejectedError(path, value, accepted)
    return value  # type: ignore[return-value]


@checks.register("number")
def check_number(path: str, key: keys.Key, value: object) -> keys.Scalar:
    """Accept a number within the bounds of the key, and return it as a float."""
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not key.low <= value <= key.high:  # type: ignore[operator]
        accepted = f"a number from {key.low:g} to {key.high:g}"
        raise errors.SettingRejectedError(path, value, accepted)
    return float(value)  # type: ignore[arg-type]


@checks.register("flag")
def check_flag(path: str, key: keys.Key, value: object) -> keys.Scalar:
    """Accept ``True`` or ``False``."""
    if not isinstance(value, bool):
        raise errors.SettingRejectedError(path, value, "true or false")
    return value


@checks.register("choice")
def check_choice(path: str, key: keys.Key, value: object) -> keys.Scalar:
    """Accept one of the names in ``key.choices``."""
    if not isinstance(value, str) or value not in key.choices:
        raise errors.SettingRejectedError(path, value, ", ".join(key.choices))
    return value


def check(path: str, key: keys.Key, value: object) -> keys.Scalar:
    """Check a value with the check of its key, and return the value to use.

    Parameters
    ----------
    path : str
        Path of the value in the tree, for errors.
    key : keys.Key
        The key.
    value : object
        The value as parsed from JSON.

    Raises
    ------
    errors.SettingRejectedError
        If the value is not accepted.
    """
    return checks.get(key.check)(path, key, value)
