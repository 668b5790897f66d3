"""The configuration reaches every daemon, whatever is silent or cut off.

The daemons run in one process; they call each other over gRPC on loopback.
"""

from collections.abc import AsyncIterator
from collections.abc import Sequence
import contextlib
import functools
import math

import anyio
import attrs
import grpc
import pytest

from figstream import api_key
from figstream import authentication
from figstream import backend_server
from figstream import clock as clock_lib
from figstream import configuration as configuration_lib
from figstream import configuration_holder
from figstream import configuration_reach
from figstream import configuration_spread
from figstream import configuration_store
from figstream import customer as customer_lib
from figstream import daemon_context
from figstream import errors
from figstream import explain
from figstream import membership_api
from figstream import metrics as metrics_lib
from figstream import options as options_lib
from figstream import platform_memory
from figstream import reasons
from figstream import scheduler

pytestmark = pytest.mark.anyio
_GIVE_UP_S = 20.0
_KEY_TRUST_S = 600.0


class Fleet:
    """Daemons in one process, and who of them can reach whom."""

    def __init__(self) -> None:
        self.memory = platform_memory.MemoryPlatform()
        self.clock: clock_lib.ManualClock = clock_lib.ManualClock()
        self.nodes: dict[str, Node] = {}
        self.heartbeats = True
        self.stale_s = 25.0
        self.cut_off_zones: set[str] = set()
        self.store = configuration_store.ConfigurationStore(
            self.memory.objects, self.clock
        )

    async def change(self, change: configuration_store.Change) -> None:
        stored = await self.store.read_root()
        assert isinstance(stored, configuration_store.StoredRoot)
        base = stored.root.generation
        outcome = await self.store.accept(change, base)
        assert outcome == configuration_store.Accepted(base + 1)

    async def add_customer(self, name: str) -> None:
        def change(
            old: configuration_lib.Configuration,
        ) -> configuration_lib.Configuration:
            added = (*old.customers, customer_lib.Customer(name))
            return attrs.evolve(old, customers=added)

        await self.change(change)


class FakeMembers:
    """Knows every daemon of the fleet that is not cut off from it."""

    def __init__(self, fleet: Fleet, name: str) -> None:
        self._fleet = fleet
        self._name = name

    def this(self) -> membership_api.Member:
        return self._fleet.nodes[self._name].member

    def live(self) -> Sequence[membership_api.Member]:
        zone = self.this().zone
        cut_off = self._fleet.cut_off_zones
        return [
            self._seen(node)
            for _, node in sorted(self._fleet.nodes.items())
            if node.member.zone == zone
            or not {zone, node.member.zone} & cut_off
        ]

    def ranked(
        self, role: str, zone: str = ""
    ) -> Sequence[membership_api.Member]:
        return [item for item in self.live() if zone in ("", item.zone)]

    def channel(self, member: membership_api.Member) -> grpc.aio.Channel:
        return self._fleet.nodes[member.name].channel

    def _seen(self, node: "Node") -> membership_api.Member:
        generation = node.spread.copy.generation
        if not self._fleet.heartbeats:
            generation = 0
        return attrs.evolve(node.member, generation=generation)


class Node:
    """One daemon as far as the configuration goes."""

    def __init__(
        self, fleet: Fleet, name: str, zone: str, clock: clock_lib.Clock
    ) -> None:
        self.server = grpc.aio.server()
        port = self.server.add_insecure_port("127.0.0.1:0")
        address = f"127.0.0.1:{port}"
        self.channel = grpc.aio.insecure_channel(address)
        self.member = membership_api.Member(name, zone, "r", address, 1)
        self.holder = configuration_holder.ConfigurationHolder(clock)
        context = daemon_context.DaemonContext(
            options_lib.Options(name, zone, "r", "127.0.0.1", 0, 0, 0, ""),
            clock,
            len(fleet.nodes),
            fleet.memory.interfaces(name),
            self.holder,
            scheduler.make_scheduler(zone),
            explain.DecisionLog(),
            metrics_lib.make_unexported_metrics(),
        )
        self.spread = configuration_spread.make_configuration_spread(
            context,
            FakeMembers(fleet, name),
            configuration_spread.Intervals(watch_s=0.01, stale_s=fleet.stale_s),
        )
        self.spread.register(self.server)
        fleet.nodes[name] = self


@contextlib.asynccontextmanager
async def _daemons(
    fleet: Fleet, zones: str, clock: clock_lib.Clock | None = None
) -> AsyncIterator[Sequence[Node]]:
    """Starts one daemon for each letter, which names its zone."""
    nodes = [
        Node(fleet, f"{zone}-{len(fleet.nodes):02}", zone, clock or fleet.clock)
        for zone in zones
    ]
    for node in nodes:
        await node.server.start()
    try:
        yield nodes
    finally:
        for node in nodes:
            await node.channel.close()
            await node.server.stop(None)


