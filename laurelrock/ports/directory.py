"""Directory port: configuration, searchers and VMs, as the platform has them.

Every method raises `StoreError` where the platform gives no usable answer;
the watches raise `StoreHistoryError` where changes were missed.
"""

import typing

from laurelrock.core import registry
from laurelrock.core import routes

__all__ = ["Directory", "Searchers", "VmRow"]


class Searchers(typing.NamedTuple):
    """Entries of searchers; all of them, or those that changed."""

    rows: list[registry.Change]
    revision: int


class Configured(typing.NamedTuple):
    """A configuration, if there is one, and the revision of its read."""

    configuration: routes.Configuration | None
    revision: int


class VmRow(typing.TypedDict):
    """What a VM says of itself.

    Attributes:
        vm: Name.
        failure_domain: Where it runs.
        address: Where other VMs ask it, `IP:port`.
        cores: Processor that it has.
    """

    vm: str
    failure_domain: str
    address: str
    cores: float


class Directory(typing.Protocol):
    """What the gateway reads from the platform.

    Attributes:
        calls: Made so far.
    """

    calls: int

    async def read_configuration(self) -> Configured:
        """Returns the newest configuration."""

    async def watch_configuration(
        self, revision: int, wait_s: float
    ) -> Configured:
        """Waits for a newer configuration; None where there was none."""

    async def read_searchers(self) -> Searchers:
        """Returns the entries of all searchers."""

    async def watch_searchers(self, revision: int, wait_s: float) -> Searchers:
        """Waits for changed entries; no rows where there were none."""

    async def announce(self, row: VmRow) -> None:
        """Lists this VM."""

    async def withdraw(self, vm: str, host: str) -> bool:
        """Takes a VM from the list, if it is there with this address.

        Returns:
            Whether it was.
        """

    async def read_vms(self) -> list[VmRow]:
        """Returns the listed VMs; the list may be some seconds old."""

    def close(self) -> None:
        """Closes all connections."""
