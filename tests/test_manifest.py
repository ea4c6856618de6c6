"""Tests of the manifest's schema and validation."""

import copy
import json
import typing
import unittest

import hypothesis
from hypothesis import strategies

from laurelrock import errors
from laurelrock import manifest
from tests import builders
from tests import processes

MISSING = object()
SOURCE = json.loads(manifest.encode(builders.small_manifest()))
APP = ("applications", "quotes")
SEARCHER = (*APP, "services", "service0", 0)
OTHER = (*APP, "services", "service1", 0)
SNAPSHOT = (*APP, "snapshots", 0)
POLICY = (*APP, "policy")
CALLER = ("callers", "caller")


def with_value(path: tuple, value: typing.Any) -> typing.Any:
    """Returns the manifest as a JSON value with one value replaced.

    Args:
        path: Keys and indexes that lead to the value.
        value: New value; `MISSING` removes the key.
    """
    document = copy.deepcopy(SOURCE)
    parent = document
    for key in path[:-1]:
        parent = parent[key]
    if value is MISSING:
        del parent[path[-1]]
    else:
        parent[path[-1]] = value
    return document


def format_path(path: tuple) -> str:
    """Returns a path in the format of the error messages."""
    steps = [f"[{p}]" if isinstance(p, int) else f".{p}" for p in path]
    return "$" + "".join(steps)


#: Path of the replaced value, its new value, and a text that the error message
#: must contain besides the path.
BAD = [
    (("name",), MISSING, "required"),
    (("name",), 3, "3"),
    (("name",), "", '""'),
    (("name",), "a b", '"a b"'),
    (("name",), None, "null"),
    (("extra",), 1, "unknown key"),
    (("regions",), [], "[]"),
    (("regions", "r"), "a", '"a"'),
    (("regions", "r"), ["a", "a", "b", "c"], "'a' is a duplicate"),
    (APP, [], "[]"),
    ((*APP, "extra"), 1, "unknown key"),
    ((*APP, "snapshots"), [], "[]"),
    ((*APP, "save_service"), "none", "unknown service 'none'"),
    ((*SEARCHER, "address"), "host:1", '"host:1"'),
    ((*SEARCHER, "address"), "127.0.0.999:1", "'127.0.0.999:1'"),
    ((*SEARCHER, "address"), "127.0.0.1:0", "'127.0.0.1:0'"),
    ((*SEARCHER, "failure_domain"), "z", "unknown failure domain 'z'"),
    ((*OTHER, "id"), "service0-r0", "is a duplicate"),
    ((*SEARCHER, "slots"), 0, "0"),
    ((*SEARCHER, "slots"), 1.5, "1.5"),
    ((*SEARCHER, "slots"), "2", '"2"'),
    ((*SEARCHER, "slots"), True, "true"),
    ((*SEARCHER, "connections"), 1, "1"),
    ((*SEARCHER, "state"), "asleep", '"asleep"'),
    ((*SNAPSHOT, "version"), "a/b", '"a/b"'),
    ((*SNAPSHOT, "shards", 0, "service"), "none", "unknown service 'none'"),
    ((*SNAPSHOT, "shards", 1, "id"), "s0", "'s0'"),
    ((*POLICY, "priority"), 8, "8"),
    ((*POLICY, "share"), 1.5, "1.5"),
    ((*POLICY, "deadline_ms"), 0, "0"),
    ((*POLICY, "deadline_ms"), 3_600_000, "3600000"),
    ((*POLICY, "partial"), "maybe", '"maybe"'),
    ((*POLICY, "min_coverage"), -0.1, "-0.1"),
    ((*CALLER, "token_sha256"), "secret", '"secret"'),
    ((*CALLER, "applications"), ["none"], "unknown application 'none'"),
    ((*CALLER, "saves"), "yes", '"yes"'),
]
NOT_JSON = [
    b"",
    b"{",
    b"\xff",
    b"[" * 100_000,
    b"NaN",
    b'{"name": 1e999}',
    b"[]",
    b'{"name": ' + b"[" * 400 + b"]" * 400 + b"}",
    b'{"' + b"x" * 1000 + b'": ' + b"[" * 400 + b"]" * 400 + b"}",
    b"null",
    b'"x"',
    b"{} {}",
]


class ManifestTest(unittest.TestCase):
    def test_errors_name_the_path_and_the_value(self):
        for path, value, expected in BAD:
            with self.subTest(path=path, value=value):
                raw = json.dumps(with_value(path, value))
                with self.assertRaises(errors.ManifestError) as caught:
                    manifest.decode(raw)
                self.assertIn(format_path(path), caught.exception.message)
                self.assertIn(expected, caught.exception.message)

    def test_documents_that_are_no_json_object(self):
        for raw in NOT_JSON:
            with self.subTest(raw[:20]):
                with self.assertRaises(errors.ManifestError) as caught:
                    manifest.decode(raw)
                self.assertIn("$", caught.exception.message)

    def test_size_limit(self):
        raw = json.dumps(SOURCE).encode()
        limit = manifest.MAX_MANIFEST_BYTES
        manifest.decode(raw.ljust(limit))
        with self.assertRaises(errors.ManifestError) as caught:
            manifest.decode(raw.ljust(limit + 1))
        self.assertIn(str(limit + 1), caught.exception.message)

    def test_duplicate_snapshot_version(self):
        twice = [SOURCE["applications"]["quotes"]["snapshots"][0]] * 2
        with self.assertRaises(errors.ManifestError) as caught:
            manifest.decode(json.dumps(with_value((*APP, "snapshots"), twice)))
        self.assertIn("snapshots[1].version", caught.exception.message)

    def test_canonical_form_is_stable(self):
        first = manifest.decode(json.dumps(SOURCE))
        raw = manifest.encode(first)
        again = manifest.decode(json.dumps(SOURCE, indent=2, sort_keys=True))
        self.assertEqual(manifest.encode(again), raw)
        self.assertEqual(manifest.encode(manifest.decode(raw)), raw)
        self.assertEqual(len(manifest.digest_of(raw)), 32)

    def test_examples_are_valid(self):
        for name in ("techos", "vanderplas"):
            path = processes.ROOT / "examples" / f"{name}.json"
            self.assertTrue(manifest.decode(path.read_bytes()).applications)

    @hypothesis.settings(max_examples=500, deadline=None, derandomize=True)
    @hypothesis.given(strategies.binary(max_size=100), strategies.data())
    def test_corrupted_bytes_raise_only_manifest_errors(self, junk, data):
        raw = json.dumps(SOURCE).encode()
        cut = data.draw(strategies.integers(0, len(raw)))
        try:
            manifest.decode(raw[:cut] + junk + raw[cut + len(junk) :])
        except errors.ManifestError as error:
            self.assertTrue(error.message)
