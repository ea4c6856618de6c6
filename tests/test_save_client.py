"""Tests the save client and relay: when another target is tried."""

import asyncio
import types
import typing
import unittest

import structlog

from laurelrock import errors
from laurelrock import messages
from laurelrock.core import members
from laurelrock.core import replay_window
from laurelrock.saves import save_client
from laurelrock.saves import save_relay
from laurelrock.saves import save_runner
from tests import virtual_time

setUpModule = virtual_time.suppress_logs
tearDownModule = structlog.reset_defaults

SAVE = messages.Save("1", "p", "r", "a", "svc", "k", 1000.0, b"1")
REQUEST = save_runner.Request("r", "a", "c", "k", b"1", 1.0)

OK = {"status": "ok", "ran": True, "result": b"7"}
SHED = {"status": "shed", "ran": False, "retry_after_ms": 9.0}
REFUSED = errors.SearcherError("refused", False)
RESET = errors.SearcherError("reset", True)
CROSSED = errors.SearcherProtocolError("other id", True)


class Bus:
    """Bus that records the messages sent."""

    def __init__(self) -> None:
        self.replies: list[messages.SaveReply] = []
        self.sent: list[tuple[str, typing.Any]] = []
        self.deliver: typing.Any = None

    def reply(self, sender: bytes, message: typing.Any) -> bool:
        self.replies.append(message)
        return True

    def send(self, address: str, message: typing.Any) -> bool:
        return bool(self.deliver(address, message))


class Client:
    """Searcher client with a fixed answer that records its calls."""

    def __init__(
        self, name: str, answer: typing.Any, called: list[str]
    ) -> None:
        self.searcher = types.SimpleNamespace(id=name)
        self.answer = answer
        self.called = called

    async def state(self, timeout_s: float) -> str:
        if self.answer == "no probe":
            raise RESET
        return "ready"

    async def save(
        self, item: typing.Any, timeout_s: float, connect_s: float
    ) -> typing.Any:
        self.called.append(self.searcher.id)
        if self.answer == "unresponsive":
            await asyncio.sleep(timeout_s)
            raise RESET
        if isinstance(self.answer, Exception):
            raise self.answer
        return self.answer


