"""Finds out whether this VM reaches any searcher, by requests for their health.

An accepted connection would not show that: a proxy on the way may accept it.
"""

import asyncio
import collections.abc
import random

from laurelrock import errors
from laurelrock.adapters import http_client
from laurelrock.adapters import http_wire
from laurelrock.core import replicas
from laurelrock.gateways import upstreams

__all__ = ["reaches_any", "request_health"]

#: Number of searchers that are asked at a time.
CHECKS = 4
#: Time in seconds in which a searcher has to respond: longer than its pauses.
TIMEOUT_S = 0.25


async def reaches_any(
    known: upstreams.Upstreams, without: collections.abc.Container[str] = ()
) -> bool:
    """Requests the health of a few searchers.

    Those that responded to their last calls are preferred.

    Args:
        known: The searchers.
        without: Services whose searchers aren't asked.

    Returns:
        Whether one of them responds, or there is none to ask.
    """
    now_s = asyncio.get_running_loop().time()
    # The path of the health of other services is unknown.
    rows = [
        row
        for row in known.by_id.values()
        if row.searcher.service in known.services
        and row.searcher.service not in without
        and replicas.stays(row.replica)
        and (row.replica.cold is None or not row.replica.cold.wait_s(now_s))
    ]
    responding = [row for row in rows if not row.replica.unanswered]
    rows = responding or rows
    chosen = random.sample(rows, min(CHECKS, len(rows)))
    found = await asyncio.gather(*[responds(known, row) for row in chosen])
    for row in chosen:
        # Searchers that other VMs call have no connection to spare.
        if not row.replica.call_count:
            row.client.drop_idle()
    return not chosen or any(found)


async def responds(
    known: upstreams.Upstreams, upstream: upstreams.Upstream
) -> bool:
    """Requests a searcher's health; returns whether it responds at all."""
    return await request_health(known, upstream) is not None


async def request_health(
    known: upstreams.Upstreams, upstream: upstreams.Upstream
) -> http_client.Reply | None:
    """Requests a searcher's health; returns None if there is no response.

    The request counts within the limit of a cold searcher.
    """
    searcher = upstream.searcher
    path = known.service(searcher.service).health_path.encode()
    head = "host: {}:{}\r\n".format(*searcher.address).encode()
    raw = http_wire.encode_request(b"GET", path, head, b"")
    cold = upstream.replica.cold
    if cold is not None:
        cold.take(asyncio.get_running_loop().time())
        cold.waiting += 1
    call = upstream.client.call(lambda: raw, lambda status, headers: True)
    try:
        async with asyncio.timeout(TIMEOUT_S):
            return await call.future
    except (TimeoutError, errors.LaurelrockError):
        return None
    finally:
        call.abort()
        if cold is not None:
            cold.waiting -= 1
