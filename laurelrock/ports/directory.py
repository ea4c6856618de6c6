"""Interface of the platform's directory of configuration, searchers and VMs.

Every method raises `StoreError` if the platform gives no usable response. The
watches raise `StoreHistoryError` if the platform no longer has the changes
since the given revision, and `StoreEraError` if it came back from a copy.
"""

import typing

from laurelrock.core import registry
from laurelrock.core import routes

__all__ = ["Directory", "EvacuationEntries", "SearcherEntries", "VmEntry"]


class SearcherEntries(typing.NamedTuple):
    """Entries of searchers and the revision at which they were read.

    Attributes:
        rows: All entries, or only the changed ones from a watch.
        revision: Revision of the platform's store, to continue watching from.
        era: Era of the platform's data; it rises each time that the platform
            comes back from a copy.
    """

    rows: list[registry.Change]
    revision: int
    era: int = 0


class EvacuationEntries(typing.NamedTuple):
    """Evacuations and the revision at which they were read.

    Attributes:
        rows: Failure domains, and whether each is evacuated: all that are, or
            from a watch the changes in their order.
        revision: Revision of the platform's store, to continue watching from.
        era: See `SearcherEntries`.
    """

    rows: list[tuple[str, bool]]
    revision: int
    era: int = 0


class VersionedConfiguration(typing.NamedTuple):
    """A configuration and the revision at which it was read.

    Attributes:
        configuration: The configuration; None if there is none, or none newer.
        revision: Revision of the platform's store, to continue watching from.
        era: See `SearcherEntries`.
    """

    configuration: routes.Configuration | None
    revision: int
    era: int = 0


class VmEntry(typing.TypedDict):
    """Entry that a VM writes about itself.

    Attributes:
        vm: Name of the VM.
        failure_domain: Failure domain in which the VM runs.
        address: Address for messages of other VMs, as `IP:port`.
        cores: Number of processor cores that the VM may use.
    """

    vm: str
    failure_domain: str
    address: str
    cores: float


class Directory(typing.Protocol):
    """Client of the platform's directory.

    Attributes:
        calls: Number of requests made so far.
    """

    calls: int

    async def read_configuration(self) -> VersionedConfiguration:
        """Returns the newest configuration."""

    async def watch_configuration(
        self, revision: int, wait_s: float
    ) -> VersionedConfiguration:
        """Waits up to `wait_s` seconds for a newer configuration."""

    async def read_searchers(self) -> SearcherEntries:
        """Returns the entries of all searchers."""

    async def watch_searchers(
        self, revision: int, wait_s: float
    ) -> SearcherEntries:
        """Waits up to `wait_s` seconds; returns no rows if nothing changed."""

    async def read_evacuations(self) -> EvacuationEntries:
        """Returns the evacuated failure domains."""

    async def watch_evacuations(
        self, revision: int, wait_s: float
    ) -> EvacuationEntries:
        """Waits up to `wait_s` seconds; returns no rows if nothing changed."""

    async def register_vm(self, row: VmEntry) -> None:
        """Writes this VM's entry to the list of VMs."""

    async def remove_vm(self, vm: str, host: str) -> bool:
        """Removes a VM from the list if its entry has the given host.

        Returns:
            Whether the entry existed with this host and was removed.
        """

    async def read_vms(self) -> list[VmEntry]:
        """Returns the listed VMs; the list may be several seconds old."""

    def close(self) -> None:
        """Closes all connections."""
