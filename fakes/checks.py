"""Checks of responses and save ledgers against what the searchers hold."""

import collections
import collections.abc
import typing

from fakes import corpus
from laurelrock import manifest

__all__ = [
    "SaveAttempts",
    "SaveResponse",
    "find_response_violation",
    "find_save_violations",
]

#: Largest accepted rounding error of a coverage fraction.
FRACTION_TOLERANCE = 1e-6

#: Shard ids of each version of each application.
ShardIdMap = dict[tuple[str, str], list[str]]


class SaveResponse(typing.NamedTuple):
    """Response to one attempt of a save.

    Attributes:
        ran: Whether the save ran: "yes", "no" or "unknown"; empty if no
            response arrived.
        result: Result of the save, if it ran.
    """

    ran: str
    result: typing.Any = None


class SaveAttempts(typing.NamedTuple):
    """Responses to all attempts of a save with the same idempotency key."""

    key: str
    body: typing.Any
    answers: list[SaveResponse]


class SaveViolations(typing.NamedTuple):
    """Idempotency keys of saves that violate a guarantee.

    Attributes:
        run_twice: Keys of saves that ran more than once.
        denied: Keys of saves that ran although every response said "no".
        invented: Keys of saves that did not run although a response said
            "yes".
        crossed: Keys of saves that got the result of another save.
    """

    run_twice: list[str]
    denied: list[str]
    invented: list[str]
    crossed: list[str]


def map_shard_ids(
    manifests: collections.abc.Iterable[manifest.Manifest],
) -> ShardIdMap:
    """Returns the shard ids of every snapshot in the manifests."""
    return {
        (name, snapshot.version): [shard.id for shard in snapshot.shards]
        for source in manifests
        for name, application in source.applications.items()
        for snapshot in application.snapshots
    }


def find_response_violation(
    response: dict[str, typing.Any],
    shards_by_snapshot: ShardIdMap,
    application: str,
    query: typing.Any,
    limit: int,
) -> str | None:
    """Returns what is wrong with a 200 response to a search, or None.

    Args:
        response: Decoded body of the response.
        shards_by_snapshot: Shard ids of each version of each application.
        application: Application that was searched.
        query: Query that was sent.
        limit: Largest number of hits that was requested.
    """
    try:
        version, coverage = response["snapshot"], response["coverage"]
        missing = [item["shard"] for item in coverage["missing"]]
        hits = response["hits"]
        fraction, count = coverage["fraction"], coverage["shards"]
        partial = response["partial"]
    except (KeyError, TypeError) as error:
        return f"malformed: {error!r}"
    shards = shards_by_snapshot.get((application, version))
    if shards is None:
        return f"unknown snapshot {version!r}"
    if len(set(missing)) != len(missing) or not set(missing) <= set(shards):
        return f"missing names {missing}"
    if count != len(shards) or partial != bool(missing):
        return f"{count} shards, partial is {partial}"
    covered = set(shards) - set(missing)
    if abs(fraction - len(covered) / len(shards)) > FRACTION_TOLERANCE:
        return f"fraction {fraction}"
    expected_hits = corpus.expected_hits(query, version, shards, covered, limit)
    return None if hits == expected_hits else "hits differ"


def expected_save_result(body: typing.Any) -> dict[str, str]:
    """Returns the result that a searcher returns for a save of this body."""
    return {"saved": corpus.canonical_digest(body)}


def find_save_violations(
    outcomes: collections.abc.Iterable[SaveAttempts],
    ran_keys: collections.abc.Iterable[str],
) -> SaveViolations:
    """Compares responses to saves with the keys that the searchers ran."""
    runs = collections.Counter(ran_keys)
    faults = SaveViolations(
        [key for key, n in runs.items() if n > 1], [], [], []
    )
    for key, body, answers in outcomes:
        ran_values = {answer.ran for answer in answers}
        if runs[key] and ran_values == {"no"}:
            faults.denied.append(key)
        if not runs[key] and "yes" in ran_values:
            faults.invented.append(key)
        expected_result = expected_save_result(body)
        results = [answer.result for answer in answers if answer.ran == "yes"]
        if any(result != expected_result for result in results):
            faults.crossed.append(key)
    return faults
