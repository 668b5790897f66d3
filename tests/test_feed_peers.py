"""Tests pulling stored objects from peers during an outage of the store."""

from typing import Any

import grpc
import pytest

from figstream import clock as clock_lib
from figstream import configuration
from figstream import configuration_feed
from figstream import configuration_holder
from figstream import feed_peers
from figstream import membership_api
from figstream import metrics
from figstream import object_follower
from figstream import object_transfer
from figstream import platform_api
from figstream import store_era
from figstream.rpc import feed_pb2
from tests import gateway_parts
from tests import lease_parts


class _Daemon:
    def __init__(self, name: str) -> None:
        self.name = name
        self.clock = clock_lib.ManualClock()
        self.feed = gateway_parts.ScriptedFeed()
        unexported = metrics.make_unexported_metrics()
        self.follower = object_follower.ObjectFollower(
            "servers", self.feed, self.clock, unexported, 2.0
        )
        self.members = lease_parts.SingleMembership(self.name)
        self.operator_feed = gateway_parts.ScriptedFeed()
        self.configuration_follower = object_follower.ObjectFollower(
            "config", self.operator_feed, self.clock, unexported, 2.0
        )
        self.holder = configuration_holder.ConfigurationHolder(self.clock)
        self.configuration = configuration_feed.ConfigurationFeed(
            self.configuration_follower, "main", _decode, self.holder
        )
        self.peers = feed_peers.FeedPeers(
            (self.follower,),
            self.members,
            self.configuration,
            self.clock,
            unexported,
            object_transfer.ObjectTransfer(),
            self.follower,
        )

    async def learn_from(self, other: "_Daemon") -> None:
        request = feed_pb2.PullRequest(
            known=[
                feed_pb2.KindPosition(
                    kind="servers", position=self.follower.position
                )
            ],
            generation=self.holder.current.generation,
        )
        answer = other.peers.answer(request)
        channel = grpc.aio.insecure_channel("127.0.0.1:1")
        await self.peers._adopt_all(
            other.name, channel, answer, self.clock.now()
        )
        await channel.close()

    async def read_configuration(self, version: int, generation: int) -> None:
        """Lists the operator's object from the store."""
        item = gateway_parts.item("main", version, generation)
        self.operator_feed.answers.append(
            platform_api.Snapshot((item,), version)
        )
        self.configuration_follower._listed = False
        await self.configuration_follower._poll_once()


def _decode(item: platform_api.StoredItem) -> configuration.Configuration:
    return configuration.Configuration(generation=item.value)


async def _set_state(daemon: _Daemon, position: int, *names: str) -> None:
    items = tuple(gateway_parts.item(name, value={"n": 1}) for name in names)
    daemon.feed.answers.append(platform_api.Snapshot(items, position))
    await daemon.follower._poll_once()


@pytest.mark.anyio
async def test_a_newer_state_is_taken_from_a_peer_and_an_older_one_not() -> (
    None
):
    ahead, behind = _Daemon("a"), _Daemon("b")
    await _set_state(ahead, 9, "one", "two")
    await _set_state(behind, 5, "one")
    await behind.learn_from(ahead)
    assert set(behind.follower.items) == {"one", "two"}
    assert behind.follower.items["two"].value == {"n": 1}
    assert behind.follower.position == 9
    await ahead.learn_from(behind)
    await behind.learn_from(ahead)
    assert behind.follower.position == 9


@pytest.mark.anyio
async def test_a_daemon_started_in_an_outage_gets_all_from_a_peer() -> None:
    ahead, started = _Daemon("a"), _Daemon("b")
    await _set_state(ahead, 9, "one")
    assert started.follower.failing
    await started.learn_from(ahead)
    assert set(started.follower.items) == {"one"}


@pytest.mark.anyio
async def test_a_peer_is_asked_only_while_one_may_be_behind() -> None:
    daemon = _Daemon("a")
    await _set_state(daemon, 9, "one")
    assert not daemon.peers._may_be_behind()
    daemon.feed.answers.append(platform_api.Unavailable("down"))
    await daemon.follower._poll_once()
    assert daemon.peers._may_be_behind()


