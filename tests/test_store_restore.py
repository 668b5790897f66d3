"""Tests of duties while the store is restored from copies that are older.

A restore loses what was acknowledged since the copy, leases and sealed windows
included, and the store gives out the same versions again. Fencing numbers must
rise all the same, orders of two holders must not mix, and no usage window may
be reported twice with different figures.
"""

from collections.abc import Callable
import functools
import itertools

import anyio
import attrs
import hypothesis
from hypothesis import strategies
import pytest

from figstream import clock as clock_lib
from figstream import daemon_context
from figstream import lease
from figstream import metrics
from figstream import platform_api
from figstream import platform_memory
from figstream import scaling_orders
from figstream import serialization
from figstream import store_era
from figstream import usage_api
from figstream import usage_delta
from figstream import usage_sealing
from figstream import usage_window
from figstream import vm_registration
from tests import lease_parts

_TIMES = lease.LeaseTimes(duration_s=3.0, order_timeout_s=1.0)
_NAMES = ("x", "y", "z")
_WINDOW_S = 5.0
_MS_PER_S = 1000


@attrs.define
class _LateStore(platform_memory.MemoryObjectStore):
    """A store that carries out chosen writes only later."""

    delays: int = 0
    late: list[tuple[str, bytes, int]] = attrs.field(factory=list)

    def __attrs_pre_init__(self) -> None:
        super().__init__()

    async def write(
        self, name: str, body: bytes, expected_version: int
    ) -> platform_api.WriteOutcome:
        if self.delays:
            self.delays -= 1
            self.late.append((name, body, expected_version))
            return platform_api.Unknown("the write is still in progress")
        return await super().write(name, body, expected_version)

    async def land_late(self) -> None:
        writes, self.late = self.late, []
        for name, body, version in writes:
            await super().write(name, body, version)


@attrs.define
class _Daemon:
    """A daemon that seeks the lease and seals usage windows under it."""

    context: daemon_context.DaemonContext
    held: lease.HeldLease
    sealing: usage_sealing.UsageSealing


@attrs.define
class _Fleet:
    """Daemons on one store; the receiver does not check fencing numbers."""

    clock: clock_lib.ManualClock = attrs.field(
        factory=lambda: clock_lib.ManualClock(6000.0)
    )
    store: _LateStore = attrs.field(factory=_LateStore)
    usage: platform_memory.MemoryUsageReports = attrs.field(
        factory=platform_memory.MemoryUsageReports
    )
    daemons: dict[str, _Daemon] = attrs.field(factory=dict)
    copies: list[platform_memory.StoreCopy] = attrs.field(factory=list)
    under_way: list[tuple[float, int, str]] = attrs.field(factory=list)
    arrived: list[tuple[float, int, str]] = attrs.field(factory=list)
    sequence: int = 0

    def __attrs_post_init__(self) -> None:
        self.daemons = {name: self.make(name, 1) for name in _NAMES}

    def make(self, name: str, start_number: int) -> _Daemon:
        """Starts a daemon, which knows nothing of the store yet."""
        era = store_era.StoreEra(self.clock)
        interfaces = attrs.evolve(
            platform_memory.MemoryPlatform().interfaces(),
            objects=platform_memory.RestorableObjects(self.store, era),
            usage=self.usage,
            era=era,
        )
        context = lease_parts.make_context(
            name, start_number, interfaces, self.clock
        )
        held = lease.HeldLease(
            "l", "a", context, lease_parts.SingleMembership(name), _TIMES
        )
        sealing = usage_sealing.UsageSealing(
            held,
            interfaces,
            self.clock,
            metrics.make_unexported_metrics(),
            _WINDOW_S,
        )
        return _Daemon(context, held, sealing)

    def advance(self, seconds: float) -> None:
        self.clock.advance(seconds)
        due = [x for x in self.under_way if x[0] <= self.clock.now()]
        self.under_way = [x for x in self.under_way if x not in due]
        self.arrived += sorted(due, key=lambda item: item[0])

    def order(self, name: str) -> None:
        """Sends orders that arrive at once, late, and as late as possible."""
        fencing = self.daemons[name].held.fencing()
        if fencing is None:
            return
        for delay_s in (0.1, _TIMES.order_timeout_s):
            arrival = self.clock.now() + delay_s
            self.under_way.append((arrival, fencing, name))

    def count(self, name: str) -> None:
        """Delivers a new delta of one request to a sealing daemon."""
        self.sequence += 1
        run = usage_delta.RunId("entry", 1)
        item = usage_api.UsageItem("studio", "chat", 1)
        self.daemons[name].sealing.accept(
            usage_delta.UsageDelta(
                usage_delta.DeltaId(run, self.sequence),
                int(self.clock.wall() * _MS_PER_S),
                (item,),
            )
        )

    async def step(self, name: str) -> None:
        await self.daemons[name].held.step()
        await self.daemons[name].sealing.step()

    async def take(self, name: str) -> bool:
        """Runs one daemon, with the others paused, until it may send."""
        for _ in range(60):
            await self.step(name)
            if self.daemons[name].held.fencing() is not None:
                return True
            self.advance(0.2)
        return False

    def restore(self, index: int = -1) -> None:
        if self.copies:
            self.store.restore(self.copies[index])

    def check(self) -> None:
        numbers = [fencing for _, fencing, _ in self.arrived]
        assert numbers == sorted(numbers)
        holders = {(fencing, name) for _, fencing, name in self.arrived}
        assert len(holders) == len(set(numbers))
        bodies: dict[str, set[bytes]] = {}
        for name, body, _ in self.usage.calls:
            bodies.setdefault(name, set()).add(body)
        assert all(len(found) == 1 for found in bodies.values())


