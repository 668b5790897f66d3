"""Tests that the configuration reaches every daemon despite failures.

The failures are dead daemons, outages of the platform, network partitions,
watches that skip changes, and paused processes.
"""

import functools
import math

import anyio
import attrs
import pytest

from figstream import api_key
from figstream import authentication
from figstream import clock as clock_lib
from figstream import configuration_coverage
from figstream import configuration_store
from figstream import errors
from figstream import reasons
from tests import configuration_fleet

_TIMEOUT_S = 20.0
_KEY_TRUST_S = 600.0


@pytest.mark.anyio
async def test_a_change_reaches_all_without_heartbeats_past_a_dead_daemon() -> (
    None
):
    """Fails if `children` gives both trees the same order."""
    fleet = configuration_fleet.Fleet()
    fleet.heartbeats = False
    fleet.stale_s = math.inf
    clock = clock_lib.SystemClock()
    zones = "a" * 12 + "b" * 3
    async with (
        configuration_fleet.run_daemons(fleet, zones, clock) as nodes,
        anyio.create_task_group() as group,
    ):
        # The children of the dead daemon in the first tree receive the change
        # along the second tree.
        dead = nodes[2]
        await dead.server.stop(None)
        alive = [node for node in nodes if node is not dead]
        for node in alive:
            group.start_soon(node.propagation.run)
        await fleet.add_customer("c")
        with anyio.fail_after(_TIMEOUT_S):
            while any(node.holder.current.generation < 1 for node in alive):
                await anyio.sleep(0.01)
        group.cancel_scope.cancel()
    assert {node.holder.current.customers[0].name for node in alive} == {"c"}


@pytest.mark.anyio
async def test_fresh_daemons_start_from_peers_while_the_platform_is_down() -> (
    None
):
    """Fails if `catch_up` doesn't pull from a peer with the highest generation.

    Daemons are restarted one by one, zone by zone and all at once while the
    platform is down. As long as one daemon has the configuration, the new
    ones must get it from there, without confirming it as the newest.
    """
    fleet = configuration_fleet.Fleet()
    async with configuration_fleet.run_daemons(fleet, "abc") as old:
        await fleet.add_customer("c1")
        await old[0].propagation.read_platform()
        # No daemon runs in zone d, so the answers of the other zones cannot
        # confirm the generation.
        await fleet.change(configuration_fleet.add_servers("d"))
        await fleet.add_customer("c2")
        await old[1].propagation.read_platform()
        fleet.memory.gate.faults.down = True
        fleet.clock.advance(30.0)
        # The daemons are replaced one after another.
        for zone in "abc":
            async with configuration_fleet.run_daemons(fleet, zone) as fresh:
                await fresh[0].propagation.watch_once()
                assert fresh[0].holder.current.generation == 0
                await fresh[0].propagation.catch_up()
                assert len(fresh[0].holder.current.customers) == 2
                assert 30.0 <= fresh[0].holder.unconfirmed_s < 31.0
                del fleet.nodes[fresh[0].member.name]
        # All daemons of a zone are replaced at once and receive the
        # configuration from the other zones.
        async with configuration_fleet.run_daemons(fleet, "ddd") as replaced:
            for node in replaced:
                await node.propagation.catch_up()
                assert node.holder.current.generation == 3
        # Every daemon of every zone is replaced at once.
        fleet.nodes.clear()
        async with configuration_fleet.run_daemons(fleet, "abc") as all_new:
            for node in all_new:
                await node.propagation.watch_once()
                await node.propagation.catch_up()
            assert {n.holder.current.generation for n in all_new} == {0}
            fleet.memory.gate.faults.down = False
            await all_new[0].propagation.watch_once()
            await all_new[2].propagation.catch_up()
            assert all_new[2].holder.current.generation == 3


