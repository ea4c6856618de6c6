"""Connections opened in advance, and probes of ejected searchers."""

import asyncio
import collections.abc

from laurelrock.adapters import logs
from laurelrock.core import replicas
from laurelrock.gateways import upstreams

__all__ = ["probe", "probe_one", "warm"]

#: Interval in seconds at which ejected searchers are checked.
PROBE_CHECK_INTERVAL_S = 0.1
#: Interval in seconds between connections that are opened in advance.
WARM_INTERVAL_S = 0.02

_log = logs.get_logger(__name__)


async def probe(known: upstreams.Upstreams) -> None:
    """Probes ejected searchers until they can be reached again, forever."""
    loop = asyncio.get_running_loop()
    while True:
        await asyncio.sleep(PROBE_CHECK_INTERVAL_S)
        due = [
            row
            for row in known.by_id.values()
            if replicas.is_probe_due(row.replica, loop.time())
        ]
        if due:
            await asyncio.gather(*[probe_one(known, row) for row in due])


async def probe_one(
    known: upstreams.Upstreams, upstream: upstreams.Upstream
) -> None:
    """Probes an ejected searcher.

    An open connection is enough, unless it was ejected since it ended the
    connections of calls: a proxy in front of it may accept them.
    """
    replica = upstream.replica
    reached = await upstream.client.try_connect() is None
    if reached and replica.lost and known.check_health is not None:
        reached = await known.check_health(known, upstream)
    if reached:
        replica.probe_succeeded = True
        _log.info("searcher-probe-succeeded", searcher=replica.searcher.id)
    else:
        replica.record_no_response(asyncio.get_running_loop().time())


async def warm(
    known: upstreams.Upstreams, names: collections.abc.Iterable[str]
) -> None:
    """Opens a first connection to each searcher of some services."""
    for name in names:
        for upstream in list(known.searchers_of(name)):
            if upstream.replica.evacuated:
                continue
            if not upstream.client.connections:
                upstream.client.preconnect()
                await asyncio.sleep(WARM_INTERVAL_S)
