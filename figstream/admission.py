"""Decides whether a waiting request can still meet what its class promises.

The wait is estimated from the requests that go first, the slots this daemon
may count on and the time a request holds a slot.
"""

from typing import Final

from figstream import class_queue
from figstream import cost_estimate
from figstream import request_target
from figstream import scheduler_api
from figstream import server_pool
from figstream import server_selection
from figstream import wait_estimate
from figstream import waiting_queues

# Part of the usual service time without which a request is hopeless.
_HOPELESS_SHARE: Final = 0.7
# The same for one that is likely to come too late.
_LIKELY_SHARE: Final = 1.3
# Seconds to find a free slot; a few polls of the dispatcher.
_GRACE_S: Final = 0.25
# Seconds; below it a retry meets the same queue.
_MIN_RETRY_AFTER_S: Final = 0.1


class Admission:
    """Estimates of waits and deadlines for one daemon."""

    def __init__(
        self,
        queues: waiting_queues.WaitingQueues,
        index: server_pool.PoolIndex,
        selection: server_selection.ServerSelection,
        outputs: cost_estimate.OutputEstimates,
    ) -> None:
        """Reads the queues and candidates of the daemon."""
        self.times = wait_estimate.ServiceTimes()
        self.mix = wait_estimate.DispatchMix()
        self._queues = queues
        self._index = index
        self._selection = selection
        self._outputs = outputs

    def give_up_at(self, request: scheduler_api.PendingRequest) -> float:
        """Returns when a request that still waits is likely to come too late.

        Its length is unknown. A request that arrives with little time left
        gets a moment to find a free slot, unless even that is hopeless.
        """
        service_s = self._service_s(request)
        hopeless_at = request.deadline - _HOPELESS_SHARE * service_s
        likely_at = request.deadline - _LIKELY_SHARE * service_s
        return max(likely_at, min(request.arrived + _GRACE_S, hopeless_at))

    def refuse_after_s(
        self,
        queue: class_queue.ClassQueue,
        request: scheduler_api.PendingRequest,
        now: float,
    ) -> float | None:
        """Returns when to retry a request that would come too late, or None."""
        if self.give_up_at(request) <= now:
            return _MIN_RETRY_AFTER_S
        if len(queue) == 1:
            return None
        ahead = queue.ahead_of_newest(request.customer)
        wait_s = self.expected_wait_s(queue, ahead, now)
        late_s = wait_s + self._service_s(request) - (request.deadline - now)
        if wait_s <= 0.0 or late_s <= 0.0:
            return None
        return max(_MIN_RETRY_AFTER_S, late_s)

    def excess_wait_s(self, queue: class_queue.ClassQueue, now: float) -> float:
        """Returns by how long the last request of a queue waits too long.

        The next request of a class always may wait for its guaranteed turn.
        """
        if len(queue) == 1:
            return 0.0
        wait_s = self.expected_wait_s(queue, len(queue) - 1.0, now)
        if wait_s <= 0.0:
            return 0.0
        return wait_s - self.times.allowed_wait_s(queue)

    def expected_wait_s(
        self, queue: class_queue.ClassQueue, ahead: float, now: float
    ) -> float:
        """Returns the wait of a request behind others of its own queue."""
        tier = queue.request_class.tier
        before = ahead + sum(
            len(item)
            for item in self._queues.of_target(queue.target)
            if item is not queue and item.request_class.tier <= tier
        )
        pool = self._index.pool(queue.target, queue.request_class)
        own_requests = sum(group.own_requests for group in pool.groups)
        slots = max(self._selection.slots(pool, now), float(own_requests))
        slot_s = self.times.slot_s(queue.target)
        left = slots * self.mix.left_for(queue)
        guaranteed = slots * queue.request_class.minimum_share
        return min(
            wait_estimate.wait_s(before, slots - own_requests, left, slot_s),
            wait_estimate.wait_s(
                ahead, slots - own_requests, guaranteed, slot_s
            ),
        )

    def _service_s(self, request: scheduler_api.PendingRequest) -> float:
        return self.times.total_s(
            request_target.target_of(request),
            request.request_class.name,
            self._outputs.expected(request),
        )
