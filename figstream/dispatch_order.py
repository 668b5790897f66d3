"""The order in which the classes of one target are served.

The highest tier goes first, but each class has a guaranteed minimum share of
the dispatches, kept by a deficit counter: while a class waits, every dispatch
adds its minimum share, and a class with a whole turn saved goes before all
others. A class that waited for too long without any dispatch gets a turn as
well, so that slow targets starve nobody. What was saved outlives a queue that
is empty for a moment, because its requests may give up before their turn.
"""

from collections.abc import Sequence
from typing import Final

import attrs

from figstream import class_queue

# Seconds; below the least deadline of interactive classes.
_STARVATION_LIMIT_S: Final = 8.0
# Daemons that together keep the limit without stretching it.
_DAEMONS_PER_LIMIT: Final = 8
# Turns that a class may save up; more would be a burst.
_MAX_SAVED_TURNS: Final = 2.0
# Seconds without waiting after which a class waits anew.
_IDLE_S: Final = 2.0


@attrs.define
class _Turn:
    """What one class has saved up."""

    deficit: float = 0.0
    waiting_since: float = 0.0
    seen: float = -1e9


class DispatchOrder:
    """Decides which class of a target is served next."""

    def __init__(self) -> None:
        """Starts with no turn saved."""
        self._turns: dict[str, _Turn] = {}
        self._limit_s = _STARVATION_LIMIT_S

    @property
    def limit_s(self) -> float:
        """Returns how long a class waits at most for a turn."""
        return self._limit_s

    def set_live_daemons(self, in_zone: int) -> None:
        """Stretches the time guarantee, which all daemons give together."""
        stretch = max(1.0, in_zone / _DAEMONS_PER_LIMIT)
        self._limit_s = _STARVATION_LIMIT_S * stretch

    def ranked(
        self, queues: Sequence[class_queue.ClassQueue], now: float
    ) -> Sequence[class_queue.ClassQueue]:
        """Returns the nonempty queues, the one to serve first in front.

        Args:
          queues: the queues of the target, highest tier first.
          now: the time in seconds.
        """
        waiting = [item for item in queues if item]
        due = [item for item in waiting if self.due(item, now)]
        due.sort(key=lambda item: -self._turn(item).deficit)
        return [*due, *(item for item in waiting if item not in due)]

    def due(self, queue: class_queue.ClassQueue, now: float) -> bool:
        """Returns whether a queue has its guaranteed turn now."""
        turn = self._turn(queue)
        if now - turn.seen > _IDLE_S:
            turn.waiting_since = now
        turn.seen = now
        starved = now - turn.waiting_since >= self._limit_s
        return turn.deficit >= 1.0 or starved

    def dispatched(
        self,
        served: class_queue.ClassQueue,
        queues: Sequence[class_queue.ClassQueue],
        now: float,
    ) -> None:
        """Takes note that one request of a queue was dispatched."""
        for queue in queues:
            turn = self._turn(queue)
            if queue is served:
                turn.deficit = max(0.0, turn.deficit - 1.0)
                turn.waiting_since = now
            elif now - turn.seen <= _IDLE_S:
                saved = turn.deficit + queue.request_class.minimum_share
                turn.deficit = min(_MAX_SAVED_TURNS, saved)

    def _turn(self, queue: class_queue.ClassQueue) -> _Turn:
        return self._turns.setdefault(queue.request_class.name, _Turn())
