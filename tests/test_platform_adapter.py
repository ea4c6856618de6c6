"""Tests of the platform adapter: settings, objects, headers and store."""

import json
import pathlib
import tempfile
import unittest

from fakes import objects as fake
from laurelrock import errors
from laurelrock.core import routes
from laurelrock.platform import header_codec
from laurelrock.platform import objects
from laurelrock.platform import settings
from laurelrock.platform import store
from tests import gateway_builders as build
from tests import gateways

SETTINGS = {
    "node_name": "vm-1",
    "ip": "10.1.0.9",
    "zone": "a",
    "region": "r",
    "listen_addrs": {
        "front": "10.1.0.9:8104",
        "readiness_addr": "10.1.0.9:8108",
        "control": "10.1.0.9:8106",
    },
    "seed_nodes": ["10.2.0.21:8106"],
    "port_range": [7380, 7395],
    "limits": {"cpu_share": 0.537, "cpu_cores": 2, "link_mbps": 25.2},
    "policy_limits": {
        "retry_budget_ratio": 0.2,
        "retry_slack": 58,
        "retry_window_s": 10,
        "grace_period_s": 6,
    },
    "platform": {"address": "10.200.1.7:8102"},
    "new_field": {"ignored": True},
}

# Searcher entries that can't be decoded.
INVALID_ENTRIES = (
    None,
    [],
    "text",
    {},
    build.store_searcher(service=""),
    build.store_searcher(service=7),
    build.store_searcher(address="10.0.0.1"),
    build.store_searcher(address="10.0.0.1:0"),
    build.store_searcher(address="10.0.0.1:99999"),
    build.store_searcher(address=":80"),
    build.store_searcher(zone=None),
    build.store_searcher(capacity="2"),
    build.store_searcher(capacity=0),
    build.store_searcher(capacity=True),
    build.store_searcher(capacity=1.5),
    build.store_searcher(state="sleeping"),
    build.store_searcher(state=["ready"]),
    build.store_searcher(warmup_left_ms="soon"),
    build.store_searcher(born="yesterday"),
    build.store_searcher(born=1.5),
)

# Configurations that can't be decoded.
INVALID_CONFIGURATIONS = (
    None,
    {"version": "2"},
    {"version": 2, "routes": {}},
    {"version": 2, "routes": [{}]},
    {"version": 2, "routes": [{**build.store_single(), "timeout_ms": "1"}]},
    {"version": 2, "routes": [{**build.store_single(), "service": 4}]},
    {"version": 2, "routes": [], "services": [{}]},
    {"version": 2, "services": [{"name": "files", "health_path": 4}]},
    # Integers that no floating-point number or message field can hold.
    {"version": 10**400},
    {"version": 2, "routes": [build.store_single(timeout_ms=10**400)]},
)


class SettingsTest(unittest.TestCase):
    def test_fields(self):
        found = settings.parse(json.dumps(SETTINGS).encode())
        self.assertEqual(found.vm, "vm-1")
        self.assertEqual(found.failure_domain, "a")
        self.assertEqual(found.callers, ("10.1.0.9", 8104))
        self.assertEqual(found.peer_links_port, 7380)
        self.assertAlmostEqual(found.cores, 1.074)
        self.assertAlmostEqual(found.link_bytes_per_s, 3_150_000)
        self.assertEqual(found.seeds, (("10.2.0.21", 8106),))
        self.assertEqual(found.extra_call_policy, (0.2, 58, 10))
        self.assertEqual(found.crossing_price_per_mb, 0.0)
        limits = {**SETTINGS["policy_limits"], "crossing_price_per_mb": 0.4}
        text = json.dumps({**SETTINGS, "policy_limits": limits}).encode()
        self.assertEqual(settings.parse(text).crossing_price_per_mb, 0.4)

    def test_bad_settings_name_the_field(self):
        for name, value in (
            ("node_name", None),
            ("zone", 4),
            ("port_range", []),
            ("listen_addrs", {}),
            ("platform", {"address": "nowhere"}),
            ("policy_limits", {"retry_slack": "many"}),
            ("policy_limits", {"crossing_price_per_mb": "free"}),
        ):
            with self.subTest(name):
                text = json.dumps({**SETTINGS, name: value}).encode()
                with self.assertRaises(errors.SettingsError):
                    settings.parse(text)

    def test_not_json(self):
        with self.assertRaises(errors.SettingsError):
            settings.parse(b"[vm]")

    def test_changed_file_is_read_only_once(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "settings")
            path.write_text(json.dumps(SETTINGS))
            read_changed = settings.watch(path)
            self.assertIsNone(read_changed())
            path.write_text(json.dumps({**SETTINGS, "node_name": "vm-2"}))
            self.assertEqual(read_changed().vm, "vm-2")
            self.assertIsNone(read_changed())
            path.write_text("half of a f")
            self.assertIsNone(read_changed())


