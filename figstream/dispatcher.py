"""Dispatches waiting requests to backend servers, the highest tier first.

The scheduler runs the dispatcher at every poll. Targets are served in the
order of the highest-ranked class that waits for each, so that tiers are
respected also among targets that share backend servers.
"""

from collections.abc import Callable
import heapq
import itertools
from typing import Final

import attrs

from figstream import admission
from figstream import backend_server
from figstream import class_queue
from figstream import cost_estimate
from figstream import dispatch_order
from figstream import isolated_requests
from figstream import preemption
from figstream import prefix_affinity
from figstream import request_target
from figstream import running_requests
from figstream import scheduler_api
from figstream import server_load
from figstream import server_pool
from figstream import server_selection
from figstream import waiting_queues

# A target without a free server is tried again after this time, if no other
# event unblocks it earlier.
_RETRY_INTERVAL_S: Final = 0.5
# Retry interval of a target without a free server if the first waiting class
# has a first-token target.
_URGENT_RETRY_INTERVAL_S: Final = 0.1
# Lower tiers are preempted once the wait reaches this part of the allowed wait.
_PREEMPTION_WAIT_RATIO: Final = 0.5
# Above this share of the dispatches for its own and higher tiers, a class no
# longer relies on the priorities of the engines.
_MAX_URGENT_SHARE: Final = 0.5
# Earlier than any clock time.
_DISTANT_PAST: Final = -1e9


@attrs.define
class _TargetState:
    """The dispatch state of one target."""

    order: dispatch_order.DispatchOrder
    blocked_until: float = _DISTANT_PAST


