"""Tests entries of other writers among those of the searchers."""

import asyncio
import json
import unittest

from fakes import shards
from laurelrock import errors
from laurelrock.adapters import http_client
from laurelrock.platform import objects
from tests import gateway_builders as build
from tests import gateways

#: Texts of JSON that one writer accepts and another can't read.
ODD_VALUES = {
    "deep list": b"[" * 5000 + b"]" * 5000,
    "deep object": b'{"a":' * 5000 + b"1" + b"}" * 5000,
    "beyond a double": b"1e999",
    "beyond 64 bits": b"9" * 30,
    "thousands of digits": b"9" * 5000,
    "lone surrogate": b'"\\ud800"',
    "no UTF-8": b'"\xff\xfe"',
    "no number": b"NaN",
    "control character": b'"\x01"',
    "brackets and quotes": b'"]}\\"{["',
    "duplicate names": b'{"seq":1,"seq":2}',
}
#: Addresses that no searcher can have.
ODD_ADDRESSES = (
    "127.0.0.1:70000",
    "127.0.0.1:0",
    "127.0.0.1:-1",
    "127.0.0.1:" + "9" * 5000,
    "127.0.0.1:8\u0660\u00b2",
    "300.0.0.1:80",
    "no-such-host:80",
    f"{'a' * 70}.example:80",
    "\0:80",
    "127.0.0.1 :80",
)
#: Ids that can't be part of a header.
ODD_IDS = ("i-1\r\nX-Other: 1", "i-\u00e9", "i-\0")


def with_odd(name: str, text: bytes) -> tuple[dict, bytes]:
    """Returns an entry with a field to replace, and the text of the field."""
    mark = f"{name} goes here"
    return build.store_searcher(**{name: mark}), json.dumps(mark).encode()


class DecodingTest(unittest.TestCase):
    def test_odd_entry_affects_no_other(self):
        # One such entry made each read of the list fail.
        row = build.store_searcher()
        good = json.dumps({"meta": {"name": "good"}, "spec": row}).encode()
        for title, text in ODD_VALUES.items():
            odd = b'{"meta":{"name":"odd"},"spec":{"zone":%b}}' % text
            with self.subTest(title, kind="list"):
                body = b'{"items":[%b,%b,%b],"at":7}' % (good, odd, good)
                found = objects.decode_body(body)
                self.assertEqual(found["at"], 7)
                for place in (0, 2):
                    spec = found["items"][place]["spec"]
                    self.assertEqual(spec, row)
                self.assertEqual(found["items"][1]["meta"]["name"], "odd")
            with self.subTest(title, kind="event"):
                event = b'{"object":%b,"deleted":false}'
                rows = b",".join([event % odd, event % good])
                found = objects.decode_body(b'{"events":[%b],"at":7}' % rows)
                first, second = found["events"]
                self.assertEqual(first["object"]["meta"]["name"], "odd")
                self.assertEqual(second["object"]["spec"], row)

    def test_odd_entry_names_no_searcher(self):
        for title, text in ODD_VALUES.items():
            for name in build.store_searcher():
                entry, mark = with_odd(name, text)
                raw = json.dumps(entry).encode().replace(mark, text)
                with self.subTest(title, name=name):
                    body = b'{"items":[{"spec":%b}]}' % raw
                    spec = objects.decode_body(body)["items"][0]["spec"]
                    try:
                        found = objects.read_searcher("s", spec)
                    except errors.FieldError as error:
                        self.assertLess(len(error.message), 200)
                    else:
                        # Some odd values are text, as an unused zone.
                        self.assertIn(name, ("service", "zone", "version"))
                        self.assertNotIn("\ud800", found.failure_domain)

    def test_odd_addresses_and_ids(self):
        for text in ODD_ADDRESSES:
            with self.subTest(text[:40]), self.assertRaises(errors.FieldError):
                objects.read_address(text)
        for name in ODD_IDS:
            with self.subTest(name), self.assertRaises(errors.FieldError):
                objects.read_searcher(name, build.store_searcher())

    def test_unreadable_body_is_a_failure_of_the_store(self):
        for body in (
            b"",
            b"{half",
            b"[]]",
            b"nul",
            b'{"items":[}',
            b"[" * 9999,
        ):
            with self.subTest(body[:9]), self.assertRaises(errors.StoreError):
                objects.decode_body(body)


class GatewayTest(gateways.GatewayCase):
    async def start_with_searcher(self):
        self.searchers = [await shards.start("s-0", records=b"file")]
        document = build.store_configuration(build.store_single())
        await self.start(document, [("files", self.searchers[0])])

    def put_odd_entries(self):
        for number, (title, text) in enumerate(ODD_VALUES.items()):
            for name in ("zone", "seq"):
                entry, mark = with_odd(name, text)
                mark = mark.replace(b"goes", b"%d goes" % number)
                entry[name] = json.loads(mark)
                self.store.replaced_texts[mark] = text
                self.store.put("servers", f"odd {title} {name}", entry)
        for number, address in enumerate(ODD_ADDRESSES):
            entry = build.store_searcher(address=address)
            self.store.put("servers", f"odd-{number}", entry)
        for name in ODD_IDS:
            self.store.put("servers", name, build.store_searcher())

    async def check_followed(self):
        """Checks that a new searcher is used and a draining one is not."""
        number = len(self.searchers)
        searcher = await shards.start(f"s-{number}", records=b"file")
        self.addAsyncCleanup(searcher.stop)
        self.add_searcher("files", searcher)
        self.add_searcher("files", self.searchers[-1], state="draining", seq=9)
        self.searchers.append(searcher)
        known = self.gateway.known.by_id
        await self.until(
            lambda: (
                searcher.name in known
                and known[f"s-{number - 1}"].searcher.state == "draining"
            )
        )
        answer = await self.ask(gateways.encode_request("/single/a"))
        self.assertEqual(answer.status, 200)
        self.assertEqual(len(searcher.requests), 1)
        failed = [
            row["event"]
            for row in self.log_events
            if row["event"]
            in ("background-loop-failed", "platform-unreachable")
        ]
        self.assertEqual(failed, [])

    async def test_watch_goes_on_after_odd_entries(self):
        # The loop that reads the list ended again and again.
        await self.start_with_searcher()
        self.put_odd_entries()
        await self.check_followed()
        for name in list(self.store.objects_by_kind["servers"]):
            if name.startswith("odd") or name in ODD_IDS:
                self.store.delete("servers", name)
        await self.check_followed()

    async def test_start_beside_odd_entries(self):
        await self.start_with_searcher()
        self.put_odd_entries()
        self.store.drop_history()
        await self.check_followed()

    async def test_invalid_configuration_leaves_the_last_one_in_force(self):
        await self.start_with_searcher()
        spec = {"version": "next", "routes": 7}
        self.store.put("config", "main", spec)
        self.store.drop_history()
        await self.check_followed()
        document = build.store_configuration(build.store_single(), version=9)
        self.store.put("config", "main", document)
        await self.until(lambda: self.gateway.follower.version == 9)


class ConnectTest(unittest.IsolatedAsyncioTestCase):
    async def test_impossible_address_fails_the_call(self):
        # The task that connects ended, and the call waited without end.
        for address in (("\0", 80), ("127.0.0.1", 70_000), ("a" * 70, 80)):
            with self.subTest(address):
                client = http_client.open_client(address, 1)
                call = client.call(lambda: b"", lambda status, headers: True)
                with self.assertRaises(errors.ConnectError):
                    async with asyncio.timeout(2):
                        await call.future
                self.assertEqual(client.opening_count, 0)
