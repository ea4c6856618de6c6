"""Answers to callers: their encoding, refusals, counts and log lines."""

import asyncio
import collections

from laurelrock.adapters import http_server
from laurelrock.adapters import logs
from laurelrock.adapters import metrics
from laurelrock.core import answer_schedule
from laurelrock.core import tenancy
from laurelrock.gateways import calls
from laurelrock.gateways import outcomes
from laurelrock.gateways import platform_follower
from laurelrock.gateways.workspaces import cap_accounts
from laurelrock.gateways.workspaces import keys
from laurelrock.gateways.workspaces import request_counts
from laurelrock.ports import header_codec

__all__ = ["CallerAnswers", "create_caller_answers"]

#: Maximum number of missing shards named in a request's log line.
MAX_LOGGED_MISSING = 8
#: Time in seconds after which a refused caller may retry: searchers are back,
#: or another VM has the route, in about this time.
RETRY_AFTER_S = 0.3
#: Time in seconds after which a caller may retry that was refused because the
#: VM has no configuration.
UNCONFIGURED_RETRY_AFTER_S = 0.5
#: Time in seconds after which a caller that a stopping VM refuses may retry;
#: another VM serves it then.
STOPPING_RETRY_AFTER_S = 0.05

#: Name and description of the histogram of latencies.
LATENCY_METRIC = ("laurelrock_request_ms", "Latency of requests by outcome")

_log = logs.get_logger(__name__)


class CallerAnswers:
    """Encodes the answers to callers, counts and logs them.

    Attributes:
        platform: Encodes the headers of answers.
        follower: The configuration and the registry of searchers.
        latency: The histogram of request latencies.
        counts: The number of answers by outcome.
        workspace_counts: The number of requests by workspace and decision.
    """

    def __init__(
        self,
        platform: header_codec.HeaderCodec,
        follower: platform_follower.PlatformFollower,
        meters: metrics.Metrics,
    ) -> None:
        self.platform = platform
        self.follower = follower
        self.latency = meters.histogram(*LATENCY_METRIC)
        self.counts: collections.Counter[str] = collections.Counter()
        self.workspace_counts = request_counts.create_request_counts()
        self.loop = asyncio.get_running_loop()

    def encode(
        self, context: calls.RequestContext, outcome: outcomes.Outcome
    ) -> http_server.Response:
        """Returns the answer to a caller."""
        if outcome.reply is not None:
            reply = outcome.reply
            headers = self.platform.forwarded_headers(reply.headers)
            return http_server.Response(reply.status, headers, reply.body)
        if outcome.status == 200:
            missing = outcome.shards - len(outcome.stamps)
            headers = self.platform.query_response_headers(
                context.caller_headers, list(outcome.stamps), missing
            )
            body = answer_schedule.merge_top_records(
                outcome.bodies, context.route.max_records
            )
            return http_server.Response(200, headers, body)
        headers = self.platform.gateway_response_headers(context.caller_headers)
        if outcome.status == 503:
            wait_s = outcome.retry_after_s or RETRY_AFTER_S
            headers.append(
                outcomes.retry_after_header(wait_s, outcome.resume_in_s)
            )
        return http_server.Response(outcome.status, headers)

    def refuse(
        self,
        caller_headers: header_codec.CallerHeaders,
        status: int,
        reason: str,
        retry_after_s: float = 0,
    ) -> http_server.Response:
        """Refuses a request for which no searcher was called."""
        self.counts[f"refused-{status}"] += 1
        _log.info(
            "request-refused",
            request=caller_headers.request_id.decode("latin-1"),
            status=status,
            reason=reason,
            **self.decision_inputs(),
        )
        headers = self.platform.gateway_response_headers(caller_headers)
        if retry_after_s:
            headers.append(outcomes.retry_after_header(retry_after_s))
        return http_server.Response(status, headers)

    def refuse_key(
        self, caller_headers: header_codec.CallerHeaders
    ) -> http_server.Response:
        """Refuses a request without a known key.

        A VM whose configuration may be old can't tell that a key is unknown.
        """
        if self.follower.may_be_outdated(keys.MAX_CONFIGURATION_AGE_S):
            return self.refuse(
                caller_headers,
                503,
                "unknown key, but the configuration may be old",
                UNCONFIGURED_RETRY_AFTER_S,
            )
        _log.info(
            "key-refused",
            request=caller_headers.request_id.decode("latin-1"),
            version=self.follower.version,
        )
        return self.refuse(caller_headers, 401, "unknown key")

    def refuse_cap(
        self,
        caller_headers: header_codec.CallerHeaders,
        workspace: tenancy.Workspace,
        admission: cap_accounts.Admission,
    ) -> http_server.Response:
        """Refuses a request above its workspace's cap.

        The time until the caller's turn isn't randomized: turns differ.
        """
        self.counts["refused-429"] += 1
        self.workspace_counts.record_decision(workspace.name, "cap-refused")
        _log.info(
            "cap-refused",
            request=caller_headers.request_id.decode("latin-1"),
            workspace=workspace.name,
            retry_after_ms=round(admission.retry_after_s * 1000),
            keeper=admission.keeper,
            **self.decision_inputs(),
        )
        headers = self.platform.gateway_response_headers(caller_headers)
        headers.append(outcomes.exact_retry_header(admission.retry_after_s))
        return http_server.Response(429, headers)

    def decision_inputs(self) -> dict[str, int | None]:
        """Returns the state that decisions rest on, with its age, for logs."""
        known = self.follower
        age_s = self.loop.time() - known.applied_s
        return {
            "version": known.version,
            "configured_ms": round(age_s * 1000) if known.table else None,
            "searchers_age_ms": known.age_ms(),
        }

    def record_outcome(
        self, context: calls.RequestContext, outcome: outcomes.Outcome
    ) -> None:
        """Counts and logs the end of a request."""
        self.counts[outcome.kind] += 1
        if context.workspace:
            self.workspace_counts.record_decision(
                context.workspace,
                "overload-refused" if outcome.overloaded else "admitted",
            )
        self.follower.evacuations.record_refusal(outcome.reason)
        elapsed_s = self.loop.time() - context.request.received_s
        self.latency.record(elapsed_s * 1000, {"outcome": outcome.kind})
        _log.info(
            "request",
            request=context.caller_headers.request_id.decode("latin-1"),
            route=context.route.name,
            outcome=outcome.kind,
            status=outcome.status,
            ms=round(elapsed_s * 1000, 1),
            before_ms=round(
                (context.request.received_s - context.request.caller_start_s)
                * 1000,
                1,
            ),
            patience_ms=round(
                (context.end_s - context.request.received_s) * 1000
            ),
            shards=outcome.shards,
            included=len(outcome.stamps),
            missing=outcome.missing[:MAX_LOGGED_MISSING],
            enough_ms=(
                round((outcome.enough_s - context.request.received_s) * 1000, 1)
                if outcome.enough_s
                else None
            ),
            attempts=outcome.attempts,
            reason=outcome.reason,
            **{**self.decision_inputs(), "version": context.version},
        )


def create_caller_answers(
    platform: header_codec.HeaderCodec,
    follower: platform_follower.PlatformFollower,
    meters: metrics.Metrics,
) -> CallerAnswers:
    """Returns the state without answers."""
    return CallerAnswers(platform, follower, meters)
