"""Load generator: scheduled arrivals, skewed queries, checked responses.

Usage: `python -m fakes.load --url URL ... --manifest FILE ... --token TOKEN
--application NAME ... [--per-s N] [--seconds N] [--saves N] [--seed N]`.
Prints one JSON object.

The load is open-loop: arrivals have exponentially distributed gaps and do not
wait for responses. Latency is measured from the scheduled time.
"""

import argparse
import asyncio
import collections
import collections.abc
import contextlib
import gc
import itertools
import pathlib
import typing

import aiohttp
from hdrh import histogram
import msgspec

from fakes import checks
from fakes import corpus
from fakes import plans
from laurelrock import manifest

__all__ = ["Plan", "Result", "Target", "run", "summary"]

#: Wait after the deadline until an attempt times out, in milliseconds.
GRACE_MS = 3000.0

#: Largest latency that the histograms record, in microseconds.
MAX_LATENCY_US = 120_000_000
#: Number of significant decimal digits that the histograms keep.
LATENCY_DIGITS = 3

#: Interval between two readiness checks of an entry, in seconds.
READY_POLL_S = 0.1
#: Timeout of a readiness check, in seconds.
READY_TIMEOUT_S = 0.3

#: Largest number of wrong responses and errors that are kept as examples.
MAX_EXAMPLES = 10

#: Valid values of the field "ran" in an error response.
RAN = ("no", "yes", "unknown")

Plan = plans.Plan
Target = plans.Target
Arrival = plans.Arrival
schedule = plans.schedule


class Record(typing.NamedTuple):
    """Record of one request and its response.

    Attributes:
        kind: Last part of the request path: "search" or "saves".
        application: Application that was called.
        body: Query, or body of the save.
        key: Idempotency key of a save; empty for a query.
        url: Base URL of the entry.
        began_s: Event loop time when the request was sent.
        ended_s: Event loop time of the response or the failure.
        status: HTTP status of the response; 0 if there was none.
        answer: Decoded body of the response.
        error: Why there was no response; empty if there was one.
    """

    kind: str
    application: str
    body: typing.Any
    key: str
    url: str
    began_s: float
    ended_s: float
    status: int
    answer: dict[str, typing.Any]
    error: str = ""


class Result(typing.NamedTuple):
    """Results of a run.

    Attributes:
        counts: Counters: queries under "queries", "whole", "partial",
            "refused", "wrong" and "errors"; shards of successful queries under
            "shards" and "shards_missing"; saves under "saves" and their
            attempts under "save_attempts", "saves_yes", "saves_no",
            "saves_unknown" and "save_errors".
        codes: Number of error responses, by code.
        snapshots: Number of correct responses, by snapshot version.
        latency_us: Latencies of correct responses in microseconds, by
            application.
        refusal_us: Latencies of refused queries, in microseconds.
        outcomes: Responses to each save.
        examples: Descriptions of some wrong responses and errors.
        late_us: Delays between the scheduled and the actual send time, in
            microseconds.
        records: Records of all requests, if the plan asks for them.
    """

    counts: collections.Counter[str]
    codes: collections.Counter[str]
    snapshots: collections.Counter[str]
    latency_us: dict[str, histogram.HdrHistogram]
    refusal_us: histogram.HdrHistogram
    outcomes: list[checks.SaveOutcome]
    examples: list[str]
    late_us: histogram.HdrHistogram
    records: list[Record]


class Run:
    """State of a run in progress.

    Attributes:
        plan: Parameters of the run.
        session: HTTP session of all requests.
        lists: Shard ids of each version of each application.
        urls: Endless round-robin iterator over the entries' base URLs.
        unready: Base URLs of the entries that are not ready.
        result: Results so far.
    """

    def __init__(self, plan: Plan, session: aiohttp.ClientSession) -> None:
        self.plan = plan
        self.session = session
        self.lists = checks.shard_lists(plan.manifests)
        self.urls = itertools.cycle(plan.urls)
        self.unready: set[str] = set()
        self.result = Result(
            collections.Counter(),
            collections.Counter(),
            collections.Counter(),
            {item.application: new_histogram() for item in plan.targets},
            new_histogram(),
            [],
            [],
            new_histogram(),
            [],
        )

    def next_url(self) -> str:
        """Returns the next ready entry, or the next one if none is ready."""
        for _ in self.plan.urls:
            url = next(self.urls)
            if url not in self.unready:
                return url
        return next(self.urls)

    def note(self, kind: str, text: str) -> None:
        """Counts a wrong response or an error and keeps it as an example."""
        self.result.counts[kind] += 1
        if len(self.result.examples) < MAX_EXAMPLES:
            self.result.examples.append(f"{kind}: {text}")


class Reply(typing.NamedTuple):
    """Status and decoded body of a response."""

    status: int
    body: dict[str, typing.Any]


