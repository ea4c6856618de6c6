"""Tests the routing of claims: owners, unreachable peers, messages."""

import asyncio
import types
import typing
import unittest

import structlog

from laurelrock import errors
from laurelrock import messages
from laurelrock.core import ledger
from laurelrock.core import members
from laurelrock.saves import claim_forwarding
from laurelrock.saves import claim_routing
from laurelrock.saves import ledger_writers
from laurelrock.saves import save_runner
from tests import builders
from tests import memory_platform
from tests import save_histories
from tests import virtual_time

setUpModule = virtual_time.suppress_logs
tearDownModule = structlog.reset_defaults

KEYS = [builders.save_key(number) for number in range(40)]
NAMES = ["e1", "e2", "e3"]


class Entries:
    """Three entries, each in its own failure domain.

    Attributes:
        cut: Names of entries that are partitioned from the platform.
        unresponsive: Names of entries that do not reply to peers.
    """

    def __init__(self) -> None:
        self.cut: set[str] = set()
        self.unresponsive: set[str] = set()
        self.store = memory_platform.MemoryStore(self.gate)
        self.ran: list[str] = []
        self.members = {
            name: members.Member(name, "entry", name, name, "r", "")
            for name in NAMES
        }
        self.ledgers = {name: self.open_ledgers(name) for name in NAMES}
        self.claims = {name: self.open_claims(name) for name in NAMES}
        self.saves = {
            name: save_histories.create_saves(self.claims[name], name)
            for name in NAMES
        }

    async def gate(self, call: memory_platform.Call) -> memory_platform.Fault:
        return "down" if call.caller in self.cut else "ok"

    def open_ledgers(self, name: str) -> ledger_writers.LedgerWriters:
        port = memory_platform.MemoryPlatform(self.store, name)
        return ledger_writers.LedgerWriters(
            port, lambda: 0.5, ledger_writers.Tuning()
        )

    def open_claims(self, name: str) -> claim_routing.ClaimRouter:
        async def ask(
            address: str, change: ledger.Change, time_left_s: float
        ) -> ledger.Outcome:
            if address in self.unresponsive:
                await asyncio.sleep(time_left_s)
                raise errors.WriteUnsettledError("unresponsive")
            return await self.ledgers[address].submit(change, time_left_s)

        return claim_routing.ClaimRouter(
            self.ledgers[name],
            self.members[name],
            lambda: list(self.members.values()),
            ask,
        )

    async def execute(self) -> save_runner.Outcome:
        self.ran.append("")
        return save_runner.Outcome("yes", b"7")

    async def ask(self, name: str, key: str) -> str:
        request = save_runner.Request("r", "a", "c", key, b"1", 2.0)
        try:
            answer = await self.saves[name].run(request, self.execute)
        except errors.RefusalError as refusal:
            return f"{refusal.ran}:{refusal.code}"
        return "replayed" if answer.replayed else "answered"


class ClaimsTest(unittest.TestCase):
    #: Entries that cannot reach the platform, entries that do not reply, and
    #: the result for callers of e1.
    CASES: list[tuple[set[str], set[str], str]] = [
        (set(), set(), "answered"),
        (set(), {"e2"}, "answered"),
        (set(), {"e2", "e3"}, "answered"),
        ({"e1"}, set(), "answered"),
        ({"e2"}, set(), "answered"),
        ({"e1", "e2"}, set(), "answered"),
        ({"e1", "e2", "e3"}, set(), "no:not-ready"),
        ({"e1"}, {"e2", "e3"}, "no:not-ready"),
    ]

    async def go(
        self, cut: set[str], unresponsive: set[str], result: str
    ) -> None:
        entries = Entries()
        entries.cut, entries.unresponsive = cut, unresponsive
        for key in KEYS:
            self.assertEqual(result, await entries.ask("e1", key))
        ran = len(KEYS) if result == "answered" else 0
        self.assertEqual(ran, len(entries.ran))
        entries.cut, entries.unresponsive = set(), set()
        await asyncio.sleep(10.0)
        retry = "replayed" if ran else "answered"
        for key in KEYS:
            self.assertEqual(retry, await entries.ask("e3", key))
        self.assertEqual(len(KEYS), len(entries.ran))

    def test_partitioned_and_unresponsive_entries(self) -> None:
        for cut, unresponsive, result in self.CASES:
            with self.subTest(cut=cut, unresponsive=unresponsive):
                virtual_time.run(self.go(cut, unresponsive, result))

    def test_owner_writes_the_claims_of_all_entries(self) -> None:
        async def go() -> None:
            entries = Entries()
            for number, key in enumerate(KEYS):
                await entries.ask(NAMES[number % 3], key)
            conflicts = [
                store.counts["conflict"] for store in entries.ledgers.values()
            ]
            self.assertEqual([0, 0, 0], conflicts)
            writers = {
                (call.key, call.caller)
                for call in entries.store.calls
                if call.method == "put"
            }
            self.assertEqual(len({key for key, _ in writers}), len(writers))

        virtual_time.run(go())


