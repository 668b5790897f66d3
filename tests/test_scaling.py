"""Tests of the numbers of servers that are ordered."""

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
_Zone = scaling_plan.ZoneServers


def _subject(zone: str, reclaimable: bool) -> scaling_plan.Subject:
    return scaling_plan.Subject("llm", zone, reclaimable)


def test_each_zone_keeps_the_least_that_stays_and_cheap_ones_beside() -> None:
    plan = scaling_plan.ScalingPlan("llm", {"a": 3, "b": 3, "c": 0})
    wanted = plan.wanted(_LIMITS, {"a": _Zone(3, 0), "b": _Zone(3, 0)}, 0.0)
    assert wanted[_subject("a", False)] == 1
    assert wanted[_subject("a", True)] == 6
    assert wanted[_subject("c", True)] == 0


def test_what_a_dry_zone_lacks_goes_to_the_others_and_comes_back() -> None:
    plan = scaling_plan.ScalingPlan("llm", {"a": 3, "b": 3, "c": 3})
    servers = {"a": _Zone(1, 0), "b": _Zone(1, 6), "c": _Zone(1, 6)}
    plan.none_available("a", 10.0)
    wanted = plan.wanted(_LIMITS, servers, 10.5)
    assert [wanted[_subject(zone, True)] for zone in "abc"] == [0, 8, 8]
    later = plan.wanted(_LIMITS, servers, 13.0)
    assert [later[_subject(zone, True)] for zone in "abc"] == [6, 6, 6]


def test_busy_servers_get_more_and_quiet_ones_give_them_back() -> None:
    plan = scaling_plan.ScalingPlan("llm", {"a": 1})
    servers = {"a": _Zone(1, 2)}

    def cheap(now: float) -> int:
        return plan.wanted(_LIMITS, servers, now)[_subject("a", True)]

    assert cheap(0.0) == 2
    plan.observe(_LIMITS, 0.9, 0.0)
    plan.observe(_LIMITS, 0.9, 1.0)
    assert cheap(1.0) == 3
    plan.observe(_LIMITS, 0.9, 5.0)
    assert cheap(5.0) == 4
    plan.observe(_LIMITS, 0.1, 8.0)
    assert cheap(8.0) == 4
    plan.observe(_LIMITS, 0.1, 21.0)
    assert cheap(21.0) == 3


@attrs.define
class _Scaling:
    """Takes orders; a zone in `dry` has no reclaimable servers."""

    sent: list[platform_api.ScalingOrder] = attrs.field(factory=list)
    dry: set[str] = attrs.field(factory=set)

    async def send(
        self,
        order: platform_api.ScalingOrder,
        allowed: Callable[[], bool] = platform_api.always_allowed,
    ) -> platform_api.OrderOutcome:
        if not allowed():
            return platform_api.Unavailable("not allowed")
        self.sent.append(order)
        if order.reclaimable and order.zone in self.dry:
            return platform_api.OrderRefused("none", none_available=True)
        return platform_api.OrderAccepted("")


@attrs.define
class _Lease:
    number: int | None = 3

    def fencing(self) -> int | None:
        return self.number


@attrs.define
class _Directory:
    servers: list[backend_server.BackendServer] = attrs.field(factory=list)


class _World:
    def __init__(self, platform: platform_memory.MemoryPlatform) -> None:
        self.clock = clock_lib.ManualClock(50.0)
        self.scaling = _Scaling()
        self.lease = _Lease()
        self.directory = _Directory()
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
        context.holder.replace(gateway_front.decoded(services=services))
        self.orders = scaling_orders.ScalingOrders(
            context,
            self.scaling,
            self.lease,  # type: ignore[arg-type]
            self.directory,  # type: ignore[arg-type]
        )

    def run(self, zone: str, firm: int, reclaimable: int = 0) -> None:
        self.directory.servers += [
            backend_server.BackendServer(
                f"{zone}{number}",
                "http://10.0.0.1:1",
                zone,
                service="llm",
                reclaimable=number >= firm,
            )
            for number in range(firm + reclaimable)
        ]

    async def steps(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.5)):
            await self.orders.step()
            self.clock.advance(0.5)


@pytest.mark.anyio
async def test_orders_follow_what_was_provided_and_are_not_repeated() -> None:
    world = _World(platform_memory.MemoryPlatform())
    world.run("a", 3)
    await world.steps(1.0)
    assert not world.scaling.sent
    world.run("b", 2)
    await world.steps(4.0)
    sent = {(o.zone, o.reclaimable): o.count for o in world.scaling.sent}
    assert sent == {
        ("a", False): 1,
        ("a", True): 6,
        ("b", False): 1,
        ("b", True): 4,
    }
    assert len(world.scaling.sent) == 4
    assert {order.fencing for order in world.scaling.sent} == {3}


@pytest.mark.anyio
async def test_the_next_holder_plans_for_what_was_provided_at_first() -> None:
    """Breaks when the plan starts from the servers that run by then."""
    platform = platform_memory.MemoryPlatform()
    first = _World(platform)
    first.run("a", 3)
    await first.steps(4.0)
    second = _World(platform)
    second.run("a", 1)
    await second.steps(1.0)
    sent = {(o.zone, o.reclaimable): o.count for o in second.scaling.sent}
    assert sent == {("a", False): 1, ("a", True): 6}


@pytest.mark.anyio
async def test_without_the_lease_nothing_is_ordered() -> None:
    world = _World(platform_memory.MemoryPlatform())
    world.run("a", 3)
    world.lease.number = None
    await world.steps(5.0)
    assert not world.scaling.sent
