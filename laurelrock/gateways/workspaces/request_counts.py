"""Counts requests by workspace, for metrics with few labels."""

import collections

__all__ = ["OTHER", "RequestCounts", "create_request_counts"]

#: Maximum number of workspaces with a label of their own; each label is a time
#: series at every VM.
MAX_LABELS = 20
#: Label of the requests of all other workspaces.
OTHER = "other"


class RequestCounts:
    """Numbers of requests by label.

    The workspaces with most requests have labels. A label's number never falls
    while it exists, as counters must not.

    Attributes:
        totals: Number of requests by workspace.
        labels: Number of requests since the label exists, by label.
        other: Number of requests that had no label.
    """

    def __init__(self) -> None:
        self.totals: collections.Counter[str] = collections.Counter()
        self.labels: dict[str, int] = {}
        self.other = 0

    def record(self, workspace: str) -> None:
        """Counts a request."""
        self.totals[workspace] += 1
        if workspace not in self.labels and len(self.labels) >= MAX_LABELS:
            smallest = min(self.labels, key=self.totals.__getitem__)
            if self.totals[workspace] <= self.totals[smallest]:
                self.other += 1
                return
            del self.labels[smallest]
        self.labels[workspace] = self.labels.get(workspace, 0) + 1

    def export(self) -> dict[str, float]:
        """Returns the numbers by label."""
        found: dict[str, float] = dict(self.labels)
        if self.other:
            found[OTHER] = found.get(OTHER, 0) + self.other
        return found


def create_request_counts() -> RequestCounts:
    """Returns the state before the first request."""
    return RequestCounts()
