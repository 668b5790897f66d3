"""Tests following the store through the relays of a zone."""

import pytest

from figstream import platform_api
from figstream import serialization
from figstream.rpc import feed_pb2
from tests import relay_parts


@pytest.mark.anyio
async def test_changes_and_removals_come_through_a_relay() -> None:
    relay, client = (
        relay_parts.Daemon("a", "abcdef"),
        relay_parts.Daemon("f", "aaadef"),
    )
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
    relay = relay_parts.Daemon("a", "abcdef")
    await relay.apply_snapshot(5, "x")
    encoded: list[object] = []
    to_json = serialization.to_json

    def count(value: object) -> bytes:
        encoded.append(value)
        return to_json(value)

    monkeypatch.setattr(serialization, "to_json", count)
    request = feed_pb2.FollowRequest(kind=relay_parts.KIND, position=5)
    for position in (7, 8):
        await relay.apply_changes(position, changed="z")
        answers = [await relay.relay.answer(request) for _ in range(8)]
        assert {item.position for item in answers} == {position}
    assert len(encoded) == 2


@pytest.mark.anyio
async def test_without_a_change_the_relay_answers_after_its_wait() -> None:
    relay, client = (
        relay_parts.Daemon("a", "abcdef"),
        relay_parts.Daemon("f", "aaadef"),
    )
    await relay.apply_snapshot(5, "x")
    async with relay.serving(client):
        found = await client.feed.changes(relay_parts.KIND, 5, 15.0)
    assert isinstance(found, platform_api.FeedChanges)
    assert (found.changed, found.deleted, found.position) == ((), (), 5)


@pytest.mark.anyio
async def test_an_object_that_came_and_went_unseen_is_not_kept() -> None:
    """Fails if a relay that listed the store again answers with changes.

    The list does not show that "brief" was removed before the relay read it.
    """
    relay, client = (
        relay_parts.Daemon("a", "abcdef"),
        relay_parts.Daemon("f", "aaadef"),
    )
    await relay.apply_snapshot(5, "x")
    await client.apply_snapshot(6, "x", "brief")
    await relay.apply_snapshot(8, "x")
    async with relay.serving(client):
        found = await client.feed.changes(relay_parts.KIND, 6, 15.0)
    assert isinstance(found, platform_api.HistoryGone)


@pytest.mark.anyio
async def test_a_relay_that_lost_the_store_sends_askers_there_at_once() -> None:
    relay, client = (
        relay_parts.Daemon("a", "abcdef"),
        relay_parts.Daemon("f", "aaadef"),
    )
    await relay.apply_snapshot(5, "x")
    await client.apply_snapshot(5, "x")
    relay.store.answers.append(platform_api.Unavailable("partitioned"))
    await relay.follower._poll_once()
    current = platform_api.FeedChanges((), (), 9)
    client.store.answers.append(current)
    async with relay.serving(client):
        assert await client.feed.changes(relay_parts.KIND, 5, 15.0) == current
    # The call to the store does not wait, since a current answer is needed.
    assert client.store.call_timeouts == [None, 0.0]


@pytest.mark.anyio
async def test_a_relay_that_is_gone_costs_one_call_and_is_left_alone() -> None:
    client = relay_parts.Daemon("f")
    answers = [platform_api.FeedChanges((), (), n) for n in range(6, 10)]
    client.store.answers.extend(answers)
    for _ in range(4):
        await client.feed.changes(relay_parts.KIND, 5, 15.0)
    # Each of the three relays failed once; then the daemon polls the store.
    assert client.store.call_timeouts == [0.0, 0.0, 0.0, 15.0]


@pytest.mark.anyio
@pytest.mark.parametrize(("name", "order"), [("a", "abcdefgh"), ("e", "abcde")])
async def test_relays_and_small_zones_watch_the_store(
    name: str, order: str
) -> None:
    daemon = relay_parts.Daemon(name, order)
    found = platform_api.FeedChanges((), (), 6)
    daemon.store.answers.append(found)
    assert await daemon.feed.changes(relay_parts.KIND, 5, 15.0) == found
    assert daemon.store.call_timeouts == [15.0]


