"""Checker: verifies the promises over the history of one run.

A history holds every caller's requests and what the searchers ran. Each
promise is checked with the count of times that it was put to the test.
"""

import collections
import typing

from fakes import checks
from fakes import corpus
from fakes import load

__all__ = ["History", "PROMISES", "Verdict", "check"]

#: Longest time until an accepted manifest is in force, in seconds.
IN_FORCE_S = 3.0


class Publication(typing.NamedTuple):
    """A manifest that was accepted."""

    generation: int
    at_s: float


class Shutdown(typing.NamedTuple):
    """A daemon that was asked to end; `url` is empty for a relay."""

    url: str
    at_s: float


class History(typing.NamedTuple):
    """What happened in one run.

    Attributes:
        records: Every request.
        shards: Shard ids by application and version.
        limit: Hits asked for.
        outcomes: All answers to each save.
        saved: Keys of the saves that searchers ran, once a run.
        ran_ids: Ids of the calls that searchers ran: the request id of the
            search, a dot and a number.
        late: Items sent to searchers long after they began to leave.
        leaving: Items sent to them before that.
        shutdowns: Daemons that were asked to end.
        publications: Manifests that were accepted.
    """

    records: list[load.Record]
    shards: checks.ShardLists
    limit: int
    outcomes: list[checks.SaveOutcome]
    saved: list[str]
    ran_ids: set[str]
    late: int
    leaving: int
    shutdowns: list[Shutdown]
    publications: list[Publication]


class Verdict(typing.NamedTuple):
    """How often a promise was put to the test, and what broke it."""

    exercised: int
    violations: list[str]


def answers_of(history: History) -> list[load.Record]:
    """Returns the searches that were answered."""
    return [
        record
        for record in history.records
        if record.kind == "search" and record.status == 200
    ]


def check_snapshot(history: History) -> Verdict:
    """Every hit of an answer comes from the snapshot that it names."""
    answers = answers_of(history)
    bad = []
    for record in answers:
        version = record.answer["snapshot"]
        found = {hit["document"]["version"] for hit in record.answer["hits"]}
        known = (record.application, version) in history.shards
        if not known or found - {version}:
            bad.append(f"{record.answer['request_id']}: {version}, {found}")
    return Verdict(len(answers), bad)


def check_coverage(history: History) -> Verdict:
    """Hits are the best of just the shards that the answer covers."""
    answers = answers_of(history)
    bad = []
    for record in answers:
        fault = checks.fault_of_answer(
            record.answer,
            history.shards,
            record.application,
            record.body,
            history.limit,
        )
        if fault is not None:
            bad.append(f"{record.answer.get('request_id')}: {fault}")
    return Verdict(len(answers), bad)


def check_own_answer(history: History) -> Verdict:
    """Answers and results of saves belong to the request."""
    answers = answers_of(history)
    bad = []
    seen: collections.Counter[str] = collections.Counter()
    for record in answers:
        digest = corpus.digest_of(record.body)
        request_id = record.answer["request_id"]
        seen[request_id] += 1
        found = {hit["document"]["query"] for hit in record.answer["hits"]}
        if found - {digest}:
            bad.append(f"{request_id}: hits of another query")
    bad += [f"{name}: answered twice" for name, n in seen.items() if n > 1]
    faults = checks.faults_of_saves(history.outcomes, history.saved)
    bad += [f"{key}: result of another save" for key in faults.crossed]
    return Verdict(len(answers) + len(history.outcomes), bad)


def check_refusals(history: History) -> Verdict:
    """What a refusal calls not run was not run."""
    refused = [
        record
        for record in history.records
        if record.status not in (0, 200) and record.answer.get("ran") == "no"
    ]
    ran_ids = {call_id.partition(".")[0] for call_id in history.ran_ids}
    bad = [
        f"{record.answer['request_id']}: ran, {record.answer['code']}"
        for record in refused
        if record.answer["request_id"] in ran_ids
    ]
    faults = checks.faults_of_saves(history.outcomes, history.saved)
    bad += [f"{key}: save ran, all answers said no" for key in faults.denied]
    bad += [f"{key}: save never ran, but yes" for key in faults.invented]
    return Verdict(len(refused), bad)


def check_saves(history: History) -> Verdict:
    """Each key runs at most once."""
    runs = collections.Counter(history.saved)
    bad = [f"{key}: ran {n} times" for key, n in runs.items() if n > 1]
    return Verdict(len(history.outcomes), bad)


def check_leaving(history: History) -> Verdict:
    """A leaving searcher gets no new work after a few seconds."""
    bad = [f"{history.late} items came late"] if history.late else []
    return Verdict(history.leaving + history.late, bad)


def check_shutdown(history: History) -> Verdict:
    """A daemon that ends cuts no request in flight."""
    exercised = 0
    bad = []
    for shutdown in history.shutdowns:
        for record in history.records:
            if not record.began_s < shutdown.at_s < record.ended_s:
                continue
            if shutdown.url and record.url != shutdown.url:
                continue
            exercised += 1
            if record.status == 0:
                bad.append(f"{record.kind} at {record.url}: {record.error}")
            elif record.kind == "search" and record.status == 200:
                bad += cut_shards(record)
    return Verdict(exercised, bad)


def cut_shards(record: load.Record) -> list[str]:
    """Returns the shards that an answer lost to a daemon's end."""
    reasons = ("relay-leaving", "no-relay", "cancelled")
    return [
        f"{record.answer['request_id']}: {row['shard']} {row['reason']}"
        for row in record.answer["coverage"]["missing"]
        if row["reason"] in reasons
    ]


def check_manifest(history: History) -> Verdict:
    """An accepted manifest is in force within seconds and never reverts."""
    answers = sorted(answers_of(history), key=lambda record: record.began_s)
    exercised = 0
    bad = []
    newest: dict[str, load.Record] = {}
    for record in answers:
        generation = record.answer["generation"]
        before = newest.get(record.url)
        if (
            before is not None
            and before.ended_s < record.began_s
            and generation < before.answer["generation"]
        ):
            bad.append(f"{record.url}: back to {generation}")
        if before is None or generation >= before.answer["generation"]:
            newest[record.url] = record
        for publication in history.publications:
            if record.began_s < publication.at_s + IN_FORCE_S:
                continue
            exercised += 1
            if generation < publication.generation:
                name = publication.generation
                bad.append(f"{record.url}: {generation}, not yet {name}")
    return Verdict(exercised, bad)


#: Check of each promise.
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


def check(history: History) -> dict[str, Verdict]:
    """Checks all promises over a history."""
    return {name: promise(history) for name, promise in PROMISES.items()}
