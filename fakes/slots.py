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
from fakes import wire
from laurelrock import manifest

__all__ = ["Job", "Searcher", "admit", "admit_save", "cancel_items"]

#: Upper bound of a drawn service time, as a multiple of the mean.
MAX_SERVICE_MEANS = 5.0

#: Number of past load values kept, from which lagging reports are served.
LOAD_HISTORY = 4096

#: Time after a searcher began to leave from which new work counts as late, in
#: seconds.
LEAVING_GRACE_S = 3.0


class Job:
    """Call that waits for a slot or occupies one.

    Attributes:
        connection: Connection on which the call arrived.
        items: Sub-queries of a search call; empty for a save call.
        save: Body of a save call; None for a search call.
        verdicts: Status of each sub-query; None while it is undecided.
        arrived_s: Event loop time at which the call arrived.
        until_s: Latest deadline of the sub-queries, as event loop time;
            infinite until a search call runs.
        timer: Timer at the end of the service time; None until the call runs.
    """

    def __init__(
        self,
        connection: wire.Connection,
        items: list[contract.SearchItem],
        save: contract.SaveCall | None,
        arrived_s: float,
    ) -> None:
        self.connection = connection
        self.items = items
        self.save = save
        self.verdicts: list[contract.Status | None] = [None] * len(items)
        self.arrived_s = arrived_s
        self.until_s = math.inf
        self.timer: asyncio.TimerHandle | None = None

    def deadline_s(self, index: int) -> float:
        """Returns the deadline of a sub-query, as event loop time."""
        return self.arrived_s + self.items[index]["time_left_ms"] / 1000

    def open_items(self) -> list[int]:
        """Returns the indexes of the sub-queries without a status."""
        return [i for i, verdict in enumerate(self.verdicts) if not verdict]

    def expire(self, now_s: float) -> int:
        """Marks sub-queries past their deadline; returns how many."""
        late = [i for i in self.open_items() if self.deadline_s(i) <= now_s]
        for index in late:
            self.verdicts[index] = "deadline"
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
        history: Past load values with their event loop times.
    """

    def __init__(
        self,
        spec: manifest.Searcher,
        application: str,
        service: str,
        snapshots: list[manifest.Snapshot],
        seed: int,
        saved: list[contract.SavedKey],
    ) -> None:
        self.spec = spec
        self.application = application
        self.service = service
        self.snapshots = {item.version: item for item in snapshots}
        self.dropped: set[str] = set()
        self.behaviour = contract.Behaviour()
        self.random = random.Random(f"{seed}/{spec.id}")
        self.connections: set[wire.Connection] = set()
        self.queue: collections.deque[Job] = collections.deque()
        self.running: set[Job] = set()
        self.counts: collections.Counter[str] = collections.Counter()
        self.saved = saved
        self.ran_ids: set[str] = set()
        self.leaving_since_s: float | None = None
        self.history: collections.deque[tuple[float, contract.Load]] = (
            collections.deque(maxlen=LOAD_HISTORY)
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
        until = now_s - self.behaviour.report_lag_ms / 1000
        for since, load in reversed(self.history):
            if since <= until:
                return load
        return contract.Load(0, 0, self.spec.slots)

    def draw_ms(self, items: int) -> float:
        """Draws the service time of a call, in milliseconds."""
        behaviour = self.behaviour
        means = min(self.random.expovariate(1.0), MAX_SERVICE_MEANS)
        time_ms = behaviour.mean_ms * means
        if self.random.random() < behaviour.straggler_fraction:
            time_ms *= behaviour.straggler_factor
        if behaviour.state == "cold":
            time_ms *= behaviour.cold_factor
        return time_ms + behaviour.item_ms * max(0, items - 1)


def now() -> float:
    """Returns the event loop time, in seconds."""
    return asyncio.get_running_loop().time()


def load_refusal_of(searcher: Searcher) -> contract.Status | None:
    """Returns why the searcher refuses all work, or None."""
    if searcher.behaviour.state == "draining":
        return "draining"
    if len(searcher.queue) >= searcher.behaviour.queue_bound:
        return "shed"
    return None


def version_refusal_of(
    searcher: Searcher, item: contract.SearchItem
) -> contract.Status | None:
    """Returns why the snapshot of a sub-query is not held, or None."""
    if item["snapshot"] in searcher.snapshots:
        return None
    if item["snapshot"] in searcher.dropped:
        return "version-gone"
    return "version-unknown"


def refusal_of(
    searcher: Searcher, item: contract.SearchItem
) -> contract.Status | None:
    """Returns why a sub-query is refused, or None."""
    return load_refusal_of(searcher) or version_refusal_of(searcher, item)


def hits_of(searcher: Searcher, item: contract.SearchItem) -> list[corpus.Hit]:
    """Returns the best hits of a sub-query over the shards that are held."""
    snapshot = searcher.snapshots[item["snapshot"]]
    shards = tuple(shard.id for shard in snapshot.shards)
    held = {
        shard.id
        for shard in snapshot.shards
        if shard.service == searcher.service
    }
    covered = held & set(item["shards"])
    return corpus.expected(
        item["query"], snapshot.version, shards, covered, item["limit"]
    )


def echoed_id(searcher: Searcher, request_id: str) -> str:
    """Returns the request id to echo in a response."""
    wrong = searcher.behaviour.fault == "wrong-id"
    return f"{request_id}x" if wrong else request_id


def item_result(
    searcher: Searcher,
    item: contract.SearchItem,
    verdict: contract.Status | None,
) -> dict[str, typing.Any]:
    """Returns the result of one sub-query."""
    hits = hits_of(searcher, item) if verdict == "ok" else []
    refused = verdict in ("shed", "draining")
    return {
        "request_id": echoed_id(searcher, item["request_id"]),
        "start_id": item["start_id"],
        "status": verdict,
        "snapshot": item["snapshot"],
        "hits": hits,
        "retry_after_ms": searcher.behaviour.retry_after_ms if refused else 0.0,
    }


def search_reply(searcher: Searcher, job: Job) -> dict[str, typing.Any]:
    """Returns the response body of a search call."""
    results = [
        item_result(searcher, item, verdict)
        for item, verdict in zip(job.items, job.verdicts, strict=True)
    ]
    load = searcher.reported_load(now())._asdict()
    return {"results": results, "load": load}


def save_reply(
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
        body["result"] = {"saved": corpus.digest_of(save["body"])}
    else:
        body["retry_after_ms"] = searcher.behaviour.retry_after_ms
    return body


def answer(
    searcher: Searcher, connection: wire.Connection, value: typing.Any
) -> None:
    """Sends a response, subject to the injected fault."""
    fault = searcher.behaviour.fault
    count_fault(searcher)
    if fault == "lose-reply":
        connection.transport.abort()
    elif fault != "hang":
        connection.reply(200, b"{garbage" if fault == "garbage" else value)


def count_fault(searcher: Searcher) -> None:
    """Counts a call of the fault and ends the fault after its last one."""
    left = searcher.behaviour.fault_calls
    if left is None:
        return
    if left <= 1:
        fields: dict[str, typing.Any] = {"fault": "none", "fault_calls": None}
    else:
        fields = {"fault_calls": left - 1}
    searcher.behaviour = searcher.behaviour._replace(**fields)


def finish(searcher: Searcher, job: Job, now_s: float) -> None:
    """Ends a job, sends its response and starts waiting jobs."""
    searcher.running.discard(job)
    if job.save is not None:
        reply = save_reply(searcher, job.save, "ok")
    else:
        searcher.counts["expired"] += job.expire(now_s)
        for index in job.open_items():
            gone = version_refusal_of(searcher, job.items[index])
            job.verdicts[index] = gone or "ok"
            searcher.counts["gone" if gone else "finished"] += 1
        reply = search_reply(searcher, job)
    answer(searcher, job.connection, reply)
    pump(searcher)


def begin(searcher: Searcher, job: Job) -> None:
    """Starts a job on a free slot."""
    now_s = now()
    time_ms = searcher.draw_ms(len(job.items))
    if job.save is not None:
        saved = contract.SavedKey(
            job.save["key"], len(searcher.saved), searcher.spec.id
        )
        searcher.saved.append(saved)
        searcher.counts["saves"] += 1
    else:
        searcher.counts["expired"] += job.expire(now_s)
        live = job.open_items()
        if not live:
            answer(searcher, job.connection, search_reply(searcher, job))
            return
        searcher.counts["calls"] += 1
        searcher.counts["ran"] += len(live)
        searcher.ran_ids |= {job.items[index]["request_id"] for index in live}
        job.until_s = max(job.deadline_s(index) for index in live)
    searcher.running.add(job)
    done_s = min(now_s + time_ms / 1000, job.until_s)
    loop = asyncio.get_running_loop()
    job.timer = loop.call_at(done_s, finish, searcher, job, done_s)


def pump(searcher: Searcher) -> None:
    """Starts waiting jobs while there are free slots."""
    while searcher.queue and len(searcher.running) < searcher.spec.slots:
        begin(searcher, searcher.queue.popleft())
    if searcher.behaviour.report_lag_ms > 0:
        searcher.history.append((now(), searcher.load()))


def count_late(searcher: Searcher, items: int) -> None:
    """Counts new work that arrives after the searcher began to leave."""
    since_s = searcher.leaving_since_s
    if since_s is not None:
        late = now() - since_s > LEAVING_GRACE_S
        searcher.counts["late" if late else "leaving"] += items


def admit(searcher: Searcher, job: Job) -> None:
    """Queues a search job, or responds at once if all of it is refused."""
    for index, item in enumerate(job.items):
        job.verdicts[index] = refusal_of(searcher, item)
    searcher.counts["asked"] += len(job.items)
    count_late(searcher, len(job.items))
    searcher.counts["refused"] += len(job.items) - len(job.open_items())
    if not job.open_items():
        answer(searcher, job.connection, search_reply(searcher, job))
        return
    searcher.queue.append(job)
    pump(searcher)


def admit_save(searcher: Searcher, job: Job, save: contract.SaveCall) -> None:
    """Queues a save, or responds at once that it did not run."""
    count_late(searcher, 1)
    status = load_refusal_of(searcher)
    if status is not None:
        answer(searcher, job.connection, save_reply(searcher, save, status))
        return
    searcher.queue.append(job)
    pump(searcher)


def cancel_items(
    searcher: Searcher, job: Job, named: set[tuple[str, str]]
) -> None:
    """Cancels sub-queries of a job, and ends the job when none is left."""
    stopped = [
        index
        for index in job.open_items()
        if (job.items[index]["request_id"], job.items[index]["start_id"])
        in named
    ]
    for index in stopped:
        job.verdicts[index] = "deadline"
    searcher.counts["cancelled"] += len(stopped)
    if not stopped or job.open_items():
        return
    if job.timer is None:
        searcher.queue.remove(job)
    else:
        job.timer.cancel()
    finish(searcher, job, now())
