"""Runs the entry role, which serves the HTTP API to callers.

The endpoints are described in docs/API.md.
"""

import asyncio
import collections
import collections.abc
import math
import time
import typing
import uuid

import msgspec
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from laurelrock import admission_control
from laurelrock import callers
from laurelrock import daemon as daemons
from laurelrock import errors
from laurelrock import search
from laurelrock import settings
from laurelrock.adapters import asgi_server
from laurelrock.adapters import logs
from laurelrock.core import query as queries
from laurelrock.saves import claim_forwarding
from laurelrock.saves import save_client
from laurelrock.saves import save_runner

__all__ = ["run"]

_log = logs.get_logger(__name__)

#: Handles a request, given its request id, and returns the response body.
Endpoint = collections.abc.Callable[
    [requests.Request, str], collections.abc.Awaitable[typing.Any]
]


class Entry:
    """State of the entry role.

    Attributes:
        daemon: The process that the role runs in.
        coordinator: Coordinator of search queries.
        saves: Runs each save at most once.
        save_client: Client that sends claimed saves to relays.
        admission: Admission limits of the applications.
        in_flight: Number of requests being processed.
        answers: Number of answers by kind or error code.
        latency: Histogram of response times in milliseconds.
    """

    def __init__(
        self, daemon: daemons.Daemon, coordinator: search.SearchCoordinator
    ) -> None:
        self.daemon = daemon
        self.coordinator = coordinator
        self.saves = claim_forwarding.create_save_runner(daemon)
        self.save_client = save_client.create_save_client(daemon, coordinator)
        self.admission = admission_control.create_admission(daemon)
        self.in_flight = 0
        self.answers: collections.Counter[str] = collections.Counter()
        self.latency = daemon.metrics.histogram(
            "laurelrock_answer_ms", "Time to answer callers"
        )


async def run(options: settings.Settings) -> None:
    """Runs an entry until SIGTERM, then shuts it down gracefully."""
    daemon = await daemons.open_daemon(options, "entry")
    entry = Entry(daemon, search.create_coordinator(daemon))
    _register_metrics(entry)
    vm = options.vm
    server = asgi_server.create_server(
        create_app(entry), vm.address, options.entry.http_port
    )
    admin = daemons.create_admin_server(daemon)
    serving = daemon.spawn(server.serve())
    admin_serving = daemon.spawn(admin.serve())
    daemon.spawn(watch_readiness(entry))
    stopping = daemon.spawn(daemon.stopping.wait())
    try:
        await asyncio.wait(
            [serving, admin_serving, stopping],
            return_when=asyncio.FIRST_COMPLETED,
        )
        if daemon.stopping.is_set():
            daemon.members.leave()
            daemon.ready = False
            _log.info("shutdown-begins", in_flight=entry.in_flight)
            await asyncio.sleep(options.entry.shutdown_notice_ms / 1000)
            server.should_exit = True
        await serving
        await entry.saves.close()
        admin.should_exit = True
        await admin_serving
        _log.info("shutdown-ends", in_flight=entry.in_flight)
    finally:
        await daemons.close_daemon(daemon)


async def watch_readiness(entry: Entry) -> None:
    """Updates the readiness flag every 100 ms until shutdown."""
    daemon = entry.daemon
    while not daemon.stopping.is_set():
        daemon.ready = is_ready(daemon)
        await asyncio.sleep(0.1)


def is_ready(daemon: daemons.Daemon) -> bool:
    """Returns whether a manifest and a relay of the region are known."""
    if daemon.manifest is None:
        return False
    return bool(daemon.relays(daemon.settings.vm.region))


def create_app(entry: Entry) -> applications.Starlette:
    """Returns the HTTP application that serves callers."""
    return applications.Starlette(
        routes=[
            routing.Route(
                "/v1/applications/{application}/search",
                with_error_handling(
                    entry, lambda *args: answer_search(entry, *args)
                ),
                methods=["POST"],
            ),
            routing.Route(
                "/v1/applications/{application}/saves",
                with_error_handling(
                    entry, lambda *args: answer_save(entry, *args)
                ),
                methods=["POST"],
            ),
        ],
        exception_handlers={
            404: refusal_handler(errors.NotFoundError),
            405: refusal_handler(errors.MethodNotAllowedError),
        },
    )


def refusal_handler(kind: type[errors.RefusalError]) -> typing.Any:
    """Returns a handler for requests that match no endpoint."""

    async def handle(
        request: requests.Request, reason: Exception
    ) -> responses.Response:
        message = f"{request.method} {request.url.path}"
        return problem_response(kind(message), uuid.uuid4().hex)

    return handle


