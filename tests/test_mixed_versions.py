"""Tests of VMs of the previous and the present version, in virtual time."""

import asyncio
import collections
import unittest
import unittest.mock

import msgspec

from laurelrock.adapters import frames
from laurelrock.adapters import message_codec
from laurelrock.core import owners
from laurelrock.gateways import group_messages
from laurelrock.gateways import limit_sharing
from laurelrock.gateways import peer_messages
from laurelrock.gateways import peers
from laurelrock.gateways import state_sharing
from tests import gateway_builders as build
from tests import gateways
from tests import old_messages
from tests import test_message_versions
from tests import test_shard_groups
from tests import virtual_time

ADDRESS = ("10.0.0.2", 7000)
PRESENT = peer_messages.KINDS
NEW_KINDS = sorted(set(PRESENT) - set(old_messages.KINDS))


def sample(wanted):
    row = test_message_versions.sample(wanted, [])
    message = msgspec.convert(row, type=wanted)
    if wanted is group_messages.GroupDeclined:
        return message._replace(reason="isolated")
    return message


REQUEST = sample(group_messages.GroupRequest)


class Pair:
    """Two connected VMs, and the messages that each handled."""

    def __init__(self, old_client=False, old_server=False):
        self.network, self.seen, self.replies = {}, [], []
        self.ended = []
        self.client = old_messages.create_links(
            *(self.network, "10.0.0.1", old_client),
            lambda link, message: self.replies.append(message),
        )
        self.start_server(old_server)

    def start_server(self, old):
        self.server = old_messages.create_links(
            *(self.network, ADDRESS[0], old), self.handle, self.ended.append
        )

    def handle(self, link, message):
        self.seen.append(message)
        self.accepted = link
        if isinstance(message, group_messages.Ping):
            link.send(group_messages.Pong("vm-2"))

    def stop_server(self):
        for link in list(self.server.accepted):
            link.transport.abort()


