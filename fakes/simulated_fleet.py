"""Simulates a fleet of daemons in one process and in virtual time.

Runs membership and manifest distribution over an in-memory network and
platform. Messages have a random latency, are lost between partitioned
addresses, and wait while their receiver is paused. A black-holed connection
loses all messages until its sender opens a new one.
"""

import collections
import collections.abc
import heapq
import itertools
import random as randomness
import typing

import msgspec

from laurelrock import head as heads
from laurelrock import manifest
from laurelrock import messages
from laurelrock.core import delta
from laurelrock.core import distribution
from laurelrock.core import members
from laurelrock.core import membership
from laurelrock.core import membership_handlers
from laurelrock.core import records
from laurelrock.core import view as views
from laurelrock.ports import platform as platforms

__all__ = ["Fleet", "Process", "manifest_with_text", "relay_members", "start"]

#: Tick interval of a process and duration of a platform read, in seconds.
TICK_S = 0.25
READ_S = 0.005

#: Smallest and largest latency of a message, in seconds.
LATENCY_S = (0.0002, 0.02)

#: Names of the failure domains, in the order in which they are used.
DOMAINS = ("a", "b", "c", "d", "e")


def relay_members(size: int, domains: int) -> list[members.Member]:
    """Returns relay members distributed evenly over failure domains."""
    return [
        members.Member(
            vm=f"e{index}",
            role="relay",
            address=f"10.0.{index // 250}.{index % 250 + 1}:7000",
            failure_domain=DOMAINS[index % domains],
            region="gt-central",
            start_id=f"start-{index}",
        )
        for index in range(size)
    ]


def manifest_with_text(text: str) -> bytes:
    """Returns an encoded, valid manifest that contains a text."""
    document = {
        "name": "test",
        "regions": {"r": ["a"]},
        "applications": {},
        "callers": {text: {"token_sha256": "0" * 64, "applications": []}},
    }
    return manifest.encode(manifest.decode(delta.canonical(document)))


class Process:
    """Simulated process of a daemon; a restart creates a new one.

    Attributes:
        view: Membership state.
        distribution_state: Manifest distribution state.
        skew_s: Offset of its clock from virtual time, in seconds.
        paused: Whether the process is stopped for now, as by SIGSTOP.
        read_in_progress: Whether a read of the platform is in progress.
        held_messages: Messages received while the process was paused.
        generation_history: Manifest generations in force so far, in order.
    """

    def __init__(
        self,
        view: views.View,
        state: distribution.DistributionState,
        skew_s: float,
    ) -> None:
        self.view = view
        self.distribution_state = state
        self.skew_s = skew_s
        self.paused = False
        self.read_in_progress = False
        self.held_messages: list[messages.Message] = []
        self.generation_history = [0]

    @property
    def address(self) -> str:
        """Address at which other processes reach this one."""
        return self.view.me.address

    @property
    def generation(self) -> int:
        """Generation of the manifest in force."""
        return self.distribution_state.catalog.generation

    def is_watcher(self) -> bool:
        """Returns whether it watches the manifest head for its domain."""
        return distribution.is_watcher(
            self.view.me,
            [
                record
                for record in self.view.table.records.values()
                if record.state != "dead"
            ],
        )


Watch = tuple[Process, distribution.Fetch]


