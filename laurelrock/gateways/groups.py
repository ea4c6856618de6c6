"""Groups: shards of a query that another VM calls.

Where a searcher takes fewer connections than there are VMs, a query's shards
are cut in groups (`core.owners`). The VM that has the caller asks one owner a
group; the owner says at once that it took the group, calls the searchers,
merges, and sends what is in: everything at once where all parts came, or what
there is shortly before the objective and the rest as it comes. An owner that
doesn't take a group is passed over, and told to drop it.
"""

import asyncio
import collections.abc
import typing

from laurelrock.adapters import frames
from laurelrock.adapters import http_wire
from laurelrock.adapters import logs
from laurelrock.core import owners
from laurelrock.core import routes
from laurelrock.gateways import asked
from laurelrock.gateways import assignment
from laurelrock.gateways import calls
from laurelrock.gateways import outcomes
from laurelrock.gateways import parts
from laurelrock.gateways import questions
from laurelrock.gateways import serving
from laurelrock.gateways import surveys
from laurelrock.ports import wire

__all__ = ["Groups", "create_groups"]

#: Time in which an owner says that it took a group, in seconds: some times
#: what a message needs there and back on a loaded VM.
TAKEN_S = 0.04
#: Time before the objective at which an owner sends what is in, in seconds.
SEND_S = 0.004
#: Time for the reply of a silent owner that is pinged, in seconds. No caller
#: waits for it.
PONG_S = 0.3

_log = logs.get_logger(__name__)


Single = collections.abc.Callable[
    [calls.Work, str, parts.Placement],
    collections.abc.Awaitable[outcomes.Outcome],
]


