"""Tests of `scaling_plan` and `scaling_orders`."""

from collections.abc import Callable

import attrs
import pytest

from figstream import backend_server
from figstream import clock as clock_lib
from figstream import gateway_route
from figstream import platform_api
from figstream import platform_memory
from figstream import scaling_orders
from figstream import scaling_plan
from tests import gateway_front
from tests import lease_parts

_LIMITS = gateway_route.ScalingLimits(1, 9, 4.0, 0.15, {})
_Servers = scaling_plan.ZoneServers


def _target(zone: str, reclaimable: bool) -> scaling_plan.ScalingTarget:
    return scaling_plan.ScalingTarget("llm", zone, reclaimable)


def test_zone_gets_minimum_of_permanent_and_other_reclaimable_servers() -> None:
    plan = scaling_plan.ScalingPlan("llm", {"a": 3, "b": 3, "c": 0})
    wanted = plan.wanted(
        _LIMITS, {"a": _Servers(3, 0), "b": _Servers(3, 0)}, 0.0
    )
    assert wanted[_target("a", False)] == 1
    assert wanted[_target("a", True)] == 6
    assert wanted[_target("c", True)] == 0


def test_zone_out_of_capacity_is_replaced_by_others_until_it_recovers() -> None:
    plan = scaling_plan.ScalingPlan("llm", {"a": 3, "b": 3, "c": 3})
    servers = {"a": _Servers(1, 0), "b": _Servers(1, 6), "c": _Servers(1, 6)}
    plan.none_available("a", 10.0)
    wanted = plan.wanted(_LIMITS, servers, 10.5)
    assert [wanted[_target(zone, True)] for zone in "abc"] == [0, 8, 8]
    later = plan.wanted(_LIMITS, servers, 13.0)
    assert [later[_target(zone, True)] for zone in "abc"] == [6, 6, 6]


def test_what_an_emptied_zone_ran_is_ordered_elsewhere() -> None:
    """Fails if an emptied zone counts, or if its servers are stopped."""
    plan = scaling_plan.ScalingPlan("llm", {"a": 3, "b": 3, "c": 3})
    servers = {"b": _Servers(1, 6), "c": _Servers(1, 6)}
    wanted = plan.wanted(_LIMITS, servers, 10.0, frozenset("a"))
    assert {item.zone for item in wanted} == {"b", "c"}
    assert [wanted[_target(zone, True)] for zone in "bc"] == [8, 8]
    every_zone = frozenset("abc")
    assert not plan.wanted(_LIMITS, {}, 10.5, every_zone)
    later = plan.wanted(_LIMITS, servers, 11.0)
    assert [later[_target(zone, True)] for zone in "abc"] == [6, 6, 6]


def test_high_load_adds_servers_and_low_load_stops_them() -> None:
    plan = scaling_plan.ScalingPlan("llm", {"a": 1})
    servers = {"a": _Servers(1, 2)}

    def reclaimable_count(now: float) -> int:
        return plan.wanted(_LIMITS, servers, now)[_target("a", True)]

    assert reclaimable_count(0.0) == 2
    plan.observe(_LIMITS, 0.9, 0.0)
    plan.observe(_LIMITS, 0.9, 1.0)
    assert reclaimable_count(1.0) == 3
    plan.observe(_LIMITS, 0.9, 5.0)
    assert reclaimable_count(5.0) == 4
    plan.observe(_LIMITS, 0.1, 8.0)
    assert reclaimable_count(8.0) == 4
    plan.observe(_LIMITS, 0.1, 21.0)
    assert reclaimable_count(21.0) == 3


@attrs.define
class _FakeScaling:
    """Accepts orders; zones `out_of_capacity` refuse reclaimable servers."""

    sent: list[platform_api.ScalingOrder] = attrs.field(factory=list)
    out_of_capacity: set[str] = attrs.field(factory=set)

    async def send(
        self,
        order: platform_api.ScalingOrder,
        allowed: Callable[[], bool] = platform_api.always_allowed,
    ) -> platform_api.OrderOutcome:
        if not allowed():
            return platform_api.Unavailable("not allowed")
        self.sent.append(order)
        if order.reclaimable and order.zone in self.out_of_capacity:
            return platform_api.OrderRefused("none", none_available=True)
        return platform_api.OrderAccepted("")


@attrs.define
class _FakeLease:
    number: int | None = 3

    def fencing(self) -> int | None:
        return self.number


@attrs.define
class _FakeDirectory:
    servers: list[backend_server.BackendServer] = attrs.field(factory=list)
    emptied_zones: frozenset[str] = frozenset()


class _Harness:
    def __init__(self, platform: platform_memory.MemoryPlatform) -> None:
        self.clock = clock_lib.ManualClock(50.0)
        self.scaling = _FakeScaling()
        self.lease = _FakeLease()
        self.directory = _FakeDirectory()
        context = lease_parts.make_context(
            "entry", 1, platform.interfaces(), self.clock
        )
        services = [
            {
                "name": "llm",
                "scaling": {"min": 1, "max": 9, "bootS": 4, "spotPrice": 0.15},
            },
            {"name": "render"},
        ]
        context.holder.replace(gateway_front.decode_manifest(services=services))
        self.orders = scaling_orders.ScalingOrders(
            context,
            self.scaling,
            self.lease,  # type: ignore[arg-type]
            self.directory,  # type: ignore[arg-type]
        )

    def run(self, zone: str, permanent: int, reclaimable: int = 0) -> None:
        self.directory.servers += [
            backend_server.BackendServer(
                f"{zone}{number}",
                "http://10.0.0.1:1",
                zone,
                service="llm",
                reclaimable=number >= permanent,
            )
            for number in range(permanent + reclaimable)
        ]

    async def steps(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.5)):
            await self.orders.step()
            self.clock.advance(0.5)


@pytest.mark.anyio
async def test_orders_follow_what_was_provided_and_are_not_repeated() -> None:
    harness = _Harness(platform_memory.MemoryPlatform())
    harness.run("a", 3)
    await harness.steps(1.0)
    assert not harness.scaling.sent
    harness.run("b", 2)
    await harness.steps(4.0)
    sent = {(o.zone, o.reclaimable): o.count for o in harness.scaling.sent}
    assert sent == {
        ("a", False): 1,
        ("a", True): 6,
        ("b", False): 1,
        ("b", True): 4,
    }
    assert len(harness.scaling.sent) == 4
    assert {order.fencing for order in harness.scaling.sent} == {3}


@pytest.mark.anyio
async def test_the_next_holder_plans_for_what_was_provided_at_first() -> None:
    """Fails if the plan is based on the servers running at the takeover."""
    platform = platform_memory.MemoryPlatform()
    first = _Harness(platform)
    first.run("a", 3)
    await first.steps(4.0)
    second = _Harness(platform)
    second.run("a", 1)
    await second.steps(1.0)
    sent = {(o.zone, o.reclaimable): o.count for o in second.scaling.sent}
    assert sent == {("a", False): 1, ("a", True): 6}


@pytest.mark.anyio
async def test_without_the_lease_nothing_is_ordered() -> None:
    harness = _Harness(platform_memory.MemoryPlatform())
    harness.run("a", 3)
    harness.lease.number = None
    await harness.steps(5.0)
    assert not harness.scaling.sent
