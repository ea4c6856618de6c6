"""In-memory platform with fault injection, for tests in virtual time."""

import collections
import collections.abc
import typing

from laurelrock import errors
from laurelrock.ports import platform

#: Outcomes of a call. "ok": it takes effect and gets its response; "down": it
#: has no effect and gets no response; "lost": it takes effect but gets no
#: response; "late": it gets no response, and a write takes effect only at the
#: next `MemoryStore.apply_delayed_writes`; "twice": a write takes effect and is
#: resent by the HTTP client, so that it conflicts with itself.
Fault = typing.Literal["ok", "down", "lost", "late", "twice"]


class Call(typing.NamedTuple):
    """Call of a daemon to the platform.

    Attributes:
        caller: Name of the daemon.
        method: Name of the method of `MemoryPlatform`, or "list".
        key: Key of the object, or prefix of a list.
        body: Body of a write.
        expected: Version of the object that a write requires.
    """

    caller: str
    method: str
    key: str
    body: bytes = b""
    expected: int = 0


DecideFault = collections.abc.Callable[[Call], collections.abc.Awaitable[Fault]]


class MemoryStore:
    """State of the platform, shared by all daemons of a test.

    Attributes:
        objects: Objects by key.
        scripted_faults: Outcomes of the next calls; once empty, "ok".
        gate: Function that decides the outcome of each call; None
            uses the script.
        delayed_writes: Delayed writes that have not taken effect yet.
        calls: All calls, in order.
        vms: List of VMs.
    """

    def __init__(self, gate: DecideFault | None = None) -> None:
        self.objects: dict[str, platform.StoredObject] = {}
        self.scripted_faults: collections.deque[Fault] = collections.deque()
        self.gate = gate
        self.delayed_writes: list[Call] = []
        self.calls: list[Call] = []
        self.vms: list[platform.Vm] = []

    async def fault(self, call: Call) -> Fault:
        """Records a call and returns its outcome."""
        self.calls.append(call)
        if self.gate is not None:
            return await self.gate(call)
        return self.scripted_faults.popleft() if self.scripted_faults else "ok"

    def apply_write(self, call: Call) -> int:
        """Applies a conditional write and returns the new version."""
        held = self.objects.get(call.key)
        version = held.version if held else platform.ABSENT
        if version != call.expected:
            raise errors.VersionConflictError(f"{call.key} has {version}")
        self.objects[call.key] = platform.StoredObject(version + 1, call.body)
        return version + 1

    def apply_delayed_writes(self) -> None:
        """Applies the delayed writes whose condition holds."""
        calls, self.delayed_writes = self.delayed_writes, []
        for call in calls:
            try:
                self.apply_write(call)
            except errors.VersionConflictError:
                pass


class MemoryPlatform:
    """Access of one daemon to the store; see `ports.platform.Platform`."""

    def __init__(self, store: MemoryStore, caller: str = "e1") -> None:
        self.store = store
        self.caller = caller

    async def read(self, method: str, key: str) -> platform.StoredObject | None:
        fault = await self.store.fault(Call(self.caller, method, key))
        if fault not in ("ok", "twice"):
            raise errors.PlatformError(fault)
        return self.store.objects.get(key)

    async def get(self, key: str) -> platform.StoredObject | None:
        return await self.read("get", key)

    async def put(self, key: str, body: bytes, expected: int) -> int:
        call = Call(self.caller, "put", key, body, expected)
        fault = await self.store.fault(call)
        if fault == "late":
            self.store.delayed_writes.append(call)
        if fault in ("down", "late"):
            raise errors.PlatformError(fault)
        version = self.store.apply_write(call)
        if fault == "twice":
            self.store.apply_write(call)
        if fault == "lost":
            raise errors.PlatformError(fault)
        return version

    async def delete(self, key: str, expected: int) -> None:
        held = await self.read("delete", key)
        if held is None or held.version != expected:
            raise errors.VersionConflictError(key)
        del self.store.objects[key]

    async def watch(
        self, key: str, after: int, wait_s: float
    ) -> platform.StoredObject | None:
        held = await self.read("watch", key)
        return held if held and held.version > after else None

    async def vms(self) -> list[platform.Vm]:
        await self.read("vms", "")
        return self.store.vms

    async def list_versions(self, prefix: str) -> dict[str, int]:
        await self.read("list", prefix)
        return {
            key: held.version
            for key, held in self.store.objects.items()
            if key.startswith(prefix)
        }
