"""Runs the role that callers ask."""

import argparse
import asyncio
import pathlib

from laurelrock import entry
from laurelrock import settings

__all__ = ["add_arguments", "run"]


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declares the command's arguments."""
    parser.add_argument(
        "--settings",
        type=pathlib.Path,
        required=True,
        metavar="FILE",
        help="INI file; see 'laurelrock settings'",
    )


def run(arguments: argparse.Namespace) -> int:
    """Runs the role until SIGTERM."""
    options = settings.load(arguments.settings)
    asyncio.run(entry.run(options))
    return 0
