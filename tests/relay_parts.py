"""Daemons that follow the store through relays, for tests."""

from collections.abc import AsyncIterator
from collections.abc import Sequence
import contextlib

import grpc

from figstream import clock as clock_lib
from figstream import feed_relay
from figstream import membership_api
from figstream import metrics
from figstream import object_follower
from figstream import object_transfer
from figstream import peer_server
from figstream import platform_api
from tests import gateway_parts

KIND = "servers"


class Zone:
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


class Daemon:
    """A daemon that follows one kind, as relay or through relays.

    Attributes:
      store: scripted feed of the store.
      feed: what the follower reads from.
    """

    def __init__(
        self,
        name: str,
        order: Sequence[str] = "abcdefgh",
        change_s: float = 2.0,
    ) -> None:
        self.clock = clock_lib.SystemClock()
        self.members = Zone(name, order)
        self.store = gateway_parts.ScriptedFeed()
        unexported = metrics.make_unexported_metrics()
        transfer = object_transfer.ObjectTransfer()
        self.transfer = transfer
        self.feed = feed_relay.RelayedFeed(
            self.store, self.members, self.clock, unexported, change_s, transfer
        )
        self.follower = object_follower.ObjectFollower(
            KIND, self.feed, self.clock, unexported, change_s
        )
        self.relay = feed_relay.FeedRelay(self.feed, (self.follower,), transfer)

    async def apply_snapshot(self, position: int, *names: str) -> None:
        """Reads a list of objects from the store."""
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
    async def serving(
        self, *clients: "Daemon", port: int = 0
    ) -> AsyncIterator[None]:
        """Serves the relay within the block.

        Args:
          clients: daemons that reach the relay.
          port: port at which they reach it, 0 for its own.
        """
        server = peer_server.PeerServer("127.0.0.1", 0)
        await server.start([self.relay, self.transfer])
        name = self.members.this().name
        for client in clients:
            client.members.addresses[name] = (
                f"127.0.0.1:{port}" if port else server.address
            )
        try:
            yield
        finally:
            await server.stop()
