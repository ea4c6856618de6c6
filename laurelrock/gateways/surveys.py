"""Surveys: which shards the owners of groups can't reach.

A VM that has other VMs call the shards sees no searcher fall silent. Owners
tell it, with each group that they take and when they are asked, so that a
query that can't reach its least share is refused before it runs.
"""

import asyncio
import collections.abc
import typing

from laurelrock.core import owners
from laurelrock.core import routes
from laurelrock.gateways import assignment
from laurelrock.gateways import parts
from laurelrock.gateways import questions

__all__ = ["Surveys", "create_surveys"]

#: Time for which an owner's word counts, in seconds.
FRESH_S = 1.0
#: Least time between two surveys of a route, in seconds.
AGAIN_S = 0.3


class Word(typing.NamedTuple):
    """What an owner said of its group, and when."""

    said: questions.Surveyed
    at_s: float


Send = collections.abc.Callable[[owners.Vm, typing.Any], None]


class Surveys:
    """What owners said.

    Attributes:
        placement: Knows the searchers that this VM calls.
        assignment: Who calls which services.
        owner_of: Returns the owner of a group that is asked first.
        send: Sends a message to a VM.
        words: Of the owners, by the first shard of their groups.
        asked_s: Loop time of the last survey, by route.
    """

    def __init__(
        self,
        placement: parts.Placement,
        assigned: assignment.Assignment,
        owner_of: collections.abc.Callable[[tuple[str, ...]], owners.Vm | None],
        send: Send,
    ) -> None:
        self.placement = placement
        self.assignment = assigned
        self.owner_of = owner_of
        self.send = send
        self.words: dict[str, Word] = {}
        self.asked_s: dict[str, float] = {}
        self.loop = asyncio.get_running_loop()

    def blocked(self, services: collections.abc.Iterable[str]) -> int:
        """Returns how many services this VM can't reach, for who asks."""
        reachable = self.placement.reachable
        return sum(1 for name in services if not reachable(name))

    def far_silent(self) -> bool:
        """Tells whether all other failure domains are silent to this VM."""
        return self.placement.known.far_silent(self.loop.time())

    def answer(self, survey: questions.Survey) -> questions.Surveyed:
        """Returns this VM's word on a group."""
        services = survey.services
        blocked = self.blocked(services)
        return questions.Surveyed(services[0], blocked, self.far_silent())

    def note(self, said: questions.Surveyed) -> None:
        """Takes an owner's word on its group."""
        self.words[said.key] = Word(said, self.loop.time())

    def reachable(self, route: routes.Route) -> int:
        """Returns the shards of a query that may be reached."""
        if not self.assignment.needed(route):
            return len(route.shards) - self.blocked(route.shards)
        blocked = 0
        for group in owners.cut(route.shards):
            if self.owner_of(group) == self.assignment.me:
                blocked += self.blocked(group)
            else:
                said = self.fresh(group[0])
                blocked += said.blocked if said else 0
        return len(route.shards) - blocked

    def fresh(self, key: str) -> questions.Surveyed | None:
        """Returns what an owner said lately, if anything."""
        word = self.words.get(key)
        if word is None or self.loop.time() - word.at_s > FRESH_S:
            return None
        return word.said

    def ask(self, route: routes.Route) -> None:
        """Asks the owners of a query's groups, unless that was just done."""
        now_s = self.loop.time()
        if now_s - self.asked_s.get(route.name, -AGAIN_S) < AGAIN_S:
            return
        self.asked_s[route.name] = now_s
        for group in owners.cut(route.shards):
            vm = self.owner_of(group)
            if vm is not None and vm != self.assignment.me:
                self.send(vm, questions.Survey(group))

    def cut_off(self) -> bool:
        """Tells whether all owners that spoke lately hear nobody from afar.

        That shards can't be reached is no sign of a cut: their searchers may
        be down for everybody.
        """
        said = [word for word in map(self.fresh, self.words) if word]
        return bool(said) and all(word.far_silent for word in said)

    def configure(self, names: collections.abc.Container[str]) -> None:
        """Forgets routes and groups that are gone."""
        for name in [row for row in self.asked_s if row not in names]:
            del self.asked_s[name]
        keys = set(self.assignment.keys.values())
        for key in [row for row in self.words if row not in keys]:
            del self.words[key]


def create_surveys(
    placement: parts.Placement,
    assigned: assignment.Assignment,
    owner_of: collections.abc.Callable[[tuple[str, ...]], owners.Vm | None],
    send: Send,
) -> Surveys:
    """Returns the state before any owner's word."""
    return Surveys(placement, assigned, owner_of, send)
