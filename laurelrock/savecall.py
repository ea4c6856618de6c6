"""Entry's side of the call that runs a save.

Sends a claimed save to the relay that owns its service. Another relay is
asked only where the first certainly did not run it: it never took the
message, showed no sign of life before, or says so in its reply.
"""

import asyncio
import itertools

from laurelrock import daemon as daemons
from laurelrock import messages
from laurelrock import saves
from laurelrock import search
from laurelrock.adapters import logs
from laurelrock.core import members
from laurelrock.core import ownership

__all__ = ["SaveCalls", "create_save_calls"]

#: Relays tried for one save.
MAX_TRIES = 3
#: Seconds within which a relay that was heard counts as alive.
FRESH_S = 0.5
#: Between looks for a relay's sign of life.
LOOK_S = 0.002
#: Seconds after the deadline for which an outcome is still recorded.
LATE_S = 10.0
#: Reasons of a relay after which another one is asked.
OTHER_RELAY = frozenset(["unknown-service", "relay-leaving"])
#: Caller's wait where no relay gave one.
DEFAULT_RETRY_S = 1.0

_log = logs.get_logger(__name__)


class SaveCalls:
    """Saves of one entry that wait for a relay.

    Attributes:
        daemon: Process that they run in.
        searches: Knows which relays are silent.
        waiting: By query id.
        ids: Source of query ids; relays need a counter.
        dropped: Replies that matched no waiting save.
    """

    def __init__(
        self, daemon: daemons.Daemon, searches: search.Searches
    ) -> None:
        self.daemon = daemon
        self.searches = searches
        self.waiting: dict[str, asyncio.Future[messages.SaveReply]] = {}
        self.ids = itertools.count(1)
        self.dropped = 0

    def on_reply(self, sender: bytes, reply: messages.SaveReply) -> None:
        """Hands out a reply; one that matches no save is dropped."""
        self.searches.heard(sender)
        waiting = self.waiting.get(reply.query_id)
        ours = reply.start_id == self.daemon.start_id
        if waiting is None or waiting.done() or not ours:
            self.dropped += 1
            return
        waiting.set_result(reply)

    async def run(
        self, request: saves.Request, service: str, until_s: float
    ) -> saves.Outcome:
        """Runs a claimed save once; see `saves.Execute`."""
        region = self.daemon.settings.vm.region
        key = ownership.service_key(request.application, service, region)
        relays = ownership.owners(key, self.daemon.relays(region))
        relays = [
            relay
            for relay in relays
            if relay.address not in self.searches.suspects
        ]
        for relay in relays[:MAX_TRIES]:
            if not await self.is_alive(relay, until_s):
                continue
            reply = await self.ask(relay, request, service, until_s)
            if reply is None:
                continue
            if reply.ran != "no" or reply.reason not in OTHER_RELAY:
                wait_s = reply.retry_after_ms / 1000 or DEFAULT_RETRY_S
                return saves.Outcome(reply.ran, reply.result, wait_s)
        return saves.Outcome("no", b"", DEFAULT_RETRY_S)

    async def is_alive(self, relay: members.Member, until_s: float) -> bool:
        """Tells whether a relay was heard of late; asks it if need be."""
        loop = asyncio.get_running_loop()
        heard_at = self.searches.heard_at
        asked_s = loop.time()
        if asked_s - heard_at.get(relay.address, -FRESH_S) < FRESH_S:
            return True
        self.daemon.bus.send(relay.address, messages.Ping(self.daemon.start_id))
        silence_s = self.daemon.settings.entry.silence_ms / 1000
        until_s = min(until_s, asked_s + silence_s)
        while loop.time() < until_s:
            await asyncio.sleep(LOOK_S)
            if heard_at.get(relay.address, asked_s) > asked_s:
                return True
        _log.warning("save-relay-silent", relay=relay.address)
        return False

    async def ask(
        self,
        relay: members.Member,
        request: saves.Request,
        service: str,
        until_s: float,
    ) -> messages.SaveReply | None:
        """Sends a save to one relay.

        Returns:
            The reply, or None if the save certainly was not sent. Where no
            reply comes within `LATE_S` of the deadline, one that says
            "unknown"; the caller has been answered by then.
        """
        loop = asyncio.get_running_loop()
        left_s = until_s - loop.time()
        if left_s <= 0:
            return None
        query_id = str(next(self.ids))
        message = messages.Save(
            query_id=query_id,
            start_id=self.daemon.start_id,
            request_id=request.request_id,
            application=request.application,
            service=service,
            key=request.key,
            time_left_ms=left_s * 1000,
            body=request.body,
        )
        waiting = self.waiting[query_id] = loop.create_future()
        try:
            if not self.daemon.bus.send(relay.address, message):
                return None
            _log.info(
                "route-save",
                request_id=request.request_id,
                service=service,
                chosen=relay.address,
                time_left_ms=round(left_s * 1000, 1),
            )
            async with asyncio.timeout_at(until_s + LATE_S):
                return await waiting
        except TimeoutError:
            return messages.SaveReply(query_id, "", "unknown")
        finally:
            del self.waiting[query_id]


def create_save_calls(
    daemon: daemons.Daemon, searches: search.Searches
) -> SaveCalls:
    """Returns the calls of an entry, connected to its bus."""
    calls = SaveCalls(daemon, searches)
    daemon.bus.on(messages.SaveReply, calls.on_reply)
    return calls
