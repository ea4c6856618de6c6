"""Tests of merging replies into a query: snapshots, coverage and restarts."""

import unittest

import hypothesis
from hypothesis import strategies

from laurelrock import messages
from laurelrock.core import query as queries
from tests import builders

SERVICES = ("a", "b", "c", "d")
STATUSES = ("ok", "shed", "deadline", "version-gone", "unreachable")


def hit(version, shard, number):
    score = 1 / (1 + number)
    return messages.Hit(score, f"d{number}", shard, {"version": version})


def reply(snapshot="v1", outcomes=(), found=(), query_id="1"):
    return messages.SearchReply(
        query_id,
        "start",
        snapshot,
        [messages.ShardOutcome(*row) for row in outcomes],
        list(found),
    )


def new_query(limit=10):
    snapshot = builders.snapshot("v1", **dict.fromkeys(SERVICES, 1))
    return queries.create_query("1", snapshot, limit)


shard_names = strategies.sampled_from(["s0", "s1", "s2", "s3", "other"])
replies = strategies.builds(
    lambda version, outcomes: reply(
        version,
        outcomes,
        [
            hit(version, shard, index)
            for index, (shard, status) in enumerate(outcomes)
            if status == "ok"
        ],
    ),
    strategies.sampled_from(["v1", "v2"]),
    strategies.lists(
        strategies.tuples(shard_names, strategies.sampled_from(STATUSES)),
        max_size=5,
        unique_by=lambda row: row[0],
    ),
)


class AcceptTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
    @hypothesis.given(strategies.lists(replies, max_size=12))
    def test_any_replies_give_correct_hits_and_coverage(self, history):
        query = new_query()
        answered = set()
        for item in history:
            queries.merge_reply(query, item)
            if item.snapshot == "v1":
                answered |= {
                    outcome.shard
                    for outcome in item.outcomes
                    if outcome.status == "ok" and outcome.shard != "other"
                }
        known = {shard.id for shard in query.snapshot.shards}
        missing = {outcome.shard for outcome in query.missing()}
        self.assertEqual(query.covered, answered)
        self.assertEqual(missing, known - answered)
        self.assertEqual(query.fraction, len(answered) / len(known))
        shards = [item.shard for item in query.hits]
        self.assertEqual(set(shards), answered)
        self.assertEqual(len(shards), len(answered))
        versions = {item.document["version"] for item in query.hits}
        self.assertLessEqual(versions, {"v1"})

    def test_replies_that_add_no_hits(self):
        ok = ("s0", "ok")
        cases = {
            "other snapshot": (reply("v2", [ok], [hit("v2", "s0", 1)]), False),
            "unknown shard": (reply("v1", [("x", "ok")]), False),
            "hit of a shard that failed": (
                reply("v1", [("s0", "shed")], [hit("v1", "s0", 1)]),
                True,
            ),
            "hit of a shard without an outcome": (
                reply("v1", [], [hit("v1", "s1", 1)]),
                False,
            ),
        }
        for name, (item, changes) in cases.items():
            with self.subTest(name):
                query = new_query()
                self.assertEqual(queries.merge_reply(query, item), changes)
                self.assertEqual(query.hits, [])
                self.assertEqual(query.fraction, 0.0)

    def test_failure_then_success_covers_the_shard(self):
        query = new_query()
        queries.merge_reply(query, reply("v1", [("s0", "unreachable")]))
        queries.merge_reply(
            query, reply("v1", [("s0", "ok")], [hit("v1", "s0", 1)])
        )
        self.assertEqual(query.covered, {"s0"})
        queries.merge_reply(query, reply("v1", [("s0", "deadline")]))
        self.assertEqual(query.covered, {"s0"})

    def test_hits_are_the_best_of_all_shards(self):
        query = new_query(limit=3)
        queries.merge_reply(
            query,
            reply("v1", [("s0", "ok")], [hit("v1", "s0", n) for n in (1, 4)]),
        )
        queries.merge_reply(
            query,
            reply("v1", [("s1", "ok")], [hit("v1", "s1", n) for n in (0, 2)]),
        )
        self.assertEqual([item.id for item in query.hits], ["d0", "d1", "d2"])


class RestartTest(unittest.TestCase):
    def test_choice_of_restart_snapshot(self):
        names = dict.fromkeys(SERVICES, 1)
        newer = builders.snapshot("v2", **names)
        pinned = builders.snapshot("v1", **names)
        cases = {
            "pinned one gone: newer": (
                "version-gone",
                [newer, pinned],
                {"v1"},
                "v2",
            ),
            "pinned one not loaded yet: other": (
                "version-unknown",
                [pinned, newer],
                {"v1"},
                "v2",
            ),
            "all tried": ("version-gone", [newer, pinned], {"v1", "v2"}, None),
            "other failure": ("shed", [newer, pinned], {"v1"}, None),
        }
        for name, (status, snapshots, tried, expected) in cases.items():
            with self.subTest(name):
                query = new_query()
                queries.merge_reply(query, reply("v1", [("s0", status)]))
                chosen = queries.choose_restart_snapshot(
                    query, snapshots, tried
                )
                version = chosen.version if chosen else None
                self.assertEqual(version, expected)


class FailTest(unittest.TestCase):
    def test_failed_shards_become_pending_again(self):
        query = new_query()
        queries.mark_failed(query, ["s0", "s1"], "no-relay")
        self.assertEqual(query.pending, {"s2", "s3"})
        queries.mark_pending(query, ["s0", "s2"])
        self.assertEqual(query.pending, {"s0", "s2", "s3"})
        self.assertEqual(query.failed, {"s1": "no-relay"})
