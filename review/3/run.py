"""A searcher's failure with a 4xx status is merged as a part."""

import asyncio
import typing

from fakes import shards
from review import deployment

#: Share of its requests that the searcher fails, as srv_grey's default dose.
FAILING_SHARE = 0.4
SHARDS = tuple(f"shard-{number}" for number in range(8))
PER_S = 10.0
ROUTE = {
    "name": "query",
    "path_prefix": "/query/",
    "type": "idempotent",
    "fanout": list(SHARDS),
    "max_attempts": 2,
    "top_k": 50,
    "min_success_share": 0.75,
    "timeout_ms": 1200,
    "target_latency_ms": 145,
}
#: What a failing searcher sends: no records, but long enough for some.
FAILURE_BODY = b'{"error": "segment not found", "segment": "seg-000417"}'


async def run(system: deployment.Deployment) -> int:
    """Runs the case; returns its exit code."""
    for number, service in enumerate(SHARDS):
        for copy in range(2):
            zone = deployment.ZONES[(number + copy) % 3]
            await system.add_searcher(f"i-{number}{copy}", service, zone)
    system.configure(1, [ROUTE])
    system.add_gateways(3)
    failing: set[str] = set()

    def respond(
        searcher: deployment.Searcher, request: shards.Request, stamp: str
    ) -> typing.Any:
        grey = searcher.name in failing
        if not grey or system.random.random() >= FAILING_SHARE:
            return None
        raw = shards.encode_response(
            request, "404 Not Found", FAILURE_BODY, f"X-Server-Stamp: {stamp}"
        )
        return 404, shards.ScriptedResponse(((system.work_s, raw),)), True

    system.respond_to = respond
    if not await system.open():
        return deployment.COULD_NOT_RUN
    system.start_consumers("/query/a", PER_S)
    await asyncio.sleep(5.0)
    if system.troubled:
        failing |= {"i-00", "i-31"}
        system.note("i-00 and i-31 of 16 searchers fail 0.4 of their requests")
    await asyncio.sleep(6.5)
    failing.clear()
    await asyncio.sleep(2.0)
    return judge(system)


def judge(system: deployment.Deployment) -> int:
    """Compares the answers with what the searchers answered."""
    good = {row.stamp: row for row in system.arrivals if row.status == 200}
    wrong = successes = 0
    for answer in list(system.answers):
        if answer.status != 200:
            continue
        successes += 1
        text = answer.headers.get("x-part-stamps", "")
        bad = [row for row in text.split(", ") if row not in good]
        if bad:
            wrong += 1
            if wrong <= 5:
                system.note(f"success {answer.id} names as parts: {bad}")
                foreign = b'{"error"' in answer.body
                system.note(f"its body holds the text of a failure: {foreign}")
    failures = sum(row.status == 404 for row in system.arrivals)
    system.note(
        f"{len(system.answers)} answers, {successes} successes, {failures}"
        f" failures of searchers; {wrong} successes name a failure as a part"
    )
    if not successes:
        return deployment.COULD_NOT_RUN
    return deployment.BROKEN if wrong else deployment.HELD


if __name__ == "__main__":
    deployment.main(run, __file__)