def with_error_handling(entry: Entry, endpoint: Endpoint) -> typing.Any:
    """Wraps an endpoint with the handling common to all requests.

    Assigns a request id, limits requests in flight, turns errors into
    problem responses, and logs and counts the answer.
    """

    async def handle(request: requests.Request) -> responses.Response:
        request_id = uuid.uuid4().hex
        began = time.monotonic()
        entry.in_flight += 1
        try:
            if entry.in_flight > entry.daemon.settings.entry.max_in_flight:
                raise errors.OverloadedError("too many requests", "no", 1.0)
            body = await endpoint(request, request_id)
            response = json_response(body)
            kind = "partial" if body.get("partial") else "whole"
        except errors.RefusalError as error:
            response = problem_response(error, request_id)
            kind = error.code
        except Exception:
            _log.exception("request-failed", request_id=request_id)
            failure = errors.InternalError("internal failure", "unknown")
            response = problem_response(failure, request_id)
            kind = failure.code
        finally:
            entry.in_flight -= 1
        elapsed_ms = (time.monotonic() - began) * 1000
        entry.answers[kind] += 1
        entry.latency.record(elapsed_ms, {"kind": kind})
        _log.info(
            "request-answered",
            request_id=request_id,
            path=request.url.path,
            kind=kind,
            elapsed_ms=round(elapsed_ms, 2),
        )
        return response

    return handle


async def answer_search(
    entry: Entry, request: requests.Request, request_id: str
) -> dict[str, typing.Any]:
    """Handles a search request and returns the response body."""
    config, _ = search.current_manifest(entry.daemon)
    application = request.path_params["application"]
    header = request.headers.get("authorization")
    caller = callers.authorize(config, header, application)
    limit = entry.daemon.settings.entry.max_body_bytes
    raw = await callers.read_body(request, limit)
    policy = config.applications[application].policy
    parsed = callers.read_search(raw, policy, request_id, caller, application)
    answer = await admission_control.run(
        entry.admission, entry.coordinator, policy, parsed
    )
    query = answer.query
    return {
        "request_id": request_id,
        "snapshot": query.snapshot.version,
        "generation": answer.generation,
        "partial": bool(query.missing()),
        "coverage": queries.coverage_of(query),
        "hits": [hit._asdict() for hit in query.hits],
    }


async def answer_save(
    entry: Entry, request: requests.Request, request_id: str
) -> dict[str, typing.Any]:
    """Handles a save request and returns the response body."""
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    config, _ = search.current_manifest(entry.daemon)
    application = request.path_params["application"]
    header = request.headers.get("authorization")
    caller = callers.authorize(config, header, application)
    limit = entry.daemon.settings.entry.max_body_bytes
    raw = await callers.read_body(request, limit)
    parsed = callers.read_save(raw, config, caller, application)
    deadline_s = began_s + parsed.deadline_ms / 1000
    save = save_runner.Request(
        request_id=request_id,
        application=application,
        caller=caller,
        key=request.headers.get("idempotency-key", ""),
        body=parsed.body,
        time_left_s=deadline_s - loop.time(),
    )
    answer = await entry.saves.run(
        save, lambda: entry.save_client.run(save, parsed.service, deadline_s)
    )
    return {
        "request_id": request_id,
        "key": save.key,
        "ran": "yes",
        "result": msgspec.Raw(answer.result),
        "replayed": answer.replayed,
    }


def json_response(body: typing.Any) -> responses.Response:
    """Returns a 200 response with a JSON body."""
    return responses.Response(
        msgspec.json.encode(body), media_type="application/json"
    )


def problem_response(
    error: errors.RefusalError, request_id: str
) -> responses.Response:
    """Returns an RFC 9457 problem response for a refusal."""
    body: dict[str, typing.Any] = {
        "type": "about:blank",
        "title": error.message,
        "status": error.status,
        "code": error.code,
        "ran": error.ran,
        "request_id": request_id,
    }
    headers = {}
    if error.retry_after_s is not None:
        body["retry_after_ms"] = error.retry_after_s * 1000
        headers["Retry-After"] = str(math.ceil(error.retry_after_s))
    return responses.Response(
        msgspec.json.encode(body),
        error.status,
        headers,
        "application/problem+json",
    )


def _register_metrics(entry: Entry) -> None:
    meters = entry.daemon.metrics
    coordinator = entry.coordinator
    meters.counters(
        "laurelrock_answers", lambda: dict(entry.answers), "Answers by kind"
    )
    meters.gauge(
        "laurelrock_in_flight", lambda: entry.in_flight, "Requests in flight"
    )
    meters.counters(
        "laurelrock_searches",
        lambda: {
            "dropped": coordinator.dropped,
            "restarts": coordinator.restarts,
            "fallbacks": coordinator.fallbacks,
        },
        "Unusual events of searches",
    )