class Fleet:
    """Simulated processes, the network between them, and the platform.

    Attributes:
        random: Random generator of the simulation.
        now_s: Virtual time, in seconds.
        processes: Running or paused processes, by address.
        partitioned_pairs: Sender and receiver pairs with a network partition.
        blackholed_pairs: Sender and receiver pairs of black-holed connections.
        sent: Number of sent messages, by type.
        sent_bytes: Total encoded size of messages; 0 without `counts_bytes`.
        objects: Objects of the platform, by key.
        platform_down: Whether the platform is unavailable.
        partitioned_from_platform: Addresses without a platform connection.
        reads_by_second: Number of platform reads, by second of virtual time.
        generation: Latest published manifest generation.
    """

    def __init__(self, seed: int, counts_bytes: bool = False) -> None:
        self.random = randomness.Random(seed)
        self.now_s = 1000.0
        self.event_queue: list[
            tuple[float, int, collections.abc.Callable[[], None]]
        ] = []
        self.sequence_numbers = itertools.count()
        self.processes: dict[str, Process] = {}
        self.partitioned_pairs: set[tuple[str, str]] = set()
        self.blackholed_pairs: set[tuple[str, str]] = set()
        self.sent: collections.Counter[str] = collections.Counter()
        self.counts_bytes = counts_bytes
        self.sent_bytes = 0
        self.objects: dict[str, platforms.StoredObject] = {}
        self.platform_down = False
        self.partitioned_from_platform: set[str] = set()
        self.reads_by_second: collections.Counter[int] = collections.Counter()
        self.pending_watches: list[Watch] = []
        self.generation = 0
        self.raw = b""

    # Faults

    def start(
        self,
        member: members.Member,
        seeds: list[str] | None = None,
        skew_s: float = 0.0,
    ) -> Process:
        """Starts a process at the member's address, replacing any other."""
        me = records.Record(
            address=member.address,
            vm=member.vm,
            role=member.role,
            failure_domain=member.failure_domain,
            region=member.region,
            start_id=f"s{next(self.sequence_numbers)}",
            epoch=int((self.now_s + skew_s) * 1000),
        )
        known = list(self.processes) if seeds is None else seeds
        random = randomness.Random(self.random.random())
        now_s = self.now_s + skew_s
        view = membership.create_view(me, random, now_s, known)
        state = distribution.DistributionState(member.address, random, now_s)
        distribution.start(state, len(known), now_s)
        process = Process(view, state, skew_s)
        self.processes[member.address] = process
        first_s = self.random.uniform(0, TICK_S)
        self.after(first_s, lambda: self.tick(process))
        return process

    def stop(self, address: str) -> None:
        """Ends a process at once, without a message to the others."""
        self.processes.pop(address, None)

    def resume(self, address: str) -> None:
        """Resumes a paused process, which then handles held messages."""
        process = self.processes[address]
        process.paused = False
        waiting, process.held_messages = process.held_messages, []
        for message in waiting:
            self.deliver(address, message)
        self.tick(process)

    def cut(self, group: list[str], other_group: list[str]) -> None:
        """Partitions the network between two groups of addresses."""
        for one, other in itertools.product(group, other_group):
            self.partitioned_pairs |= {(one, other), (other, one)}

    def heal_partitions(self) -> None:
        """Ends all network partitions."""
        self.partitioned_pairs.clear()
        self.partitioned_from_platform.clear()

    def publish(self, raw: bytes, digest: str = "") -> None:
        """Publishes a manifest: its full body, its delta and the head."""
        self.generation += 1
        generation = self.generation
        key, change = heads.full_key(generation, "p"), ""
        self.put_object(key, raw)
        if self.raw:
            change = heads.delta_key(generation, "p")
            before = msgspec.json.decode(self.raw)
            after = msgspec.json.decode(raw)
            self.put_object(change, delta.diff(before, after))
        self.raw = raw
        digest = digest or manifest.digest_of(raw)
        head = heads.Head(generation, digest, "p", key, change)
        self.put_object(heads.HEAD_KEY, heads.encode(head))
        watches, self.pending_watches = self.pending_watches, []
        for process, fetch in watches:
            self.schedule_read_end(READ_S, process, fetch)

    def put_object(self, key: str, body: bytes) -> None:
        """Writes an object to the platform."""
        held = self.objects.get(key)
        version = held.version + 1 if held else 1
        self.objects[key] = platforms.StoredObject(version, body)

    # Time

    def run(self, duration_s: float) -> None:
        """Runs all events that are due within a duration."""
        end_s = self.now_s + duration_s
        while self.event_queue and self.event_queue[0][0] <= end_s:
            self.now_s, _, action = heapq.heappop(self.event_queue)
            action()
        self.now_s = end_s

    def run_until(
        self, reached: collections.abc.Callable[[], bool], limit_s: float
    ) -> float:
        """Runs until a condition holds; returns the seconds that it took."""
        begun_s = self.now_s
        while not reached() and self.now_s - begun_s < limit_s:
            self.run(0.05)
        return self.now_s - begun_s

    def after(
        self, delay_s: float, action: collections.abc.Callable[[], None]
    ) -> None:
        """Schedules an action after a delay."""
        entry = (self.now_s + delay_s, next(self.sequence_numbers), action)
        heapq.heappush(self.event_queue, entry)

    def is_running(self, process: Process) -> bool:
        """Returns whether a process is current and not paused."""
        present = self.processes.get(process.address) is process
        return present and not process.paused

    def tick(self, process: Process) -> None:
        """Runs the periodic work of a process and schedules its next tick."""
        if self.is_running(process):
            membership.tick(process.view, self.now_s + process.skew_s)
            self.drain(process)
            self.start_read(process)
            self.after(TICK_S, lambda: self.tick(process))

    # Messages

    def drain(self, process: Process) -> None:
        """Sends all messages in the outbox of a process."""
        outbox, process.view.outbox = process.view.outbox, []
        for outgoing in outbox:
            self.send(process.address, outgoing)

    def send(self, sender: str, outgoing: views.Outgoing) -> None:
        """Sends one message, unless its connection loses it."""
        pair = (sender, outgoing.address)
        self.sent[type(outgoing.message).__name__] += 1
        if self.counts_bytes:
            self.sent_bytes += sum(map(len, messages.encode(outgoing.message)))
        if outgoing.fresh:
            self.blackholed_pairs.discard(pair)
        if pair in self.partitioned_pairs or pair in self.blackholed_pairs:
            return
        address, message = outgoing.address, outgoing.message
        self.after(
            self.random.uniform(*LATENCY_S),
            lambda: self.deliver(address, message),
        )

    def deliver(self, address: str, message: messages.Message) -> None:
        """Delivers a message to the process at an address."""
        process = self.processes.get(address)
        if process is None:
            return
        if process.paused:
            process.held_messages.append(message)
            return
        now_s = self.now_s + process.skew_s
        handler = membership_handlers.HANDLERS.get(type(message))
        if handler is not None:
            handler(process.view, message, now_s)
            membership.flush(process.view, now_s)
        self.handle_manifest_message(process, message, now_s)
        self.drain(process)

    def handle_manifest_message(
        self, process: Process, message: messages.Message, now_s: float
    ) -> None:
        """Handles a message of the manifest distribution."""
        state = process.distribution_state
        if isinstance(message, messages.Heartbeat):
            self.request_manifest(process, message, now_s)
        elif isinstance(message, messages.ManifestRequest):
            answer = distribution.on_manifest_request(state, message, now_s)
            if answer is not None:
                views.send(process.view, message.address, answer)
        elif isinstance(message, messages.ManifestDeltas):
            distribution.on_manifest_deltas(state, message)
            self.request_manifest(
                process, distribution.on_peer_reply(state, now_s), now_s
            )
        elif isinstance(message, messages.FullManifest):
            distribution.on_full_manifest(state, message)
            self.request_manifest(
                process, distribution.on_peer_reply(state, now_s), now_s
            )
        self.record_generation(process)

    def request_manifest(
        self, process: Process, beat: messages.Heartbeat | None, now_s: float
    ) -> None:
        """Requests a newer manifest generation from a heartbeat's sender."""
        if beat is None:
            return
        request = distribution.on_heartbeat(
            process.distribution_state, beat, now_s
        )
        if request is not None:
            views.send(process.view, beat.address, request)

    def record_generation(self, process: Process) -> None:
        """Records and announces a generation that has come into force."""
        catalog, view = process.distribution_state.catalog, process.view
        if catalog.generation != process.generation_history[-1]:
            process.generation_history.append(catalog.generation)
            view.generation = catalog.generation
            view.digest = catalog.digest
            membership.announce(view)
            self.drain(process)

    # Reads of the platform

    def start_read(self, process: Process) -> None:
        """Starts the read of the platform that is due, if any."""
        if process.read_in_progress:
            return
        now_s = self.now_s + process.skew_s
        if not process.distribution_state.pace.is_due(now_s):
            return
        watcher = process.is_watcher()
        fetch = distribution.next_fetch(
            process.distribution_state, watcher, now_s
        )
        if fetch is None:
            return
        process.read_in_progress = True
        self.reads_by_second[int(self.now_s)] += 1
        held = self.objects.get(heads.HEAD_KEY)
        must_wait = held is not None and held.version <= fetch.after
        if (
            fetch.kind == "watch"
            and must_wait
            and not self.unreachable(process)
        ):
            self.pending_watches.append((process, fetch))
            self.schedule_read_end(distribution.WATCH_TIMEOUT_S, process, fetch)
        else:
            self.schedule_read_end(READ_S, process, fetch)

    def schedule_read_end(
        self, delay_s: float, process: Process, fetch: distribution.Fetch
    ) -> None:
        """Schedules the completion of a read."""
        self.after(delay_s, lambda: self.finish_read(process, fetch))

    def finish_read(self, process: Process, fetch: distribution.Fetch) -> None:
        """Completes a read and handles its result."""
        if not process.read_in_progress or not self.is_running(process):
            process.read_in_progress = False
            return
        process.read_in_progress = False
        watch = (process, fetch)
        self.pending_watches = [
            item for item in self.pending_watches if item != watch
        ]
        state, now_s = process.distribution_state, self.now_s + process.skew_s
        watcher = process.is_watcher()
        if self.unreachable(process):
            distribution.on_failure(state, now_s)
            return
        held = self.objects.get(_object_key(fetch))
        if fetch.kind == "watch" and held and held.version <= fetch.after:
            held = None
        raw = held.body if held else None
        if fetch.head is not None:
            distribution.on_body(state, fetch, raw, watcher, now_s)
            self.record_generation(process)
        else:
            version = held.version if held else 0
            distribution.on_head(state, version, raw, watcher, now_s)
            self.start_read(process)

    def unreachable(self, process: Process) -> bool:
        """Returns whether a process gets no response from the platform."""
        return (
            self.platform_down
            or process.address in self.partitioned_from_platform
        )

    # Observations

    def live(self) -> list[Process]:
        """Returns the processes that are not paused."""
        return [p for p in self.processes.values() if not p.paused]

    def addresses_in_domain(self, name: str) -> list[str]:
        """Returns the addresses of the processes in a failure domain."""
        return [
            address
            for address, process in self.processes.items()
            if process.view.me.failure_domain == name
        ]

    def generations_in_force(self) -> set[int]:
        """Returns the generations in force on processes that aren't paused."""
        return {process.generation for process in self.live()}

    def view_differences(self) -> list[str]:
        """Describes each difference between a membership view and reality."""
        expected = {
            process.address: process.view.me.start_id
            for process in self.live()
            if process.view.me.state == "live"
        }
        wrong = []
        for process in self.live():
            seen = live_start_ids(process)
            if seen != expected:
                extra = sorted(seen.items() - expected.items())[:3]
                missing = sorted(expected.items() - seen.items())[:3]
                wrong.append(f"{process.address}: +{extra} -{missing}")
        return wrong


def live_start_ids(process: Process) -> dict[str, str]:
    """Returns the start ids of the live members in a view, by address."""
    return {
        record.address: record.start_id
        for record in process.view.table.records.values()
        if record.state == "live"
    }


def start(
    seed: int,
    size: int,
    domains: int,
    join_s: float = 15.0,
    **options: typing.Any,
) -> Fleet:
    """Returns a fleet after `join_s` seconds, with one published manifest."""
    fleet = Fleet(seed, **options)
    fleet.publish(manifest_with_text("first"))
    found = relay_members(size, domains)
    seeds = [member.address for member in found]
    for member in found:
        fleet.start(member, seeds)
    fleet.run(join_s)
    return fleet


def _object_key(fetch: distribution.Fetch) -> str:
    if fetch.head is None:
        return heads.HEAD_KEY
    return fetch.head.delta if fetch.kind == "delta" else fetch.head.full
