"""The history of a soak run: what callers and searchers saw, and the faults."""

import bisect
import typing

__all__ = [
    "Arrival",
    "Cold",
    "Cut",
    "FaultSpan",
    "History",
    "Places",
    "Record",
    "Span",
    "Workspaces",
    "affects",
    "is_undisturbed",
    "most_within",
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
        vm: Name of the VM that sent it.
        domain: Failure domain of the searcher.
        misplaced: Whether the searcher answered with status 421.
        key: Value of the header with the caller's key; None without it.
        workspace: Value of the header with the workspace's name; None without
            it.
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
    vm: str = ""
    domain: str = ""
    misplaced: bool = False
    key: str | None = None
    workspace: str | None = None


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
        key: Key of the caller, empty if it sent none; None in scenarios without
            workspaces.
        workspace: Workspace whose key the caller sent; empty for none.
        regions: Regions in which the request may run; empty for all.
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
    key: str | None = None
    workspace: str = ""
    regions: tuple[str, ...] = ()


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


class Span(typing.NamedTuple):
    """The time of an evacuation of a failure domain, or of a workspace's burst.

    Attributes:
        name: Name of the failure domain or the workspace.
        started_s: Loop time at which the store confirmed the evacuation, or the
            workspace began to send many times its usual rate, in seconds.
        ended_s: Loop time of the deletion or the end, in seconds.
    """

    name: str
    started_s: float
    ended_s: float


class Cold(typing.NamedTuple):
    """A time in which a searcher was cold.

    Attributes:
        searcher: Id of the searcher.
        told_s: Loop time at which its entry said so first, in seconds.
        due_s: Loop time from which VMs have to know, in seconds.
        ended_s: Loop time at which it was warm, or started again, in seconds.
    """

    searcher: str
    told_s: float
    due_s: float
    ended_s: float


class Places(typing.NamedTuple):
    """Where searchers and VMs are, and what may be sent there.

    Attributes:
        regions: Region of each failure domain and of each VM, by name.
        evacuations: The evacuations.
        colds: Times in which searchers were cold.
        warm_up_per_s: Requests per second that a cold searcher takes.
        health: Requests for the health of searchers; they have no request id.
        bodies: Request id, and the VM that received the request's body from
            another VM.
    """

    regions: dict[str, str]
    evacuations: list[Span]
    colds: list[Cold]
    warm_up_per_s: float
    health: list[Arrival]
    bodies: list[tuple[str, str]]


class Workspaces(typing.NamedTuple):
    """Workspaces with their keys and caps.

    Attributes:
        keys: Workspaces by key, by configuration version.
        caps: Requests per second and burst, by the workspaces that have a cap.
        bursts: Times in which a workspace sent many requests.
    """

    keys: dict[int, dict[str, str]]
    caps: dict[str, tuple[float, float]]
    bursts: list[Span]

    def is_lasting(self, key: str | None) -> bool:
        """Returns whether every version has a key."""
        return all(key in row for row in self.keys.values())


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
        places: Failure domains and regions.
        workspaces: Workspaces.
        standstills: Start and end of each time in which the process of the
            callers, the links and the searchers did not run, in seconds.
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
    places: Places = Places({}, [], [], 0.0, [], [])
    workspaces: Workspaces = Workspaces({}, {}, [])
    standstills: tuple[tuple[float, float], ...] = ()


def most_within(times_s: list[float], window_s: float) -> tuple[int, float]:
    """Returns the most times in any window, and the end of such a window."""
    return max(
        (
            (number - bisect.bisect_right(times_s, at_s - window_s), at_s)
            for number, at_s in enumerate(times_s, 1)
        ),
        default=(0, 0.0),
    )


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