class ObjectsTest(unittest.TestCase):
    def test_searcher(self):
        found = objects.read_searcher("s-1", build.store_searcher())
        self.assertEqual(found.state, "live")
        self.assertEqual(found.address, ("127.0.0.1", 9))
        self.assertEqual(found.started_ms, 1_790_000_000_000)

    def test_bad_searchers(self):
        for row in INVALID_ENTRIES:
            with self.subTest(row), self.assertRaises(errors.FieldError):
                objects.read_searcher("s-1", row)

    def test_bad_configurations(self):
        for row in INVALID_CONFIGURATIONS:
            with self.subTest(row), self.assertRaises(errors.FieldError):
                objects.read_configuration(row)

    def test_errors_contain_no_key(self):
        # An operator may forget the brackets; the error is logged.
        row = {"name": "w", "api_keys": "zqqa5yu2bsp7"}
        with self.assertRaises(errors.FieldError) as caught:
            objects.read_configuration({"version": 2, "tenants": [row]})
        self.assertNotIn("zqqa5yu2bsp7", caught.exception.message)

    def test_configuration(self):
        backends = [
            {"service": "x", "weight": 3},
            {"service": "y", "weight": 1},
        ]
        split = build.store_single(backends=backends, type="non_idempotent")
        del split["service"]
        query = build.store_query(["a", "b"])
        found = objects.read_configuration(
            build.store_configuration(query, build.store_single(), split)
        )
        first, second, third = found.routes
        self.assertEqual(first.shards, ("a", "b"))
        self.assertTrue(first.idempotent and second.idempotent)
        self.assertFalse(third.idempotent)
        self.assertEqual(
            second.weighted_services, (routes.WeightedService("files"),)
        )
        self.assertEqual(
            third.weighted_services,
            (routes.WeightedService("x", 3), routes.WeightedService("y", 1)),
        )
        self.assertEqual(found.limits, routes.Limits(2048, 4096, 0.4, 0.8))

    def test_invalid_utf_8_affects_only_its_string(self):
        body = b'{"items": [{"spec": "\xff\xfe"}, {"spec": 1}]}'
        found = objects.decode_body(body)
        self.assertEqual(found["items"][1], {"spec": 1})
        with self.assertRaises(errors.StoreError):
            objects.decode_body(b"{half")


