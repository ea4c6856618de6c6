"""Runs groups of shards that other VMs ask this one for."""

import asyncio

from laurelrock.adapters import http_server
from laurelrock.core import answer_schedule
from laurelrock.core import routes
from laurelrock.gateways import calls
from laurelrock.gateways import group_messages
from laurelrock.gateways import parts
from laurelrock.gateways import trials
from laurelrock.ports import header_codec

__all__ = ["GroupRun", "create_context"]


class GroupRun:
    """The run of one group for another VM.

    Attributes:
        placement: Makes the calls.
        link: The connection to the VM that asked.
        group_request: The message that asked for the group.
        context: The request of the group.
        due_s: The loop time at which the first result is sent.
        group_parts: The parts of the group.
        sent: The services whose parts were already sent.
        changed: Set when a part changed.
    """

    def __init__(
        self,
        placement: parts.CallPlacer,
        link: group_messages.Link,
        group_request: group_messages.GroupRequest,
        context: calls.RequestContext,
        due_s: float,
    ) -> None:
        self.placement = placement
        self.loop = placement.calls.loop
        self.link = link
        self.group_request = group_request
        self.context = context
        self.due_s = due_s
        self.changed = asyncio.Event()
        self.group_parts = [
            parts.create_part(context, service, self.record_finished)
            for service in group_request.services
        ]
        self.sent: set[str] = set()

    def record_finished(self, part: parts.Part) -> None:
        """Wakes `run` after a part ended."""
        self.changed.set()

    @property
    def pending(self) -> int:
        """The number of parts that may still complete."""
        return sum(
            1 for row in self.group_parts if row.state is parts.PartState.OPEN
        )

    def abandon(self) -> None:
        """Abandons the parts, since their answers are no longer needed."""
        now_s = self.loop.time()
        for part in self.group_parts:
            part.abandon(now_s)
        self.placement.end_request(self.context)

    async def run(self) -> None:
        """Calls the searchers and sends the results."""
        placement = self.placement
        loop = self.loop
        placement.begin_request(self.context)
        for part in self.group_parts:
            if not placement.start(part):
                part.reason = placement.no_searcher_reason(part)
                part.finish(parts.PartState.FAILED)
        typical = placement.known.typical_latencies[self.group_request.route]
        next_check_s = loop.time() + typical.late_after_s
        while True:
            now_s = loop.time()
            if not self.pending or now_s >= self.due_s:
                self.send()
            if not self.pending or now_s >= self.context.end_s:
                return
            if now_s >= next_check_s:
                next_check_s = parts.hedge_late_parts(
                    self.group_parts, placement, typical, now_s
                )
            self.changed.clear()
            wake_s = min(next_check_s, self.context.end_s)
            if now_s < self.due_s:
                wake_s = min(wake_s, self.due_s)
            timer = loop.call_at(wake_s, self.changed.set)
            await self.changed.wait()
            timer.cancel()

    def send(self) -> None:
        """Sends the parts that completed since the last time."""
        new_parts = [
            row
            for row in self.group_parts
            if row.answer is not None and row.service not in self.sent
        ]
        if not new_parts and self.pending:
            return
        again, attempts_left = self.count_again()
        self.sent |= {row.service for row in new_parts}
        answers = [row.answer for row in new_parts if row.answer is not None]
        bodies = [row.reply.body for row in answers if row.reply is not None]
        self.link.send(
            group_messages.GroupResult(
                self.group_request.number,
                [self.group_parts.index(row) for row in new_parts],
                [row.stamp for row in answers],
                answer_schedule.merge_top_records(
                    bodies, self.group_request.max_records
                ),
                self.pending,
                sum(row.attempts for row in self.group_parts),
                self.placement.known.leaving(self.group_request.services),
                again,
                attempts_left,
            )
        )

    def count_again(self) -> tuple[tuple[int, ...], int]:
        """Returns the parts that another VM may run, and the attempts left.

        There are none unless this VM has lost all searchers.
        """
        if self.pending or not self.placement.known.isolated:
            return (), 0
        limit = self.group_request.attempts
        again = {
            place: row.attempts
            for place, row in enumerate(self.group_parts)
            if row.answer is None and row.attempts < limit
        }
        return tuple(again), limit - max(again.values(), default=limit)


def create_context(
    platform: header_codec.HeaderCodec,
    group_request: group_messages.GroupRequest,
    now_s: float,
) -> calls.RequestContext:
    """Returns the request in a message that arrived at a loop time."""
    request = http_server.Request(
        group_request.method,
        group_request.target,
        group_request.headers,
        group_request.body,
        now_s,
        now_s,
        0.0,
    )
    caller_headers = header_codec.CallerHeaders(
        group_request.request_id, group_request.remaining_s
    )
    route = routes.Route(
        name=group_request.route,
        host="",
        prefix="",
        idempotent=group_request.idempotent,
        timeout_s=group_request.remaining_s,
        objective_s=group_request.due_in_s,
        priority=group_request.priority,
        shards=() if group_request.single else group_request.services,
        attempts=group_request.attempts,
        max_records=group_request.max_records,
        regions=group_request.regions,
    )
    head = platform.encode_common_headers(group_request.headers, caller_headers)
    end_s = now_s + group_request.remaining_s
    return calls.RequestContext(
        *(request, caller_headers, route, group_request.version, head, end_s),
        fingerprint=calls.fingerprint_of(request, group_request.workspace),
        trial=trials.create_trial(),
        workspace=group_request.workspace,
    )
