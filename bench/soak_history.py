"""The history of a soak run: what callers and searchers saw, and the faults."""

import typing

__all__ = [
    "Arrival",
    "Cut",
    "FaultSpan",
    "History",
    "Record",
    "affects",
    "is_undisturbed",
]

#: Time without faults after which promises with a time limit hold for a VM, in
#: seconds; the smallest such time of the deployments.
SETTLE_S = 4.0


class Arrival(typing.NamedTuple):
    """A request that arrived at a searcher.

    Attributes:
        request_id: Id of the caller's request.
        service: Service of the searcher.
        searcher: Id of the searcher.
        at_s: Loop time of the arrival, in seconds.
        ran: Whether the searcher ran the request.
        leaving: Whether the searcher says in its response that it leaves.
        pause_s: Time in seconds for which the searcher, which refused the
            request, wants none; 0 if it didn't say.
        limit: Requests per second that the searcher's responses name as its
            limit; 0 for none.
        crashes: Whether the request crashes the searcher, as the first one
            that does.
    """

    request_id: str
    service: str
    searcher: str
    at_s: float
    ran: bool
    leaving: bool = False
    pause_s: float = 0.0
    limit: float = 0.0
    crashes: bool = False


class Record(typing.NamedTuple):
    """A request of a caller with its response.

    Attributes:
        kind: "query", "read", "save", "version" or "crash"; a request of the
            last kind crashes the searchers that run it.
        request_id: Id of the request.
        vm: Name of the VM that the request was sent to.
        start_count: Number of processes that the VM had started when the
            request was sent; it identifies the process.
        sent_s: Loop time at which the request was sent, in seconds.
        ended_s: Loop time of the response or the failure, in seconds.
        timeout_s: Time limit in the request, in seconds.
        status: HTTP status of the response; 0 if there was none.
        headers: Headers of the response.
        body: Body of the response.
        version: Configuration version that a "version" request asked for.
        caller_left: Whether the caller disconnected before the response.
        new_connection: Whether the request opened a new connection.
        target: Path of the request.
    """

    kind: str
    request_id: str
    vm: str
    start_count: int
    sent_s: float
    ended_s: float
    timeout_s: float
    status: int
    headers: dict[str, str]
    body: bytes
    version: int = 0
    caller_left: bool = False
    new_connection: bool = False
    target: str = ""


class FaultSpan(typing.NamedTuple):
    """A fault and the time that it lasted.

    Attributes:
        name: Name of the fault.
        vm: Name of the affected VM; "" for all VMs, "-" for none.
        started_s: Loop time at which the fault started, in seconds.
        ended_s: Loop time at which the fault ended, in seconds.
        planned: Whether it is a graceful stop, which must not break off
            requests.
    """

    name: str
    vm: str
    started_s: float
    ended_s: float
    planned: bool = False


class Cut(typing.NamedTuple):
    """A time in which VMs could not reach any searcher.

    Callers, the platform and other VMs still reach them, so that it is no fault
    of these VMs.

    Attributes:
        vms: Names of the VMs.
        started_s: Loop time at which the cut started, in seconds.
        ended_s: Loop time at which it ended, in seconds.
    """

    vms: frozenset[str]
    started_s: float
    ended_s: float


class History(typing.NamedTuple):
    """History of one soak run.

    Attributes:
        records: Requests of the callers.
        arrivals: Requests that arrived at the searchers, in order of time.
        fault_spans: Faults that were injected.
        versions: Loop time at which each configuration version was written.
        shard_lists: Services of the query's shards by configuration version.
        drained: Loop time at which each searcher was set to drain, by id.
        retry_slack: Extra calls to a service allowed in a window in addition
            to the share of first calls.
        ended_s: Loop time at which the load ended, in seconds.
        direct: Whether the VM that has the caller calls the searchers itself.
        cuts: Times in which VMs could not reach any searcher.
    """

    records: list[Record]
    arrivals: list[Arrival]
    fault_spans: list[FaultSpan]
    versions: dict[int, float]
    shard_lists: dict[int, tuple[str, ...]]
    drained: dict[str, float]
    retry_slack: int
    ended_s: float
    direct: bool = True
    cuts: tuple[Cut, ...] = ()


def affects(span: FaultSpan, begin_s: float, end_s: float) -> bool:
    """Returns whether a fault overlaps a period or ended shortly before it."""
    return span.started_s <= end_s and span.ended_s + SETTLE_S >= begin_s


def is_undisturbed(
    history: History, vm: str, begin_s: float, end_s: float
) -> bool:
    """Returns whether no fault affected a VM in a period or before it."""
    return not any(
        span.vm in ("", vm) and affects(span, begin_s, end_s)
        for span in history.fault_spans
    )