def _add_servers(zones: str) -> configuration_store.Change:
    servers = tuple(
        backend_server.BackendServer(f"s-{zone}", "http://127.0.0.1:9", zone)
        for zone in zones
    )
    return lambda old: attrs.evolve(old, servers=servers)


async def test_a_change_reaches_all_without_heartbeats_past_a_dead_daemon() -> (
    None
):
    """Fails if `children` gives both trees the same order."""
    fleet = Fleet()
    fleet.heartbeats = False
    fleet.stale_s = math.inf
    clock = clock_lib.SystemClock()
    zones = "a" * 12 + "b" * 3
    async with (
        _daemons(fleet, zones, clock) as nodes,
        anyio.create_task_group() as group,
    ):
        # Its children in the first tree get it from the second tree.
        dead = nodes[2]
        await dead.server.stop(None)
        alive = [node for node in nodes if node is not dead]
        for node in alive:
            group.start_soon(node.spread.run)
        await fleet.add_customer("c")
        with anyio.fail_after(_GIVE_UP_S):
            while any(node.holder.current.generation < 1 for node in alive):
                await anyio.sleep(0.01)
        group.cancel_scope.cancel()
    assert {node.holder.current.customers[0].name for node in alive} == {"c"}


async def test_fresh_daemons_start_from_peers_while_the_platform_is_down() -> (
    None
):
    """Fails if `catch_up` doesn't pull from the peer that is furthest."""
    fleet = Fleet()
    async with _daemons(fleet, "abc") as old:
        await fleet.add_customer("c1")
        await old[0].spread.read_platform()
        # No daemon stands in this zone, so the zones alone confirm nothing.
        await fleet.change(_add_servers("d"))
        await fleet.add_customer("c2")
        await old[1].spread.read_platform()
        fleet.memory.gate.faults.down = True
        fleet.clock.advance(30.0)
        # The daemons are replaced one after another.
        for zone in "abc":
            async with _daemons(fleet, zone) as fresh:
                await fresh[0].spread.watch_once()
                assert fresh[0].holder.current.generation == 0
                await fresh[0].spread.catch_up()
                assert len(fresh[0].holder.current.customers) == 2
                assert 30.0 <= fresh[0].holder.unconfirmed_s < 31.0
                del fleet.nodes[fresh[0].member.name]
        # A whole zone is replaced at once and gets it from the others.
        async with _daemons(fleet, "ddd") as replaced:
            for node in replaced:
                await node.spread.catch_up()
                assert node.holder.current.generation == 3
        # Every daemon of every zone is replaced at once.
        fleet.nodes.clear()
        async with _daemons(fleet, "abc") as all_new:
            for node in all_new:
                await node.spread.watch_once()
                await node.spread.catch_up()
            assert {n.holder.current.generation for n in all_new} == {0}
            fleet.memory.gate.faults.down = False
            await all_new[0].spread.watch_once()
            await all_new[2].spread.catch_up()
            assert all_new[2].holder.current.generation == 3


@pytest.mark.parametrize("fault", ["skip", "fail", "gap"])
async def test_watches_that_skip_or_break(fault: str) -> None:
    """Fails if `watch_once` reads only when the watch shows a change."""
    fleet = Fleet()
    async with _daemons(fleet, "a") as (node,):
        await node.spread.watch_once()
        await fleet.add_customer("c")
        fleet.memory.gate.faults.skip_changes = int(fault == "skip")
        fleet.memory.gate.faults.watches_fail = fault == "fail"
        fleet.memory.gate.faults.watches_report_gap = fault == "gap"
        await node.spread.watch_once()
        assert node.holder.current.generation == 1


async def test_a_lower_generation_is_refused_and_confirms_nothing() -> None:
    """Fails if `take` doesn't compare the generations."""
    fleet = Fleet()
    async with _daemons(fleet, "ab") as (ahead, behind):
        await fleet.add_customer("c1")
        await behind.spread.read_platform()
        older = await fleet.memory.objects.read(configuration_store.ROOT)
        await fleet.add_customer("c2")
        await ahead.spread.read_platform()
        newer = await fleet.memory.objects.read(configuration_store.ROOT)
        fleet.clock.advance(10.0)
        # The platform is put back to an older state.
        await fleet.memory.objects.write(
            configuration_store.ROOT,
            getattr(older, "body"),  # noqa: B009
            getattr(newer, "version"),  # noqa: B009
        )
        await ahead.spread.read_platform()
        await ahead.spread.catch_up()
        assert not ahead.holder.replace(behind.holder.current)
        assert ahead.holder.current.generation == 2
        assert ahead.holder.unconfirmed_s == 10.0
        assert behind.spread.parts_for(2) is None
        await behind.spread.catch_up()
        assert behind.holder.current.generation == 2


