"""Checks the promises of the query tier over the history of one run.

A history holds the requests of all callers and what the searchers ran. The
result for each promise includes how often it was exercised.
"""

import collections
import typing

from fakes import checks
from fakes import corpus
from fakes import load

__all__ = ["PROMISES", "CheckResult", "History", "check"]

#: Maximum time until an accepted manifest is in force, in seconds.
IN_FORCE_S = 3.0


class Publication(typing.NamedTuple):
    """An accepted manifest and the loop time of its acceptance in seconds."""

    generation: int
    at_s: float


class Shutdown(typing.NamedTuple):
    """A daemon that was told to shut down.

    Attributes:
        url: URL of an entry; empty for a relay.
        at_s: Loop time of the shutdown signal, in seconds.
    """

    url: str
    at_s: float


class History(typing.NamedTuple):
    """History of one run.

    Attributes:
        records: All requests.
        shards: Shard ids by application and snapshot version.
        limit: Number of hits that each search asked for.
        outcomes: All responses to each save.
        saved: Keys of the saves that searchers ran; one entry for each run.
        ran_ids: Ids of the calls that searchers ran: the request id of the
            search, a dot and a number.
        late: Number of items sent to leaving searchers after the grace period.
        leaving: Number of items sent to leaving searchers before that.
        shutdowns: Daemons that were told to shut down.
        publications: Manifests that were accepted.
    """

    records: list[load.Record]
    shards: checks.ShardIdMap
    limit: int
    outcomes: list[checks.SaveAttempts]
    saved: list[str]
    ran_ids: set[str]
    late: int
    leaving: int
    shutdowns: list[Shutdown]
    publications: list[Publication]


class CheckResult(typing.NamedTuple):
    """How often a promise was exercised, and the violations found."""

    exercised: int
    violations: list[str]


def answered_searches(history: History) -> list[load.Record]:
    """Returns the searches that succeeded."""
    return [
        record
        for record in history.records
        if record.kind == "search" and record.status == 200
    ]


def check_snapshot(history: History) -> CheckResult:
    """All hits of an answer come from the snapshot named in the answer."""
    answers = answered_searches(history)
    violations = []
    for record in answers:
        version = record.response["snapshot"]
        found = {hit["document"]["version"] for hit in record.response["hits"]}
        known = (record.application, version) in history.shards
        if not known or found - {version}:
            violations.append(
                f"{record.response['request_id']}: {version}, {found}"
            )
    return CheckResult(len(answers), violations)


def check_coverage(history: History) -> CheckResult:
    """The hits are the best ones of exactly the shards that are covered."""
    answers = answered_searches(history)
    violations = []
    for record in answers:
        fault = checks.find_response_violation(
            record.response,
            history.shards,
            record.application,
            record.body,
            history.limit,
        )
        if fault is not None:
            violations.append(f"{record.response.get('request_id')}: {fault}")
    return CheckResult(len(answers), violations)


def check_own_answer(history: History) -> CheckResult:
    """Answers to searches and results of saves belong to their request."""
    answers = answered_searches(history)
    violations = []
    seen: collections.Counter[str] = collections.Counter()
    for record in answers:
        digest = corpus.canonical_digest(record.body)
        request_id = record.response["request_id"]
        seen[request_id] += 1
        found = {hit["document"]["query"] for hit in record.response["hits"]}
        if found - {digest}:
            violations.append(f"{request_id}: hits of another query")
    violations += [f"{name}: two answers" for name, n in seen.items() if n > 1]
    faults = checks.find_save_violations(history.outcomes, history.saved)
    violations += [f"{key}: result of another save" for key in faults.crossed]
    return CheckResult(len(answers) + len(history.outcomes), violations)


def check_refusals(history: History) -> CheckResult:
    """A request that was refused as not run was not run."""
    refused = [
        record
        for record in history.records
        if record.status not in (0, 200) and record.response.get("ran") == "no"
    ]
    ran_ids = {call_id.partition(".")[0] for call_id in history.ran_ids}
    violations = [
        f"{record.response['request_id']}: ran, {record.response['code']}"
        for record in refused
        if record.response["request_id"] in ran_ids
    ]
    faults = checks.find_save_violations(history.outcomes, history.saved)
    violations += [
        f"{key}: save ran, but all answers said no" for key in faults.denied
    ]
    violations += [
        f"{key}: save never ran, but an answer said yes"
        for key in faults.invented
    ]
    return CheckResult(len(refused), violations)


def check_saves(history: History) -> CheckResult:
    """A save runs at most once for each key."""
    runs = collections.Counter(history.saved)
    violations = [f"{key}: ran {n} times" for key, n in runs.items() if n > 1]
    return CheckResult(len(history.outcomes), violations)


def check_leaving(history: History) -> CheckResult:
    """A leaving searcher gets no new items after the grace period."""
    violations = (
        [f"{history.late} items after the grace period"] if history.late else []
    )
    return CheckResult(history.leaving + history.late, violations)


def check_shutdown(history: History) -> CheckResult:
    """A daemon that shuts down completes its requests in flight."""
    exercised = 0
    violations = []
    for shutdown in history.shutdowns:
        for record in history.records:
            if not record.started_s < shutdown.at_s < record.ended_s:
                continue
            if shutdown.url and record.url != shutdown.url:
                continue
            exercised += 1
            if record.status == 0:
                violations.append(
                    f"{record.kind} at {record.url}: {record.error}"
                )
            elif record.kind == "search" and record.status == 200:
                violations += shards_lost_to_shutdown(record)
    return CheckResult(exercised, violations)


def shards_lost_to_shutdown(record: load.Record) -> list[str]:
    """Returns the shards that an answer misses because of a shutdown."""
    reasons = ("relay-leaving", "no-relay", "cancelled")
    return [
        f"{record.response['request_id']}: {row['shard']} {row['reason']}"
        for row in record.response["coverage"]["missing"]
        if row["reason"] in reasons
    ]


def check_manifest(history: History) -> CheckResult:
    """An accepted manifest is in force after `IN_FORCE_S` and not reverted."""
    answers = sorted(
        answered_searches(history), key=lambda record: record.started_s
    )
    exercised = 0
    violations = []
    newest: dict[str, load.Record] = {}
    for record in answers:
        generation = record.response["generation"]
        previous = newest.get(record.url)
        if (
            previous is not None
            and previous.ended_s < record.started_s
            and generation < previous.response["generation"]
        ):
            violations.append(
                f"{record.url}: reverted to generation {generation}"
            )
        if previous is None or generation >= previous.response["generation"]:
            newest[record.url] = record
        for publication in history.publications:
            if record.started_s < publication.at_s + IN_FORCE_S:
                continue
            exercised += 1
            if generation < publication.generation:
                name = publication.generation
                violations.append(
                    f"{record.url}: generation {generation} instead of {name}"
                )
    return CheckResult(exercised, violations)


#: Check of each promise by name.
PROMISES = {
    "one-snapshot": check_snapshot,
    "true-coverage": check_coverage,
    "own-answer": check_own_answer,
    "true-refusal": check_refusals,
    "at-most-once": check_saves,
    "leaving-searcher": check_leaving,
    "graceful-shutdown": check_shutdown,
    "manifest-in-force": check_manifest,
}


def check(history: History) -> dict[str, CheckResult]:
    """Checks all promises over a history."""
    return {name: promise(history) for name, promise in PROMISES.items()}
