"""Estimates whether a waiting request can still meet its deadline.

The expected wait follows from the number of requests that are served first,
the slots available to this daemon and the time for which a request occupies a
slot. `waiting_bounds` refuses and sheds requests by these estimates, and
the dispatcher decides on preemption by them.
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

# With less than this part of its usual service time left, a request has
# practically no chance to finish before its deadline.
_HOPELESS_SERVICE_RATIO: Final = 0.7
# With less than this multiple of its usual service time left, a request is
# likely to miss its deadline.
_LIKELY_LATE_SERVICE_RATIO: Final = 1.3
# A request that arrives late gets the time of a few polls of the dispatcher
# to find a free slot.
_LATE_ARRIVAL_GRACE_S: Final = 0.25
# After a shorter time a retry would find the same queue.
_MIN_RETRY_AFTER_S: Final = 0.1


class Admission:
    """Estimates of waits and of missed deadlines for one daemon."""

    def __init__(
        self,
        queues: waiting_queues.WaitingQueues,
        index: server_pool.PoolIndex,
        selection: server_selection.ServerSelection,
        outputs: cost_estimate.OutputEstimates,
    ) -> None:
        """Creates estimates from the queues and candidate servers."""
        self.times = wait_estimate.ServiceTimes()
        self.dispatch_mix = wait_estimate.DispatchMix()
        self._queues = queues
        self._index = index
        self._selection = selection
        self._outputs = outputs

    def give_up_at(self, request: scheduler_api.PendingRequest) -> float:
        """Returns the time at which to give up a request that still waits.

        From that time on, the request is likely to miss its deadline. The
        estimate is uncertain, since the output length is unknown. A request
        that arrives with little time left therefore gets a short grace period
        to find a free slot, unless there is no chance even for that.
        """
        service_s = self._service_s(request)
        hopeless_at = request.deadline - _HOPELESS_SERVICE_RATIO * service_s
        likely_at = request.deadline - _LIKELY_LATE_SERVICE_RATIO * service_s
        return max(
            likely_at, min(request.arrived + _LATE_ARRIVAL_GRACE_S, hopeless_at)
        )

    def refusal_retry_after_s(
        self,
        queue: class_queue.ClassQueue,
        request: scheduler_api.PendingRequest,
        now: float,
    ) -> float | None:
        """Returns the delay before a retry if the request must be refused.

        Returns None if the request can be expected to meet its deadline.
        """
        if self.give_up_at(request) <= now:
            return _MIN_RETRY_AFTER_S
        if len(queue) == 1:
            return None
        ahead = queue.count_ahead_of_newest(request.customer)
        wait_s = self.expected_wait_s(queue, ahead, now)
        late_s = wait_s + self._service_s(request) - (request.deadline - now)
        if wait_s <= 0.0 or late_s <= 0.0:
            return None
        return max(_MIN_RETRY_AFTER_S, late_s)

    def excess_wait_s(self, queue: class_queue.ClassQueue, now: float) -> float:
        """Returns by how much the wait at a queue's end exceeds the limit.

        A queue with one request never exceeds the limit, because that request
        may wait for the guaranteed turn of its class.
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
        """Returns the expected wait of a request.

        Args:
          queue: the queue of the request.
          ahead: requests of the same queue that are served first.
          now: the time in seconds.
        """
        tier = queue.request_class.tier
        total_ahead = ahead + sum(
            len(item)
            for item in self._queues.of_target(queue.target)
            if item is not queue and item.request_class.tier <= tier
        )
        pool = self._index.pool(queue.target, queue.request_class)
        own_requests = sum(group.own_requests for group in pool.groups)
        slots = max(self._selection.slots(pool, now), float(own_requests))
        slot_time_s = self.times.slot_time_s(queue.target)
        available_slots = slots * self.dispatch_mix.share_left_for(queue)
        guaranteed_slots = slots * queue.request_class.minimum_share
        return min(
            wait_estimate.wait_s(
                total_ahead, slots - own_requests, available_slots, slot_time_s
            ),
            wait_estimate.wait_s(
                ahead, slots - own_requests, guaranteed_slots, slot_time_s
            ),
        )

    def _service_s(self, request: scheduler_api.PendingRequest) -> float:
        return self.times.total_s(
            request_target.target_of(request),
            request.request_class.name,
            self._outputs.expected(request),
        )
