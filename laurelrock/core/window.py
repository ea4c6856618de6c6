"""Windows: refuse what a process sent twice.

The ids of one process are a counter. A window keeps the last ids seen and a
floor; what lies at or below the floor counts as seen, so that the window
stays small and an id is never taken twice.
"""

__all__ = ["Window", "Windows"]

#: Ids that a window keeps.
MAX_IDS = 4096
#: Processes whose windows are kept.
MAX_WINDOWS = 8192


class Window:
    """Ids seen from one process.

    Attributes:
        floor: Every id up to here counts as seen.
        ids: Seen above the floor.
    """

    def __init__(self) -> None:
        self.floor = 0
        self.ids: set[int] = set()

    def take(self, number: int) -> bool:
        """Notes an id; returns False if it may have been seen before."""
        if number <= self.floor or number in self.ids:
            return False
        self.ids.add(number)
        if len(self.ids) > MAX_IDS:
            self.floor = min(self.ids)
            self.ids.discard(self.floor)
        return True


class Windows:
    """Windows by the start id of the process, the last used last."""

    def __init__(self) -> None:
        self.windows: dict[str, Window] = {}

    def take(self, start_id: str, query_id: str) -> bool:
        """Notes a message; returns False if it may have been seen before."""
        if not query_id.isdecimal():
            return False
        window = self.windows.pop(start_id, None) or Window()
        self.windows[start_id] = window
        if len(self.windows) > MAX_WINDOWS:
            del self.windows[next(iter(self.windows))]
        return window.take(int(query_id))
