"""Tests that the soak's checks find a violation of each promise."""

import unittest

from bench import promises
from bench import soak_history

LISTS = {1: ("shard-0", "shard-1", "shard-2")}


def record(kind="read", request_id="r1", **fields):
    row = {
        "kind": kind,
        "request_id": request_id,
        "vm": "vm-0",
        "start_count": 1,
        "sent_s": 10.0,
        "ended_s": 10.1,
        "timeout_s": 1.0,
        "status": 200,
        "headers": {"x-server-stamp": f"files.s-1.{request_id}"},
        "body": body_of("files", request_id),
    }
    return soak_history.Record(**{**row, **fields})


def body_of(service, request_id):
    return f"{service}/{request_id}".encode().ljust(16, b".")


def query(services, missing, **fields):
    stamps = ", ".join(f"{service}.s-1.r1" for service in services)
    records = sorted([body_of(s, "r1") for s in services], reverse=True)
    headers = {"x-part-stamps": stamps, "x-missing-parts": str(missing)}
    row = {"headers": headers, "body": b"".join(records)}
    return record("query", **{**row, **fields})


def arrival(request_id="r1", service="files", searcher="s-1", **fields):
    row = {"at_s": 10.0, "ran": True}
    return soak_history.Arrival(
        request_id, service, searcher, **{**row, **fields}
    )


def history(records=(), arrivals=(), **fields):
    row = {
        "fault_spans": [],
        "versions": {1: 0.0},
        "shard_lists": LISTS,
        "drained": {},
        "retry_slack": 1,
        "ended_s": 30.0,
    }
    return soak_history.History(
        list(records), list(arrivals), **{**row, **fields}
    )


def places(**fields):
    """Failure domains d0 and d1, regions r0 and r1, VMs vm-0 and vm-1."""
    names = ("d0", "r0"), ("d1", "r1"), ("vm-0", "r0"), ("vm-1", "r1")
    row = soak_history.Places(dict(names), [], [], 4.0, [], [])
    return row._replace(**fields)


def workspaces(*keys, **fields):
    """Workspaces with the keys of each version, the first one being 1."""
    versions = dict(enumerate((dict.fromkeys(row, "main") for row in keys), 1))
    return soak_history.Workspaces(versions, {}, [])._replace(**fields)


def burst_records(served, count=40, **fields):
    """Requests in a burst, of which every `served`-th one is served."""
    return [
        record(
            request_id=f"r{fields['workspace']}-{n}",
            sent_s=10.0 + n / 10,
            status=503 if n % served else 200,
            key="key",
            **fields,
        )
        for n in range(count)
    ]


EVACUATED = places(evacuations=(soak_history.Span("d0", 4.0, 16.0),))
COLD = places(colds=(soak_history.Cold("s-1", 7.0, 10.0, 15.0),))
CAPPED = workspaces(["key"], caps={"main": (2.0, 5.0)})
BURST = workspaces(["key"], bursts=(soak_history.Span("resident", 10.0, 15.0),))
REMOVED = {
    "versions": {1: 0.0, 2: 4.0},
    "workspaces": workspaces(["key", "old"], ["key"]),
}

VALID = history(
    [
        record("save", "r1", vm="vm-1"),
        query(LISTS[1], 0, request_id="r1"),
        record("version", "r2", version=1),
    ],
    [arrival()],
)

