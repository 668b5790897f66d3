"""The order in which the dispatcher serves the classes of one target.

The highest tier is served first, but each class has a guaranteed minimum
share of the dispatches. A deficit counter tracks the guarantee: while requests
of a class wait, every dispatch of another class adds the class's minimum share
to its counter, and a class whose counter reaches one is served before all
others. A class that has waited for too long without any dispatch gets a turn
as well, so that no class starves at a slow target. The counter survives a
short time with an empty queue, because the requests of a class may be given up
before its turn comes.
"""

from collections.abc import Sequence
from typing import Final

import attrs

from figstream import class_queue

# Must be less than the shortest deadline of interactive classes.
_STARVATION_LIMIT_S: Final = 8.0
# With more daemons in a zone, the starvation limit grows in proportion.
_DAEMONS_WITHOUT_STRETCH: Final = 8
# Bounds the deficit counter; a higher bound would allow bursts.
_MAX_DEFICIT: Final = 2.0
# After this time with an empty queue, a class's waiting time starts anew.
_IDLE_RESET_S: Final = 2.0


@attrs.define
class _ClassState:
    """The deficit counter and waiting time of one class."""

    deficit: float = 0.0
    waiting_since: float = 0.0
    last_waiting: float = -1e9


class DispatchOrder:
    """Decides which class of a target is served next."""

    def __init__(self) -> None:
        """Creates an order in which no class has a deficit."""
        self._states: dict[str, _ClassState] = {}
        self._starvation_limit_s = _STARVATION_LIMIT_S

    @property
    def starvation_limit_s(self) -> float:
        """Returns the longest time that a class waits for a turn."""
        return self._starvation_limit_s

    def set_live_daemons(self, in_zone: int) -> None:
        """Adapts the starvation limit to the number of daemons in the zone.

        All daemons of the zone keep the limit together.
        """
        stretch = max(1.0, in_zone / _DAEMONS_WITHOUT_STRETCH)
        self._starvation_limit_s = _STARVATION_LIMIT_S * stretch

    def ranked(
        self, queues: Sequence[class_queue.ClassQueue], now: float
    ) -> Sequence[class_queue.ClassQueue]:
        """Returns the nonempty queues in the order of service.

        Args:
          queues: the queues of the target, highest tier first.
          now: the time in seconds.
        """
        waiting = [item for item in queues if item]
        due = [item for item in waiting if self.due(item, now)]
        due.sort(key=lambda item: -self._state(item).deficit)
        return [*due, *(item for item in waiting if item not in due)]

    def due(self, queue: class_queue.ClassQueue, now: float) -> bool:
        """Returns whether the guaranteed turn of a queue is due now."""
        state = self._state(queue)
        if now - state.last_waiting > _IDLE_RESET_S:
            state.waiting_since = now
        state.last_waiting = now
        starved = now - state.waiting_since >= self._starvation_limit_s
        return state.deficit >= 1.0 or starved

    def dispatched(
        self,
        served: class_queue.ClassQueue,
        queues: Sequence[class_queue.ClassQueue],
        now: float,
    ) -> None:
        """Records the dispatch of one request of the queue `served`."""
        for queue in queues:
            state = self._state(queue)
            if queue is served:
                state.deficit = max(0.0, state.deficit - 1.0)
                state.waiting_since = now
            elif now - state.last_waiting <= _IDLE_RESET_S:
                increased = state.deficit + queue.request_class.minimum_share
                state.deficit = min(_MAX_DEFICIT, increased)

    def _state(self, queue: class_queue.ClassQueue) -> _ClassState:
        return self._states.setdefault(queue.request_class.name, _ClassState())