_name = strategies.sampled_from(_NAMES)
_ACTIONS = strategies.one_of(
    strategies.tuples(
        strategies.sampled_from(["step", "take", "order", "count", "restart"]),
        _name,
    ),
    strategies.tuples(strategies.sampled_from(["order", "count"]), _name),
    strategies.tuples(
        strategies.just("advance"),
        strategies.sampled_from([0.1, 0.9, 2.0, 3.2, 5.0, 7.5]),
    ),
    strategies.tuples(
        strategies.sampled_from(
            ["copy", "restore", "restore_oldest", "delay", "land"]
        ),
        strategies.none(),
    ),
)


async def _act(fleet: _Fleet, action: tuple[str, object]) -> None:
    match action:
        case "step", str(name):
            await fleet.step(name)
        case "take", str(name):
            await fleet.take(name)
        case "order", str(name):
            fleet.order(name)
        case "count", str(name):
            fleet.count(name)
        case "restart", str(name):
            fleet.daemons[name] = fleet.make(name, int(fleet.clock.now()))
        case "advance", float(seconds):
            fleet.advance(seconds)
        case "copy", _:
            fleet.copies.append(fleet.store.copy())
        case "restore", _:
            fleet.restore()
        case "restore_oldest", _:
            fleet.restore(0)
        case "delay", _:
            fleet.store.delays += 1
        case "land", _:
            await fleet.store.land_late()


async def _play(actions: list[tuple[str, object]]) -> _Fleet:
    fleet = _Fleet()
    for action in actions:
        await _act(fleet, action)
    fleet.advance(60.0)
    return fleet


@hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
@hypothesis.example(
    [
        ("copy", None),
        ("take", "x"),
        ("order", "x"),
        ("restore", None),
        ("take", "y"),
        ("order", "y"),
        ("order", "x"),
    ]
)
@hypothesis.example(
    [
        ("take", "x"),
        ("copy", None),
        ("advance", 7.5),
        ("take", "y"),
        ("order", "y"),
        ("restore", None),
        ("advance", 7.5),
        ("take", "z"),
        ("order", "z"),
    ]
)
@hypothesis.given(strategies.lists(_ACTIONS, max_size=40))
def test_orders_and_reports_stay_in_order_across_restores(
    actions: list[tuple[str, object]],
) -> None:
    """Fails if a fencing number is derived from the stored record alone.

    It also fails if a lease outlives its era, or if windows are sealed anew
    that may have been reported before the restore.
    """
    anyio.run(functools.partial(_play, actions)).check()