class HeaderCodecTest(unittest.TestCase):
    def test_caller_headers(self):
        for value, time_left_s in (
            (b"300", 0.3),
            (b" 300 ", 0.3),
            (b"soon", None),
            (b"-1", None),
            (b"1e3", None),
            (b"99999999999", header_codec.MAX_TIME_LEFT_S),
        ):
            with self.subTest(value):
                headers = [(b"x-request-id", b"i"), (b"x-deadline-ms", value)]
                caller_headers = header_codec.read_caller_headers(headers)
                self.assertEqual(caller_headers, (b"i", time_left_s, None))
        self.assertEqual(
            header_codec.read_caller_headers([]), (b"", None, None)
        )

    def test_headers_forwarded_to_a_searcher(self):
        headers = [
            (b"host", b"h"),
            (b"connection", b"keep-alive, x-hop"),
            (b"x-hop", b"1"),
            (b"x-request-id", b"i"),
            (b"x-deadline-ms", b"300"),
            (b"x-target-instance", b"forged"),
            (b"content-length", b"3"),
            (b"x-other", b"o"),
        ]
        head = header_codec.encode_common_headers(
            headers, header_codec.read_caller_headers(headers)
        )
        self.assertEqual(head, b"host: h\r\nx-request-id: i\r\nx-other: o\r\n")
        self.assertEqual(
            header_codec.encode_call_headers("s-1", 0.25),
            b"x-deadline-ms: 250\r\nx-target-instance: s-1\r\n",
        )

    def test_searcher_headers(self):
        found = header_codec.read_searcher_headers(
            503, [(b"x-not-executed", b"1"), (b"x-server-load", b"3,0,8")]
        )
        self.assertTrue(found.not_run)
        self.assertFalse(found.misplaced)
        self.assertEqual(found.load, (3, 0))
        self.assertTrue(header_codec.read_searcher_headers(421, []).misplaced)
        self.assertTrue(header_codec.read_searcher_headers(421, []).not_run)
        self.assertFalse(header_codec.read_searcher_headers(503, []).not_run)
        for text in (b"", b"3", b"a,b,c", b"-1,0,8"):
            with self.subTest(text):
                found = header_codec.read_searcher_headers(
                    200, [(b"x-server-load", text)]
                )
                self.assertIsNone(found.load)


class StoreTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fake = fake.ObjectStore()
        port = gateways.free_ports(1)[0]
        runner = await fake.start(self.fake, gateways.HOST, port)
        self.addAsyncCleanup(runner.cleanup)
        self.store = store.open_store((gateways.HOST, port))
        self.addCleanup(self.store.close)

    async def test_list_in_pages(self):
        for number in range(120):
            row = build.store_searcher()
            self.fake.put("servers", f"s-{number:03}", row)
        found = await self.store.read_searchers()
        self.assertEqual(len(found.rows), 120)
        self.assertEqual(found.revision, self.fake.revision)
        self.assertEqual(len(self.fake.calls), 3)

    async def test_watch_returns_changes(self):
        self.fake.put("servers", "s-1", build.store_searcher())
        revision = self.fake.revision
        self.fake.delete("servers", "s-1")
        found = await self.store.watch_searchers(revision, 1.0)
        self.assertEqual([row.searcher for row in found.rows], [None])
        empty = await self.store.watch_searchers(found.revision, 0.05)
        self.assertEqual(empty.rows, [])

    async def test_no_configuration_yet(self):
        found = await self.store.read_configuration()
        self.assertEqual((found.configuration, found.revision), (None, 0))

    async def test_failures_have_types(self):
        self.fake.put("config", "main", build.store_configuration())
        for faults, failure in (
            (fake.Faults(status=503), errors.StoreError),
            (fake.Faults(status=429), errors.StoreError),
            (fake.Faults(status=410), errors.StoreHistoryError),
            (fake.Faults(replacement_body=b"half {"), errors.StoreError),
            (fake.Faults(replacement_body=b"[]"), errors.StoreError),
            (fake.Faults(replacement_body=b'{"meta": 4}'), errors.StoreError),
        ):
            with self.subTest(faults):
                self.fake.faults = faults
                with self.assertRaises(failure):
                    await self.store.read_configuration()

    async def test_call_without_a_response_times_out(self):
        self.fake.faults = fake.Faults(hang=True)
        with self.assertRaises(errors.StoreError):
            await self.store.read_configuration()
        self.fake.faults = fake.Faults()
        await self.store.read_configuration()

    async def test_vms(self):
        row = {
            "vm": "vm-1",
            "failure_domain": "a",
            "address": "127.0.0.1:1",
            "cores": 1.5,
        }
        await self.store.register_vm(row)
        await self.store.register_vm(row)
        self.fake.put("laurelrock-vms", "bad", {"vm": "bad"})
        self.assertEqual(await self.store.read_vms(), [row])
