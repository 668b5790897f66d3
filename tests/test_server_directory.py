"""Tests of the backend servers that a daemon reads from the store."""

import pytest

from figstream import object_follower
from figstream import platform_api
from figstream import store_era
from tests import gateway_parts

_item = gateway_parts.item
_DOWN = platform_api.Unavailable("status 503")


def _list(position: int, *items: object) -> platform_api.Snapshot:
    return platform_api.Snapshot(tuple(items), position)  # type: ignore[arg-type]


def _gone(position: int, *names: str) -> platform_api.FeedChanges:
    return platform_api.FeedChanges((), names, position)


@pytest.mark.anyio
async def test_unreadable_entries_are_skipped_and_the_others_hold() -> None:
    directory = gateway_parts.DirectoryFixture()
    await directory.run_follower(_list(5, _item("one"), _item("bad", value=7)))
    assert directory.names == {"one"}


@pytest.mark.anyio
async def test_a_removed_entry_is_gone_at_once_while_the_store_answers() -> (
    None
):
    directory = gateway_parts.DirectoryFixture()
    await directory.run_follower(
        _list(5, _item("one"), _item("two")), _gone(6, "one")
    )
    assert directory.names == {"two"}


@pytest.mark.anyio
async def test_the_call_after_a_failure_does_not_wait() -> None:
    """Fails if the watch call after a failed call waits for a change.

    The daemon then notices the return of the store only at the next change.
    Seen in trouble-1 on Khazain (seed 53118871): a daemon that the store had
    rejected noticed its return 3.5 s late, and sent requests for 2 s more to a
    server that had left.
    """
    directory = gateway_parts.DirectoryFixture()
    await directory.run_follower(_list(5, _item("one")), _DOWN, _gone(5))
    watch_s = object_follower.WATCH_FRACTION * gateway_parts.CHANGE_S
    assert directory.feed.call_timeouts == [
        None,
        watch_s,
        0.0,
        watch_s,
    ]


@pytest.mark.anyio
async def test_entries_that_lapsed_in_an_outage_stay_until_it_is_over() -> None:
    directory = gateway_parts.DirectoryFixture()
    await directory.run_follower(_list(5, _item("one"), _item("two")), _DOWN)

    def return_of_store() -> platform_api.FeedChanges:
        directory.clock.advance(4.0)
        return _gone(6, "one", "two")

    await directory.run_follower(return_of_store)
    assert directory.names == {"one", "two"}
    renewed = platform_api.FeedChanges((_item("one", 7),), (), 7)
    await directory.run_follower(renewed)
    directory.clock.advance(object_follower.RECOVERY_GRACE_S + 0.1)
    await directory.run_directory()
    assert directory.names == {"one"}


@pytest.mark.anyio
async def test_an_unreadable_entry_is_no_lapsed_one_after_an_outage() -> None:
    directory = gateway_parts.DirectoryFixture()
    await directory.run_follower(
        _list(5, _item("one"), _item("two"), _item("three")), _DOWN
    )

    def return_of_store() -> platform_api.FeedChanges:
        directory.clock.advance(4.0)
        odd = (_item("two", 6, None),)
        return platform_api.FeedChanges(odd, ("three",), 6)

    await directory.run_follower(return_of_store)
    assert directory.names == {"one", "three"}
    late = platform_api.FeedChanges((_item("three", 7, None),), (), 7)
    await directory.run_follower(late)
    assert directory.names == {"one"}
    written = platform_api.FeedChanges((_item("two", 8),), (), 8)
    await directory.run_follower(written)
    assert directory.names == {"one", "two"}


@pytest.mark.anyio
async def test_a_settled_peer_is_believed_that_a_server_is_gone() -> None:
    directory = gateway_parts.DirectoryFixture()
    await directory.run_follower(_list(5, _item("one"), _item("two")), _DOWN)
    left = {"two": _item("two")}
    directory.follower.adopt(6, left, settled=True)
    assert directory.names == {"two"}


@pytest.mark.anyio
async def test_a_peer_in_the_same_outage_is_not_believed() -> None:
    directory = gateway_parts.DirectoryFixture()
    await directory.run_follower(_list(5, _item("one"), _item("two")), _DOWN)
    directory.follower.adopt(6, {"two": _item("two")}, settled=False)
    assert directory.names == {"one", "two"}


@pytest.mark.anyio
async def test_an_older_list_never_replaces_a_newer_state() -> None:
    directory = gateway_parts.DirectoryFixture()
    await directory.run_follower(_list(5, _item("one")))
    directory.follower.adopt(9, {"two": _item("two")}, settled=True)
    await directory.run_follower(
        platform_api.HistoryGone(), _list(7, _item("one"))
    )
    assert directory.names == {"two"}


def _entry(
    name: str, era: int, revision: int, state: str = "ready", run: int = 7
) -> object:
    version = store_era.version_of(era, revision)
    return _item(name, version, {"zone": "a", "state": state, "run": run})


def _states(directory: gateway_parts.DirectoryFixture) -> set[str]:
    return {item.state.value for item in directory.directory.servers}


def _restored(revision: int, *items: object) -> platform_api.Snapshot:
    return _list(store_era.version_of(2, revision), *items)


@pytest.mark.anyio
async def test_a_drained_server_stays_drained_after_a_restore() -> None:
    """Fails if an entry of the copy makes a draining server ready again."""
    directory = gateway_parts.DirectoryFixture()
    await directory.run_follower(
        _list(store_era.version_of(1, 9), _entry("one", 1, 9, "draining")),
        platform_api.HistoryGone(),
        _restored(5, _entry("one", 2, 4)),
    )
    assert _states(directory) == {"draining"}
    await directory.run_follower(
        platform_api.FeedChanges(
            (_entry("one", 2, 6, run=8),),  # type: ignore[arg-type]
            (),
            store_era.version_of(2, 6),
        )
    )
    assert _states(directory) == {"active"}


@pytest.mark.anyio
async def test_a_restored_entry_of_a_gone_server_counts_once_rewritten() -> (
    None
):
    """Fails if an entry that the copy brings back names a server to use."""
    directory = gateway_parts.DirectoryFixture()
    await directory.run_follower(
        _list(
            store_era.version_of(1, 8),
            _entry("one", 1, 3),
            _entry("two", 1, 4),
        ),
        _gone(store_era.version_of(1, 9), "one"),
        platform_api.HistoryGone(),
        _restored(5, _entry("one", 2, 3), _entry("two", 2, 4)),
    )
    assert directory.names == {"two"}
    await directory.run_follower(
        platform_api.FeedChanges(
            (_entry("one", 2, 6),),  # type: ignore[arg-type]
            (),
            store_era.version_of(2, 6),
        )
    )
    assert directory.names == {"one", "two"}


@pytest.mark.anyio
async def test_servers_that_the_copy_lacks_stay_until_they_could_write() -> (
    None
):
    directory = gateway_parts.DirectoryFixture()
    await directory.run_follower(
        _list(store_era.version_of(1, 9), _entry("one", 1, 9)),
        platform_api.HistoryGone(),
        _restored(5),
    )
    assert directory.names == {"one"}
    directory.clock.advance(object_follower.RECOVERY_GRACE_S)
    await directory.run_directory()
    assert directory.names == set()
