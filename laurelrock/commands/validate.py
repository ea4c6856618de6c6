"""Checks a manifest file."""

import argparse
import pathlib

from laurelrock import errors
from laurelrock import manifest

__all__ = ["add_arguments", "run"]


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declares the command's arguments."""
    parser.add_argument("manifest", type=pathlib.Path, help="JSON file")


def run(arguments: argparse.Namespace) -> int:
    """Prints a summary; a bad manifest is a `ManifestError`."""
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
    """Returns the bytes of a manifest file."""
    try:
        return path.read_bytes()
    except OSError as error:
        raise errors.ManifestError(f"{path}: {error}") from None
