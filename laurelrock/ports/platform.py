"""Interface of the platform: versioned objects, watches, list of VMs."""

import typing

__all__ = ["Platform", "StoredObject", "Vm"]

#: Expected version to pass to `put` for an object that must not exist yet.
ABSENT = 0


class StoredObject(typing.NamedTuple):
    """Content of an object and its version on the platform."""

    version: int
    body: bytes


class Vm(typing.NamedTuple):
    """One entry of the platform's list of VMs, which may be outdated."""

    vm: str
    address: str
    failure_domain: str
    state: typing.Literal["live", "leaving"] = "live"


class Platform(typing.Protocol):
    """Client of the platform's object API.

    Every method raises `PlatformError` if the platform does not respond; a
    write may have taken effect nevertheless.
    """

    async def get(self, key: str) -> StoredObject | None:
        """Returns the object of a key, or None if there is none."""

    async def put(self, key: str, body: bytes, expected: int) -> int:
        """Writes an object if its current version is `expected`.

        Args:
            key: Path of the object.
            body: New content of the object, at most 1 MB.
            expected: Version that the object must have, or `ABSENT`.

        Returns:
            The new version of the object.

        Raises:
            VersionConflictError: The object has another version; nothing was
                written.
            ObjectTooLargeError: The body is larger than the platform accepts.
        """

    async def delete(self, key: str, expected: int) -> None:
        """Deletes an object if its current version is `expected`."""

    async def watch(
        self, key: str, after: int, wait_s: float
    ) -> StoredObject | None:
        """Waits until an object's version exceeds `after`.

        Returns:
            The object, or None if `wait_s` seconds passed first.
        """

    async def list_versions(self, prefix: str) -> dict[str, int]:
        """Returns the versions of all objects below a prefix, by key."""

    async def vms(self) -> list[Vm]:
        """Returns the VMs in state live or leaving."""
