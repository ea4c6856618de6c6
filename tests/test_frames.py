"""Tests of the frames between gateways, on real sockets."""

import asyncio
import typing
import unittest
import unittest.mock

from laurelrock.adapters import frames
from tests import gateways


class SampleMessage(typing.NamedTuple):
    number: int
    text: bytes


KINDS: dict[int, type] = {1: SampleMessage}

# Malformed bytes, and whether the connection stays open after them.
MALFORMED_INPUTS = (
    (b"GET / HTTP/1.1\r\n\r\n", False),
    (b"\xff\xff\xff\xff\x01", False),
    ((3).to_bytes(4) + b"\x09ab", True),
    ((3).to_bytes(4) + b"\x01\xc1\xc1", True),
    ((4).to_bytes(4) + b"\x01\x92\xa1x", True),
    (b"\x00\x00", True),
    # A plain body marked as compressed, with a known and an unknown kind.
    ((4).to_bytes(4) + b"\x81abc", True),
    ((4).to_bytes(4) + b"\x89abc", True),
)


class FramesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.seen = []
        self.ended = []
        self.address = (gateways.HOST, gateways.free_ports(1)[0])
        self.server = self.create()
        await self.server.listen(self.address, 8)
        self.client = self.create()

    def create(self):
        peer_links = frames.create_peer_links(
            KINDS,
            lambda link, message: self.seen.append((link, message)),
            self.ended.append,
        )
        self.addCleanup(peer_links.close)
        return peer_links

    async def until(self, holds):
        async with asyncio.timeout(3):
            while not holds():  # noqa: ASYNC110
                await asyncio.sleep(0.005)

    async def test_both_ends_can_send(self):
        link = self.client.link(self.address)
        for number in range(100):
            link.send(SampleMessage(number, b"x" * number * 100))
        await self.until(lambda: len(self.seen) == 100)
        self.assertEqual(
            [message.number for _, message in self.seen], list(range(100))
        )
        back = self.seen[0][0]
        back.send(SampleMessage(7, b"back"))
        await self.until(lambda: len(self.seen) == 101)
        self.assertEqual(self.seen[-1], (link, SampleMessage(7, b"back")))

    async def test_long_messages_are_compressed(self):
        text = b"".join(b"/route-%d/ " % n for n in range(10_000))
        frame = self.client.encode(SampleMessage(1, text))
        self.assertLess(len(frame), len(text) / 3)
        self.client.link(self.address).send(SampleMessage(1, text))
        await self.until(lambda: self.seen)
        self.assertEqual(self.seen[0][1], SampleMessage(1, text))

    async def test_short_messages_are_not_compressed(self):
        self.assertIn(
            b"y" * 100, self.client.encode(SampleMessage(1, b"y" * 100))
        )

    async def test_frame_that_decompresses_beyond_the_limit_is_dropped(self):
        text = b"\0" * (2 * frames.MAX_FRAME_BYTES)
        link = self.client.link(self.address)
        link.send(SampleMessage(1, text))
        link.send(SampleMessage(2, b""))
        await self.until(lambda: self.seen)
        self.assertEqual(self.seen[0][1].number, 2)

    async def test_broadcast_encodes_once(self):
        links = [self.client.link(self.address) for _ in range(3)]
        with unittest.mock.patch.object(
            self.client, "encode", wraps=self.client.encode
        ) as encode:
            self.client.broadcast(links, SampleMessage(7, b""))
            self.client.broadcast([], SampleMessage(8, b""))
        await self.until(lambda: len(self.seen) == 3)
        self.assertEqual(encode.call_count, 1)

    async def test_one_connection_per_peer(self):
        for _ in range(5):
            self.client.link(self.address).send(SampleMessage(1, b""))
        await self.until(lambda: len(self.seen) == 5)
        self.assertEqual(len(self.server.accepted), 1)

    async def test_connection_refused(self):
        address = (gateways.HOST, gateways.free_ports(1)[0])
        link = self.client.link(address)
        link.send(SampleMessage(1, b""))
        await self.until(lambda: self.ended)
        self.assertEqual(self.ended, [link])
        self.assertEqual(self.client.links, {})

    async def test_ended_link_is_reported_and_reopened(self):
        link = self.client.link(self.address)
        link.send(SampleMessage(1, b""))
        await self.until(lambda: self.seen)
        self.seen[0][0].close()
        await self.until(lambda: len(self.ended) == 2)
        self.client.link(self.address).send(SampleMessage(2, b""))
        await self.until(lambda: len(self.seen) == 2)

    async def test_malformed_input(self):
        for raw, survives in MALFORMED_INPUTS:
            with self.subTest(raw):
                reader, writer = await asyncio.open_connection(*self.address)
                writer.write(raw)
                try:
                    async with asyncio.timeout(0.1):
                        ended = await reader.read() == b""
                except TimeoutError:
                    ended = False
                except ConnectionError:
                    ended = True
                self.assertEqual(ended, not survives)
                writer.transport.abort()
        self.assertEqual(self.seen, [])

    async def test_link_without_a_message_makes_room_for_another(self):
        link = self.client.link(self.address)
        link.send(SampleMessage(1, b""))
        await self.until(lambda: self.seen)
        for _ in range(10):
            _, writer = await asyncio.open_connection(*self.address)
            self.addCleanup(writer.transport.abort)
        await self.until(lambda: self.server.listener.open_connections <= 8)
        link.send(SampleMessage(2, b""))
        await self.until(lambda: len(self.seen) == 2)
        self.assertIs(self.seen[0][0], self.seen[1][0])

    async def test_peer_that_sends_many_unknown_messages_is_disconnected(self):
        _, writer = await asyncio.open_connection(*self.address)
        self.addCleanup(writer.transport.abort)
        frame = (3).to_bytes(4) + b"\x09ab"
        writer.write(frame * frames.MAX_FAULTY_FRAMES)
        await self.until(lambda: self.server.accepted)
        (link,) = self.server.accepted
        await self.until(lambda: link.faulty_frames == frames.MAX_FAULTY_FRAMES)
        self.assertFalse(link.closing)
        writer.write(frame)
        await self.until(lambda: not self.server.accepted)

    async def test_incomplete_frames_are_shed_for_lack_of_memory(self):
        self.server.memory.max_bytes = 2_000_000
        for _ in range(4):
            _, writer = await asyncio.open_connection(*self.address)
            self.addCleanup(writer.transport.abort)
            writer.write((4_000_000).to_bytes(4) + b"x" * 900_000)
        await self.until(lambda: self.server.memory.shed == 2)
        self.assertLessEqual(self.server.memory.held_bytes, 2_000_000)
        self.client.link(self.address).send(SampleMessage(1, b""))
        await self.until(lambda: self.seen)
