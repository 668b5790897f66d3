"""Publishes small notices to all daemons by gossip with the heartbeats.

A daemon forwards each new notice to its neighbours; origin and sequence
identify duplicates. Queues are limited by count and notices by size, so
notices may be lost under high load. Information that must not be lost goes
through the platform instead.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import itertools
from typing import Final

import attrs

from figstream import clock as clock_lib
from figstream import metrics as metrics_lib

# A heartbeat carries up to 32 payloads.
MAX_PAYLOAD_BYTES: Final = 1024
# Notices that must last longer are published again.
MAX_TTL_S: Final = 120.0
# Recent notices stored for daemons that join.
MAX_RECENT_NOTICES: Final = 256
# Ids of received notices, stored so that each notice is forwarded once.
MAX_SEEN_IDS: Final = 8192
# Rate limit of the notices published by one daemon.
PUBLISHED_PER_S: Final = 10.0
# Burst limit of the notices published by one daemon.
PUBLISHED_BURST: Final = 64.0

Callback = Callable[[bytes], None]
# Receives the seconds for which the notice lasts, beside its payload.
LastingCallback = Callable[[bytes, float], None]


@attrs.frozen
class Notice:
    """One notice as sent between daemons.

    Attributes:
      origin: run of the daemon that published it.
      sequence: number of the notice within that run.
      kind: topic to which subscribers listen.
      payload: content, encoded by the publisher.
      expires_at: time of expiry, in clock seconds of this daemon.
      zone: availability zone to which the notice is limited; empty means all.
    """

    origin: int
    sequence: int
    kind: str
    payload: bytes
    expires_at: float
    zone: str = ""


def most_expendable(queued: Iterable[Notice]) -> Notice:
    """Returns the oldest notice of the commonest kind.

    Otherwise frequent kinds would displace a rare one, such as a plan.

    Args:
      queued: the notices, the oldest first; at least one.
    """
    items = list(queued)
    counts = collections.Counter(item.kind for item in items)
    kind, _ = counts.most_common(1)[0]
    return next(item for item in items if item.kind == kind)


class Notices:
    """Publishes, forwards and delivers notices on one daemon."""

    def __init__(
        self,
        own_run: int,
        own_zone: str,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
    ) -> None:
        """Initializes the object without notices or subscribers."""
        self._own_run = own_run
        self._own_zone = own_zone
        self._clock = clock
        self._metrics = metrics
        self._sequence = itertools.count(1)
        self._subscribers: dict[str, list[LastingCallback]] = {}
        self._seen: dict[tuple[int, int], None] = {}
        self._recent: dict[str, collections.deque[Notice]] = {}
        self._forward: Callable[[Notice], None] | None = None
        self._allowance = PUBLISHED_BURST
        self._allowed_at = clock.now()

    @property
    def kept(self) -> list[Notice]:
        """Returns the recent notices to send to a new neighbour.

        Those of rare kinds come first.
        """
        now = self._clock.now()
        by_kind = sorted(self._recent.values(), key=len)
        found = itertools.chain.from_iterable(by_kind)
        return [item for item in found if item.expires_at > now]

    def set_forward(self, forward: Callable[[Notice], None]) -> None:
        """Sets the function that forwards a notice to the neighbours."""
        self._forward = forward

    def publish(
        self,
        kind: str,
        payload: bytes,
        ttl_s: float,
        *,
        within_zone: bool = False,
    ) -> bool:
        """Publishes a notice to the other daemons.

        Args:
          kind: topic to which subscribers listen.
          payload: content, at most `MAX_PAYLOAD_BYTES`.
          ttl_s: seconds after which the notice is no longer forwarded.
          within_zone: whether only daemons of this zone receive the notice.

        Returns:
          False if the notice was dropped because the payload is too long or
          the rate limit is exceeded.
        """
        if len(payload) > MAX_PAYLOAD_BYTES or not self._allow():
            self._metrics.event("notice_dropped")
            return False
        notice = Notice(
            self._own_run,
            next(self._sequence),
            kind,
            payload,
            self._clock.now() + min(ttl_s, MAX_TTL_S),
            self._own_zone if within_zone else "",
        )
        self._forward_notice(notice)
        return True

    def subscribe(self, kind: str, callback: Callback) -> None:
        """Registers a callback for the payloads of other daemons' notices."""
        self.subscribe_lasting(kind, lambda payload, _: callback(payload))

    def subscribe_lasting(self, kind: str, callback: LastingCallback) -> None:
        """Registers a callback that also receives how long a notice lasts.

        A daemon that joins receives notices long after they were published.
        """
        self._subscribers.setdefault(kind, []).append(callback)

    def receive(self, notice: Notice) -> bool:
        """Delivers and forwards a new notice; returns whether it was new."""
        if (notice.origin, notice.sequence) in self._seen:
            return False
        if notice.origin == self._own_run:
            return False
        if notice.expires_at <= self._clock.now():
            return False
        self._forward_notice(notice)
        for callback in self._subscribers.get(notice.kind, ()):
            callback(notice.payload, notice.expires_at - self._clock.now())
        return True

    def _forward_notice(self, notice: Notice) -> None:
        self._seen[(notice.origin, notice.sequence)] = None
        if len(self._seen) > MAX_SEEN_IDS:
            del self._seen[next(iter(self._seen))]
        self._keep(notice)
        if self._forward:
            self._forward(notice)

    def _keep(self, notice: Notice) -> None:
        """Keeps a recent notice; discards the oldest of the commonest kind."""
        of_kind = self._recent.setdefault(notice.kind, collections.deque())
        of_kind.append(notice)
        if sum(map(len, self._recent.values())) > MAX_RECENT_NOTICES:
            max(self._recent.values(), key=len).popleft()

    def _allow(self) -> bool:
        now = self._clock.now()
        gained = (now - self._allowed_at) * PUBLISHED_PER_S
        self._allowance = min(PUBLISHED_BURST, self._allowance + gained)
        self._allowed_at = now
        if self._allowance < 1:
            return False
        self._allowance -= 1
        return True
