"""Distributes changes of the store within a zone through relay daemons.

Calls to the store cost money and share one rate limit across all daemons, so
the number of calls must not grow with the fleet. In a zone with many daemons,
rendezvous hashing selects a few relays. Only the relays watch the store; the
other daemons send long polls to the relays in rotation. A relay that is frozen
or partitioned from the store therefore delays a change by one poll at most.
While no relay answers, a daemon watches the store directly.
"""

from collections.abc import Sequence
import functools
from typing import Final

import anyio
import grpc

from figstream import bounded_records
from figstream import clock as clock_lib
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

# Three per zone, since two may be frozen, partitioned or restarting at once.
RELAYS_PER_ZONE: Final = 3
# In a zone with at most this many daemons, each daemon watches the store.
_MAX_DIRECT_WATCHERS: Final = 5
# Longest poll of one relay, as a fraction of the time within which a change
# must become active. Two relays that withhold a change delay it by 0.7 of it.
_POLL_FRACTION: Final = 0.35
# Added to the poll time for the call's timeout; a call to a live daemon takes
# milliseconds, a call to a busy daemon tens of milliseconds.
_CALL_MARGIN_S: Final = 0.4
# Skip time of a relay that gave no usable answer.
_RELAY_BACKOFF_S: Final = 5.0
# Pollers ask from a few positions at a time.
_MAX_ANSWERS: Final = 16
_ROLE: Final = "feed"
_MS_PER_S: Final = 1000
_NEVER: Final = float("-inf")

_Changes = (
    platform_api.FeedChanges
    | platform_api.HistoryGone
    | platform_api.Unavailable
)


