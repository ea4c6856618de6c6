"""A query tier over many shards.

`validate` checks a manifest. Operators call `publish` and `status`; callers
use `query`, `save` and `new_key`. All of them are defined in
`laurelrock.client`, which is imported on the first access to one of them.
"""

import importlib
import typing

__version__ = "0.1.0"

#: Names of the functions that are imported from `laurelrock.client`.
CLIENT_FUNCTIONS = ("new_key", "publish", "query", "save", "status", "validate")


def __getattr__(name: str) -> typing.Any:
    """Imports a client function on its first access."""
    if name in CLIENT_FUNCTIONS:
        return getattr(importlib.import_module("laurelrock.client"), name)
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")


def __dir__() -> list[str]:
    """Lists the client functions together with the module's other names."""
    return sorted([*globals(), *CLIENT_FUNCTIONS])