class MessagesTest(unittest.TestCase):
    def setUp(self):
        self.enterContext(gateways.capture_log_events(collections.deque()))

    def run_pair(self, play, **fields):
        async def run():
            pair = Pair(**fields)
            result = await play(pair)
            return pair, result

        return virtual_time.run(run())

    def test_old_version_decodes_every_message(self):
        # Guards against group requests, declines, limits and states that an
        # old VM drops because they have more fields than it knows.
        for kind, old_type in old_messages.KINDS.items():
            message = sample(PRESENT[kind])
            for answers in (False, True):

                async def play(pair, message=message, answers=answers):
                    link = pair.client.link(ADDRESS)
                    if answers:
                        link.send(group_messages.Ping("vm-1"))
                        await asyncio.sleep(0.1)
                        pair.server.received.clear()
                        (link,) = pair.server.accepted
                    link.send(message)
                    await asyncio.sleep(0.1)

                with self.subTest(old_type.__name__, answers=answers):
                    sides = {"old_client" if answers else "old_server": True}
                    pair, _ = self.run_pair(play, **sides)
                    links = pair.client if answers else pair.server
                    self.assertIn(
                        old_messages.old_form(message), links.received
                    )
                    self.assertEqual(set(links.dropped), {frames.VERSION_KIND})

    def test_present_version_decodes_every_old_message(self):
        for kind, old_type in old_messages.KINDS.items():
            message = sample(PRESENT[kind])

            async def play(pair, message=message):
                pair.client.link(ADDRESS).send(message)
                await asyncio.sleep(0.1)

            with self.subTest(old_type.__name__):
                pair, _ = self.run_pair(play, old_client=True)
                (seen,) = pair.seen
                body = msgspec.msgpack.encode(old_messages.old_form(message))
                self.assertEqual(
                    seen, message_codec.decode(body, PRESENT[kind])
                )

    def test_present_version_gets_whole_messages(self):
        # Guards against fields or kinds that are left out, or a second
        # encoding of each message, in a fleet of one version.
        messages = [sample(row) for row in PRESENT.values()]

        async def play(pair):
            link = pair.client.link(ADDRESS)
            link.send_whole(REQUEST)
            await asyncio.sleep(0.1)
            pair.seen.clear()
            with unittest.mock.patch.object(
                pair.client, "encode", wraps=pair.client.encode
            ) as encode:
                for message in messages:
                    link.send(message)
            await asyncio.sleep(0.1)
            return encode.call_count

        pair, encodings = self.run_pair(play)
        self.assertEqual(pair.seen, messages)
        self.assertEqual(encodings, len(messages))

    def test_first_messages_keep_their_order(self):
        # Guards against a cancellation that overtakes its request, which then
        # stays offered.
        messages = [REQUEST, group_messages.CancelGroup(REQUEST.number)]
        for old in (False, True):

            async def play(pair):
                for message in messages:
                    pair.client.link(ADDRESS).send(message)
                await asyncio.sleep(0.1)

            with self.subTest(old=old):
                pair, _ = self.run_pair(play, old_server=old)
                kinds = [type(row) for row in pair.seen]
                kinds.remove(group_messages.Ping)
                self.assertEqual(kinds, [type(row) for row in messages])

    def test_unknown_kinds_are_not_sent(self):
        async def play(pair):
            for kind in NEW_KINDS:
                pair.client.link(ADDRESS).send(sample(PRESENT[kind]))
            await asyncio.sleep(0.1)

        pair, _ = self.run_pair(play, old_server=True)
        self.assertEqual(pair.server.dropped, [frames.VERSION_KIND])

    def test_whole_message_is_returned_if_the_peer_is_old(self):
        async def play(pair):
            for _ in range(2):
                pair.client.link(ADDRESS).send_whole(REQUEST)
                await asyncio.sleep(0.1)

        pair, _ = self.run_pair(play, old_server=True)
        self.assertNotIn(
            group_messages.GroupRequest, [type(row) for row in pair.seen]
        )
        rows = [row for row in pair.replies if type(row) is frames.NotSent]
        self.assertEqual(rows, [frames.NotSent(REQUEST)] * 2)

    def test_version_is_learned_anew_with_each_connection(self):
        # Guards against a rollback after which an old VM gets messages that it
        # drops, and an upgrade after which a VM gets shortened ones.
        async def play(pair):
            for old in (False, True, False):
                pair.stop_server()
                pair.start_server(old)
                pair.client.link(ADDRESS).send(REQUEST)
                await asyncio.sleep(0.1)
                self.assertEqual(pair.client.count_older(), int(old))

        pair, _ = self.run_pair(play)
        requests = [
            row
            for row in pair.seen
            if isinstance(row, group_messages.GroupRequest)
        ]
        body = msgspec.msgpack.encode(old_messages.old_form(REQUEST))
        short = message_codec.decode(body, group_messages.GroupRequest)
        self.assertEqual(requests, [REQUEST, short, REQUEST])

    def test_broadcast_reaches_both_versions(self):
        # Guards against a second encoding for each subscriber.
        async def play(pair):
            old = old_messages.create_links(
                *(pair.network, "10.0.0.3", True), lambda *row: None
            )
            for links in (pair.client, old):
                for _ in range(2):
                    links.links.clear()
                    link = links.link(ADDRESS)
                    link.send(group_messages.Ping("vm"))
            await asyncio.sleep(0.1)
            update = sample(PRESENT[6])
            with unittest.mock.patch.object(
                msgspec.msgpack, "encode", wraps=msgspec.msgpack.encode
            ) as encode:
                pair.server.broadcast(pair.server.accepted, update)
            await asyncio.sleep(0.1)
            return update, old.received, encode.call_count

        pair, (update, received, encodings) = self.run_pair(play)
        self.assertEqual(pair.replies.count(update), 2)
        self.assertEqual(received.count(old_messages.old_form(update)), 2)
        self.assertEqual(encodings, 2)

    def test_snapshot_is_shortened(self):
        message = sample(peers.Snapshot)
        for headers in ([], [peers.VERSION_HEADER]):
            body = peers.encode_snapshot(message, headers)
            with self.subTest(headers=headers):
                if headers:
                    row = msgspec.json.decode(body, type=peers.Snapshot)
                    self.assertEqual(row, message)
                else:
                    old_type = old_messages.TYPES["Snapshot"]
                    row = msgspec.json.decode(body, type=old_type)
                    self.assertEqual(row, old_messages.old_form(message))


class QueryTest(unittest.TestCase):
    """Queries over owners of which half or all run the previous version."""

    def setUp(self):
        self.enterContext(gateways.capture_log_events(collections.deque()))

    def play(
        self, evacuated=(), regions=(), workspace="", vms=6, present=(0, 4, 5)
    ):
        async def run():
            simulation = test_shard_groups.create_simulation(vms=vms)
            nodes = simulation.nodes
            old = {nodes[n].me.name for n in set(range(vms)) - {*present}}
            links = old_messages.connect_nodes(simulation, old)
            loop = asyncio.get_running_loop()
            outcomes, times = [], []
            for node in nodes:
                if node.me.name not in old:
                    node.known.set_regions({"a": "r", "b": "r"})
                    node.known.evacuate(frozenset(evacuated))
            for number in range(40):
                node = nodes[present[number % len(present)]]
                begun_s = loop.time()
                route = test_shard_groups.ROUTE._replace(regions=regions)
                outcomes.append(
                    await node.run(
                        route, b"r-%d" % number, 1.0, workspace=workspace
                    )
                )
                times.append(loop.time() - begun_s)
            received = [
                row
                for name in old
                for row in links[name].received
                if type(row).__name__ == "GroupRequest"
            ]
            dropped = {kind for name in old for kind in links[name].dropped}
            return outcomes, times, received, dropped

        return virtual_time.run(run())

    def check_answers(self, outcomes, times, dropped):
        self.assertEqual({row.kind for row in outcomes}, {"answered"})
        self.assertLess(max(times), test_shard_groups.MIN_UNRESPONSIVE_OWNER_S)
        self.assertLessEqual(dropped, {frames.VERSION_KIND})

    def test_old_owners_run_groups(self):
        # Guards against requests that old owners drop: each such group waited
        # 40 ms, and the owners that remained got twice the load.
        outcomes, times, received, dropped = self.play()
        self.check_answers(outcomes, times, dropped)
        self.assertGreater(len(received), 40)

    def test_old_owners_get_no_group_that_they_would_run_wrongly(self):
        for fields in (
            {"workspace": "w"},
            {"regions": ("r",)},
            {"evacuated": ("z",)},
        ):
            with self.subTest(**fields):
                outcomes, times, received, dropped = self.play(**fields)
                self.check_answers(outcomes, times, dropped)
                self.assertEqual(received, [])

    def test_first_present_vm_calls_searchers_itself(self):
        # Guards against a query that asks all VMs of a large fleet, one after
        # another, for one that isn't old.
        outcomes, times, received, dropped = self.play(
            workspace="w", vms=40, present=(0,)
        )
        self.check_answers(outcomes, times, dropped)
        self.assertEqual(received, [])


