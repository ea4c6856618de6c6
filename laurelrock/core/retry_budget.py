"""Limits extra calls, which are retries and hedges, over all VMs together.

In any time window, a service may receive a fraction of its requests plus a
fixed allowance as extra calls, summed over all VMs. Each VM uses the fraction
of its own requests and its part of the allowance. The parts add up to the whole
no matter which VMs can reach each other. In a small fleet the parts are equal.
In a large fleet an equal part would not cover the failure of a single request,
so most of the allowance for a service belongs to one VM in each failure domain,
which lends extra calls to other VMs or calls the service itself.
"""

import collections
import collections.abc
import typing

__all__ = [
    "Budget",
    "Policy",
    "allowance_fraction",
    "create_budget",
    "is_concentrated",
]

#: Number of steps in which the sliding window advances.
WINDOW_STEPS = 10
#: Fraction of the budget that is used. The rest covers VMs whose steps start at
#: different times, and restarted processes that have lost their counts.
SAFETY_FACTOR = 0.6
#: Fractions of the allowance, each summed over all failure domains, for the VM
#: that ranks first for a service in its failure domain and for its stand-by.
#: They are used twice in a window in which every service moves to another VM.
RANK_FRACTIONS = (0.35, 0.15)
#: Minimum number of extra calls per window in an equal part of the allowance.
#: With fewer, a VM cannot retry the failed calls of a few requests.
MIN_EQUAL_ALLOWANCE = 3.0


class Policy(typing.NamedTuple):
    """Limits on extra calls, set by operators.

    Attributes:
        fraction: Extra calls allowed per request.
        allowance: Extra calls of a service allowed per window in addition.
        window_s: Length of the window, in seconds.
    """

    fraction: float = 0.1
    allowance: float = 10.0
    window_s: float = 10.0


class Usage:
    """Counts of requests and extra calls of one service, by step."""

    def __init__(self) -> None:
        self.steps: collections.deque[list[int]] = collections.deque()

    def at(self, step: int) -> list[int]:
        """Returns the counts of a step as [step, requests, extra calls]."""
        if not self.steps or self.steps[-1][0] != step:
            self.steps.append([step, 0, 0])
            while self.steps[0][0] < step - WINDOW_STEPS:
                self.steps.popleft()
        return self.steps[-1]

    def totals(self, step: int) -> tuple[int, int]:
        """Returns the requests and extra calls of the window up to `step`."""
        rows = [row for row in self.steps if row[0] >= step - WINDOW_STEPS]
        return sum(row[1] for row in rows), sum(row[2] for row in rows)


class Budget:
    """Extra calls that this VM makes to all services.

    Attributes:
        policy: Limits that apply to all VMs together.
        vms: Number of VMs that share the allowance; while it is 0, this VM has
            no part of the allowance.
        own_allowance_fraction: Function that returns this VM's fraction of the
            allowance for a service; None if the parts are equal.
        usage: Counts of requests and extra calls, by service.
    """

    def __init__(self, policy: Policy) -> None:
        self.policy = policy
        self.vms = 0
        self.own_allowance_fraction: (
            collections.abc.Callable[[str], float] | None
        ) = None
        self.usage: dict[str, Usage] = {}

    def set_vms(self, count: int) -> None:
        """Sets the number of VMs that share the allowance."""
        self.vms = count

    def record_request(self, service: str, now_s: float) -> None:
        """Counts the first call of a request."""
        self._counts(service, now_s)[1] += 1

    def available(self, service: str, now_s: float) -> float:
        """Returns the number of extra calls available to a service now."""
        step = self._step_number(now_s)
        usage = self.usage.get(service)
        requests, extras = usage.totals(step) if usage else (0, 0)
        allowed = SAFETY_FACTOR * self.policy.fraction * requests
        if self.own_allowance_fraction is not None:
            allowed += self.policy.allowance * self.own_allowance_fraction(
                service
            )
        elif self.vms:
            allowed += SAFETY_FACTOR * self.policy.allowance / self.vms
        return allowed - extras

    def try_take(self, service: str, now_s: float) -> bool:
        """Takes one extra call; returns False if none is left."""
        if self.available(service, now_s) < 1.0:
            return False
        self._counts(service, now_s)[2] += 1
        return True

    def drop_idle_services(self, now_s: float) -> None:
        """Drops the services that had no calls in the last window."""
        oldest = self._step_number(now_s) - WINDOW_STEPS
        for service, usage in list(self.usage.items()):
            if not usage.steps or usage.steps[-1][0] < oldest:
                del self.usage[service]

    def refund(self, service: str, now_s: float) -> None:
        """Returns an extra call to the budget because it was never sent."""
        counts = self._counts(service, now_s)
        counts[2] = max(0, counts[2] - 1)

    def _step_number(self, now_s: float) -> int:
        return int(now_s * WINDOW_STEPS / self.policy.window_s)

    def _counts(self, service: str, now_s: float) -> list[int]:
        usage = self.usage.get(service)
        if usage is None:
            usage = self.usage[service] = Usage()
        return usage.at(self._step_number(now_s))


def is_concentrated(policy: Policy, vms: int) -> bool:
    """Tells whether equal parts of the allowance would be too small."""
    return SAFETY_FACTOR * policy.allowance < vms * MIN_EQUAL_ALLOWANCE


def allowance_fraction(rank: int | None, domains: int) -> float:
    """Returns the fraction of the allowance of one VM for one service.

    Args:
        rank: Rank of the VM for the service within its failure domain, starting
            at 0; None if the VM is not ranked.
        domains: Number of failure domains that have VMs.
    """
    if rank is None or rank >= len(RANK_FRACTIONS):
        return 0.0
    return RANK_FRACTIONS[rank] / max(1, domains)


def create_budget(policy: Policy) -> Budget:
    """Returns an unused budget."""
    return Budget(policy)
