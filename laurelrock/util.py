"""Option helpers: convert and validate option values given as text.

Each `get_*_opt` reads one option from a mapping of strings and raises a
`SettingsError` with the option's name and value if the value is invalid.
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

#: Option values as text, by option name.
Options = collections.abc.Mapping[str, str]


def get_text_opt(options: Options, name: str, default: str | None) -> str:
    """Returns an option's text; the option is required if default is None."""
    text = options.get(name, default)
    if text is None:
        raise errors.SettingsError(f"option {name!r} is required")
    return text


def get_int_opt(
    options: Options, name: str, default: str | None, minimum: int, maximum: int
) -> int:
    """Returns an option as an integer in `minimum`..`maximum`."""
    text = get_text_opt(options, name, default)
    try:
        value = int(text)
    except ValueError:
        raise _option_error(name, text, "is not an integer") from None
    if not minimum <= value <= maximum:
        raise _option_error(name, text, f"is not in {minimum}..{maximum}")
    return value


def get_float_opt(
    options: Options,
    name: str,
    default: str | None,
    minimum: float,
    maximum: float,
) -> float:
    """Returns an option as a number in `minimum`..`maximum`."""
    text = get_text_opt(options, name, default)
    try:
        value = float(text)
    except ValueError:
        raise _option_error(name, text, "is not a number") from None
    if not minimum <= value <= maximum:
        raise _option_error(name, text, f"is not in {minimum:g}..{maximum:g}")
    return value


def get_choice_opt(
    options: Options, name: str, default: str | None, choices: list[str]
) -> str:
    """Returns an option whose value must be one of the choices."""
    text = get_text_opt(options, name, default)
    if text not in choices:
        raise _option_error(name, text, f"is not one of {', '.join(choices)}")
    return text


def get_ip_opt(options: Options, name: str, default: str | None) -> str:
    """Returns an option whose value must be an IPv4 address."""
    text = get_text_opt(options, name, default)
    if not is_ip(text):
        raise _option_error(name, text, "is not an IPv4 address")
    return text


def get_endpoints_opt(
    options: Options, name: str, default: str | None
) -> list[str]:
    """Returns an option as a list of `IP:port`, separated by whitespace."""
    text = get_text_opt(options, name, default)
    for item in text.split():
        host, _, port = item.partition(":")
        if not (is_ip(host) and port.isdecimal() and 0 < int(port) < 65536):
            raise _option_error(name, item, "is not IP:port")
    return text.split()


def is_ip(text: str) -> bool:
    """Tells whether a text is an IPv4 address."""
    parts = text.split(".")
    return len(parts) == 4 and all(
        part.isdecimal() and len(part) <= 3 and int(part) <= 255
        for part in parts
    )


def _option_error(name: str, text: str, reason: str) -> errors.SettingsError:
    return errors.SettingsError(f"option {name!r}: {text!r} {reason}")
