"""Decides which requests are quarantined because they crash searchers.

A request that crashes each searcher that begins to run it comes back under new
ids, at any VM. VMs tell each other the attempts that ended without an answer
while searchers crashed, and each decides alone, from the same evidence. Other
requests that ran on the same searchers must not be shut out: any answer clears
a request, and crashes that a quarantined request explains count against no
other one.
"""

import collections.abc
import typing

__all__ = [
    "CrashReport",
    "Suspect",
    "SuspectTable",
    "create_suspect_table",
]

#: Crashes and attempts from which a request is quarantined. Only attempts under
#: which another searcher crashed count: several attempts of a popular request
#: may lose the same searchers at once.
MIN_CRASHES, MIN_ATTEMPTS = 3, 2
#: Attempts from which a request is quarantined although another one ran at all
#: of the same searchers.
MAX_SHARED_ATTEMPTS = 4
#: Time for which evidence counts, in seconds, and for which it is remembered
#: that a request was cleared.
EVIDENCE_VALID_S = 60.0
#: First and longest time of a quarantine, in seconds. It doubles each time the
#: request crashes a searcher again after it.
QUARANTINE_S, MAX_QUARANTINE_S = 60.0, 3600.0
#: Maximum number of suspects, and of crashes and attempts stored for each. One
#: attempt of a query may crash a searcher of each shard; crashes that aren't
#: stored would not be explained.
MAX_SUSPECTS = 256
MAX_CRASHES, MAX_ATTEMPTS = 64, 8


class CrashReport(typing.NamedTuple):
    """An attempt that got no answer while searchers crashed under it.

    Attributes:
        fingerprint: Hash of what the request shares with its repeats.
        attempt: Id of the attempt.
        crashed: Hashes of the starts of the searchers that crashed.
    """

    fingerprint: int
    attempt: str
    crashed: list[int]


class Suspect(typing.NamedTuple):
    """What one VM tells another about a request.

    Attributes:
        fingerprint: Hash of what the request shares with its repeats.
        attempts: Ids of its attempts that got no answer.
        crashed: Hashes of the starts of the searchers that crashed under them.
        quarantines: Number of times that it was quarantined.
        evidence_age_s: Time since the last crash, in seconds.
        cleared_age_s: Time since the last answer, in seconds.
    """

    fingerprint: int
    attempts: list[str]
    crashed: list[int]
    quarantines: int
    evidence_age_s: float
    cleared_age_s: float


class Evidence:
    """What this VM knows about one request.

    Attributes:
        attempts: Ids of attempts that got no answer and under which another
            searcher crashed than before.
        crashed: Hashes of the starts of the searchers that crashed under them.
        last_s: Time of the last crash, in seconds.
        cleared_s: Time of the last answer, in seconds.
        quarantines: Number of times that it was quarantined.
        until_s: Time at which its quarantine ends, in seconds.
        unjudged: Whether there is evidence that was not considered yet.
    """

    def __init__(self) -> None:
        self.attempts: dict[str, None] = {}
        self.crashed: dict[int, None] = {}
        self.last_s = 0.0
        self.cleared_s = 0.0
        self.quarantines = 0
        self.until_s = 0.0
        self.unjudged = False

    def add(
        self,
        attempts: collections.abc.Iterable[str],
        crashed: collections.abc.Iterable[int],
        at_s: float,
    ) -> bool:
        """Adds evidence; returns whether any of it is new."""
        known = len(self.crashed)
        self.crashed.update(dict.fromkeys(crashed))
        added = len(self.crashed) > known
        if added:
            self.attempts.update(dict.fromkeys(attempts))
        while len(self.attempts) > MAX_ATTEMPTS:
            del self.attempts[next(iter(self.attempts))]
        while len(self.crashed) > MAX_CRASHES:
            del self.crashed[next(iter(self.crashed))]
        self.last_s = max(self.last_s, at_s)
        return added

    def quarantine_s(self) -> float:
        """Returns the length of the present quarantine, in seconds."""
        return min(QUARANTINE_S * 2 ** (self.quarantines - 1), MAX_QUARANTINE_S)

    def is_outdated(self, now_s: float) -> bool:
        """Tells whether nothing of it counts any more.

        After a quarantine it counts for as long as that lasted, so that the
        next crash is enough for a longer one.
        """
        kept_s = EVIDENCE_VALID_S
        if self.quarantines:
            kept_s = 2 * self.quarantine_s()
        return now_s - max(self.last_s, self.cleared_s) > kept_s


