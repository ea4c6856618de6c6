"""Failure detector: silence, a direct probe, probes through others.

A daemon watches the few members whose heartbeats it expects. One that is
silent is probed over a new connection and through helpers; it is dead only
when none of these brings an answer. Where nobody at all is heard, the daemon
itself is cut off and judges nobody.
"""

import typing

__all__ = ["Detector", "Verdicts", "check"]

#: Time between two heartbeats, in seconds.
HEARTBEAT_S = 1.0

#: Silence after which a member is probed, in seconds.
SILENT_S = 3.0 * HEARTBEAT_S

#: How long a probe may take, in seconds.
PROBE_S = 1.0

#: Time without a check after which this process counts as paused, in seconds.
PAUSED_S = 2.0


class Verdicts(typing.NamedTuple):
    """Outcome of a check.

    Attributes:
        probe: Members to probe now.
        dead: Members that answered neither directly nor through others.
        paused: Whether this process was paused.
    """

    probe: list[str]
    dead: list[str]
    paused: bool = False


class Detector:
    """When members were last heard.

    Attributes:
        heard_s: Last sign of life of each expected member.
        probed_s: When the present probe of a silent member began.
        heard_any_s: Last message from any daemon.
        checked_s: Last check.
        isolated: Whether nobody is heard at all.
    """

    def __init__(self, now_s: float) -> None:
        self.heard_s: dict[str, float] = {}
        self.probed_s: dict[str, float] = {}
        self.heard_any_s = now_s
        self.checked_s = now_s
        self.isolated = False

    def heard(self, address: str, now_s: float) -> None:
        """Notes a sign of life of an expected member."""
        if address in self.heard_s:
            self.heard_s[address] = now_s
        self.probed_s.pop(address, None)

    def heard_anything(self, now_s: float) -> None:
        """Notes any message; ends the isolation."""
        self.heard_any_s = now_s
        if self.isolated:
            self.isolated = False
            self.start_over(now_s)

    def start_over(self, now_s: float) -> None:
        """Gives every expected member the whole time again."""
        self.heard_any_s = now_s
        self.heard_s = dict.fromkeys(self.heard_s, now_s)
        self.probed_s.clear()

    def expect(self, addresses: list[str], now_s: float) -> None:
        """Sets the members whose heartbeats are expected."""
        self.heard_s = {a: self.heard_s.get(a, now_s) for a in addresses}
        self.probed_s = {
            a: at_s for a, at_s in self.probed_s.items() if a in self.heard_s
        }


def check(detector: Detector, now_s: float) -> Verdicts:
    """Finds the silent and the dead among the expected members."""
    gap_s = now_s - detector.checked_s
    detector.checked_s = now_s
    if gap_s > PAUSED_S:
        detector.start_over(now_s)
        return Verdicts([], [], paused=True)
    silence_s = now_s - detector.heard_any_s
    if detector.heard_s and silence_s > SILENT_S + PROBE_S / 2:
        detector.isolated = True
    if detector.isolated:
        detector.probed_s.clear()
        return Verdicts([], [])
    probe, dead = [], []
    for address, heard_s in detector.heard_s.items():
        probed_s = detector.probed_s.get(address)
        if probed_s is not None and now_s - probed_s > PROBE_S:
            dead.append(address)
        elif probed_s is None and now_s - heard_s > SILENT_S:
            detector.probed_s[address] = now_s
            probe.append(address)
    return Verdicts(probe, dead)
