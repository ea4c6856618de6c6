"""Queue and execution slots of one fake searcher.

A call waits in the queue, occupies a slot for a random service time and then
gets its response. A cancel call or its deadline ends it early.
"""

import asyncio
import collections
import math
import random
import typing

from fakes import contract
from fakes import corpus
from fakes import http_server
from laurelrock import manifest

__all__ = ["Job", "Searcher", "admit_save", "admit_search", "cancel_items"]

#: Upper bound of a random service time, as a multiple of the mean.
MAX_SERVICE_TIME_FACTOR = 5.0

#: Number of past load values kept, from which lagging reports are served.
LOAD_HISTORY_SIZE = 4096

#: Time after a searcher began to leave from which new work counts as late, in
#: seconds.
LEAVING_GRACE_S = 3.0


class Job:
    """Call that waits for a slot or occupies one.

    Attributes:
        connection: Connection on which the call arrived.
        items: Sub-queries of a search call; empty for a save call.
        save: Body of a save call; None for a search call.
        statuses: Status of each sub-query; None while it is undecided.
        arrived_s: Event loop time at which the call arrived.
        last_deadline_s: Latest deadline of the sub-queries, as event loop time;
            infinite until a search call runs.
        timer: Timer at the end of the service time; None until the call runs.
    """

    def __init__(
        self,
        connection: http_server.Connection,
        items: list[contract.SearchItem],
        save: contract.SaveCall | None,
        arrived_s: float,
    ) -> None:
        self.connection = connection
        self.items = items
        self.save = save
        self.statuses: list[contract.Status | None] = [None] * len(items)
        self.arrived_s = arrived_s
        self.last_deadline_s = math.inf
        self.timer: asyncio.TimerHandle | None = None

    def deadline_s(self, index: int) -> float:
        """Returns the deadline of a sub-query, as event loop time."""
        return self.arrived_s + self.items[index]["time_left_ms"] / 1000

    def undecided_items(self) -> list[int]:
        """Returns the indexes of the sub-queries without a status."""
        return [i for i, status in enumerate(self.statuses) if not status]

    def expire_items(self, now_s: float) -> int:
        """Marks sub-queries past their deadline; returns how many."""
        late = [
            i for i in self.undecided_items() if self.deadline_s(i) <= now_s
        ]
        for index in late:
            self.statuses[index] = "deadline"
        return len(late)


class Searcher:
    """State of one fake searcher.

    Attributes:
        spec: Entry of the searcher in the manifest.
        application: Name of the application that it belongs to.
        service: Name of the service whose shards it holds.
        snapshots: Snapshots that it holds, by version.
        dropped: Versions that it has dropped.
        behaviour: Configured behaviour.
        random: Random generator of the service times.
        connections: Open connections.
        queue: Jobs that wait for a slot.
        running: Jobs that occupy a slot.
        counts: Counters of sub-queries by outcome, and of calls, saves and
            connections.
        saved: Saves that ran, shared by all searchers of the process.
        ran_ids: Request ids of the sub-queries that ran.
        leaving_since_s: Event loop time at which it began to drain or to
            leave; None if it does neither.
        load_history: Past load values with their event loop times.
    """

    def __init__(
        self,
        spec: manifest.Searcher,
        application: str,
        service: str,
        snapshots: list[manifest.Snapshot],
        seed: int,
        saved: list[contract.ExecutedSave],
    ) -> None:
        self.spec = spec
        self.application = application
        self.service = service
        self.snapshots = {item.version: item for item in snapshots}
        self.dropped: set[str] = set()
        self.behaviour = contract.Behaviour()
        self.random = random.Random(f"{seed}/{spec.id}")
        self.connections: set[http_server.Connection] = set()
        self.queue: collections.deque[Job] = collections.deque()
        self.running: set[Job] = set()
        self.counts: collections.Counter[str] = collections.Counter()
        self.saved = saved
        self.ran_ids: set[str] = set()
        self.leaving_since_s: float | None = None
        self.load_history: collections.deque[tuple[float, contract.Load]] = (
            collections.deque(maxlen=LOAD_HISTORY_SIZE)
        )

    def load(self) -> contract.Load:
        """Returns the actual load."""
        return contract.Load(
            len(self.running), len(self.queue), self.spec.slots
        )

    def reported_load(self, now_s: float) -> contract.Load:
        """Returns the load to report, which may be false or outdated."""
        if self.behaviour.report_load is not None:
            return self.behaviour.report_load
        if self.behaviour.report_lag_ms <= 0:
            return self.load()
        reported_at_s = now_s - self.behaviour.report_lag_ms / 1000
        for since_s, load in reversed(self.load_history):
            if since_s <= reported_at_s:
                return load
        return contract.Load(0, 0, self.spec.slots)

    def draw_service_time_ms(self, items: int) -> float:
        """Draws the service time of a call, in milliseconds."""
        behaviour = self.behaviour
        factor = min(self.random.expovariate(1.0), MAX_SERVICE_TIME_FACTOR)
        time_ms = behaviour.mean_ms * factor
        if self.random.random() < behaviour.straggler_fraction:
            time_ms *= behaviour.straggler_factor
        if behaviour.state == "cold":
            time_ms *= behaviour.cold_factor
        return time_ms + behaviour.item_ms * max(0, items - 1)