async def test_a_withdrawn_key_in_a_zone_cut_off_and_healed() -> None:
    """Fails if a failed read confirms, or `key_trust_s` isn't looked at."""
    fleet = Fleet()
    issued = api_key.issue("c")
    await fleet.add_customer("c")
    await fleet.change(
        lambda old: attrs.evolve(old, keys=(issued.record,)),
    )
    async with _daemons(fleet, "ab") as (cut_off, other):
        check = authentication.Authenticator(cut_off.holder, _KEY_TRUST_S)
        identify = functools.partial(check.identify, f"Bearer {issued.text}")
        for node in (cut_off, other):
            await node.spread.watch_once()
        identity = authentication.Identity("c", issued.record.key_id)
        assert identify() == identity
        fleet.cut_off_zones = {"a"}
        fleet.memory.gate.faults.blocked_clients = {cut_off.member.name}
        withdrawn = attrs.evolve(issued.record, withdrawn=True)
        await fleet.change(lambda old: attrs.evolve(old, keys=(withdrawn,)))
        await other.spread.watch_once()
        members = FakeMembers(fleet, other.member.name)
        reach = configuration_reach.reach(members, 3, fleet.cut_off_zones)
        assert reach == [
            configuration_reach.ZoneReach("a", reachable=False),
            configuration_reach.ZoneReach("b", (other.member.name,)),
        ]
        for seconds in (_KEY_TRUST_S - 1, 2.0):
            before = identify()
            fleet.clock.advance(seconds)
            await cut_off.spread.watch_once()
            await cut_off.spread.catch_up()
            assert before == identity
        refusal = errors.Refusal(reasons.RefusalReason.KEY_NOT_CONFIRMED)
        assert identify() == refusal
        # The zone reaches the others again, but not yet the platform.
        fleet.cut_off_zones = set()
        await cut_off.spread.catch_up()
        refusal = errors.Refusal(reasons.RefusalReason.WITHDRAWN_KEY)
        assert identify() == refusal
        fleet.memory.gate.faults.blocked_clients = set()
        await cut_off.spread.watch_once()
        assert cut_off.holder.unconfirmed_s < 1.0


async def test_an_outage_of_the_platform_in_all_zones_keeps_keys_working() -> (
    None
):
    """Fails if `ask` is content without an answer from every zone."""
    fleet = Fleet()
    await fleet.change(_add_servers("abc"))
    async with _daemons(fleet, "aabc") as nodes:
        for node in nodes:
            await node.spread.watch_once()
        fleet.memory.gate.faults.down = True
        fleet.clock.advance(10 * _KEY_TRUST_S)
        for node in nodes:
            assert node.holder.unconfirmed_s > _KEY_TRUST_S
            await node.spread.catch_up()
            assert node.holder.unconfirmed_s < _KEY_TRUST_S
        fleet.clock.advance(10 * _KEY_TRUST_S)
        # One zone is cut off; it may still reach the platform.
        fleet.cut_off_zones = {"c"}
        for node in nodes:
            await node.spread.catch_up()
            assert node.holder.unconfirmed_s > _KEY_TRUST_S


async def test_a_change_spreads_though_the_platform_dies_on_accepting_it() -> (
    None
):
    """Fails if `accept` leaves the spreading to the watchers."""
    fleet = Fleet()
    async with _daemons(fleet, "aab") as nodes:
        for node in nodes:
            await node.spread.watch_once()
            await node.spread.handle_next()
        objects = fleet.memory.objects
        watch = objects.watch(configuration_store.ROOT, 0, _GIVE_UP_S)
        async with anyio.create_task_group() as group:

            async def die() -> None:
                await watch
                fleet.memory.gate.faults.down = True

            group.start_soon(die)
            outcome = await nodes[0].spread.accept(_add_servers("a"), 0)
        assert outcome == configuration_store.Accepted(1)
        for node in nodes:
            with anyio.fail_after(_GIVE_UP_S):
                await node.spread.handle_next()
            assert node.holder.current.generation == 1


async def test_pulls_at_the_same_time_end_at_the_highest_generation() -> None:
    """Fails if `_pull_from` is content with any generation that came."""
    fleet = Fleet()
    async with _daemons(fleet, "aaa") as (node, *peers):
        for peer in peers:
            await fleet.add_customer(peer.member.name)
            await peer.spread.read_platform()
        async with anyio.create_task_group() as group:
            for peer in peers:
                node.spread.receive(peer.spread.peers.status())
                group.start_soon(node.spread.handle_next)
        assert node.holder.current.generation == 2


async def test_a_status_that_waited_while_paused_is_not_taken_as_new() -> None:
    """Fails if `receive` takes a status as sent when it is received."""
    fleet = Fleet()
    async with _daemons(fleet, "aa") as (paused, peer):
        await fleet.add_customer("c")
        await peer.spread.read_platform()
        await paused.spread.catch_up()
        await paused.spread.catch_up()
        status = peer.spread.peers.status()
        fleet.clock.advance(3600.0)
        paused.spread.receive(status)
        await paused.spread.handle_next()
        assert paused.holder.unconfirmed_s >= 3600.0
        await paused.spread.catch_up()
        await paused.spread.catch_up()
        await peer.spread.read_platform()
        paused.spread.receive(peer.spread.peers.status())
        await paused.spread.handle_next()
        assert paused.holder.unconfirmed_s == 0.0
