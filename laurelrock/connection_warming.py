"""Keeps connections to searchers open before queries need them.

The owner of a service keeps one connection for each slot and one spare
connection; the stand-by keeps one connection. Health calls over these
connections detect unresponsive ones.
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

#: Interval between checks of which services this relay owns.
CHECK_INTERVAL_S = 0.5
#: Interval between health calls over the connections of a searcher.
HEALTH_INTERVAL_S = 15.0
#: Maximum wait for the response to a health call.
HEALTH_TIMEOUT_S = 1.0

_log = logs.get_logger(__name__)


async def keep_warm(
    daemon: daemons.Daemon, dispatcher: dispatch.Dispatcher
) -> None:
    """Opens, checks and closes connections until cancelled."""
    loop = asyncio.get_running_loop()
    due_s: dict[tuple[str, int], float] = {}
    owned_addresses: set[str] = set()
    while True:
        if daemon.manifest is not None:
            dispatcher.apply_manifest(daemon.manifest)
        for channel, count in wanted_connections(daemon, dispatcher):
            key = (channel.upstream.searcher.address, count)
            if due_s.get(key, 0.0) <= loop.time():
                due_s[key] = loop.time() + HEALTH_INTERVAL_S
                for _ in range(count):
                    daemon.spawn(check_health(dispatcher, channel))
        await release_unowned(daemon, dispatcher, owned_addresses)
        for channel in draining_to_recheck(dispatcher, loop.time()):
            daemon.spawn(check_health(dispatcher, channel))
        await asyncio.sleep(CHECK_INTERVAL_S)


def wanted_connections(
    daemon: daemons.Daemon, dispatcher: dispatch.Dispatcher
) -> list[tuple[pools.Channel, int]]:
    """Returns the searchers and the number of connections to keep to each."""
    wanted: list[tuple[pools.Channel, int]] = []
    relays = daemon.relays(daemon.settings.vm.region)
    for service, pool in dispatcher.pools.items():
        rank = ownership_rank(daemon, service, relays)
        for channel in pool.channels[service]:
            upstream = channel.upstream
            if not upstream.accepts_work(dispatcher.loop.time()):
                continue
            if rank == 0:
                wanted.append((channel, upstream.searcher.slots + 1))
            elif rank == 1:
                wanted.append((channel, 1))
    return wanted


async def release_unowned(
    daemon: daemons.Daemon,
    dispatcher: dispatch.Dispatcher,
    owned_addresses: set[str],
) -> None:
    """Closes connections to searchers that other relays own now.

    Args:
        daemon: The process that the relay runs in.
        dispatcher: The dispatcher that holds the searchers' channels.
        owned_addresses: Addresses of the searchers owned so far, updated in
            place.
    """
    relays = daemon.relays(daemon.settings.vm.region)
    for service, pool in dispatcher.pools.items():
        owned = ownership_rank(daemon, service, relays) <= 1
        for channel in pool.channels[service]:
            address = channel.upstream.searcher.address
            if owned:
                owned_addresses.add(address)
            elif address in owned_addresses and not channel.upstream.in_flight:
                owned_addresses.discard(address)
                await channel.client.release()
                _log.info("searcher-released", searcher=address)


def draining_to_recheck(
    dispatcher: dispatch.Dispatcher, now_s: float
) -> list[pools.Channel]:
    """Returns the draining searchers that are due for a health call."""
    return [
        channel
        for service, pool in dispatcher.pools.items()
        for channel in pool.channels[service]
        if channel.upstream.draining and channel.upstream.recheck_at_s <= now_s
    ]


def ownership_rank(
    daemon: daemons.Daemon,
    service: groups.ServiceKey,
    relays: list[members.Member],
) -> int:
    """Returns this relay's rank for a service: 0 owner, 1 stand-by."""
    vm = daemon.settings.vm
    key = ownership.service_key(service.application, service.service, vm.region)
    ranked = [relay.vm for relay in ownership.owners(key, relays)]
    return ranked.index(vm.name) if vm.name in ranked else len(ranked)


async def check_health(
    dispatcher: dispatch.Dispatcher, channel: pools.Channel
) -> None:
    """Makes one health call and updates the searcher's drain state."""
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
        upstream.record_draining(dispatcher.loop.time())
    elif upstream.draining:
        upstream.record_resumed(dispatcher.loop.time())
        _log.info("searcher-resumed", searcher=upstream.searcher.id)
