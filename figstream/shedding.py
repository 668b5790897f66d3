"""Chooses the waiting requests to shed when queues exceed their bounds.

`waiting_bounds` removes the requests chosen here. The order of shedding is
independent of the order of dispatch: the lowest waiting tier is shed first,
and within a queue the newest request of the customer furthest over its fair
share. Before a request is refused for lack of capacity, all lower-tier
requests that wait for the same backend servers are shed, except for the next
request of each class, which keeps the class's guaranteed turn.
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
    """A waiting request to be shed, with its queue."""

    queue: class_queue.ClassQueue
    request: scheduler_api.PendingRequest


class Shedding:
    """Chooses the requests to shed among those that wait in one daemon."""

    def __init__(
        self,
        queues: waiting_queues.WaitingQueues,
        index: server_pool.PoolIndex,
    ) -> None:
        """Creates a chooser that reads the queues and their backend servers."""
        self._queues = queues
        self._index = index

    def exceeded_bound(
        self, queue: class_queue.ClassQueue
    ) -> reasons.RefusalReason | None:
        """Returns the reason to refuse if the queue's class exceeds a bound.

        Returns None if the class exceeds no bound.
        """
        request_class = queue.request_class
        if self._queues.count(request_class.name) > request_class.queue_limit:
            return _R.QUEUE_COUNT_FULL
        if self._queues.bytes(request_class.name) > request_class.queue_bytes:
            return _R.QUEUE_BYTES_FULL
        return None

    def victims_for_bound(
        self,
        queue: class_queue.ClassQueue,
        newcomer: scheduler_api.PendingRequest,
    ) -> Iterator[Victim]:
        """Yields requests to shed until they make room for the newcomer.

        Lower tiers are shed first. If none wait, one request of the newcomer's
        own queue is shed.

        The caller must remove each victim before taking the next one.
        """
        count, size = 1, newcomer.body_bytes
        while count > 0 or size > 0:
            lower_tier = self._queues.lower_tier(queue.request_class.tier)
            source = lower_tier[0] if lower_tier else queue
            request = source.newest_over_share()
            if request is None:
                return
            yield Victim(source, request)
            if source is queue:
                return
            count -= 1
            size -= request.body_bytes

    def lower_tier(self, queue: class_queue.ClassQueue) -> Iterator[Victim]:
        """Yields the lower-tier requests to shed before any of the given queue.

        The caller must remove each victim before taking the next one.
        """
        for lower in self._queues.lower_tier(queue.request_class.tier):
            if not self._index.share_servers(lower.target, queue.target):
                continue
            while len(lower) > 1:
                request = lower.newest_over_share()
                if request is None:
                    break
                yield Victim(lower, request)