def now() -> float:
    """Returns the event loop time, in seconds."""
    return asyncio.get_running_loop().time()


def searcher_refusal(searcher: Searcher) -> contract.Status | None:
    """Returns why the searcher refuses all work, or None."""
    if searcher.behaviour.state == "draining":
        return "draining"
    if len(searcher.queue) >= searcher.behaviour.queue_bound:
        return "shed"
    return None


def snapshot_refusal(
    searcher: Searcher, item: contract.SearchItem
) -> contract.Status | None:
    """Returns why the snapshot of a sub-query is not held, or None."""
    if item["snapshot"] in searcher.snapshots:
        return None
    if item["snapshot"] in searcher.dropped:
        return "version-gone"
    return "version-unknown"


def item_refusal(
    searcher: Searcher, item: contract.SearchItem
) -> contract.Status | None:
    """Returns why a sub-query is refused, or None."""
    return searcher_refusal(searcher) or snapshot_refusal(searcher, item)


def item_hits(
    searcher: Searcher, item: contract.SearchItem
) -> list[corpus.Hit]:
    """Returns the best hits of a sub-query over the shards that are held."""
    snapshot = searcher.snapshots[item["snapshot"]]
    shards = tuple(shard.id for shard in snapshot.shards)
    held = {
        shard.id
        for shard in snapshot.shards
        if shard.service == searcher.service
    }
    covered = held & set(item["shards"])
    return corpus.expected_hits(
        item["query"], snapshot.version, shards, covered, item["limit"]
    )


def echoed_id(searcher: Searcher, request_id: str) -> str:
    """Returns the request id to echo in a response."""
    wrong = searcher.behaviour.fault == "wrong-id"
    return f"{request_id}x" if wrong else request_id


def item_result(
    searcher: Searcher,
    item: contract.SearchItem,
    status: contract.Status | None,
) -> dict[str, typing.Any]:
    """Returns the result of one sub-query."""
    hits = item_hits(searcher, item) if status == "ok" else []
    refused = status in ("shed", "draining")
    return {
        "request_id": echoed_id(searcher, item["request_id"]),
        "start_id": item["start_id"],
        "status": status,
        "snapshot": item["snapshot"],
        "hits": hits,
        "retry_after_ms": searcher.behaviour.retry_after_ms if refused else 0.0,
    }


def search_response(searcher: Searcher, job: Job) -> dict[str, typing.Any]:
    """Returns the response body of a search call."""
    results = [
        item_result(searcher, item, status)
        for item, status in zip(job.items, job.statuses, strict=True)
    ]
    load = searcher.reported_load(now())._asdict()
    return {"results": results, "load": load}


def save_response(
    searcher: Searcher, save: contract.SaveCall, status: contract.Status
) -> dict[str, typing.Any]:
    """Returns the response body of a save call."""
    body: dict[str, typing.Any] = {
        "request_id": echoed_id(searcher, save["request_id"]),
        "start_id": save["start_id"],
        "status": status,
        "ran": status == "ok",
    }
    if status == "ok":
        body["result"] = {"saved": corpus.canonical_digest(save["body"])}
    else:
        body["retry_after_ms"] = searcher.behaviour.retry_after_ms
    return body


def send_response(
    searcher: Searcher, connection: http_server.Connection, value: typing.Any
) -> None:
    """Sends a response, subject to the injected fault."""
    fault = searcher.behaviour.fault
    count_faulty_call(searcher)
    if fault == "lose-reply":
        connection.transport.abort()
    elif fault != "hang":
        connection.reply(200, b"{garbage" if fault == "garbage" else value)