class RelayedFeed:
    """Reads changes through relays; implements `platform_api.ObjectFeed`."""

    def __init__(
        self,
        store: platform_api.ObjectFeed,
        members: membership_api.Members,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
        change_s: float,
        transfer: object_transfer.ObjectTransfer,
    ) -> None:
        """Initializes the feed with no relay marked as unusable.

        Args:
          store: feed of the platform's store.
          members: live daemons.
          clock: time source.
          metrics: instruments.
          change_s: seconds within which a change must become active.
          transfer: receives what relays send.
        """
        self._transfer = transfer
        self._poll_timeout_s = _POLL_FRACTION * change_s
        self._store = store
        self._members = members
        self._clock = clock
        self._metrics = metrics
        self._skipped_until: dict[str, float] = {}
        self._rotation = 0

    @property
    def relays(self) -> Sequence[membership_api.Member]:
        """Returns the relays of this daemon's zone; empty in a small zone."""
        ranked = self._members.ranked(_ROLE, self._members.this().zone)
        return (
            ranked[:RELAYS_PER_ZONE]
            if len(ranked) > _MAX_DIRECT_WATCHERS
            else ()
        )

    @property
    def clock(self) -> clock_lib.Clock:
        """Returns the time source."""
        return self._clock

    @property
    def is_relay(self) -> bool:
        """Returns whether this daemon is a relay."""
        this = self._members.this().name
        return any(item.name == this for item in self.relays)

    async def snapshot(
        self,
        kind: str,
        *,
        stale: bool = False,
        on_part: platform_api.PartListener = platform_api.ignore_part,
    ) -> platform_api.Snapshot | platform_api.Unavailable:
        """Returns all objects of a kind, read directly from the store."""
        return await self._store.snapshot(kind, stale=stale, on_part=on_part)

    async def changes(
        self,
        kind: str,
        position: int,
        timeout_s: float,
        on_part: platform_api.PartListener = platform_api.ignore_part,
    ) -> _Changes:
        """Waits for changes from a relay, or from the store without a relay.

        A call that does not wait goes to a relay too. In an outage that only
        some daemons have, relays that reach the store answer the others, whose
        calls would be refused until its end.
        """
        relay = self._next_relay()
        if relay is None:
            return await self._store.changes(kind, position, timeout_s, on_part)
        wait_s = min(timeout_s, self._poll_timeout_s)
        result = await self._poll_relay(relay, kind, position, wait_s, on_part)
        if result is not None:
            return result
        self._skipped_until[relay.name] = self._clock.now() + _RELAY_BACKOFF_S
        return await self._store.changes(kind, position, 0.0, on_part)

    def _next_relay(self) -> membership_api.Member | None:
        """Returns the next usable relay; None if this daemon is a relay."""
        if self.is_relay:
            return None
        now = self._clock.now()
        usable = [
            item
            for item in self.relays
            if self._skipped_until.get(item.name, _NEVER) <= now
        ]
        if not usable:
            return None
        self._rotation += 1
        return usable[self._rotation % len(usable)]

    async def _poll_relay(
        self,
        relay: membership_api.Member,
        kind: str,
        position: int,
        wait_s: float,
        on_part: platform_api.PartListener,
    ) -> platform_api.FeedChanges | platform_api.HistoryGone | None:
        """Returns the answer of a relay, or None if there was no usable one."""
        channel = self._members.channel(relay)
        stub = feed_pb2_grpc.FeedRelayStub(channel)
        request = feed_pb2.FollowRequest(
            kind=kind,
            position=position,
            wait_ms=int(wait_s * _MS_PER_S),
            reads_content=True,
            bases=self._transfer.versions(kind),
        )
        sent_at = self._clock.now()
        try:
            answer: feed_pb2.FollowAnswer = await stub.Follow(
                request, timeout=wait_s + _CALL_MARGIN_S
            )
            return await self._decode_answer(kind, channel, answer, on_part)
        except grpc.aio.AioRpcError as error:
            reason = error.code().name
        except errors.ConfigurationError as error:
            reason = str(error)
        self._metrics.event("feed_relay_failed")
        logs.info(
            "feed_relay_failed",
            relay=relay.name,
            kind=kind,
            reason=reason,
            waited_s=round(self._clock.now() - sent_at, 3),
        )
        return None

    async def _decode_answer(
        self,
        kind: str,
        channel: grpc.aio.Channel,
        answer: feed_pb2.FollowAnswer,
        on_part: platform_api.PartListener,
    ) -> platform_api.FeedChanges | platform_api.HistoryGone:
        if answer.state == feed_pb2.FollowAnswer.HISTORY_GONE:
            return platform_api.HistoryGone()
        if answer.state != feed_pb2.FollowAnswer.CHANGES:
            raise errors.ConfigurationError(
                f"the relay does not watch the store: {answer.detail}"
            )
        changed: tuple[platform_api.StoredItem, ...] = ()
        if answer.HasField("content"):
            changed = await self._transfer.receive(
                kind, channel, answer.content, on_part
            )
        elif answer.changed:
            changed = serialization.from_json(
                answer.changed, object_follower.StoredItems
            ).items
        return platform_api.FeedChanges(
            changed,
            tuple(answer.deleted),
            answer.position,
            answer.proof_ms / _MS_PER_S,
        )


class _Servicer(feed_pb2_grpc.FeedRelayServicer):
    def __init__(self, relay: "FeedRelay") -> None:
        self._relay = relay

    async def Follow(  # noqa: N802
        self, request: feed_pb2.FollowRequest, context: object
    ) -> feed_pb2.FollowAnswer:
        return await self._relay.answer(request)


