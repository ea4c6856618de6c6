"""Fake searchers: one process runs many, each listening on its own port.

Usage: `python -m fakes.searcher --manifest FILE [--domain NAME] [--seed N]
[--control HOST:PORT] [--vms FILE] [--between-ms MS]`.

`POST /control` takes `{"searchers": [ids], "behaviour": {...}, "add": [...],
"drop": [...], "silence": true}`; see `contract.ControlCall`.
`GET /control/ledger` returns what the searchers actually ran.
"""

import argparse
import asyncio
import pathlib
import typing

import msgspec

from fakes import contract
from fakes import http_server
from fakes import slots
from laurelrock import document
from laurelrock import manifest

__all__ = ["SearcherSet", "start"]

search_decoder = msgspec.json.Decoder(contract.SearchCall)
cancel_decoder = msgspec.json.Decoder(contract.CancelCall)
save_decoder = msgspec.json.Decoder(contract.SaveCall)


class NetworkDelays(typing.NamedTuple):
    """Network delays between failure domains.

    Attributes:
        between_ms: One-way delay between two failure domains, in
            milliseconds.
        domains: Failure domain of each client, by IP address; clients that
            are not listed have no delay.
    """

    between_ms: float = 0.0
    domains: dict[str, str] = {}

    def round_trip_ms(self, source: str, domain: str) -> float:
        """Returns the round-trip delay from an IP address to a domain."""
        is_local = self.domains.get(source, domain) == domain
        return 0.0 if is_local else 2 * self.between_ms


#: No delay between any failure domains.
NO_DELAYS = NetworkDelays()


class SearcherSet:
    """All fake searchers of one process.

    Attributes:
        searchers: Searchers by id.
        saved: Saves that ran on any of the searchers, in order.
        listeners: Servers of the searchers and of the control port.
    """

    def __init__(self) -> None:
        self.searchers: dict[str, slots.Searcher] = {}
        self.saved: list[contract.ExecutedSave] = []
        self.listeners: list[asyncio.Server] = []

    async def close(self) -> None:
        """Stops listening and closes all connections."""
        for listener in self.listeners:
            listener.close()
        for searcher in self.searchers.values():
            for connection in list(searcher.connections):
                connection.transport.abort()


def search(
    searcher: slots.Searcher, connection: http_server.Connection, body: bytes
) -> None:
    """Handles a search call."""
    items = search_decoder.decode(body)["items"]
    slots.admit_search(
        searcher, slots.Job(connection, items, None, slots.now())
    )


def save(
    searcher: slots.Searcher, connection: http_server.Connection, body: bytes
) -> None:
    """Handles a save call."""
    call = save_decoder.decode(body)
    job = slots.Job(connection, [], call, slots.now())
    slots.admit_save(searcher, job, call)


def cancel(
    searcher: slots.Searcher, connection: http_server.Connection, body: bytes
) -> None:
    """Handles a cancel call."""
    items = cancel_decoder.decode(body)["items"]
    cancelled_ids = {(item["request_id"], item["start_id"]) for item in items}
    for job in [*searcher.queue, *searcher.running]:
        if job.save is None:
            slots.cancel_items(searcher, job, cancelled_ids)
    slots.send_response(searcher, connection, {})


def handle_health(
    searcher: slots.Searcher, connection: http_server.Connection
) -> None:
    """Handles a health call."""
    behaviour = searcher.behaviour
    body = {
        "state": behaviour.report_state or behaviour.state,
        "snapshots": list(searcher.snapshots),
        "load": searcher.reported_load(slots.now())._asdict(),
    }
    slots.send_response(searcher, connection, body)


def route_request(
    searcher: slots.Searcher,
    connection: http_server.Connection,
    request: http_server.Request,
) -> None:
    """Routes a request to the handler of its path."""
    handlers = {"/v1/search": search, "/v1/cancel": cancel, "/v1/save": save}
    if request.path == "/v1/health":
        handle_health(searcher, connection)
        return
    if request.path not in handlers:
        connection.reply(404, {})
        return
    try:
        handlers[request.path](searcher, connection, request.body)
    except msgspec.DecodeError as error:
        connection.reply(400, {"error": str(error)})


def searcher_handlers(
    searcher: slots.Searcher, delays: NetworkDelays
) -> http_server.Handlers:
    """Returns the handlers of a searcher's port."""

    def opened(connection: http_server.Connection) -> None:
        full = len(searcher.connections) >= searcher.spec.connections
        if full or searcher.behaviour.fault == "crash":
            searcher.counts["connections_refused"] += 1
            connection.transport.abort()
            return
        searcher.counts["connections"] += 1
        searcher.connections.add(connection)

    def requested(
        connection: http_server.Connection, request: http_server.Request
    ) -> None:
        domain = searcher.spec.failure_domain
        wait_ms = delays.round_trip_ms(connection.source, domain)
        if not connection.served_request:
            wait_ms += searcher.spec.connect_ms
        if wait_ms <= 0:
            route_request(searcher, connection, request)
            return
        arguments = searcher, connection, request
        loop = asyncio.get_running_loop()
        loop.call_later(wait_ms / 1000, route_request, *arguments)

    return http_server.Handlers(opened, requested, searcher.connections.discard)


