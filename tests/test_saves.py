"""Tests that saves run at most once for every fault and event order."""

import asyncio
import collections.abc
import contextlib
import random
import typing
import unittest

import structlog

from laurelrock import errors
from laurelrock.core import ledger
from laurelrock.saves import ledger_writers
from laurelrock.saves import save_runner
from tests import builders
from tests import memory_platform
from tests import save_histories
from tests import virtual_time

KEY = builders.save_key()
WAIT_S = 5.0


setUpModule = virtual_time.suppress_logs
tearDownModule = structlog.reset_defaults


class Bench:
    """Two daemons that share one store."""

    def __init__(self) -> None:
        self.store = memory_platform.MemoryStore()
        self.ran: list[str] = []
        self.e1 = self.daemon("e1")
        self.e2 = self.daemon("e2")

    def daemon(self, name: str) -> save_runner.SaveRunner:
        port = memory_platform.MemoryPlatform(self.store, name)
        store = ledger_writers.LedgerWriters(
            port, lambda: 0.5, ledger_writers.Tuning()
        )
        return save_histories.create_saves(store, name)

    def execute(
        self, behaviour: str, delay_s: float = 0.01
    ) -> collections.abc.Callable[[], typing.Any]:
        async def run() -> save_runner.Outcome:
            self.ran.append(behaviour)
            await asyncio.sleep(delay_s)
            if behaviour == "refusal":
                raise errors.OverloadedError("shed", "no", 1.0)
            if behaviour == "broken":
                raise ConnectionResetError
            return save_runner.Outcome(typing.cast(errors.Ran, behaviour), b"7")

        return run

    async def ask(
        self,
        daemon: save_runner.SaveRunner,
        behaviour: str = "yes",
        delay_s: float = 0.01,
        **fields: typing.Any,
    ) -> tuple[str, ...]:
        """Runs a save and returns `ran` and the code that the caller gets."""
        request = save_runner.Request("r", "a", "c", KEY, b"1", 2.0)
        request = request._replace(**fields)
        try:
            answer = await daemon.run(request, self.execute(behaviour, delay_s))
        except errors.RefusalError as error:
            return error.ran, error.code
        return "yes", "replayed" if answer.replayed else "answered"


