"""Measures the processor time of one scheduling decision by fleet size.

A decision is one request's path through the scheduler: offer, poll, finish.
The table starts with the planned size and then varies one dimension at a
time. At the planned size the queue is filled first and never empties, since
decisions are most frequent under such load.
"""

import collections
import gc
import itertools
import random
import time
from typing import Final

import attrs

from figstream import backend_server
from figstream import configuration as configuration_lib
from figstream import customer as customer_lib
from figstream import request_class as request_class_lib
from figstream import scheduler
from figstream import scheduler_api

_DECISIONS: Final = 4000
_DECISION_INTERVAL_S: Final = 1.0 / 24.0
_REPORT: Final = scheduler_api.AttemptReport(
    scheduler_api.AttemptResult.ANSWERED, 100, 400, 0.2, 3.0
)


@attrs.frozen
class FleetSize:
    """Dimensions of the fleet that the scheduler of one daemon handles."""

    servers: int = 920
    customers: int = 700
    tiers: int = 5
    models: int = 10
    waiting: int = 300
    daemons_in_zone: int = 51


PLANNED: Final = FleetSize()
SIZES: Final = (
    PLANNED,
    attrs.evolve(PLANNED, servers=230),
    attrs.evolve(PLANNED, servers=3680),
    attrs.evolve(PLANNED, customers=70),
    attrs.evolve(PLANNED, customers=7000),
    attrs.evolve(PLANNED, waiting=30),
    attrs.evolve(PLANNED, waiting=3000),
    attrs.evolve(PLANNED, tiers=1),
    attrs.evolve(PLANNED, models=1),
    attrs.evolve(PLANNED, daemons_in_zone=3),
)


def make_configuration(size: FleetSize) -> configuration_lib.Configuration:
    """Creates a configuration of this size over eight availability zones."""
    return configuration_lib.Configuration(
        servers=tuple(
            backend_server.BackendServer(
                f"s{number}",
                "",
                f"z{number % 8}",
                models=(f"m{number // 8 % size.models}",),
                slots=16,
                reclaimable=number % 40 >= 32,
            )
            for number in range(size.servers)
        ),
        customers=tuple(
            customer_lib.Customer(
                f"c{number}",
                limits=customer_lib.CustomerLimits(1e6, 1e9, 10**6),
            )
            for number in range(size.customers)
        ),
        classes=tuple(
            request_class_lib.RequestClass(
                f"class{tier}",
                tier=tier,
                preemptible=tier >= 3,
                queue_limit=10**6,
                queue_bytes=10**12,
                service_level=request_class_lib.ServiceLevel(
                    first_token_s=5000.0 if tier < 2 else 0.0,
                    deadline_s=10000.0,
                ),
            )
            for tier in range(size.tiers)
        ),
    )


class _Driver:
    """Runs requests through one scheduler as fast as possible."""

    def __init__(self, size: FleetSize) -> None:
        self._rng = random.Random(5)
        self._configuration = make_configuration(size)
        self._models = size.models
        self._scheduler = scheduler.make_scheduler("z0", seed=1)
        self._scheduler.set_configuration(self._configuration)
        self._scheduler.set_live_daemons(
            size.daemons_in_zone, size.daemons_in_zone * 8
        )
        self._running: collections.deque[scheduler_api.Dispatched]
        self._running = collections.deque()
        self._ids = itertools.count()
        self.now = 0.0

    def make_request(self) -> scheduler_api.PendingRequest:
        """Creates a request of a random customer, class and model."""
        return scheduler_api.PendingRequest(
            request_id=str(next(self._ids)),
            customer=self._rng.choice(self._configuration.customers).name,
            request_class=self._rng.choice(self._configuration.classes),
            arrived=self.now,
            deadline=self.now + 10000.0,
            model=f"m{self._rng.randrange(self._models)}",
            prompt_tokens=400,
            body_bytes=1600,
            prefix=self._rng.randrange(1, 5000),
        )

    def report(self) -> None:
        """Reports a random load of every server of the zone."""
        for server in self._configuration.servers[::8]:
            self._scheduler.report_load(
                scheduler_api.ServerLoad(
                    server.name, self._rng.randrange(8), 0, self.now
                )
            )

    def offer(self, request: scheduler_api.PendingRequest) -> None:
        """Offers one request, polls and records the dispatched requests."""
        self._scheduler.offer(request, self.now)
        for item in self._scheduler.poll(self.now):
            if isinstance(item, scheduler_api.Dispatched):
                self._running.append(item)

    def finish(self) -> None:
        """Reports the oldest running request as answered."""
        if self._running:
            item = self._running.popleft()
            self._scheduler.finish(item.request, item.server, _REPORT, self.now)


def measure_us(size: FleetSize) -> float:
    """Returns microseconds of processor time for each decision."""
    driver = _Driver(size)
    for _ in range(size.waiting + 40):
        driver.offer(driver.make_request())
    requests = [driver.make_request() for _ in range(_DECISIONS)]
    spent = 0.0
    gc.disable()
    for number, request in enumerate(requests):
        driver.now += _DECISION_INTERVAL_S
        if number % 24 == 0:
            driver.report()
        request.arrived = driver.now
        request.deadline = driver.now + 10000.0
        started = time.process_time()
        driver.finish()
        driver.offer(request)
        spent += time.process_time() - started
    gc.enable()
    return spent / _DECISIONS * 1e6


def main() -> None:
    """Prints the time per decision for each size."""
    print("servers customers tiers models waiting daemons  us/decision")
    for size in SIZES:
        print(
            f"{size.servers:7d} {size.customers:9d} {size.tiers:5d} "
            f"{size.models:6d} {size.waiting:7d} {size.daemons_in_zone:7d} "
            f"{measure_us(size):12.1f}"
        )