# Promise, and a history that violates it.
VIOLATIONS = (
    ("at-most-once", history([record("save")], [arrival()] * 2)),
    ("true-refusals", history([record(status=503)], [arrival()])),
    ("own-answers", history([record(body=b"other")])),
    ("own-answers", history([record(headers={})])),
    ("true-coverage", history([query(("shard-0", "shard-1"), 0)])),
    ("true-coverage", history([query(("shard-0",), 2)])),
    ("true-coverage", history([query(("shard-0", "shard-0"), 1)])),
    ("true-coverage", history([query(LISTS[1], 0, body=b"")])),
    ("true-coverage", history([query(LISTS[1], 0, request_id="r2")])),
    ("bounded-attempts", history([], [arrival()] * 3)),
    ("bounded-repeats", history([], [arrival("r1")] * 2 + [arrival("r2")] * 2)),
    (
        "never-back",
        history(
            [
                record("version", version=2, ended_s=10.0),
                record("version", version=1, sent_s=10.1),
            ]
        ),
    ),
    (
        "in-force",
        history(
            [record("version", version=1, sent_s=14.0, ended_s=14.1)],
            versions={1: 0.0, 2: 10.0},
        ),
    ),
    (
        "in-force",
        history(
            [record("version", version=2, status=404, headers={}, sent_s=14.0)],
            versions={1: 0.0, 2: 10.0},
        ),
    ),
    (
        "drained-searchers",
        history(
            [record(sent_s=14.0)], [arrival(at_s=14.0)], drained={"s-1": 10.0}
        ),
    ),
    (
        "left-searchers",
        history(
            [record(), record(request_id="r2", sent_s=14.0)],
            [arrival(leaving=True), arrival("r2", at_s=14.0)],
        ),
    ),
    (
        "paused-searchers",
        history(
            [
                record(status=503),
                *[record(request_id=f"r{n}", sent_s=11.0) for n in range(2, 5)],
            ],
            [
                arrival(ran=False, pause_s=2.0),
                *[arrival(f"r{n}", at_s=11.0) for n in range(2, 5)],
            ],
        ),
    ),
    (
        "limited-searchers",
        history(
            [record()],
            [arrival(at_s=10.0 + n / 8, limit=2.0) for n in range(80)],
        ),
    ),
    (
        "crashing-requests",
        history(
            [
                record("crash", f"r{n}", target="/a", sent_s=10.0 + 2 * n)
                for n in range(9)
            ],
            [
                arrival(
                    f"r{n}", searcher=f"s-{n}", at_s=10 + 2 * n, crashes=True
                )
                for n in range(9)
            ],
        ),
    ),
    ("evacuated", history([], [arrival(domain="d0")], places=EVACUATED)),
    (
        "evacuated",
        history(places=EVACUATED._replace(health=(arrival("", domain="d0"),))),
    ),
    (
        "cold-rate",
        history(
            [],
            [arrival(at_s=11.0 + n / 13, vm="vm-0") for n in range(13)],
            places=COLD,
        ),
    ),
    (
        "homes",
        history(
            [record(regions=("r1",))], [arrival(domain="d0")], places=places()
        ),
    ),
    (
        "homes",
        history(
            [record(regions=("r1",), vm="vm-1")],
            places=places(bodies=(("r1", "vm-0"),)),
        ),
    ),
    (
        "tenant-cap",
        history(
            [
                record(request_id=f"r{n}", key="key", workspace="main")
                for n in range(37)
            ],
            [arrival(f"r{n}", at_s=10.0 + n / 8) for n in range(37)],
            workspaces=CAPPED,
        ),
    ),
    (
        "known-key",
        history([record(key="?")], [arrival()], workspaces=workspaces(["key"])),
    ),
    ("known-key", history([record(key="old")], [arrival()], **REMOVED)),
    (
        "known-key",
        history([record(key="key", status=401)], **REMOVED),
    ),
    (
        "key-kept-back",
        history(
            [record(key="key", workspace="main")],
            [arrival(key="key", workspace="main")],
        ),
    ),
    (
        "key-kept-back",
        history(
            [record(key="key", workspace="main")], [arrival(workspace="other")]
        ),
    ),
    (
        "fair",
        history(
            burst_records(2, workspace="main")
            + burst_records(1, workspace="resident"),
            workspaces=BURST,
        ),
    ),
    (
        "isolated-vms",
        history(
            [
                record(
                    request_id=f"r{n}",
                    vm=f"vm-{n % 2}",
                    sent_s=14.0 + n / 10,
                    status=200 if n % 2 else 503,
                )
                for n in range(40)
            ],
            cuts=(soak_history.Cut(frozenset({"vm-0"}), 9.0, 20.0),),
        ),
    ),
    (
        "nothing-cut",
        history(
            [record(status=0)],
            fault_spans=[
                soak_history.FaultSpan("stop", "vm-0", 9.9, 11.0, planned=True)
            ],
        ),
    ),
    ("answered-in-time", history([record(status=0, ended_s=12.0)])),
    (
        "recovery",
        history(
            [record(status=0, sent_s=20.0)],
            fault_spans=[soak_history.FaultSpan("kill", "vm-1", 9.0, 10.0)],
        ),
    ),
)


