"""Bodies of the searcher contract and of the stand-in's control calls."""

import typing

from laurelrock import manifest

__all__ = ["Behaviour", "Control", "SearchCall", "SaveCall"]

Status = typing.Literal[
    "ok", "version-gone", "version-unknown", "shed", "draining", "deadline"
]


class SearchItem(typing.TypedDict):
    """One item of a search call."""

    request_id: str
    start_id: str
    snapshot: str
    time_left_ms: float
    limit: int
    service: str
    shards: list[str]
    query: typing.Any


class SearchCall(typing.TypedDict):
    """Body of a search call."""

    items: list[SearchItem]


class CancelItem(typing.TypedDict):
    """Names one item of a search call."""

    request_id: str
    start_id: str


class CancelCall(typing.TypedDict):
    """Body of a cancel call."""

    items: list[CancelItem]


class SaveCall(typing.TypedDict):
    """Body of a save call."""

    request_id: str
    start_id: str
    application: str
    key: str
    body: typing.Any


class Load(typing.NamedTuple):
    """Load that a searcher reports."""

    busy: int
    queued: int
    slots: int


class Behaviour(typing.NamedTuple):
    """How one searcher behaves.

    Attributes:
        state: As its health says.
        mean_ms: Mean service time of a call.
        item_ms: Added for each item of a call after the first.
        straggler_fraction: Calls that take `straggler_factor` times as long.
        straggler_factor: See `straggler_fraction`.
        cold_factor: Service times are longer by this while it is cold.
        queue_bound: Calls that wait; more are shed.
        retry_after_ms: Named where it sheds or drains.
        fault: "hang" never answers, "crash" closes all connections and
            refuses new ones, "lose-reply" closes the connection in place of
            each reply, "garbage" answers rubbish, "wrong-id" echoes another
            request's id.
        fault_calls: Calls until the fault ends; None means that it stays.
        report_lag_ms: Age of the load that it reports.
        report_load: Load reported in place of the true one.
        report_state: State reported in place of the true one.
        leaving: Whether new work is counted as late from now on, as it is
            for a searcher that drains.
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
    """A snapshot that the searchers of an application load."""

    application: str
    snapshot: manifest.Snapshot


class DroppedSnapshot(typing.NamedTuple):
    """A snapshot that the searchers of an application drop."""

    application: str
    version: str


class Control(typing.NamedTuple):
    """Body of a control call.

    Attributes:
        searchers: Ids of those meant; None means all.
        behaviour: Fields of `Behaviour` that change.
        add: Snapshots to load.
        drop: Snapshots to drop.
        silence: Whether connections that are open now go silent.
    """

    searchers: list[str] | None = None
    behaviour: dict[str, typing.Any] = {}
    add: list[AddedSnapshot] = []
    drop: list[DroppedSnapshot] = []
    silence: bool = False


class SavedKey(typing.NamedTuple):
    """A save that ran; `order` counts within the process."""

    key: str
    order: int
    searcher: str
