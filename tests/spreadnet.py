"""A network of daemons that spread a manifest, in virtual time."""

import collections

from laurelrock import head as heads
from laurelrock import manifest
from laurelrock import messages
from laurelrock.core import delta
from laurelrock.core import membership
from laurelrock.core import spreading
from laurelrock.ports import platform as platforms
from tests import fleet
from tests import network

#: Time of one read of the platform, in seconds.
READ_S = 0.005


class Platform:
    """Objects in memory; counts the reads of each second."""

    def __init__(self) -> None:
        self.objects: dict[str, platforms.Stored] = {}
        self.waiting: list = []
        self.down = False
        self.reads: collections.Counter = collections.Counter()

    def put(self, key: str, body: bytes) -> None:
        held = self.objects.get(key)
        version = held.version + 1 if held else 1
        self.objects[key] = platforms.Stored(version, body)


def small_manifest(text: str) -> bytes:
    """Returns a valid manifest that holds a text."""
    document = {
        "name": "test",
        "regions": {"r": ["a"]},
        "applications": {},
        "callers": {text: {"token_sha256": "0" * 64, "applications": []}},
    }
    return manifest.encode(manifest.decode(delta.canonical(document)))


class SpreadNetwork(network.Network):
    """Adds the platform and the spreading to the network."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.platform = Platform()
        self.cut_off: set[str] = set()
        self.generation = 0
        self.raw = b""
        self.in_force: dict[str, list] = collections.defaultdict(list)

    def publish(self, raw: bytes, digest: str | None = None) -> None:
        """Commits a manifest, as a publisher does."""
        self.generation += 1
        generation = self.generation
        key, change = heads.full_key(generation, "p"), ""
        self.platform.put(key, raw)
        if self.raw:
            change = heads.delta_key(generation, "p")
            before = manifest.document.msgspec.json.decode(self.raw)
            after = manifest.document.msgspec.json.decode(raw)
            self.platform.put(change, delta.diff(before, after))
        self.raw = raw
        found = digest or manifest.digest_of(raw)
        head = heads.Head(generation, found, "p", key, change)
        self.platform.put(heads.HEAD_KEY, heads.encode(head))
        for address, process, fetch in self.platform.waiting:
            self.push(READ_S, ("read", address, (process, fetch)))
        self.platform.waiting.clear()

    def start(self, member, seeds=None, clock_skew_s=0.0):
        process = super().start(member, seeds, clock_skew_s)
        now_s = self.now_s + clock_skew_s
        view = process.view
        process.spread = spreading.Spreading(member.address, view.random, now_s)
        spreading.start(process.spread, len(seeds or self.processes), now_s)
        process.reading = False
        self.in_force[view.me.start_id].append(0)
        return process

    def run(self, duration_s: float) -> None:
        end_s = self.now_s + duration_s
        while self.queue and self.queue[0][0] <= end_s:
            entry = network.heapq.heappop(self.queue)
            self.now_s, _, (kind, address, item) = entry
            if kind == "tick":
                self.tick(address, item)
            elif kind == "read":
                self.finish_read(address, *item)
            else:
                self.deliver(address, item)
        self.now_s = end_s

    def tick(self, address, process) -> None:
        super().tick(address, process)
        if self.processes.get(address) is process and not process.paused:
            self.begin_read(address, process)

    def begin_read(self, address, process) -> None:
        if process.reading:
            return
        now_s = self.now_s + process.clock_skew_s
        watcher = self.is_watcher(process)
        fetch = spreading.next_fetch(process.spread, watcher, now_s)
        if fetch is None:
            return
        process.reading = True
        self.platform.reads[int(self.now_s)] += 1
        if fetch.kind == "watch" and not self.unreachable(address):
            held = self.platform.objects[heads.HEAD_KEY]
            if held.version <= fetch.after:
                entry = (address, process, fetch)
                self.platform.waiting.append(entry)
                wait = ("read", address, (process, fetch))
                self.push(spreading.WATCH_S, wait)
                return
        self.push(READ_S, ("read", address, (process, fetch)))

    def finish_read(self, address, process, fetch) -> None:
        present = self.processes.get(address) is process
        if not present or not process.reading:
            return
        if process.paused:
            self.push(1.0, ("read", address, (process, fetch)))
            return
        entry = (address, process, fetch)
        if entry in self.platform.waiting:
            self.platform.waiting.remove(entry)
        process.reading = False
        state, now_s = process.spread, self.now_s + process.clock_skew_s
        watcher = self.is_watcher(process)
        if self.unreachable(address):
            spreading.on_failure(state, now_s)
            return
        key = heads.HEAD_KEY
        if fetch.head:
            key = fetch.head.delta if fetch.kind == "delta" else fetch.head.full
        held = self.platform.objects.get(key)
        if fetch.kind == "watch" and held and held.version <= fetch.after:
            held = None
        raw = held.body if held else None
        if fetch.head:
            spreading.on_body(state, fetch, raw, watcher, now_s)
            self.note(address, process)
        else:
            version = held.version if held else 0
            spreading.on_head(state, version, raw, watcher, now_s)
            self.begin_read(address, process)

    def deliver(self, address, message) -> None:
        process = self.processes.get(address)
        handlers = {
            messages.ManifestSteps: spreading.on_steps,
            messages.ManifestCopy: spreading.on_copy,
        }
        if process is None or process.paused:
            super().deliver(address, message)
            return
        now_s, kind = self.now_s + process.clock_skew_s, type(message)
        answer, receiver = None, ""
        if kind in handlers:
            handlers[kind](process.spread, message)
            self.note(address, process)
        elif kind is messages.ManifestWanted:
            receiver = message.address
            answer = spreading.on_wanted(process.spread, message, now_s)
        else:
            super().deliver(address, message)
            if kind is messages.Heartbeat:
                receiver = message.address
                answer = spreading.on_heartbeat(process.spread, message, now_s)
        if answer is not None:
            network.views.send(process.view, receiver, answer)
        self.drain(address, process)

    def note(self, address, process) -> None:
        """Announces a generation that came into force."""
        catalog, view = process.spread.catalog, process.view
        if catalog.generation != view.generation:
            self.in_force[view.me.start_id].append(catalog.generation)
            view.generation = catalog.generation
            view.digest = catalog.digest
            membership.announce(view)
            self.drain(address, process)

    def unreachable(self, address: str) -> bool:
        return self.platform.down or address in self.cut_off

    def is_watcher(self, process) -> bool:
        view = process.view
        others = [r for r in view.table.records.values() if r.state != "dead"]
        return spreading.is_watcher(view.me, others)

    def generations(self) -> set[int]:
        """Returns the generations in force on the processes that run."""
        return {
            self.processes[a].spread.catalog.generation for a in self.live()
        }


def started(seed: int, size: int, domains: int) -> SpreadNetwork:
    """Returns a fleet that holds generation 1."""
    net = SpreadNetwork(seed)
    net.publish(small_manifest("first"))
    plan = fleet.relays(size, domains)
    seeds = [member.address for member in plan]
    for member in plan:
        net.start(member, seeds)
    net.run(15.0)
    return net