#: Interruptions of the first attempt, one a row: the name; the platform's
#: results in the order of calls (read, write, ...); the searcher's behaviour
#: ("late" is after the deadline); the caller's result; the result of a retry
#: through another VM; the number of calls to the searcher.
CASES = """
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

#: `ran` and code for each result in the table.
RESULTS = {
    "answered": ("yes", "answered"),
    "replayed": ("yes", "replayed"),
    "not-ready": ("no", "not-ready"),
    "overloaded": ("no", "overloaded"),
    "unknown": ("unknown", "outcome-unknown"),
}
LATE_S = 3.0


def read_script(text: str) -> list[memory_platform.Fault]:
    """Parses the faults of a row; `down*2` means `down` twice."""
    faults: list[memory_platform.Fault] = []
    for word in text.split():
        fault, _, count = word.partition("*")
        faults += [typing.cast(memory_platform.Fault, fault)] * int(count or 1)
    return faults


class InterruptionTest(unittest.TestCase):
    def test_every_interruption(self) -> None:
        for row in CASES.strip().splitlines():
            name, *fields = (field.strip() for field in row.split("|"))
            with self.subTest(name):
                virtual_time.run(self.stop(*fields))

    async def stop(
        self, script: str, behaviour: str, first: str, retry: str, calls: str
    ) -> None:
        bench = Bench()
        bench.store.scripted_faults.extend(read_script(script))
        behaviour, _, late = behaviour.partition(" ")
        delay_s = LATE_S if late else 0.01
        result = await bench.ask(bench.e1, behaviour, delay_s)
        self.assertEqual(RESULTS[first], result)
        await asyncio.sleep(WAIT_S)
        bench.store.apply_delayed_writes()
        self.assertEqual(RESULTS[retry], await bench.ask(bench.e2))
        self.assertEqual(int(calls), len(bench.ran))


class SavesTest(unittest.TestCase):
    def test_same_key_through_two_daemons_at_once(self) -> None:
        async def go() -> None:
            bench = Bench()
            result = await asyncio.gather(
                bench.ask(bench.e1), bench.ask(bench.e2), bench.ask(bench.e1)
            )
            self.assertEqual(1, len(bench.ran))
            self.assertEqual(1, result.count(("yes", "answered")))
            self.assertEqual(2, result.count(("yes", "replayed")))

        virtual_time.run(go())

    def test_other_body_and_other_caller_conflict(self) -> None:
        async def go() -> None:
            bench = Bench()
            await bench.ask(bench.e1)
            for field in ({"body": b"2"}, {"caller": "d"}):
                result = await bench.ask(bench.e2, **field)
                self.assertEqual(("no", "key-conflict"), result)

        virtual_time.run(go())

    def test_no_time_left_after_the_claim(self) -> None:
        async def go() -> None:
            bench = Bench()
            result = await bench.ask(bench.e1, time_left_s=0.0)
            self.assertEqual("no", result[0])
            self.assertEqual([], bench.ran)
            await asyncio.sleep(WAIT_S)
            result = await bench.ask(bench.e2)
            self.assertEqual(("yes", "answered"), result)

        virtual_time.run(go())

    def test_claim_is_refused_at_once_during_an_outage(self) -> None:
        async def go() -> None:
            bench = Bench()
            bench.store.scripted_faults.extend(["down"] * 100)
            self.assertEqual("no", (await bench.ask(bench.e1))[0])
            made = len(bench.store.calls)
            began_s = asyncio.get_running_loop().time()
            result = await bench.ask(bench.e1)
            self.assertEqual(("no", "not-ready"), result)
            self.assertEqual(made, len(bench.store.calls))
            self.assertEqual(began_s, asyncio.get_running_loop().time())

        virtual_time.run(go())

    def test_large_result_is_not_replayed(self) -> None:
        async def go() -> None:
            bench = Bench()
            large = bytes(ledger.MAX_RESULT_BYTES + 1)

            async def run() -> save_runner.Outcome:
                return save_runner.Outcome("yes", large)

            request = save_runner.Request("r", "a", "c", KEY, b"1", 2.0)
            self.assertEqual(large, (await bench.e1.run(request, run)).result)
            await bench.e1.close()
            result = await bench.ask(bench.e2)
            self.assertEqual(("yes", "result-not-kept"), result)

        virtual_time.run(go())

    def test_save_continues_after_the_caller_disconnects(self) -> None:
        async def go() -> None:
            bench = Bench()
            asked = asyncio.ensure_future(bench.ask(bench.e1, delay_s=0.5))
            await asyncio.sleep(0.1)
            asked.cancel()
            await bench.e1.close()
            self.assertEqual(("yes", "replayed"), await bench.ask(bench.e2))
            self.assertEqual(1, len(bench.ran))

        virtual_time.run(go())

    def test_simultaneous_claims_share_one_write(self) -> None:
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
            result = await asyncio.gather(*asked)
            self.assertEqual([("yes", "answered")] * 20, result)
            await bench.e1.close()
            methods = [call.method for call in bench.store.calls]
            self.assertEqual(["get", "put", "put"], methods)

        virtual_time.run(go())


class WithoutClaim(save_runner.SaveRunner):
    """Runs every save without a claim."""

    async def claim(self, attempt: save_runner.Attempt) -> ledger.Outcome:
        return ledger.Outcome("held")


class LeaseClaim(save_runner.SaveRunner):
    """Takes over a claim after a fixed lease time."""

    async def claim(self, attempt: save_runner.Attempt) -> ledger.Outcome:
        outcome = await self.reserve(attempt)
        while outcome.kind == "pending" and outcome.claim is not None:
            await asyncio.sleep(0.5)
            expired = ledger.Settle(
                attempt.claim.key, outcome.claim.attempt, "not-run"
            )
            with contextlib.suppress(errors.LaurelrockError):
                await self.store.settle(expired)
            outcome = await self.reserve(attempt)
        return outcome


class ResendAfterLostReply(save_runner.SaveRunner):
    """Sends a save again if its reply was lost."""

    async def execute(
        self, attempt: save_runner.Attempt, execute: save_runner.Execute
    ) -> save_runner.Outcome | errors.RefusalError:
        async def twice() -> save_runner.Outcome:
            outcome = await execute()
            return outcome if outcome.ran != "unknown" else await execute()

        return await super().execute(attempt, twice)


class OptimisticClaim(save_runner.SaveRunner):
    """Runs a save although its claim was not confirmed."""

    async def reserve(self, attempt: save_runner.Attempt) -> ledger.Outcome:
        try:
            return await super().reserve(attempt)
        except errors.NotReadyError:
            return ledger.Outcome("held")


class HistoryTest(unittest.TestCase):
    REQUESTS = [
        save_histories.CallerRequest("e1", KEY),
        save_histories.CallerRequest("e2", KEY),
    ]
    MIXED_REQUESTS = [
        *REQUESTS,
        save_histories.CallerRequest("e3", KEY, 0.5),
        save_histories.CallerRequest("e2", KEY, 1.0, b"2"),
        save_histories.CallerRequest("e1", KEY, 1.0, b"1", "d"),
        save_histories.CallerRequest("e1", builders.save_key(1), 0.2),
        save_histories.CallerRequest("e3", builders.save_key(1), 2.5),
        save_histories.CallerRequest("e1", KEY, 6.0),
    ]

    def check_history(
        self,
        asked: list[save_histories.CallerRequest],
        choose: save_histories.ChoiceFunction,
        faults: int,
        kind: type[save_runner.SaveRunner] = save_runner.SaveRunner,
        forwards_claims: bool = False,
    ) -> list[str]:
        def make(
            store: save_runner.ClaimStore, name: str
        ) -> save_runner.SaveRunner:
            made = save_histories.create_saves(store, name)
            return kind(made.store, made.wall_ms, made.new_id)

        simulation = save_histories.Simulation(
            asked, make, choose, faults, forwards_claims
        )
        return save_histories.find_violations(asked, simulation.run())

    def check_every_order(
        self,
        faults: int,
        limit: int,
        kind: type[save_runner.SaveRunner] = save_runner.SaveRunner,
    ) -> tuple[int, list[str]]:
        """Returns the number of histories run and the first violations."""
        count = 0
        found: list[str] = []
        runs = save_histories.explore_histories(
            lambda choose: self.check_history(
                self.REQUESTS, choose, faults, kind
            ),
            limit,
        )
        for found in runs:
            count += 1
            if found:
                break
        return count, found

    def check_seeds(
        self,
        seeds: range,
        kind: type[save_runner.SaveRunner] = save_runner.SaveRunner,
        forwards_claims: bool = False,
    ) -> list[str]:
        """Returns the violations in the first bad history of some seeds."""
        for seed in seeds:
            choose = save_histories.prefer_no_faults(random.Random(seed))
            found = self.check_history(
                self.MIXED_REQUESTS, choose, seed % 12, kind, forwards_claims
            )
            if found:
                return [f"seed {seed}", *found]
        return []

    def test_every_order_with_one_fault(self) -> None:
        count, found = self.check_every_order(1, 20_000)
        self.assertEqual([], found)
        self.assertGreater(count, 1000)
        self.assertLess(count, 20_000)

    def test_seeded_orders_with_many_faults(self) -> None:
        self.assertEqual([], self.check_seeds(range(2000)))

    def test_seeded_orders_with_claims_forwarded_to_owners(self) -> None:
        self.assertEqual(
            [], self.check_seeds(range(1500), forwards_claims=True)
        )

    def test_unsafe_variants_are_detected(self) -> None:
        for kind in (
            WithoutClaim,
            LeaseClaim,
            ResendAfterLostReply,
            OptimisticClaim,
        ):
            with self.subTest(kind.__name__):
                self.assertNotEqual([], self.check_seeds(range(2000), kind))
                self.assertNotEqual(
                    [], self.check_seeds(range(2000), kind, True)
                )


class CheckTest(unittest.TestCase):
    REQUESTS = [
        save_histories.CallerRequest("e1", "k"),
        save_histories.CallerRequest("e2", "k"),
        save_histories.CallerRequest("e2", "k", 0.0, b"2"),
        save_histories.CallerRequest("e2", "k", 0.0, b"1", "d"),
    ]
    RAN_EVENT = save_histories.Event(0, "ran", b"1")
    #: Histories that violate a guarantee.
    BAD_HISTORIES = [
        [RAN_EVENT, save_histories.Event(1, "ran", b"2")],
        [RAN_EVENT, save_histories.Event(0, "ran", b"2")],
        [RAN_EVENT, save_histories.Event(0, "no:not-ready")],
        [save_histories.Event(0, "no:not-ready"), RAN_EVENT],
        [RAN_EVENT, save_histories.Event(1, "replayed", b"2")],
        [RAN_EVENT, save_histories.Event(2, "replayed", b"1")],
        [RAN_EVENT, save_histories.Event(3, "replayed", b"1")],
        [save_histories.Event(1, "replayed", b"1")],
        [save_histories.Event(1, "yes:result-not-kept")],
    ]

    def test_invalid_histories_are_rejected(self) -> None:
        for events in self.BAD_HISTORIES:
            with self.subTest(events=events):
                self.assertTrue(
                    save_histories.find_violations(self.REQUESTS, events)
                )

    def test_valid_history_is_accepted(self) -> None:
        events = [
            save_histories.Event(1, "no:not-ready"),
            self.RAN_EVENT,
            save_histories.Event(0, "answered", b"1"),
            save_histories.Event(1, "replayed", b"1"),
            save_histories.Event(2, "no:key-conflict"),
        ]
        self.assertEqual(
            [], save_histories.find_violations(self.REQUESTS, events)
        )
