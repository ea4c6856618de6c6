"""Hold-down: a relay that came back waits before it owns queues again.

The wait doubles with each return, so that a VM that flaps moves ownership
ever more rarely. A relay never seen before does not wait.
"""

__all__ = ["HoldDown"]

#: Wait after the first return, in seconds.
FIRST_HOLD_S = 5.0

#: Longest wait, in seconds.
LONGEST_HOLD_S = 160.0

#: Returns older than this are not counted, in seconds.
WINDOW_S = 600.0


class HoldDown:
    """Returns of each member.

    Attributes:
        returns_s: Times of the returns within `WINDOW_S`, by address.
        until_s: End of the present wait, by address.
    """

    def __init__(self) -> None:
        self.returns_s: dict[str, list[float]] = {}
        self.until_s: dict[str, float] = {}

    def returned(self, address: str, now_s: float) -> float:
        """Notes a return; gives the length of the wait in seconds."""
        recent = [
            at_s
            for at_s in self.returns_s.get(address, [])
            if now_s - at_s < WINDOW_S
        ]
        recent.append(now_s)
        self.returns_s[address] = recent
        hold_s = min(FIRST_HOLD_S * 2 ** (len(recent) - 1), LONGEST_HOLD_S)
        self.until_s[address] = now_s + hold_s
        return hold_s

    def held(self, now_s: float) -> frozenset[str]:
        """Returns the members that still wait."""
        waiting = [a for a, end_s in self.until_s.items() if end_s > now_s]
        return frozenset(waiting)

    def forget_old(self, now_s: float) -> None:
        """Drops members without a recent return."""
        for address, times_s in list(self.returns_s.items()):
            if now_s - times_s[-1] > WINDOW_S:
                del self.returns_s[address]
                del self.until_s[address]
