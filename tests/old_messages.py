"""Messages and links of commit bf99763, the version before version numbers.

The types are written down as data, and the links decode as that commit did. A
simulated VM of that version is a present one behind such links: it neither
sends nor sees what the old messages don't contain.
"""

import asyncio
import collections.abc
import typing
import unittest.mock

import msgspec

from laurelrock.adapters import frames
from laurelrock.adapters import message_codec
from laurelrock.gateways import group_messages
from laurelrock.gateways import peer_messages
from laurelrock.gateways import peers
from tests import gateway_simulation as simulations

#: Fields of each type, in an order in which types precede those that use them.
FIELDS = {
    "GroupRequest": (
        "number: int; request_id: bytes; method: bytes; target: bytes; "
        "headers: list[tuple[bytes, bytes]]; body: bytes; route: str; "
        "version: int; services: tuple[str, ...]; attempts: int; "
        "max_records: int; due_in_s: float; remaining_s: float; single: "
        "bool; idempotent: bool"
    ),
    "GroupAccepted": (
        "number: int; unreachable: int; remote_domains_silent: bool; "
        "resume_in_s: float; disconnected: int"
    ),
    "Start": ("id: str; started_ms: int"),
    "GroupResult": (
        "number: int; places: list[int]; stamps: list[bytes]; records: "
        "bytes; pending: int; calls: int; leaving: tuple[Start, ...]; "
        "again: tuple[int, ...]; attempts_left: int"
    ),
    "CancelGroup": ("number: int"),
    "Subscribe": ("version: int"),
    "WeightedService": ("service: str; weight: float"),
    "Route": (
        "name: str; host: str; prefix: str; idempotent: bool; "
        "timeout_s: float; objective_s: float; priority: int; "
        "weighted_services: tuple[WeightedService, ...]; shards: "
        "tuple[str, ...]; attempts: int; max_records: int; "
        "min_shard_share: float"
    ),
    "Service": ("health_path: str; connections: int"),
    "Limits": (
        "max_header_bytes: int; max_body_bytes: int; header_timeout_s: "
        "float; idle_timeout_s: float"
    ),
    "Configuration": (
        "version: int; routes: tuple[Route, ...]; services: dict[str, "
        "Service]; limits: Limits"
    ),
    "Searcher": (
        "id: str; started_ms: int; service: str; address: tuple[str, "
        "int]; failure_domain: str; slots: int; state: Literal['live', "
        "'draining']; warm_up_left_s: float; seq: int"
    ),
    "Vm": ("name: str; failure_domain: str; host: str; cores: float"),
    "StateUpdate": (
        "configuration: Configuration | None; full: bool; searchers: "
        "list[Searcher]; gone: list[str]; vms: list[Vm] | None; age_s: "
        "float; gone_seqs: tuple[int, ...]"
    ),
    "StartGroup": ("number: int"),
    "GroupDeclined": ("number: int; reason: Literal['stopping', 'isolated']"),
    "BorrowRequest": ("number: int; service: str"),
    "BorrowReply": ("number: int; granted: bool"),
    "Ping": ("sender: str"),
    "Pong": ("owner: str"),
    "SingleResult": (
        "number: int; kind: Literal['answered', 'partial', 'refused', "
        "'failed', 'late']; status: int; has_reply: bool; headers: "
        "list[tuple[bytes, bytes]]; body: bytes; attempts: int; reason: "
        "str; resume_in_s: float; leaving: tuple[Start, ...]"
    ),
    "ReachabilityQuery": ("services: tuple[str, ...]"),
    "ReachabilityReport": (
        "key: str; unreachable: int; remote_domains_silent: bool; "
        "resume_in_s: float; disconnected: int; vm: str; isolated: bool"
    ),
    "PartitionHint": ("vm: str"),
    "NamedLimit": (
        "service: str; searcher: str; started_ms: int; per_s: float; "
        "age_s: float"
    ),
    "LimitReport": (
        "sender: str; slot: int; demands: list[tuple[str, float]]; "
        "limits: list[NamedLimit]; ask_all: bool"
    ),
    "LimitShares": (
        "slot: int; shares: list[tuple[str, float]]; limits: list[NamedLimit]"
    ),
    "CrashReport": ("fingerprint: int; attempt: str; crashed: list[int]"),
    "RequestCrashed": ("report: CrashReport; relay: bool"),
    "RequestCleared": ("fingerprint: int; relay: bool"),
    "SuspectQuery": ("digest: int"),
    "Suspect": (
        "fingerprint: int; attempts: list[str]; crashed: list[int]; "
        "quarantines: int; evidence_age_s: float; cleared_age_s: float"
    ),
    "SuspectList": ("suspects: list[Suspect]"),
    "Snapshot": (
        "configuration: Configuration | None; searchers: "
        "list[Searcher]; age_s: float; vms: int"
    ),
}


def create_types() -> dict[str, type]:
    """Returns the old types by name."""
    types: dict[str, typing.Any] = {"Literal": typing.Literal}
    for name, text in FIELDS.items():
        pairs = [row.split(": ") for row in text.split("; ")]
        types[name] = typing.NamedTuple(
            name, [(field, eval(kind, types)) for field, kind in pairs]
        )
    return types


