"""Relay's side of saves.

Calls one searcher for each `Save`. Another searcher is tried only where the
first certainly did not run it: its connection did not answer a probe before
the save was sent on it, or its reply says so. A `Save` seen before is
dropped; one whose time is over is not run.
"""

import asyncio
import collections

import msgspec

from laurelrock import daemon as daemons
from laurelrock import errors
from laurelrock import manifest
from laurelrock import messages
from laurelrock.adapters import logs
from laurelrock.adapters import searcher as searchers
from laurelrock.core import window

__all__ = ["SaveRelay", "create_save_relay"]

#: Searchers tried for one save.
MAX_TRIES = 3
#: Connections to one searcher that saves may open.
MAX_CONNECTIONS = 2
#: Seconds after the deadline for which a searcher's reply is waited for.
LATE_S = 5.0
#: For which an idle connection is kept.
KEEPALIVE_S = 1.0

#: When to come back after a searcher that drains, in milliseconds.
DRAIN_RETRY_MS = 1000.0

_log = logs.get_logger(__name__)


class Upstream:
    """One searcher as the saves of this relay see it.

    Attributes:
        searcher: From the manifest.
        clients: Each calls it on one connection.
        idle: Clients without a call.
        in_flight: Calls in flight or waiting.
    """

    def __init__(
        self,
        searcher: manifest.Searcher,
        clients: list[searchers.HttpSearcher],
    ) -> None:
        self.searcher = searcher
        self.clients = clients
        self.idle: asyncio.LifoQueue[searchers.HttpSearcher]
        self.idle = asyncio.LifoQueue()
        for client in clients:
            self.idle.put_nowait(client)
        self.in_flight = 0


