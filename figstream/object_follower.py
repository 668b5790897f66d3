"""Maintains a local copy of all objects of one kind in the platform's store.

The follower lists the kind once and then watches for changes, so that a change
arrives one round trip after the store has applied it. While the store does not
answer, the last known objects stay valid, and peers may supply a newer state.

A watch that the store will never answer looks like one without changes: the
connection stays open, and its peer answers the probes of the kernel. A watch
is therefore short, and one without an answer at its end counts as failed, so
that the objects are never older than the time within which a change must
become active. An answer that has begun may take as long as its parts keep
arriving: asked for again, it would begin anew on a link that is slow already.
After the store was restored from an older copy, an object may be missing until
its writer has written it again, as after an outage.

While the store refuses all calls, one follower of a daemon is enough to find
out that it answers again: the others follow its lead. Calls are paid, also
those that are refused, and a fleet makes them everywhere at once.
"""

from collections.abc import Callable
from collections.abc import Mapping
import math
import random
from typing import Final

import attrs

from figstream import answer_transfer
from figstream import clock as clock_lib
from figstream import logs
from figstream import metrics as metrics_lib
from figstream import platform_api
from figstream import removal_record
from figstream import store_era

# Parts of the time within which a change must become active. The store answers
# a watch without changes after the first part, and the answer must arrive
# within the second. The rest is for the call that follows a lost answer.
WATCH_FRACTION: Final = 0.6
_ANSWER_FRACTION: Final = 0.2
# The longest transfer in multiples of that time. Bytes that only trickle in
# are no progress.
_MAX_TRANSFER_FACTOR: Final = 4.0
# Changes that take more bytes than this many lists hold several versions of the
# same objects, of which only the newest counts.
_MAX_REPLAYED_LISTS: Final = 2
_FREE_REPLAY_BYTES: Final = 65_536
# Pause after a change, so that changes in quick succession cost one call; an
# eighth of the 2 s within which a change must become active.
_COALESCE_S: Final = 0.25
# Limits of the time between the starts of two calls after a failure. The first
# is below a tenth of the 2 s within which a change must become active; the last
# limits an outage to two calls per second.
_MIN_BACKOFF_S: Final = 0.1
_MAX_BACKOFF_S: Final = 0.5
# Interval of checks whether the follower that leads has got an answer; a small
# part of the time within which a change must become active.
_LEAD_CHECK_S: Final = 0.05
# Entries that expired during an outage are written again within two seconds of
# the store's recovery; the remainder covers the latency of the write and of
# its event.
RECOVERY_GRACE_S: Final = 2.3
# The shortest outage in which an entry can expire: three missed heartbeats.
_MIN_EXPIRY_OUTAGE_S: Final = 1.5
_NEVER: Final = float("-inf")

_Changes = (
    platform_api.FeedChanges
    | platform_api.HistoryGone
    | platform_api.Unavailable
)
Items = Mapping[str, platform_api.StoredItem]
Listener = Callable[[Items], None]
# Receives the age in seconds of the confirmation.
ConfirmListener = Callable[[float], None]


@attrs.frozen
class StoredItems:
    """Objects of one kind as sent between daemons."""

    items: tuple[platform_api.StoredItem, ...]


