"""Runs the gateway role, which serves callers on the users' platform."""

import argparse
import importlib
import sys
import typing

__all__ = ["add_arguments", "run"]


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds no arguments; the platform provides the gateway's settings."""


def run(arguments: argparse.Namespace) -> int:
    """Runs the gateway until SIGTERM."""
    skip_tls_import()
    process = importlib.import_module("laurelrock.platform.process")
    process.run()
    return 0


def skip_tls_import() -> None:
    """Prevents asyncio and hashlib from loading OpenSSL, 4 MB on each VM.

    TLS is not needed, since the platform and its searchers use plain HTTP, and
    hashlib has implementations of its own. Must be called before asyncio is
    imported; later calls have no effect.
    """
    modules = typing.cast(dict[str, object], sys.modules)
    modules.setdefault("ssl", None)
    modules.setdefault("_hashlib", None)
