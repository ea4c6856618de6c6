"""Runs the role that serves callers on the users' platform."""

import argparse

from laurelrock.platform import process

__all__ = ["add_arguments", "run"]


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declares the command's arguments; the platform writes the settings."""


def run(arguments: argparse.Namespace) -> int:
    """Runs the role until SIGTERM."""
    process.run()
    return 0
