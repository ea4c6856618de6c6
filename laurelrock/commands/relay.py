"""Runs the role that calls searchers."""

import argparse
import asyncio
import pathlib

from laurelrock import relay
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
    """Runs the relay daemon until SIGTERM."""
    options = settings.load(arguments.settings)
    asyncio.run(relay.run(options))
    return 0
