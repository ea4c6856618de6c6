"""Tests of keys: they identify a workspace and never leave the gateway."""

import random
import unittest

from laurelrock.core import routes
from laurelrock.core import tenancy
from laurelrock.gateways.workspaces import keys
from laurelrock.gateways.workspaces import request_counts
from laurelrock.platform import header_codec
from laurelrock.platform import objects
from tests import gateway_builders

KEY = "zqqa5yu2bsp73yswk9dw"


def table(**fields) -> routes.RouteTable:
    document = gateway_builders.store_configuration(
        gateway_builders.store_single(**fields),
        tenants=[
            {"name": "ralo620", "api_keys": [KEY, "other"], "priority": 1},
            {"name": "empty", "api_keys": []},
        ],
    )
    return routes.create_table(objects.read_configuration(document))


class KeyTest(unittest.TestCase):
    def test_each_key_of_a_workspace_finds_it(self) -> None:
        for key in (KEY, "other"):
            found = keys.find_workspace(table(), key.encode())
            self.assertEqual(found and found.name, "ralo620")

    def test_unknown_and_absent_keys_find_nothing(self) -> None:
        for key in (b"", None, b"OTHER", b"other ", b"\xff"):
            self.assertIsNone(keys.find_workspace(table(), key))

    def test_configuration_holds_no_key(self) -> None:
        # Configurations are sent between VMs and written to logs.
        self.assertNotIn(KEY, repr(table()))

    def test_lookup_takes_constant_time_with_many_keys(self) -> None:
        rows = tuple(
            tenancy.Workspace(
                f"w-{number}", (tenancy.digest_of(b"%d" % number),)
            )
            for number in range(10_000)
        )
        found = routes.create_table(
            routes.Configuration(1, (), {}, workspaces=rows)
        )
        row = keys.find_workspace(found, b"9999")
        self.assertEqual(row and row.name, "w-9999")
        self.assertEqual(len(found.by_key), 10_000)


class HeaderTest(unittest.TestCase):
    def test_searchers_get_the_workspace_and_neither_key_nor_claim(
        self,
    ) -> None:
        sent = [
            (b"api-key", KEY.encode()),
            (b"x-tenant-id", b"someone-else"),
            (b"x-tenant-id", b"another"),
            (b"accept", b"*/*"),
        ]
        self.assertEqual(
            header_codec.replace_key(sent, "ralo620"),
            [(b"accept", b"*/*"), (b"x-tenant-id", b"ralo620")],
        )
        self.assertEqual(
            header_codec.replace_key(sent, ""), [(b"accept", b"*/*")]
        )

    def test_several_different_keys_count_as_none(self) -> None:
        for values, expected in (
            ([b"a"], b"a"),
            ([b" a "], b"a"),
            ([b"a", b"a"], b"a"),
            ([b"a", b"b"], None),
            ([], None),
        ):
            headers = [(b"api-key", value) for value in values]
            found = header_codec.read_caller_headers(headers)
            self.assertEqual(found.key, expected)


class RequestCountsTest(unittest.TestCase):
    def test_largest_workspaces_have_labels_and_no_number_falls(self) -> None:
        counts = request_counts.create_request_counts()
        rows = [f"w-{n}" for n in range(40) for _ in range(n + 1)]
        random.Random(1).shuffle(rows)
        before: dict[str, float] = {}
        for number, name in enumerate(rows, 1):
            counts.record(name)
            counts.record_decision(name, "admitted")
            found = counts.export()
            # A label that ends must not take its numbers with it.
            self.assertEqual(sum(found.values()), number)
            self.assertEqual(counts.export("admitted"), found)
            self.assertLessEqual(len(found), 21)
            for label in before.keys() & found.keys():
                self.assertGreaterEqual(found[label], before[label])
            before = found
        largest = {f"w-{n}" for n in range(30, 40)}
        self.assertLessEqual(largest, before.keys())
        self.assertIn("other", before)
