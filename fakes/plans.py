"""Plans of load and their scheduled arrivals.

The same seed gives the same arrivals, queries and saves; only the keys of the
saves carry the time of the run.
"""

import itertools
import random
import time
import typing
import uuid

from laurelrock import manifest

__all__ = ["Arrival", "Plan", "Target", "schedule"]


class Target(typing.NamedTuple):
    """What is asked of one application.

    Attributes:
        application: Name in the manifest.
        token: Bearer token of the caller.
        per_s: Mean rate of queries.
        saves: Number of saves, spread over the run.
    """

    application: str
    token: str
    per_s: float
    saves: int = 0


class Plan(typing.NamedTuple):
    """One run.

    Attributes:
        urls: Base URLs of the entries, used in rotation.
        manifests: Every manifest that may be in force in the run.
        targets: What is asked.
        seconds: Length of the run.
        seed: Of arrivals, queries and keys.
        vocabulary: Number of distinct queries of each application.
        skew: Exponent of the queries' Zipf distribution.
        limit: Most hits.
        deadline_ms: Of each query; None leaves it to the policy.
        min_coverage: Of each query; None leaves it to the policy.
        save_deadline_ms: Of each save.
        delay_ms: One way, from the callers to the entries.
        resent: Fraction of saves sent again, through another entry, half of
            them at the same time and half after the first answer.
        ready_urls: Readiness URL of each entry's base URL; an entry that is
            not ready is left out of the rotation, as a balancer does.
        recorded: Whether the result keeps every request's record.
    """

    urls: list[str]
    manifests: list[manifest.Manifest]
    targets: list[Target]
    seconds: float
    seed: int = 1
    vocabulary: int = 500
    skew: float = 1.0
    limit: int = 10
    deadline_ms: float | None = None
    min_coverage: float | None = None
    save_deadline_ms: float = 3000.0
    delay_ms: float = 0.0
    resent: float = 0.3
    ready_urls: dict[str, str] = {}
    recorded: bool = False


class Arrival(typing.NamedTuple):
    """One scheduled request; `key` is empty for a query."""

    at_s: float
    target: Target
    body: typing.Any
    key: str = ""
    resend: typing.Literal["", "together", "after"] = ""


def new_key(rng: random.Random, at_s: float) -> str:
    """Returns a UUID of version 7 for a time in seconds since 1970."""
    number = int(at_s * 1000) << 80 | rng.getrandbits(80)
    number = number & ~(0xF << 76) | 0x7 << 76
    return str(uuid.UUID(int=number & ~(0x3 << 62) | 0x2 << 62))


def schedule(plan: Plan) -> list[Arrival]:
    """Returns all arrivals of a run in the order of their times."""
    rng = random.Random(plan.seed)
    ranks = range(plan.vocabulary)
    weights = list(
        itertools.accumulate(1 / (rank + 1) ** plan.skew for rank in ranks)
    )
    arrivals = []
    for target in plan.targets:
        at_s = rng.expovariate(target.per_s) if target.per_s else plan.seconds
        while at_s < plan.seconds:
            rank = rng.choices(ranks, cum_weights=weights)[0]
            query = {"text": f"{target.application} {rank}"}
            arrivals.append(Arrival(at_s, target, query))
            at_s += rng.expovariate(target.per_s)
        arrivals += [_save(plan, target, rng) for _ in range(target.saves)]
    return sorted(arrivals, key=lambda arrival: arrival.at_s)


def _save(plan: Plan, target: Target, rng: random.Random) -> Arrival:
    at_s = rng.uniform(0, plan.seconds)
    body = {"quote": rng.getrandbits(64)}
    resend: typing.Literal["", "together", "after"] = ""
    if rng.random() < plan.resent:
        resend = "together" if rng.random() < 1 / 2 else "after"
    return Arrival(at_s, target, body, new_key(rng, time.time() + at_s), resend)
