"""Commands of the command line, one module per command.

Each command module has a docstring, which becomes its help text, and the
functions `add_arguments` and `run`.
"""

import importlib
import types

from laurelrock.commands import _mapping

__all__ = ["load", "summaries"]


def load(name: str) -> types.ModuleType:
    """Imports and returns the module of a command."""
    return importlib.import_module(_mapping.COMMANDS[name][0])


def summaries() -> dict[str, str]:
    """Returns a one-line summary of each command, in alphabetical order."""
    rows = sorted(_mapping.COMMANDS.items())
    return {name: summary for name, (_, summary) in rows}