class SourceTest(unittest.TestCase):
    """A fleet in which most VMs share the platform's state."""

    def test_present_version_follows_a_present_source(self):
        # Guards against a configuration without its workspaces and regions,
        # which an old source leaves out.
        vms = [owners.Vm(f"vm-{n}", "a", f"10.0.0.{n}", 1.0) for n in range(40)]
        subscribed = []

        async def play():
            network, present = {}, ("vm-7", "vm-23", "vm-31")
            for vm in vms:
                old_messages.create_links(
                    *(network, vm.host, vm.name not in present),
                    lambda link, row, vm=vm: self.reply(link, row, subscribed),
                )
            known = unittest.mock.MagicMock(version=0)
            known.poll_loops.return_value = []
            known.source_age_s.return_value = 0.0
            sharing = state_sharing.create_state_sharing(
                *(known, network[vms[7].host], vms[7], 7000), lambda rows: None
            )
            network[vms[7].host].handle = lambda link, row: (
                sharing.handle_message(link, row)
                if not isinstance(row, group_messages.Pong)
                else None
            )
            # Two present VMs rank before this one, so that it subscribes.
            sharing.is_source = lambda: False
            sharing.set_vms(vms)
            task = asyncio.create_task(sharing.run())
            await asyncio.sleep(1.0)
            task.cancel()
            return sharing.source, known.apply_configuration.call_args_list

        with gateways.capture_log_events(collections.deque()):
            source, applied = virtual_time.run(play())
        self.assertIn(source.name, ("vm-23", "vm-31"))
        self.assertEqual(subscribed, [state_sharing.Subscribe(0)])
        self.assertEqual(applied, [])

    def reply(self, link, message, subscribed):
        if isinstance(message, group_messages.Ping):
            link.send(group_messages.Pong("vm"))
        else:
            subscribed.append(message)


class LimitTest(unittest.TestCase):
    """Four VMs share a limit; the busiest one runs the previous version."""

    def play(self, act):
        async def run():
            simulation = test_shard_groups.create_simulation()
            vms = [node.me for node in simulation.nodes[:4]]
            sharing = simulation.nodes[0].limit_sharing
            sharing.assignment.callers_of = lambda service: vms
            return await act(sharing, [vm.name for vm in vms])

        with gateways.capture_log_events(collections.deque()):
            return virtual_time.run(run())

    def test_old_vm_gets_at_most_an_equal_share(self):
        # Guards against a share that an old VM uses at once, while the others
        # still use their equal shares.
        async def act(sharing, names):
            slot = limit_sharing.slot_of("shard-0")
            shares = []
            for name, wanted, sent_s in zip(
                names, (1.0, 1.0, 1.0, 99.0), (1.0, 1.0, 1.0, 0.0), strict=True
            ):
                report = limit_sharing.LimitReport(
                    *(name, slot, [("shard-0", wanted)], []), sent_s=sent_s
                )
                shares.append(sharing.answer(report).shares[0][1])
            return shares

        self.assertEqual(self.play(act)[-1], 0.25)

    def test_old_keeper_may_give_less_than_an_equal_share(self):
        # Guards against limits that are exceeded, since an old keeper gives
        # the rest to others.
        async def act(sharing, names):
            searcher = build.searcher("shard-0-0", service="shard-0")
            slot = limit_sharing.slot_of("shard-0")
            fractions = []
            for share in (0.07, 0.9):
                reply = limit_sharing.LimitShares(
                    slot, [("shard-0", share)], []
                )
                sharing.apply(reply)
                fractions.append(sharing.share_of(searcher, 10, False).fraction)
            await asyncio.sleep(4.0)
            fractions.append(sharing.share_of(searcher, 10, False).fraction)
            return fractions

        self.assertEqual(self.play(act), [0.07, 0.25, 0.25])