TYPES = create_types()
#: Old types of messages by kind.
KINDS: dict[int, type] = {
    kind: TYPES[name]
    for kind, name in (
        *((1, "GroupRequest"), (2, "GroupAccepted"), (3, "GroupResult")),
        *((4, "CancelGroup"), (5, "Subscribe"), (6, "StateUpdate")),
        *((7, "StartGroup"), (8, "GroupDeclined"), (9, "BorrowRequest")),
        *((10, "BorrowReply"), (11, "Ping"), (12, "Pong")),
        *((13, "SingleResult"), (14, "ReachabilityQuery")),
        *((15, "ReachabilityReport"), (16, "PartitionHint")),
        *((17, "LimitReport"), (18, "LimitShares"), (19, "RequestCrashed")),
        *((20, "RequestCleared"), (21, "SuspectQuery"), (22, "SuspectList")),
    )
}
PRESENT_KINDS = {row: kind for kind, row in peer_messages.KINDS.items()}
#: Time in seconds that bytes take from one VM to another.
DELAY_S = 0.001


def old_form(message: typing.Any) -> typing.Any:
    """Returns a present message with the fields of its old type."""
    body = msgspec.msgpack.encode(message)
    if isinstance(message, peers.Snapshot):
        return message_codec.decode(body, TYPES["Snapshot"])
    return message_codec.decode(body, KINDS[PRESENT_KINDS[type(message)]])


class OldLink(frames.Link):
    """Encodes and decodes frames as the old version did."""

    def send(self, message: typing.Any) -> None:
        kind = PRESENT_KINDS[type(message)]
        body = msgspec.msgpack.encode(old_form(message))
        size = (len(body) + 1).to_bytes(frames.LENGTH_BYTES)
        self.send_frame(size + bytes((kind,)) + body)

    def handle_frame(self, kind: int, body: bytes) -> None:
        links = typing.cast(MemoryLinks, self.peer_links)
        old_type = KINDS.get(kind)
        if old_type is None:
            links.dropped.append(kind)
            return
        try:
            message = msgspec.msgpack.decode(body, type=old_type)
        except msgspec.DecodeError:
            links.dropped.append(kind)
            return
        links.received.append(message)
        present = message_codec.decode(body, peer_messages.KINDS[kind])
        if isinstance(present, group_messages.Ping):
            # That version answers pings without a sender as well.
            present = group_messages.Ping("vm")
        self.peer_links.handle(self, present)


class Transport:
    """Carries bytes to the other end of a connection in memory."""

    def __init__(self) -> None:
        self.other: frames.Link | None = None
        self.own: frames.Link | None = None
        self.ended = False
        self.arrival_s = 0.0

    def get_extra_info(self, name: str) -> typing.Any:
        return unittest.mock.MagicMock()

    def get_write_buffer_size(self) -> int:
        return 0

    def is_closing(self) -> bool:
        return self.ended

    def write(self, data: bytes) -> None:
        loop = asyncio.get_running_loop()
        # The order of timers with equal times is not defined.
        self.arrival_s = max(self.arrival_s + 1e-9, loop.time() + DELAY_S)
        if not self.ended:
            loop.call_at(self.arrival_s, self.deliver, data)

    def deliver(self, data: bytes) -> None:
        if not self.ended and self.other is not None:
            self.other.data_received(data)

    def abort(self) -> None:
        """Ends both ends of the connection."""
        for link in (self.own, self.other):
            assert link is not None
            transport = typing.cast(Transport, link.transport)
            if not transport.ended:
                transport.ended = True
                link.connection_lost(None)


class MemoryLinks(frames.PeerLinks):
    """Links of one VM, whose connections are in memory.

    Attributes:
        network: The links of all VMs by IP address.
        link_class: Class of the links, `OldLink` for a VM of the old version.
        received: Messages that a VM of the old version decoded.
        dropped: Kinds of the frames that it dropped.
    """

    network: "dict[str, MemoryLinks]"
    link_class: type[frames.Link] = frames.Link
    received: list[typing.Any]
    dropped: list[int]

    def link(self, address: tuple[str, int]) -> frames.Link:
        if address not in self.links:
            self.links[address] = self.link_class(self, address)
            task = self.loop.create_task(
                self.connect(self.links[address], address)
            )
            self.tasks.add(task)
        return self.links[address]

    async def connect(
        self, link: frames.Link, address: tuple[str, int]
    ) -> None:
        await asyncio.sleep(DELAY_S)
        remote = self.network[address[0]]
        end = remote.link_class(remote, None)
        one, other = Transport(), Transport()
        one.own = other.other = link
        one.other = other.own = end
        link.transport = end.transport = None
        end.connection_made(typing.cast(asyncio.Transport, other))
        link.connection_made(typing.cast(asyncio.Transport, one))


def create_links(
    network: dict[str, MemoryLinks],
    host: str,
    old: bool,
    handle: collections.abc.Callable[[frames.Link, typing.Any], None],
    on_link_ended: collections.abc.Callable[
        [frames.Link], None
    ] = lambda link: None,
) -> MemoryLinks:
    """Returns the links of one VM and adds them to a network."""
    links = MemoryLinks(
        {**peer_messages.KINDS, frames.UNKNOWN_KIND: frames.UnknownKind},
        handle,
        on_link_ended,
        None if old else peer_messages.VERSIONS,
    )
    links.network, links.received, links.dropped = network, [], []
    if old:
        links.link_class = OldLink
    network[host] = links
    return links


def connect_nodes(
    simulation: simulations.Simulation, old: collections.abc.Container[str]
) -> dict[str, MemoryLinks]:
    """Replaces the links of simulated VMs; those in `old` run the old version.

    Returns:
        The links by name of the VM.
    """
    network: dict[str, MemoryLinks] = {}
    for node in simulation.nodes:
        links = create_links(
            network,
            node.me.host,
            node.me.name in old,
            node.handle_message,
            node.groups.link_ended,
        )
        node.link = links.link  # type: ignore[method-assign,assignment]
    return {node.me.name: network[node.me.host] for node in simulation.nodes}