@pytest.mark.anyio
@pytest.mark.parametrize("fault", ["skip", "fail", "gap"])
async def test_watches_that_skip_or_break(fault: str) -> None:
    """Fails if `watch_once` reads the root only if the watch shows a change."""
    fleet = configuration_fleet.Fleet()
    async with configuration_fleet.run_daemons(fleet, "a") as (node,):
        await node.propagation.watch_once()
        await fleet.add_customer("c")
        fleet.memory.gate.faults.skip_changes = int(fault == "skip")
        fleet.memory.gate.faults.watches_fail = fault == "fail"
        fleet.memory.gate.faults.watches_report_gap = fault == "gap"
        await node.propagation.watch_once()
        assert node.holder.current.generation == 1


@pytest.mark.anyio
async def test_a_lower_generation_is_refused_and_confirms_nothing() -> None:
    """Fails if `activate` doesn't compare the generations."""
    fleet = configuration_fleet.Fleet()
    async with configuration_fleet.run_daemons(fleet, "ab") as (ahead, behind):
        await fleet.add_customer("c1")
        await behind.propagation.read_platform()
        older = await fleet.memory.objects.read(configuration_store.ROOT)
        await fleet.add_customer("c2")
        await ahead.propagation.read_platform()
        newer = await fleet.memory.objects.read(configuration_store.ROOT)
        fleet.clock.advance(10.0)
        # The platform is restored to an older state.
        await fleet.memory.objects.write(
            configuration_store.ROOT,
            getattr(older, "body"),  # noqa: B009
            getattr(newer, "version"),  # noqa: B009
        )
        await ahead.propagation.read_platform()
        await ahead.propagation.catch_up()
        assert not ahead.holder.replace(behind.holder.current)
        assert ahead.holder.current.generation == 2
        assert ahead.holder.unconfirmed_s == 10.0
        assert behind.propagation.pull_response(2) is None
        await behind.propagation.catch_up()
        assert behind.holder.current.generation == 2


@pytest.mark.anyio
async def test_a_withdrawn_key_in_a_zone_cut_off_and_healed() -> None:
    """Fails if a failed read confirms, or `key_trust_s` is ignored.

    A key is withdrawn while one zone is partitioned from the other zones and
    from the platform. The zone must stop accepting the key after
    `key_trust_s`, and must learn of the withdrawal once peers are reachable.
    """
    fleet = configuration_fleet.Fleet()
    issued = api_key.issue("c")
    await fleet.add_customer("c")
    await fleet.change(
        lambda old: attrs.evolve(old, keys=(issued.record,)),
    )
    async with configuration_fleet.run_daemons(fleet, "ab") as (
        partitioned,
        other,
    ):
        check = authentication.Authenticator(partitioned.holder, _KEY_TRUST_S)
        identify = functools.partial(check.identify, f"Bearer {issued.text}")
        for node in (partitioned, other):
            await node.propagation.watch_once()
        identity = authentication.Identity("c", issued.record.key_id)
        assert identify() == identity
        fleet.partitioned_zones = {"a"}
        fleet.memory.gate.faults.blocked_clients = {partitioned.member.name}
        withdrawn = attrs.evolve(issued.record, withdrawn=True)
        await fleet.change(lambda old: attrs.evolve(old, keys=(withdrawn,)))
        await other.propagation.watch_once()
        members = configuration_fleet.FakeMembers(fleet, other.member.name)
        coverage_by_zone = configuration_coverage.coverage_by_zone(
            members, 3, fleet.partitioned_zones
        )
        assert coverage_by_zone == [
            configuration_coverage.ZoneCoverage("a", reachable=False),
            configuration_coverage.ZoneCoverage("b", (other.member.name,)),
        ]
        for seconds in (_KEY_TRUST_S - 1, 2.0):
            before = identify()
            fleet.clock.advance(seconds)
            await partitioned.propagation.watch_once()
            await partitioned.propagation.catch_up()
            assert before == identity
        refusal = errors.Refusal(reasons.RefusalReason.KEY_NOT_CONFIRMED)
        assert identify() == refusal
        # The zone can reach the other zones again, but not the platform.
        fleet.partitioned_zones = set()
        await partitioned.propagation.catch_up()
        refusal = errors.Refusal(reasons.RefusalReason.WITHDRAWN_KEY)
        assert identify() == refusal
        fleet.memory.gate.faults.blocked_clients = set()
        await partitioned.propagation.watch_once()
        assert partitioned.holder.unconfirmed_s < 1.0


