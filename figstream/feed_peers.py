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
from figstream import object_transfer
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
_MS_PER_S: Final = 1000
# Stands for the kind of the active configuration, which may have been followed
# before a restore.
_ACTIVE_KIND: Final = "active-configuration"


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
        transfer: object_transfer.ObjectTransfer,
        plans: object_follower.ObjectFollower | None = None,
    ) -> None:
        """Initializes the role for the object kinds of the given followers.

        Args:
          followers: followers of the objects to exchange.
          members: the live daemons.
          configuration: the operator's configuration.
          clock: time source.
          metrics: instruments.
          transfer: encodes objects and receives what peers send.
          plans: the one of `followers` whose version members tell, None if
            there is none.
        """
        self._followers = {item.kind: item for item in followers}
        self._members = members
        self._configuration = configuration
        self._clock = clock
        self._metrics = metrics
        self._transfer = transfer
        # One peer's objects at a time, since another's are mostly the same.
        self._adopting = anyio.Lock()
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
        arrived_at = self._clock.now()
        newer = []
        proofs = []
        for known in request.known:
            follower = self._followers.get(known.kind)
            if follower is None:
                continue
            proof_ms = object_transfer.proof_ms(
                follower.confirmed_at, arrived_at
            )
            if follower.position == known.position:
                proofs.append(
                    feed_pb2.KindProof(
                        kind=known.kind,
                        position=follower.position,
                        proof_ms=proof_ms,
                    )
                )
            if follower.position > known.position:
                state = feed_pb2.KindState(
                    kind=known.kind,
                    position=follower.position,
                    settled=follower.settled,
                    proof_ms=proof_ms,
                )
                items = tuple(follower.items.values())
                if request.reads_content:
                    content = self._transfer.offer(
                        known.kind, items, known.bases
                    )
                    state.content.CopyFrom(content)
                else:
                    state.items = _to_json(items)
                newer.append(state)
        answer = feed_pb2.PullAnswer(
            newer=newer,
            proofs=proofs,
            configuration_proof_ms=object_transfer.proof_ms(
                self._configuration.confirmed_at, arrived_at
            ),
        )
        self._add_configuration(request, answer)
        return answer

    def _add_configuration(
        self, request: feed_pb2.PullRequest, answer: feed_pb2.PullAnswer
    ) -> None:
        """Adds the active configuration if the caller has an older one.

        The followed objects hold it already, unless the store was restored.
        """
        item = self._configuration.active_item
        if item is None or self._configuration.generation <= request.generation:
            return
        if not request.reads_content:
            answer.configuration = _to_json((item,))
            return
        sent = {state.kind for state in answer.newer}
        followers = (self._followers[kind] for kind in sent)
        if not any(found.items.get(item.name) == item for found in followers):
            content = self._transfer.offer(_ACTIVE_KIND, (item,), ())
            answer.configuration_content.CopyFrom(content)

    def _may_be_behind(self) -> bool:
        if any(item.failing for item in self._followers.values()):
            return True
        return any(self._is_ahead(item) for item in self._members.live())

    def _is_ahead(self, member: membership_api.Member) -> bool:
        if self._plans and member.plan_version > self._plans.position:
            return True
        return member.generation > self._configuration.generation

    async def _pull(self, member: membership_api.Member) -> None:
        channel = self._members.channel(member)
        stub = feed_pb2_grpc.FeedPeersStub(channel)
        request = feed_pb2.PullRequest(
            known=[
                feed_pb2.KindPosition(
                    kind=item.kind,
                    position=item.position,
                    bases=self._transfer.versions(item.kind),
                )
                for item in self._followers.values()
            ],
            generation=self._configuration.generation,
            reads_content=True,
        )
        sent_at = self._clock.now()
        try:
            answer: feed_pb2.PullAnswer = await stub.Pull(
                request, timeout=_CALL_TIMEOUT_S
            )
            async with self._adopting:
                await self._adopt_all(member.name, channel, answer, sent_at)
        except grpc.aio.AioRpcError as error:
            self._metrics.event("feed_peer_failed")
            logs.info(
                "feed_peer_failed",
                peer=member.name,
                code=error.code().name,
                waited_s=round(self._clock.now() - sent_at, 3),
                generation=request.generation,
            )

    async def _adopt_all(
        self,
        peer: str,
        channel: grpc.aio.Channel,
        answer: feed_pb2.PullAnswer,
        sent_at: float,
    ) -> None:
        for state in answer.newer:
            await self._adopt(peer, channel, state, sent_at)
        for proof in answer.proofs:
            follower = self._followers.get(proof.kind)
            if follower:
                follower.confirm_position(
                    proof.position, sent_at + proof.proof_ms / _MS_PER_S
                )
        if not answer.configuration and not answer.HasField(
            "configuration_content"
        ):
            return
        items = await self._receive(
            peer,
            channel,
            _ACTIVE_KIND,
            answer.configuration,
            answer.configuration_content,
        )
        for item in items or ():
            logs.info("configuration_taken_from_peer", peer=peer)
            self._configuration.apply(
                item, sent_at + answer.configuration_proof_ms / _MS_PER_S
            )

    async def _adopt(
        self,
        peer: str,
        channel: grpc.aio.Channel,
        state: feed_pb2.KindState,
        sent_at: float,
    ) -> None:
        follower = self._followers.get(state.kind)
        if follower is None or state.position <= follower.position:
            return
        found = await self._receive(
            peer, channel, state.kind, state.items, state.content
        )
        if found is None:
            return
        items = {item.name: item for item in found}
        proven_at = sent_at + state.proof_ms / _MS_PER_S
        if follower.adopt(
            state.position, items, settled=state.settled, proven_at=proven_at
        ):
            self._metrics.event("feed_taken_from_peer")
            logs.info(
                "feed_taken_from_peer",
                peer=peer,
                kind=state.kind,
                position=state.position,
            )

    async def _receive(
        self,
        peer: str,
        channel: grpc.aio.Channel,
        kind: str,
        json: bytes,
        content: feed_pb2.Content,
    ) -> tuple[platform_api.StoredItem, ...] | None:
        """Returns the objects that a peer sends, None if they are unreadable.

        Args:
          peer: name of the peer.
          channel: channel to the peer.
          kind: kind of the objects.
          json: the objects as peers of an older build send them.
          content: the objects as others send them.
        """
        try:
            if json:
                return serialization.from_json(
                    json, object_follower.StoredItems
                ).items
            return await self._transfer.receive(kind, channel, content)
        except (errors.ConfigurationError, protobuf_message.Error) as error:
            logs.warning("feed_peer_unreadable", peer=peer, detail=str(error))
            return None


def _to_json(items: tuple[platform_api.StoredItem, ...]) -> bytes:
    return serialization.to_json(object_follower.StoredItems(items))


def make_feed_peers(
    context: daemon_context.DaemonContext,
    followers: tuple[object_follower.ObjectFollower, ...],
    configuration: configuration_feed.ConfigurationFeed,
    members: membership_api.Members,
    plans: object_follower.ObjectFollower,
    transfer: object_transfer.ObjectTransfer,
) -> FeedPeers:
    """Creates the `FeedPeers` role of a daemon."""
    return FeedPeers(
        followers,
        members,
        configuration,
        context.clock,
        context.metrics,
        transfer,
        plans,
    )
