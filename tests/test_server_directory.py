"""Tests of the backend servers that a daemon takes from the store."""

import pytest

from figstream import object_follower
from figstream import platform_api
from tests import gateway_parts

_item = gateway_parts.item
_DOWN = platform_api.Unavailable("status 503")


def _list(position: int, *items: object) -> platform_api.Snapshot:
    return platform_api.Snapshot(tuple(items), position)  # type: ignore[arg-type]


def _gone(position: int, *names: str) -> platform_api.FeedChanges:
    return platform_api.FeedChanges((), names, position)


@pytest.mark.anyio
async def test_unreadable_entries_are_skipped_and_the_others_hold() -> None:
    made = gateway_parts.Directory()
    await made.play(_list(5, _item("one"), _item("bad", value=7)))
    assert made.names == {"one"}


@pytest.mark.anyio
async def test_a_removed_entry_is_gone_at_once_while_the_store_answers() -> (
    None
):
    made = gateway_parts.Directory()
    await made.play(_list(5, _item("one"), _item("two")), _gone(6, "one"))
    assert made.names == {"two"}


@pytest.mark.anyio
async def test_the_call_after_a_failure_does_not_wait() -> None:
    """Breaks when it waits: the return is then told as late as a change.

    Found on Khazain's trouble-1 (seed 53118871): a daemon that the store had
    turned away took its return for 3.5 s later than it was, and sent to a
    server that had left for 2 s more.
    """
    made = gateway_parts.Directory()
    await made.play(_list(5, _item("one")), _DOWN, _gone(5))
    assert made.feed.waits == [
        None,
        object_follower.WATCH_TIMEOUT_S,
        0.0,
        object_follower.WATCH_TIMEOUT_S,
    ]


@pytest.mark.anyio
async def test_entries_that_lapsed_in_an_outage_stay_until_it_is_over() -> None:
    made = gateway_parts.Directory()
    await made.play(_list(5, _item("one"), _item("two")), _DOWN)

    def back() -> platform_api.FeedChanges:
        made.clock.advance(4.0)
        return _gone(6, "one", "two")

    await made.play(back)
    assert made.names == {"one", "two"}
    renewed = platform_api.FeedChanges((_item("one", 7),), (), 7)
    await made.play(renewed)
    made.clock.advance(object_follower.RECOVERY_GRACE_S + 0.1)
    await made.tend()
    assert made.names == {"one"}


@pytest.mark.anyio
async def test_a_settled_peer_is_believed_that_a_server_is_gone() -> None:
    made = gateway_parts.Directory()
    await made.play(_list(5, _item("one"), _item("two")), _DOWN)
    left = {"two": _item("two")}
    made.follower.adopt(6, left, settled=True)
    assert made.names == {"two"}


@pytest.mark.anyio
async def test_a_peer_in_the_same_outage_is_not_believed() -> None:
    made = gateway_parts.Directory()
    await made.play(_list(5, _item("one"), _item("two")), _DOWN)
    made.follower.adopt(6, {"two": _item("two")}, settled=False)
    assert made.names == {"one", "two"}


@pytest.mark.anyio
async def test_an_older_list_never_replaces_a_newer_state() -> None:
    made = gateway_parts.Directory()
    await made.play(_list(5, _item("one")))
    made.follower.adopt(9, {"two": _item("two")}, settled=True)
    await made.play(platform_api.HistoryGone(), _list(7, _item("one")))
    assert made.names == {"two"}
