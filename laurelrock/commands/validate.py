"""Validates a manifest file."""

import argparse
import pathlib

from laurelrock import errors
from laurelrock import manifest

__all__ = ["add_arguments", "run"]


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the command's arguments to its parser."""
    parser.add_argument(
        "manifest", type=pathlib.Path, help="manifest file (JSON)"
    )


def run(arguments: argparse.Namespace) -> int:
    """Prints a summary of the manifest.

    Raises:
        ManifestError: The manifest is invalid or unreadable.
    """
    config = manifest.decode(read(arguments.manifest))
    searchers = sum(
        len(group)
        for application in config.applications.values()
        for group in application.services.values()
    )
    print(
        f"{config.name}: {len(config.applications)} applications,"
        f" {searchers} searchers, {len(config.callers)} callers"
    )
    return 0


def read(path: pathlib.Path) -> bytes:
    """Returns the bytes of a manifest file.

    Raises:
        ManifestError: The file is unreadable.
    """
    try:
        return path.read_bytes()
    except OSError as error:
        raise errors.ManifestError(f"{path}: {error}") from None
