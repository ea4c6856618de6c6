"""Commands of the command line, one module each.

A command module has a docstring, `add_arguments` and `run`.
"""

import importlib
import types

from laurelrock.commands import _mapping

__all__ = ["COMMANDS", "load"]

COMMANDS = _mapping.COMMANDS


def load(name: str) -> types.ModuleType:
    """Returns the module of a command."""
    return importlib.import_module(COMMANDS[name])
