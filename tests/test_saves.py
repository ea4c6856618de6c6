"""Saves: every point where one can stop, and every order of events."""

import asyncio
import collections.abc
import contextlib
import random
import typing
import unittest

import structlog

from laurelrock import errors
from laurelrock import ledgers
from laurelrock import saves
from laurelrock.core import ledger
from tests import builders
from tests import histories
from tests import memory
from tests import virtual

KEY = builders.save_key()
WAIT_S = 5.0


setUpModule = virtual.silence_logs
tearDownModule = structlog.reset_defaults


class Bench:
    """Two daemons over one store."""

    def __init__(self) -> None:
        self.store = memory.Store()
        self.ran: list[str] = []
        self.e1 = self.daemon("e1")
        self.e2 = self.daemon("e2")

    def daemon(self, name: str) -> saves.Saves:
        port = memory.MemoryPlatform(self.store, name)
        store = ledgers.Ledgers(port, lambda: 0.5, ledgers.Tuning())
        return histories.make_saves(store, name)

    def execute(
        self, fate: str, delay_s: float = 0.01
    ) -> collections.abc.Callable[[], typing.Any]:
        async def run() -> saves.Outcome:
            self.ran.append(fate)
            await asyncio.sleep(delay_s)
            if fate == "refusal":
                raise errors.OverloadedError("shed", "no", 1.0)
            if fate == "broken":
                raise ConnectionResetError
            return saves.Outcome(typing.cast(errors.Ran, fate), b"7")

        return run

    async def ask(
        self,
        daemon: saves.Saves,
        fate: str = "yes",
        delay_s: float = 0.01,
        **fields: typing.Any,
    ) -> tuple[str, ...]:
        """Returns what the caller is told."""
        request = saves.Request("r", "a", "c", KEY, b"1", 2.0)
        request = request._replace(**fields)
        try:
            answer = await daemon.run(request, self.execute(fate, delay_s))
        except errors.RefusalError as error:
            return error.ran, error.code
        return "yes", "replayed" if answer.replayed else "answered"


#: Where the first attempt stops, one row each: the platform's answers in the
#: order of its calls (read, write, ...), what the searcher does ("late" is
#: after the deadline), what the caller is told, what a retry through another
#: VM is told, calls of the searcher.
STOPS = """
nothing                 |                 | yes      | answered   | replayed | 1
read fails once         | down            | yes      | answered   | replayed | 1
read fails for long     | down*2          | yes      | not-ready  | answered | 1
claim's reply lost      | ok lost         | yes      | answered   | replayed | 1
claim not written       | ok down         | yes      | answered   | replayed | 1
reply lost, long outage | ok lost down*9  | yes      | not-ready  | answered | 1
claim lands too late    | ok late down*9  | yes      | not-ready  | answered | 1
searcher refuses        |                 | no       | overloaded | answered | 2
entry refuses, claimed  |                 | refusal  | overloaded | answered | 2
searcher's reply lost   |                 | unknown  | unknown    | unknown  | 1
call breaks             |                 | broken   | unknown    | unknown  | 1
searcher answers late   |                 | yes late | unknown    | replayed | 1
searcher refuses late   |                 | no late  | unknown    | answered | 2
outcome's reply lost    | ok*2 lost       | yes      | answered   | replayed | 1
outcome not written     | ok*2 down*5     | yes      | answered   | replayed | 1
"""

#: What the words of the table stand for.
TOLD = {
    "answered": ("yes", "answered"),
    "replayed": ("yes", "replayed"),
    "not-ready": ("no", "not-ready"),
    "overloaded": ("no", "overloaded"),
    "unknown": ("unknown", "outcome-unknown"),
}
LATE_S = 3.0


def read_script(text: str) -> list[memory.Fault]:
    """Returns the faults of a row; `down*2` stands for two."""
    faults: list[memory.Fault] = []
    for word in text.split():
        fault, _, count = word.partition("*")
        faults += [typing.cast(memory.Fault, fault)] * int(count or 1)
    return faults


class StopTest(unittest.TestCase):
    def test_every_stop(self) -> None:
        for row in STOPS.strip().splitlines():
            name, *fields = (field.strip() for field in row.split("|"))
            with self.subTest(name):
                virtual.run(self.stop(*fields))

    async def stop(
        self, script: str, fate: str, first: str, retry: str, calls: str
    ) -> None:
        bench = Bench()
        bench.store.script.extend(read_script(script))
        fate, _, late = fate.partition(" ")
        delay_s = LATE_S if late else 0.01
        told = await bench.ask(bench.e1, fate, delay_s)
        self.assertEqual(TOLD[first], told)
        await asyncio.sleep(WAIT_S)
        bench.store.land()
        self.assertEqual(TOLD[retry], await bench.ask(bench.e2))
        self.assertEqual(int(calls), len(bench.ran))


