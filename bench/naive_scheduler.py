"""The naive versions that the benchmarks compare with.

First come, first served, with a bound on the number waiting. The server is
either a random one or the one with the least load by its last report, as long
as this daemon's own requests there don't exceed its slots.
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

_R = reasons.RefusalReason


class NaiveScheduler:
    """First come, first served."""

    def __init__(self, seed: int, by_report: bool) -> None:
        """Chooses by load report, or at random."""
        self._random = random.Random(seed)
        self._by_report = by_report
        self._configuration = configuration_lib.Configuration()
        self._leaving: frozenset[str] = frozenset()
        self._queue: collections.OrderedDict[
            str, scheduler_api.PendingRequest
        ] = collections.OrderedDict()
        self._own: collections.Counter[str] = collections.Counter()
        self._reported: dict[str, int] = {}

    def set_configuration(
        self, configuration: configuration_lib.Configuration
    ) -> None:
        """Takes a new configuration into force."""
        self._configuration = configuration

    def set_live_daemons(self, in_zone: int, in_fleet: int) -> None:
        """Ignores the other daemons."""

    def set_leaving(self, servers: frozenset[str]) -> None:
        """Takes note of servers that the platform is taking back."""
        self._leaving = servers

    def offer(
        self, request: scheduler_api.PendingRequest, now: float
    ) -> errors.Refusal | None:
        """Queues a request, or refuses it if the queue is full."""
        if len(self._queue) >= request.request_class.queue_limit:
            return errors.Refusal(_R.QUEUE_COUNT_FULL)
        self._queue[request.request_id] = request
        return None

    def poll(self, now: float) -> Iterable[scheduler_api.Decision]:
        """Returns the decisions that are due."""
        decisions: list[scheduler_api.Decision] = []
        for request in list(self._queue.values()):
            if request.deadline <= now:
                del self._queue[request.request_id]
                refusal = errors.Refusal(_R.DEADLINE_PASSED)
                decisions.append(scheduler_api.Dropped(request, refusal))
                continue
            server = self._choose(request)
            if server is None:
                break
            del self._queue[request.request_id]
            self._own[server.name] += 1
            decisions.append(scheduler_api.Dispatched(request, server, "naive"))
        return decisions

    def next_poll_at(self, now: float) -> float:
        """Returns when to poll next if nothing else happens."""
        return now + 0.05

    def withdraw(
        self, request: scheduler_api.PendingRequest, now: float
    ) -> None:
        """Removes a queued request whose caller went away."""
        self._queue.pop(request.request_id, None)

    def finish(
        self,
        request: scheduler_api.PendingRequest,
        server: backend_server.BackendServer,
        report: scheduler_api.AttemptReport,
        now: float,
    ) -> None:
        """Takes note that an attempt ended."""
        self._own[server.name] -= 1

    def utilization(self, servers: frozenset[str], now: float) -> float:
        """Returns 0, since nothing is scaled by it."""
        return 0.0

    def demand(self) -> Iterable[scheduler_api.ClassDemand]:
        """Returns no demand; nothing orders servers here."""
        return ()

    def report_load(self, load: scheduler_api.ServerLoad) -> None:
        """Keeps the last report."""
        self._reported[load.server] = load.running + load.waiting

    def _choose(
        self, request: scheduler_api.PendingRequest
    ) -> backend_server.BackendServer | None:
        target = request_target.target_of(request)
        able = [
            item
            for item in self._configuration.servers
            if self._own[item.name] < item.slots
            and item.name not in self._leaving
            and item.name not in request.tried
            and target.served_by(item)
        ]
        if not able:
            return None
        if self._by_report:
            return min(able, key=lambda item: self._reported.get(item.name, 0))
        return self._random.choice(able)
