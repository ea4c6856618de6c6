"""Shard groups of a query that another VM calls.

If a searcher accepts fewer connections than there are VMs, a query's shards are
divided into groups (`core.owners`). The VM that has the caller asks one owner
per group. The owner accepts the group at once, calls the searchers, merges the
answers and returns them: all together if every part completed, or what there is
shortly before the objective and the rest as it completes. If an owner doesn't
accept a group, the group is cancelled there and the next owner is asked. The
same holds for an owner that has lost searchers of the group, and for a query
whose shards this VM calls itself otherwise, once it has lost their searchers.
"""

import asyncio
import collections.abc
import typing

from laurelrock.adapters import frames
from laurelrock.adapters import logs
from laurelrock.core import owners
from laurelrock.core import routes
from laurelrock.gateways import assignment
from laurelrock.gateways import calls
from laurelrock.gateways import group_messages
from laurelrock.gateways import group_overload
from laurelrock.gateways import owned_groups
from laurelrock.gateways import owner_selection
from laurelrock.gateways import parts
from laurelrock.gateways import reachability_reports
from laurelrock.gateways import remote_groups
from laurelrock.ports import header_codec

__all__ = ["ShardGroups", "create_shard_groups"]

#: Time in seconds in which an owner has to accept a group: several times the
#: round trip of a message on a loaded VM.
ACCEPT_TIMEOUT_S = 0.04
#: Number of VMs that a group may find to run the previous version before this
#: VM runs it itself. Each costs a connection and a round trip, once for all
#: groups; in a large fleet almost all VMs may be old.
MAX_OLDER_TRIED = 4

_log = logs.get_logger(__name__)


