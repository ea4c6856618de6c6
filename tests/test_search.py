"""Tests the results that callers of a search get, with in-memory relays."""

import asyncio
import types
import typing
import unittest

from laurelrock import admission_control
from laurelrock import callers
from laurelrock import errors
from laurelrock import messages
from laurelrock import search
from laurelrock.core import admission
from laurelrock.core import members
from tests import builders
from tests import virtual_time

RELAYS = [
    members.Member(f"r{i}", "relay", f"h{i}", f"d{i}", "r", f"s{i}")
    for i in range(2)
]
NO_REPLY = "no-reply"

#: Shard statuses for each message sent, `NO_REPLY` for no reply; the number of
#: live relays; the expected code, "answered" for success, and `ran`.
CASES: list[tuple[list[str], int, str, str]] = [
    (["ok"], 2, "answered", "yes"),
    (["ok/deadline"], 1, "coverage-too-low", "yes"),
    (["shed/deadline"], 1, "coverage-too-low", "unknown"),
    ([], 0, "overloaded", "no"),
    (["shed"], 2, "overloaded", "no"),
    (["draining"], 2, "overloaded", "no"),
    (["unreachable"], 2, "coverage-too-low", "unknown"),
    (["protocol"], 2, "coverage-too-low", "unknown"),
    (["deadline"], 2, "coverage-too-low", "unknown"),
    ([NO_REPLY, NO_REPLY], 2, "coverage-too-low", "unknown"),
    ([NO_REPLY, "ok"], 2, "answered", "yes"),
    ([NO_REPLY, "shed"], 2, "coverage-too-low", "unknown"),
    (["relay-leaving", "ok"], 2, "answered", "yes"),
    (["relay-leaving", "relay-leaving"], 2, "overloaded", "no"),
    (["unknown-service"], 1, "overloaded", "no"),
    (["version-gone", "ok"], 2, "answered", "yes"),
    (["version-gone", "version-gone"], 2, "overloaded", "no"),
    (["version-gone", "deadline"], 2, "coverage-too-low", "unknown"),
    (["version-gone", NO_REPLY, NO_REPLY], 2, "coverage-too-low", "unknown"),
]


def setUpModule():  # noqa: N802
    virtual_time.suppress_logs()


class Bus:
    """Bus that replies to each search with the next scripted status."""

    def __init__(self, script):
        self.script = list(script)
        self.loop = asyncio.get_running_loop()
        self.handlers = {}

    def on(self, kind, handler):
        self.handlers[kind] = handler

    def forget(self, address):
        pass

    def send(self, address, message):
        if not isinstance(message, messages.Search):
            return
        status = self.script.pop(0)
        if status == NO_REPLY:
            return
        shards = [shard for part in message.parts for shard in part.shards]
        reply = messages.SearchReply(
            message.query_id,
            message.start_id,
            message.snapshot,
            list(map(messages.ShardOutcome, shards, status.split("/"))),
            [],
        )
        sender = search.bus.ADDRESS_PREFIX + address.encode()
        handler = self.handlers[messages.SearchReply]
        self.loop.call_later(0.001, handler, sender, reply)


class OutcomeTest(unittest.TestCase):
    def test_every_outcome(self):
        for script, alive, code, ran in CASES:
            with self.subTest(script=script, alive=alive):
                result = virtual_time.run(self.search_once(script, alive))
                self.assertEqual(result, (code, ran))

    def test_no_manifest_yet(self):
        result = virtual_time.run(self.search_once([], 2, published=False))
        self.assertEqual(result, ("not-ready", "no"))

    def test_application_limit_reached(self):
        result = virtual_time.run(self.search_once([], 2, limit=0))
        self.assertEqual(result, ("overloaded", "no"))

    async def search_once(
        self, script, alive, published=True, limit=1
    ) -> tuple[str, str]:
        services = 1 + sum("/" in status for status in script)
        config = builders.small_manifest(services, 1)
        application = config.applications[builders.APPLICATION]
        [first] = application.snapshots
        second = first._replace(version="v2")
        application = application._replace(snapshots=[first, second])
        settings = types.SimpleNamespace(
            entry=types.SimpleNamespace(silence_ms=200.0),
            vm=types.SimpleNamespace(region="r"),
        )
        daemon: typing.Any = types.SimpleNamespace(
            bus=Bus(script),
            settings=settings,
            start_id="e",
            manifest=config._replace(
                applications={builders.APPLICATION: application}
            ),
            generation=1,
            relays=lambda region: RELAYS[:alive],
            spawn=lambda work: work.close(),
        )
        request = callers.SearchRequest(
            "q", "c", builders.APPLICATION, b"1", 10, 2000.0, 0.9
        )
        limits = admission.Admission(limit, False)
        coordinator = search.create_coordinator(daemon)
        if not published:
            daemon.manifest = None
        try:
            await admission_control.run(
                limits, coordinator, application.policy, request
            )
        except errors.RefusalError as refusal:
            return refusal.code, refusal.ran
        return "answered", "yes"
