"""The scheduler of one daemon: limits, queues and the choice of servers.

The request path calls the scheduler through the dispatch gate. A request is
checked against the customer's limits, waits in the queue of its class and
target, and is dispatched to a backend server in the order given by tiers,
guaranteed shares and fairness among customers. Each rule has its own module;
the scheduler does no input or output and takes the time as an argument.
"""

from collections.abc import Callable
from collections.abc import Iterable
import random
from typing import Final

from figstream import admission
from figstream import backend_server
from figstream import configuration as configuration_lib
from figstream import cost_estimate
from figstream import dispatcher
from figstream import errors
from figstream import paused_pool
from figstream import prefix_affinity
from figstream import rate_limit
from figstream import reasons
from figstream import refusals
from figstream import request_target
from figstream import running_requests
from figstream import scheduler_api
from figstream import scheduler_demand
from figstream import server_load
from figstream import server_pool
from figstream import server_selection
from figstream import slot_plan
from figstream import straggler_api
from figstream import straggler_detection
from figstream import waiting_bounds
from figstream import waiting_queues

# Poll interval while requests wait, a fraction of the shortest first-token
# target.
_BUSY_POLL_INTERVAL_S: Final = 0.05
# Poll interval while no request waits.
_IDLE_POLL_INTERVAL_S: Final = 1.0
# A server restarts in about that time.
_NO_SERVER_RETRY_AFTER_S: Final = 2.0
# Shorter answers give no meaningful time per token.
_MIN_PACE_TOKENS: Final = 4

_Result = scheduler_api.AttemptResult


