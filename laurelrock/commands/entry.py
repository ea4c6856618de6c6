"""Runs the role that callers send requests to."""

import argparse
import asyncio
import pathlib

from laurelrock import entry
from laurelrock import settings

__all__ = ["add_arguments", "run"]


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the command's arguments to its parser."""
    parser.add_argument(
        "--settings",
        type=pathlib.Path,
        required=True,
        metavar="FILE",
        help="settings file (INI); 'laurelrock settings' lists the options",
    )


def run(arguments: argparse.Namespace) -> int:
    """Runs the entry daemon until SIGTERM."""
    options = settings.load(arguments.settings)
    asyncio.run(entry.run(options))
    return 0