@pytest.mark.anyio
async def test_a_peer_with_a_newer_configuration_is_asked() -> None:
    daemon = _Daemon("a")
    await _set_state(daemon, 9, "one")
    newer = membership_api.Member("b", "a", "r", "", 1, generation=4)
    daemon.members.live = lambda: [newer]  # type: ignore[method-assign]
    assert daemon.peers._may_be_behind()


@pytest.mark.anyio
async def test_a_peer_with_a_newer_plan_is_asked_until_it_is_known() -> None:
    """Fails if a plan whose watch and notice were lost is never read."""
    daemon, peer = _Daemon("a"), _Daemon("b")
    await _set_state(daemon, 9, "one")
    await _set_state(peer, 12, "one", "two")
    ahead = membership_api.Member("b", "a", "r", "", 1, plan_version=11)
    daemon.members.live = lambda: [ahead]  # type: ignore[method-assign]
    assert daemon.peers._may_be_behind()
    await daemon.learn_from(peer)
    assert not daemon.peers._may_be_behind()


@pytest.mark.anyio
@pytest.mark.parametrize(
    "objects",
    [
        {"items": b"{broken"},
        {"content": feed_pb2.Content(start=b"broken", size_bytes=6)},
        {"content": feed_pb2.Content(size_bytes=1 << 30)},
    ],
    ids=str,
)
async def test_an_unreadable_answer_changes_nothing(
    objects: dict[str, Any],
) -> None:
    daemon = _Daemon("a")
    state = feed_pb2.KindState(kind="servers", position=7, **objects)
    async with grpc.aio.insecure_channel("127.0.0.1:1") as channel:
        await daemon.peers._adopt("b", channel, state, 0.0)
    assert daemon.follower.position == 0


@pytest.mark.anyio
async def test_after_a_restore_the_newest_configuration_comes_from_a_peer() -> (
    None
):
    """Fails if peers offer only the objects that the store shows.

    After a restore from an older copy, the store shows an older configuration
    until the operator has written the newest one again.
    """
    old, started = _Daemon("a"), _Daemon("b")
    await old.read_configuration(store_era.version_of(1, 9), generation=8)
    restored = store_era.version_of(2, 5)
    await old.read_configuration(restored, generation=7)
    assert old.holder.current.generation == 8
    await started.read_configuration(restored, generation=7)
    await started.learn_from(old)
    assert started.holder.current.generation == 8
    await old.learn_from(started)
    assert old.holder.current.generation == 8


@pytest.mark.anyio
async def test_a_state_of_a_newer_era_wins_over_a_higher_revision() -> None:
    ahead, behind = _Daemon("a"), _Daemon("b")
    await _set_state(ahead, store_era.version_of(2, 5), "one")
    await _set_state(behind, store_era.version_of(1, 90), "one", "two")
    await ahead.learn_from(behind)
    assert set(ahead.follower.items) == {"one"}
    await behind.learn_from(ahead)
    assert set(behind.follower.items) == {"one"}
    assert not behind.follower.settled


@pytest.mark.anyio
async def test_a_configuration_from_a_peer_is_no_newer_than_its_proof() -> None:
    """Fails if a copy counts as proven because it has just been received."""
    ahead, behind = _Daemon("a"), _Daemon("b")
    await ahead.read_configuration(9, generation=3)
    ahead.clock.advance(30.0)
    await behind.learn_from(ahead)
    assert behind.holder.current.generation == 3
    assert behind.holder.unconfirmed_s >= 30.0


@pytest.mark.anyio
async def test_a_peer_that_reaches_the_store_proves_what_both_have() -> None:
    """Fails if a daemon that the store turns away has no proof at all."""
    proven, turned_away = _Daemon("a"), _Daemon("b")
    await _set_state(turned_away, 9, "one")
    for daemon in (proven, turned_away):
        daemon.clock.advance(30.0)
    await _set_state(proven, 9, "one")
    proven.clock.advance(1.0)
    await turned_away.learn_from(proven)
    assert turned_away.follower.unconfirmed_s == pytest.approx(1.0)


@pytest.mark.anyio
async def test_a_peer_that_is_behind_proves_nothing_newer() -> None:
    ahead, behind = _Daemon("a"), _Daemon("b")
    await _set_state(behind, 5, "one")
    await _set_state(ahead, 9, "one", "two")
    ahead.clock.advance(30.0)
    await ahead.learn_from(behind)
    assert ahead.follower.unconfirmed_s == pytest.approx(30.0)
