"""Tests of messages between two versions of a gateway."""

import asyncio
import typing
import unittest

import msgspec

from laurelrock.adapters import frames
from laurelrock.adapters import message_codec
from laurelrock.gateways import group_messages
from laurelrock.gateways import peer_messages
from tests import gateways
from tests import test_shard_groups
from tests import virtual_time


class Item(typing.NamedTuple):
    name: str


class LaterItem(typing.NamedTuple):
    name: str
    size: int = 7


class Note(typing.NamedTuple):
    number: int
    items: tuple[Item, ...]
    by_name: dict[str, Item]
    best: Item | None


class LaterNote(typing.NamedTuple):
    number: int
    items: tuple[LaterItem, ...]
    by_name: dict[str, LaterItem]
    best: LaterItem | None
    text: str = "default"


class Later(typing.NamedTuple):
    number: int


OLD: dict[int, type] = {1: Note}
NEW: dict[int, type] = {1: LaterNote, 2: Later}
ITEM, LATER_ITEM = Item("a"), LaterItem("a", 3)


class FramesTest(unittest.IsolatedAsyncioTestCase):
    """Two VMs, one with a version of the messages before the other's."""

    async def exchange(self, server_kinds, client_kinds, messages, count):
        """Returns what the server and the client received."""
        seen, replies = [], []
        address = (gateways.HOST, gateways.free_ports(1)[0])
        server = frames.create_peer_links(
            server_kinds, lambda _, row: seen.append(row), lambda link: None
        )
        client = frames.create_peer_links(
            client_kinds, lambda _, row: replies.append(row), lambda link: None
        )
        self.addCleanup(server.close)
        self.addCleanup(client.close)
        await server.listen(address, 8)
        for message in messages:
            client.link(address).send(message)
        async with asyncio.timeout(3):
            while len(seen) + len(replies) < count:  # noqa: ASYNC110
                await asyncio.sleep(0.005)
        return seen, replies

    async def test_extra_fields_are_dropped(self):
        # Guards against a group request of a later version that is dropped:
        # msgspec rejects tuples that are too long.
        message = LaterNote(1, (LATER_ITEM,), {"a": LATER_ITEM}, LATER_ITEM)
        seen, _ = await self.exchange(OLD, NEW, [message], 1)
        self.assertEqual(seen, [Note(1, (ITEM,), {"a": ITEM}, ITEM)])

    async def test_missing_fields_get_defaults(self):
        message = Note(1, (ITEM,), {}, None)
        seen, _ = await self.exchange(NEW, OLD, [message], 1)
        self.assertEqual(seen, [LaterNote(1, (LaterItem("a", 7),), {}, None)])

    async def test_unknown_kind_gets_a_reply(self):
        messages = [Later(1), Note(2, (), {}, None)]
        kinds = {**NEW, 1: Note}
        seen, replies = await self.exchange(OLD, kinds, messages, 2)
        self.assertEqual(seen, [Note(2, (), {}, None)])
        self.assertEqual(replies, [frames.UnknownKind(2)])

    def test_every_message_is_decoded_with_extra_fields(self):
        for wanted in peer_messages.KINDS.values():
            with self.subTest(wanted.__name__):
                message = msgspec.convert(sample(wanted, []), type=wanted)
                longer = msgspec.msgpack.encode(sample(wanted, [{"new": 1}]))
                self.assertEqual(message_codec.decode(longer, wanted), message)

    def test_wrong_types_are_rejected(self):
        body = msgspec.msgpack.encode(["no number", [], {}, None, "more"])
        with self.assertRaises(msgspec.DecodeError):
            message_codec.decode(body, Note)


def sample(wanted, extra):
    """Returns an encodable value of a type, with fields added to messages."""
    if hasattr(wanted, "_fields"):
        hints = typing.get_type_hints(wanted)
        return [sample(hints[name], extra) for name in wanted._fields] + extra
    arguments = typing.get_args(wanted)
    origin = typing.get_origin(wanted) or wanted
    if origin in (list, tuple, set, frozenset):
        return [sample(row, extra) for row in arguments if row is not ...]
    if origin is dict:
        return {sample(arguments[0], []): sample(arguments[1], extra)}
    if origin is typing.Literal:
        return arguments[0]
    if arguments:
        return sample(arguments[0], extra)
    return {int: 1, float: 1.5, str: "x", bytes: b"y", bool: True}.get(wanted)


class GroupTest(unittest.TestCase):
    def test_group_is_asked_elsewhere_at_once(self):
        # Guards against queries that wait 40 ms for a VM that doesn't know
        # the request.
        async def play():
            parts = test_shard_groups.create_requester_and_owner()
            simulation, requester, owner = parts
            asked = []

            def handle(link, message):
                if isinstance(message, group_messages.GroupRequest):
                    asked.append(message.number)
                    link.send(frames.UnknownKind(1))

            owner.handle_message = handle
            loop = asyncio.get_running_loop()
            begun_s = loop.time()
            outcome = await requester.run(
                simulation.configuration.routes[0], b"r-1", 1.0
            )
            return asked, outcome, loop.time() - begun_s

        asked, outcome, took_s = virtual_time.run(play())
        self.assertTrue(asked)
        self.assertEqual(outcome.kind, "answered")
        self.assertLess(took_s, test_shard_groups.MIN_UNRESPONSIVE_OWNER_S)
