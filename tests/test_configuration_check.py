"""Tests of the check of a configuration before it is sent."""

import json
import pathlib
import re
import unittest

import hypothesis
from hypothesis import strategies

from laurelrock.core import configuration_changes
from laurelrock.core import configuration_check
from laurelrock.core import tenancy
from tests import check_builders as build
from tests import gateway_builders

FILE, FILES = {"service": "file"}, {"service": "files"}
EXTRA = {"name": "extra", "health_path": "/"}
TWIN = gateway_builders.store_single(name="r-twin")
LONGER = {**TWIN, "path_prefix": "/single/x/"}
ROUTES = build.configuration()["routes"]
KEY, OTHER_KEY, NONE = build.KEY, build.OTHER_KEY, build.REMOVED
REGIONS = "allowed_regions"
LARGE, SMALL = "$.tenants[0]", "$.tenants[1]"
QUERY, SINGLE, THIRD = "$.routes[0]", "$.routes[1]", "$.routes[2]"
RATE = f"{LARGE}.rate_per_s"

# Code of the only finding, its path, the wrong value there, the nearest right
# one, and the path of the value if it is another one.
FINDINGS: tuple[tuple, ...] = (
    ("error invalid-field", "$.version", "2", 2),
    ("error invalid-field", "$.routes", {}, ROUTES),
    ("error invalid-field", f"{SINGLE}.timeout_ms", "9", 900),
    ("error invalid-field", f"{SINGLE}.timeout_ms", 10**400, 900),
    ("error invalid-field", f"{SINGLE}.backends", [{}], [FILES]),
    ("error invalid-field", "$.services[0].health_path", 4, "/4"),
    ("error invalid-field", "$.services[0].max_connections", 0, 1),
    ("error invalid-field", f"{SMALL}.rate_per_s", -1, 0),
    ("error invalid-field", f"{SMALL}.api_keys", OTHER_KEY, [OTHER_KEY]),
    ("error invalid-field", "$.limits.idle_timeout_ms", None, 1),
    ("error duplicate-name", SMALL, "large", "larger", f"{SMALL}.name"),
    ("error duplicate-name", "$.services[3]", {"name": "files"}, NONE),
    ("error duplicate-name", SINGLE, "r-query", "r", f"{SINGLE}.name"),
    ("error shared-key", f"{SMALL}.api_keys", [KEY], [KEY + "x"]),
    ("error burst-below-one", f"{LARGE}.burst", 0.9, 1),
    ("error burst-below-one", f"{LARGE}.burst", NONE, 1),
    ("error empty-region", f"{SMALL}.{REGIONS}", ["north", "east"], ["north"]),
    (
        *("error disjoint-regions", f"{QUERY}.{REGIONS}"),
        *(["south"], ["south", "north"], f"{LARGE}.{REGIONS}"),
    ),
    ("error unmatchable-route", f"{SINGLE}.path_prefix", "x/", "/x/"),
    (
        *("error unmatchable-route", f"{SINGLE}.path_prefix"),
        *("other.example:80", "other.example", f"{SINGLE}.host"),
    ),
    ("error shadowed-route", f"{THIRD}.path_prefix", TWIN, LONGER, THIRD),
    (
        *("error unknown-service", SINGLE),
        *([FILES, FILE], [FILES, FILES], f"{SINGLE}.backends"),
    ),
    ("warning unused-service", "$.services[3]", EXTRA, NONE),
    ("warning no-keys", f"{SMALL}.api_keys", [], ["k"]),
    ("warning key-in-other-field", f"{SMALL}.name", f"w-{KEY}", KEY[1:]),
    ("error timeout-below-objective", f"{SINGLE}.timeout_ms", 499, 500),
    ("error share-above-one", f"{QUERY}.min_success_share", 1.01, 1),
    ("warning share-without-shards", f"{SINGLE}.min_success_share", 0.5, 0),
    ("warning attempts-above-searchers", f"{QUERY}.max_attempts", 4, 3),
    ("warning caps-above-capacity", "$.tenants", 50.1, 50, RATE),
)

