"""Tests following the store through the relays of a zone."""

from collections.abc import AsyncIterator
from collections.abc import Sequence
import contextlib

import grpc
import pytest

from figstream import clock as clock_lib
from figstream import feed_relay
from figstream import membership_api
from figstream import metrics
from figstream import object_follower
from figstream import peer_server
from figstream import platform_api
from tests import gateway_parts

_KIND = "servers"


class _Zone:
    """Members of one zone, ranked as in `order`."""

    def __init__(self, this: str, order: Sequence[str]) -> None:
        self._this = this
        self._order = order
        self.addresses: dict[str, str] = {}

    def this(self) -> membership_api.Member:
        return membership_api.Member(self._this, "a", "r", "", 1)

    def live(self) -> Sequence[membership_api.Member]:
        return self.ranked("")

    def ranked(
        self, role: str, zone: str = ""
    ) -> Sequence[membership_api.Member]:
        return [
            membership_api.Member(
                name, "a", "r", self.addresses.get(name, "127.0.0.1:1"), 1
            )
            for name in self._order
        ]

    def channel(self, member: membership_api.Member) -> grpc.aio.Channel:
        return grpc.aio.insecure_channel(member.address)


class _Daemon:
    def __init__(self, name: str, order: Sequence[str] = "abcdefgh") -> None:
        self.clock = clock_lib.SystemClock()
        self.members = _Zone(name, order)
        self.store = gateway_parts.HandFeed()
        unexported = metrics.make_unexported_metrics()
        self.feed = feed_relay.RelayedFeed(
            self.store, self.members, self.clock, unexported
        )
        self.follower = object_follower.ObjectFollower(
            _KIND, self.feed, self.clock, unexported
        )
        self.relay = feed_relay.FeedRelay(self.feed, (self.follower,))

    async def know(self, position: int, *names: str) -> None:
        items = tuple(
            gateway_parts.item(name, position, {"n": 1}) for name in names
        )
        self.store.answers.append(platform_api.Snapshot(items, position))
        self.follower._listed = False
        await self.follower._step()

    async def watch(
        self, position: int, changed: str = "", deleted: str = ""
    ) -> None:
        self.store.answers.append(
            platform_api.FeedChanges(
                tuple(
                    gateway_parts.item(name, position, {"n": 2})
                    for name in changed
                ),
                tuple(deleted),
                position,
            )
        )
        await self.follower._step()

    @contextlib.asynccontextmanager
    async def serving(self, *askers: "_Daemon") -> AsyncIterator[None]:
        server = peer_server.PeerServer("127.0.0.1", 0)
        await server.start([self.relay])
        name = self.members.this().name
        for asker in askers:
            asker.members.addresses[name] = server.address
        try:
            yield
        finally:
            await server.stop()


@pytest.mark.anyio
async def test_changes_and_removals_come_through_a_relay() -> None:
    relay, asker = _Daemon("a", "abcdef"), _Daemon("f", "aaadef")
    await relay.know(5, "x", "y")
    await asker.know(5, "x", "y")
    await relay.watch(7, changed="z", deleted="x")
    async with relay.serving(asker):
        await asker.follower._step()
    assert set(asker.follower.items) == {"y", "z"}
    assert asker.follower.position == 7
    assert asker.store.waits == [None]


@pytest.mark.anyio
async def test_without_a_change_the_relay_answers_after_its_wait() -> None:
    relay, asker = _Daemon("a", "abcdef"), _Daemon("f", "aaadef")
    await relay.know(5, "x")
    async with relay.serving(asker):
        found = await asker.feed.changes(_KIND, 5, 15.0)
    assert found == platform_api.FeedChanges((), (), 5)


@pytest.mark.anyio
async def test_an_object_that_came_and_went_unseen_is_not_kept() -> None:
    """Fails if a relay answers with changes only after it listed again.

    The list does not show that "brief" was removed before it.
    """
    relay, asker = _Daemon("a", "abcdef"), _Daemon("f", "aaadef")
    await relay.know(5, "x")
    await asker.know(6, "x", "brief")
    await relay.know(8, "x")
    async with relay.serving(asker):
        found = await asker.feed.changes(_KIND, 6, 15.0)
    assert isinstance(found, platform_api.HistoryGone)


@pytest.mark.anyio
async def test_a_relay_that_lost_the_store_sends_askers_there_at_once() -> None:
    relay, asker = _Daemon("a", "abcdef"), _Daemon("f", "aaadef")
    await relay.know(5, "x")
    await asker.know(5, "x")
    relay.store.answers.append(platform_api.Unavailable("partitioned"))
    await relay.follower._step()
    await_now = platform_api.FeedChanges((), (), 9)
    asker.store.answers.append(await_now)
    async with relay.serving(asker):
        assert await asker.feed.changes(_KIND, 5, 15.0) == await_now
    # The call to the store does not wait, since a current answer is needed.
    assert asker.store.waits == [None, 0.0]


@pytest.mark.anyio
async def test_a_relay_that_is_gone_costs_one_call_and_is_left_alone() -> None:
    asker = _Daemon("f")
    answers = [platform_api.FeedChanges((), (), n) for n in range(6, 10)]
    asker.store.answers.extend(answers)
    for _ in range(4):
        await asker.feed.changes(_KIND, 5, 15.0)
    # Each of the three relays failed once; then the daemon polls the store.
    assert asker.store.waits == [0.0, 0.0, 0.0, 15.0]


@pytest.mark.anyio
@pytest.mark.parametrize(("name", "order"), [("a", "abcdefgh"), ("e", "abcde")])
async def test_relays_and_small_zones_watch_the_store(
    name: str, order: str
) -> None:
    daemon = _Daemon(name, order)
    found = platform_api.FeedChanges((), (), 6)
    daemon.store.answers.append(found)
    assert await daemon.feed.changes(_KIND, 5, 15.0) == found
    assert daemon.store.waits == [15.0]


@pytest.mark.anyio
async def test_a_daemon_that_is_no_relay_does_not_answer_as_one() -> None:
    """Fails if a daemon serves objects that it received from a relay."""
    chained, asker = _Daemon("h"), _Daemon("f", "hhhdef")
    await chained.know(5, "x")
    fresh = platform_api.FeedChanges((), (), 9)
    asker.store.answers.append(fresh)
    async with chained.serving(asker):
        assert await asker.feed.changes(_KIND, 5, 15.0) == fresh


@pytest.mark.anyio
async def test_a_frozen_relay_hides_a_change_for_one_turn_only() -> None:
    stale, live = _Daemon("a"), _Daemon("b")
    asker = _Daemon("f", "ababef")
    await stale.know(5, "x")
    await live.know(5, "x")
    await live.watch(7, changed="z")
    async with stale.serving(asker), live.serving(asker):
        found = [await asker.feed.changes(_KIND, 5, 15.0) for _ in range(3)]
    positions = [
        item.position
        for item in found
        if isinstance(item, platform_api.FeedChanges)
    ]
    assert 7 in positions[:2]
