"""Tests that the checks accept correct responses and reject faulty ones."""

import copy
import typing
import unittest
import uuid

from fakes import checks
from fakes import corpus
from fakes import load
from tests import builders

QUERY = {"text": "panel"}
LIMIT = 10
LISTS = {("a", "v1"): ["s0", "s1", "s2"], ("a", "v2"): ["s0", "s1"]}


def answer(version: str = "v1", missing: tuple[str, ...] = ()) -> dict:
    """Returns a correct response."""
    shards = LISTS["a", version]
    covered = set(shards) - set(missing)
    return {
        "snapshot": version,
        "partial": bool(missing),
        "coverage": {
            "fraction": len(covered) / len(shards),
            "shards": len(shards),
            "missing": [{"shard": s, "reason": "shed"} for s in missing],
        },
        "hits": corpus.expected_hits(QUERY, version, shards, covered, LIMIT),
    }


def hits_of(version: str, query: typing.Any, covered: set[str]) -> list:
    shards = LISTS["a", version]
    return corpus.expected_hits(query, version, shards, covered, LIMIT)


ALL = {"s0", "s1", "s2"}

#: Faulty responses: fields that replace those of a correct response over all
#: shards.
WRONG = {
    "another version's hits": {"hits": hits_of("v2", QUERY, ALL)},
    "two versions mixed": {
        "hits": sorted(
            hits_of("v1", QUERY, {"s0"}) + hits_of("v2", QUERY, {"s1"}),
            key=corpus.hit_sort_key,
        )[:LIMIT]
    },
    "another query's hits": {"hits": hits_of("v1", {"text": "roof"}, ALL)},
    "a shard left out": {"hits": hits_of("v1", QUERY, {"s0", "s2"})},
    "a hit left out": {"hits": hits_of("v1", QUERY, ALL)[1:]},
    "a hit twice": {"hits": hits_of("v1", QUERY, ALL)[:1] * 2},
    "wrong order": {"hits": hits_of("v1", QUERY, ALL)[::-1]},
    "no hits": {"hits": []},
    "unknown version": {"snapshot": "v9"},
    "partial, but whole": {"partial": True},
    "false fraction": {
        "coverage": {"fraction": 0.5, "shards": 3, "missing": []}
    },
    "false count": {"coverage": {"fraction": 1.0, "shards": 2, "missing": []}},
    "missing a shard that does not exist": {
        "partial": True,
        "coverage": {
            "fraction": 1.0,
            "shards": 3,
            "missing": [{"shard": "s9", "reason": "shed"}],
        },
    },
    "malformed": {"coverage": None},
}


class ResponseTest(unittest.TestCase):
    def fault(self, found: dict) -> str | None:
        return checks.find_response_violation(found, LISTS, "a", QUERY, LIMIT)

    def test_correct_responses_are_accepted(self):
        for version, missing in (("v1", ()), ("v2", ()), ("v1", ("s1",))):
            with self.subTest(version=version, missing=missing):
                self.assertIsNone(self.fault(answer(version, missing)))

    def test_faulty_responses_are_rejected(self):
        for name, fields in WRONG.items():
            with self.subTest(name):
                self.assertIsNotNone(self.fault(answer() | fields))

    def test_changed_document_is_rejected(self):
        found = copy.deepcopy(answer())
        found["hits"][3]["document"]["query"] = "0"
        self.assertIsNotNone(self.fault(found))

    def test_scores_depend_on_query_version_and_document(self):
        shards = LISTS["a", "v1"]
        scores = [
            hit["score"]
            for query in ("x", "y")
            for version in ("v1", "v2")
            for hit in corpus.expected_hits(
                query, version, shards, ALL, corpus.DOCUMENT_COUNT
            )
        ]
        self.assertEqual(len(scores), 4 * corpus.DOCUMENT_COUNT)
        self.assertEqual(len(set(scores)), len(scores))
        self.assertTrue(all(0 <= score < 1 for score in scores))


class SaveTest(unittest.TestCase):
    def test_faults(self):
        right = checks.SaveResponse("yes", checks.expected_save_result("b"))
        other = checks.SaveResponse("yes", checks.expected_save_result("c"))
        no = checks.SaveResponse("no")
        unknown = checks.SaveResponse("unknown")
        none = checks.SaveResponse("")
        cases = {
            "ran once": ([right, right], 1, ""),
            "refused": ([no], 0, ""),
            "refused, then ran": ([no, right], 1, ""),
            "unknown, ran": ([unknown], 1, ""),
            "unknown, not run": ([unknown, none], 0, ""),
            "ran twice": ([right], 2, "run_twice"),
            "denied": ([no, no], 1, "denied"),
            "invented": ([right], 0, "invented"),
            "crossed": ([right, other], 1, "crossed"),
        }
        for name, (answers, runs, expected) in cases.items():
            with self.subTest(name):
                outcome = checks.SaveAttempts("k", "b", answers)
                faults = checks.find_save_violations([outcome], ["k"] * runs)
                found = [k for k, keys in faults._asdict().items() if keys]
                self.assertEqual(found, [expected] if expected else [])


class ScheduleTest(unittest.TestCase):
    PLAN = load.Plan(
        entry_urls=[],
        manifests=[builders.small_manifest()],
        application_loads=[load.ApplicationLoad("a", "token", 100.0, saves=20)],
        seconds=10.0,
        seed=7,
    )

    def test_same_seed_gives_same_arrivals(self):
        def schedule():
            found = load.schedule(self.PLAN)
            return [arrival._replace(key="") for arrival in found]

        self.assertEqual(schedule(), schedule())

    def test_keys_are_version_7_uuids(self):
        keys = [item.key for item in load.schedule(self.PLAN) if item.key]
        self.assertEqual(len(set(keys)), 20)
        for key in keys:
            self.assertEqual(uuid.UUID(key).version, 7)
            self.assertEqual(uuid.UUID(key).variant, uuid.RFC_4122)
