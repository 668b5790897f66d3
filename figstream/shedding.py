"""Decides which waiting work is shed when not all of it can be kept.

The order of shedding is a rule of its own, apart from the order of dispatch:
the lowest tier waiting goes first, and within it the newest request of the
customer furthest over its fair share. Before a request is refused for lack of
capacity, all lower-tier work that waits for the same backend servers is shed,
but for the next request of each class, which holds the class's guaranteed
turn.
"""

from collections.abc import Iterator

import attrs

from figstream import class_queue
from figstream import reasons
from figstream import scheduler_api
from figstream import server_pool
from figstream import waiting_queues

_R = reasons.RefusalReason


@attrs.frozen
class Victim:
    """A waiting request that is to be shed, and its queue."""

    queue: class_queue.ClassQueue
    request: scheduler_api.PendingRequest


class Shedding:
    """Chooses victims among the waiting requests of one daemon."""

    def __init__(
        self,
        queues: waiting_queues.WaitingQueues,
        index: server_pool.PoolIndex,
    ) -> None:
        """Reads the queues and the backend servers they wait for."""
        self._queues = queues
        self._index = index

    def bound_reached(
        self, queue: class_queue.ClassQueue
    ) -> reasons.RefusalReason | None:
        """Returns which bound of its class a queue exceeds, if any."""
        request_class = queue.request_class
        if self._queues.count(request_class.name) > request_class.queue_limit:
            return _R.QUEUE_COUNT_FULL
        if self._queues.bytes(request_class.name) > request_class.queue_bytes:
            return _R.QUEUE_BYTES_FULL
        return None

    def for_bound(
        self,
        queue: class_queue.ClassQueue,
        newcomer: scheduler_api.PendingRequest,
    ) -> Iterator[Victim]:
        """Yields whom to shed so that the newcomer's place is made up for.

        Each victim must be removed before the next one is asked for.
        """
        count, size = 1, newcomer.body_bytes
        while count > 0 or size > 0:
            below = self._queues.below(queue.request_class.tier)
            source = below[0] if below else queue
            request = source.furthest_over()
            if request is None:
                return
            yield Victim(source, request)
            if source is queue:
                return
            count -= 1
            size -= request.body_bytes

    def below(self, queue: class_queue.ClassQueue) -> Iterator[Victim]:
        """Yields the lower-tier work to shed before a queue loses any.

        Each victim must be removed before the next one is asked for.
        """
        for lower in self._queues.below(queue.request_class.tier):
            if not self._index.share_servers(lower.target, queue.target):
                continue
            while len(lower) > 1:
                request = lower.furthest_over()
                if request is None:
                    break
                yield Victim(lower, request)
