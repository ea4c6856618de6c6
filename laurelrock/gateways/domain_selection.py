"""Chooses searchers for parts, in this failure domain or another."""

import asyncio
import collections.abc
import random
import typing

from laurelrock.adapters import logs
from laurelrock.core import domain_choice
from laurelrock.core import event_rate
from laurelrock.gateways import upstreams

if typing.TYPE_CHECKING:
    from laurelrock.gateways import parts

__all__ = ["DomainSelection", "create_domain_selection"]

#: Time constant of the rate of parts, in seconds: long enough for a mean over
#: the parts of several queries, and short compared to a burst.
RATE_TIME_CONSTANT_S = 1.0
#: Weight of a new value in the moving average of the size of answers.
SIZE_WEIGHT = 0.05
#: Maximum number of rates and sizes beyond those of the configuration; above
#: it, those of services and routes that are gone are dropped.
MAX_STALE = 64

#: Maximum age of a load report in logs, in seconds. It is infinite if there was
#: none.
MAX_LOGGED_AGE_S = 60.0

_log = logs.get_logger(__name__)

Rows = collections.abc.Sequence[upstreams.Upstream]


class DomainSelection:
    """Chooses searchers for parts.

    Attributes:
        known: The searchers.
        price_per_mb: Price of traffic between failure domains, in objectives
            per MB.
        rates: The rates at which parts need a service, by service.
        answer_bytes: Moving average of the size of an answer, by route.
        counts: The number of decisions by kind, for the metrics.
        random: Draws the parts that leave.
    """

    def __init__(
        self,
        known: upstreams.Upstreams,
        counts: dict[str, int],
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self.known = known
        self.loop = loop
        self.price_per_mb = 0.0
        self.rates: dict[str, event_rate.EventRate] = {}
        self.answer_bytes: dict[str, float] = {}
        self.counts = counts
        self.counts |= {"stayed": 0, "left": 0, "came-back": 0}
        self.random = random.Random()

    def record_part(self, service: str) -> None:
        """Records a part that needs a service."""
        if not self.known.weighs_domains:
            return
        if service not in self.rates:
            if len(self.rates) > len(self.known.services) + MAX_STALE:
                self.rates.clear()
            self.rates[service] = event_rate.create_event_rate(
                RATE_TIME_CONSTANT_S
            )
        self.rates[service].record(self.loop.time())

    def record_answer(self, route: str, size: int) -> None:
        """Records the size of an answer, in bytes."""
        if not self.known.weighs_domains:
            return
        mean = self.answer_bytes.get(route)
        if mean is None:
            if len(self.answer_bytes) > MAX_STALE:
                self.answer_bytes.clear()
            self.answer_bytes[route] = size
            return
        self.answer_bytes[route] = mean + SIZE_WEIGHT * (size - mean)

    def create_inputs(self, part: "parts.Part") -> domain_choice.Inputs:
        """Returns what the choice for a part depends on."""
        context, now_s = part.context, self.loop.time()
        request, route = context.request, context.route
        if part.draw is None:
            part.draw = self.random.random()
        answer_bytes = self.answer_bytes.get(route.name, 0.0)
        size = len(context.head) + len(request.body) + answer_bytes
        rate = self.rates.get(part.service)
        callers, domains = self.known.callers(part.service), self.known.domains
        return domain_choice.Inputs(
            request.caller_start_s
            + route.objective_s
            - request.response_delay_s
            - now_s,
            context.end_s - now_s,
            route.objective_s,
            size / 1e6,
            self.price_per_mb,
            domain_choice.parts_deciding(
                rate.per_s(now_s) if rate else 0.0, callers, domains
            ),
            domain_choice.callers_deciding(callers, domains),
            part.draw,
        )

    def choose(self, part: "parts.Part", rows: Rows) -> upstreams.Upstream:
        """Returns the searcher that is called for a part."""
        by_replica = {row.replica: row for row in rows}
        route = part.context.route
        if not self.known.weighs_domains:
            nearby = domain_choice.choose_nearby(
                list(by_replica),
                self.known.typical_latencies[route.name],
                self.known.is_local,
                lambda replica: bool(by_replica[replica].client.idle),
                route.objective_s,
                self.loop.time(),
            )
            return by_replica[nearby]
        inputs = self.create_inputs(part)
        selection = domain_choice.choose_searcher(
            list(by_replica),
            self.known.typical_latencies[route.name],
            self.known.is_local,
            lambda replica: bool(by_replica[replica].client.idle),
            inputs,
            self.loop.time(),
        )
        self.record_selection(part, selection, inputs)
        return by_replica[selection.replica]

    def record_selection(
        self,
        part: "parts.Part",
        selection: domain_choice.Selection,
        inputs: domain_choice.Inputs,
    ) -> None:
        """Counts a choice, and logs it if the part leaves."""
        if selection.choice.remote is None:
            self.counts["came-back" if part.left_domain else "stayed"] += 1
            return
        part.left_domain = True
        self.counts["left"] += 1
        if not any(
            self.known.is_local(row.replica)
            for row in self.known.searchers_of(part.service)
        ):
            # There is nothing to choose, and this is the case for all parts of
            # the service.
            return
        request_id = part.context.caller_headers.request_id
        _log.info(
            "part-left-domain",
            request=request_id.decode("latin-1"),
            service=part.service,
            searcher=selection.replica.searcher.id,
            reason=selection.choice.reason,
            share=round(selection.choice.share, 3),
            deciding=round(inputs.deciding, 1),
            callers=round(inputs.callers, 1),
            left_ms=round(inputs.left_s * 1000, 1),
            deadline_left_ms=round(inputs.deadline_left_s * 1000),
            price=round(inputs.price, 4),
            size_bytes=round(inputs.size_mb * 1e6),
            local=describe(selection.local),
            remote=describe(selection.remote),
        )

    def is_hedge_useful(self, part: "parts.Part", rows: Rows) -> bool:
        """Returns whether a part may be hedged at one of some searchers."""
        if not self.known.weighs_domains or any(
            self.known.is_local(row.replica) for row in rows
        ):
            return True
        now_s = self.loop.time()
        typical = self.known.typical_latencies[part.context.route.name]
        sides = [
            domain_choice.create_side(
                row.replica, typical, lambda _: True, now_s
            )
            for row in rows
        ]
        return domain_choice.is_hedge_useful(sides, self.create_inputs(part))


def describe(side: domain_choice.Side | None) -> dict[str, float] | None:
    """Returns what is expected of a searcher, for logs."""
    if side is None:
        return None
    return {
        "latency_ms": round(side.latency_s * 1000, 1),
        "spread_ms": round(side.spread_s * 1000, 1),
        "ahead": side.ahead,
        "slots": side.slots,
        "own": side.own,
        "full_ms": round(side.full_s * 1000, 1),
        "age_ms": round(min(side.age_s, MAX_LOGGED_AGE_S) * 1000),
    }


def create_domain_selection(
    known: upstreams.Upstreams,
    counts: dict[str, int],
    loop: asyncio.AbstractEventLoop,
) -> DomainSelection:
    """Returns the selection with a price of 0.

    Args:
        known: The searchers.
        counts: The counts to which those of the decisions are added.
        loop: The event loop, for its time.
    """
    return DomainSelection(known, counts, loop)