@pytest.mark.anyio
async def test_a_restored_lease_is_taken_with_a_higher_number() -> None:
    fleet = _Fleet()
    fleet.copies.append(fleet.store.copy())
    assert await fleet.take("x")
    first = fleet.daemons["x"].held.fencing()
    fleet.restore()
    await fleet.step("x")
    assert fleet.daemons["x"].held.fencing() is None
    assert await fleet.take("x")
    second = fleet.daemons["x"].held.fencing()
    assert first is not None
    assert second is not None
    assert second > first


@pytest.mark.anyio
async def test_any_answer_of_a_new_era_ends_the_use_of_a_lease() -> None:
    """Fails if a holder acts until its next renewal after a restore."""
    fleet = _Fleet()
    fleet.copies.append(fleet.store.copy())
    assert await fleet.take("x")
    holder = fleet.daemons["x"]
    fleet.restore()
    assert holder.held.fencing() is not None
    await holder.context.platform.objects.read("config/main")
    assert holder.held.fencing() is None


@pytest.mark.anyio
async def test_windows_go_on_after_a_restore_without_those_in_doubt() -> None:
    """Fails if the chain stops, or reports a lost window a second time."""
    fleet = _Fleet()
    assert await fleet.take("x")
    fleet.copies.append(fleet.store.copy())
    for _ in range(4):
        fleet.count("x")
        for _ in range(10):
            fleet.advance(0.5)
            await fleet.step("x")
    reported = dict(fleet.usage.booked)
    assert len(reported) >= 3
    fleet.restore()
    for _ in range(60):
        fleet.advance(0.5)
        await fleet.step("x")
        fleet.count("x")
    later = fleet.usage.booked.keys() - reported.keys()
    assert len(later) >= 2
    assert {k: fleet.usage.booked[k] for k in reported} == reported
    fleet.check()
    reports = sorted(
        (
            serialization.from_json(body, usage_window.UsageReport)
            for body in fleet.usage.booked.values()
        ),
        key=lambda item: item.start_ms,
    )
    for one, other in itertools.pairwise(reports):
        assert one.end_ms <= other.start_ms
    missed = sum(
        other.start_ms - one.end_ms
        for one, other in itertools.pairwise(reports)
    )
    assert missed <= 3 * _WINDOW_S * _MS_PER_S


def _make_platform(
    store: platform_memory.MemoryObjectStore, clock: clock_lib.Clock
) -> platform_api.Platform:
    era = store_era.StoreEra(clock)
    return attrs.evolve(
        platform_memory.MemoryPlatform().interfaces(),
        objects=platform_memory.RestorableObjects(store, era),
        era=era,
    )


async def _wait_until(holds: Callable[[], bool]) -> None:
    with anyio.fail_after(2.0):
        while not holds():
            await anyio.sleep(0.005)


@pytest.mark.anyio
async def test_a_daemon_registers_again_after_a_restore() -> None:
    store = platform_memory.MemoryObjectStore()
    clock = clock_lib.SystemClock()
    platform = _make_platform(store, clock)
    context = lease_parts.make_context("entry-1", 1, platform, clock)
    registration = vm_registration.make_registration(context, "10.0.0.1:1")
    copy = store.copy()
    async with anyio.create_task_group() as group:
        group.start_soon(registration.run)
        await _wait_until(lambda: bool(store.copy().objects))
        store.restore(copy)
        await platform.objects.read("anything")
        await _wait_until(lambda: bool(store.copy().objects))
        group.cancel_scope.cancel()


@pytest.mark.anyio
async def test_provided_servers_are_written_again_after_a_restore() -> None:
    store = platform_memory.MemoryObjectStore()
    platform = _make_platform(store, clock_lib.SystemClock())
    await platform.objects.read("anything")
    context = lease_parts.make_context("entry-1", 1, platform)
    orders = scaling_orders.ScalingOrders(context, None, None, None)  # type: ignore[arg-type]
    state = scaling_orders._ServiceState()
    copy = store.copy()
    orders._plan_from("llm", state, {"a": 3})
    await orders._restore_provided("llm", state)
    assert not store.copy().objects
    store.restore(copy)
    await platform.objects.read("anything")
    await orders._restore_provided("llm", state)
    assert set(store.copy().objects) == {"scaling/llm"}