def add_snapshot(
    searcher: slots.Searcher, added: contract.AddedSnapshot
) -> None:
    """Loads a snapshot if it belongs to the searcher's application."""
    if added.application == searcher.application:
        searcher.snapshots[added.snapshot.version] = added.snapshot


def drop_snapshot(
    searcher: slots.Searcher, dropped: contract.DroppedSnapshot
) -> None:
    """Drops a snapshot if it belongs to the searcher's application."""
    if dropped.application == searcher.application:
        searcher.snapshots.pop(dropped.version, None)
        searcher.dropped.add(dropped.version)


def control(searcher_set: SearcherSet, change: contract.ControlCall) -> None:
    """Applies the body of a control call."""
    names = (
        searcher_set.searchers if change.searchers is None else change.searchers
    )
    for searcher in [searcher_set.searchers[name] for name in names]:
        fields = searcher.behaviour._asdict() | change.behaviour
        fields = document.unstructure(fields)
        searcher.behaviour = document.structure(contract.Behaviour, fields)
        behaviour = searcher.behaviour
        if not (behaviour.leaving or behaviour.state == "draining"):
            searcher.leaving_since_s = None
        elif searcher.leaving_since_s is None:
            searcher.leaving_since_s = slots.now()
        for added in change.add:
            add_snapshot(searcher, added)
        for dropped in change.drop:
            drop_snapshot(searcher, dropped)
        for connection in list(searcher.connections):
            if searcher.behaviour.fault == "crash":
                connection.transport.abort()
            elif change.silence:
                connection.silence()


def ledger(searcher_set: SearcherSet) -> dict[str, typing.Any]:
    """Returns counters of each searcher, and the saves and ids that ran."""
    return {
        "searchers": {
            name: dict(item.counts)
            for name, item in searcher_set.searchers.items()
        },
        "saves": [item._asdict() for item in searcher_set.saved],
        "ran_ids": sorted(
            set().union(
                *(item.ran_ids for item in searcher_set.searchers.values())
            )
        ),
    }


def control_handlers(searcher_set: SearcherSet) -> http_server.Handlers:
    """Returns the handlers of the control port."""

    def requested(
        connection: http_server.Connection, request: http_server.Request
    ) -> None:
        if (request.method, request.path) == ("GET", "/control/ledger"):
            connection.reply(200, ledger(searcher_set))
            return
        try:
            value = msgspec.json.decode(request.body)
            control(
                searcher_set, document.structure(contract.ControlCall, value)
            )
        except (document.DocumentError, msgspec.DecodeError) as error:
            connection.reply(400, {"error": str(error)})
        except KeyError as error:
            connection.reply(400, {"error": f"unknown searcher {error}"})
        else:
            connection.reply(200, {})

    return http_server.Handlers(
        http_server.ignore_event, requested, http_server.ignore_event
    )


async def start(
    source: manifest.Manifest,
    domain: str | None = None,
    seed: int = 1,
    control_address: str | None = None,
    delays: NetworkDelays = NO_DELAYS,
) -> SearcherSet:
    """Starts the searchers of a manifest.

    Args:
        source: Manifest that lists the searchers.
        domain: Failure domain whose searchers to start; None means all.
        seed: Random seed of the service times.
        control_address: Address of the control port as "host:port"; None
            means that there is none.
        delays: Network delays to simulate.
    """
    searcher_set = SearcherSet()
    for name, application in source.applications.items():
        for service, specs in application.services.items():
            for spec in specs:
                if domain in (None, spec.failure_domain):
                    searcher_set.searchers[spec.id] = slots.Searcher(
                        spec,
                        name,
                        service,
                        application.snapshots,
                        seed,
                        searcher_set.saved,
                    )
    for searcher in searcher_set.searchers.values():
        handlers = searcher_handlers(searcher, delays)
        server = await http_server.serve(searcher.spec.address, handlers)
        searcher_set.listeners.append(server)
    if control_address is not None:
        handlers = control_handlers(searcher_set)
        searcher_set.listeners.append(
            await http_server.serve(control_address, handlers)
        )
    return searcher_set


async def serve(args: argparse.Namespace) -> None:
    """Runs searchers until cancelled."""
    source = manifest.decode(args.manifest.read_bytes())
    delays = NO_DELAYS
    if args.vms:
        rows = msgspec.json.decode(args.vms.read_bytes())["vms"]
        domains = {row["address"]: row["failure_domain"] for row in rows}
        delays = NetworkDelays(args.between_ms, domains)
    searcher_set = await start(
        source, args.domain, args.seed, args.control, delays
    )
    try:
        await asyncio.Event().wait()
    finally:
        await searcher_set.close()


def main() -> None:
    """Runs the command line."""
    parser = argparse.ArgumentParser(description="Fake searchers.")
    parser.add_argument("--manifest", type=pathlib.Path, required=True)
    parser.add_argument("--domain")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--control", metavar="HOST:PORT")
    parser.add_argument("--vms", type=pathlib.Path, help="JSON list of VMs")
    parser.add_argument(
        "--between-ms",
        type=float,
        default=0.0,
        help="one-way delay from VMs of other failure domains, in ms",
    )
    args = parser.parse_args()
    try:
        asyncio.run(serve(args))
    except KeyboardInterrupt:
        pass


if __name__ == "__main__":
    main()