class FeedRelay:
    """Serves followed objects to other daemons; implements `RpcRole`."""

    def __init__(
        self,
        feed: RelayedFeed,
        followers: tuple[object_follower.ObjectFollower, ...],
        transfer: object_transfer.ObjectTransfer,
    ) -> None:
        """Initializes the relay.

        Args:
          feed: tells whether this daemon is a relay.
          followers: followers of the kinds that are served.
          transfer: encodes the objects.
        """
        self._feed = feed
        self._clock = feed.clock
        self._transfer = transfer
        self._followers = {item.kind: item for item in followers}
        self._change_events = {item.kind: anyio.Event() for item in followers}
        # Answers at the present position of each kind, by what was asked. Most
        # pollers ask the same, and encoding a large object takes long.
        self._answers: dict[str, dict[bytes, feed_pb2.FollowAnswer]] = {}
        for item in followers:
            item.subscribe(functools.partial(self._apply_items, item.kind))

    def register(self, server: grpc.aio.Server) -> None:
        """Registers the gRPC service on the peer server."""
        feed_pb2_grpc.add_FeedRelayServicer_to_server(_Servicer(self), server)

    async def run(self) -> None:
        """Waits until cancelled; the role only answers calls."""
        await anyio.sleep_forever()

    async def hand_over(self) -> None:
        """Does nothing, since this role has nothing to hand over."""

    async def answer(
        self, request: feed_pb2.FollowRequest
    ) -> feed_pb2.FollowAnswer:
        """Returns the changes after the requested position.

        Waits up to the requested time if there is none yet. The answer has no
        state if this daemon does not watch the store.
        """
        follower = self._followers.get(request.kind)
        if follower is None:
            return feed_pb2.FollowAnswer(detail="the kind is not followed")
        obstacle = self._obstacle(follower)
        if obstacle:
            return feed_pb2.FollowAnswer(detail=obstacle)
        arrived_at = self._clock.now()
        if follower.position <= request.position:
            with anyio.move_on_after(request.wait_ms / _MS_PER_S):
                await self._change_events[request.kind].wait()
            obstacle = self._obstacle(follower)
            if obstacle:
                return feed_pb2.FollowAnswer(detail=obstacle)
        if follower.position <= request.position:
            answer = feed_pb2.FollowAnswer(
                state=feed_pb2.FollowAnswer.CHANGES, position=request.position
            )
        else:
            answer = self._encode_changes(follower, request)
        answer.proof_ms = object_transfer.proof_ms(
            follower.confirmed_at, arrived_at
        )
        return answer

    def _encode_changes(
        self,
        follower: object_follower.ObjectFollower,
        request: feed_pb2.FollowRequest,
    ) -> feed_pb2.FollowAnswer:
        asked = feed_pb2.FollowRequest(
            position=request.position,
            reads_content=request.reads_content,
            bases=request.bases,
        ).SerializeToString()
        answers = self._answers.setdefault(follower.kind, {})
        known = answers.get(asked)
        if known and known.position == follower.position:
            # Each caller gets a proof of its own.
            copied = feed_pb2.FollowAnswer()
            copied.CopyFrom(known)
            return copied
        answer = self._encode(
            follower.kind, follower.changes_since(request.position), request
        )
        bounded_records.put(answers, asked, answer, _MAX_ANSWERS)
        return answer

    def _encode(
        self,
        kind: str,
        result: platform_api.FeedChanges | platform_api.HistoryGone,
        request: feed_pb2.FollowRequest,
    ) -> feed_pb2.FollowAnswer:
        if isinstance(result, platform_api.HistoryGone):
            gone = feed_pb2.FollowAnswer.HISTORY_GONE
            return feed_pb2.FollowAnswer(state=gone)
        answer = feed_pb2.FollowAnswer(
            state=feed_pb2.FollowAnswer.CHANGES,
            position=result.position,
            deleted=result.deleted,
        )
        if request.reads_content:
            content = self._transfer.offer(kind, result.changed, request.bases)
            answer.content.CopyFrom(content)
        else:
            answer.changed = serialization.to_json(
                object_follower.StoredItems(result.changed)
            )
        return answer

    def _obstacle(self, follower: object_follower.ObjectFollower) -> str:
        """Returns why the objects of a kind can't be served, "" if they can."""
        if not self._feed.is_relay:
            return "it is not a relay of its zone"
        return follower.obstacle

    def _apply_items(self, kind: str, items: object_follower.Items) -> None:
        """Records the objects, and answers those who wait for a change."""
        self._transfer.note(kind, items)
        self._change_events[kind].set()
        self._change_events[kind] = anyio.Event()


def make_relayed_feed(
    context: daemon_context.DaemonContext,
    store: platform_api.ObjectFeed,
    members: membership_api.Members,
    change_s: float,
    transfer: object_transfer.ObjectTransfer,
) -> RelayedFeed:
    """Creates the relayed feed of a daemon on top of the platform's store."""
    return RelayedFeed(
        store, members, context.clock, context.metrics, change_s, transfer
    )