class Scheduler:
    """Queues requests and decides when and where they run."""

    def __init__(
        self,
        index: server_pool.PoolIndex,
        book: server_load.LoadBook,
        affinity: prefix_affinity.PrefixAffinity,
        selection: server_selection.ServerSelection,
        detector: straggler_api.StragglerDetector,
    ) -> None:
        """Creates the parts; daemons use `make_scheduler` instead."""
        self._index = index
        self._book = book
        self._selection = selection
        self._detector = detector
        self._configuration = configuration_lib.Configuration()
        self._daemons_in_zone = 1
        self._now = 0.0
        self._decisions: list[scheduler_api.Decision] = []
        self._queues = waiting_queues.WaitingQueues(self._weight)
        self._limits = rate_limit.CustomerLimits()
        self._paused_pools = paused_pool.PausedPools(book, random.Random())
        self._outputs = cost_estimate.OutputEstimates()
        self._admission = admission.Admission(
            self._queues, index, selection, self._outputs
        )
        self._bounds = waiting_bounds.WaitingBounds(
            self._queues, index, self._admission, self._drop
        )
        self._dispatcher = dispatcher.Dispatcher(
            self._queues,
            index,
            book,
            affinity,
            selection,
            self._outputs,
            self._admission,
            self._add_decision,
        )

    def set_configuration(
        self, configuration: configuration_lib.Configuration
    ) -> None:
        """Applies a new configuration."""
        self._configuration = configuration
        self._index.set_configuration(configuration)
        self._selection.set_configuration(configuration)
        self._limits.set_customers(configuration.customers, self._now)
        self._book.refusals.set_servers(configuration.servers)
        self._book.evict_except(frozenset(configuration.servers_by_name))
        self._dispatcher.unblock_all()

    def set_live_daemons(
        self, in_zone: int, in_fleet: int, rank: int = 0
    ) -> None:
        """Applies the numbers of daemons that share servers and limits."""
        self._daemons_in_zone = in_zone
        self._index.set_live_daemons(in_zone, in_fleet)
        self._limits.set_live_daemons(in_fleet, self._now)
        self._dispatcher.set_live_daemons(in_zone)
        self._book.limits.set_place(rank, in_fleet)
        self._book.cold.set_place(rank, in_fleet)
        self._book.refusals.set_place(rank, in_fleet)

    def set_leaving(self, servers: frozenset[str]) -> None:
        """Excludes the servers that the platform is reclaiming."""
        if self._index.set_leaving(servers):
            self._dispatcher.unblock_all()

    def pause_server(self, server: str, until: float) -> None:
        """Sends no requests to a server, at its own request, until a time."""
        self._book.pause(server, until, self._now)
        self._dispatcher.unblock_all()

    def limit_server(
        self, server: str, per_s: float | None, epoch: float
    ) -> None:
        """Shares the requests that a server takes with the other daemons."""
        if per_s is None:
            self._book.limits.remove_limit(server)
            self._dispatcher.unblock_all()
        else:
            self._book.limits.set_limit(server, per_s, epoch, self._now)

    def set_cold(
        self, server: str, per_s: float, epoch: float, now: float, until: float
    ) -> None:
        """Shares the few requests that a cold server bears."""
        self._book.cold.end_limits(now)
        self._book.cold.set_limit(server, per_s, epoch, now, until)

    def set_refusal_limit(
        self,
        service: str,
        refusals_per_s: float | None,
        sent_at: float,
        epoch: float,
    ) -> bool:
        """Applies the refusals above which servers crash."""
        changed = self._book.refusals.apply_limit(
            service, refusals_per_s, sent_at, epoch
        )
        if changed:
            self._dispatcher.unblock_all()
        return changed

    def offer(
        self, request: scheduler_api.PendingRequest, now: float
    ) -> errors.Refusal | None:
        """Queues a request, or returns its refusal."""
        self._now = now
        target = request_target.target_of(request)
        pool = self._index.pool(target, request.request_class)
        if not pool.groups:
            reason = reasons.RefusalReason.NO_BACKEND_SERVER
            return refusals.make_refusal(
                request, reason, _NO_SERVER_RETRY_AFTER_S
            )
        refusal = self._paused_pools.refusal(request, pool, now)
        if refusal:
            return refusal
        output_tokens = self._outputs.expected(request)
        refusal = self._admit(request, output_tokens, now)
        if refusal:
            return refusal
        if request.alone:
            self._dispatcher.isolated.add(request, target)
            return None
        cost = cost_estimate.cost_of(request.prompt_tokens, output_tokens)
        refusal = self._bounds.enqueue(request, target, cost, now)
        if refusal:
            self._release(request)
            return refusal
        if self._queues.is_only(request, target):
            self._dispatcher.unblock_target(target)
        return None

    def poll(self, now: float) -> Iterable[scheduler_api.Decision]:
        """Returns the decisions that are due."""
        self._now = now
        self._bounds.enforce_bounds(now)
        for request in self._dispatcher.isolated.overdue(now):
            reason = reasons.RefusalReason.DEADLINE_PASSED
            refusal = refusals.make_refusal(request, reason, None)
            self._drop(scheduler_api.Dropped(request, refusal))
        self._dispatcher.dispatch(now)
        decisions = list(self._decisions)
        self._decisions.clear()
        return decisions

    def next_poll_at(self, now: float) -> float:
        """Returns the time of the next poll if no other event causes one."""
        if self._decisions:
            return now
        waiting = (
            any(self._queues.targets) or len(self._dispatcher.isolated) > 0
        )
        return now + (
            _BUSY_POLL_INTERVAL_S if waiting else _IDLE_POLL_INTERVAL_S
        )

    def withdraw(
        self, request: scheduler_api.PendingRequest, now: float
    ) -> None:
        """Removes a queued request whose caller has disconnected."""
        self._now = now
        waited = self._dispatcher.isolated.remove(request)
        if waited or self._bounds.withdraw(request):
            self._release(request)

    def finish(
        self,
        request: scheduler_api.PendingRequest,
        server: backend_server.BackendServer,
        report: scheduler_api.AttemptReport,
        now: float,
    ) -> None:
        """Records the end of an attempt."""
        self._now = now
        item = self._dispatcher.running.pop(request)
        if item is None:
            return
        self._book.finished(server.name, report.result, now)
        if report.result is _Result.REFUSED:
            own_requests = self._book.state(server.name).own_requests
            self._book.refusals.refused(server, own_requests, now)
        self._index.change_own_requests(server.name, -1)
        state = self._book.state(server.name)
        if state.reserved_for == request.request_id:
            state.reserved_for = ""
        self._settle(item, report)
        if report.result is _Result.ANSWERED:
            self._record_answer(item, report, now)
        self._dispatcher.unblock_server(server)

    def report_load(self, load: scheduler_api.ServerLoad) -> None:
        """Records a load report of a backend server."""
        self._book.report(load)

    def utilization(self, servers: frozenset[str], now: float) -> float:
        """Returns the ratio of requests at the servers to their slots."""
        known = [
            item for item in self._configuration.servers if item.name in servers
        ]
        requests = sum(
            self._book.estimate(
                item.name, 1, self._book.confidence(item.name, now)
            )
            for item in known
        )
        return requests / max(1, sum(item.slots for item in known))

    def demand(self) -> Iterable[scheduler_api.ClassDemand]:
        """Returns the demand for each model by class."""
        return scheduler_demand.summarize(
            self._queues, self._dispatcher.running
        )

    def _weight(self, customer: str) -> float:
        known = self._configuration.customers_by_name.get(customer)
        return known.weight if known else 1.0

    def _add_decision(self, decision: scheduler_api.Decision) -> None:
        self._decisions.append(decision)

    def _drop(self, dropped: scheduler_api.Dropped) -> None:
        self._release(dropped.request)
        self._decisions.append(dropped)

    def _release(self, request: scheduler_api.PendingRequest) -> None:
        tokens = request.prompt_tokens + self._outputs.expected(request)
        self._limits.release(request.customer, tokens)

    def _admit(
        self,
        request: scheduler_api.PendingRequest,
        output_tokens: float,
        now: float,
    ) -> errors.Refusal | None:
        tokens = request.prompt_tokens + output_tokens
        if request.attempt:
            self._limits.resume(request.customer, tokens)
            return None
        return self._limits.admit(request.customer, tokens, now)

    def _settle(
        self,
        item: running_requests.RunningRequest,
        report: scheduler_api.AttemptReport,
    ) -> None:
        """Replaces the expected cost by the actual one."""
        request = item.request
        counted = report.result in (_Result.ANSWERED, _Result.CANCELLED)
        prompt = report.prompt_tokens or request.prompt_tokens
        tokens = prompt + report.output_tokens if counted else 0
        cost = cost_estimate.cost_of(prompt, report.output_tokens)
        actual = cost if counted else 0.0
        item.queue.charge(request.customer, actual - item.charged_cost)
        self._limits.release(request.customer, item.expected_tokens - tokens)

    def _record_answer(
        self,
        item: running_requests.RunningRequest,
        report: scheduler_api.AttemptReport,
        now: float,
    ) -> None:
        queue, name = item.queue, item.server.name
        self._outputs.observe(item.request, report.output_tokens)
        self._selection.answered(item.request, report)
        self._admission.times.observe(
            queue.target, queue.request_class.name, report
        )
        seconds = _pace_s(queue.target, report)
        if seconds is None:
            return
        pool = queue.target.service or queue.target.model
        confidence = self._book.confidence(name, now)
        batch = (
            int(self._book.estimate(name, self._daemons_in_zone, confidence))
            + 1
        )
        self._detector.observe(name, pool, seconds, batch, now)
        self._book.stragglers = self._detector.stragglers()


