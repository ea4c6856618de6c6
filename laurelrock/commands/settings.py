"""Prints every option with its range, default and description."""

import argparse

from laurelrock import settings

__all__ = ["add_arguments", "run"]


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds no arguments; the command has none."""


def run(arguments: argparse.Namespace) -> int:
    """Prints the options as an INI file with descriptions as comments."""
    section = None
    for option in settings.OPTIONS:
        if option.section != section:
            section = option.section
            print(f"[{section}]")
        print(f"# {option.description}{describe_limits(option)}")
        if option.default is None:
            print(f"{option.name} =")
        else:
            print(f"#{option.name} = {option.default}")
        print()
    return 0


def describe_limits(option: settings.Option) -> str:
    """Returns an option's range, unit and whether it is required."""
    parts = []
    if option.choices:
        parts.append("one of " + ", ".join(option.choices))
    if option.kind in ("int", "float"):
        parts.append(
            f"{option.minimum:g} to {option.maximum:g} {option.unit}".strip()
        )
    if option.default is None:
        parts.append("required")
    return f" ({'; '.join(parts)})" if parts else ""
