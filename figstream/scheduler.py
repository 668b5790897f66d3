"""The scheduler of one daemon: queues, limits and the choice of servers."""

import collections
from collections.abc import Iterable

from figstream import backend_server
from figstream import configuration as configuration_lib
from figstream import errors
from figstream import reasons
from figstream import scheduler_api

_POLL_INTERVAL_S = 0.25


class Scheduler:
    """First come, first served; the server with the fewest of our requests."""

    def __init__(self, zone: str) -> None:
        """Prefers servers of the given availability zone."""
        self._zone = zone
        self._configuration = configuration_lib.Configuration()
        self._leaving: frozenset[str] = frozenset()
        self._queue: list[scheduler_api.PendingRequest] = []
        self._running: collections.Counter[str] = collections.Counter()

    def set_configuration(
        self, configuration: configuration_lib.Configuration
    ) -> None:
        """Takes a new configuration into force."""
        self._configuration = configuration

    def set_live_daemons(self, in_zone: int, in_fleet: int) -> None:
        """Takes note of how many daemons share servers and limits."""

    def set_leaving(self, servers: frozenset[str]) -> None:
        """Takes note of servers that the platform is taking back."""
        self._leaving = servers

    def offer(
        self, request: scheduler_api.PendingRequest, now: float
    ) -> errors.Refusal | None:
        """Queues a request, or refuses it at once."""
        if len(self._queue) >= request.request_class.queue_limit:
            return errors.Refusal(reasons.RefusalReason.QUEUE_COUNT_FULL)
        self._queue.append(request)
        return None

    def poll(self, now: float) -> Iterable[scheduler_api.Decision]:
        """Returns the decisions that are due."""
        for request in list(self._queue):
            if request.deadline <= now:
                self._queue.remove(request)
                refusal = errors.Refusal(reasons.RefusalReason.DEADLINE_PASSED)
                yield scheduler_api.Dropped(request, refusal)
                continue
            server = self._choose(request)
            if server:
                self._queue.remove(request)
                self._running[server.name] += 1
                yield scheduler_api.Dispatched(request, server, "fewest")

    def next_poll_at(self, now: float) -> float:
        """Returns when to poll next if nothing else happens."""
        return now + _POLL_INTERVAL_S

    def withdraw(
        self, request: scheduler_api.PendingRequest, now: float
    ) -> None:
        """Removes a queued request whose caller went away."""
        if request in self._queue:
            self._queue.remove(request)

    def finish(
        self,
        request: scheduler_api.PendingRequest,
        server: backend_server.BackendServer,
        report: scheduler_api.AttemptReport,
        now: float,
    ) -> None:
        """Takes note that an attempt ended."""
        self._running[server.name] -= 1

    def report_load(self, load: scheduler_api.ServerLoad) -> None:
        """Takes note of a load report."""

    def _choose(
        self, request: scheduler_api.PendingRequest
    ) -> backend_server.BackendServer | None:
        able = [
            item
            for item in self._configuration.servers
            if self._running[item.name] < item.slots
            and item.state is backend_server.ServerState.ACTIVE
            and item.name not in self._leaving
            and item.name not in request.tried
            and _serves(item, request)
        ]
        return min(
            able,
            key=lambda item: (
                item.zone != self._zone,
                self._running[item.name],
            ),
            default=None,
        )


def _serves(
    server: backend_server.BackendServer,
    request: scheduler_api.PendingRequest,
) -> bool:
    name = request.request_class.name
    if server.classes and name not in server.classes:
        return False
    if request.service:
        return server.service == request.service
    return request.model in server.models


def make_scheduler(zone: str) -> scheduler_api.Scheduler:
    """Creates the scheduler that `figstream serve` runs."""
    return Scheduler(zone)
