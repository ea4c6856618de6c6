"""Divides capacity between workspaces while there is too little of it.

A VM keeps the recently completed work of each workspace as one exponentially
decaying counter, for the most active workspaces. While requests are refused for
overload, a workspace above its share is refused earlier than one below it, and
its calls wait behind those of others. Without overload nothing is compared, and
without workspaces there are no counters.
"""

import math

__all__ = ["FairShares", "create_fair_shares", "limit_factor"]

#: Time after which completed work counts for 1/e, in seconds: longer than the
#: objectives, so that a few requests make no share, and shorter than a burst.
TIME_CONSTANT_S = 2.0
#: Maximum number of workspaces with a counter.
MAX_WORKSPACES = 256
#: Interval at which counters of idle workspaces are dropped, in seconds.
PRUNE_INTERVAL_S = 1.0
#: Fraction of the mean below which a workspace counts as idle.
IDLE_FRACTION = 0.05
#: Time after a refusal for which there is overload, in seconds.
OVERLOAD_VALID_S = 1.0
#: Reduction of the accepted wait for each doubling of the fair share, and for
#: each level of priority.
SHARE_STEP, PRIORITY_STEP = 0.25, 0.05
#: Minimum of each factor. A workspace above its share still uses all capacity
#: that the others leave: the slots are busy long before half of the wait.
MIN_SHARE_FACTOR, MIN_PRIORITY_FACTOR = 0.5, 0.9


class FairShares:
    """Recently completed work of workspaces.

    Attributes:
        work: Decayed work in seconds, and the time of the last change, by
            workspace.
        total: Decayed work of all workspaces, in seconds.
        total_at_s: Time of the last change of the total, in seconds.
        pruned_s: Time at which idle workspaces were last dropped, in seconds.
        refused_s: Time of the last refusal for overload, in seconds.
    """

    def __init__(self) -> None:
        self.work: dict[str, tuple[float, float]] = {}
        self.total = 0.0
        self.total_at_s = 0.0
        self.pruned_s = 0.0
        self.refused_s = -math.inf

    def record(self, workspace: str, work_s: float, now_s: float) -> None:
        """Records completed work.

        Args:
            workspace: Name of the workspace; empty if there is none.
            work_s: Time for which a searcher was busy, in seconds.
            now_s: Current time, in seconds.
        """
        if not workspace:
            return
        if now_s - self.pruned_s >= PRUNE_INTERVAL_S:
            self.prune(now_s)
        if workspace not in self.work and len(self.work) >= MAX_WORKSPACES:
            del self.work[min(self.work, key=lambda row: self.of(row, now_s))]
        self.work[workspace] = (self.of(workspace, now_s) + work_s, now_s)
        self.total = _decay(self.total, now_s - self.total_at_s) + work_s
        self.total_at_s = now_s

    def of(self, workspace: str, now_s: float) -> float:
        """Returns the decayed work of a workspace, in seconds."""
        work_s, at_s = self.work.get(workspace, (0.0, now_s))
        return _decay(work_s, now_s - at_s)

    def prune(self, now_s: float) -> None:
        """Drops the counters of idle workspaces."""
        self.pruned_s = now_s
        rows = {name: self.of(name, now_s) for name in self.work}
        mean = math.fsum(rows.values()) / max(1, len(rows))
        for name, work_s in rows.items():
            if work_s < mean * IDLE_FRACTION:
                del self.work[name]

    def ratio(self, workspace: str, now_s: float) -> float:
        """Returns the work of a workspace, relative to its fair share.

        The share is the mean over the workspaces that were active of late.
        """
        total = _decay(self.total, now_s - self.total_at_s)
        if workspace not in self.work or not total:
            return 0.0
        return self.of(workspace, now_s) * len(self.work) / total

    def record_refusal(self, now_s: float) -> None:
        """Records that a request was refused for overload."""
        self.refused_s = now_s

    def overloaded(self, now_s: float) -> bool:
        """Tells whether requests were refused for overload of late."""
        return now_s - self.refused_s < OVERLOAD_VALID_S

    def deferral(self, workspace: str, now_s: float) -> int:
        """Returns by how many levels of priority a waiting call is deferred.

        There are two places for each kind of request, above and below the
        share, instead of one queue for each workspace and searcher.
        """
        if not workspace or not self.overloaded(now_s):
            return 0
        return int(self.ratio(workspace, now_s) > 1.0)


def limit_factor(ratio: float, levels: int) -> float:
    """Returns the factor of the expected wait up to which work is accepted.

    Answers the load of a burst over one workspace beside others: the waits stay
    near the lower limit of those above their share, so that those below it, and
    more urgent requests, find capacity at once.

    Args:
        ratio: Work of the workspace relative to its share; 0 if it has none.
        levels: Number of levels by which other requests for the same capacity
            are more urgent.
    """
    doublings = math.log2(max(1.0, ratio))
    share = max(MIN_SHARE_FACTOR, 1.0 - SHARE_STEP * doublings)
    return share * max(MIN_PRIORITY_FACTOR, 1.0 - PRIORITY_STEP * levels)


def _decay(value: float, age_s: float) -> float:
    return value * math.exp(-age_s / TIME_CONSTANT_S)


def create_fair_shares() -> FairShares:
    """Returns the state without completed work."""
    return FairShares()
