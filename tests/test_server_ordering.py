"""Tests of the orders of a zone.

Orders are recorded before they are sent, resent after a crash, and take effect
only once.
"""

import collections
from collections.abc import Callable
from collections.abc import Sequence
import itertools
import json

import anyio
import attrs
import hypothesis
from hypothesis import strategies
import pytest

from figstream import capacity_policy
from figstream import clock as clock_lib
from figstream import demand
from figstream import lease
from figstream import lease_store
from figstream import leaving_servers
from figstream import membership
from figstream import platform_api
from figstream import platform_memory
from figstream import server_ordering
from tests import lease_parts

_LAG_S = 20.0
_PERMANENT = demand.DemandKey("m", 0, False)
_PREEMPTIBLE = demand.DemandKey("m", 2, True)


class _Orders(platform_memory.MemoryServerOrders):
    """Checks that each order was recorded; loses requests or answers.

    Its list of servers lags by `_LAG_S`.
    """

    def __init__(
        self,
        objects: platform_memory.MemoryObjectStore,
        clock: clock_lib.Clock,
    ) -> None:
        super().__init__(checks_fencing=False)
        self.objects = objects
        self._clock = clock
        self._seen_at: dict[str, float] = {}
        self.lose: str = ""
        self.sent: list[platform_api.ServerOrder] = []

    async def send(
        self,
        order: platform_api.ServerOrder,
        allowed: Callable[[], bool] = platform_api.always_allowed,
    ) -> platform_api.OrderOutcome:
        # Reads the object directly, unaffected by faults of the object API.
        found = self.objects._objects[lease_store.PREFIX + "orders/a"]
        record = json.loads(found.body)
        assert order.order_id in record["state"]
        assert order.fencing == record["fencing"]
        if self.lose == "request":
            return platform_api.Unknown("lost")
        self.sent.append(order)
        outcome = await super().send(order, allowed)
        for name, item in self.servers.items():
            self.servers[name] = attrs.evolve(item, url=f"http://{name}")
        if self.lose == "answer":
            return platform_api.Unknown("lost")
        return outcome

    async def list_servers(
        self, zone: str
    ) -> Sequence[platform_api.OrderedServer] | platform_api.Unavailable:
        found = await super().list_servers(zone)
        assert not isinstance(found, platform_api.Unavailable)
        now = self._clock.now()
        for item in found:
            self._seen_at.setdefault(item.name, now)
        return [x for x in found if now - self._seen_at[x.name] >= _LAG_S]


class _Zone:
    """A zone with its platform and one daemon that can be restarted."""

    def __init__(self) -> None:
        self.clock = clock_lib.ManualClock()
        self.platform = platform_memory.MemoryPlatform()
        self.orders = _Orders(self.platform.objects, self.clock)
        self.platform.orders = self.orders
        self.requested: demand.Demand = collections.Counter()
        self._starts = itertools.count(1)
        self.restart()

    def restart(self) -> None:
        """Replaces the daemon; its state in memory is lost."""
        self.context = lease_parts.make_context(
            "x", next(self._starts), self.platform.interfaces(), self.clock
        )
        members = membership.make_membership(self.context, "x:1")
        self.zone_demand = demand.ZoneDemand(self.clock)
        self.lease = lease.make_lease("orders/a", "a", self.context, members)
        leaving = leaving_servers.LeavingServers(
            self.context.scheduler, members.notices, self.clock
        )
        self.ordering = server_ordering.make_server_ordering(
            self.context, self.lease, self.zone_demand, leaving
        )

    async def run(self, seconds: float) -> None:
        for _ in range(round(seconds / 2)):
            self.clock.advance(2.0)
            self.zone_demand.put("x", self.requested)
            await self.lease.step()
            if self.lease.fencing() is not None:
                await self.ordering.round()
            assert len(self.orders.servers) <= len(
                {item.order_id for item in self.orders.sent}
            )

    def count(self, *, reclaimable: bool) -> int:
        return sum(
            item.reclaimable is reclaimable
            for item in self.orders.servers.values()
        )


