"""Load plans and the schedule of request arrivals that follows from them.

The same seed gives the same arrivals, queries and saves; only the keys of the
saves contain the time of the run.
"""

import itertools
import random
import time
import typing
import uuid

from laurelrock import manifest

__all__ = ["ApplicationLoad", "Arrival", "Plan", "schedule"]


class ApplicationLoad(typing.NamedTuple):
    """Load on one application.

    Attributes:
        application: Name of the application in the manifest.
        token: Bearer token of the caller.
        queries_per_s: Mean number of queries per second.
        saves: Number of saves, at uniformly random times of the run.
    """

    application: str
    token: str
    queries_per_s: float
    saves: int = 0


class Plan(typing.NamedTuple):
    """Parameters of one load run.

    Attributes:
        entry_urls: Base URLs of the entries, used in round-robin order.
        manifests: Every manifest that may be in force during the run.
        application_loads: Load on each application.
        seconds: Length of the run, in seconds.
        seed: Random seed of arrivals, queries and keys.
        distinct_queries: Number of distinct queries of each application.
        zipf_exponent: Exponent of the Zipf distribution of the queries.
        limit: Largest number of hits that a query requests.
        deadline_ms: Deadline of each query, in milliseconds; None uses the
            default of the policy.
        min_coverage: Smallest accepted coverage of each query; None uses the
            default of the policy.
        save_deadline_ms: Deadline of each save, in milliseconds.
        delay_ms: One-way network delay from the callers to the entries, in
            milliseconds.
        resent_fraction: Fraction of saves that are sent twice, the second time
            through the next entry: half of them concurrently, half after the
            first response.
        ready_urls: Readiness URL of each entry, by its base URL. Entries that
            are not ready are skipped, as a load balancer does.
        keep_records: Whether the result contains a record of every request.
    """

    entry_urls: list[str]
    manifests: list[manifest.Manifest]
    application_loads: list[ApplicationLoad]
    seconds: float
    seed: int = 1
    distinct_queries: int = 500
    zipf_exponent: float = 1.0
    limit: int = 10
    deadline_ms: float | None = None
    min_coverage: float | None = None
    save_deadline_ms: float = 3000.0
    delay_ms: float = 0.0
    resent_fraction: float = 0.3
    ready_urls: dict[str, str] = {}
    keep_records: bool = False


class Arrival(typing.NamedTuple):
    """Scheduled request.

    Attributes:
        scheduled_s: Time since the start of the run, in seconds.
        application_load: Application to call, with its token.
        body: Query, or body of the save.
        key: Idempotency key of a save; empty for a query.
        resend: When a save is sent again: "together" with the first attempt,
            "after" its response, or never.
    """

    scheduled_s: float
    application_load: ApplicationLoad
    body: typing.Any
    key: str = ""
    resend: typing.Literal["", "together", "after"] = ""


def new_key(rng: random.Random, at_s: float) -> str:
    """Returns a version 7 UUID for a time in seconds since 1970."""
    number = int(at_s * 1000) << 80 | rng.getrandbits(80)
    number = number & ~(0xF << 76) | 0x7 << 76
    return str(uuid.UUID(int=number & ~(0x3 << 62) | 0x2 << 62))


def schedule(plan: Plan) -> list[Arrival]:
    """Returns all arrivals of a run in chronological order."""
    rng = random.Random(plan.seed)
    ranks = range(plan.distinct_queries)
    weights = list(
        itertools.accumulate(
            1 / (rank + 1) ** plan.zipf_exponent for rank in ranks
        )
    )
    arrivals = []
    for target in plan.application_loads:
        at_s = (
            rng.expovariate(target.queries_per_s)
            if target.queries_per_s
            else plan.seconds
        )
        while at_s < plan.seconds:
            rank = rng.choices(ranks, cum_weights=weights)[0]
            query = {"text": f"{target.application} {rank}"}
            arrivals.append(Arrival(at_s, target, query))
            at_s += rng.expovariate(target.queries_per_s)
        arrivals += [
            _schedule_save(plan, target, rng) for _ in range(target.saves)
        ]
    return sorted(arrivals, key=lambda arrival: arrival.scheduled_s)


def _schedule_save(
    plan: Plan, target: ApplicationLoad, rng: random.Random
) -> Arrival:
    at_s = rng.uniform(0, plan.seconds)
    body = {"quote": rng.getrandbits(64)}
    resend: typing.Literal["", "together", "after"] = ""
    if rng.random() < plan.resent_fraction:
        resend = "together" if rng.random() < 1 / 2 else "after"
    return Arrival(at_s, target, body, new_key(rng, time.time() + at_s), resend)
