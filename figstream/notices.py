"""Small notices that reach every daemon once, along with heartbeats.

A notice is passed on to every neighbour but the one it came from; origin and
sequence tell copies apart. Everything is bounded by count and bytes, so a
notice may be lost under a flood: what must not be lost goes through the
platform.
"""

import collections
from collections.abc import Callable
import itertools
from typing import Final

import attrs

from figstream import clock as clock_lib
from figstream import metrics as metrics_lib

# Bytes; a heartbeat holds 32 of them.
MAX_PAYLOAD_BYTES: Final = 1024
# Seconds; notices that must last longer are repeated.
MAX_TTL_S: Final = 120.0
# Notices kept for daemons that join.
MAX_KEPT: Final = 256
# Ids kept, so that a notice is passed on once.
MAX_SEEN: Final = 8192
# Notices a second of one daemon.
PUBLISHED_PER_S: Final = 10.0
# Notices at once of one daemon.
PUBLISHED_BURST: Final = 64.0

Callback = Callable[[bytes], None]


@attrs.frozen
class Notice:
    """One notice as it travels.

    Attributes:
      origin: run of the daemon that published it.
      sequence: number of the notice within that run.
      kind: who subscribes to it.
      payload: content, encoded by the publisher.
      expires_at: when it is dropped, clock seconds of this daemon.
      zone: availability zone it stays in; empty means everywhere.
    """

    origin: int
    sequence: int
    kind: str
    payload: bytes
    expires_at: float
    zone: str = ""


class Notices:
    """The notices that one daemon publishes and passes on."""

    def __init__(
        self,
        own_run: int,
        own_zone: str,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
    ) -> None:
        """Starts with none."""
        self._own_run = own_run
        self._own_zone = own_zone
        self._clock = clock
        self._metrics = metrics
        self._sequence = itertools.count(1)
        self._subscribers: dict[str, list[Callback]] = {}
        self._seen: dict[tuple[int, int], None] = {}
        self._kept: collections.deque[Notice] = collections.deque(
            maxlen=MAX_KEPT
        )
        self._forward: Callable[[Notice], None] | None = None
        self._allowance = PUBLISHED_BURST
        self._allowed_at = clock.now()

    @property
    def kept(self) -> list[Notice]:
        """Returns the latest notices, for a new neighbour."""
        now = self._clock.now()
        return [item for item in self._kept if item.expires_at > now]

    def set_forward(self, forward: Callable[[Notice], None]) -> None:
        """Sets what passes a notice on to the neighbours."""
        self._forward = forward

    def publish(
        self,
        kind: str,
        payload: bytes,
        ttl_s: float,
        *,
        within_zone: bool = False,
    ) -> bool:
        """Sends a notice to the other daemons.

        Args:
          kind: who subscribes to it.
          payload: at most `MAX_PAYLOAD_BYTES`.
          ttl_s: seconds after which it is no longer passed on.
          within_zone: whether only daemons of this zone get it.

        Returns:
          False if it was dropped because it is too long or one of too many.
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
        self._pass_on(notice)
        return True

    def subscribe(self, kind: str, callback: Callback) -> None:
        """Calls back with the payload of each notice of other daemons."""
        self._subscribers.setdefault(kind, []).append(callback)

    def receive(self, notice: Notice) -> bool:
        """Takes in a notice; returns whether it is new."""
        if (notice.origin, notice.sequence) in self._seen:
            return False
        if notice.origin == self._own_run:
            return False
        if notice.expires_at <= self._clock.now():
            return False
        self._pass_on(notice)
        for callback in self._subscribers.get(notice.kind, ()):
            callback(notice.payload)
        return True

    def _pass_on(self, notice: Notice) -> None:
        self._seen[(notice.origin, notice.sequence)] = None
        if len(self._seen) > MAX_SEEN:
            del self._seen[next(iter(self._seen))]
        self._kept.append(notice)
        if self._forward:
            self._forward(notice)

    def _allow(self) -> bool:
        now = self._clock.now()
        gained = (now - self._allowed_at) * PUBLISHED_PER_S
        self._allowance = min(PUBLISHED_BURST, self._allowance + gained)
        self._allowed_at = now
        if self._allowance < 1:
            return False
        self._allowance -= 1
        return True