class SavesTest(unittest.TestCase):
    def test_same_key_through_two_daemons_at_once(self) -> None:
        async def go() -> None:
            bench = Bench()
            told = await asyncio.gather(
                bench.ask(bench.e1), bench.ask(bench.e2), bench.ask(bench.e1)
            )
            self.assertEqual(1, len(bench.ran))
            self.assertEqual(1, told.count(("yes", "answered")))
            self.assertEqual(2, told.count(("yes", "replayed")))

        virtual.run(go())

    def test_other_body_and_other_caller_conflict(self) -> None:
        async def go() -> None:
            bench = Bench()
            await bench.ask(bench.e1)
            for field in ({"body": b"2"}, {"caller": "d"}):
                told = await bench.ask(bench.e2, **field)
                self.assertEqual(("no", "key-conflict"), told)

        virtual.run(go())

    def test_no_time_left_after_the_claim(self) -> None:
        async def go() -> None:
            bench = Bench()
            told = await bench.ask(bench.e1, time_left_s=0.0)
            self.assertEqual("no", told[0])
            self.assertEqual([], bench.ran)
            await asyncio.sleep(WAIT_S)
            told = await bench.ask(bench.e2)
            self.assertEqual(("yes", "answered"), told)

        virtual.run(go())

    def test_outage_is_refused_at_once(self) -> None:
        async def go() -> None:
            bench = Bench()
            bench.store.script.extend(["down"] * 100)
            self.assertEqual("no", (await bench.ask(bench.e1))[0])
            made = len(bench.store.calls)
            began_s = asyncio.get_running_loop().time()
            told = await bench.ask(bench.e1)
            self.assertEqual(("no", "not-ready"), told)
            self.assertEqual(made, len(bench.store.calls))
            self.assertEqual(began_s, asyncio.get_running_loop().time())

        virtual.run(go())

    def test_large_result_is_not_replayed(self) -> None:
        async def go() -> None:
            bench = Bench()
            large = bytes(ledger.MAX_RESULT_BYTES + 1)

            async def run() -> saves.Outcome:
                return saves.Outcome("yes", large)

            request = saves.Request("r", "a", "c", KEY, b"1", 2.0)
            self.assertEqual(large, (await bench.e1.run(request, run)).result)
            await bench.e1.close()
            told = await bench.ask(bench.e2)
            self.assertEqual(("yes", "result-not-kept"), told)

        virtual.run(go())

    def test_caller_that_goes_away_does_not_stop_the_save(self) -> None:
        async def go() -> None:
            bench = Bench()
            asked = asyncio.ensure_future(bench.ask(bench.e1, delay_s=0.5))
            await asyncio.sleep(0.1)
            asked.cancel()
            await bench.e1.close()
            self.assertEqual(("yes", "replayed"), await bench.ask(bench.e2))
            self.assertEqual(1, len(bench.ran))

        virtual.run(go())

    def test_claims_at_once_share_one_write(self) -> None:
        async def go() -> None:
            bench = Bench()
            number = 0
            keys: list[str] = []
            index = ledger.index_of(ledger.parse_key(KEY))
            while len(keys) < 20:
                key = builders.save_key(number)
                if ledger.index_of(ledger.parse_key(key)) == index:
                    keys.append(key)
                number += 1
            asked = [bench.ask(bench.e1, key=key) for key in keys]
            told = await asyncio.gather(*asked)
            self.assertEqual([("yes", "answered")] * 20, told)
            await bench.e1.close()
            methods = [call.method for call in bench.store.calls]
            self.assertEqual(["get", "put", "put"], methods)

        virtual.run(go())


class NoClaim(saves.Saves):
    """Runs whatever it is asked."""

    async def claim(self, attempt: saves.Attempt) -> ledger.Verdict:
        return ledger.Verdict("held")


class LeaseClaim(saves.Saves):
    """Takes over a claim that is older than a lease."""

    async def claim(self, attempt: saves.Attempt) -> ledger.Verdict:
        verdict = await self.reserve(attempt)
        while verdict.kind == "pending" and verdict.claim is not None:
            await asyncio.sleep(0.5)
            expired = ledger.Settle(
                attempt.claim.key, verdict.claim.attempt, "not-run"
            )
            with contextlib.suppress(errors.LaurelrockError):
                await self.store.settle(expired)
            verdict = await self.reserve(attempt)
        return verdict


