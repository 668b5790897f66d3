"""Naive schedulers that the benchmarks compare ours with.

Requests are served first come, first served from a bounded queue. The server
is chosen at random or by the least load in its last report, among servers
where this daemon's own running requests leave a slot free.
"""

import collections
from collections.abc import Iterable
import random

from figstream import backend_server
from figstream import configuration as configuration_lib
from figstream import errors
from figstream import reasons
from figstream import request_target
from figstream import scheduler_api

_Reason = reasons.RefusalReason


class NaiveScheduler:
    """Schedules requests first come, first served."""

    def __init__(self, seed: int, by_report: bool) -> None:
        """Initializes the scheduler.

        Args:
          seed: seed of the random choice.
          by_report: whether to choose servers by load report, not at random.
        """
        self._random = random.Random(seed)
        self._by_report = by_report
        self._configuration = configuration_lib.Configuration()
        self._leaving: frozenset[str] = frozenset()
        self._queue: collections.OrderedDict[
            str, scheduler_api.PendingRequest
        ] = collections.OrderedDict()
        self._running: collections.Counter[str] = collections.Counter()
        self._reported: dict[str, int] = {}

    def set_configuration(
        self, configuration: configuration_lib.Configuration
    ) -> None:
        """Activates a new configuration."""
        self._configuration = configuration

    def set_live_daemons(
        self, in_zone: int, in_fleet: int, rank: int = 0
    ) -> None:
        """Ignores the numbers of daemons; each uses all slots of a server."""

    def set_leaving(self, servers: frozenset[str]) -> None:
        """Stores the servers that the platform is reclaiming."""
        self._leaving = servers

    def pause_server(self, server: str, until: float) -> None:
        """Ignores the pauses that servers ask for."""

    def limit_server(
        self, server: str, per_s: float | None, epoch: float
    ) -> None:
        """Ignores the limit, since simulated servers name none."""

    def set_cold(
        self, server: str, per_s: float, epoch: float, now: float, until: float
    ) -> None:
        """Ignores the limit, since simulated servers are warm."""

    def set_refusal_limit(
        self,
        service: str,
        refusals_per_s: float | None,
        sent_at: float,
        epoch: float,
    ) -> bool:
        """Ignores the limit, since simulated servers name none."""
        return False

    def offer(
        self, request: scheduler_api.PendingRequest, now: float
    ) -> errors.Refusal | None:
        """Queues a request, or refuses it if the queue is full."""
        if len(self._queue) >= request.request_class.queue_limit:
            return errors.Refusal(_Reason.QUEUE_COUNT_FULL)
        self._queue[request.request_id] = request
        return None

    def poll(self, now: float) -> Iterable[scheduler_api.Decision]:
        """Returns drops of expired requests and dispatches to free servers."""
        decisions: list[scheduler_api.Decision] = []
        for request in list(self._queue.values()):
            if request.deadline <= now:
                del self._queue[request.request_id]
                refusal = errors.Refusal(_Reason.DEADLINE_PASSED)
                decisions.append(scheduler_api.Dropped(request, refusal))
                continue
            server = self._choose(request)
            if server is None:
                break
            del self._queue[request.request_id]
            self._running[server.name] += 1
            decisions.append(scheduler_api.Dispatched(request, server, "naive"))
        return decisions

    def next_poll_at(self, now: float) -> float:
        """Returns the time of the next poll if no event comes before."""
        return now + 0.05

    def withdraw(
        self, request: scheduler_api.PendingRequest, now: float
    ) -> None:
        """Removes a queued request whose caller disconnected."""
        self._queue.pop(request.request_id, None)

    def finish(
        self,
        request: scheduler_api.PendingRequest,
        server: backend_server.BackendServer,
        report: scheduler_api.AttemptReport,
        now: float,
    ) -> None:
        """Frees the slot of an attempt that ended."""
        self._running[server.name] -= 1

    def utilization(self, servers: frozenset[str], now: float) -> float:
        """Returns 0, since the benchmarks order no servers."""
        return 0.0

    def demand(self) -> Iterable[scheduler_api.ClassDemand]:
        """Returns no demand, since the benchmarks order no servers."""
        return ()

    def report_load(self, load: scheduler_api.ServerLoad) -> None:
        """Stores the load of a server's last report."""
        self._reported[load.server] = load.running + load.waiting

    def _choose(
        self, request: scheduler_api.PendingRequest
    ) -> backend_server.BackendServer | None:
        target = request_target.target_of(request)
        candidates = [
            item
            for item in self._configuration.servers
            if self._running[item.name] < item.slots
            and item.name not in self._leaving
            and item.name not in request.tried
            and target.served_by(item)
        ]
        if not candidates:
            return None
        if self._by_report:
            return min(
                candidates, key=lambda item: self._reported.get(item.name, 0)
            )
        return self._random.choice(candidates)