QUOTES, HOLDER = "$.applications.quotes", "$.callers.caller"
LIMITS = {"deadline_ms": 900, "max_deadline_ms": 800}
MANIFEST = build.manifest_document()
TOKEN = MANIFEST["callers"]["caller"]["token_sha256"]
CALLER = {"token_sha256": TOKEN, "applications": []}
UNSHARED, OTHER = {**CALLER, "token_sha256": "0" * 64}, "$.callers.c"
SERVICES = MANIFEST["applications"]["quotes"]["services"]
SEARCHER = SERVICES["service1"][0]
# The same for manifests.
MANIFEST_FINDINGS: tuple[tuple, ...] = (
    ("error manifest-invalid", "$.name", "a b", "a.b"),
    ("error manifest-invalid", f"{HOLDER}.token_sha256", "f" * 63, "f" * 64),
    ("error shared-key", f"{OTHER}.token_sha256", CALLER, UNSHARED, OTHER),
    ("error empty-region", "$.regions.s", [], ["d"]),
    (
        *("error timeout-below-objective", f"{QUOTES}.policy.max_deadline_ms"),
        *(LIMITS, {**LIMITS, "deadline_ms": 800}, f"{QUOTES}.policy"),
    ),
    ("warning unused-service", f"{QUOTES}.services.s", [], NONE),
    (
        *("warning no-searchers", QUOTES),
        *([{**SEARCHER, "state": "leaving"}], [SEARCHER]),
        f"{QUOTES}.services.service1",
    ),
)

# Code of the only finding, path of the value that is replaced, the value in
# force, the new one, and a part of the message.
CHANGES: tuple[tuple, ...] = (
    ("error version-not-higher", "$.version", 3, 3, "version 3 isn't"),
    ("change route-added", "$.routes[2]", NONE, TWIN, "'r-twin' is new"),
    ("change route-removed", "$.routes[2]", TWIN, NONE, "'r-twin' is"),
    ("change route-changed", f"{QUERY}.timeout_ms", 900, 73, "900 to 73"),
    ("change route-changed", f"{QUERY}.fanout", ["a"], ["b", "a"], "1 added"),
    ("change route-changed", f"{QUERY}.fanout", ["a", "b"], ["b", "a"], "ord"),
    ("change route-changed", f"{SINGLE}.public", False, True, "no to yes"),
    ("change service-added", "$.services[3]", NONE, EXTRA, "'extra'"),
    ("change service-removed", "$.services[3]", EXTRA, NONE, "'extra'"),
    ("change service-changed", "$.services[0].warmup_s", 0, 2.5, "0 to 2.5"),
    ("change workspace-added", "$.tenants[2]", NONE, {"name": "w"}, "'w'"),
    ("change workspace-removed", "$.tenants[2]", {"name": "w"}, NONE, "'w'"),
    ("change workspace-changed", f"{SMALL}.priority", None, 1, "none to 1"),
    ("change keys-added", f"{SMALL}.api_keys", ["j"], ["j", "k"], "1 key a"),
    ("change keys-removed", f"{SMALL}.api_keys", ["j", "k"], [], "2 keys r"),
    ("change cap-raised", f"{LARGE}.rate_per_s", 5, 10.5, "5 to 10.5"),
    ("change cap-raised", f"{LARGE}.rate_per_s", 5, 0, "5 to no limit"),
    ("change cap-lowered", f"{LARGE}.rate_per_s", 0, 10**6, "limit to 1000000"),
    ("change cap-lowered", f"{LARGE}.burst", 7, 5, "burst from 7 to 5"),
    ("change limits-changed", "$.limits.idle_timeout_ms", 1, 2, "from 1 to 2"),
)


def summarize(findings) -> list[tuple[str, str]]:
    return [(f"{row.severity} {row.code}", row.path) for row in findings]


def check(document, **facts) -> list[tuple[str, str]]:
    found = build.subject(document, **facts)
    return summarize(configuration_check.check(found))


