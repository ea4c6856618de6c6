"""Tests of routing and of the weighted split between services."""

import collections
import unittest

from laurelrock.core import routes
from tests import gateway_builders as build

ROUTES = (
    build.single_route(name="short", prefix="/a/"),
    build.single_route(name="long", prefix="/a/b/"),
    build.single_route(name="other", prefix="/a/", host="other.example"),
)

# Host, request target, name of the expected route.
LOOKUPS = (
    (build.HOST, "/a/x", "short"),
    (build.HOST, "/a/b/x", "long"),
    (build.HOST, "/a/bc", "short"),
    (build.HOST, "/a/?next=/a/b/", "short"),
    (build.HOST, "/a", None),
    (build.HOST, "/ab/", None),
    (build.HOST, "/A/x", None),
    (build.HOST.upper(), "/a/x", "short"),
    (f"{build.HOST}:8080", "/a/x", "short"),
    ("other.example", "/a/b/x", "other"),
    ("unknown.example", "/a/x", None),
    ("", "/a/x", None),
)


class LookupTest(unittest.TestCase):
    def test_longest_matching_prefix(self):
        table = routes.create_table(build.configuration(*ROUTES))
        for host, target, name in LOOKUPS:
            with self.subTest(host=host, target=target):
                found = routes.find_route(table, host, target)
                self.assertEqual(found and found.name, name)


class MinShardsTest(unittest.TestCase):
    def test_minimum_number_of_shards(self):
        for count, share, minimum in (
            (20, 0.89, 18),
            (20, 0.75, 15),
            (90, 0.95, 86),
            (20, 1.0, 20),
            (3, 0.0, 1),
            (1, 0.5, 1),
        ):
            with self.subTest(count=count, share=share):
                shards = [f"s{n}" for n in range(count)]
                route = build.query_route(shards, min_shard_share=share)
                self.assertEqual(route.min_shards, minimum)


class SplitTest(unittest.TestCase):
    def test_shares_follow_the_weights(self):
        parts = (
            routes.WeightedService("a", 7),
            routes.WeightedService("b", 2),
            routes.WeightedService("c", 1),
        )
        route = build.single_route(weighted_services=parts)
        split = routes.WeightedSplit()
        taken = collections.Counter(
            split.next_service(route) for _ in range(100)
        )
        self.assertEqual(taken, {"a": 70, "b": 20, "c": 10})

    def test_short_sequences_follow_the_weights(self):
        route = build.single_route(
            weighted_services=(
                routes.WeightedService("a", 3),
                routes.WeightedService("b", 1),
            )
        )
        split = routes.WeightedSplit()
        for _ in range(5):
            taken = collections.Counter(
                split.next_service(route) for _ in range(4)
            )
            self.assertEqual(taken, {"a": 3, "b": 1})

    def test_weight_of_zero_gets_no_requests(self):
        route = build.single_route(
            weighted_services=(
                routes.WeightedService("a", 1),
                routes.WeightedService("b", 0),
            )
        )
        split = routes.WeightedSplit()
        self.assertEqual({split.next_service(route) for _ in range(20)}, {"a"})

    def test_state_of_removed_routes_is_dropped(self):
        route = build.single_route(
            weighted_services=(
                routes.WeightedService("a", 1),
                routes.WeightedService("b", 1),
            )
        )
        split = routes.WeightedSplit()
        split.next_service(route)
        split.retain([])
        self.assertEqual(split.credits, {})
