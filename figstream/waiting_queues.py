"""The queues of a daemon: one for each class and target, with totals.

`shedding` checks the totals by class against the bounds on count and bytes;
the dispatcher iterates over the queues by target.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence

from figstream import class_queue
from figstream import request_class as request_class_lib
from figstream import request_target
from figstream import scheduler_api


class WaitingQueues:
    """The queues of one daemon."""

    def __init__(self, weight_of: Callable[[str], float]) -> None:
        """Creates an empty collection; `weight_of` returns customer weights."""
        self._weight_of = weight_of
        self._queues: dict[request_target.Target, list[class_queue.ClassQueue]]
        self._queues = {}
        self._waiting_counts: dict[request_target.Target, int] = {}
        self._counts: collections.Counter[str] = collections.Counter()
        self._bytes: collections.Counter[str] = collections.Counter()

    @property
    def targets(self) -> Iterable[request_target.Target]:
        """Returns the targets with waiting requests."""
        return self._waiting_counts.keys()

    def count(self, class_name: str) -> int:
        """Returns the number of waiting requests of a class."""
        return self._counts[class_name]

    def bytes(self, class_name: str) -> int:
        """Returns the bytes of the waiting requests of a class."""
        return self._bytes[class_name]

    def of_target(
        self, target: request_target.Target
    ) -> Sequence[class_queue.ClassQueue]:
        """Returns the queues of a target, highest tier first."""
        return self._queues.get(target, ())

    def queue(
        self,
        target: request_target.Target,
        request_class: request_class_lib.RequestClass,
    ) -> class_queue.ClassQueue:
        """Returns the queue of a class for a target, created if missing."""
        queues = self._queues.setdefault(target, [])
        for item in queues:
            if item.request_class.name == request_class.name:
                item.request_class = request_class
                return item
        created = class_queue.ClassQueue(request_class, target, self._weight_of)
        queues.append(created)
        queues.sort(key=lambda item: item.request_class.tier)
        return created

    def push(
        self,
        request: scheduler_api.PendingRequest,
        target: request_target.Target,
        cost: float,
    ) -> class_queue.ClassQueue:
        """Adds a request to its queue."""
        queue = self.queue(target, request.request_class)
        queue.push(request, cost)
        name = request.request_class.name
        self._counts[name] += 1
        self._bytes[name] += request.body_bytes
        self._waiting_counts[target] = self._waiting_counts.get(target, 0) + 1
        return queue

    def remove(
        self,
        queue: class_queue.ClassQueue,
        request: scheduler_api.PendingRequest,
    ) -> float:
        """Removes a waiting request and returns its expected cost."""
        cost = queue.remove(request)
        name = request.request_class.name
        self._counts[name] -= 1
        self._bytes[name] -= request.body_bytes
        self._waiting_counts[queue.target] -= 1
        if not self._waiting_counts[queue.target]:
            del self._waiting_counts[queue.target]
        return cost

    def is_only(
        self,
        request: scheduler_api.PendingRequest,
        target: request_target.Target,
    ) -> bool:
        """Returns whether a queued request is the only one in its queue."""
        return len(self.queue(target, request.request_class)) == 1

    def find(
        self, request: scheduler_api.PendingRequest
    ) -> class_queue.ClassQueue | None:
        """Returns the queue in which a request waits."""
        target = request_target.target_of(request)
        return next(
            (item for item in self.of_target(target) if request in item), None
        )

    def nonempty(self) -> list[class_queue.ClassQueue]:
        """Returns the queues in which requests wait."""
        return [
            queue
            for target in self._waiting_counts
            for queue in self._queues[target]
            if queue
        ]

    def lower_tier(self, tier: int) -> list[class_queue.ClassQueue]:
        """Returns the nonempty queues of lower tiers, lowest tier first."""
        lower_queues = [
            queue
            for target in self._waiting_counts
            for queue in self._queues[target]
            if queue and queue.request_class.tier > tier
        ]
        lower_queues.sort(key=lambda item: -item.request_class.tier)
        return lower_queues