class FindingsTest(unittest.TestCase):
    def check_row(self, make, row):
        """Guards against missed findings and against false ones."""
        kind, path, wrong, right, at = (*row, row[1])[:5]
        for value, expected in ((wrong, [(kind, path)]), (right, [])):
            with self.subTest(path=path, value=value):
                found = check(make((at, value)), **build.FACTS)
                self.assertEqual(found, expected)

    def test_platform_configuration(self):
        for row in FINDINGS:
            self.check_row(build.configuration, row)

    def test_manifest(self):
        for row in MANIFEST_FINDINGS:
            self.check_row(build.manifest_document, row)

    def test_minimum_share_counts_shards_with_searchers(self):
        kinds = ["error share-above-shards", "warning no-searchers"]
        for count, expected in ((0, kinds), (2, [])):
            counts = {"s0": 2, "s1": count, "files": 2}
            found = check(build.configuration(), searchers=counts)
            self.assertEqual([kind for kind, _ in found], expected)

    def test_unreadable_entry_has_no_consequential_findings(self):
        # A service would else seem unknown, or a route removed.
        service = build.configuration(("$.services[0]", {"name": 1}))
        route = build.configuration((f"{SINGLE}.service", 1))
        old = build.subject(build.configuration(("$.version", 1)))
        for document in (service, route):
            kinds = [kind for kind, _ in check(document)]
            self.assertEqual(kinds, ["error invalid-field"])
            new = build.subject(document)
            self.assertEqual(configuration_changes.compare(new, old), [])

    def test_object_of_the_store_is_unwrapped(self):
        source = build.configuration((f"{SMALL}.burst", "x"))
        expected = [("error invalid-field", "$.spec.tenants[1].burst")]
        self.assertEqual(check({"meta": {}, "spec": source}), expected)


class CapacityTest(unittest.TestCase):
    def test_upper_bound(self):
        query = gateway_builders.query_route
        single = gateway_builders.single_route
        for rows, capacities, expected in (
            ([], {}, None),
            ([query(["a", "b"])], {"a": 5, "b": 3}, 3),
            ([query(["a", "b"])], {"a": 5}, 5),
            # Queries of the same shards share their capacity.
            ([query(["a", "b"]), query(["b", "a"])], {"a": 5, "b": 3}, 3),
            ([query(["a"]), single("b"), single("b")], {"a": 5, "b": 3}, 8),
            ([query(["a"]), single("b")], {"a": 5}, None),
        ):
            with self.subTest(rows=rows, capacities=capacities):
                found = configuration_check.max_requests_per_s(rows, capacities)
                self.assertEqual(found, expected)


class ChangesTest(unittest.TestCase):
    def test_differences(self):
        for kind, at, before, after, message in CHANGES:
            with self.subTest(kind, at=at, after=after):
                rows = []
                for version, value in ((1, before), (2, after)):
                    changes = (("$.version", version), (at, value))
                    rows.append(build.subject(build.configuration(*changes)))
                found = configuration_changes.compare(rows[1], rows[0])
                self.assertEqual([row[0] for row in summarize(found)], [kind])
                self.assertIn(message, found[0].message)

    def test_manifests_have_no_version(self):
        changed = build.manifest_document((f"{QUOTES}.policy", LIMITS))
        old, new = build.subject(MANIFEST), build.subject(changed)
        self.assertEqual(configuration_changes.compare(old, old), [])
        found = configuration_changes.compare(new, old)
        self.assertEqual(summarize(found), [("change route-changed", QUOTES)])


class CommandTest(unittest.TestCase):
    def test_exit_code_and_output(self):
        good = build.configuration()
        unused = build.configuration(("$.services[3]", EXTRA))
        newer = build.configuration(("$.version", 3))
        public = build.with_values(newer, (f"{SINGLE}.public", True))
        high_cap = build.configuration((f"{LARGE}.rate_per_s", 9e9))
        settings = {"zones": {"a": "south"}}
        servers = [{"spec": gateway_builders.store_searcher()}]
        for documents, files, code, text in (
            ((good,), {}, 0, "no findings\n"),
            ((newer, good), {}, 0, "no findings\n"),
            # Changes alone don't count.
            ((public, good), {}, 0, "yes [route-changed]\n1 change\n"),
            ((unused,), {}, 1, "warning: $.services[3]: no route uses"),
            ((good, good), {}, 2, "error: $.version: version 2 isn't higher"),
            # Capacities that aren't known can't be exceeded.
            ((high_cap,), {}, 0, "no findings\n"),
            ((MANIFEST,), {}, 0, "no findings\n"),
            ((MANIFEST, good), {}, 2, "of another format"),
            ((good,), {"settings": settings}, 2, "region 'north' contains no"),
            ((good,), {"settings": {}}, 2, "zones: not an object"),
            ((good,), {"searchers": servers}, 2, "'s0' has no searcher"),
            ((good,), {"searchers": {"items": 1}}, 2, "items: int is not a"),
            ((good,), {"capacities": {"s0": 1, "files": 2}}, 1, "at most 3 "),
            ((good,), {"capacities": {"s0": "many"}}, 2, "file-invalid"),
            ((b'{\n"version": 1,\n}',), {}, 2, "error: line 3: "),
            ((b"{\n",), {}, 2, "error: line 2: "),
            ((b'\n"\xff"',), {}, 2, "error: line 2: "),
            ((pathlib.Path("/nonexistent"),), {}, 2, "No such file"),
            ((good, pathlib.Path("/")), {}, 2, "file-unreadable"),
            ((b"null",), {}, 2, "NoneType is not an object"),
            ((b"[" * 100_000,), {}, 2, "nested too deeply"),
            ((b"[" * 60 + b"]" * 60,), {}, 2, "nested too deeply"),
        ):  # fmt: skip
            with self.subTest(text):
                found = build.run(*documents, **files)
                self.assertEqual(found[0], code, found)
                self.assertIn(text, found[1])

    def test_json(self):
        wrong = build.configuration(("$.version", "2"))
        row = {"severity": "error", "code": "invalid-field"}
        row |= {"path": "$.version", "message": "'2' is not an integer"}
        for document, expected in ((wrong, [row]), (build.configuration(), [])):
            _, out = build.run(document, json=True)
            self.assertEqual(json.loads(out), expected)
        _, out = build.run(b"\n[", json=True)
        self.assertEqual(json.loads(out)[0]["line"], 2)

    def test_key_that_only_the_version_in_force_holds_is_hidden(self):
        named = {"name": f"{KEY}!", "api_keys": ["k"]}
        new = build.configuration((LARGE, named), ("$.version", 3))
        _, out = build.run(new, build.configuration())
        self.assertIn("workspace '[key 3]' is new", out)
        self.assertNotIn(KEY, out)


