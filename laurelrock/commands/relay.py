"""Runs the role that calls searchers."""

import argparse
import asyncio
import pathlib

from laurelrock import relay
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
    asyncio.run(relay.run(options))
    return 0