@pytest.mark.anyio
async def test_an_outage_of_the_platform_in_all_zones_keeps_keys_working() -> (
    None
):
    """Fails if `poll` returns true without an answer from every zone."""
    fleet = configuration_fleet.Fleet()
    await fleet.change(configuration_fleet.add_servers("abc"))
    async with configuration_fleet.run_daemons(fleet, "aabc") as nodes:
        for node in nodes:
            await node.propagation.watch_once()
        fleet.memory.gate.faults.down = True
        fleet.clock.advance(10 * _KEY_TRUST_S)
        for node in nodes:
            assert node.holder.unconfirmed_s > _KEY_TRUST_S
            await node.propagation.catch_up()
            assert node.holder.unconfirmed_s < _KEY_TRUST_S
        fleet.clock.advance(10 * _KEY_TRUST_S)
        # Zone c is partitioned from the others, but may still reach the
        # platform and accept changes there.
        fleet.partitioned_zones = {"c"}
        for node in nodes:
            await node.propagation.catch_up()
            assert node.holder.unconfirmed_s > _KEY_TRUST_S


@pytest.mark.anyio
async def test_a_change_spreads_though_the_platform_dies_on_accepting_it() -> (
    None
):
    """Fails if `accept` relies on the watchers to propagate the change."""
    fleet = configuration_fleet.Fleet()
    async with configuration_fleet.run_daemons(fleet, "aab") as nodes:
        for node in nodes:
            await node.propagation.watch_once()
            await node.propagation.handle_next()
        objects = fleet.memory.objects
        watch = objects.watch(configuration_store.ROOT, 0, _TIMEOUT_S)
        async with anyio.create_task_group() as group:

            async def fail_platform() -> None:
                await watch
                fleet.memory.gate.faults.down = True

            group.start_soon(fail_platform)
            outcome = await nodes[0].propagation.accept(
                configuration_fleet.add_servers("a"), 0
            )
        assert outcome == configuration_store.Accepted(1)
        for node in nodes:
            with anyio.fail_after(_TIMEOUT_S):
                await node.propagation.handle_next()
            assert node.holder.current.generation == 1


@pytest.mark.anyio
async def test_pulls_at_the_same_time_end_at_the_highest_generation() -> None:
    """Fails if `_pull_from` accepts a generation below the requested one."""
    fleet = configuration_fleet.Fleet()
    async with configuration_fleet.run_daemons(fleet, "aaa") as (node, *peers):
        for peer in peers:
            await fleet.add_customer(peer.member.name)
            await peer.propagation.read_platform()
        async with anyio.create_task_group() as group:
            for peer in peers:
                node.propagation.receive(peer.propagation.peers.status())
                group.start_soon(node.propagation.handle_next)
        assert node.holder.current.generation == 2


@pytest.mark.anyio
async def test_a_status_that_waited_while_paused_is_not_taken_as_new() -> None:
    """Fails if `receive` treats the time of receipt as the time of sending.

    A paused process receives old statuses when it resumes; these must not
    confirm its generation as if they had just been sent.
    """
    fleet = configuration_fleet.Fleet()
    async with configuration_fleet.run_daemons(fleet, "aa") as (paused, peer):
        await fleet.add_customer("c")
        await peer.propagation.read_platform()
        await paused.propagation.catch_up()
        await paused.propagation.catch_up()
        status = peer.propagation.peers.status()
        fleet.clock.advance(3600.0)
        paused.propagation.receive(status)
        await paused.propagation.handle_next()
        assert paused.holder.unconfirmed_s >= 3600.0
        await paused.propagation.catch_up()
        await paused.propagation.catch_up()
        await peer.propagation.read_platform()
        paused.propagation.receive(peer.propagation.peers.status())
        await paused.propagation.handle_next()
        assert paused.holder.unconfirmed_s == 0.0