class CheckerTest(unittest.TestCase):
    def test_valid_history(self):
        for name, result in promises.check(VALID).items():
            with self.subTest(name):
                self.assertEqual(result.violations, [])

    def test_violations_are_found(self):
        for name, broken in VIOLATIONS:
            with self.subTest(name):
                result = promises.PROMISES[name](broken)
                self.assertTrue(result.violations)
                self.assertTrue(result.exercised)

    def test_each_promise_has_a_violation(self):
        self.assertEqual(
            {name for name, _ in VIOLATIONS}, set(promises.PROMISES)
        )

    def test_searcher_whose_notice_was_lost_may_be_called(self):
        row = history(
            [record(status=502), record(request_id="r2", sent_s=14.0)],
            [arrival(leaving=True), arrival("r2", at_s=14.0)],
        )
        result = promises.PROMISES["left-searchers"](row)
        self.assertEqual(result.violations, [])

    def test_vms_with_faults_are_exempt(self):
        span = soak_history.FaultSpan("freeze", "vm-0", 9.0, 11.0)
        broken = history(
            [record("version", version=1, sent_s=14.0, ended_s=14.1)],
            versions={1: 0.0, 2: 10.0},
            fault_spans=[span],
        )
        self.assertEqual(promises.in_force(broken).violations, [])
        late = broken._replace(
            records=[record("version", version=1, sent_s=15.2, ended_s=15.3)]
        )
        self.assertTrue(promises.in_force(late).violations)

    def test_failure_of_a_searcher_shows_that_its_route_is_in_force(self):
        stamp = {"x-server-stamp": "version-v2.s.r1"}
        for version, headers, wrong in (
            (2, stamp, False),
            (2, {}, True),
            (1, stamp, True),
            (1, {}, False),
        ):
            with self.subTest(version=version, headers=headers):
                row = record(
                    "version",
                    sent_s=20.0,
                    ended_s=20.1,
                    status=404,
                    headers=headers,
                    version=version,
                )
                found = promises.in_force(
                    history([row], versions={1: 0.0, 2: 10.0})
                )
                self.assertEqual(bool(found.violations), wrong)

    def test_standstills_of_the_soak_are_no_late_answers(self):
        """Callers whose process doesn't run can't read an answer in time."""
        late = record(status=0, ended_s=12.0)
        check = promises.answered_in_time
        still = history([late], standstills=((9.0, 10.4), (11.0, 11.2)))
        self.assertEqual(check(still).violations, [])
        shorter = history([late], standstills=((9.0, 10.2), (11.0, 11.2)))
        self.assertTrue(check(shorter).violations)

    def test_calls_before_a_cut_are_no_attempts_after_it(self):
        rows = [arrival(at_s=at_s) for at_s in (10.0, 10.1, 10.6, 10.7)]
        cut = soak_history.Cut(frozenset({"vm-0"}), 10.5, 12.0)
        check = promises.bounded_attempts
        self.assertEqual(check(history([], rows, cuts=(cut,))).violations, [])
        more = [*rows, arrival(at_s=10.8)]
        self.assertTrue(check(history([], more, cuts=(cut,))).violations)

    def test_requests_that_the_limits_of_places_and_workspaces_allow(self):
        """A check that counts too much would report faults that are none."""
        known = {"key": "key", "workspace": "main"}
        main = burst_records(1, workspace="main")
        resident = burst_records(3, workspace="resident")
        rows = (
            ("evacuated", [], [arrival(domain="d1")], {"places": EVACUATED}),
            (
                "cold-rate",
                [],
                [arrival(at_s=10.0 + n / 10) for n in range(40)],
                {"places": COLD},
            ),
            (
                "homes",
                [record(regions=("r1",), vm="vm-0")],
                [arrival(domain="d1")],
                {"places": places(bodies=(("r1", "vm-0"), ("r1", "vm-1")))},
            ),
            (
                "tenant-cap",
                [record(request_id=f"r{n}", **known) for n in range(36)],
                [arrival(f"r{n % 36}", at_s=9.0 + n / 8) for n in range(40)],
                {"workspaces": CAPPED},
            ),
            (
                "known-key",
                [record(sent_s=8.0, **known), record(key="old", status=401)],
                [],
                REMOVED,
            ),
            (
                "key-kept-back",
                [record(**known)],
                [arrival(workspace="main")],
                {},
            ),
            ("fair", [*main, *resident], [], {"workspaces": BURST}),
        )
        for name, records, arrivals, fields in rows:
            with self.subTest(name):
                row = history(records, arrivals, **fields)
                result = promises.PROMISES[name](row)
                self.assertEqual(result.violations, [])
                self.assertTrue(result.exercised)

    def test_exempt_requests_of_places_and_workspaces(self):
        """Requests in the time that VMs have to apply a change are allowed."""
        early = history([], [arrival(at_s=8.9, domain="d0")], places=EVACUATED)
        self.assertEqual(promises.PROMISES["evacuated"](early).exercised, 0)
        young = history(
            [record(key="old", sent_s=8.9)], [arrival(at_s=8.9)], **REMOVED
        )
        self.assertEqual(promises.PROMISES["known-key"](young).exercised, 0)

    def test_requests_within_a_limit(self):
        row = history(
            [record()],
            [arrival(at_s=10.0 + n / 2, limit=2.0) for n in range(40)],
        )
        result = promises.PROMISES["limited-searchers"](row)
        self.assertEqual(result.violations, [])
        self.assertGreater(result.exercised, 20)

    def test_crashing_request_that_is_refused(self):
        row = history(
            [
                record("crash", f"r{n}", target="/a", sent_s=10.0 + 2 * n)
                for n in range(9)
            ],
            [
                arrival(f"r{n}", searcher=f"s-{n}", at_s=10 + n, crashes=True)
                for n in range(3)
            ],
        )
        result = promises.PROMISES["crashing-requests"](row)
        self.assertEqual(result.violations, [])
        self.assertEqual(result.exercised, 5)
