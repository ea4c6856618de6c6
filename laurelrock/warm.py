"""Warm: connections opened ahead of the queries that need them.

The owner of a service keeps one connection for each slot and one to spare,
the stand-by keeps one. Health calls over them find silent connections.
"""

import asyncio

from laurelrock import daemon as daemons
from laurelrock import dispatch
from laurelrock import errors
from laurelrock import pools
from laurelrock.adapters import logs
from laurelrock.core import groups
from laurelrock.core import members
from laurelrock.core import ownership
from laurelrock.core import upstreams

__all__ = ["keep_warm"]

#: Between looks at what is owned, in seconds.
LOOK_S = 0.5
#: Between health calls over the connections of a searcher, in seconds.
REFRESH_S = 15.0
#: Longest wait for a health call, in seconds.
HEALTH_TIMEOUT_S = 1.0

_log = logs.get_logger(__name__)


async def keep_warm(
    daemon: daemons.Daemon, dispatcher: dispatch.Dispatcher
) -> None:
    """Opens and refreshes connections until cancelled."""
    loop = asyncio.get_running_loop()
    due_s: dict[tuple[str, int], float] = {}
    held: set[str] = set()
    while True:
        if daemon.manifest is not None:
            dispatcher.adopt(daemon.manifest)
        for channel, count in wanted(daemon, dispatcher):
            key = (channel.upstream.searcher.address, count)
            if due_s.get(key, 0.0) <= loop.time():
                due_s[key] = loop.time() + REFRESH_S
                for _ in range(count):
                    daemon.spawn(check(dispatcher, channel))
        await release(daemon, dispatcher, held)
        for channel in drained(dispatcher, loop.time()):
            daemon.spawn(check(dispatcher, channel))
        await asyncio.sleep(LOOK_S)


def wanted(
    daemon: daemons.Daemon, dispatcher: dispatch.Dispatcher
) -> list[tuple[pools.Channel, int]]:
    """Returns the connections to keep open, by searcher."""
    rows: list[tuple[pools.Channel, int]] = []
    relays = daemon.relays(daemon.settings.vm.region)
    for service, pool in dispatcher.pools.items():
        rank = rank_of(daemon, service, relays)
        for channel in pool.channels[service]:
            upstream = channel.upstream
            if not upstream.takes_work(dispatcher.loop.time()):
                continue
            if rank == 0:
                rows.append((channel, upstream.searcher.slots + 1))
            elif rank == 1:
                rows.append((channel, 1))
    return rows


async def release(
    daemon: daemons.Daemon, dispatcher: dispatch.Dispatcher, held: set[str]
) -> None:
    """Closes the connections to searchers that others own now.

    Args:
        daemon: Process that it runs in.
        dispatcher: With the searchers' channels.
        held: Addresses of the searchers that were owned; updated.
    """
    relays = daemon.relays(daemon.settings.vm.region)
    for service, pool in dispatcher.pools.items():
        owned = rank_of(daemon, service, relays) <= 1
        for channel in pool.channels[service]:
            address = channel.upstream.searcher.address
            if owned:
                held.add(address)
            elif address in held and not channel.upstream.in_flight:
                held.discard(address)
                await channel.client.release()
                _log.info("searcher-released", searcher=address)


def drained(
    dispatcher: dispatch.Dispatcher, now_s: float
) -> list[pools.Channel]:
    """Returns the draining searchers whose health is due."""
    return [
        channel
        for service, pool in dispatcher.pools.items()
        for channel in pool.channels[service]
        if channel.upstream.draining and channel.upstream.recheck_at_s <= now_s
    ]


def rank_of(
    daemon: daemons.Daemon,
    service: groups.Service,
    relays: list[members.Member],
) -> int:
    """Returns 0 where this relay owns a service, 1 for its stand-by."""
    vm = daemon.settings.vm
    key = ownership.service_key(service.application, service.service, vm.region)
    ranked = [relay.vm for relay in ownership.owners(key, relays)]
    return ranked.index(vm.name) if vm.name in ranked else len(ranked)


async def check(
    dispatcher: dispatch.Dispatcher, channel: pools.Channel
) -> None:
    """Makes one health call; a draining searcher gets no new work."""
    upstream = channel.upstream
    now_s = dispatcher.loop.time()
    upstream.recheck_at_s = now_s + upstreams.DRAIN_RECHECK_S
    try:
        state = await channel.client.state(HEALTH_TIMEOUT_S)
    except errors.SearcherError as error:
        dispatcher.counts["health-failed"] += 1
        _log.info("health-failed", code=error.code, reason=error.message)
        return
    if state == "draining":
        upstream.note_draining(dispatcher.loop.time())
    elif upstream.draining:
        upstream.resumed(dispatcher.loop.time())
        _log.info("searcher-resumed", searcher=upstream.searcher.id)