class ShardGroups:
    """State of the groups of this VM's queries, and of those that it runs.

    Attributes:
        placement: Makes the calls of this VM.
        peer_links: The links to other VMs.
        loopback: The link by which this VM sends messages to itself.
        assignment: The assignment of services to VMs.
        reachability: The owners' reports on shards that they can't reach.
        me: This VM.
        port: The port of messages between VMs, the same on all of them.
        remote: The groups that other VMs run, by number.
        owned: The groups that this VM runs.
        selection: Chooses the VMs that are asked.
        overload: Declines groups for overload.
        last_number: The number of the last group that was asked for.
        counts: The number of events by kind, for the metrics.
    """

    def __init__(
        self,
        placement: parts.CallPlacer,
        platform: header_codec.HeaderCodec,
        peer_links: frames.PeerLinks,
        me: owners.Vm,
        port: int,
        run_single: owned_groups.RunSingle,
    ) -> None:
        self.placement = placement
        self.assignment = assignment.create_assignment(placement.known, me)
        self.selection = owner_selection.create_owner_selection(
            self.assignment, self.send
        )
        self.reachability = reachability_reports.create_reachability_reports(
            placement, self.assignment, self.selection, self.send
        )
        self.overload = group_overload.create_group_overload(placement)
        self.me = me
        self.port = port
        self.remote: dict[int, remote_groups.RemoteGroup] = {}
        self.last_number = 0
        self.counts = dict.fromkeys(
            (
                *("asked", "declined", "lost", "lost-searchers"),
                *("overloaded", "served", "silent"),
            ),
            0,
        )
        self.owned = owned_groups.create_owned_groups(
            *(placement, platform, self.reachability, self.overload),
            *(run_single, self.counts),
        )
        self.peer_links = peer_links
        self.loopback = remote_groups.Loopback(self.handle_message)
        self.loop = asyncio.get_running_loop()

    def split_shards(
        self, route: routes.Route
    ) -> tuple[tuple[str, ...], list[tuple[str, ...]]]:
        """Returns the shards that this VM calls, and the other groups."""
        if not self.assignment.uses_owners(route):
            return route.shards, []
        own: list[str] = []
        others = []
        for group in owners.split_into_groups(route.shards):
            if self.selection.owner_of(group) == self.me:
                own += group
            else:
                others.append(group)
        return tuple(own), others

    def send(self, vm: owners.Vm, message: typing.Any) -> None:
        """Sends a message to a VM."""
        self.peer_links.link((vm.host, self.port)).send(message)

    # Groups that other VMs run

    def ask(
        self,
        context: calls.RequestContext,
        services: tuple[str, ...],
        due_s: float,
        on_change: collections.abc.Callable[[], None],
        needed: int = 0,
        held: bool = False,
        tried: collections.abc.Collection[str] = (),
    ) -> remote_groups.RemoteGroup:
        """Asks the owners of a group to run it; see `RemoteGroup`."""
        candidates = self.assignment.owners_of(services[0])
        group = remote_groups.RemoteGroup(
            *(context, services, candidates, due_s, on_change),
            needed=needed,
            held=held,
        )
        group.tried |= self.assignment.forbidden_vms(context.route.regions)
        group.tried.update(tried)
        self.ask_next(group)
        return group

    def ask_groups(
        self,
        context: calls.RequestContext,
        services: tuple[str, ...],
        due_s: float,
        on_change: collections.abc.Callable[[], None],
    ) -> list[remote_groups.RemoteGroup]:
        """Asks other VMs to call services that this VM can't reach."""
        by_key: dict[str | None, list[str]] = {}
        for name in services:
            key = self.assignment.keys.get(name)
            by_key.setdefault(key, []).append(name)
        return [
            self.ask(context, tuple(names), due_s, on_change)
            for names in by_key.values()
        ]

    def ask_single(
        self,
        context: calls.RequestContext,
        service: str,
        candidates: list[owners.Vm],
        on_change: collections.abc.Callable[[], None],
    ) -> remote_groups.RemoteGroup:
        """Asks one of some VMs to run a request that one searcher answers."""
        due_s = context.request.received_s + context.route.objective_s
        group = remote_groups.RemoteGroup(
            *(context, (service,), candidates, due_s, on_change),
            single=True,
            needed=1,
        )
        group.tried |= self.assignment.forbidden_vms(context.route.regions)
        self.ask_next(group)
        return group

    def ask_next(self, group: remote_groups.RemoteGroup) -> None:
        """Asks the next owner, with this VM itself as the last one."""
        barred, vm = self.barred(group), None
        if group.older < MAX_OLDER_TRIED:
            vm = self.selection.next_owner(
                group.owners, group.tried, group.services[0], barred or ()
            )
        if (
            vm is None
            and self.me.name not in group.tried
            and not self.placement.known.isolated
            and not group.retry_in_s
        ):
            vm = self.me
        if vm is None and group.retry_in_s and not (group.held or group.single):
            self.run_declined(group)
            return
        if vm is None:
            group.declined = group.retry_in_s > 0
            group.finish()
            return
        group.tried.add(vm.name)
        group.owner = vm
        group.accepted = None
        self.last_number += 1
        group.number = self.last_number
        self.remote[group.number] = group
        group.link = self.loopback
        if vm != self.me:
            group.link = self.peer_links.link((vm.host, self.port))
        group.asked_s = self.loop.time()
        message = remote_groups.encode_request(group, self.loop.time())
        if barred is None:
            group.link.send(message)
        else:
            group.link.send_whole(message)
        self.counts["asked"] += 1
        group.timer = self.loop.call_later(
            ACCEPT_TIMEOUT_S, self.handle_accept_timeout, group
        )

    def barred(
        self, group: remote_groups.RemoteGroup
    ) -> collections.abc.Container[str] | None:
        """Returns the VMs whose version can't run a group.

        The previous version ignores workspaces, regions and evacuations. None
        means that a group has none of these, and any version may run it.
        """
        context = group.context
        if (
            context.workspace
            or context.route.regions
            or self.placement.known.evacuated != frozenset()
        ):
            return self.selection.older
        return None

    def handle_accept_timeout(self, group: remote_groups.RemoteGroup) -> None:
        """Skips an owner that didn't accept a group in time."""
        self.skip(group.owner, "silent")
        if group.link is not None:
            group.link.send(group_messages.CancelGroup(group.number))
        self.remote.pop(group.number, None)
        self.ask_next(group)

    def skip(self, vm: owners.Vm | None, cause: str) -> None:
        """Counts an owner that didn't respond, and skips it from now on."""
        if vm is not None and vm != self.me:
            self.counts[cause] += 1
            self.selection.mark_unresponsive(vm, cause)

    def drop(self, group: remote_groups.RemoteGroup) -> None:
        """Cancels a group whose result is no longer needed."""
        group.stop_timer()
        if self.remote.pop(group.number, None) is not None and group.link:
            group.link.send(group_messages.CancelGroup(group.number))

    # Messages

    def handle_message(
        self, link: group_messages.Link, message: typing.Any
    ) -> None:
        """Handles a message from another VM."""
        if isinstance(message, group_messages.GroupRequest):
            self.owned.handle_request(link, message, link is self.loopback)
        elif isinstance(message, group_messages.StartGroup):
            self.owned.start(link, message)
        elif isinstance(message, group_messages.CancelGroup):
            self.owned.cancel(link, message.number)
        elif isinstance(message, group_messages.Ping):
            # A ping without a sender is for VMs of the previous version; see
            # `peer_messages.VERSIONS`.
            if message.sender and not self.owned.stopping:
                link.send(group_messages.Pong(self.me.name))
        elif isinstance(message, group_messages.Pong):
            self.selection.mark_responsive(message.owner)
        elif isinstance(message, group_messages.ReachabilityQuery):
            link.send(self.reachability.answer(message))
        elif isinstance(message, group_messages.ReachabilityReport):
            self.reachability.handle_report(message)
        elif isinstance(message, frames.UnknownKind):
            self.handle_unknown_kind(link, message.kind)
        elif isinstance(message, frames.NotSent):
            self.handle_not_sent(link, message.message)
        else:
            self.handle_owner_reply(message)

    def handle_owner_reply(
        self,
        message: group_messages.GroupAccepted
        | group_messages.GroupDeclined
        | group_messages.GroupResult
        | group_messages.SingleResult,
    ) -> None:
        """Handles an owner's message about a group."""
        group = self.remote.get(message.number)
        if group is None:
            return
        group.stop_timer()
        accepts = isinstance(message, group_messages.GroupAccepted)
        declines = isinstance(message, group_messages.GroupDeclined)
        if group.owner is not None and (accepts or declines):
            group.round_trip_s = self.loop.time() - group.asked_s
            self.selection.record_reply(group.owner, group.round_trip_s)
        if isinstance(message, group_messages.GroupDeclined):
            self.handle_decline(group, message)
            return
        if group.owner is not None:
            self.selection.mark_responsive(group.owner.name)
        if isinstance(message, group_messages.GroupAccepted):
            self.start_remote(group, message)
            return
        for start in message.leaving:
            self.placement.known.mark_leaving(start)
        if isinstance(message, group_messages.SingleResult):
            del self.remote[message.number]
            group.reply = message
            group.finish()
            return
        group.stamps += message.stamps
        group.missing -= {group.services[n] for n in message.places}
        group.records.append(message.records)
        group.pending = message.pending
        group.unreachable = min(group.unreachable, group.pending)
        group.calls = message.calls
        if not group.pending:
            del self.remote[message.number]
        if message.again and group.owner is not None:
            self.selection.mark_isolated(group.owner.name)
            group.restart(message.again, message.attempts_left)
            self.ask_next(group)
        group.on_change()

    def handle_unknown_kind(self, link: group_messages.Link, kind: int) -> None:
        """Asks other owners if one runs a version without group requests."""
        if group_messages.KINDS.get(kind) is not group_messages.GroupRequest:
            return
        # The reply doesn't name the group; none of this link was accepted.
        for group in [row for row in self.remote.values() if row.link is link]:
            if not group.started and group.number in self.remote:
                group.stop_timer()
                self.handle_decline(
                    group,
                    group_messages.GroupDeclined(group.number, "unknown kind"),
                )
                self.counts["declined"] += 1

    def handle_not_sent(
        self, link: group_messages.Link, message: group_messages.GroupRequest
    ) -> None:
        """Asks another VM for a group that an owner would run wrongly."""
        group = self.remote.get(message.number)
        if group is None or group.link is not link or group.owner is None:
            return
        group.stop_timer()
        group.older += 1
        self.selection.mark_older(group.owner.name, link)
        self.handle_decline(
            group, group_messages.GroupDeclined(group.number, "older version")
        )

    def handle_decline(
        self,
        group: remote_groups.RemoteGroup,
        message: group_messages.GroupDeclined,
    ) -> None:
        """Asks the next VM for a group that an owner declined.

        A reason that this version doesn't know says nothing about the next
        group.
        """
        if message.reason == "stopping":
            self.skip(group.owner, "declined")
        elif message.reason == "overloaded":
            self.counts["overloaded"] += 1
            self.overload.record_declined(group, message.retry_in_s)
        elif message.reason == "isolated" and group.owner is not None:
            self.selection.mark_isolated(group.owner.name)
            self.reachability.forget(group.services[0])
            self.counts["lost-searchers"] += 1
        del self.remote[group.number]
        self.ask_next(group)

    def start_remote(
        self,
        group: remote_groups.RemoteGroup,
        accepted: group_messages.GroupAccepted,
    ) -> None:
        """Tells an owner to start, unless it was told before."""
        if group.started or group.link is None:
            return
        if accepted.disconnected and self.passes_over(group, accepted):
            return
        if group.held:
            group.accepted = accepted
            group.on_change()
            return
        group.started = group.may_have_run = True
        group.link.send(remote_groups.encode_start(group))
        if self.assignment.all_call(group.services[0]):
            _log.info(
                "request-passed-on",
                request=group.context.caller_headers.request_id.decode(
                    "latin-1"
                ),
                to=group.owner.name if group.owner else "",
                services=len(group.services),
            )
        elif not group.single and not group.context.route.regions:
            # What isn't reached in some regions says nothing about others.
            self.reachability.record(
                group_messages.ReachabilityReport(
                    group.services[0],
                    accepted.unreachable,
                    accepted.remote_domains_silent,
                    accepted.resume_in_s,
                )
            )
        if not group.single:
            group.unreachable = accepted.unreachable
            group.on_change()

    def release(self, group: remote_groups.RemoteGroup) -> None:
        """Lets the owner of a held group start, now or when it accepts."""
        group.held = False
        group.needed = 0
        accepted, group.accepted = group.accepted, None
        if accepted is not None:
            self.start_remote(group, accepted)

    def run_declined(self, group: remote_groups.RemoteGroup) -> None:
        """Asks the owners to run a group anyway, since its query has begun."""
        group.needed, group.retry_in_s = 0, 0.0
        group.tried.clear()
        self.ask_next(group)

    def passes_over(
        self,
        group: remote_groups.RemoteGroup,
        accepted: group_messages.GroupAccepted,
    ) -> bool:
        """Asks another owner if the present one has lost searchers.

        Returns:
            Whether the present one isn't told to start. It is if there is no
            other one, unless it stands in for this VM and is no better.
        """
        key = group.services[0]
        if group.owner is None or group.link is None:
            return False
        if not group.context.route.regions:
            self.selection.mark_disconnected(group.owner.name, key)
        better = self.selection.first_owner(
            group.owners, group.tried, key, self.barred(group) or ()
        )
        useless = 2 * accepted.disconnected > len(group.services)
        if better is None and not (useless and self.assignment.all_call(key)):
            return False
        self.counts["lost-searchers"] += 1
        group.link.send(group_messages.CancelGroup(group.number))
        del self.remote[group.number]
        if better is None:
            group.finish()
        else:
            self.ask_next(group)
        return True

    def link_ended(self, link: group_messages.Link) -> None:
        """Ends the groups of a link; reassigns those that weren't started."""
        self.selection.link_ended(link)
        for group in [row for row in self.remote.values() if row.link is link]:
            del self.remote[group.number]
            group.stop_timer()
            self.skip(group.owner, "lost")
            if group.started:
                group.finish()
            else:
                self.ask_next(group)
        self.owned.link_ended(link)


def create_shard_groups(
    placement: parts.CallPlacer,
    platform: header_codec.HeaderCodec,
    peer_links: frames.PeerLinks,
    me: owners.Vm,
    port: int,
    run_single: owned_groups.RunSingle,
) -> ShardGroups:
    """Returns the state without groups."""
    return ShardGroups(placement, platform, peer_links, me, port, run_single)