class Dispatcher:
    """Dispatches the waiting requests of all targets of a daemon."""

    def __init__(
        self,
        queues: waiting_queues.WaitingQueues,
        index: server_pool.PoolIndex,
        book: server_load.LoadBook,
        affinity: prefix_affinity.PrefixAffinity,
        selection: server_selection.ServerSelection,
        outputs: cost_estimate.OutputEstimates,
        estimates: admission.Admission,
        on_decision: Callable[[scheduler_api.Decision], None],
    ) -> None:
        """Creates a dispatcher that passes each decision to `on_decision`."""
        self._queues = queues
        self._index = index
        self._book = book
        self._affinity = affinity
        self._selection = selection
        self._outputs = outputs
        self._admission = estimates
        self._on_decision = on_decision
        self._preemption = preemption.Preemption()
        self.running = running_requests.RunningRequests()
        self.isolated = isolated_requests.IsolatedRequests(book)
        self._targets: dict[request_target.Target, _TargetState] = {}
        self._daemons_in_zone = 1
        self._sequence = itertools.count()

    def set_live_daemons(self, in_zone: int) -> None:
        """Stores the number of daemons that share the zone's servers."""
        self._daemons_in_zone = in_zone
        for state in self._targets.values():
            state.order.set_live_daemons(in_zone)

    def unblock_all(self) -> None:
        """Makes the next dispatch try every target."""
        for state in self._targets.values():
            state.blocked_until = _DISTANT_PAST

    def unblock_target(self, target: request_target.Target) -> None:
        """Makes the next dispatch try a target."""
        self._state(target).blocked_until = _DISTANT_PAST

    def unblock_server(self, server: backend_server.BackendServer) -> None:
        """Makes the next dispatch try the targets of a backend server."""
        for target, state in self._targets.items():
            if target.served_by(server):
                state.blocked_until = _DISTANT_PAST

    def dispatch(self, now: float) -> None:
        """Dispatches every request for which a backend server has room."""
        self._dispatch_isolated(now)
        ready: list[tuple[int, int, request_target.Target]] = []
        for target in self._queues.targets:
            if self._state(target).blocked_until <= now:
                self._enqueue(ready, target, now)
        while ready:
            _, _, target = heapq.heappop(ready)
            if not self._dispatch_one(target, now):
                self._block(target, now)
                self._preempt(target, now)
            elif any(self._queues.of_target(target)):
                self._enqueue(ready, target, now)

    def _state(self, target: request_target.Target) -> _TargetState:
        state = self._targets.get(target)
        if state is None:
            order = dispatch_order.DispatchOrder()
            order.set_live_daemons(self._daemons_in_zone)
            state = self._targets[target] = _TargetState(order)
        return state

    def _block(self, target: request_target.Target, now: float) -> None:
        """Skips a target until its servers change or a retry interval ends."""
        waiting = (item for item in self._queues.of_target(target) if item)
        level = next(waiting).request_class.service_level
        pause_s = (
            _URGENT_RETRY_INTERVAL_S
            if level.first_token_s
            else _RETRY_INTERVAL_S
        )
        self._state(target).blocked_until = now + pause_s

    def _enqueue(
        self,
        ready: list[tuple[int, int, request_target.Target]],
        target: request_target.Target,
        now: float,
    ) -> None:
        order = self._state(target).order
        first = order.ranked(self._queues.of_target(target), now)[0]
        rank = -1 if order.due(first, now) else first.request_class.tier
        heapq.heappush(ready, (rank, next(self._sequence), target))

    def _dispatch_one(self, target: request_target.Target, now: float) -> bool:
        queues = self._queues.of_target(target)
        order = self._state(target).order
        full_pools: set[tuple[frozenset[str], bool]] = set()
        for queue in order.ranked(queues, now):
            request = queue.head()
            if request is None:
                continue
            pool = self._index.pool(target, queue.request_class)
            urgent = self._is_urgent(queue)
            if (pool.names, urgent) in full_pools:
                continue
            choice = self._selection.choose(request, pool, urgent, now)
            if choice:
                guaranteed = order.due(queue, now)
                cost = self._queues.remove(queue, request)
                order.dispatched(queue, queues, now)
                self._start(queue, request, cost, choice, guaranteed, now)
                return True
            if not queue.request_class.preemptible and not request.tried:
                full_pools.add((pool.names, urgent))
        return False

    def _is_urgent(self, queue: class_queue.ClassQueue) -> bool:
        """Returns whether a queue's requests rely on the engines' priorities.

        The priorities help a class with a first-token target as long as most
        of the running requests are of lower tiers.
        """
        level = queue.request_class.service_level
        share_taken = self._admission.dispatch_mix.share_taken_by(queue)
        return level.first_token_s > 0.0 and share_taken < _MAX_URGENT_SHARE

    def _dispatch_isolated(self, now: float) -> None:
        for request, target in self.isolated.waiting():
            pool = self._index.pool(target, request.request_class)
            server = self.isolated.choose(request, pool, now)
            if server:
                self.isolated.remove(request, keep_reserved=True)
                queue = self._queues.queue(target, request.request_class)
                cost = self._outputs.cost(request)
                choice = server_selection.Choice(server, "alone")
                self._start(queue, request, cost, choice, True, now)

    def _start(
        self,
        queue: class_queue.ClassQueue,
        request: scheduler_api.PendingRequest,
        cost: float,
        choice: server_selection.Choice,
        guaranteed: bool,
        now: float,
    ) -> None:
        server = choice.server
        tokens = request.prompt_tokens + self._outputs.expected(request)
        queue.charge(request.customer, cost)
        self.running.add(
            running_requests.RunningRequest(
                request, server, queue, tokens, cost, now, guaranteed
            )
        )
        self._book.dispatched(server.name, now)
        self._index.change_own_requests(server.name, 1)
        self._affinity.record_server(request.prefix, server.name)
        self._admission.dispatch_mix.dispatched(
            queue.target, queue.request_class.tier
        )
        self._preemption.dispatched()
        self._on_decision(
            scheduler_api.Dispatched(
                request,
                server,
                choice.reason,
                choice.inputs,
                choice.prompt_source,
            )
        )

    def _preempt(self, target: request_target.Target, now: float) -> None:
        """Preempts a lower-tier request if the highest tier waits too long."""
        queues = (item for item in self._queues.of_target(target) if item)
        queue = next(iter(queues), None)
        if queue is None:
            return
        running = list(self.running.of_target(target))
        pending = sum(item.preempted for item in running)
        head = queue.head()
        wait_s = max(
            self._admission.expected_wait_s(queue, len(queue) - 1.0, now),
            now - head.arrived if head else 0.0,
        )
        allowed_s = self._admission.times.allowed_wait_s(queue)
        if pending >= len(queue) or wait_s < _PREEMPTION_WAIT_RATIO * allowed_s:
            return
        pool = self._index.pool(target, queue.request_class)
        tier = queue.request_class.tier
        chosen = self._preemption.choose(running, tier, pool)
        if chosen:
            self._on_decision(
                scheduler_api.Preempt(chosen.request, chosen.server)
            )
