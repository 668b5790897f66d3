"""Pulls stored objects from peer daemons when the store does not answer.

While this daemon's calls to the platform's store fail, or while a peer has a
newer active configuration or a newer plan of software versions, the daemon
pulls the objects from two randomly chosen peers. The same role answers the pull
requests of other daemons. After a restore of the store from an older copy, a
daemon that starts learns the newest configuration from peers although the store
holds an older one.
"""

import random
from typing import Final

import anyio
from google.protobuf import message as protobuf_message
import grpc

from figstream import clock as clock_lib
from figstream import configuration_feed
from figstream import daemon_context
from figstream import errors
from figstream import logs
from figstream import membership_api
from figstream import metrics as metrics_lib
from figstream import object_follower
from figstream import platform_api
from figstream import serialization
from figstream.rpc import feed_pb2
from figstream.rpc import feed_pb2_grpc

# A quarter of the 2 s within which a change must become active.
_PULL_INTERVAL_S: Final = 0.5
# A call to a live peer takes milliseconds.
_CALL_TIMEOUT_S: Final = 0.5
# Two peers, since one of them may be affected by the same outage.
_PEERS_PER_PULL: Final = 2


class _Servicer(feed_pb2_grpc.FeedPeersServicer):
    def __init__(self, peers: "FeedPeers") -> None:
        self._peers = peers

    async def Pull(  # noqa: N802
        self, request: feed_pb2.PullRequest, context: object
    ) -> feed_pb2.PullAnswer:
        return self._peers.answer(request)


class FeedPeers:
    """Exchanges stored objects with peers; a `daemon_context.RpcRole`."""

    def __init__(
        self,
        followers: tuple[object_follower.ObjectFollower, ...],
        members: membership_api.Members,
        configuration: configuration_feed.ConfigurationFeed,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
        plans: object_follower.ObjectFollower | None = None,
    ) -> None:
        """Initializes the role for the object kinds of the given followers.

        Args:
          followers: followers of the objects to exchange.
          members: the live daemons.
          configuration: the operator's configuration.
          clock: time source.
          metrics: instruments.
          plans: the one of `followers` whose version members tell, None if
            there is none.
        """
        self._followers = {item.kind: item for item in followers}
        self._members = members
        self._configuration = configuration
        self._clock = clock
        self._metrics = metrics
        self._plans = plans
        self._random = random.Random()

    def register(self, server: grpc.aio.Server) -> None:
        """Registers the gRPC service on the peer server."""
        feed_pb2_grpc.add_FeedPeersServicer_to_server(_Servicer(self), server)

    async def run(self) -> None:
        """Pulls from peers while this daemon may be behind, until cancelled."""
        while True:
            await self._clock.sleep(
                _PULL_INTERVAL_S * self._random.uniform(0.5, 1.0)
            )
            if self._may_be_behind():
                await self.pull()

    async def hand_over(self) -> None:
        """Does nothing, since this role has nothing to hand over."""

    async def pull(self) -> None:
        """Pulls from a few peers and adopts states that are newer."""
        this = self._members.this().name
        others = [item for item in self._members.live() if item.name != this]
        ahead = [item for item in others if self._is_ahead(item)]
        count = min(_PEERS_PER_PULL, len(others))
        chosen = self._random.sample(others, count)
        if ahead:
            chosen[0] = self._random.choice(ahead)
        async with anyio.create_task_group() as group:
            for member in chosen:
                group.start_soon(self._pull, member)

    def answer(self, request: feed_pb2.PullRequest) -> feed_pb2.PullAnswer:
        """Returns the kinds for which this daemon has a newer state."""
        newer = []
        for known in request.known:
            follower = self._followers.get(known.kind)
            if follower and follower.position > known.position:
                items = object_follower.StoredItems(
                    tuple(follower.items.values())
                )
                newer.append(
                    feed_pb2.KindState(
                        kind=known.kind,
                        position=follower.position,
                        items=serialization.to_json(items),
                        settled=follower.settled,
                    )
                )
        return feed_pb2.PullAnswer(
            newer=newer, configuration=self._newer_configuration(request)
        )

    def _newer_configuration(self, request: feed_pb2.PullRequest) -> bytes:
        """Returns the active configuration if the caller's is older."""
        item = self._configuration.active_item
        if item is None or self._configuration.generation <= request.generation:
            return b""
        return serialization.to_json(object_follower.StoredItems((item,)))

    def _may_be_behind(self) -> bool:
        if any(item.failing for item in self._followers.values()):
            return True
        return any(self._is_ahead(item) for item in self._members.live())

    def _is_ahead(self, member: membership_api.Member) -> bool:
        if self._plans and member.plan_version > self._plans.position:
            return True
        return member.generation > self._configuration.generation

    async def _pull(self, member: membership_api.Member) -> None:
        stub = feed_pb2_grpc.FeedPeersStub(self._members.channel(member))
        request = feed_pb2.PullRequest(
            known=[
                feed_pb2.KindPosition(kind=item.kind, position=item.position)
                for item in self._followers.values()
            ],
            generation=self._configuration.generation,
        )
        sent_at = self._clock.now()
        try:
            answer: feed_pb2.PullAnswer = await stub.Pull(
                request, timeout=_CALL_TIMEOUT_S
            )
        except grpc.aio.AioRpcError as error:
            self._metrics.event("feed_peer_failed")
            logs.info(
                "feed_peer_failed",
                peer=member.name,
                code=error.code().name,
                waited_s=round(self._clock.now() - sent_at, 3),
                generation=request.generation,
            )
            return
        for state in answer.newer:
            self._adopt(member.name, state)
        if answer.configuration:
            self._apply_configuration(member.name, answer.configuration)

    def _apply_configuration(self, peer: str, encoded: bytes) -> None:
        for item in self._decode(peer, encoded) or ():
            logs.info("configuration_taken_from_peer", peer=peer)
            self._configuration.apply(item)

    def _adopt(self, peer: str, state: feed_pb2.KindState) -> None:
        follower = self._followers.get(state.kind)
        if follower is None:
            return
        decoded = self._decode(peer, state.items)
        if decoded is None:
            return
        items = {item.name: item for item in decoded}
        if follower.adopt(state.position, items, settled=state.settled):
            self._metrics.event("feed_taken_from_peer")
            logs.info(
                "feed_taken_from_peer",
                peer=peer,
                kind=state.kind,
                position=state.position,
            )

    def _decode(
        self, peer: str, encoded: bytes
    ) -> tuple[platform_api.StoredItem, ...] | None:
        try:
            return serialization.from_json(
                encoded, object_follower.StoredItems
            ).items
        except (errors.ConfigurationError, protobuf_message.Error) as error:
            logs.warning("feed_peer_unreadable", peer=peer, detail=str(error))
            return None


def make_feed_peers(
    context: daemon_context.DaemonContext,
    followers: tuple[object_follower.ObjectFollower, ...],
    configuration: configuration_feed.ConfigurationFeed,
    members: membership_api.Members,
    plans: object_follower.ObjectFollower,
) -> FeedPeers:
    """Creates the `FeedPeers` role of a daemon."""
    return FeedPeers(
        followers,
        members,
        configuration,
        context.clock,
        context.metrics,
        plans,
    )
