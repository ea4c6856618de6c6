"""Runs the role that serves callers on the users' platform."""

import argparse
import importlib
import sys
import typing

__all__ = ["add_arguments", "run"]


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declares the command's arguments; the platform writes the settings."""


def run(arguments: argparse.Namespace) -> int:
    """Runs the role until SIGTERM."""
    leave_out_tls()
    process = importlib.import_module("laurelrock.platform.process")
    process.run()
    return 0


def leave_out_tls() -> None:
    """Keeps asyncio from loading OpenSSL, which weighs 4 MB on each VM.

    The platform and its searchers speak plain HTTP. Call it before asyncio is
    imported; afterwards it changes nothing.
    """
    modules = typing.cast(dict[str, object], sys.modules)
    modules.setdefault("ssl", None)