@pytest.mark.anyio
async def test_a_daemon_that_is_no_relay_does_not_answer_as_one() -> None:
    """Fails if a daemon serves objects that it received from a relay."""
    chained, client = relay_parts.Daemon("h"), relay_parts.Daemon("f", "hhhdef")
    await chained.apply_snapshot(5, "x")
    fresh = platform_api.FeedChanges((), (), 9)
    client.store.answers.append(fresh)
    async with chained.serving(client):
        assert await client.feed.changes(relay_parts.KIND, 5, 15.0) == fresh


@pytest.mark.anyio
async def test_a_frozen_relay_hides_a_change_for_one_turn_only() -> None:
    stale, live = relay_parts.Daemon("a"), relay_parts.Daemon("b")
    client = relay_parts.Daemon("f", "ababef")
    await stale.apply_snapshot(5, "x")
    await live.apply_snapshot(5, "x")
    await live.apply_changes(7, changed="z")
    async with stale.serving(client), live.serving(client):
        found = [
            await client.feed.changes(relay_parts.KIND, 5, 15.0)
            for _ in range(3)
        ]
    positions = [
        item.position
        for item in found
        if isinstance(item, platform_api.FeedChanges)
    ]
    assert 7 in positions[:2]


@pytest.mark.anyio
async def test_a_relay_answers_a_daemon_whose_own_calls_are_refused() -> None:
    """Fails if such a daemon calls the store until its outage ends."""
    relay, client = (
        relay_parts.Daemon("a", "abcdef"),
        relay_parts.Daemon("f", "aaadef"),
    )
    await relay.apply_snapshot(5, "x")
    await client.apply_snapshot(5, "x")
    await relay.apply_changes(7, changed="z")
    refusal = platform_api.Unavailable("status 503")
    client.store.answers.extend([refusal, refusal])
    async with relay.serving(client):
        found = await client.feed.changes(relay_parts.KIND, 5, 0.0)
        unchanged = await client.feed.changes(relay_parts.KIND, 7, 0.0)
    assert isinstance(found, platform_api.FeedChanges)
    assert found.position == 7
    assert isinstance(unchanged, platform_api.FeedChanges)
    assert (unchanged.changed, unchanged.position) == ((), 7)
    assert client.store.call_timeouts == [None]


@pytest.mark.anyio
async def test_no_change_at_a_relay_proves_no_more_than_the_relay_knows() -> (
    None
):
    """Fails if the answer of a relay that is behind counts as a new proof."""
    relay = relay_parts.Daemon("a", "abcdef")
    client = relay_parts.Daemon("f", "aaadef")
    await relay.apply_snapshot(5, "x")
    await client.apply_snapshot(5, "x")
    for daemon in (relay, client):
        daemon.follower._confirmed_at -= 30.0
    async with relay.serving(client):
        await client.follower._poll_once()
    assert not client.follower.failing
    assert client.follower.unconfirmed_s >= 30.0


@pytest.mark.anyio
async def test_a_relay_that_read_a_list_still_helps_those_who_were_as_far() -> (
    None
):
    """Fails if all daemons of a zone read a list after their relay has."""
    relay = relay_parts.Daemon("a", "abcdef")
    client = relay_parts.Daemon("f", "aaadef")
    for daemon in (relay, client):
        await daemon.apply_snapshot(5, "x", "y")
    await relay.apply_snapshot(8, "x", "z")
    async with relay.serving(client):
        await client.follower._poll_once()
    assert set(client.follower.items) == {"x", "z"}
    assert client.store.call_timeouts == [None]


@pytest.mark.anyio
async def test_a_relay_that_sends_json_is_understood(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Fails if a daemon does not follow a relay of the build before."""
    relay = relay_parts.Daemon("a", "abcdef")
    client = relay_parts.Daemon("f", "aaadef")
    for daemon in (relay, client):
        await daemon.apply_snapshot(5, "x")
    await relay.apply_changes(7, changed="z", deleted="x")
    answer = relay.relay.answer

    async def answer_as_before(
        request: feed_pb2.FollowRequest,
    ) -> feed_pb2.FollowAnswer:
        known = feed_pb2.FollowRequest(
            kind=request.kind, position=request.position
        )
        found = await answer(known)
        assert found.changed
        found.ClearField("proof_ms")
        return found

    monkeypatch.setattr(relay.relay, "answer", answer_as_before)
    async with relay.serving(client):
        await client.follower._poll_once()
    assert set(client.follower.items) == {"z"}
