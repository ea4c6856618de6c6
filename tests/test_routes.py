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
                found = routes.find(table, host, target)
                self.assertEqual(found and found.name, name)


class LeastShardsTest(unittest.TestCase):
    def test_minimum_number_of_shards(self):
        for count, share, least in (
            (20, 0.89, 18),
            (20, 0.75, 15),
            (90, 0.95, 86),
            (20, 1.0, 20),
            (3, 0.0, 1),
            (1, 0.5, 1),
        ):
            with self.subTest(count=count, share=share):
                shards = [f"s{n}" for n in range(count)]
                route = build.query_route(shards, least_share=share)
                self.assertEqual(route.least_shards, least)


class SplitTest(unittest.TestCase):
    def test_shares_follow_the_weights(self):
        parts = (routes.Part("a", 7), routes.Part("b", 2), routes.Part("c", 1))
        route = build.single_route(parts=parts)
        split = routes.Split()
        taken = collections.Counter(split.next(route) for _ in range(100))
        self.assertEqual(taken, {"a": 70, "b": 20, "c": 10})

    def test_short_sequences_follow_the_weights(self):
        route = build.single_route(
            parts=(routes.Part("a", 3), routes.Part("b", 1))
        )
        split = routes.Split()
        for _ in range(5):
            taken = collections.Counter(split.next(route) for _ in range(4))
            self.assertEqual(taken, {"a": 3, "b": 1})

    def test_weight_of_zero_gets_no_requests(self):
        route = build.single_route(
            parts=(routes.Part("a", 1), routes.Part("b", 0))
        )
        split = routes.Split()
        self.assertEqual({split.next(route) for _ in range(20)}, {"a"})

    def test_state_of_removed_routes_is_dropped(self):
        route = build.single_route(
            parts=(routes.Part("a", 1), routes.Part("b", 1))
        )
        split = routes.Split()
        split.next(route)
        split.keep([])
        self.assertEqual(split.credits, {})