def new_histogram() -> histogram.HdrHistogram:
    """Returns an empty histogram of latencies in microseconds."""
    return histogram.HdrHistogram(1, MAX_LATENCY_US, LATENCY_DIGITS)


async def post(
    run_: Run, target: Target, path: str, body: typing.Any, key: str = ""
) -> Reply:
    """Sends one request to the next entry.

    Raises:
        aiohttp.ClientError: The connection failed.
        TimeoutError: No response arrived within the timeout.
        msgspec.DecodeError: The response is not JSON.
    """
    base = run_.next_url()
    url = f"{base}/v1/applications/{target.application}/{path}"
    headers = {"Authorization": f"Bearer {target.token}"}
    if key:
        headers["Idempotency-Key"] = key
    data = msgspec.json.encode(body)
    if run_.plan.delay_ms > 0:
        await asyncio.sleep(2 * run_.plan.delay_ms / 1000)
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    reply, failure = Reply(0, {}), ""
    try:
        async with run_.session.post(url, data=data, headers=headers) as answer:
            decoded = msgspec.json.decode(await answer.read())
            reply = Reply(answer.status, decoded)
        return reply
    except FAILURES as error:
        failure = repr(error)
        raise
    finally:
        if run_.plan.recorded:
            asked = body["body"] if path == "saves" else body["query"]
            record = Record(
                path,
                target.application,
                asked,
                key,
                base,
                began_s,
                loop.time(),
                *reply,
                failure,
            )
            run_.result.records.append(record)


FAILURES = (aiohttp.ClientError, TimeoutError, OSError, msgspec.DecodeError)


async def follow_readiness(run_: Run) -> None:
    """Polls readiness and updates the set of entries that are not ready."""

    async def probe(url: str, ready_url: str) -> None:
        timeout = aiohttp.ClientTimeout(total=READY_TIMEOUT_S)
        ready = False
        try:
            async with run_.session.get(ready_url, timeout=timeout) as answer:
                ready = answer.status == 200
        except FAILURES:
            pass
        run_.unready -= {url} if ready else set()
        run_.unready |= set() if ready else {url}

    while True:
        rows = run_.plan.ready_urls.items()
        await asyncio.gather(*(probe(*row) for row in rows))
        await asyncio.sleep(READY_POLL_S)


async def ask(run_: Run, arrival: Arrival, due_s: float) -> None:
    """Sends a query and checks its response."""
    plan, counts = run_.plan, run_.result.counts
    options = {
        "limit": plan.limit,
        "deadline_ms": plan.deadline_ms,
        "min_coverage": plan.min_coverage,
    }
    body = {k: v for k, v in options.items() if v is not None}
    body["query"] = arrival.body
    counts["queries"] += 1
    application = arrival.target.application
    try:
        reply = await post(run_, arrival.target, "search", body)
    except FAILURES as error:
        run_.note("errors", f"{application}: {error!r}")
        return
    latency_us = int((asyncio.get_running_loop().time() - due_s) * 1e6)
    if reply.status != 200:
        count_refusal(run_, "refused", reply)
        run_.result.refusal_us.record_value(max(1, latency_us))
        return
    fault = checks.fault_of_answer(
        reply.body, run_.lists, application, arrival.body, plan.limit
    )
    if fault is not None:
        run_.note("wrong", f"{application}: {fault}")
        return
    counts["partial" if reply.body["partial"] else "whole"] += 1
    coverage = reply.body["coverage"]
    counts["shards"] += coverage["shards"]
    counts["shards_missing"] += len(coverage["missing"])
    run_.result.snapshots[reply.body["snapshot"]] += 1
    run_.result.latency_us[application].record_value(max(1, latency_us))


def count_refusal(run_: Run, kind: str, reply: Reply) -> None:
    """Counts an error response, as "wrong" if it is malformed."""
    body = reply.body
    if "code" not in body or body.get("ran") not in RAN:
        run_.note("wrong", f"status {reply.status}, {body}")
        return
    run_.result.counts[kind] += 1
    run_.result.codes[body["code"]] += 1


async def save_once(run_: Run, arrival: Arrival) -> checks.SaveAnswer:
    """Sends one attempt of a save and returns the response."""
    body = {"body": arrival.body, "deadline_ms": run_.plan.save_deadline_ms}
    counts = run_.result.counts
    counts["save_attempts"] += 1
    try:
        reply = await post(run_, arrival.target, "saves", body, arrival.key)
    except FAILURES as error:
        run_.note("save_errors", repr(error))
        return checks.SaveAnswer("")
    if reply.status != 200:
        ran = reply.body.get("ran", "")
        count_refusal(run_, f"saves_{ran}", reply)
        return checks.SaveAnswer(ran)
    counts["saves_yes"] += 1
    return checks.SaveAnswer("yes", reply.body.get("result"))


