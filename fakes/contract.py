"""Message bodies of the searcher API and of the fake searchers' control API."""

import typing

from laurelrock import manifest

__all__ = ["Behaviour", "ControlCall", "SaveCall", "SearchCall"]

Status = typing.Literal[
    "ok", "version-gone", "version-unknown", "shed", "draining", "deadline"
]


class SearchItem(typing.TypedDict):
    """One sub-query in the body of a search call."""

    request_id: str
    start_id: str
    snapshot: str
    time_left_ms: float
    limit: int
    service: str
    shards: list[str]
    query: typing.Any


class SearchCall(typing.TypedDict):
    """Body of a search call, which carries a batch of sub-queries."""

    items: list[SearchItem]


class CancelItem(typing.TypedDict):
    """Identifies one sub-query of a search call."""

    request_id: str
    start_id: str


class CancelCall(typing.TypedDict):
    """Body of a call that cancels sub-queries."""

    items: list[CancelItem]


class SaveCall(typing.TypedDict):
    """Body of a call that runs a save."""

    request_id: str
    start_id: str
    application: str
    key: str
    body: typing.Any


class Load(typing.NamedTuple):
    """Load that a searcher reports.

    Attributes:
        busy: Number of slots in use.
        queued: Number of calls that wait for a slot.
        slots: Total number of slots.
    """

    busy: int
    queued: int
    slots: int


class Behaviour(typing.NamedTuple):
    """Configured behaviour of one fake searcher.

    Attributes:
        state: State that the health call reports.
        mean_ms: Mean service time of a call, in milliseconds.
        item_ms: Additional service time for each sub-query of a call after
            the first, in milliseconds.
        straggler_fraction: Fraction of calls that are stragglers.
        straggler_factor: Factor that multiplies the service time of
            stragglers.
        cold_factor: Factor that multiplies service times in state "cold".
        queue_bound: Largest number of waiting calls; further calls are shed.
        retry_after_ms: Retry delay in responses that shed or that report
            draining, in milliseconds.
        fault: Injected fault. "hang" never responds, "crash" closes all
            connections and refuses new ones, "lose-reply" closes the
            connection instead of sending the response, "garbage" sends a
            body that is not JSON, "wrong-id" echoes a wrong request id.
        fault_calls: Number of calls until the fault ends; None keeps it.
        report_lag_ms: Age of the reported load, in milliseconds.
        report_load: Load to report instead of the actual load.
        report_state: State to report instead of the actual state.
        leaving: Whether new work counts as late after a grace period, as it
            does for a searcher that drains.
    """

    state: typing.Literal["ready", "cold", "draining"] = "ready"
    mean_ms: float = 8.0
    item_ms: float = 0.0
    straggler_fraction: float = 0.01
    straggler_factor: float = 10.0
    cold_factor: float = 5.0
    queue_bound: int = 64
    retry_after_ms: float = 50.0
    fault: typing.Literal[
        "none", "hang", "crash", "lose-reply", "garbage", "wrong-id"
    ] = "none"
    fault_calls: int | None = None
    report_lag_ms: float = 0.0
    report_load: Load | None = None
    report_state: str | None = None
    leaving: bool = False


class AddedSnapshot(typing.NamedTuple):
    """Snapshot that the searchers of an application are to load."""

    application: str
    snapshot: manifest.Snapshot


class DroppedSnapshot(typing.NamedTuple):
    """Snapshot that the searchers of an application are to drop."""

    application: str
    version: str


class ControlCall(typing.NamedTuple):
    """Body of a control call, which changes how fake searchers behave.

    Attributes:
        searchers: Ids of the searchers to change; None means all.
        behaviour: Fields of `Behaviour` to change.
        add: Snapshots to load.
        drop: Snapshots to drop.
        silence: Whether the connections that are now open stop reading and
            writing without being closed.
    """

    searchers: list[str] | None = None
    behaviour: dict[str, typing.Any] = {}
    add: list[AddedSnapshot] = []
    drop: list[DroppedSnapshot] = []
    silence: bool = False


class ExecutedSave(typing.NamedTuple):
    """Record of a save that ran.

    Attributes:
        key: Idempotency key of the save.
        order: Position among the saves that ran in the same process.
        searcher: Id of the searcher that ran the save.
    """

    key: str
    order: int
    searcher: str
