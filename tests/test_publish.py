"""Tests of the publisher under interleavings, faults and malformed heads."""

import collections.abc
import typing
import unittest

import hypothesis
from hypothesis import strategies
import msgspec

from laurelrock import errors
from laurelrock import head as heads
from laurelrock import manifest
from laurelrock.core import delta
from laurelrock.core import publish
from laurelrock.ports import platform
from tests import memory_platform

#: Number of platform failures that a publisher retries before it gives up.
RETRIES = 4
#: Faults of a write: not applied, applied without a reply, applied later,
#: applied and resent.
WRITE_FAULTS = ("down", "lost", "late", "twice")
#: Faults of a read.
READ_FAULTS = ("down",)


def text_of(name: str) -> bytes:
    return manifest.encode(manifest.Manifest(name, {"r": ["a"]}, {}, {}))


def head_of(store: memory_platform.MemoryStore) -> heads.Head:
    return heads.decode(store.objects[heads.HEAD_KEY].body)


class PendingCall:
    """Suspends a platform call until the test sends the fault to apply."""

    def __init__(self, call: memory_platform.Call) -> None:
        self.call = call

    def __await__(self) -> collections.abc.Generator:
        return (yield self.call)


async def await_fault(call: memory_platform.Call) -> memory_platform.Fault:
    return await PendingCall(call)


def create_retry(limit: int = RETRIES) -> publish.Retry:
    left = limit

    async def retry(error: errors.PlatformError) -> None:
        nonlocal left
        left -= 1
        if left < 0:
            raise error

    return retry


class Publisher:
    """A publisher that the test advances by one platform call at a time."""

    def __init__(
        self, store: memory_platform.MemoryStore, request: publish.Request
    ) -> None:
        self.request = request
        self.result: typing.Any = None
        self.call: memory_platform.Call | None = None
        access = memory_platform.MemoryPlatform(store, request.publish_id)
        coroutine = publish.publish(access, request, create_retry())
        self.iterator: typing.Any = coroutine.__await__()
        self.advance(None)

    def advance(self, fault: memory_platform.Fault | None) -> None:
        try:
            self.call = self.iterator.send(fault)
        except StopIteration as stop:
            self.result = stop.value
        except errors.LaurelrockError as error:
            self.result = error


class PublishRace:
    """Publishers on one store, and all heads in the order of their commits."""

    def __init__(self, names: list[str], published: bool) -> None:
        self.store = memory_platform.MemoryStore(await_fault)
        self.heads: list[heads.Head] = []
        if published:
            first = Publisher(self.store, publish.Request(text_of("0"), "p0"))
            while first.result is None:
                first.advance("ok")
            self.record_head()
        self.publishers = [
            Publisher(self.store, publish.Request(text_of(name), f"p-{name}"))
            for name in names
        ]

    @property
    def running(self) -> list[Publisher]:
        return [p for p in self.publishers if p.result is None]

    def step(self, publisher: Publisher, fault: memory_platform.Fault) -> None:
        publisher.advance(fault)
        self.record_head()

    def apply_late_writes(self) -> None:
        """Applies the delayed writes in their order."""
        while self.store.delayed_writes:
            call = self.store.delayed_writes.pop(0)
            try:
                self.store.apply_write(call)
            except errors.VersionConflictError:
                pass
            self.record_head()

    def record_head(self) -> None:
        stored = self.store.objects.get(heads.HEAD_KEY)
        if stored is not None:
            head = heads.decode(stored.body)
            if not self.heads or head != self.heads[-1]:
                self.heads.append(head)


def check_history(test: unittest.TestCase, race: PublishRace) -> None:
    """Checks the guarantees on a completed history.

    Generations only rise, no publish id is committed twice, every publisher
    learns its true outcome, and each delta leads to the next manifest.
    """
    race.apply_late_writes()
    generations = [head.generation for head in race.heads]
    test.assertEqual(
        generations,
        sorted(set(generations)),
        "the generation of the head decreased",
    )
    by_id = {head.publish_id: head for head in race.heads}
    test.assertEqual(
        len(by_id), len(race.heads), "a publish id was published twice"
    )
    for publisher in race.publishers:
        check_result(test, by_id, publisher)
    for before, after in zip(race.heads, race.heads[1:], strict=False):
        check_delta(test, race.store, before, after)