class MessageLink:
    """Delivers encoded messages between two claim forwarders."""

    def __init__(self) -> None:
        self.ends: dict[str, claim_forwarding.ClaimForwarder] = {}
        self.lost = False
        self.full = False

    def open(self, name: str) -> claim_forwarding.ClaimForwarder:
        port = memory_platform.MemoryPlatform(
            memory_platform.MemoryStore(), name
        )
        store = ledger_writers.LedgerWriters(
            port, lambda: 0.5, ledger_writers.Tuning()
        )
        bus = types.SimpleNamespace(
            send=lambda address, message: self.deliver(name, address, message),
            reply=lambda sender, message: self.deliver(
                name, sender.decode(), message
            ),
        )
        daemon = types.SimpleNamespace(
            bus=bus, start_id=name, spawn=asyncio.ensure_future
        )
        end = claim_forwarding.ClaimForwarder(
            typing.cast(typing.Any, daemon), store
        )
        self.ends[name] = end
        return end

    def deliver(self, source: str, target: str, message: typing.Any) -> bool:
        if self.full:
            return False
        if self.lost:
            return True
        end = self.ends[target]
        handlers = {
            messages.Claim: end.on_claim,
            messages.ClaimOutcome: end.on_outcome,
            messages.ClaimReply: end.on_reply,
        }
        decoded = messages.decode(messages.encode(message))
        handlers[type(decoded)](source.encode(), decoded)
        return True


class ClaimForwarderTest(unittest.TestCase):
    RESERVE = ledger.Reserve(ledger.parse_key(KEYS[0]), b"a", b"d")
    SETTLE = ledger.Settle(RESERVE.key, b"a", "done", b"7")

    def test_changes_and_outcomes_survive_encoding(self) -> None:
        async def go() -> None:
            link = MessageLink()
            sender_side, receiver_side = link.open("e1"), link.open("e2")
            other = self.RESERVE._replace(attempt=b"b")
            for change in (self.RESERVE, other, self.SETTLE, other):
                outcome = await sender_side.forward("e2", change, 1.0)
                again = await receiver_side.ledgers.submit(change, 1.0)
                self.assertEqual(again, outcome)
            self.assertEqual({}, sender_side.pending_replies)

        virtual_time.run(go())

    def test_failures_keep_their_types(self) -> None:
        async def go() -> None:
            link = MessageLink()
            sender_side, receiver_side = link.open("e1"), link.open("e2")
            port = typing.cast(
                memory_platform.MemoryPlatform, receiver_side.ledgers.platform
            )
            port.store.scripted_faults.extend(["down"] * 20)
            with self.assertRaises(errors.PlatformError):
                await sender_side.forward("e2", self.RESERVE, 1.0)
            port.store.scripted_faults.clear()
            await asyncio.sleep(5.0)
            port.store.scripted_faults.extend(["ok", "lost"] + ["down"] * 20)
            with self.assertRaises(errors.WriteUnsettledError):
                await sender_side.forward("e2", self.RESERVE, 0.2)
            link.full = True
            with self.assertRaises(errors.PlatformError):
                await sender_side.forward("e2", self.RESERVE, 0.2)
            link.full, link.lost = False, True
            with self.assertRaises(errors.WriteUnsettledError):
                await sender_side.forward("e2", self.RESERVE, 0.2)

        virtual_time.run(go())

    def test_reply_to_an_earlier_process_is_dropped(self) -> None:
        async def go() -> None:
            sender_side = MessageLink().open("e1")
            waiting = sender_side.pending_replies["1"] = asyncio.Future()
            sender_side.on_reply(b"e2", messages.ClaimReply("1", "old", "held"))
            sender_side.on_reply(b"e2", messages.ClaimReply("2", "e1", "held"))
            self.assertFalse(waiting.done())
            self.assertEqual(2, sender_side.dropped)

        virtual_time.run(go())
