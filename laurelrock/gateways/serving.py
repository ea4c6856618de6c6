"""Serving: a group of shards that this VM calls for another one."""

import asyncio

from laurelrock.adapters import http_server
from laurelrock.core import gathering
from laurelrock.core import routes
from laurelrock.gateways import calls
from laurelrock.gateways import parts
from laurelrock.gateways import questions
from laurelrock.ports import wire

__all__ = ["GroupRun", "create_work"]


class GroupRun:
    """A group that this VM works on.

    Attributes:
        placement: Places the calls.
        link: To the VM that asked.
        ask: Its question.
        work: The request of the group.
        aim_s: Loop time at which what is in is sent.
        rows: Parts.
        sent: Parts already sent, by service.
        changed: Set when a part changed.
    """

    def __init__(
        self,
        placement: parts.Placement,
        link: questions.Link,
        ask: questions.GroupRequest,
        work: calls.Work,
    ) -> None:
        self.placement = placement
        self.loop = placement.calls.loop
        self.link = link
        self.ask = ask
        self.work = work
        self.due_s = work.request.received_s + ask.due_in_s
        self.changed = asyncio.Event()
        self.group_parts = [
            parts.create_part(work, service, self.note_finished)
            for service in ask.services
        ]
        self.sent: set[str] = set()

    def note_finished(self, part: parts.Part) -> None:
        self.changed.set()

    @property
    def pending(self) -> int:
        """Parts that may still come."""
        return sum(
            1 for row in self.group_parts if row.state is parts.PartState.OPEN
        )

    def abandon(self) -> None:
        """Ends the calls that nobody waits for."""
        now_s = self.loop.time()
        for part in self.group_parts:
            part.abandon(now_s)

    async def run(self) -> None:
        """Calls the searchers and sends what comes in."""
        placement = self.placement
        loop = self.loop
        for part in self.group_parts:
            if not placement.start(part):
                part.reason = "no searcher"
                part.finish(parts.PartState.FAILED)
        typical = placement.known.typical_latencies[self.ask.route]
        look_s = loop.time() + typical.late_s
        while True:
            now_s = loop.time()
            if not self.pending or now_s >= self.due_s:
                self.send()
            if not self.pending or now_s >= self.work.end_s:
                return
            if now_s >= look_s:
                look_s = parts.hedge_late_parts(
                    self.group_parts, placement, typical, now_s
                )
            self.changed.clear()
            wake_s = min(look_s, self.work.end_s)
            if now_s < self.due_s:
                wake_s = min(wake_s, self.due_s)
            timer = loop.call_at(wake_s, self.changed.set)
            await self.changed.wait()
            timer.cancel()

    def send(self) -> None:
        """Sends the parts that came in since the last time."""
        fresh = [
            row
            for row in self.group_parts
            if row.answer is not None and row.service not in self.sent
        ]
        if not fresh and self.pending:
            return
        self.sent |= {row.service for row in fresh}
        answers = [row.answer for row in fresh if row.answer is not None]
        bodies = [row.reply.body for row in answers if row.reply is not None]
        self.link.send(
            questions.GroupResult(
                self.ask.number,
                [self.group_parts.index(row) for row in fresh],
                [row.proof for row in answers],
                gathering.greatest(bodies, self.ask.top),
                self.pending,
                sum(row.attempts for row in self.group_parts),
            )
        )


def create_work(
    platform: wire.Wire, ask: questions.GroupRequest, now_s: float
) -> calls.Work:
    """Returns the request of a question that came at a loop time."""
    request = http_server.Request(
        ask.method, ask.target, ask.headers, ask.body, now_s, now_s, 0.0
    )
    ticket = wire.Ticket(ask.request_id, ask.remaining_s)
    route = routes.Route(
        name=ask.route,
        host="",
        prefix="",
        repeatable=ask.repeatable,
        timeout_s=ask.remaining_s,
        objective_s=ask.due_in_s,
        shards=ask.services,
        attempts=ask.attempts,
        top=ask.top,
    )
    head = platform.encode_head(ask.headers, ticket)
    end_s = now_s + ask.remaining_s
    return calls.Work(request, ticket, route, ask.version, head, end_s)
