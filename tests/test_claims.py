"""Claims on their way: owners, silence, cuts, and the messages."""

import asyncio
import types
import typing
import unittest

import structlog

from laurelrock import claimbus
from laurelrock import claims
from laurelrock import errors
from laurelrock import ledgers
from laurelrock import messages
from laurelrock import saves
from laurelrock.core import ledger
from laurelrock.core import members
from tests import builders
from tests import histories
from tests import memory
from tests import virtual

setUpModule = virtual.silence_logs
tearDownModule = structlog.reset_defaults

KEYS = [builders.save_key(number) for number in range(40)]
NAMES = ["e1", "e2", "e3"]


class Fleet:
    """Three entries, each in a failure domain of its own.

    Attributes:
        cut: Entries that do not reach the platform.
        silent: Entries that answer no peer.
    """

    def __init__(self) -> None:
        self.cut: set[str] = set()
        self.silent: set[str] = set()
        self.store = memory.Store(self.gate)
        self.ran: list[str] = []
        self.members = {
            name: members.Member(name, "entry", name, name, "r", "")
            for name in NAMES
        }
        self.ledgers = {name: self.open_ledgers(name) for name in NAMES}
        self.claims = {name: self.open_claims(name) for name in NAMES}
        self.saves = {
            name: histories.make_saves(self.claims[name], name)
            for name in NAMES
        }

    async def gate(self, call: memory.Call) -> memory.Fault:
        return "down" if call.caller in self.cut else "ok"

    def open_ledgers(self, name: str) -> ledgers.Ledgers:
        port = memory.MemoryPlatform(self.store, name)
        return ledgers.Ledgers(port, lambda: 0.5, ledgers.Tuning())

    def open_claims(self, name: str) -> claims.Claims:
        async def ask(
            address: str, change: ledger.Change, time_left_s: float
        ) -> ledger.Verdict:
            if address in self.silent:
                await asyncio.sleep(time_left_s)
                raise errors.WriteUnsettledError("silent")
            return await self.ledgers[address].submit(change, time_left_s)

        return claims.Claims(
            self.ledgers[name],
            self.members[name],
            lambda: list(self.members.values()),
            ask,
        )

    async def execute(self) -> saves.Outcome:
        self.ran.append("")
        return saves.Outcome("yes", b"7")

    async def ask(self, name: str, key: str) -> str:
        request = saves.Request("r", "a", "c", key, b"1", 2.0)
        try:
            answer = await self.saves[name].run(request, self.execute)
        except errors.RefusalError as refusal:
            return f"{refusal.ran}:{refusal.code}"
        return "replayed" if answer.replayed else "answered"


class ClaimsTest(unittest.TestCase):
    #: Entries cut off from the platform, silent entries, and what callers of
    #: e1 are told.
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

    async def go(self, cut: set[str], silent: set[str], told: str) -> None:
        fleet = Fleet()
        fleet.cut, fleet.silent = cut, silent
        for key in KEYS:
            self.assertEqual(told, await fleet.ask("e1", key))
        ran = len(KEYS) if told == "answered" else 0
        self.assertEqual(ran, len(fleet.ran))
        fleet.cut, fleet.silent = set(), set()
        await asyncio.sleep(10.0)
        retry = "replayed" if ran else "answered"
        for key in KEYS:
            self.assertEqual(retry, await fleet.ask("e3", key))
        self.assertEqual(len(KEYS), len(fleet.ran))

    def test_cut_and_silent_entries(self) -> None:
        for cut, silent, told in self.CASES:
            with self.subTest(cut=cut, silent=silent):
                virtual.run(self.go(cut, silent, told))

    def test_owner_takes_the_claims_of_all(self) -> None:
        async def go() -> None:
            fleet = Fleet()
            for number, key in enumerate(KEYS):
                await fleet.ask(NAMES[number % 3], key)
            conflicts = [
                store.counts["conflict"] for store in fleet.ledgers.values()
            ]
            self.assertEqual([0, 0, 0], conflicts)
            writers = {
                (call.key, call.caller)
                for call in fleet.store.calls
                if call.method == "put"
            }
            self.assertEqual(len({key for key, _ in writers}), len(writers))

        virtual.run(go())


class Wire:
    """Carries messages between two claim buses through the codec."""

    def __init__(self) -> None:
        self.ends: dict[str, claimbus.ClaimForwarder] = {}
        self.lost = False
        self.full = False

    def open(self, name: str) -> claimbus.ClaimForwarder:
        port = memory.MemoryPlatform(memory.Store(), name)
        store = ledgers.Ledgers(port, lambda: 0.5, ledgers.Tuning())
        bus = types.SimpleNamespace(
            send=lambda address, message: self.carry(name, address, message),
            reply=lambda sender, message: self.carry(
                name, sender.decode(), message
            ),
        )
        daemon = types.SimpleNamespace(
            bus=bus, start_id=name, spawn=asyncio.ensure_future
        )
        end = claimbus.ClaimForwarder(typing.cast(typing.Any, daemon), store)
        self.ends[name] = end
        return end

    def carry(self, source: str, target: str, message: typing.Any) -> bool:
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


class ClaimBusTest(unittest.TestCase):
    RESERVE = ledger.Reserve(ledger.parse_key(KEYS[0]), b"a", b"d")
    SETTLE = ledger.Settle(RESERVE.key, b"a", "done", b"7")

    def test_changes_and_verdicts_cross_the_wire(self) -> None:
        async def go() -> None:
            wire = Wire()
            asking, asked = wire.open("e1"), wire.open("e2")
            other = self.RESERVE._replace(attempt=b"b")
            for change in (self.RESERVE, other, self.SETTLE, other):
                verdict = await asking.forward("e2", change, 1.0)
                again = await asked.ledgers.submit(change, 1.0)
                self.assertEqual(again, verdict)
            self.assertEqual({}, asking.pending_replies)

        virtual.run(go())

    def test_failures_keep_their_meaning(self) -> None:
        async def go() -> None:
            wire = Wire()
            asking, asked = wire.open("e1"), wire.open("e2")
            port = typing.cast(memory.MemoryPlatform, asked.ledgers.platform)
            port.store.script.extend(["down"] * 20)
            with self.assertRaises(errors.PlatformError):
                await asking.forward("e2", self.RESERVE, 1.0)
            port.store.script.clear()
            await asyncio.sleep(5.0)
            port.store.script.extend(["ok", "lost"] + ["down"] * 20)
            with self.assertRaises(errors.WriteUnsettledError):
                await asking.forward("e2", self.RESERVE, 0.2)
            wire.full = True
            with self.assertRaises(errors.PlatformError):
                await asking.forward("e2", self.RESERVE, 0.2)
            wire.full, wire.lost = False, True
            with self.assertRaises(errors.WriteUnsettledError):
                await asking.forward("e2", self.RESERVE, 0.2)

        virtual.run(go())

    def test_reply_to_another_start_is_dropped(self) -> None:
        async def go() -> None:
            asking = Wire().open("e1")
            waiting = asking.pending_replies["1"] = asyncio.Future()
            asking.on_reply(b"e2", messages.ClaimReply("1", "old", "held"))
            asking.on_reply(b"e2", messages.ClaimReply("2", "e1", "held"))
            self.assertFalse(waiting.done())
            self.assertEqual(2, asking.dropped)

        virtual.run(go())
