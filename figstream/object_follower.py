"""Follows one kind of objects in the platform's store.

The kind is listed once and then watched, so that a change is known a round
trip after the store has it. While the store does not answer, what was known
goes on; peers may bring a newer state meanwhile.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import random
from typing import Final

import attrs

from figstream import clock as clock_lib
from figstream import logs
from figstream import metrics as metrics_lib
from figstream import platform_api

# Longest wait of one watch, within the store's 30 s. A connection that goes
# silent is noticed sooner, by the probes of the kernel.
WATCH_S: Final = 15.0
# Pause after a change, so that changes that come together cost one call; an
# eighth of the bound of a change (2 s).
_SETTLE_S: Final = 0.25
# Pauses after a failed call: the first below a tenth of the bound of a
# change (2 s), the last so that an outage costs two calls a second at most.
_FIRST_PAUSE_S: Final = 0.1
_LAST_PAUSE_S: Final = 0.5
# Entries that lapsed during an outage are written again within two seconds
# of the store's return; the rest is the way of the write and of its event.
RETURN_GRACE_S: Final = 2.3
# The shortest outage in which an entry can lapse (three missed heartbeats).
_SHORTEST_LAPSE_S: Final = 1.5
# Removals remembered for peers; several times what a roll of all backend
# servers removes within the wait of a peer.
_MAX_REMOVALS: Final = 1_024
_NEVER: Final = float("-inf")

Items = Mapping[str, platform_api.StoredItem]
Listener = Callable[[Items], None]


@attrs.frozen
class StoredItems:
    """Objects of a kind as they travel between daemons."""

    items: tuple[platform_api.StoredItem, ...]


class ObjectFollower:
    """The objects of one kind as this daemon knows them."""

    def __init__(
        self,
        kind: str,
        feed: platform_api.ObjectFeed,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
    ) -> None:
        """Starts without knowing any object."""
        self._kind = kind
        self._feed = feed
        self._clock = clock
        self._metrics = metrics
        self._random = random.Random()
        self._listeners: list[Listener] = []
        self._items: dict[str, platform_api.StoredItem] = {}
        self._position = 0
        self._listed = False
        self._failures = 0
        self._lost_at = _NEVER
        self._regained_at = _NEVER
        self._outage_s = 0.0
        self._peer_settled = False
        self._removals: collections.deque[tuple[int, str]] = collections.deque()
        # The position from which on every removal is remembered.
        self._complete_from = 0

    @property
    def kind(self) -> str:
        """Returns the kind."""
        return self._kind

    @property
    def items(self) -> Items:
        """Returns the objects by name."""
        return self._items

    @property
    def position(self) -> int:
        """Returns the store's revision that the objects are as of."""
        return self._position

    @property
    def failing(self) -> bool:
        """Returns whether the store did not answer the last call."""
        return self._failures > 0 or not self._listed

    @property
    def settles_at(self) -> float:
        """Returns when entries that lapsed in the last outage are back."""
        if self._outage_s < _SHORTEST_LAPSE_S:
            return _NEVER
        return self._regained_at + RETURN_GRACE_S

    @property
    def settled(self) -> bool:
        """Returns whether an object that is missing is surely gone.

        It is when the store, or the peer that told of the objects, has
        answered all the while or for long enough since it last did not.
        """
        if self.failing:
            return self._peer_settled
        return self._clock.now() >= self.settles_at

    def subscribe(self, listener: Listener) -> None:
        """Calls the listener after each change."""
        self._listeners.append(listener)

    def changes_since(
        self, position: int
    ) -> platform_api.FeedChanges | platform_api.HistoryGone:
        """Returns what changed after a position that is known from the store.

        Args:
          position: the store's revision up to which the asker knows the kind.
        """
        if position < self._complete_from:
            return platform_api.HistoryGone()
        changed = (x for x in self._items.values() if x.version > position)
        removed = (name for at, name in self._removals if at > position)
        return platform_api.FeedChanges(
            tuple(changed), tuple(removed), self._position
        )

    def adopt(self, position: int, items: Items, *, settled: bool) -> bool:
        """Takes over a newer state that a peer has; returns whether it is.

        Args:
          position: the store's revision that the objects are as of.
          items: the objects by name.
          settled: whether the peer was settled; see `settled`.
        """
        if position <= self._position:
            return False
        self._jump(position)
        self._peer_settled = settled
        changed = dict(items) != self._items
        self._items = dict(items)
        if changed:
            self._tell("peer")
        return changed

    async def run(self) -> None:
        """Follows the kind until cancelled."""
        while True:
            if not await self._step():
                ceiling = min(
                    _LAST_PAUSE_S,
                    _FIRST_PAUSE_S * 2.0 ** min(self._failures, 8),
                )
                pause_s = ceiling * self._random.uniform(0.5, 1.0)
                await self._clock.sleep(pause_s)

    async def hand_over(self) -> None:
        """Has nothing to give up."""

    async def _step(self) -> bool:
        """Makes one call; returns whether the next may follow at once."""
        if not self._listed:
            found = await self._feed.snapshot(self._kind)
            return self._take_snapshot(found)
        # After a failure the answer must not wait for a change, since it
        # tells when the store was back.
        wait_s = 0.0 if self._failures else WATCH_S
        changes = await self._feed.changes(self._kind, self._position, wait_s)
        if isinstance(changes, platform_api.Unavailable):
            self._failed(changes.detail)
            return False
        if isinstance(changes, platform_api.HistoryGone):
            logs.info("feed_history_gone", kind=self._kind)
            self._listed = False
            return True
        self._answered()
        if self._take_changes(changes):
            await self._clock.sleep(_SETTLE_S)
        return True

    def _take_snapshot(
        self, found: platform_api.Snapshot | platform_api.Unavailable
    ) -> bool:
        if isinstance(found, platform_api.Unavailable):
            self._failed(found.detail)
            return False
        self._answered()
        self._listed = True
        if found.position < self._position:
            return True
        items = {item.name: item for item in found.items}
        changed = items != self._items
        self._jump(found.position)
        self._items = items
        if changed:
            self._tell("list")
        return True

    def _take_changes(self, changes: platform_api.FeedChanges) -> bool:
        """Takes changes over; returns whether there were any."""
        if changes.position <= self._position:
            return False
        self._position = changes.position
        items = dict(self._items)
        for item in changes.changed:
            held = items.get(item.name)
            if held is None or held.version < item.version:
                items[item.name] = item
        for name in changes.deleted:
            items.pop(name, None)
        self._remember(changes.deleted)
        if items != self._items:
            self._items = items
            self._tell("watch")
        return True

    def _jump(self, position: int) -> None:
        """Goes to a position; what was removed on the way is not known."""
        self._position = self._complete_from = position
        self._removals.clear()

    def _remember(self, removed: Iterable[str]) -> None:
        """Keeps the names removed up to the position, for peers that ask."""
        for name in removed:
            self._removals.append((self._position, name))
        while len(self._removals) > _MAX_REMOVALS:
            self._complete_from = self._removals.popleft()[0]

    def _tell(self, source: str) -> None:
        logs.info(
            "feed_changed",
            kind=self._kind,
            position=self._position,
            objects=len(self._items),
            source=source,
        )
        for listener in self._listeners:
            listener(self._items)

    def _failed(self, detail: str) -> None:
        self._failures += 1
        self._metrics.event("feed_call_failed")
        if self._failures == 1:
            self._lost_at = self._clock.now()
            logs.warning("feed_lost", kind=self._kind, detail=detail)

    def _answered(self) -> None:
        if not self._failures:
            return
        now = self._clock.now()
        self._outage_s = now - self._lost_at
        self._regained_at = now
        self._failures = 0
        self._peer_settled = False
        logs.info(
            "feed_regained",
            kind=self._kind,
            outage_s=round(self._outage_s, 3),
        )
