"""A query tier over many shards.

`validate` checks a manifest, `publish` and `status` are for operators,
`query`, `save` and `new_key` for callers; see `laurelrock.client`. They are
loaded on first use.
"""

import importlib
import typing

__version__ = "0.1.0"

#: Names that `laurelrock.client` provides.
VERBS = ("new_key", "publish", "query", "save", "status", "validate")


def __getattr__(name: str) -> typing.Any:
    """Loads a verb."""
    if name in VERBS:
        return getattr(importlib.import_module("laurelrock.client"), name)
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")


def __dir__() -> list[str]:
    """Lists the verbs with the other names."""
    return sorted([*globals(), *VERBS])
