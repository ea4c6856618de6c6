"""Finds the workspace of a request by its key."""

from laurelrock.core import routes
from laurelrock.core import tenancy

__all__ = ["MAX_CONFIGURATION_AGE_S", "find_workspace"]

#: Age in seconds of a VM's data from which an unknown key may be a new one. The
#: polls and heartbeats of a VM in touch with the platform are more frequent.
MAX_CONFIGURATION_AGE_S = 1.2


def find_workspace(
    table: routes.RouteTable, key: bytes | None
) -> tenancy.Workspace | None:
    """Returns the workspace that holds a key; None if there is none."""
    if not key:
        return None
    return table.by_key.get(tenancy.digest_of(key))
