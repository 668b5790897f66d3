"""Tests how many calls a daemon makes while the store refuses them.

Calls are paid, also those that are refused, and a fleet makes them at once.
"""

import collections
from collections.abc import AsyncIterator
import contextlib
from typing import Final

import anyio
import anyio.lowlevel
import pytest

from figstream import clock as clock_lib
from figstream import metrics
from figstream import object_follower
from figstream import platform_api

_LEAD: Final = "servers"
_OTHERS: Final = ("config", "plans")
# So long that a follower that waits for it alone would fail the test.
_LONG_S: Final = 1_000.0
_OUTAGE_S: Final = 2.0
_LIMIT_S: Final = 30.0


class _Store:
    """A feed that answers, or refuses calls for some kinds and counts them."""

    def __init__(self) -> None:
        self.refused = frozenset[str]()
        self.calls: collections.Counter[str] = collections.Counter()
        self._changed = anyio.Event()

    def refuse(self, *kinds: str) -> None:
        """Refuses calls for these kinds, also watches that wait."""
        self.refused = frozenset(kinds)
        self.calls.clear()
        self._changed.set()
        self._changed = anyio.Event()

    async def snapshot(
        self,
        kind: str,
        *,
        stale: bool = False,
        on_part: platform_api.PartListener = platform_api.ignore_part,
    ) -> platform_api.Snapshot | platform_api.Unavailable:
        self.calls[kind] += 1
        await anyio.lowlevel.checkpoint()
        if kind in self.refused:
            return platform_api.Unavailable("status 503")
        return platform_api.Snapshot((), 5)

    async def changes(
        self,
        kind: str,
        position: int,
        timeout_s: float,
        on_part: platform_api.PartListener = platform_api.ignore_part,
    ) -> platform_api.FeedChanges | platform_api.Unavailable:
        self.calls[kind] += 1
        if kind not in self.refused:
            with anyio.move_on_after(timeout_s):
                await self._changed.wait()
        if kind in self.refused:
            return platform_api.Unavailable("status 503")
        return platform_api.FeedChanges((), (), position)


class _Followers:
    def __init__(self, store: _Store, change_s: float) -> None:
        clock = clock_lib.SystemClock()
        unexported = metrics.make_unexported_metrics()
        self.lead = object_follower.ObjectFollower(
            _LEAD, store, clock, unexported, _LONG_S
        )
        self.others = [
            object_follower.ObjectFollower(
                kind, store, clock, unexported, change_s, self.lead
            )
            for kind in _OTHERS
        ]

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        with anyio.fail_after(_LIMIT_S):
            async with anyio.create_task_group() as group:
                for follower in (self.lead, *self.others):
                    group.start_soon(follower.run)
                await self.until_all(failing=False)
                yield
                group.cancel_scope.cancel()

    async def until_all(self, *, failing: bool) -> None:
        followers = (self.lead, *self.others)
        while any(item.failing != failing for item in followers):
            await anyio.sleep(0.01)


@pytest.mark.anyio
async def test_one_follower_calls_while_the_store_refuses_all() -> None:
    """Fails if each kind is asked for until the store answers again."""
    store = _Store()
    followers = _Followers(store, _LONG_S)
    async with followers.running():
        store.refuse(_LEAD, *_OTHERS)
        await anyio.sleep(_OUTAGE_S)
        assert all(store.calls[kind] <= 2 for kind in _OTHERS)
        # The others call as soon as the one that leads has an answer.
        store.refuse()
        await followers.until_all(failing=False)
        assert all(store.calls[kind] <= 2 for kind in _OTHERS)


@pytest.mark.anyio
async def test_a_daemon_that_starts_in_an_outage_lists_one_kind() -> None:
    store = _Store()
    store.refuse(_LEAD, *_OTHERS)
    followers = _Followers(store, _LONG_S)
    with anyio.fail_after(_LIMIT_S):
        async with anyio.create_task_group() as group:
            for follower in (followers.lead, *followers.others):
                group.start_soon(follower.run)
            await anyio.sleep(_OUTAGE_S)
            assert all(store.calls[kind] <= 2 for kind in _OTHERS)
            store.refuse()
            await followers.until_all(failing=False)
            group.cancel_scope.cancel()


@pytest.mark.anyio
async def test_a_kind_whose_lead_alone_is_refused_is_read_in_time() -> None:
    """Fails if a follower waits for a lead that may never be answered."""
    store = _Store()
    followers = _Followers(store, change_s=1.0)
    async with followers.running():
        store.refuse(_LEAD, *_OTHERS)
        await followers.until_all(failing=True)
        store.refuse(_LEAD)
        while any(item.failing for item in followers.others):
            await anyio.sleep(0.01)
        assert followers.lead.failing


@pytest.mark.anyio
async def test_one_refused_call_is_repeated_without_the_lead() -> None:
    store = _Store()
    followers = _Followers(store, _LONG_S)
    async with followers.running():
        store.refuse(*_OTHERS)
        while not all(item.failing for item in followers.others):
            await anyio.sleep(0.01)
        store.refuse()
        await followers.until_all(failing=False)
