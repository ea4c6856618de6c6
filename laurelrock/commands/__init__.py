"""Commands of the command line, one module each.

A command module has a docstring, `add_arguments` and `run`.
"""

import importlib
import types

from laurelrock.commands import _mapping

__all__ = ["load", "summaries"]


def load(name: str) -> types.ModuleType:
    """Returns the module of a command."""
    return importlib.import_module(_mapping.COMMANDS[name][0])


def summaries() -> dict[str, str]:
    """Returns one line about each command, in alphabetical order."""
    rows = sorted(_mapping.COMMANDS.items())
    return {name: summary for name, (_, summary) in rows}
