"""Tests that large configurations are in force in time over slow links."""

from collections.abc import AsyncIterator
import contextlib
from typing import Any
from typing import Final

import anyio
import pytest

from figstream import clock as clock_lib
from figstream import configuration
from figstream import configuration_feed
from figstream import configuration_holder
from figstream import feed_peers
from figstream import http_server
from figstream import metrics
from figstream import object_follower
from figstream import object_transfer
from figstream import peer_server
from figstream import platform_api
from figstream import platform_http
from figstream import store_era
from figstream_platform import standin_store
from figstream_platform import store as store_lib
from soak import links
from tests import gateway_parts
from tests import relay_parts

# Links of 10 and of 5 Mbit/s.
_LINK_BYTES_PER_S: Final = 1_250_000
_SLOW_LINK_BYTES_PER_S: Final = 625_000
_ROUTES: Final = 1_100
# Time within which a change must become active.
_CHANGE_S: Final = 3.0


def _value(version: int) -> dict[str, Any]:
    """Returns a configuration of some 200 KB whose versions differ little."""
    routes = [
        {
            "name": f"route-{number}",
            "host": f"host-{number * 7919 % 1_000}.example",
            "path": f"/{number * 104_729 % 99_991}/",
            "service": f"service-{(number * 31 + number * number) % 7}",
            "settings": {
                "timeout": 1_000 + number * 13 % 997,
                "target": number * 17 % 499,
                "attempts": 2,
                "open": False,
                "tier": number % 3,
            },
        }
        for number in range(_ROUTES)
    ]
    routes[version % _ROUTES]["service"] = f"moved-by-{version}"
    return {"version": version, "routes": routes}


def _changes(version: int) -> platform_api.FeedChanges:
    item = gateway_parts.item("main", version, _value(version))
    return platform_api.FeedChanges((item,), (), version)


@pytest.mark.anyio
async def test_a_zone_behind_a_slow_relay_gets_each_large_change_in_time() -> (
    None
):
    """Fails if each daemon gets the whole of each version from its relay.

    The store turns all daemons but the relay away.
    """
    names = [f"d{number}" for number in range(8)]
    order = ["a", "a", "a", *names]
    clients = [relay_parts.Daemon(item, order, _CHANGE_S) for item in names]
    relay = relay_parts.Daemon("a", order, _CHANGE_S)
    for daemon in (relay, *clients):
        daemon.store.answers.append(platform_api.Snapshot((), 1))
    for client in clients:
        client.store.answers += [platform_api.Unavailable("status 503")] * 999
    server = peer_server.PeerServer("127.0.0.1", 0)
    port = int(server.address.rpartition(":")[2])
    rate = links.Rate(_LINK_BYTES_PER_S)
    link = links.Link(port, rate)
    written_at: dict[int, float] = {}
    late_s: dict[str, float] = {}

    async def watch(client: relay_parts.Daemon) -> None:
        for version, at in written_at.items():
            while client.follower.position < version:
                await anyio.sleep(0.02)
            lag_s = anyio.current_time() - at
            name = client.members.this().name
            late_s[name] = max(lag_s, late_s.get(name, 0.0))

    async with anyio.create_task_group() as group:
        await server.start([relay.relay, relay.transfer])
        await group.start(link.serve)
        for client in clients:
            client.members.addresses["a"] = f"127.0.0.1:{link.port}"
        for daemon in (relay, *clients):
            group.start_soon(daemon.follower.run)
        await anyio.sleep(0.5)
        for version in range(2, 10):
            written_at[version] = anyio.current_time()
            relay.store.answers.append(_changes(version))
            await anyio.sleep(0.5)
        with anyio.move_on_after(_CHANGE_S):
            async with anyio.create_task_group() as watchers:
                for client in clients:
                    watchers.start_soon(watch, client)
        positions = [client.follower.position for client in clients]
        group.cancel_scope.cancel()
    await server.stop()
    assert positions == [9] * len(clients)
    # Versions are watched only once all are written.
    assert max(late_s.values()) < 8 * 0.5 + _CHANGE_S
    # Less than one whole version for each daemon, of eight versions.
    assert rate.passed_bytes < len(clients) * 200_000


@contextlib.asynccontextmanager
async def _store_behind(
    rate: links.Rate,
) -> AsyncIterator[tuple[standin_store.Store, links.Link, store_lib.StoreFeed]]:
    """Serves a store behind a link, with a feed that reads through it."""
    store = standin_store.Store()
    async with (
        anyio.create_task_group() as group,
        http_server.serve_app(store.application) as port,
    ):
        link = links.Link(port, rate)
        await group.start(link.serve)
        client = store_lib.StoreClient(
            platform_http.PlatformHttpClient(
                f"http://127.0.0.1:{link.port}", "entry-1", 1.0
            ),
            store_era.StoreEra(clock_lib.SystemClock()),
            metrics.make_unexported_metrics(),
        )
        yield store, link, store_lib.StoreFeed(client)
        group.cancel_scope.cancel()


def _follower(
    feed: platform_api.ObjectFeed, change_s: float
) -> object_follower.ObjectFollower:
    return object_follower.ObjectFollower(
        "config",
        feed,
        clock_lib.SystemClock(),
        metrics.make_unexported_metrics(),
        change_s,
    )


