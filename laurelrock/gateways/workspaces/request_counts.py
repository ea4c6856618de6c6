"""Counts requests by workspace, for metrics with few labels."""

import collections

__all__ = ["ALL", "OTHER", "RequestCounts", "create_request_counts"]

#: Maximum number of workspaces with a label of their own; each label is a time
#: series at every VM.
MAX_LABELS = 20
#: Label of the requests of all other workspaces.
OTHER = "other"


#: Count of all requests of a workspace, whatever was decided about them.
ALL = "all"


class RequestCounts:
    """Numbers of requests by label.

    The workspaces with most requests have labels. A label's numbers never fall
    while it exists, as counters must not. The numbers of a label that ends move
    to `OTHER`, so that the sums over all labels stay complete.

    Attributes:
        totals: Number of requests by workspace.
        labels: Numbers of requests since the label exists, by label; those of
            one label are by decision, and `ALL`.
        other: Numbers of the requests without a label.
    """

    def __init__(self) -> None:
        self.totals: collections.Counter[str] = collections.Counter()
        self.labels: dict[str, collections.Counter[str]] = {}
        self.other: collections.Counter[str] = collections.Counter()

    def record(self, workspace: str) -> None:
        """Counts a request."""
        self.totals[workspace] += 1
        if workspace not in self.labels and self.take_label(workspace):
            self.labels[workspace] = collections.Counter()
        self.record_decision(workspace, ALL)

    def take_label(self, workspace: str) -> bool:
        """Tells whether a workspace gets a label, and frees one if needed."""
        if len(self.labels) < MAX_LABELS:
            return True
        smallest = min(self.labels, key=self.totals.__getitem__)
        if self.totals[workspace] <= self.totals[smallest]:
            return False
        self.other += self.labels.pop(smallest)
        return True

    def record_decision(self, workspace: str, decision: str) -> None:
        """Counts what was decided about a request that `record` counted."""
        self.labels.get(workspace, self.other)[decision] += 1

    def export(self, decision: str = ALL) -> dict[str, float]:
        """Returns the numbers of one decision by label."""
        found = {name: row[decision] for name, row in self.labels.items()}
        if self.other:
            found[OTHER] = found.get(OTHER, 0) + self.other[decision]
        return {**found}


def create_request_counts() -> RequestCounts:
    """Returns the state before the first request."""
    return RequestCounts()