class SuspectTable:
    """Evidence against requests.

    Attributes:
        rows: The evidence by fingerprint, the oldest first.
    """

    def __init__(self) -> None:
        self.rows: dict[int, Evidence] = {}

    def is_suspect(self, fingerprint: int) -> bool:
        """Tells whether a request crashed searchers and got no answer since."""
        row = self.rows.get(fingerprint)
        return row is not None and bool(row.crashed)

    def release_in_s(self, fingerprint: int, now_s: float) -> float:
        """Returns the time left of a request's quarantine, in seconds.

        It is 0 if the request isn't quarantined.
        """
        row = self.rows.get(fingerprint)
        return max(0.0, row.until_s - now_s) if row is not None else 0.0

    def record(self, report: CrashReport, now_s: float) -> None:
        """Records an attempt; call `judge` when others may have reported."""
        row = self._row(report.fingerprint, now_s)
        if row.add([report.attempt], report.crashed, now_s):
            row.unjudged = True

    def judge(self, fingerprint: int, now_s: float) -> bool:
        """Quarantines a request if the evidence suffices.

        Returns:
            Whether it did so now.
        """
        row = self.rows.get(fingerprint)
        if row is None or not row.unjudged or row.until_s > now_s:
            return False
        row.unjudged = False
        if not row.quarantines and not self._is_convincing(fingerprint, row):
            return False
        row.quarantines += 1
        row.until_s = now_s + row.quarantine_s()
        return True

    def clear(self, fingerprint: int, now_s: float) -> bool:
        """Records an answer, which shows that a request is harmless.

        Returns:
            Whether the request was a suspect.
        """
        row = self.rows.get(fingerprint)
        if row is None or not row.crashed:
            return False
        row.attempts.clear()
        row.crashed.clear()
        row.cleared_s = now_s
        row.quarantines = 0
        row.until_s = 0.0
        return True

    def merge(self, suspect: Suspect, now_s: float) -> bool:
        """Adds what another VM knows.

        Returns:
            Whether the request is quarantined because of it.
        """
        fingerprint = suspect.fingerprint
        cleared_s = now_s - max(0.0, suspect.cleared_age_s)
        at_s = now_s - max(0.0, suspect.evidence_age_s)
        known = self.rows.get(fingerprint)
        if known is not None and cleared_s > known.last_s:
            self.clear(fingerprint, now_s)
        # A clock difference of messages in transit must not revive evidence
        # that an answer has refuted.
        if not suspect.crashed or (
            known is not None and at_s < known.cleared_s
        ):
            return False
        row = self._row(fingerprint, now_s)
        if row.add(suspect.attempts, suspect.crashed, at_s):
            row.unjudged = True
        if suspect.quarantines > row.quarantines:
            row.quarantines = suspect.quarantines
            row.until_s = at_s + row.quarantine_s()
            return True
        return self.judge(fingerprint, now_s)

    def suspects(self, now_s: float, most: int) -> list[Suspect]:
        """Returns what other VMs should know, the newest first."""
        self.drop_outdated(now_s)
        rows = list(self.rows.items())[::-1][:most]
        return [
            Suspect(
                fingerprint,
                list(row.attempts),
                list(row.crashed),
                row.quarantines,
                round(now_s - row.last_s, 3),
                round(now_s - row.cleared_s, 3),
            )
            for fingerprint, row in rows
        ]

    def drop_outdated(self, now_s: float) -> None:
        """Drops evidence that no longer counts."""
        for fingerprint, row in list(self.rows.items()):
            if row.is_outdated(now_s):
                del self.rows[fingerprint]

    def _row(self, fingerprint: int, now_s: float) -> Evidence:
        row = self.rows.get(fingerprint)
        if row is not None and row.is_outdated(now_s):
            row = None
        if row is None:
            row = Evidence()
        # The newest evidence is last.
        self.rows.pop(fingerprint, None)
        self.rows[fingerprint] = row
        if len(self.rows) > MAX_SUSPECTS:
            free = [key for key, r in self.rows.items() if r.until_s <= now_s]
            oldest = (
                free[0] if free[0] != fingerprint else next(iter(self.rows))
            )
            del self.rows[oldest]
        return row

    def _is_convincing(self, fingerprint: int, row: Evidence) -> bool:
        if len(row.attempts) < MIN_ATTEMPTS:
            return False
        others = [
            other for key, other in self.rows.items() if key != fingerprint
        ]
        explained = {
            searcher
            for other in others
            if other.quarantines
            for searcher in other.crashed
        }
        crashed = row.crashed.keys() - explained
        if len(crashed) < MIN_CRASHES:
            return False
        if len(row.attempts) >= MAX_SHARED_ATTEMPTS:
            return True
        return not any(crashed <= other.crashed.keys() for other in others)


def create_suspect_table() -> SuspectTable:
    """Returns a table without evidence."""
    return SuspectTable()