@pytest.mark.anyio
async def test_an_answer_that_still_arrives_is_not_asked_for_again() -> None:
    """Fails if the time limit of a watch counts the transfer as silence."""
    rate = links.Rate(_SLOW_LINK_BYTES_PER_S)
    async with _store_behind(rate) as (store, _, feed):
        store.put("config", "main", _value(1))
        follower = _follower(feed, change_s=1.0)
        async with anyio.create_task_group() as group:
            group.start_soon(follower.run)
            while not follower.position:
                await anyio.sleep(0.02)
            # The watch ends 0.4 s later, and two versions take 0.6 s.
            await anyio.sleep(0.4)
            for version in (2, 3):
                store.put("config", "main", _value(version))
            newest = store_era.version_of(1, store.revision)
            with anyio.move_on_after(2.0):
                while follower.position < newest:
                    await anyio.sleep(0.02)
            position = follower.position
            group.cancel_scope.cancel()
        assert position == newest
        # The list, and the watch that brought the changes.
        assert store.calls["GET config"] == 2


@pytest.mark.anyio
async def test_an_answer_that_stops_halfway_is_asked_for_again_in_time() -> (
    None
):
    """Fails if a watch waits on once the first part of its answer is there."""
    rate = links.Rate(_SLOW_LINK_BYTES_PER_S)
    async with _store_behind(rate) as (store, link, feed):
        store.put("config", "main", {"version": 1})
        follower = _follower(feed, change_s=1.0)
        async with anyio.create_task_group() as group:
            group.start_soon(follower.run)
            await anyio.sleep(0.2)
            store.put("config", "main", _value(2))
            await anyio.sleep(0.1)
            link.stall_open()
            newest = store_era.version_of(1, store.revision)
            with anyio.move_on_after(2.0):
                while follower.position < newest:
                    await anyio.sleep(0.02)
            position = follower.position
            group.cancel_scope.cancel()
        assert position == newest


@pytest.mark.anyio
async def test_after_an_outage_only_the_newest_version_is_read() -> None:
    """Fails if a follower reads each version that it has missed."""
    rate = links.Rate(_SLOW_LINK_BYTES_PER_S)
    async with _store_behind(rate) as (store, _, feed):
        store.put("config", "main", _value(1))
        follower = _follower(feed, change_s=2.0)
        async with anyio.create_task_group() as group:
            group.start_soon(follower.run)
            while not follower.position:
                await anyio.sleep(0.02)
            store.faults.down = True
            store.put("other", "o", {})
            await anyio.sleep(2.0)
            for version in range(2, 16):
                store.put("config", "main", _value(version))
            before_bytes = rate.passed_bytes
            store.faults.down = False
            newest = store_era.version_of(1, store.revision)
            with anyio.move_on_after(_CHANGE_S):
                while follower.position < newest:
                    await anyio.sleep(0.02)
            position = follower.position
            group.cancel_scope.cancel()
        assert position == newest
        # The whole of them has fourteen times the bytes of one.
        assert rate.passed_bytes - before_bytes < 4 * 200_000


class _Peer:
    """A daemon that exchanges objects with peers."""

    def __init__(self, name: str) -> None:
        self.clock = clock_lib.SystemClock()
        self.members = relay_parts.Zone(name, ("a", "b", name))
        self.store = gateway_parts.ScriptedFeed()
        unexported = metrics.make_unexported_metrics()
        followers = tuple(
            object_follower.ObjectFollower(
                kind, self.store, self.clock, unexported, _CHANGE_S
            )
            for kind in ("config", "servers")
        )
        self.config = followers[0]
        self.holder = configuration_holder.ConfigurationHolder(self.clock)
        feed = configuration_feed.ConfigurationFeed(
            self.config, "main", _decode, self.holder
        )
        self.transfer = object_transfer.ObjectTransfer()
        self.peers = feed_peers.FeedPeers(
            followers,
            self.members,
            feed,
            self.clock,
            unexported,
            self.transfer,
        )

    async def read(self, version: int) -> None:
        """Lists the configuration from the store."""
        item = gateway_parts.item("main", version, _value(version))
        self.store.answers.append(platform_api.Snapshot((item,), version))
        await self.config._poll_once()


def _decode(item: platform_api.StoredItem) -> configuration.Configuration:
    return configuration.Configuration(generation=item.value["version"])


@pytest.mark.anyio
async def test_a_start_in_an_outage_is_served_by_peers_over_a_slow_link() -> (
    None
):
    """Fails if a pull has to bring all objects within a fixed time.

    Such a daemon refused all requests for ten seconds.
    """
    peers = [_Peer("a"), _Peer("b")]
    fresh = _Peer("c")
    refusal = platform_api.Unavailable("status 503")
    fresh.store.answers += [refusal] * 999
    rate = links.Rate(_SLOW_LINK_BYTES_PER_S)
    async with anyio.create_task_group() as group:
        servers = []
        for peer in peers:
            await peer.read(5)
            server = peer_server.PeerServer("127.0.0.1", 0)
            servers.append(server)
            await server.start([peer.peers, peer.transfer])
            link = links.Link(int(server.address.rpartition(":")[2]), rate)
            await group.start(link.serve)
            name = peer.members.this().name
            fresh.members.addresses[name] = f"127.0.0.1:{link.port}"
        group.start_soon(fresh.config.run)
        group.start_soon(fresh.peers.run)
        with anyio.move_on_after(_CHANGE_S):
            while fresh.holder.current.generation < 5:
                await anyio.sleep(0.02)
        generation = fresh.holder.current.generation
        group.cancel_scope.cancel()
    for server in servers:
        await server.stop()
    assert generation == 5