class ObjectFollower:
    """The objects of one kind, as known to this daemon."""

    def __init__(
        self,
        kind: str,
        feed: platform_api.ObjectFeed,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
        change_s: float,
        lead: "ObjectFollower | None" = None,
    ) -> None:
        """Initializes the follower without objects.

        Args:
          kind: kind of the objects.
          feed: source of lists and changes.
          clock: time source.
          metrics: instruments.
          change_s: seconds within which a change must become active.
          lead: follower of another kind that shows when the store answers
            again, None if this one finds out itself.
        """
        self._lead = lead
        self._kind = kind
        self._watch_s = WATCH_FRACTION * change_s
        self._answer_s = _ANSWER_FRACTION * change_s
        self._max_transfer_s = _MAX_TRANSFER_FACTOR * change_s
        self._feed = feed
        self._clock = clock
        self._metrics = metrics
        self._random = random.Random()
        self._listeners: list[Listener] = []
        self._items: dict[str, platform_api.StoredItem] = {}
        self._position = 0
        self._listed = False
        self._failures = 0
        # Whether a watch waits, and whether `call_again` has ended it.
        self._watching = False
        self._replaced = False
        self._list_bytes = 0
        self._transfer = answer_transfer.AnswerTransfer(clock)
        self._lost_at = _NEVER
        self._confirmed_at = _NEVER
        self._confirm_listeners: list[ConfirmListener] = []
        self._recovered_at = _NEVER
        self._outage_s = 0.0
        self._peer_settled = False
        self._removals = removal_record.RemovalRecord()

    @property
    def kind(self) -> str:
        """Returns the kind of the objects."""
        return self._kind

    @property
    def items(self) -> Items:
        """Returns the objects by name."""
        return self._items

    @property
    def position(self) -> int:
        """Returns the store revision to which the objects correspond."""
        return self._position

    @property
    def failing(self) -> bool:
        """Returns whether the last call failed or no list was received yet."""
        return bool(self.obstacle)

    @property
    def obstacle(self) -> str:
        """Returns why the objects may be outdated, "" if they are followed."""
        if self._failures:
            return f"its last {self._failures} calls failed"
        return "" if self._listed else "it has read no list yet"

    @property
    def unconfirmed_s(self) -> float:
        """Returns the age in seconds of the last proof that nothing is newer.

        An answer proves what the store had when the call was sent.
        """
        return self._clock.now() - self._confirmed_at

    @property
    def settles_at(self) -> float:
        """Returns when entries that expired in the last outage are restored."""
        if self._outage_s < _MIN_EXPIRY_OUTAGE_S:
            return _NEVER
        return self._recovered_at + RECOVERY_GRACE_S

    @property
    def settled(self) -> bool:
        """Returns whether a missing object has certainly been removed.

        This holds if the store has answered throughout or for long enough
        since its last outage. Before that, a missing object may have expired
        during the outage and not have been written again yet. While calls
        fail, the value is that of the peer that supplied the objects.
        """
        if self.failing:
            return self._peer_settled
        return self._clock.now() >= self.settles_at

    def subscribe(self, listener: Listener) -> None:
        """Registers a listener that is called after each change."""
        self._listeners.append(listener)

    def subscribe_confirmed(self, listener: ConfirmListener) -> None:
        """Registers a listener that is called after each answered call."""
        self._confirm_listeners.append(listener)

    def changes_since(
        self, position: int
    ) -> platform_api.FeedChanges | platform_api.HistoryGone:
        """Returns the changes after a position.

        Args:
          position: store revision up to which the peer knows the objects.
        """
        removed = self._removals.since(position)
        if removed is None:
            return platform_api.HistoryGone()
        changed = (x for x in self._items.values() if x.version > position)
        gone = (name for name in removed if name not in self._items)
        return platform_api.FeedChanges(
            tuple(changed), tuple(gone), self._position
        )

    @property
    def confirmed_at(self) -> float:
        """Returns the clock time of that proof."""
        return self._confirmed_at

    def confirm_position(self, position: int, at: float) -> None:
        """Takes over a peer's proof that nothing is newer.

        Args:
          position: store revision that the peer has.
          at: clock time of the proof.
        """
        if 0 < position <= self._position and at > self._confirmed_at:
            self._confirm(at)

    def adopt(
        self,
        position: int,
        items: Items,
        *,
        settled: bool,
        proven_at: float = _NEVER,
    ) -> bool:
        """Adopts a newer state from a peer; returns whether objects changed.

        Args:
          position: store revision to which the objects correspond.
          items: the objects by name.
          settled: value of the peer's `settled` property.
          proven_at: clock time at which nothing newer was known to exist.
        """
        if position <= self._position:
            return False
        self._note_era(position)
        changed = self._replace_all(position, dict(items))
        self._peer_settled = settled
        if changed:
            self._notify_listeners("peer")
        if proven_at > self._confirmed_at:
            self._confirm(proven_at)
        return changed

    def call_again(self) -> None:
        """Replaces a watch that may never be answered with a new call.

        The follower counts as failing until the call is answered.
        """
        if self._watching:
            self._replaced = True
            self._transfer.cancel()

    async def read_newer(self, store: platform_api.ObjectFeed) -> bool:
        """Reads changes beside the watch; returns whether all are known.

        Args:
          store: feed of the store itself.
        """
        sent_at = self._clock.now()
        if not self._listed:
            return False
        changes = await store.changes(self._kind, self._position, 0.0)
        if not isinstance(changes, platform_api.FeedChanges):
            logs.info(
                "feed_not_read",
                kind=self._kind,
                outcome=type(changes).__name__,
            )
            return False
        self._apply_changes(changes)
        self._confirm(sent_at + changes.proven_s)
        return True

    async def run(self) -> None:
        """Lists and watches the objects until cancelled."""
        while True:
            called_at = self._clock.now()
            if not await self._poll_once():
                await self._pause(called_at)

    async def hand_over(self) -> None:
        """Does nothing, since this role has nothing to hand over."""

    async def _pause(self, called_at: float) -> None:
        """Waits after a failed call until the next one is due."""
        if self._lead is not None and self._lead.failing:
            # The lead may fail because of its own kind. Without it the next
            # call comes no later than that after a watch without changes.
            ends_at = called_at + self._watch_s
            while self._lead.failing and self._clock.now() < ends_at:
                await self._clock.sleep(_LEAD_CHECK_S)
            return
        # A watch without an answer has already taken longer than the pause;
        # the next call must still be in time.
        pause_s = self._backoff_s() - (self._clock.now() - called_at)
        await self._clock.sleep(max(0.0, pause_s))

    def _backoff_s(self) -> float:
        """Returns seconds from the start of a failed call to the next call."""
        ceiling = min(
            _MAX_BACKOFF_S, _MIN_BACKOFF_S * 2.0 ** min(self._failures, 8)
        )
        return ceiling * self._random.uniform(0.5, 1.0)

    async def _poll_once(self) -> bool:
        """Makes one call; returns whether the next call may follow at once."""
        sent_at = self._clock.now()
        if not self._listed:
            self._transfer = answer_transfer.AnswerTransfer(self._clock)
            result = await self._feed.snapshot(
                self._kind, on_part=self._transfer.add_part
            )
            self._transfer.log_if_slow(self._kind)
            return self._apply_snapshot(result, sent_at)
        self._transfer = answer_transfer.AnswerTransfer(
            self._clock,
            self._answer_s,
            self._max_transfer_s,
            _MAX_REPLAYED_LISTS * self._list_bytes + _FREE_REPLAY_BYTES,
        )
        changes = await self._call_for_changes()
        self._transfer.log_if_slow(self._kind)
        if isinstance(changes, platform_api.Unavailable):
            self._record_failure(changes.detail, sent_at)
            return False
        if isinstance(changes, platform_api.HistoryGone):
            logs.info("feed_history_gone", kind=self._kind)
            self._listed = False
            return True
        self._record_success()
        advanced = self._apply_changes(changes)
        self._confirm(sent_at + changes.proven_s)
        if advanced:
            await self._clock.sleep(_COALESCE_S)
        return True

    async def _call_for_changes(self) -> _Changes:
        """Watches; after a failure, calls without waiting for a change.

        The answer to a call that does not wait marks the time at which the
        store recovered.
        """
        self._watching = not self._failures
        self._replaced = False
        wait_s = self._watch_s if self._watching else 0.0
        limit_s = wait_s + self._answer_s if self._watching else math.inf
        try:
            with self._transfer.limited(limit_s):
                return await self._feed.changes(
                    self._kind, self._position, wait_s, self._transfer.add_part
                )
        finally:
            self._watching = False
        if self._transfer.too_long:
            logs.info(
                "feed_replay_too_long",
                kind=self._kind,
                received_bytes=self._transfer.size_bytes,
                list_bytes=self._list_bytes,
            )
            return platform_api.HistoryGone()
        if self._replaced:
            return platform_api.Unavailable("the watch was given up on request")
        self._metrics.event("feed_watch_unanswered")
        return platform_api.Unavailable("the watch was not answered")

    def _apply_snapshot(
        self,
        result: platform_api.Snapshot | platform_api.Unavailable,
        sent_at: float,
    ) -> bool:
        if isinstance(result, platform_api.Unavailable):
            self._record_failure(result.detail, sent_at)
            return False
        self._record_success()
        self._listed = True
        self._list_bytes = self._transfer.size_bytes
        if result.position >= self._position:
            self._replace_items(result)
        self._confirm(sent_at)
        return True

    def _replace_items(self, result: platform_api.Snapshot) -> None:
        items = {item.name: item for item in result.items}
        self._note_era(result.position)
        if self._replace_all(result.position, items):
            self._notify_listeners("list")

    def _replace_all(
        self, position: int, items: dict[str, platform_api.StoredItem]
    ) -> bool:
        """Replaces the objects after a gap; returns whether they differ."""
        era = store_era.era_of(position)
        if not self._position or era != store_era.era_of(self._position):
            self._removals.reset(position)
        elif position > self._position:
            self._removals.add_gap(self._position, position)
            self._removals.add(self._items.keys() - items.keys(), position)
        changed = items != self._items
        self._position = position
        self._items = items
        return changed

    def _apply_changes(self, changes: platform_api.FeedChanges) -> bool:
        """Applies changes; returns whether the position advanced."""
        if changes.position <= self._position:
            return False
        self._note_era(changes.position)
        self._position = changes.position
        items = dict(self._items)
        for item in changes.changed:
            known = items.get(item.name)
            if known is None or known.version < item.version:
                items[item.name] = item
        # Older builds also name as removed what was written again.
        removed = set(changes.deleted) - {x.name for x in changes.changed}
        for name in removed:
            items.pop(name, None)
        self._removals.add(removed, self._position)
        if items != self._items:
            self._items = items
            self._notify_listeners("watch")
        return True

    def _note_era(self, position: int) -> None:
        """Starts the grace time if the store was restored before a position."""
        restored = store_era.era_of(position) > store_era.era_of(self._position)
        if self._position and restored:
            self._outage_s = max(self._outage_s, _MIN_EXPIRY_OUTAGE_S)
            self._recovered_at = self._clock.now()

    def _notify_listeners(self, source: str) -> None:
        logs.info(
            "feed_changed",
            kind=self._kind,
            position=self._position,
            objects=len(self._items),
            source=source,
        )
        for listener in self._listeners:
            listener(self._items)

    def _confirm(self, at: float) -> None:
        """Records that the objects were the newest ones at a time.

        The listeners run after those of changes.
        """
        self._confirmed_at = max(self._confirmed_at, at)
        for listener in self._confirm_listeners:
            listener(self.unconfirmed_s)

    def _record_failure(self, detail: str, sent_at: float) -> None:
        self._failures += 1
        self._metrics.event("feed_call_failed")
        if self._failures == 1:
            now = self._clock.now()
            self._lost_at = now
            logs.warning(
                "feed_lost",
                kind=self._kind,
                detail=detail,
                waited_s=round(now - sent_at, 3),
                received_bytes=self._transfer.size_bytes,
                received_s=round(self._transfer.lasted_s, 3),
                unconfirmed_s=round(self.unconfirmed_s, 3),
            )

    def _record_success(self) -> None:
        if not self._failures:
            return
        now = self._clock.now()
        self._outage_s = now - self._lost_at
        self._recovered_at = now
        self._failures = 0
        self._peer_settled = False
        logs.info(
            "feed_regained",
            kind=self._kind,
            outage_s=round(self._outage_s, 3),
        )