class SaveRelay:
    """Saves of one relay.

    Attributes:
        daemon: Process that they run in.
        upstreams: By searcher id and address.
        windows: Messages seen.
        tasks: Saves in flight.
        outcomes: Count of saves by outcome.
    """

    def __init__(self, daemon: daemons.Daemon) -> None:
        self.daemon = daemon
        self.upstreams: dict[tuple[str, str], Upstream] = {}
        self.windows = window.Windows()
        self.tasks: set[asyncio.Task[None]] = set()
        self.outcomes: collections.Counter[str] = collections.Counter()

    def on_save(self, sender: bytes, save: messages.Save) -> None:
        """Takes a message; one that was seen before gets no reply."""
        if not self.windows.take(save.start_id, save.query_id):
            self.outcomes["duplicate"] += 1
            _log.warning("save-duplicate", request_id=save.request_id)
            return
        until_s = asyncio.get_running_loop().time() + save.time_left_ms / 1000
        task = self.daemon.spawn(self.answer(sender, save, until_s))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def answer(
        self, sender: bytes, save: messages.Save, until_s: float
    ) -> None:
        """Runs a save and replies."""
        if self.daemon.stopping.is_set():
            reply = _reply(save, "no", "relay-leaving")
        else:
            reply = await self.run(save, until_s)
        self.outcomes[reply.reason] += 1
        _log.info(
            "save-outcome",
            request_id=save.request_id,
            ran=reply.ran,
            reason=reply.reason,
        )
        self.daemon.bus.reply(sender, reply)

    async def run(
        self, save: messages.Save, until_s: float
    ) -> messages.SaveReply:
        """Calls searchers until one may have run the save."""
        tried: set[str] = set()
        reply = _reply(save, "no", "unknown-service")
        while len(tried) < MAX_TRIES:
            upstream = self.choose(save, tried)
            if upstream is None:
                break
            tried.add(upstream.searcher.id)
            reply = await self.call(upstream, save, until_s)
            if reply.ran != "no" or reply.reason == "deadline":
                break
        return reply

    def choose(self, save: messages.Save, tried: set[str]) -> Upstream | None:
        """Returns the least loaded searcher that takes new work."""
        config = self.daemon.manifest
        if config is None or save.application not in config.applications:
            return None
        services = config.applications[save.application].services
        candidates = [
            self.upstream(searcher)
            for searcher in services.get(save.service, [])
            if searcher.state == "live" and searcher.id not in tried
        ]
        if not candidates:
            return None
        chosen = min(candidates, key=lambda upstream: upstream.in_flight)
        _log.info(
            "place-save",
            request_id=save.request_id,
            service=save.service,
            chosen=chosen.searcher.id,
            candidates={
                upstream.searcher.id: upstream.in_flight
                for upstream in candidates
            },
        )
        return chosen

    def upstream(self, searcher: manifest.Searcher) -> Upstream:
        """Returns the state of a searcher, opening it on first use."""
        key = (searcher.id, searcher.address)
        if key not in self.upstreams:
            address = self.daemon.settings.vm.address
            clients = [
                searchers.open_searcher(searcher, 1, address, KEEPALIVE_S)
                for _ in range(MAX_CONNECTIONS)
            ]
            self.upstreams[key] = Upstream(searcher, clients)
        return self.upstreams[key]

    async def call(
        self, upstream: Upstream, save: messages.Save, until_s: float
    ) -> messages.SaveReply:
        """Makes the call to one searcher, if its turn comes in time."""
        upstream.in_flight += 1
        try:
            async with asyncio.timeout_at(until_s):
                client = await upstream.idle.get()
        except TimeoutError:
            upstream.in_flight -= 1
            return _reply(save, "no", "deadline")
        try:
            state = await self.probe(client, until_s)
            if state is None:
                return _reply(save, "no", "no-connection")
            if state == "draining":
                return _reply(save, "no", "draining", DRAIN_RETRY_MS)
            left_s = until_s - asyncio.get_running_loop().time()
            if left_s <= 0:
                return _reply(save, "no", "deadline")
            return await self.post(client, save, left_s)
        finally:
            upstream.idle.put_nowait(client)
            upstream.in_flight -= 1

    async def probe(
        self, client: searchers.HttpSearcher, until_s: float
    ) -> str | None:
        """Returns the searcher's state, or None where it does not answer.

        A searcher closes a connection over its limit at once, and an open
        one may be silent; a save sent on either would be unknown.
        """
        left_s = until_s - asyncio.get_running_loop().time()
        limit_s = self.daemon.settings.relay.connect_timeout_ms / 1000
        try:
            return await client.state(min(limit_s, left_s / 2))
        except errors.SearcherError as error:
            _log.warning(
                "save-probe-failed", code=error.code, reason=error.message
            )
            return None

    async def post(
        self,
        client: searchers.HttpSearcher,
        save: messages.Save,
        left_s: float,
    ) -> messages.SaveReply:
        """Makes the call; says "unknown" once any byte may have left."""
        item: searchers.SaveItem = {
            "request_id": save.request_id,
            "start_id": save.start_id,
            "application": save.application,
            "key": save.key,
            "body": msgspec.Raw(save.body),
        }
        connect_s = self.daemon.settings.relay.connect_timeout_ms / 1000
        try:
            result = await client.save(
                item, left_s + LATE_S, min(connect_s, left_s / 2)
            )
        except errors.SearcherError as error:
            _log.warning(
                "save-call-failed",
                request_id=save.request_id,
                code=error.code,
                reason=error.message,
                sent=error.sent,
            )
            ran: errors.Ran = "unknown" if error.sent else "no"
            reason = "no-answer" if error.sent else "no-connection"
            return _reply(save, ran, reason)
        wait_ms = result.get("retry_after_ms", 0.0)
        if not result["ran"]:
            return _reply(save, "no", result["status"], wait_ms)
        raw = bytes(result.get("result", b"null"))
        return _reply(save, "yes", "ok")._replace(result=raw)

    async def close(self) -> None:
        """Finishes the saves in flight and closes the connections."""
        while self.tasks:
            await asyncio.wait(self.tasks)
        for upstream in self.upstreams.values():
            for client in upstream.clients:
                await client.close()


def create_save_relay(daemon: daemons.Daemon) -> SaveRelay:
    """Returns the saves of a relay, connected to its bus."""
    relay = SaveRelay(daemon)
    daemon.bus.on(messages.Save, relay.on_save)
    daemon.metrics.counters(
        "laurelrock_save_calls",
        lambda: dict(relay.outcomes),
        "Saves by outcome at the searchers",
    )
    return relay


def _reply(
    save: messages.Save,
    ran: errors.Ran,
    reason: str,
    retry_after_ms: float = 0.0,
) -> messages.SaveReply:
    return messages.SaveReply(
        query_id=save.query_id,
        start_id=save.start_id,
        ran=ran,
        retry_after_ms=retry_after_ms,
        reason=reason,
    )
