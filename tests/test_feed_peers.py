"""Tests pulling stored objects from peers during an outage of the store."""

import pytest

from figstream import clock as clock_lib
from figstream import configuration_holder
from figstream import feed_peers
from figstream import membership_api
from figstream import metrics
from figstream import object_follower
from figstream import platform_api
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
            "servers", self.feed, self.clock, unexported
        )
        self.members = lease_parts.SingleMembership(self.name)
        self.peers = feed_peers.FeedPeers(
            (self.follower,),
            self.members,
            configuration_holder.ConfigurationHolder(self.clock),
            self.clock,
            unexported,
        )

    def learn_from(self, other: "_Daemon") -> None:
        request = feed_pb2.PullRequest(
            known=[
                feed_pb2.KindPosition(
                    kind="servers", position=self.follower.position
                )
            ]
        )
        for state in other.peers.answer(request).newer:
            self.peers._adopt(other.name, state)


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
    behind.learn_from(ahead)
    assert set(behind.follower.items) == {"one", "two"}
    assert behind.follower.items["two"].value == {"n": 1}
    assert behind.follower.position == 9
    ahead.learn_from(behind)
    behind.learn_from(ahead)
    assert behind.follower.position == 9


@pytest.mark.anyio
async def test_a_daemon_started_in_an_outage_gets_all_from_a_peer() -> None:
    ahead, started = _Daemon("a"), _Daemon("b")
    await _set_state(ahead, 9, "one")
    assert started.follower.failing
    started.learn_from(ahead)
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


def test_an_unreadable_answer_changes_nothing() -> None:
    daemon = _Daemon("a")
    state = feed_pb2.KindState(kind="servers", position=7, items=b"{broken")
    daemon.peers._adopt("b", state)
    assert daemon.follower.position == 0
