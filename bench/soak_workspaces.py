"""The workspaces of a soak, their keys, and who the callers say they are."""

import random
import typing

__all__ = [
    "CAPS",
    "LOCAL_REGIONS",
    "NOWHERE",
    "Sender",
    "keys_of",
    "pick_sender",
    "tenants",
]


class Workspace(typing.NamedTuple):
    """A workspace.

    Attributes:
        share: Its share of the usual requests.
        per_s: Requests per second of its cap; 0 for no cap.
        burst: Requests that it may send in addition.
        regions: Regions in which its requests may run; empty for all.
    """

    share: float
    per_s: float = 0.0
    burst: float = 0.0
    regions: tuple[str, ...] = ()


#: Workspaces by name. The usual rate of the one with a cap is about half of it.
WORKSPACES = {
    "main": Workspace(0.86),
    "resident": Workspace(0.1, regions=("r1",)),
    "capped": Workspace(0.04, 20.0, 20.0),
}
#: Requests per second and burst of the workspaces that have a cap.
CAPS = {
    name: (row.per_s, row.burst)
    for name, row in WORKSPACES.items()
    if row.per_s
}
#: Regions of the route "local", and what stands for two lists of regions that
#: have none in common.
LOCAL_REGIONS, NOWHERE = ("r0",), ("nowhere",)
#: Workspace whose keys change, and the number of such keys in a version.
CHANGING, CHANGING_KEYS = "main", 2
#: Shares of the requests with a key that no version has, without a key, and
#: with a key that changes, and of those that name a workspace themselves.
UNKNOWN_KEY, NO_KEY, CHANGING_KEY, FORGED_NAME = 0.02, 0.02, 0.08, 0.1


class Sender(typing.NamedTuple):
    """Who sends a request.

    Attributes:
        key: Key of the caller; empty if it sends none.
        workspace: Workspace that holds the key; empty for none.
        regions: Regions in which the workspace's requests may run.
        headers: Header lines of the request.
    """

    key: str
    workspace: str
    regions: tuple[str, ...]
    headers: tuple[str, ...]

    @property
    def local_regions(self) -> tuple[str, ...]:
        """Regions in which its requests for the route "local" may run."""
        if self.regions in ((), LOCAL_REGIONS):
            return LOCAL_REGIONS
        return NOWHERE


def keys_of(change: int) -> dict[str, str]:
    """Returns the workspaces by key after a number of changes of the keys."""
    keys = {f"key-{name}": name for name in WORKSPACES}
    for number in range(change, change + CHANGING_KEYS):
        keys[f"key-{number}"] = CHANGING
    return keys


def tenants(keys: dict[str, str]) -> list[dict[str, typing.Any]]:
    """Returns the workspaces as the platform's configuration lists them."""
    return [
        {
            "name": name,
            "api_keys": [key for key, owner in keys.items() if owner == name],
            "rate_per_s": row.per_s,
            "burst": row.burst,
            "allowed_regions": list(row.regions),
        }
        for name, row in WORKSPACES.items()
    ]


def pick_sender(rng: random.Random, change: int, workspace: str) -> Sender:
    """Returns who sends a request.

    Args:
        rng: Random generator.
        change: Number of changes of the keys so far.
        workspace: Workspace of the sender; if empty, a random one, or none.
    """
    draw = rng.random()
    if workspace:
        key = f"key-{workspace}"
    elif draw < UNKNOWN_KEY:
        key = "key-unknown"
    elif draw < UNKNOWN_KEY + NO_KEY:
        key = ""
    elif draw < UNKNOWN_KEY + NO_KEY + CHANGING_KEY:
        key = f"key-{max(0, change + rng.randint(-2, 1))}"
        workspace = CHANGING
    else:
        shares = [row.share for row in WORKSPACES.values()]
        workspace = rng.choices(list(WORKSPACES), shares)[0]
        key = f"key-{workspace}"
    headers: tuple[str, ...] = (f"Api-Key: {key}",) if key else ()
    if rng.random() < FORGED_NAME:
        headers += (f"x-Tenant-ID: {rng.choice(list(WORKSPACES))}",)
    regions = WORKSPACES[workspace].regions if workspace else ()
    return Sender(key, workspace, regions, headers)