def _pace_s(
    target: request_target.Target, report: scheduler_api.AttemptReport
) -> float | None:
    """Returns seconds per output token, or per call of a plain service.

    Returns None if the answer is too short.
    """
    if target.service:
        return report.total_s
    if report.output_tokens < _MIN_PACE_TOKENS:
        return None
    return (report.total_s - report.first_byte_s) / (report.output_tokens - 1)


def make_scheduler(
    zone: str,
    seed: int | None = None,
    plan: slot_plan.SlotPlan | None = None,
) -> scheduler_api.Scheduler:
    """Creates the scheduler that `figstream serve` runs.

    Args:
      zone: availability zone of the daemon.
      seed: makes the choices reproducible; without a seed they differ by
        daemon.
      plan: rule for sharing slots among daemons; by default equal shares of
        a subset of the servers.
    """
    if seed is None:
        seed = random.SystemRandom().getrandbits(64)
    chosen = plan or slot_plan.SubsetShares(f"{zone}/{seed}")
    return make_scheduler_with(
        zone,
        lambda book, affinity: server_selection.make_selection(
            book, affinity, chosen, seed
        ),
    )


def make_scheduler_with(
    zone: str,
    make_selection: Callable[
        [server_load.LoadBook, prefix_affinity.PrefixAffinity],
        server_selection.ServerSelection,
    ],
) -> scheduler_api.Scheduler:
    """Creates a scheduler with the given server selection."""
    book = server_load.LoadBook()
    affinity = prefix_affinity.PrefixAffinity()
    selection = make_selection(book, affinity)
    index = server_pool.PoolIndex(zone)
    detector = straggler_detection.make_straggler_detector()
    return Scheduler(index, book, affinity, selection, detector)