@pytest.mark.anyio
async def test_demand_gets_servers_and_idle_ones_go_back_after_a_while() -> (
    None
):
    # Fails if `_starts` or `_surplus_servers` yields nothing, or if no server
    # is drained.
    zone = _Zone()
    zone.requested = collections.Counter({_PERMANENT: 20, _PREEMPTIBLE: 40})
    await zone.run(60)
    assert zone.count(reclaimable=False) == 2  # 20 plus a quarter: 25 slots.
    assert zone.count(reclaimable=True) == 3  # 65 in total: 5 servers.
    zone.requested = collections.Counter({_PERMANENT: 6})
    await zone.run(capacity_policy.IDLE_S - 60)
    assert len(zone.orders.servers) == 5
    await zone.run(3000)
    assert zone.count(reclaimable=False) == 1
    assert zone.count(reclaimable=True) == 0
    stops = [
        item
        for item in zone.orders.sent
        if item.kind is platform_api.OrderKind.STOP
    ]
    assert len(stops) == 4


@pytest.mark.anyio
async def test_refused_starts_back_off_and_reclaimed_servers_are_replaced() -> (
    None
):
    # Fails without `none_available`: an order would be sent in every round.
    zone = _Zone()
    zone.requested = collections.Counter({_PERMANENT: 10, _PREEMPTIBLE: 30})
    await zone.run(60)
    initial_count = zone.count(reclaimable=True)
    assert initial_count > 0
    zone.orders.none_available = {("a", True)}
    zone.orders.reclaim("a")
    before = len(zone.orders.sent)
    await zone.run(1200)
    tried = len(zone.orders.sent) - before
    assert 3 <= tried <= 40 * capacity_policy.MAX_STARTS_PER_ROUND
    assert zone.count(reclaimable=False) == 1
    zone.orders.none_available = set()
    await zone.run(400)
    assert zone.count(reclaimable=True) == initial_count


@pytest.mark.anyio
async def test_orders_that_cannot_be_recorded_are_not_sent() -> None:
    # Fails if orders are sent before `record` or regardless of its result.
    zone = _Zone()
    await zone.run(10)
    zone.requested = collections.Counter({_PERMANENT: 20})
    zone.platform.objects.faults.lose_requests = 1000
    await zone.run(60)
    assert zone.orders.sent == []
    zone.platform.objects.faults.lose_requests = 0
    await zone.run(60)
    assert zone.orders.sent


@pytest.mark.anyio
async def test_weight_store_is_asked_and_waited_for() -> None:
    # Fails if `_may_load` ignores the wait time of the weight store.
    zone = _Zone()
    zone.platform.weights.wait_s = 30.0
    zone.requested = collections.Counter({_PERMANENT: 60})
    await zone.run(100)
    assert zone.orders.sent == []
    assert len(zone.platform.weights.reserved) <= 4
    zone.platform.weights.wait_s = 0.0
    await zone.run(60)
    assert zone.count(reclaimable=False) == 5


@hypothesis.settings(max_examples=60, deadline=None, derandomize=True)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(
                ["request", "answer", "", "restart", "down", "up", "lease"]
            ),
            strategies.integers(1, 10),
        ),
        max_size=25,
    )
)
def test_each_order_takes_effect_once_whoever_crashes(
    steps: list[tuple[str, int]],
) -> None:
    # Fails if a new lease holder gives recorded orders new ids or discards
    # them: more servers would run than the demand requires.

    async def play() -> None:
        zone = _Zone()
        zone.requested = collections.Counter({_PERMANENT: 20})
        for fault, rounds in steps:
            if fault == "restart":
                zone.restart()
            elif fault in {"down", "up"}:
                zone.platform.objects.faults.down = fault == "down"
            elif fault == "lease":
                zone.platform.objects.faults.lose_answers += 1
            else:
                zone.orders.lose = fault
            await zone.run(2 * rounds)
            assert len(zone.orders.servers) <= 2
        zone.platform.objects.faults.down = False
        zone.platform.objects.faults.lose_answers = 0
        zone.orders.lose = ""
        await zone.run(60)
        assert len(zone.orders.servers) == 2

    anyio.run(play)


@pytest.mark.anyio
async def test_leaving_and_draining_servers_reach_the_scheduler(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Fails if `announce` is not called in a round.
    zone = _Zone()
    zone.requested = collections.Counter({_PREEMPTIBLE: 30})
    await zone.run(60)
    notified: list[frozenset[str]] = []
    monkeypatch.setattr(zone.context.scheduler, "set_leaving", notified.append)
    for name, item in zone.orders.servers.items():
        zone.orders.servers[name] = attrs.evolve(item, leaving=True)
    names = frozenset(zone.orders.servers)
    zone.orders.none_available = {("a", True), ("a", False)}
    await zone.run(4)
    assert notified[0] == names