class Groups:
    """State of the groups of this VM's queries, and of those it works on.

    Attributes:
        placement: Places the calls of groups that this VM owns.
        platform: Headers of the calls.
        exchange: Messages between VMs.
        loopback: Messages of this VM to itself.
        single: Runs a request that one searcher answers.
        assignment: Who calls which services.
        surveys: Shards that owners can't reach.
        me: This VM.
        port: Of all VMs' exchanges.
        asked: Groups that others work on, by number.
        waiting: Groups that this VM was asked for, and when, and that it was
            not told to begin.
        serving: Groups that this VM works on, by link and number.
        passed: Owners that were silent, by name.
        numbers: Groups asked so far.
        stopping: Whether this VM takes no more groups.
        counts: Events by kind, for the metrics.
    """

    def __init__(
        self,
        placement: parts.Placement,
        platform: wire.Wire,
        exchange: frames.Exchange,
        me: owners.Vm,
        port: int,
        single: Single,
    ) -> None:
        self.placement = placement
        self.platform = platform
        self.single = single
        self.assignment = assignment.create_assignment(placement.known, me)
        self.surveys = surveys.create_surveys(
            placement, self.assignment, self.owner_of, self.send
        )
        self.me = me
        self.port = port
        self.asked: dict[int, asked.Group] = {}
        self.serving: dict[tuple[questions.Link, int], asyncio.Task[None]] = {}
        self.waiting: dict[
            tuple[questions.Link, int], tuple[questions.Ask, float]
        ] = {}
        self.passed: dict[str, asked.Pass] = {}
        self.numbers = 0
        self.stopping = False
        self.counts = {
            "asked": 0,
            "declined": 0,
            "lost": 0,
            "served": 0,
            "silent": 0,
        }
        self.exchange = exchange
        self.loopback = Loopback(self)
        self.loop = asyncio.get_running_loop()

    def split(
        self, route: routes.Route
    ) -> tuple[tuple[str, ...], list[tuple[str, ...]]]:
        """Returns the shards that this VM calls itself, and the groups."""
        if not self.assignment.needed(route):
            return route.shards, []
        own: list[str] = []
        others = []
        for group in owners.cut(route.shards):
            if self.owner_of(group) == self.me:
                own += group
            else:
                others.append(group)
        return tuple(own), others

    def first_owner(
        self, rows: list[owners.Vm], tried: set[str]
    ) -> owners.Vm | None:
        """Returns the owner to ask; None where all were, or are silent."""
        for vm in rows:
            if vm.name not in tried and vm.name not in self.passed:
                return vm
        return None

    def owner_of(self, group: tuple[str, ...]) -> owners.Vm | None:
        """Returns the owner of a group that is asked first."""
        return self.first_owner(self.assignment.ranked(group[0]), set())

    def send(self, vm: owners.Vm, message: typing.Any) -> None:
        """Sends a message to a VM."""
        self.exchange.link((vm.host, self.port)).send(message)

    # Groups that others work on

    def ask(
        self,
        work: calls.Work,
        services: tuple[str, ...],
        aim_s: float,
        changed: collections.abc.Callable[[], None],
    ) -> asked.Group:
        """Asks for a group."""
        rows = self.assignment.ranked(services[0])
        group = asked.Group(work, services, rows, aim_s, changed)
        self.ask_next(group)
        return group

    def ask_whole(
        self,
        work: calls.Work,
        service: str,
        rows: list[owners.Vm],
        changed: collections.abc.Callable[[], None],
    ) -> asked.Group:
        """Asks one of some VMs for a request that one searcher answers."""
        aim_s = work.request.received_s + work.route.objective_s
        group = asked.Group(work, (service,), rows, aim_s, changed, whole=True)
        self.ask_next(group)
        return group

    def ask_next(self, group: asked.Group) -> None:
        """Asks the next owner, this VM itself as the last one."""
        vm = self.first_owner(group.owners, group.tried)
        if vm is None and self.me.name not in group.tried:
            vm = self.me
        if vm is None:
            group.end()
            return
        group.tried.add(vm.name)
        group.owner = vm
        self.numbers += 1
        group.number = self.numbers
        self.asked[group.number] = group
        group.link = self.loopback
        if vm != self.me:
            group.link = self.exchange.link((vm.host, self.port))
        group.link.send(self.question(group))
        self.counts["asked"] += 1
        group.timer = self.loop.call_later(TAKEN_S, self.not_taken, group)

    def question(self, group: asked.Group) -> questions.Ask:
        """Returns the message that asks for a group."""
        work, now_s = group.work, self.loop.time()
        return questions.Ask(
            number=group.number,
            request_id=work.ticket.request_id,
            method=work.request.method,
            target=work.request.target,
            headers=http_wire.end_to_end(work.request.headers),
            body=work.request.body,
            route=work.route.name,
            version=work.version,
            services=group.services,
            attempts=work.route.attempts,
            top=work.route.top,
            aim_s=group.aim_s - now_s - SEND_S,
            left_s=work.end_s - now_s,
            whole=group.whole,
            repeatable=work.route.repeatable,
        )

    def not_taken(self, group: asked.Group) -> None:
        """Passes over an owner that is silent."""
        self.pass_over(group.owner, "silent")
        if group.link is not None:
            group.link.send(questions.Drop(group.number))
        self.asked.pop(group.number, None)
        self.ask_next(group)

    def pass_over(self, vm: owners.Vm | None, why: str) -> None:
        """Notes that an owner didn't answer; it is pinged from then on."""
        if vm is None or vm == self.me:
            return
        self.counts[why] += 1
        if vm.name not in self.passed:
            self.passed[vm.name] = asked.Pass(vm)
            _log.info("owner-passed", owner=vm.name, reason=why)
            self.ping_later(self.passed[vm.name])

    def ping_later(self, row: asked.Pass) -> None:
        """Sets the time of the next ping of a silent owner."""
        row.timer = self.loop.call_later(row.next_s(), self.ping, row)

    def ping(self, row: asked.Pass) -> None:
        """Asks a silent owner whether it is back."""
        if row.vm not in self.assignment.vms:
            self.passed.pop(row.vm.name, None)
            return
        self.send(row.vm, questions.Ping(self.me.name))
        row.timer = self.loop.call_later(PONG_S, self.ping_later, row)

    def recovered(self, name: str) -> None:
        """Notes that an owner replies again."""
        row = self.passed.pop(name, None)
        if row is not None:
            row.stop_timer()
            _log.info("owner-back", owner=name)

    def drop(self, group: asked.Group) -> None:
        """Ends a group that nobody waits for."""
        group.stop_timer()
        if self.asked.pop(group.number, None) is not None and group.link:
            group.link.send(questions.Drop(group.number))

    # Messages

    def take(self, link: questions.Link, message: typing.Any) -> None:
        """Takes a message of another VM."""
        if isinstance(message, questions.Ask):
            self.take_question(link, message)
        elif isinstance(message, questions.Begin):
            self.begin(link, message.number)
        elif isinstance(message, questions.Drop):
            self.waiting.pop((link, message.number), None)
            task = self.serving.get((link, message.number))
            if task is not None:
                task.cancel()
        elif isinstance(message, questions.Ping):
            if not self.stopping:
                link.send(questions.Pong(self.me.name))
        elif isinstance(message, questions.Pong):
            self.recovered(message.owner)
        elif isinstance(message, questions.Survey):
            link.send(self.surveys.answer(message))
        elif isinstance(message, questions.Surveyed):
            self.surveys.note(message)
        else:
            self.take_word(message)

    def take_question(self, link: questions.Link, ask: questions.Ask) -> None:
        """Says whether this VM takes a group."""
        if self.stopping and link is not self.loopback:
            link.send(questions.Declined(ask.number))
            return
        self.waiting[link, ask.number] = (ask, self.loop.time())
        blocked = self.surveys.blocked(ask.services)
        far_silent = self.surveys.far_silent()
        link.send(questions.Taken(ask.number, blocked, far_silent))

    def begin(self, link: questions.Link, number: int) -> None:
        """Begins to work on a group that was asked for before."""
        key = (link, number)
        question = self.waiting.pop(key, None)
        if question is None:
            return
        task = self.loop.create_task(self.serve(link, *question))
        self.serving[key] = task
        task.add_done_callback(lambda _: self.serving.pop(key, None))

    def take_word(
        self,
        message: questions.Taken
        | questions.Declined
        | questions.Found
        | questions.Answered,
    ) -> None:
        """Takes an owner's word on a group."""
        group = self.asked.get(message.number)
        if group is None:
            return
        group.stop_timer()
        if isinstance(message, questions.Declined):
            self.pass_over(group.owner, "declined")
            del self.asked[message.number]
            self.ask_next(group)
            return
        if group.owner is not None:
            self.recovered(group.owner.name)
        if isinstance(message, questions.Taken):
            self.begin_away(group, message)
            return
        if isinstance(message, questions.Answered):
            del self.asked[message.number]
            group.reply = message
            group.end()
            return
        group.proofs += message.proofs
        group.missing -= {group.services[n] for n in message.places}
        group.bodies.append(message.records)
        group.left = message.left
        group.blocked = min(group.blocked, group.left)
        group.calls = message.calls
        if not group.left:
            del self.asked[message.number]
        group.changed()

    def begin_away(self, group: asked.Group, taken: questions.Taken) -> None:
        """Tells an owner to begin, unless it was told."""
        if group.begun or group.link is None:
            return
        group.begun = True
        group.link.send(questions.Begin(group.number))
        if not group.whole:
            self.surveys.note(
                questions.Surveyed(
                    group.services[0], taken.blocked, taken.far_silent
                )
            )
            group.blocked = taken.blocked
            group.changed()

    def link_ended(self, link: questions.Link) -> None:
        """Ends what went over a link."""
        for group in [row for row in self.asked.values() if row.link is link]:
            del self.asked[group.number]
            group.stop_timer()
            self.pass_over(group.owner, "lost")
            if group.begun:
                group.end()
            else:
                self.ask_next(group)
        for key in [row for row in self.waiting if row[0] is link]:
            del self.waiting[key]
        for (of, _), task in list(self.serving.items()):
            if of is link:
                task.cancel()

    # Groups that this VM works on

    async def serve(
        self, link: questions.Link, ask: questions.Ask, asked_s: float
    ) -> None:
        """Works on a group, or a single request, and sends what comes in."""
        self.counts["served"] += 1
        work = serving.create_work(self.platform, ask, asked_s)
        if ask.whole:
            outcome = await self.single(work, ask.services[0], self.placement)
            link.send(questions.answered(ask.number, outcome))
            return
        served = serving.Serving(self.placement, link, ask, work)
        try:
            await served.run()
        finally:
            served.abandon()


class Loopback:
    """Link of a VM to itself, for a group that no other owner takes."""

    def __init__(self, groups: Groups) -> None:
        self.groups = groups

    def send(self, message: typing.Any) -> None:
        """Delivers a message in the next turn of the loop."""
        self.groups.loop.call_soon(self.groups.take, self, message)


def create_groups(
    placement: parts.Placement,
    platform: wire.Wire,
    exchange: frames.Exchange,
    me: owners.Vm,
    port: int,
    single: Single,
) -> Groups:
    """Returns the state without groups."""
    return Groups(placement, platform, exchange, me, port, single)
