"""Sends claimed saves from an entry to relays.

A save goes to the relay that owns its service. Another relay is tried only if
the first one certainly did not run the save: the message was not accepted for
sending, the relay did not respond to a ping before, or its reply says so.
"""

import asyncio
import itertools

from laurelrock import daemon as daemons
from laurelrock import messages
from laurelrock import search
from laurelrock.adapters import logs
from laurelrock.core import members
from laurelrock.core import ownership
from laurelrock.saves import save_runner

__all__ = ["SaveClient", "create_save_client"]

#: Maximum number of relays tried for one save.
MAX_TRIES = 3
#: Time after its last message for which a relay counts as alive.
RECENT_CONTACT_S = 0.5
#: Interval between checks for the reply to a ping.
POLL_INTERVAL_S = 0.002
#: Time after the deadline for which a reply is still awaited, so that the
#: outcome can be recorded.
LATE_REPLY_S = 10.0
#: Reply reasons after which another relay is tried.
NEXT_RELAY_REASONS = frozenset(["unknown-service", "relay-leaving"])
#: Retry delay reported to a caller if no relay reported one.
DEFAULT_RETRY_AFTER_S = 1.0

_log = logs.get_logger(__name__)


class SaveClient:
    """Sends the saves of one entry to relays.

    Attributes:
        daemon: The process that the client runs in.
        coordinator: Search coordinator, which tracks suspected relays.
        pending_replies: Futures of the awaited replies by query id.
        query_ids: Counter that generates query ids; relays detect duplicate
            messages by these increasing numbers.
        dropped: Number of replies that matched no waiting save.
    """

    def __init__(
        self, daemon: daemons.Daemon, coordinator: search.SearchCoordinator
    ) -> None:
        self.daemon = daemon
        self.coordinator = coordinator
        self.pending_replies: dict[str, asyncio.Future[messages.SaveReply]] = {}
        self.query_ids = itertools.count(1)
        self.dropped = 0

    def on_reply(self, sender: bytes, reply: messages.SaveReply) -> None:
        """Delivers a reply, or drops it if no save waits for it."""
        self.coordinator.record_contact(sender)
        pending = self.pending_replies.get(reply.query_id)
        addressed_here = reply.start_id == self.daemon.start_id
        if pending is None or pending.done() or not addressed_here:
            self.dropped += 1
            return
        pending.set_result(reply)

    async def run(
        self, request: save_runner.Request, service: str, deadline_s: float
    ) -> save_runner.Outcome:
        """Sends a claimed save and returns its outcome.

        Implements `save_runner.Execute`.
        """
        region = self.daemon.settings.vm.region
        key = ownership.service_key(request.application, service, region)
        relays = ownership.owners(key, self.daemon.relays(region))
        relays = [
            relay
            for relay in relays
            if relay.address not in self.coordinator.suspects
        ]
        for relay in relays[:MAX_TRIES]:
            if not await self.is_alive(relay, deadline_s):
                continue
            reply = await self.send_save(relay, request, service, deadline_s)
            if reply is None:
                continue
            if reply.ran != "no" or reply.reason not in NEXT_RELAY_REASONS:
                wait_s = reply.retry_after_ms / 1000 or DEFAULT_RETRY_AFTER_S
                return save_runner.Outcome(reply.ran, reply.result, wait_s)
        return save_runner.Outcome("no", b"", DEFAULT_RETRY_AFTER_S)

    async def is_alive(self, relay: members.Member, deadline_s: float) -> bool:
        """Returns whether a relay is alive, pinging it if necessary."""
        loop = asyncio.get_running_loop()
        last_contact_at = self.coordinator.last_contact_at
        pinged_s = loop.time()
        if (
            pinged_s - last_contact_at.get(relay.address, -RECENT_CONTACT_S)
            < RECENT_CONTACT_S
        ):
            return True
        self.daemon.bus.send(relay.address, messages.Ping(self.daemon.start_id))
        silence_s = self.daemon.settings.entry.silence_ms / 1000
        deadline_s = min(deadline_s, pinged_s + silence_s)
        while loop.time() < deadline_s:
            await asyncio.sleep(POLL_INTERVAL_S)
            if last_contact_at.get(relay.address, pinged_s) > pinged_s:
                return True
        _log.warning("save-relay-silent", relay=relay.address)
        return False

    async def send_save(
        self,
        relay: members.Member,
        request: save_runner.Request,
        service: str,
        deadline_s: float,
    ) -> messages.SaveReply | None:
        """Sends a save to one relay.

        Returns:
            The reply, or None if the save certainly was not sent. If no
            reply arrives within `LATE_REPLY_S` after the deadline, a reply
            that says "unknown"; the caller has been answered by then.
        """
        loop = asyncio.get_running_loop()
        time_left_s = deadline_s - loop.time()
        if time_left_s <= 0:
            return None
        query_id = str(next(self.query_ids))
        message = messages.Save(
            query_id=query_id,
            start_id=self.daemon.start_id,
            request_id=request.request_id,
            application=request.application,
            service=service,
            key=request.key,
            time_left_ms=time_left_s * 1000,
            body=request.body,
        )
        pending = self.pending_replies[query_id] = loop.create_future()
        try:
            if not self.daemon.bus.send(relay.address, message):
                return None
            _log.info(
                "save-routed",
                request_id=request.request_id,
                service=service,
                chosen=relay.address,
                time_left_ms=round(time_left_s * 1000, 1),
            )
            async with asyncio.timeout_at(deadline_s + LATE_REPLY_S):
                return await pending
        except TimeoutError:
            return messages.SaveReply(query_id, "", "unknown")
        finally:
            del self.pending_replies[query_id]


def create_save_client(
    daemon: daemons.Daemon, coordinator: search.SearchCoordinator
) -> SaveClient:
    """Returns a save client that receives replies from the daemon's bus."""
    client = SaveClient(daemon, coordinator)
    daemon.bus.on(messages.SaveReply, client.on_reply)
    return client