class SecondSend(saves.Saves):
    """Sends again where the answer was lost."""

    async def execute(
        self, attempt: saves.Attempt, execute: saves.Execute
    ) -> saves.Outcome | errors.RefusalError:
        async def twice() -> saves.Outcome:
            outcome = await execute()
            return outcome if outcome.ran != "unknown" else await execute()

        return await super().execute(attempt, twice)


class HopefulClaim(saves.Saves):
    """Takes a claim whose write was not answered for not written."""

    async def reserve(self, attempt: saves.Attempt) -> ledger.Verdict:
        try:
            return await super().reserve(attempt)
        except errors.NotReadyError:
            return ledger.Verdict("held")


class HistoryTest(unittest.TestCase):
    ASKED = [
        histories.Asked("e1", KEY),
        histories.Asked("e2", KEY),
    ]
    MIXED = [
        *ASKED,
        histories.Asked("e3", KEY, 0.5),
        histories.Asked("e2", KEY, 1.0, b"2"),
        histories.Asked("e1", KEY, 1.0, b"1", "d"),
        histories.Asked("e1", builders.save_key(1), 0.2),
        histories.Asked("e3", builders.save_key(1), 2.5),
        histories.Asked("e1", KEY, 6.0),
    ]

    def world(
        self,
        asked: list[histories.Asked],
        choose: histories.Choose,
        faults: int,
        kind: type[saves.Saves] = saves.Saves,
        passing: bool = False,
    ) -> list[str]:
        def make(store: saves.Store, name: str) -> saves.Saves:
            made = histories.make_saves(store, name)
            return kind(made.store, made.wall_ms, made.new_id)

        world = histories.World(asked, make, choose, faults, passing)
        return histories.check(asked, world.run())

    def every(
        self, faults: int, limit: int, kind: type[saves.Saves] = saves.Saves
    ) -> tuple[int, list[str]]:
        """Returns how many histories were run, and the first bad one."""
        count = 0
        found: list[str] = []
        runs = histories.every_history(
            lambda choose: self.world(self.ASKED, choose, faults, kind), limit
        )
        for found in runs:
            count += 1
            if found:
                break
        return count, found

    def seeded(
        self,
        seeds: range,
        kind: type[saves.Saves] = saves.Saves,
        passing: bool = False,
    ) -> list[str]:
        """Returns what is wrong with the first bad history of some seeds."""
        for seed in seeds:
            choose = histories.mostly_ordinary(random.Random(seed))
            found = self.world(self.MIXED, choose, seed % 12, kind, passing)
            if found:
                return [f"seed {seed}", *found]
        return []

    def test_every_order_with_one_fault(self) -> None:
        count, found = self.every(1, 20_000)
        self.assertEqual([], found)
        self.assertGreater(count, 1000)
        self.assertLess(count, 20_000)

    def test_seeded_orders_with_many_faults(self) -> None:
        self.assertEqual([], self.seeded(range(2000)))

    def test_seeded_orders_with_claims_passed_to_owners(self) -> None:
        self.assertEqual([], self.seeded(range(1500), passing=True))

    def test_naive_variants_are_caught(self) -> None:
        for kind in (NoClaim, LeaseClaim, SecondSend, HopefulClaim):
            with self.subTest(kind.__name__):
                self.assertNotEqual([], self.seeded(range(2000), kind))
                self.assertNotEqual([], self.seeded(range(2000), kind, True))


class CheckTest(unittest.TestCase):
    ASKED = [
        histories.Asked("e1", "k"),
        histories.Asked("e2", "k"),
        histories.Asked("e2", "k", 0.0, b"2"),
        histories.Asked("e2", "k", 0.0, b"1", "d"),
    ]
    RAN = histories.Event(0, "ran", b"1")
    #: Histories that break a promise.
    BAD = [
        [RAN, histories.Event(1, "ran", b"2")],
        [RAN, histories.Event(0, "ran", b"2")],
        [RAN, histories.Event(0, "no:not-ready")],
        [histories.Event(0, "no:not-ready"), RAN],
        [RAN, histories.Event(1, "replayed", b"2")],
        [RAN, histories.Event(2, "replayed", b"1")],
        [RAN, histories.Event(3, "replayed", b"1")],
        [histories.Event(1, "replayed", b"1")],
        [histories.Event(1, "yes:result-not-kept")],
    ]

    def test_broken_histories_are_rejected(self) -> None:
        for events in self.BAD:
            with self.subTest(events=events):
                self.assertTrue(histories.check(self.ASKED, events))

    def test_sound_history_is_accepted(self) -> None:
        events = [
            histories.Event(1, "no:not-ready"),
            self.RAN,
            histories.Event(0, "answered", b"1"),
            histories.Event(1, "replayed", b"1"),
            histories.Event(2, "no:key-conflict"),
        ]
        self.assertEqual([], histories.check(self.ASKED, events))