def check_result(
    test: unittest.TestCase, by_id: dict[str, heads.Head], publisher: Publisher
) -> None:
    """Checks that a publisher's result agrees with the committed heads."""
    result, request = publisher.result, publisher.request
    own = by_id.get(request.publish_id)
    if isinstance(result, publish.Outcome):
        named = by_id[result.publish_id]
        test.assertEqual(named.generation, result.generation)
        test.assertEqual(named.digest, manifest.digest_of(request.raw))
        test.assertEqual(result.kind == "unchanged", own is None)
    elif isinstance(result, errors.PublishConflictError):
        test.assertIsNone(own, "reported a conflict, but was committed")
        test.assertIn(result.publish_id, by_id)
        winner = by_id[result.publish_id]
        test.assertEqual(winner.generation, result.generation)
        test.assertEqual(winner.digest, result.digest)
    elif isinstance(result, errors.PublishUnknownError):
        test.assertEqual(result.publish_id, request.publish_id)
    else:
        test.assertIsInstance(result, errors.PlatformError)
        test.assertIsNone(own, "reported a failure, but was committed")


def check_delta(
    test: unittest.TestCase,
    store: memory_platform.MemoryStore,
    before: heads.Head,
    after: heads.Head,
) -> None:
    new = store.objects[after.full].body
    test.assertEqual(manifest.digest_of(new), after.digest)
    if after.delta:
        old = msgspec.json.decode(store.objects[before.full].body)
        change = store.objects[after.delta].body
        test.assertEqual(delta.canonical(delta.apply(old, change)), new)


def options_of(race: PublishRace, faults_left: int, any_call: bool) -> list:
    """Returns the possible next steps as pairs of publisher and fault.

    The publisher is None for the step that applies the delayed writes.
    """
    options = []
    for publisher in race.running:
        options.append((publisher, "ok"))
        if faults_left and (any_call or publisher.call.key == heads.HEAD_KEY):
            is_write = publisher.call.method == "put"
            kinds = WRITE_FAULTS if is_write else READ_FAULTS
            options += [(publisher, kind) for kind in kinds]
    if race.store.delayed_writes:
        options.append((None, "ok"))
    return options


def run_choices(
    race: PublishRace, choices: list[int], max_faults: int, any_call: bool
) -> list[int]:
    """Runs one history; returns the number of options at each step.

    Steps beyond the given choices take the first option.
    """
    widths = []
    faults = 0
    while race.running:
        options = options_of(race, max_faults - faults, any_call)
        step = len(widths)
        chosen = choices[step] if step < len(choices) else 0
        publisher, kind = options[chosen]
        widths.append(len(options))
        faults += kind != "ok"
        if publisher is None:
            race.apply_late_writes()
        else:
            race.step(publisher, kind)
    return widths


def histories(
    names: list[str], published: bool, max_faults: int, any_call: bool = True
) -> collections.abc.Iterator[PublishRace]:
    """Runs every history with up to `max_faults` faults.

    Args:
        names: Name of the manifest of each publisher.
        published: Whether a manifest is in force at the start.
        max_faults: Maximum number of faults in a history.
        any_call: Whether calls may fail that do not concern the head.
    """
    choices: list[int] = []
    while True:
        race = PublishRace(names, published)
        widths = run_choices(race, choices, max_faults, any_call)
        yield race
        choices += [0] * (len(widths) - len(choices))
        while choices and choices[-1] + 1 >= widths[len(choices) - 1]:
            choices.pop()
        if not choices:
            return
        choices[-1] += 1


