"""Load generator: scheduled arrivals, skewed queries, checked responses.

Usage: `python -m fakes.load --url URL ... --manifest FILE ... --token TOKEN
--application NAME ... [--per-s N] [--seconds N] [--saves N] [--seed N]
[--deadline-ms MS]`. Prints one JSON object.

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

__all__ = ["ApplicationLoad", "Plan", "Result", "run", "summary"]

#: Wait after the deadline until an attempt times out, in milliseconds.
TIMEOUT_GRACE_MS = 3000.0

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
RAN_VALUES = ("no", "yes", "unknown")

Plan = plans.Plan
ApplicationLoad = plans.ApplicationLoad
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
        started_s: Event loop time when the request was sent.
        ended_s: Event loop time of the response or the failure.
        status: HTTP status of the response; 0 if there was none.
        response: Decoded body of the response.
        error: Why there was no response; empty if there was one.
    """

    kind: str
    application: str
    body: typing.Any
    key: str
    url: str
    started_s: float
    ended_s: float
    status: int
    response: dict[str, typing.Any]
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
        refusal_latency_us: Latencies of refused queries, in microseconds.
        save_attempts: Responses to each save.
        examples: Descriptions of some wrong responses and errors.
        send_delay_us: Delays between the scheduled and the actual send time, in
            microseconds.
        records: Records of all requests, if the plan asks for them.
    """

    counts: collections.Counter[str]
    codes: collections.Counter[str]
    snapshots: collections.Counter[str]
    latency_us: dict[str, histogram.HdrHistogram]
    refusal_latency_us: histogram.HdrHistogram
    save_attempts: list[checks.SaveAttempts]
    examples: list[str]
    send_delay_us: histogram.HdrHistogram
    records: list[Record]


class RunState:
    """State of a run in progress.

    Attributes:
        plan: Parameters of the run.
        session: HTTP session of all requests.
        shards_by_snapshot: Shard ids of each version of each application.
        url_cycle: Endless round-robin iterator over the entries' base URLs.
        unready_urls: Base URLs of the entries that are not ready.
        result: Results so far.
    """

    def __init__(self, plan: Plan, session: aiohttp.ClientSession) -> None:
        self.plan = plan
        self.session = session
        self.shards_by_snapshot = checks.map_shard_ids(plan.manifests)
        self.url_cycle = itertools.cycle(plan.entry_urls)
        self.unready_urls: set[str] = set()
        self.result = Result(
            collections.Counter(),
            collections.Counter(),
            collections.Counter(),
            {
                item.application: new_histogram()
                for item in plan.application_loads
            },
            new_histogram(),
            [],
            [],
            new_histogram(),
            [],
        )

    def next_url(self) -> str:
        """Returns the next ready entry, or the next one if none is ready."""
        for _ in self.plan.entry_urls:
            url = next(self.url_cycle)
            if url not in self.unready_urls:
                return url
        return next(self.url_cycle)

    def record_problem(self, kind: str, text: str) -> None:
        """Counts a wrong response or an error and keeps it as an example."""
        self.result.counts[kind] += 1
        if len(self.result.examples) < MAX_EXAMPLES:
            self.result.examples.append(f"{kind}: {text}")


class Response(typing.NamedTuple):
    """Status and decoded body of a response."""

    status: int
    body: dict[str, typing.Any]


def new_histogram() -> histogram.HdrHistogram:
    """Returns an empty histogram of latencies in microseconds."""
    return histogram.HdrHistogram(1, MAX_LATENCY_US, LATENCY_DIGITS)


async def post_request(
    state: RunState,
    target: ApplicationLoad,
    path: str,
    body: typing.Any,
    key: str = "",
) -> Response:
    """Sends one request to the next entry.

    Raises:
        aiohttp.ClientError: The connection failed.
        TimeoutError: No response arrived within the timeout.
        msgspec.DecodeError: The response is not JSON.
    """
    base_url = state.next_url()
    url = f"{base_url}/v1/applications/{target.application}/{path}"
    headers = {"Authorization": f"Bearer {target.token}"}
    if key:
        headers["Idempotency-Key"] = key
    data = msgspec.json.encode(body)
    if state.plan.delay_ms > 0:
        await asyncio.sleep(2 * state.plan.delay_ms / 1000)
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    response, failure = Response(0, {}), ""
    try:
        async with state.session.post(
            url, data=data, headers=headers
        ) as http_response:
            decoded = msgspec.json.decode(await http_response.read())
            response = Response(http_response.status, decoded)
        return response
    except REQUEST_ERRORS as error:
        failure = repr(error)
        raise
    finally:
        if state.plan.keep_records:
            payload = body["body"] if path == "saves" else body["query"]
            record = Record(
                path,
                target.application,
                payload,
                key,
                base_url,
                started_s,
                loop.time(),
                *response,
                failure,
            )
            state.result.records.append(record)


REQUEST_ERRORS = (
    aiohttp.ClientError,
    TimeoutError,
    OSError,
    msgspec.DecodeError,
)


async def poll_readiness(state: RunState) -> None:
    """Polls readiness and updates the set of entries that are not ready."""

    async def probe(url: str, ready_url: str) -> None:
        timeout = aiohttp.ClientTimeout(total=READY_TIMEOUT_S)
        ready = False
        try:
            async with state.session.get(
                ready_url, timeout=timeout
            ) as response:
                ready = response.status == 200
        except REQUEST_ERRORS:
            pass
        state.unready_urls -= {url} if ready else set()
        state.unready_urls |= set() if ready else {url}

    while True:
        rows = state.plan.ready_urls.items()
        await asyncio.gather(*(probe(*row) for row in rows))
        await asyncio.sleep(READY_POLL_S)


async def send_query(
    state: RunState, arrival: Arrival, scheduled_s: float
) -> None:
    """Sends a query and checks its response."""
    plan, counts = state.plan, state.result.counts
    options = {
        "limit": plan.limit,
        "deadline_ms": plan.deadline_ms,
        "min_coverage": plan.min_coverage,
    }
    body = {k: v for k, v in options.items() if v is not None}
    body["query"] = arrival.body
    counts["queries"] += 1
    application = arrival.application_load.application
    try:
        response = await post_request(
            state, arrival.application_load, "search", body
        )
    except REQUEST_ERRORS as error:
        state.record_problem("errors", f"{application}: {error!r}")
        return
    latency_us = int((asyncio.get_running_loop().time() - scheduled_s) * 1e6)
    if response.status != 200:
        count_error_response(state, "refused", response)
        state.result.refusal_latency_us.record_value(max(1, latency_us))
        return
    fault = checks.find_response_violation(
        response.body,
        state.shards_by_snapshot,
        application,
        arrival.body,
        plan.limit,
    )
    if fault is not None:
        state.record_problem("wrong", f"{application}: {fault}")
        return
    counts["partial" if response.body["partial"] else "whole"] += 1
    coverage = response.body["coverage"]
    counts["shards"] += coverage["shards"]
    counts["shards_missing"] += len(coverage["missing"])
    state.result.snapshots[response.body["snapshot"]] += 1
    state.result.latency_us[application].record_value(max(1, latency_us))


def count_error_response(
    state: RunState, kind: str, response: Response
) -> None:
    """Counts an error response, as "wrong" if it is malformed."""
    body = response.body
    if "code" not in body or body.get("ran") not in RAN_VALUES:
        state.record_problem("wrong", f"status {response.status}, {body}")
        return
    state.result.counts[kind] += 1
    state.result.codes[body["code"]] += 1


async def send_save_attempt(
    state: RunState, arrival: Arrival
) -> checks.SaveResponse:
    """Sends one attempt of a save and returns the response."""
    body = {"body": arrival.body, "deadline_ms": state.plan.save_deadline_ms}
    counts = state.result.counts
    counts["save_attempts"] += 1
    try:
        response = await post_request(
            state, arrival.application_load, "saves", body, arrival.key
        )
    except REQUEST_ERRORS as error:
        state.record_problem("save_errors", repr(error))
        return checks.SaveResponse("")
    if response.status != 200:
        ran = response.body.get("ran", "")
        count_error_response(state, f"saves_{ran}", response)
        return checks.SaveResponse(ran)
    counts["saves_yes"] += 1
    return checks.SaveResponse("yes", response.body.get("result"))


async def save(state: RunState, arrival: Arrival) -> None:
    """Sends a save, twice if the schedule says so."""
    state.result.counts["saves"] += 1
    if arrival.resend == "together":
        attempts = (
            send_save_attempt(state, arrival),
            send_save_attempt(state, arrival),
        )
        answers = list(await asyncio.gather(*attempts))
    else:
        answers = [await send_save_attempt(state, arrival)]
        if arrival.resend == "after":
            answers.append(await send_save_attempt(state, arrival))
    outcome = checks.SaveAttempts(arrival.key, arrival.body, answers)
    state.result.save_attempts.append(outcome)


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


def fill_corpus_caches(plan: Plan, arrivals: list[Arrival]) -> None:
    """Fills the corpus caches before the run, so that checks are cheap."""
    queries = {
        (item.application_load.application, msgspec.json.encode(item.body))
        for item in arrivals
        if not item.key
    }
    shards_by_snapshot = checks.map_shard_ids(plan.manifests)
    for application, encoded in sorted(queries):
        query = msgspec.json.decode(encoded)
        for (name, version), shards in shards_by_snapshot.items():
            if name == application:
                corpus.expected_hits(query, version, shards, shards, plan.limit)


async def run(plan: Plan) -> Result:
    """Runs a load plan and waits for all responses."""
    arrivals = schedule(plan)
    fill_corpus_caches(plan, arrivals)
    with frozen_heap():
        return await send_arrivals(plan, arrivals)


async def send_arrivals(plan: Plan, arrivals: list[Arrival]) -> Result:
    """Sends scheduled requests and waits for all responses."""
    loop = asyncio.get_running_loop()
    max_deadline_ms = max(plan.deadline_ms or 10_000.0, plan.save_deadline_ms)
    timeout = aiohttp.ClientTimeout(
        total=(max_deadline_ms + TIMEOUT_GRACE_MS) / 1000
    )
    connector = aiohttp.TCPConnector(limit=0)
    async with (
        aiohttp.ClientSession(connector=connector, timeout=timeout) as session,
        asyncio.TaskGroup() as group,
    ):
        state = RunState(plan, session)
        readiness_task = group.create_task(poll_readiness(state))
        started_s = loop.time()
        for arrival in arrivals:
            scheduled_s = started_s + arrival.scheduled_s
            await asyncio.sleep(max(0.0, scheduled_s - loop.time()))
            send_delay_us = int((loop.time() - scheduled_s) * 1e6)
            state.result.send_delay_us.record_value(max(1, send_delay_us))
            if arrival.key:
                group.create_task(save(state, arrival))
            else:
                group.create_task(send_query(state, arrival, scheduled_s))
        readiness_task.cancel()
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
        "late_p99_ms": percentile_ms(result.send_delay_us, 99),
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
        entry_urls=args.url,
        manifests=[manifest.decode(p.read_bytes()) for p in args.manifest],
        application_loads=[
            ApplicationLoad(name, args.token, args.per_s, args.saves)
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
