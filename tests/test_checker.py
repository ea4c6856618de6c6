"""Tests that the checker finds a violation of each promise."""

import types
import unittest

from bench import checker
from fakes import checks
from fakes import corpus
from fakes import load
from laurelrock import calls

QUERY = {"text": "panel"}
SHARDS = {("quotes", "v1"): ["s0", "s1"], ("quotes", "v2"): ["s0", "s1"]}
URL = "http://127.0.0.1:8080"
OTHER_QUERY = {"text": "roof"}


def answer(version="v1", missing=(), query=None, generation=1, request_id="r1"):
    shards = SHARDS["quotes", version]
    covered = set(shards) - set(missing)
    return {
        "request_id": request_id,
        "snapshot": version,
        "generation": generation,
        "partial": bool(missing),
        "coverage": {
            "fraction": len(covered) / len(shards),
            "shards": len(shards),
            "missing": [
                {"shard": shard, "reason": "no-relay"} for shard in missing
            ],
        },
        "hits": corpus.expected_hits(
            query or QUERY, version, shards, covered, 10
        ),
    }


def search(body, status=200, began_s=0.0, ended_s=0.1, error=""):
    return load.Record(
        "search",
        "quotes",
        QUERY,
        "",
        URL,
        began_s,
        ended_s,
        status,
        body,
        error,
    )


def history(records=(), **fields):
    defaults = {
        "records": list(records),
        "shards": SHARDS,
        "limit": 10,
        "outcomes": [],
        "saved": [],
        "ran_ids": set(),
        "late": 0,
        "leaving": 0,
        "shutdowns": [],
        "publications": [],
    }
    return checker.History(**(defaults | fields))


def saved(key, *said, result=None):
    right = checks.expected_save_result({"quote": 1})
    answers = [
        checks.SaveResponse(ran, (result or right) if ran == "yes" else None)
        for ran in said
    ]
    return checks.SaveAttempts(key, {"quote": 1}, answers)


def mixed_versions():
    body = answer("v1")
    return body | {"hits": body["hits"][:5] + answer("v2")["hits"][:5]}


def refusal(ran="no"):
    return search({"request_id": "r1", "ran": ran, "code": "overloaded"}, 503)


def call_id():
    """Returns the id of a relay's call for the request r1."""
    tracker = types.SimpleNamespace(
        ids=iter([7]),
        loop=types.SimpleNamespace(time=lambda: 0.0),
        spawn=lambda work: work.close(),
    )
    asked = types.SimpleNamespace(request_id="r1")
    subquery = types.SimpleNamespace(search=asked, calls=[])
    upstream = types.SimpleNamespace(in_flight=0, calls=0)
    channel = types.SimpleNamespace(upstream=upstream)
    return calls.start(tracker, channel, subquery).request_id


INTERRUPTED = search({}, status=0, began_s=1.0, ended_s=3.0, error="reset")
SHUTDOWN = checker.Shutdown(URL, 2.0)
RELAY_SHUTDOWN = checker.Shutdown("", 2.0)
LOST = search(answer(missing=["s1"]), began_s=1.0, ended_s=3.0)
ACCEPTED = checker.Publication(2, 0.0)

#: Promise, violation, and a history with that violation.
VIOLATIONS = [
    ("one-snapshot", "two versions", history([search(mixed_versions())])),
    (
        "one-snapshot",
        "unknown version",
        history([search(answer() | {"snapshot": "v9"})]),
    ),
    (
        "true-coverage",
        "coverage of a missing shard claimed",
        history([search(answer(missing=["s1"]) | {"partial": False})]),
    ),
    (
        "true-coverage",
        "hits of a shard missing",
        history([search(answer() | {"hits": answer(missing=["s1"])["hits"]})]),
    ),
    (
        "own-answer",
        "hits of another query",
        history([search(answer(query=OTHER_QUERY))]),
    ),
    (
        "own-answer",
        "one request answered twice",
        history([search(answer()), search(answer())]),
    ),
    (
        "own-answer",
        "result of another save",
        history(outcomes=[saved("k", "yes", result={"saved": "x"})]),
    ),
    ("true-refusal", "search ran", history([refusal()], ran_ids={"r1"})),
    (
        "true-refusal",
        "sub-query call ran",
        history([refusal()], ran_ids={call_id()}),
    ),
    (
        "true-refusal",
        "save ran",
        history(outcomes=[saved("k", "no")], saved=["k"]),
    ),
    ("true-refusal", "no save ran", history(outcomes=[saved("k", "yes")])),
    ("at-most-once", "key ran twice", history(saved=["k", "k"])),
    ("leaving-searcher", "items after the grace period", history(late=1)),
    (
        "graceful-shutdown",
        "cut",
        history([INTERRUPTED], shutdowns=[SHUTDOWN]),
    ),
    (
        "graceful-shutdown",
        "shard lost to a relay's shutdown",
        history([LOST], shutdowns=[RELAY_SHUTDOWN]),
    ),
    (
        "manifest-in-force",
        "reverted to an older generation",
        history(
            [
                search(answer(generation=2, request_id="a")),
                search(answer(request_id="b"), began_s=1.0, ended_s=1.1),
            ]
        ),
    ),
    (
        "manifest-in-force",
        "not in force after 9 seconds",
        history(
            [search(answer(), began_s=9.0, ended_s=9.1)],
            publications=[ACCEPTED],
        ),
    ),
]


class CheckerTest(unittest.TestCase):
    def test_violations_are_found(self):
        for promise, name, broken in VIOLATIONS:
            with self.subTest(promise, broken=name):
                self.assertTrue(checker.check(broken)[promise].violations)

    def test_every_promise_has_a_violation(self):
        named = {promise for promise, _, _ in VIOLATIONS}
        self.assertEqual(named, set(checker.PROMISES))

    def test_valid_history_is_accepted(self):
        valid = history(
            [
                search(answer(request_id="a")),
                search(answer("v2", ["s1"], generation=2, request_id="b")),
                refusal("unknown"),
            ],
            outcomes=[saved("k", "yes", "yes"), saved("n", "no")],
            saved=["k"],
            leaving=3,
            shutdowns=[SHUTDOWN],
            publications=[ACCEPTED],
        )
        for promise, result in checker.check(valid).items():
            with self.subTest(promise):
                self.assertEqual(result.violations, [])
