"""Platform port: versioned objects, watches and the list of VMs."""

import typing

__all__ = ["Platform", "Stored", "Vm"]

#: Version to give to `put` for an object that must not exist yet.
ABSENT = 0


class Stored(typing.NamedTuple):
    """An object as the platform holds it."""

    version: int
    body: bytes


class Vm(typing.NamedTuple):
    """One row of the platform's list of VMs, which lags."""

    vm: str
    address: str
    failure_domain: str
    state: typing.Literal["live", "leaving"] = "live"


class Platform(typing.Protocol):
    """The platform's object API.

    Every method raises `PlatformError` when the platform does not answer; a
    write may have taken effect all the same.
    """

    async def get(self, key: str) -> Stored | None:
        """Returns an object, or None if there is none."""

    async def put(self, key: str, body: bytes, expected: int) -> int:
        """Writes an object whose version is `expected`.

        Args:
            key: Path of the object.
            body: At most 1 MB.
            expected: Present version, or `ABSENT`.

        Returns:
            The new version.

        Raises:
            VersionConflictError: The object has another version; nothing was
                written.
            ObjectTooLargeError: The body is too large.
        """

    async def delete(self, key: str, expected: int) -> None:
        """Deletes an object whose version is `expected`."""

    async def watch(self, key: str, after: int, wait_s: float) -> Stored | None:
        """Waits until an object's version exceeds `after`.

        Returns:
            The object, or None when `wait_s` passed first.
        """

    async def list_versions(self, prefix: str) -> dict[str, int]:
        """Returns the versions of all objects below a prefix, by key."""

    async def vms(self) -> list[Vm]:
        """Returns the live and leaving VMs."""
