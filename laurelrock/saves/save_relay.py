"""Runs saves on searchers on behalf of entries.

A relay calls one searcher for each `Save` message. Another searcher is tried
only if the first one certainly did not run the save: its connection did not
respond to a probe before the save was sent, or its reply says so. Duplicate
messages are dropped. A save whose deadline has passed is not run.
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
from laurelrock.core import replay_window

__all__ = ["SaveRelay", "create_save_relay"]

#: Maximum number of searchers tried for one save.
MAX_TRIES = 3
#: Maximum number of connections for saves to one searcher.
MAX_CONNECTIONS = 2
#: Time after the deadline for which a searcher's reply is awaited.
LATE_REPLY_S = 5.0
#: Time for which an idle connection is kept open.
KEEPALIVE_S = 1.0

#: Retry delay reported if a searcher is draining.
DRAIN_RETRY_MS = 1000.0

_log = logs.get_logger(__name__)


class Upstream:
    """Connections for saves to one searcher.

    Attributes:
        searcher: The searcher as described by the manifest.
        clients: Clients of the searcher, with one connection each.
        idle: Clients without a call in flight.
        in_flight: Number of calls in flight or waiting for a client.
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
    """Runs the saves that one relay receives.

    Attributes:
        daemon: The process that the relay runs in.
        upstreams: Upstreams by searcher id and address.
        message_ids: Ids of the messages received, to detect duplicates.
        tasks: Tasks of the saves in flight.
        outcomes: Number of saves by outcome.
    """

    def __init__(self, daemon: daemons.Daemon) -> None:
        self.daemon = daemon
        self.upstreams: dict[tuple[str, str], Upstream] = {}
        self.message_ids = replay_window.ReplayWindows()
        self.tasks: set[asyncio.Task[None]] = set()
        self.outcomes: collections.Counter[str] = collections.Counter()

    def on_save(self, sender: bytes, save: messages.Save) -> None:
        """Handles a save message; a duplicate is dropped without a reply."""
        if not self.message_ids.accept(save.start_id, save.query_id):
            self.outcomes["duplicate"] += 1
            _log.warning("save-duplicate", request_id=save.request_id)
            return
        deadline_s = (
            asyncio.get_running_loop().time() + save.time_left_ms / 1000
        )
        task = self.daemon.spawn(self.answer(sender, save, deadline_s))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def answer(
        self, sender: bytes, save: messages.Save, deadline_s: float
    ) -> None:
        """Runs a save and sends the reply."""
        if self.daemon.stopping.is_set():
            reply = _reply(save, "no", "relay-leaving")
        else:
            reply = await self.run(save, deadline_s)
        self.outcomes[reply.reason] += 1
        _log.info(
            "save-outcome",
            request_id=save.request_id,
            ran=reply.ran,
            reason=reply.reason,
        )
        self.daemon.bus.reply(sender, reply)

    async def run(
        self, save: messages.Save, deadline_s: float
    ) -> messages.SaveReply:
        """Tries searchers in turn until one may have run the save."""
        tried: set[str] = set()
        reply = _reply(save, "no", "unknown-service")
        while len(tried) < MAX_TRIES:
            upstream = self.choose(save, tried)
            if upstream is None:
                break
            tried.add(upstream.searcher.id)
            reply = await self.call(upstream, save, deadline_s)
            if reply.ran != "no" or reply.reason == "deadline":
                break
        return reply

    def choose(self, save: messages.Save, tried: set[str]) -> Upstream | None:
        """Returns the least loaded live searcher that was not tried yet."""
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
            "save-placed",
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
        """Returns the upstream of a searcher, creating it on first use."""
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
        self, upstream: Upstream, save: messages.Save, deadline_s: float
    ) -> messages.SaveReply:
        """Calls one searcher once a client is idle, unless that is too late."""
        upstream.in_flight += 1
        try:
            async with asyncio.timeout_at(deadline_s):
                client = await upstream.idle.get()
        except TimeoutError:
            upstream.in_flight -= 1
            return _reply(save, "no", "deadline")
        try:
            state = await self.probe(client, deadline_s)
            if state is None:
                return _reply(save, "no", "no-connection")
            if state == "draining":
                return _reply(save, "no", "draining", DRAIN_RETRY_MS)
            time_left_s = deadline_s - asyncio.get_running_loop().time()
            if time_left_s <= 0:
                return _reply(save, "no", "deadline")
            return await self.post(client, save, time_left_s)
        finally:
            upstream.idle.put_nowait(client)
            upstream.in_flight -= 1

    async def probe(
        self, client: searchers.HttpSearcher, deadline_s: float
    ) -> str | None:
        """Returns the searcher's state, or None if it does not respond.

        A searcher closes connections over its limit at once, and an open
        connection may be unresponsive. A save sent on either kind would have
        an unknown outcome.
        """
        time_left_s = deadline_s - asyncio.get_running_loop().time()
        limit_s = self.daemon.settings.relay.connect_timeout_ms / 1000
        try:
            return await client.state(min(limit_s, time_left_s / 2))
        except errors.SearcherError as error:
            _log.warning(
                "save-probe-failed", code=error.code, reason=error.message
            )
            return None

    async def post(
        self,
        client: searchers.HttpSearcher,
        save: messages.Save,
        time_left_s: float,
    ) -> messages.SaveReply:
        """Sends the save; a failure is "unknown" if any byte may have left."""
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
                item,
                time_left_s + LATE_REPLY_S,
                min(connect_s, time_left_s / 2),
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
        """Waits for the saves in flight and closes the connections."""
        while self.tasks:
            await asyncio.wait(self.tasks)
        for upstream in self.upstreams.values():
            for client in upstream.clients:
                await client.close()


def create_save_relay(daemon: daemons.Daemon) -> SaveRelay:
    """Returns a save relay that receives messages from the daemon's bus."""
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
