"""Option helpers.

Each `get_*_opt` reads one option of a mapping of strings and reports a bad
value with the option's name and the value.
"""

import collections.abc

from laurelrock import errors

__all__ = [
    "get_choice_opt",
    "get_endpoints_opt",
    "get_float_opt",
    "get_int_opt",
    "get_ip_opt",
    "get_text_opt",
]

Options = collections.abc.Mapping[str, str]


def get_text_opt(options: Options, name: str, default: str | None) -> str:
    """Returns an option's text; required where the default is None."""
    text = options.get(name, default)
    if text is None:
        raise errors.SettingsError(f"option {name!r} is required")
    return text


def get_int_opt(
    options: Options, name: str, default: str | None, low: int, high: int
) -> int:
    """Returns an option as an integer in `low`..`high`."""
    text = get_text_opt(options, name, default)
    try:
        value = int(text)
    except ValueError:
        raise _bad(name, text, "is not an integer") from None
    if not low <= value <= high:
        raise _bad(name, text, f"is not in {low}..{high}")
    return value


def get_float_opt(
    options: Options, name: str, default: str | None, low: float, high: float
) -> float:
    """Returns an option as a number in `low`..`high`."""
    text = get_text_opt(options, name, default)
    try:
        value = float(text)
    except ValueError:
        raise _bad(name, text, "is not a number") from None
    if not low <= value <= high:
        raise _bad(name, text, f"is not in {low:g}..{high:g}")
    return value


def get_choice_opt(
    options: Options, name: str, default: str | None, allowed: list[str]
) -> str:
    """Returns an option that is one of the allowed words."""
    text = get_text_opt(options, name, default)
    if text not in allowed:
        raise _bad(name, text, f"is not one of {', '.join(allowed)}")
    return text


def get_ip_opt(options: Options, name: str, default: str | None) -> str:
    """Returns an option as an IPv4 number."""
    text = get_text_opt(options, name, default)
    if not is_ip(text):
        raise _bad(name, text, "is not an IPv4 number")
    return text


def get_endpoints_opt(
    options: Options, name: str, default: str | None
) -> list[str]:
    """Returns an option as a list of `IP:port`, split at blanks."""
    text = get_text_opt(options, name, default)
    for item in text.split():
        host, _, port = item.partition(":")
        if not (is_ip(host) and port.isdecimal() and 0 < int(port) < 65536):
            raise _bad(name, item, "is not IP:port")
    return text.split()


def is_ip(text: str) -> bool:
    """Tells whether a text is an IPv4 number."""
    parts = text.split(".")
    return len(parts) == 4 and all(
        part.isdecimal() and len(part) <= 3 and int(part) <= 255
        for part in parts
    )


def _bad(name: str, text: str, reason: str) -> errors.SettingsError:
    return errors.SettingsError(f"option {name!r}: {text!r} {reason}")
