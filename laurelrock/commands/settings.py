"""Prints every option with its range, default and meaning."""

import argparse

from laurelrock import settings

__all__ = ["add_arguments", "run"]


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declares the command's arguments."""


def run(arguments: argparse.Namespace) -> int:
    """Prints the options as an INI file with comments."""
    section = None
    for option in settings.OPTIONS:
        if option.section != section:
            section = option.section
            print(f"[{section}]")
        print(f"# {option.meaning}{describe(option)}")
        if option.default is None:
            print(f"{option.name} =")
        else:
            print(f"#{option.name} = {option.default}")
        print()
    return 0


def describe(option: settings.Option) -> str:
    """Returns the range, unit and need of an option."""
    parts = []
    if option.allowed:
        parts.append("one of " + ", ".join(option.allowed))
    if option.kind in ("int", "float"):
        parts.append(f"{option.low:g} to {option.high:g} {option.unit}".strip())
    if option.default is None:
        parts.append("required")
    return f" ({'; '.join(parts)})" if parts else ""