class SaveRelayTest(unittest.TestCase):
    #: Answers of the searchers in order, expected `ran`, number of calls.
    CASES: list[tuple[list[typing.Any], str, int]] = [
        ([OK, OK], "yes", 1),
        ([REFUSED, OK], "yes", 2),
        (["no probe", OK], "yes", 1),
        (["no probe"], "no", 0),
        ([SHED, OK], "yes", 2),
        ([RESET, OK], "unknown", 1),
        ([CROSSED, OK], "unknown", 1),
        (["unresponsive", OK], "unknown", 1),
        ([SHED, RESET, OK], "unknown", 2),
        ([REFUSED, SHED], "no", 2),
        ([REFUSED] * 5, "no", save_relay.MAX_TRIES),
        ([], "no", 0),
    ]

    def relay(
        self, answers: list[typing.Any], called: list[str]
    ) -> save_relay.SaveRelay:
        searchers = [
            types.SimpleNamespace(
                id=f"s{i}", address=f"h{i}", state="live", slots=2
            )
            for i in range(len(answers))
        ]
        application = types.SimpleNamespace(services={"svc": searchers})
        daemon = types.SimpleNamespace(
            bus=Bus(),
            stopping=asyncio.Event(),
            manifest=types.SimpleNamespace(applications={"a": application}),
            settings=types.SimpleNamespace(
                relay=types.SimpleNamespace(connect_timeout_ms=100.0),
                vm=types.SimpleNamespace(address="127.0.0.1"),
            ),
            spawn=lambda work: asyncio.ensure_future(work),
        )
        relay = save_relay.SaveRelay(typing.cast(typing.Any, daemon))
        for searcher, answer in zip(searchers, answers, strict=True):
            client = Client(searcher.id, answer, called)
            relay.upstreams[searcher.id, searcher.address] = (
                save_relay.Upstream(
                    typing.cast(typing.Any, searcher),
                    [typing.cast(typing.Any, client)],
                )
            )
        return relay

    async def send(
        self, answers: list[typing.Any], *sent: messages.Save
    ) -> tuple[list[messages.SaveReply], list[str]]:
        """Returns the replies and the ids of the searchers called."""
        called: list[str] = []
        relay = self.relay(answers, called)
        for save in sent:
            relay.on_save(b"e", save)
        while relay.tasks:
            await asyncio.wait(relay.tasks)
        return typing.cast(Bus, relay.daemon.bus).replies, called

    def test_next_searcher_only_if_save_certainly_did_not_run(self) -> None:
        for answers, ran, calls in self.CASES:
            with self.subTest(answers=answers):
                replies, called = virtual_time.run(self.send(answers, SAVE))
                self.assertEqual([ran], [reply.ran for reply in replies])
                self.assertEqual(calls, len(called))

    def test_connection_closed_or_unresponsive_from_the_start_is_not_run(
        self,
    ) -> None:
        async def go(close: bool) -> messages.SaveReply:
            async def accept(
                reader: asyncio.StreamReader, writer: asyncio.StreamWriter
            ) -> None:
                if close:
                    writer.close()

            server = await asyncio.start_server(accept, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            relay = self.relay([OK], [])
            config = relay.daemon.manifest
            assert config is not None
            [searcher] = config.applications["a"].services["svc"]
            searcher.address = f"127.0.0.1:{port}"
            relay.upstreams.clear()
            deadline_s = asyncio.get_running_loop().time() + 1.0
            reply = await relay.run(SAVE, deadline_s)
            await relay.close()
            server.close()
            return reply

        for close in (True, False):
            with self.subTest(close=close):
                self.assertEqual("no", asyncio.run(go(close)).ran)

    def test_duplicate_message_is_dropped(self) -> None:
        replies, called = virtual_time.run(self.send([OK, OK], SAVE, SAVE))
        self.assertEqual((1, 1), (len(replies), len(called)))

    def test_message_past_its_deadline_is_not_run(self) -> None:
        late = SAVE._replace(time_left_ms=0.0)
        replies, called = virtual_time.run(self.send([OK], late))
        self.assertEqual(("no", []), (replies[0].ran, called))

    def test_leaving_relay_rejects_saves(self) -> None:
        async def go() -> str:
            relay = self.relay([OK], [])
            relay.daemon.stopping.set()
            await relay.answer(b"e", SAVE, 9e9)
            return typing.cast(Bus, relay.daemon.bus).replies[0].reason

        self.assertEqual("relay-leaving", virtual_time.run(go()))


class ReplayWindowTest(unittest.TestCase):
    def test_no_id_is_taken_twice(self) -> None:
        seen = replay_window.ReplayWindow()
        numbers = [*range(2, 3 * replay_window.MAX_IDS, 2), 5, 1]
        taken = [n for n in numbers * 2 if seen.accept(n)]
        self.assertEqual(len(taken), len(set(taken)))
        self.assertLessEqual(len(seen.ids), replay_window.MAX_IDS)

    def test_processes_have_their_own_windows(self) -> None:
        windows = replay_window.ReplayWindows()
        self.assertTrue(windows.accept("p", "1"))
        self.assertTrue(windows.accept("q", "1"))
        self.assertFalse(windows.accept("p", "1"))
        self.assertFalse(windows.accept("p", "x"))


def reply(ran: errors.Ran, reason: str = "") -> messages.SaveReply:
    return messages.SaveReply("", "p", ran, b"7", 0.0, reason)


class SaveClientTest(unittest.TestCase):
    #: Behaviour of the relays in order, expected `ran`, messages sent.
    CASES: list[tuple[list[typing.Any], str, int]] = [
        ([reply("yes")], "yes", 1),
        ([reply("no", "shed"), reply("yes")], "no", 1),
        ([reply("no", "relay-leaving"), reply("yes")], "yes", 2),
        ([reply("no", "unknown-service")] * 2, "no", 2),
        ([reply("unknown"), reply("yes")], "unknown", 1),
        (["full", reply("yes")], "yes", 1),
        (["dead", reply("yes")], "yes", 1),
        (["unresponsive", reply("yes")], "unknown", 1),
        (["late", reply("yes")], "yes", 1),
        (["crossed", reply("yes")], "unknown", 1),
        (["dead", "full"], "no", 0),
        ([], "no", 0),
    ]

    def client(self, script: list[typing.Any]) -> save_client.SaveClient:
        relays = [
            members.Member(f"r{i}", "relay", f"h{i}", "d", "r", "")
            for i in range(len(script))
        ]
        loop = asyncio.get_running_loop()
        coordinator = types.SimpleNamespace(suspects=set(), last_contact_at={})
        coordinator.record_contact = lambda sender: None
        daemon = types.SimpleNamespace(
            bus=Bus(),
            start_id="p",
            relays=lambda region: relays,
            settings=types.SimpleNamespace(
                vm=types.SimpleNamespace(region="r"),
                entry=types.SimpleNamespace(silence_ms=100.0),
            ),
        )
        client = save_client.SaveClient(
            typing.cast(typing.Any, daemon),
            typing.cast(typing.Any, coordinator),
        )
        remaining = iter(script)
        behaviours: dict[str, typing.Any] = {}

        def deliver(address: str, message: typing.Any) -> bool:
            if address not in behaviours:
                behaviours[address] = next(remaining)
            behaviour = behaviours[address]
            if isinstance(message, messages.Ping):
                if behaviour != "dead":
                    loop.call_later(
                        0.001,
                        lambda: coordinator.last_contact_at.update(
                            {address: loop.time()}
                        ),
                    )
                return True
            if behaviour == "full":
                return False
            daemon.bus.sent.append((address, message))
            start_id = "other" if behaviour == "crossed" else "p"
            if behaviour != "unresponsive":
                answer = (
                    behaviour if isinstance(behaviour, tuple) else reply("yes")
                )
                answer = answer._replace(
                    query_id=message.query_id, start_id=start_id
                )
                delay_s = 3.0 if behaviour == "late" else 0.01
                loop.call_later(delay_s, client.on_reply, b"@h", answer)
            return True

        daemon.bus.deliver = deliver
        return client

    def test_next_relay_only_if_save_certainly_did_not_run(
        self,
    ) -> None:
        async def go(script: list[typing.Any]) -> tuple[str, int]:
            client = self.client(script)
            deadline_s = asyncio.get_running_loop().time() + 1.0
            outcome = await client.run(REQUEST, "svc", deadline_s)
            self.assertEqual({}, client.pending_replies)
            return outcome.ran, len(typing.cast(Bus, client.daemon.bus).sent)

        for script, ran, sent in self.CASES:
            with self.subTest(script=script):
                self.assertEqual((ran, sent), virtual_time.run(go(script)))
