"""Detects failed members by missed heartbeats and unanswered probes.

A daemon monitors the few members whose heartbeats it expects. A member that
sends nothing is probed directly over a new connection and indirectly through
other members. It is declared dead only if none of these probes is answered.
A daemon that receives no messages at all assumes that it is itself isolated
and declares no member dead.
"""

import typing

__all__ = ["CheckResult", "Detector", "check"]

#: Time between two heartbeats, in seconds.
HEARTBEAT_INTERVAL_S = 1.0

#: Time without contact after which a member is probed, in seconds.
SILENCE_TIMEOUT_S = 3.0 * HEARTBEAT_INTERVAL_S

#: Time after which an unanswered probe has failed, in seconds.
PROBE_TIMEOUT_S = 1.0

#: Time between two checks above which this process was paused, in seconds.
PAUSE_THRESHOLD_S = 2.0


class CheckResult(typing.NamedTuple):
    """Result of a check.

    Attributes:
        probe: Addresses of the members to probe now.
        dead: Addresses of the members that answered neither a direct nor an
            indirect probe.
        paused: Whether this process was paused since the last check.
    """

    probe: list[str]
    dead: list[str]
    paused: bool = False


class Detector:
    """Times of the last contact with the monitored members.

    All times are in seconds on this process's monotonic clock.

    Attributes:
        last_contact_s: Time of the last heartbeat or probe reply, by address
            of the monitored member.
        probe_started_s: Time at which the current probe began, by address of
            the probed member.
        last_message_s: Time of the last message from any daemon.
        last_check_s: Time of the last check.
        isolated: Whether this daemon receives no messages at all.
    """

    def __init__(self, now_s: float) -> None:
        self.last_contact_s: dict[str, float] = {}
        self.probe_started_s: dict[str, float] = {}
        self.last_message_s = now_s
        self.last_check_s = now_s
        self.isolated = False

    def record_contact(self, address: str, now_s: float) -> None:
        """Records that a member is alive and ends its probe."""
        if address in self.last_contact_s:
            self.last_contact_s[address] = now_s
        self.probe_started_s.pop(address, None)

    def record_message(self, now_s: float) -> None:
        """Records a message from any daemon; ends the isolation."""
        self.last_message_s = now_s
        if self.isolated:
            self.isolated = False
            self.reset_timers(now_s)

    def reset_timers(self, now_s: float) -> None:
        """Restarts the timeout of every monitored member."""
        self.last_message_s = now_s
        self.last_contact_s = dict.fromkeys(self.last_contact_s, now_s)
        self.probe_started_s.clear()

    def expect(self, addresses: list[str], now_s: float) -> None:
        """Sets the members to monitor, by address."""
        self.last_contact_s = {
            a: self.last_contact_s.get(a, now_s) for a in addresses
        }
        self.probe_started_s = {
            a: at_s
            for a, at_s in self.probe_started_s.items()
            if a in self.last_contact_s
        }


def check(detector: Detector, now_s: float) -> CheckResult:
    """Returns the members to probe and the members that are dead.

    After a pause of this process all timeouts restart, since it could not
    receive messages during the pause.
    """
    gap_s = now_s - detector.last_check_s
    detector.last_check_s = now_s
    if gap_s > PAUSE_THRESHOLD_S:
        detector.reset_timers(now_s)
        return CheckResult([], [], paused=True)
    silence_s = now_s - detector.last_message_s
    if (
        detector.last_contact_s
        and silence_s > SILENCE_TIMEOUT_S + PROBE_TIMEOUT_S / 2
    ):
        detector.isolated = True
    if detector.isolated:
        detector.probe_started_s.clear()
        return CheckResult([], [])
    probe, dead = [], []
    for address, contact_s in detector.last_contact_s.items():
        started_s = detector.probe_started_s.get(address)
        if started_s is not None and now_s - started_s > PROBE_TIMEOUT_S:
            dead.append(address)
        elif started_s is None and now_s - contact_s > SILENCE_TIMEOUT_S:
            detector.probe_started_s[address] = now_s
            probe.append(address)
    return CheckResult(probe, dead)