class InterleavingTest(unittest.TestCase):
    def test_race_without_faults(self):
        for published in (False, True):
            outcomes = set()
            for race in histories(["a", "b"], published, 0):
                check_history(self, race)
                results = [p.result for p in race.publishers]
                kinds = sorted(type(result).__name__ for result in results)
                outcomes.add(tuple(kinds))
            self.assertEqual(
                outcomes,
                {("Outcome", "Outcome"), ("Outcome", "PublishConflictError")},
            )

    def test_race_of_the_same_manifest(self):
        for race in histories(["a", "a2"], True, 0):
            check_history(self, race)
        race = PublishRace(["a"], True)
        twin = Publisher(race.store, publish.Request(text_of("a"), "twin"))
        race.publishers.append(twin)
        while race.running:
            race.step(race.running[-1], "ok")
        check_history(self, race)
        kinds = sorted(p.result.kind for p in race.publishers)
        self.assertEqual(kinds, ["published", "unchanged"])

    def test_every_race_with_one_fault(self):
        count = 0
        for published in (False, True):
            any_call = not published
            for race in histories(["a", "b"], published, 1, any_call):
                check_history(self, race)
                count += 1
                for publisher in race.publishers:
                    self.assertNotIsInstance(
                        publisher.result, errors.PublishUnknownError
                    )
        self.assertGreater(count, 2000)

    def test_every_history_of_one_with_two_faults(self):
        for published in (False, True):
            for race in histories(["a"], published, 2):
                check_history(self, race)
                self.assertEqual(race.publishers[0].result.kind, "published")

    @hypothesis.settings(max_examples=800, deadline=None, derandomize=True)
    @hypothesis.given(strategies.data())
    def test_three_publishers_with_many_faults(self, data):
        names = data.draw(
            strategies.lists(
                strategies.sampled_from("abc"), min_size=2, max_size=3
            )
        )
        world = PublishRace([], data.draw(strategies.booleans()))
        world.publishers = [
            Publisher(world.store, publish.Request(text_of(name), f"p{index}x"))
            for index, name in enumerate(names)
        ]
        choices = data.draw(
            strategies.lists(strategies.integers(0, 999), max_size=40)
        )
        for choice in choices:
            if not world.running:
                break
            publisher = world.running[choice % len(world.running)]
            kinds = ("ok", "ok", "ok", *WRITE_FAULTS, "land")
            kind = kinds[choice // 3 % len(kinds)]
            if kind == "land":
                world.apply_late_writes()
            else:
                world.step(publisher, kind)
        while world.running:
            world.step(world.running[0], "ok")
        check_history(self, world)


class PublishTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.store = memory_platform.MemoryStore()
        self.platform = memory_platform.MemoryPlatform(self.store)

    async def publish(self, name: str, publish_id: str, **fields):
        request = publish.create_request(text_of(name), publish_id, **fields)
        return await publish.publish(self.platform, request, create_retry())

    def put(self, key: str, body: bytes) -> None:
        held = self.store.objects.get(key)
        version = held.version + 1 if held else 1
        self.store.objects[key] = platform.StoredObject(version, body)

    async def test_manifest_in_force_is_not_published_again(self):
        first = await self.publish("a", "p1")
        before = dict(self.store.objects)
        again = await self.publish("a", "p2")
        self.assertEqual(again, first._replace(kind="unchanged"))
        self.assertEqual(self.store.objects, before)

    async def test_publish_id_is_found_after_others_followed(self):
        first = await self.publish("n0", "p0")
        for index in range(1, publish.MAX_RECENT + 1):
            await self.publish(f"n{index}", f"p{index}")
        again = await self.publish("n0", "p0")
        self.assertEqual(again, first._replace(kind="superseded"))

    async def test_lost_reply_that_history_does_not_reach_is_unknown(self):
        await self.publish("n0", "p0")
        for index in range(1, publish.MAX_RECENT + 3):
            await self.publish(f"n{index}", f"p{index}")
        present = await publish.read_head(self.platform)
        request = publish.create_request(text_of("x"), "px")
        sent = heads.Head(1, "0" * 32, "px", "manifest/full/1-px")
        with self.assertRaises(errors.PublishUnknownError):
            publish.find_outcome(present, request, sent)

    async def test_base(self):
        rows = [
            (0, "a", True),
            (0, "b", False),
            (1, "b", True),
            (7, "c", False),
        ]
        for index, (base, name, accepted) in enumerate(rows):
            with self.subTest(base=base, name=name):
                coroutine = self.publish(name, f"p{index}", base=base)
                if accepted:
                    self.assertEqual((await coroutine).kind, "published")
                    continue
                with self.assertRaises(errors.PublishConflictError) as caught:
                    await coroutine
                head = head_of(self.store)
                self.assertEqual(caught.exception.generation, head.generation)
                self.assertEqual(caught.exception.publish_id, head.publish_id)

    async def test_above(self):
        await self.publish("a", "p1")
        outcome = await self.publish("b", "p2", above=40)
        self.assertEqual(outcome.generation, 41)
        self.assertEqual(head_of(self.store).delta, "")

    async def test_publish_id_of_another_manifest(self):
        await self.publish("a", "p1")
        with self.assertRaises(errors.PublishConflictError):
            await self.publish("b", "p1")

    async def test_bad_head_is_replaced_above_all_stored_generations(self):
        for bad in (b"", b"{}", b"rubbish", b'{"generation": 1}', None):
            with self.subTest(bad=bad):
                self.store.objects.clear()
                for name in ("a", "b", "c"):
                    await self.publish(name, f"p-{name}")
                if bad is None:
                    del self.store.objects[heads.HEAD_KEY]
                else:
                    self.put(heads.HEAD_KEY, bad)
                outcome = await self.publish("d", "p-d")
                self.assertEqual(outcome.generation, 4)
                self.assertEqual(head_of(self.store).publish_id, "p-d")

    async def test_lost_full_manifest_means_no_delta(self):
        for bad in (None, b"rubbish"):
            with self.subTest(bad=bad):
                self.store.objects.clear()
                await self.publish("a", "p1")
                key = head_of(self.store).full
                if bad is None:
                    del self.store.objects[key]
                else:
                    self.put(key, bad)
                await self.publish("b", "p2")
                self.assertEqual(head_of(self.store).delta, "")

    async def test_outage_before_the_head_is_touched(self):
        self.store.scripted_faults.extend(["down"] * (RETRIES + 1))
        with self.assertRaises(errors.PlatformError):
            await self.publish("a", "p1")
        self.assertEqual(self.store.objects, {})

    async def test_write_that_conflicts_with_itself_before_an_outage(self):
        downs = ["down"] * (RETRIES + 1)
        self.store.scripted_faults.extend(["ok", "ok", "ok", "twice", *downs])
        with self.assertRaises(errors.PublishUnknownError):
            await self.publish("a", "p1")
        self.assertEqual(head_of(self.store).publish_id, "p1")
        again = await self.publish("a", "p1")
        self.assertEqual((again.kind, again.generation), ("published", 1))

    async def test_bad_requests_do_not_reach_the_platform(self):
        rows = [
            (b"{}", "p1", errors.ManifestError),
            (b"[" * 10, "p1", errors.ManifestError),
            (text_of("a"), "p/1", errors.HeadError),
            (text_of("a"), "", errors.HeadError),
        ]
        for text, publish_id, kind in rows:
            with self.subTest(text=text), self.assertRaises(kind):
                publish.create_request(text, publish_id)

    async def test_prune_keeps_the_newest_generations(self):
        total = publish.KEPT_GENERATIONS + 10
        for index in range(total):
            await self.publish(f"n{index}", f"p{index}")
        await publish.prune(self.platform)
        for prefix in publish.MANIFEST_PREFIXES:
            kept = {
                publish.generation_of(key)
                for key in self.store.objects
                if key.startswith(prefix)
            }
            self.assertEqual(min(kept), 11)
            self.assertEqual(max(kept), total)
        self.assertIn(head_of(self.store).full, self.store.objects)