async def save(run_: Run, arrival: Arrival) -> None:
    """Sends a save, twice if the schedule says so."""
    run_.result.counts["saves"] += 1
    if arrival.resend == "together":
        pair = save_once(run_, arrival), save_once(run_, arrival)
        answers = list(await asyncio.gather(*pair))
    else:
        answers = [await save_once(run_, arrival)]
        if arrival.resend == "after":
            answers.append(await save_once(run_, arrival))
    outcome = checks.SaveOutcome(arrival.key, arrival.body, answers)
    run_.result.outcomes.append(outcome)


@contextlib.contextmanager
def frozen_heap() -> collections.abc.Iterator[None]:
    """Excludes all existing objects from garbage collection.

    A full collection would otherwise stop the event loop for tens of
    milliseconds, which would count as latency.
    """
    gc.collect()
    gc.freeze()
    try:
        yield
    finally:
        gc.unfreeze()


def warm(plan: Plan, arrivals: list[Arrival]) -> None:
    """Fills the corpus caches before the run, so that checks are cheap."""
    queries = {
        (item.target.application, msgspec.json.encode(item.body))
        for item in arrivals
        if not item.key
    }
    lists = checks.shard_lists(plan.manifests)
    for application, encoded in sorted(queries):
        query = msgspec.json.decode(encoded)
        for (name, version), shards in lists.items():
            if name == application:
                corpus.expected(query, version, shards, shards, plan.limit)


async def run(plan: Plan) -> Result:
    """Runs a load plan and waits for all responses."""
    arrivals = schedule(plan)
    warm(plan, arrivals)
    with frozen_heap():
        return await send(plan, arrivals)


async def send(plan: Plan, arrivals: list[Arrival]) -> Result:
    """Sends scheduled requests and waits for all responses."""
    loop = asyncio.get_running_loop()
    longest_ms = max(plan.deadline_ms or 10_000.0, plan.save_deadline_ms)
    timeout = aiohttp.ClientTimeout(total=(longest_ms + GRACE_MS) / 1000)
    connector = aiohttp.TCPConnector(limit=0)
    async with (
        aiohttp.ClientSession(connector=connector, timeout=timeout) as session,
        asyncio.TaskGroup() as group,
    ):
        state = Run(plan, session)
        balancing = group.create_task(follow_readiness(state))
        began_s = loop.time()
        for arrival in arrivals:
            due_s = began_s + arrival.at_s
            await asyncio.sleep(max(0.0, due_s - loop.time()))
            late_us = int((loop.time() - due_s) * 1e6)
            state.result.late_us.record_value(max(1, late_us))
            if arrival.key:
                group.create_task(save(state, arrival))
            else:
                group.create_task(ask(state, arrival, due_s))
        balancing.cancel()
    return state.result


def percentile_ms(values: histogram.HdrHistogram, percent: float) -> float:
    """Returns a percentile of a histogram, in milliseconds."""
    return float(values.get_value_at_percentile(percent)) / 1000


def summary(result: Result) -> dict[str, typing.Any]:
    """Returns a summary of the results as JSON values."""
    total = new_histogram()
    for values in result.latency_us.values():
        total.add(values)
    return {
        **result.counts,
        "codes": dict(result.codes),
        "snapshots": dict(result.snapshots),
        "late_p99_ms": percentile_ms(result.late_us, 99),
        "p50_ms": percentile_ms(total, 50),
        "p99_ms": percentile_ms(total, 99),
        "p999_ms": percentile_ms(total, 99.9),
        "applications": {
            name: {
                "answers": values.get_total_count(),
                "p50_ms": percentile_ms(values, 50),
                "p99_ms": percentile_ms(values, 99),
            }
            for name, values in result.latency_us.items()
        },
        "examples": result.examples,
    }


def main() -> None:
    """Runs the command line."""
    parser = argparse.ArgumentParser(description="Load generator for entries.")
    parser.add_argument("--url", action="append", required=True)
    parser.add_argument(
        "--manifest", action="append", type=pathlib.Path, required=True
    )
    parser.add_argument("--application", action="append", required=True)
    parser.add_argument("--token", required=True)
    parser.add_argument("--per-s", type=float, default=50.0)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--saves", type=int, default=0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--deadline-ms", type=float)
    args = parser.parse_args()
    plan = Plan(
        urls=args.url,
        manifests=[manifest.decode(p.read_bytes()) for p in args.manifest],
        targets=[
            Target(name, args.token, args.per_s, args.saves)
            for name in args.application
        ],
        seconds=args.seconds,
        seed=args.seed,
        deadline_ms=args.deadline_ms,
    )
    result = asyncio.run(run(plan))
    print(msgspec.json.encode(summary(result)).decode())


if __name__ == "__main__":
    main()
