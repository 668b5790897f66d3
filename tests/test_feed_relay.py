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
from figstream import serialization
from figstream.rpc import feed_pb2
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
        self.store = gateway_parts.ScriptedFeed()
        unexported = metrics.make_unexported_metrics()
        self.feed = feed_relay.RelayedFeed(
            self.store, self.members, self.clock, unexported, change_s=2.0
        )
        self.follower = object_follower.ObjectFollower(
            _KIND, self.feed, self.clock, unexported, 2.0
        )
        self.relay = feed_relay.FeedRelay(self.feed, (self.follower,))

    async def apply_snapshot(self, position: int, *names: str) -> None:
        items = tuple(
            gateway_parts.item(name, position, {"n": 1}) for name in names
        )
        self.store.answers.append(platform_api.Snapshot(items, position))
        self.follower._listed = False
        await self.follower._poll_once()

    async def apply_changes(
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
        await self.follower._poll_once()

    @contextlib.asynccontextmanager
    async def serving(self, *clients: "_Daemon") -> AsyncIterator[None]:
        server = peer_server.PeerServer("127.0.0.1", 0)
        await server.start([self.relay])
        name = self.members.this().name
        for client in clients:
            client.members.addresses[name] = server.address
        try:
            yield
        finally:
            await server.stop()


@pytest.mark.anyio
async def test_changes_and_removals_come_through_a_relay() -> None:
    relay, client = _Daemon("a", "abcdef"), _Daemon("f", "aaadef")
    await relay.apply_snapshot(5, "x", "y")
    await client.apply_snapshot(5, "x", "y")
    await relay.apply_changes(7, changed="z", deleted="x")
    async with relay.serving(client):
        await client.follower._poll_once()
    assert set(client.follower.items) == {"y", "z"}
    assert client.follower.position == 7
    assert client.store.call_timeouts == [None]


@pytest.mark.anyio
async def test_a_change_is_encoded_once_for_all_who_ask_from_one_position(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Fails if a relay encodes a large configuration for each daemon anew."""
    relay = _Daemon("a", "abcdef")
    await relay.apply_snapshot(5, "x")
    encoded: list[object] = []
    to_json = serialization.to_json

    def count(value: object) -> bytes:
        encoded.append(value)
        return to_json(value)

    monkeypatch.setattr(serialization, "to_json", count)
    request = feed_pb2.FollowRequest(kind=_KIND, position=5)
    for position in (7, 8):
        await relay.apply_changes(position, changed="z")
        answers = [await relay.relay.answer(request) for _ in range(8)]
        assert {item.position for item in answers} == {position}
    assert len(encoded) == 2


@pytest.mark.anyio
async def test_without_a_change_the_relay_answers_after_its_wait() -> None:
    relay, client = _Daemon("a", "abcdef"), _Daemon("f", "aaadef")
    await relay.apply_snapshot(5, "x")
    async with relay.serving(client):
        found = await client.feed.changes(_KIND, 5, 15.0)
    assert found == platform_api.FeedChanges((), (), 5)


@pytest.mark.anyio
async def test_an_object_that_came_and_went_unseen_is_not_kept() -> None:
    """Fails if a relay that listed the store again answers with changes.

    The list does not show that "brief" was removed before the relay read it.
    """
    relay, client = _Daemon("a", "abcdef"), _Daemon("f", "aaadef")
    await relay.apply_snapshot(5, "x")
    await client.apply_snapshot(6, "x", "brief")
    await relay.apply_snapshot(8, "x")
    async with relay.serving(client):
        found = await client.feed.changes(_KIND, 6, 15.0)
    assert isinstance(found, platform_api.HistoryGone)


@pytest.mark.anyio
async def test_a_relay_that_lost_the_store_sends_askers_there_at_once() -> None:
    relay, client = _Daemon("a", "abcdef"), _Daemon("f", "aaadef")
    await relay.apply_snapshot(5, "x")
    await client.apply_snapshot(5, "x")
    relay.store.answers.append(platform_api.Unavailable("partitioned"))
    await relay.follower._poll_once()
    current = platform_api.FeedChanges((), (), 9)
    client.store.answers.append(current)
    async with relay.serving(client):
        assert await client.feed.changes(_KIND, 5, 15.0) == current
    # The call to the store does not wait, since a current answer is needed.
    assert client.store.call_timeouts == [None, 0.0]


@pytest.mark.anyio
async def test_a_relay_that_is_gone_costs_one_call_and_is_left_alone() -> None:
    client = _Daemon("f")
    answers = [platform_api.FeedChanges((), (), n) for n in range(6, 10)]
    client.store.answers.extend(answers)
    for _ in range(4):
        await client.feed.changes(_KIND, 5, 15.0)
    # Each of the three relays failed once; then the daemon polls the store.
    assert client.store.call_timeouts == [0.0, 0.0, 0.0, 15.0]


@pytest.mark.anyio
@pytest.mark.parametrize(("name", "order"), [("a", "abcdefgh"), ("e", "abcde")])
async def test_relays_and_small_zones_watch_the_store(
    name: str, order: str
) -> None:
    daemon = _Daemon(name, order)
    found = platform_api.FeedChanges((), (), 6)
    daemon.store.answers.append(found)
    assert await daemon.feed.changes(_KIND, 5, 15.0) == found
    assert daemon.store.call_timeouts == [15.0]


@pytest.mark.anyio
async def test_a_daemon_that_is_no_relay_does_not_answer_as_one() -> None:
    """Fails if a daemon serves objects that it received from a relay."""
    chained, client = _Daemon("h"), _Daemon("f", "hhhdef")
    await chained.apply_snapshot(5, "x")
    fresh = platform_api.FeedChanges((), (), 9)
    client.store.answers.append(fresh)
    async with chained.serving(client):
        assert await client.feed.changes(_KIND, 5, 15.0) == fresh


@pytest.mark.anyio
async def test_a_frozen_relay_hides_a_change_for_one_turn_only() -> None:
    stale, live = _Daemon("a"), _Daemon("b")
    client = _Daemon("f", "ababef")
    await stale.apply_snapshot(5, "x")
    await live.apply_snapshot(5, "x")
    await live.apply_changes(7, changed="z")
    async with stale.serving(client), live.serving(client):
        found = [await client.feed.changes(_KIND, 5, 15.0) for _ in range(3)]
    positions = [
        item.position
        for item in found
        if isinstance(item, platform_api.FeedChanges)
    ]
    assert 7 in positions[:2]


@pytest.mark.anyio
async def test_a_relay_answers_a_daemon_whose_own_calls_are_refused() -> None:
    """Fails if such a daemon calls the store until its outage ends."""
    relay, client = _Daemon("a", "abcdef"), _Daemon("f", "aaadef")
    await relay.apply_snapshot(5, "x")
    await client.apply_snapshot(5, "x")
    await relay.apply_changes(7, changed="z")
    refusal = platform_api.Unavailable("status 503")
    client.store.answers.extend([refusal, refusal])
    async with relay.serving(client):
        found = await client.feed.changes(_KIND, 5, 0.0)
        unchanged = await client.feed.changes(_KIND, 7, 0.0)
    assert isinstance(found, platform_api.FeedChanges)
    assert found.position == 7
    assert unchanged == platform_api.FeedChanges((), (), 7)
    assert client.store.call_timeouts == [None]
