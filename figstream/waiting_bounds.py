"""Admits requests to the queues of a daemon and enforces their bounds.

The scheduler uses this module for each offered request and at every poll. A
request is queued if the bounds of its class on count, bytes and expected wait
allow that, or if other requests can be shed instead. A waiting request that
can no longer meet its deadline is refused immediately.
"""

from collections.abc import Callable
from typing import Final

from figstream import admission
from figstream import class_queue
from figstream import deadline_watch
from figstream import errors
from figstream import reasons
from figstream import refusals
from figstream import request_target
from figstream import scheduler_api
from figstream import server_pool
from figstream import shedding
from figstream import waiting_queues

# Queues are trimmed at this interval even if no request is added.
_TRIM_INTERVAL_S: Final = 0.25
# A server restarts in about that time.
_NO_SERVER_RETRY_AFTER_S: Final = 2.0
# After a shorter time a retry would find the same queue.
_MIN_RETRY_AFTER_S: Final = 1.0
# Longer estimates are unreliable.
_MAX_RETRY_AFTER_S: Final = 10.0

_R = reasons.RefusalReason


class WaitingBounds:
    """Adds requests to the queues, and refuses or sheds them."""

    def __init__(
        self,
        queues: waiting_queues.WaitingQueues,
        index: server_pool.PoolIndex,
        estimates: admission.Admission,
        on_dropped: Callable[[scheduler_api.Dropped], None],
    ) -> None:
        """Creates an instance that passes refusals to `on_dropped`."""
        self._queues = queues
        self._index = index
        self._admission = estimates
        self._on_dropped = on_dropped
        self._shedding = shedding.Shedding(queues, index)
        self._deadlines = deadline_watch.DeadlineWatch(self._is_waiting)
        self._trimmed_at = 0.0

    def enqueue(
        self,
        request: scheduler_api.PendingRequest,
        target: request_target.Target,
        cost: float,
        now: float,
    ) -> errors.Refusal | None:
        """Queues a request, or returns its refusal."""
        queue = self._queues.push(request, target, cost)
        refusal = (
            None
            if request.attempt
            else self._shed_for_newcomer(queue, request, now)
        )
        if refusal is None:
            self._deadlines.add(request, self._admission.give_up_at(request))
        return refusal

    def withdraw(self, request: scheduler_api.PendingRequest) -> bool:
        """Removes a request; returns whether the request was waiting."""
        queue = self._queues.find(request)
        if queue is None:
            return False
        self._queues.remove(queue, request)
        return True

    def enforce_bounds(self, now: float) -> None:
        """Refuses or sheds waiting requests that can't be served in time.

        Also refuses the requests of targets without backend servers.
        """
        for request in self._deadlines.due(now):
            self._give_up(request, now)
        if now - self._trimmed_at >= _TRIM_INTERVAL_S:
            self._trimmed_at = now
            self._trim_queues(now)

    def _is_waiting(self, request: scheduler_api.PendingRequest) -> bool:
        return self._queues.find(request) is not None

    def _shed_for_newcomer(
        self,
        queue: class_queue.ClassQueue,
        request: scheduler_api.PendingRequest,
        now: float,
    ) -> errors.Refusal | None:
        """Sheds requests until all bounds hold.

        Returns:
          The newcomer's refusal, or None if the newcomer may stay.
        """
        late_s = self._admission.refusal_retry_after_s(queue, request, now)
        if late_s is not None:
            return self._refuse_newcomer(
                queue,
                request,
                _R.DEADLINE_UNREACHABLE,
                max(_MIN_RETRY_AFTER_S, late_s),
                now,
            )
        reason = self._shedding.exceeded_bound(queue)
        if reason:
            retry_s = self._retry_after_s(queue, now)
            for victim in self._shedding.victims_for_bound(queue, request):
                if victim.request is request:
                    return self._refuse_newcomer(
                        queue, request, reason, retry_s, now
                    )
                self._drop(victim, _R.SHED_FOR_OTHERS, retry_s)
        return self._shed_excess_wait(queue, request, now)

    def _shed_excess_wait(
        self,
        queue: class_queue.ClassQueue,
        newcomer: scheduler_api.PendingRequest | None,
        now: float,
    ) -> errors.Refusal | None:
        """Sheds requests of a queue until its expected wait is within bounds.

        Returns:
          The newcomer's refusal, or None if the newcomer may stay.
        """
        while queue:
            if self._admission.excess_wait_s(queue, now) <= 0.0:
                return None
            victim = queue.newest_over_share()
            if victim is None:
                return None
            retry_s = self._retry_after_s(queue, now)
            if victim is newcomer:
                return self._refuse_newcomer(
                    queue, victim, _R.DEADLINE_UNREACHABLE, retry_s, now
                )
            self._shed_lower_tiers(queue, now)
            self._drop(
                shedding.Victim(queue, victim), _R.SHED_FOR_OTHERS, retry_s
            )
        return None

    def _refuse_newcomer(
        self,
        queue: class_queue.ClassQueue,
        request: scheduler_api.PendingRequest,
        reason: reasons.RefusalReason,
        retry_s: float,
        now: float,
    ) -> errors.Refusal:
        """Removes a newcomer from its queue and returns its refusal."""
        self._shed_lower_tiers(queue, now)
        self._queues.remove(queue, request)
        return refusals.make_refusal(request, reason, retry_s)

    def _give_up(
        self, request: scheduler_api.PendingRequest, now: float
    ) -> None:
        queue = self._queues.find(request)
        if queue is None:
            return
        passed = request.deadline <= now
        reason = _R.DEADLINE_PASSED if passed else _R.DEADLINE_UNREACHABLE
        retry_s = self._retry_after_s(queue, now)
        self._shed_lower_tiers(queue, now)
        self._drop(shedding.Victim(queue, request), reason, retry_s)

    def _trim_queues(self, now: float) -> None:
        for target in list(self._queues.targets):
            for queue in self._queues.of_target(target):
                if not queue:
                    continue
                if self._index.pool(target, queue.request_class).groups:
                    self._shed_excess_wait(queue, None, now)
                else:
                    self._drop_all(queue)

    def _drop_all(self, queue: class_queue.ClassQueue) -> None:
        for request in list(queue):
            victim = shedding.Victim(queue, request)
            self._drop(victim, _R.NO_BACKEND_SERVER, _NO_SERVER_RETRY_AFTER_S)

    def _shed_lower_tiers(
        self, queue: class_queue.ClassQueue, now: float
    ) -> None:
        for victim in self._shedding.lower_tier(queue):
            retry_s = self._retry_after_s(victim.queue, now)
            self._drop(victim, _R.SHED_FOR_OTHERS, retry_s)

    def _drop(
        self,
        victim: shedding.Victim,
        reason: reasons.RefusalReason,
        retry_s: float,
    ) -> None:
        self._queues.remove(victim.queue, victim.request)
        refusal = refusals.make_refusal(victim.request, reason, retry_s)
        self._on_dropped(scheduler_api.Dropped(victim.request, refusal))

    def _retry_after_s(
        self, queue: class_queue.ClassQueue, now: float
    ) -> float:
        wait_s = self._admission.expected_wait_s(queue, len(queue), now)
        return min(max(_MIN_RETRY_AFTER_S, wait_s), _MAX_RETRY_AFTER_S)