def count_faulty_call(searcher: Searcher) -> None:
    """Counts a call of the fault and ends the fault after its last one."""
    left = searcher.behaviour.fault_calls
    if left is None:
        return
    if left <= 1:
        fields: dict[str, typing.Any] = {"fault": "none", "fault_calls": None}
    else:
        fields = {"fault_calls": left - 1}
    searcher.behaviour = searcher.behaviour._replace(**fields)


def finish_job(searcher: Searcher, job: Job, now_s: float) -> None:
    """Ends a job, sends its response and starts waiting jobs."""
    searcher.running.discard(job)
    if job.save is not None:
        reply = save_response(searcher, job.save, "ok")
    else:
        searcher.counts["expired"] += job.expire_items(now_s)
        for index in job.undecided_items():
            refusal = snapshot_refusal(searcher, job.items[index])
            job.statuses[index] = refusal or "ok"
            searcher.counts["gone" if refusal else "finished"] += 1
        reply = search_response(searcher, job)
    send_response(searcher, job.connection, reply)
    start_waiting_jobs(searcher)


def start_job(searcher: Searcher, job: Job) -> None:
    """Starts a job on a free slot."""
    now_s = now()
    time_ms = searcher.draw_service_time_ms(len(job.items))
    if job.save is not None:
        saved = contract.ExecutedSave(
            job.save["key"], len(searcher.saved), searcher.spec.id
        )
        searcher.saved.append(saved)
        searcher.counts["saves"] += 1
    else:
        searcher.counts["expired"] += job.expire_items(now_s)
        live = job.undecided_items()
        if not live:
            send_response(
                searcher, job.connection, search_response(searcher, job)
            )
            return
        searcher.counts["calls"] += 1
        searcher.counts["ran"] += len(live)
        searcher.ran_ids |= {job.items[index]["request_id"] for index in live}
        job.last_deadline_s = max(job.deadline_s(index) for index in live)
    searcher.running.add(job)
    end_s = min(now_s + time_ms / 1000, job.last_deadline_s)
    loop = asyncio.get_running_loop()
    job.timer = loop.call_at(end_s, finish_job, searcher, job, end_s)


def start_waiting_jobs(searcher: Searcher) -> None:
    """Starts waiting jobs while there are free slots."""
    while searcher.queue and len(searcher.running) < searcher.spec.slots:
        start_job(searcher, searcher.queue.popleft())
    if searcher.behaviour.report_lag_ms > 0:
        searcher.load_history.append((now(), searcher.load()))


def count_work_while_leaving(searcher: Searcher, items: int) -> None:
    """Counts new work that arrives after the searcher began to leave."""
    since_s = searcher.leaving_since_s
    if since_s is not None:
        late = now() - since_s > LEAVING_GRACE_S
        searcher.counts["late" if late else "leaving"] += items


def admit_search(searcher: Searcher, job: Job) -> None:
    """Queues a search job, or responds at once if all of it is refused."""
    for index, item in enumerate(job.items):
        job.statuses[index] = item_refusal(searcher, item)
    searcher.counts["asked"] += len(job.items)
    count_work_while_leaving(searcher, len(job.items))
    searcher.counts["refused"] += len(job.items) - len(job.undecided_items())
    if not job.undecided_items():
        send_response(searcher, job.connection, search_response(searcher, job))
        return
    searcher.queue.append(job)
    start_waiting_jobs(searcher)


def admit_save(searcher: Searcher, job: Job, save: contract.SaveCall) -> None:
    """Queues a save, or responds at once that it did not run."""
    count_work_while_leaving(searcher, 1)
    status = searcher_refusal(searcher)
    if status is not None:
        send_response(
            searcher, job.connection, save_response(searcher, save, status)
        )
        return
    searcher.queue.append(job)
    start_waiting_jobs(searcher)


def cancel_items(
    searcher: Searcher, job: Job, cancelled_ids: set[tuple[str, str]]
) -> None:
    """Cancels sub-queries of a job, and ends the job when none is left."""
    cancelled = [
        index
        for index in job.undecided_items()
        if (job.items[index]["request_id"], job.items[index]["start_id"])
        in cancelled_ids
    ]
    for index in cancelled:
        job.statuses[index] = "deadline"
    searcher.counts["cancelled"] += len(cancelled)
    if not cancelled or job.undecided_items():
        return
    if job.timer is None:
        searcher.queue.remove(job)
    else:
        job.timer.cancel()
    finish_job(searcher, job, now())
