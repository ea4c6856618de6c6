"""Repeats: a budget for second calls that holds over all VMs.

A service may get, in any window, a fraction of its requests and a fixed
allowance as extra calls, summed over all VMs. Each VM uses the fraction of
its own requests and its part of the allowance; the parts add up to the whole
whichever VMs can talk. In a small fleet the parts are equal. In a large one
that would leave each VM less than it needs when one of its requests fails,
so most of the allowance belongs to one VM a failure domain and service, which
lends from it or makes the service's calls itself.
"""

import collections
import collections.abc
import typing

__all__ = ["Budget", "Rule", "create_budget", "is_concentrated", "part_of"]

#: Steps in which a window slides.
STEPS = 10
#: Part of the whole budget that is used; the rest covers clocks that start
#: their steps at different moments, and processes that began anew and have
#: forgotten what they used.
SAFETY = 0.6
#: Parts of the allowance, summed over all failure domains, of the first VM of
#: a service in each and of its stand-in. They are used twice in a window in
#: which every service changes hands.
RANK_PARTS = (0.35, 0.15)
#: Extra calls in a window that an equal part of the allowance must hold; with
#: fewer a VM can't repeat the failed calls of a few requests.
LEAST_PART = 3.0


class Rule(typing.NamedTuple):
    """What operators allow.

    Attributes:
        fraction: Extra calls for each request.
        allowance: Extra calls of a service in a window, besides.
        window_s: Length of the window.
    """

    fraction: float = 0.1
    allowance: float = 10.0
    window_s: float = 10.0


class Usage:
    """Requests and extra calls of one service, by step."""

    def __init__(self) -> None:
        self.steps: collections.deque[list[int]] = collections.deque()

    def at(self, step: int) -> list[int]:
        """Returns the counts of a step: its number, requests, extras."""
        if not self.steps or self.steps[-1][0] != step:
            self.steps.append([step, 0, 0])
            while self.steps[0][0] < step - STEPS:
                self.steps.popleft()
        return self.steps[-1]

    def totals(self, step: int) -> tuple[int, int]:
        """Returns the requests and extras of the window that ends now."""
        rows = [row for row in self.steps if row[0] >= step - STEPS]
        return sum(row[1] for row in rows), sum(row[2] for row in rows)


class Budget:
    """Extra calls of all services from this VM.

    Attributes:
        rule: For all VMs together.
        vms: That share the allowance; while none is known, there is none.
        part: Returns the part of the allowance that this VM has for a
            service; None where the parts are equal.
        usage: By service.
    """

    def __init__(self, rule: Rule) -> None:
        self.rule = rule
        self.vms = 0
        self.part: collections.abc.Callable[[str], float] | None = None
        self.usage: dict[str, Usage] = {}

    def set_vms(self, count: int) -> None:
        """Notes how many VMs share the allowance."""
        self.vms = count

    def request(self, service: str, now_s: float) -> None:
        """Notes a request's first call."""
        self._at(service, now_s)[1] += 1

    def left(self, service: str, now_s: float) -> float:
        """Returns the extra calls that a service may get now."""
        step = self._step(now_s)
        usage = self.usage.get(service)
        requests, extras = usage.totals(step) if usage else (0, 0)
        allowed = SAFETY * self.rule.fraction * requests
        if self.part is not None:
            allowed += self.rule.allowance * self.part(service)
        elif self.vms:
            allowed += SAFETY * self.rule.allowance / self.vms
        return allowed - extras

    def take(self, service: str, now_s: float) -> bool:
        """Takes one extra call; False where none is left."""
        if self.left(service, now_s) < 1.0:
            return False
        self._at(service, now_s)[2] += 1
        return True

    def forget(self, now_s: float) -> None:
        """Drops the services that had nothing in the last window."""
        oldest = self._step(now_s) - STEPS
        for service, usage in list(self.usage.items()):
            if not usage.steps or usage.steps[-1][0] < oldest:
                del self.usage[service]

    def give_back(self, service: str, now_s: float) -> None:
        """Notes that a call never left this VM."""
        counts = self._at(service, now_s)
        counts[2] = max(0, counts[2] - 1)

    def _step(self, now_s: float) -> int:
        return int(now_s * STEPS / self.rule.window_s)

    def _at(self, service: str, now_s: float) -> list[int]:
        usage = self.usage.get(service)
        if usage is None:
            usage = self.usage[service] = Usage()
        return usage.at(self._step(now_s))


def is_concentrated(rule: Rule, vms: int) -> bool:
    """Tells whether equal parts of the allowance would be of no use."""
    return SAFETY * rule.allowance < vms * LEAST_PART


def part_of(rank: int | None, domains: int) -> float:
    """Returns the part of the allowance of one VM for one service.

    Args:
        rank: Of the VM among those of its failure domain, 0 first; None
            beyond those that are ranked.
        domains: Failure domains with VMs.
    """
    if rank is None or rank >= len(RANK_PARTS):
        return 0.0
    return RANK_PARTS[rank] / max(1, domains)


def create_budget(rule: Rule) -> Budget:
    """Returns an unused budget."""
    return Budget(rule)