#: A key in both formats.
SECRET = "0123456789abcdef" * 4
SOURCES = (
    lambda: build.configuration((f"{SMALL}.api_keys", [SECRET])),
    lambda: build.manifest_document(
        ("$.callers.c", {**CALLER, "token_sha256": SECRET})
    ),
)
OPTIONS = strategies.sampled_from([{}, {"json": True}])
NAMES = strategies.sampled_from([SECRET, "api_keys", "name", "spec"])
LEAVES = (
    strategies.sampled_from(
        [None, True, 10**400, SECRET, f"x{SECRET}", "files"]
    )
    | strategies.text(max_size=5)
    | strategies.integers()
    | strategies.floats(allow_nan=False, allow_infinity=False)
)
JSON = strategies.recursive(
    LEAVES,
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(NAMES | strategies.text(max_size=3), inner)
    ),
    max_leaves=6,
)
#: Paths that `build.with_values` can follow.
PATH = re.compile(r"\$(\.[a-zA-Z0-9_]+|\[\d+\])+")


def paths_of(document, path="$") -> list[str]:
    rows = []
    if isinstance(document, dict):
        rows = [(f"{path}.{name}", item) for name, item in document.items()]
    elif isinstance(document, list):
        rows = [(f"{path}[{n}]", item) for n, item in enumerate(document)]
    return [path, *(found for at, item in rows for found in paths_of(item, at))]


class FuzzTest(unittest.TestCase):
    SETTINGS = hypothesis.settings(
        max_examples=300, deadline=None, derandomize=True, database=None
    )

    def assert_keys_kept(self, *documents, **options):
        code, out = build.run(*documents, **options)
        self.assertIn(code, (0, 1, 2))
        digest = tenancy.digest_of(SECRET.encode()).hex()
        for secret in (KEY, OTHER_KEY, TOKEN, SECRET, digest):
            self.assertNotIn(secret, out)

    @SETTINGS
    @hypothesis.given(strategies.data())
    def test_any_value_anywhere(self, data):
        source = data.draw(strategies.sampled_from(SOURCES))
        changed = source()
        for _ in range(2):
            paths = filter(PATH.fullmatch, paths_of(changed))
            path = data.draw(strategies.sampled_from([*paths]))
            changed = build.with_values(changed, (path, data.draw(JSON)))
        # The other file is intact, so that all keys are known.
        rows = data.draw(strategies.permutations([source(), changed]))
        self.assert_keys_kept(*rows, **data.draw(OPTIONS))

    @SETTINGS
    @hypothesis.given(strategies.binary(max_size=20), strategies.data())
    def test_any_bytes(self, junk, data):
        raw = json.dumps(build.configuration(), indent=1).encode()
        cut = data.draw(strategies.integers(0, len(raw)))
        self.assert_keys_kept(raw[:cut] + junk + raw[cut + len(junk) :])
