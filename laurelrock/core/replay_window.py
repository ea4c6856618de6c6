"""Rejects duplicate messages with a sliding window of ids per sender.

Each process numbers its messages with a counter. A window keeps the highest
ids seen and a floor. An id at or below the floor is treated as seen, so that
the window stays small and no id is ever accepted twice.
"""

__all__ = ["ReplayWindow", "ReplayWindows"]

#: Maximum number of ids in a window.
MAX_IDS = 4096
#: Maximum number of processes whose windows are kept.
MAX_WINDOWS = 8192


class ReplayWindow:
    """Ids seen from one process.

    Attributes:
        floor: Id up to which, inclusive, every id is treated as seen.
        ids: Ids above the floor that were seen.
    """

    def __init__(self) -> None:
        self.floor = 0
        self.ids: set[int] = set()

    def accept(self, number: int) -> bool:
        """Records an id; returns False if it may have been seen before."""
        if number <= self.floor or number in self.ids:
            return False
        self.ids.add(number)
        if len(self.ids) > MAX_IDS:
            self.floor = min(self.ids)
            self.ids.discard(self.floor)
        return True


class ReplayWindows:
    """Windows of the processes that sent messages.

    Attributes:
        windows: The window of each process, by start id of the process, the
            most recently used last.
    """

    def __init__(self) -> None:
        self.windows: dict[str, ReplayWindow] = {}

    def accept(self, start_id: str, query_id: str) -> bool:
        """Records a message; returns False if it must be rejected.

        A message is rejected if its id may have been seen before or is not a
        decimal number.
        """
        if not query_id.isdecimal():
            return False
        window = self.windows.pop(start_id, None) or ReplayWindow()
        self.windows[start_id] = window
        if len(self.windows) > MAX_WINDOWS:
            del self.windows[next(iter(self.windows))]
        return window.accept(int(query_id))
