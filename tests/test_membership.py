"""Tests membership in virtual time and, in some cases, over gRPC."""

import time

import anyio
import grpc
import pytest

from bench import member_cluster
from figstream import member_table
from figstream import membership
from figstream import platform_api
from figstream import platform_memory
from soak import links
from tests import lease_parts

_ZONES = ("a", "b", "c")
_DETECTION_S = 10
_MAX_JOINING = 100
# All control traffic may use 12 KB/s, of which heartbeats may use 5 KB/s.
# Framing: HTTP/2 and gRPC 14 bytes, TCP/IP 52 bytes, and 52 bytes for the
# acknowledgement.
_BYTES_PER_S = 5000
_FRAMING_BYTES = 14 + 52 + 52
# 1,300 changes of the configuration per day.
_CHANGE_INTERVAL_S = 86_400 / 1300


def _cluster(count: int) -> member_cluster.Cluster:
    cluster = member_cluster.Cluster()
    for number in range(count):
        cluster.add(f"vm-{number:03}", _ZONES[number % len(_ZONES)])
    if count > _MAX_JOINING:
        cluster.add_all_members()
    cluster.run(8)
    everyone = set(cluster.nodes)
    assert all(node.live == everyone for node in cluster.nodes.values())
    return cluster


def _others(cluster: member_cluster.Cluster, *names: str) -> set[str]:
    return set(cluster.nodes) - set(names)


@pytest.mark.parametrize("count", [2, 9, 60])
def test_paused_member_is_noticed_by_all_and_comes_back(count: int) -> None:
    # Fails if `expire` marks no member as dead, or if a suspected member
    # can't answer.
    cluster = _cluster(count)
    cluster.paused = {"vm-001"}
    cluster.run(_DETECTION_S)
    others = _others(cluster, "vm-001")
    assert all(cluster.nodes[name].live == others for name in others)
    cluster.run(30)
    cluster.paused = set()
    # Discovery contacts dead members again; the cluster has no discovery.
    cluster.exchange_members(cluster.nodes["vm-001"], cluster.nodes["vm-000"])
    cluster.run(_DETECTION_S)
    assert all(n.live == set(cluster.nodes) for n in cluster.nodes.values())


@pytest.mark.parametrize("silence_s", [4, 5])
def test_one_silence_kills_nobody(silence_s: int) -> None:
    # Fails if `SUSPICION_TIMEOUT_HEARTBEATS` is 0, so that every suspected
    # member becomes dead.
    cluster = _cluster(9)
    for _ in range(5):
        cluster.paused = {"vm-004"}
        cluster.run(silence_s)
        cluster.paused = set()
        for _ in range(4):
            cluster.run(1)
            assert all(
                n.state("vm-004") is not member_table.MemberState.DEAD
                for n in cluster.nodes.values()
            )


def test_link_that_fails_alone_kills_nobody_and_does_not_flood() -> None:
    # Fails without `back_off`, since the neighbour would be suspected every
    # 3 s.
    cluster = _cluster(9)
    name = "vm-000"
    other = min(cluster.nodes[name].watch.current_neighbours.successors)
    cluster.cut = {frozenset({name, other})}
    cluster.run(60)
    before = cluster.nodes[name].table.find_by_name(other)
    assert before
    version = before.version
    cluster.run(60)
    assert all(n.live == set(cluster.nodes) for n in cluster.nodes.values())
    after = cluster.nodes[name].table.find_by_name(other)
    assert after
    assert after.version - version <= 4


def test_restart_replaces_the_old_run_and_its_late_news() -> None:
    # Fails if `merge` does not compare start numbers, so that the old run
    # returns.
    cluster = _cluster(9)
    old = cluster.nodes["vm-003"].table.find_by_name("vm-003")
    assert old
    cluster.nodes["vm-003"].links.clear()
    cluster.add("vm-003", "a", start=2)
    cluster.run(5)
    for node in cluster.nodes.values():
        result = node.table.merge(old.member, old.status, cluster.clock.now())
        assert result is member_table.MergeResult.OUTDATED
        entry = node.table.find_by_name("vm-003")
        assert entry
        assert entry.member.start_number == 2
        assert len(node.table.entries) == 9


def test_cut_off_zone_is_unreachable_not_dead_and_heals() -> None:
    # Fails if `_is_death_deferred` is always False, so that members on the
    # other side of the partition become dead.
    cluster = _cluster(60)
    cluster.partition_zone("b")
    cluster.run(12)
    inside = {n for n, node in cluster.nodes.items() if node.zone == "b"}
    for name, node in cluster.nodes.items():
        near = inside if name in inside else _others(cluster, *inside)
        assert node.live == near
    cluster.run(120)
    dead = member_table.MemberState.DEAD
    assert not any(
        entry.state is dead
        for node in cluster.nodes.values()
        for entry in node.table.entries
    )
    cluster.cut = set()
    cluster.run(5)
    assert all(n.live == set(cluster.nodes) for n in cluster.nodes.values())


def test_lost_news_is_repaired_by_comparing_hashes() -> None:
    # Fails if `_compare_hashes` never requests differing buckets.
    cluster = _cluster(9)
    node = cluster.nodes["vm-000"]
    node.table.update_own(generation=7, leaving=False)
    for link in node.links.values():
        link.next_message()
    cluster.run(10)
    for other in cluster.nodes.values():
        entry = other.table.find_by_name("vm-000")
        assert entry
        assert entry.member.generation == 7


def test_notice_reaches_each_daemon_once_and_its_zone_only() -> None:
    # Fails without `_seen`, since copies arrive over every link.
    cluster = _cluster(60)
    received: dict[str, list[bytes]] = {name: [] for name in cluster.nodes}
    for name, node in cluster.nodes.items():
        node.notices.subscribe("k", received[name].append)
    origin = cluster.nodes["vm-000"]
    origin.notices.publish("k", b"all", 30.0)
    origin.notices.publish("k", b"zone", 30.0, within_zone=True)
    assert not origin.notices.publish("k", b"x" * 2000, 30.0)
    cluster.run(8)
    for name in _others(cluster, "vm-000"):
        near = cluster.nodes[name].zone == origin.zone
        assert sorted(received[name]) == (
            [b"all", b"zone"] if near else [b"all"]
        )


def test_daemons_that_left_do_not_separate_the_others() -> None:
    """Guards against rings that lead through daemons which have left."""
    cluster = _cluster(3)
    late = []
    for number in range(12):
        left = next(iter(cluster.nodes))
        cluster.nodes[left].table.update_own(generation=0, leaving=True)
        cluster.run(1)
        zone = cluster.nodes.pop(left).zone
        seed = next(iter(cluster.nodes.values()))
        node = member_cluster.Node(f"new-{number}", zone, 1, cluster.clock)
        cluster.nodes[f"new-{number}"] = node
        cluster.exchange_members(node, seed)
        cluster.run(2)
        received: list[bytes] = []
        for other in cluster.nodes.values():
            other.notices.subscribe(f"k{number}", received.append)
        node.notices.publish(f"k{number}", b"all", 30.0)
        cluster.run(1)
        late += [left] * (len(received) < len(cluster.nodes) - 1)
    assert late == []
    cluster.run(_DETECTION_S)
    present = set(cluster.nodes)
    assert all(node.live == present for node in cluster.nodes.values())


def test_heartbeats_stay_within_their_bytes_at_410_members() -> None:
    # Fails if heartbeats carry the whole table: 410 entries are about 25 KB.
    cluster = _cluster(410)
    for node in cluster.nodes.values():
        node.table.update_own(generation=1, leaving=False)
    change = _sent_bytes(cluster, 4)
    steady = _sent_bytes(cluster, 4) / 4
    per_s = steady + change / _CHANGE_INTERVAL_S
    sent_and_received = 2 * per_s / len(cluster.nodes)
    assert sent_and_received < _BYTES_PER_S


def _sent_bytes(cluster: member_cluster.Cluster, seconds: int) -> int:
    cluster.sent_bytes = cluster.sent_messages = 0
    cluster.run(seconds)
    return cluster.sent_bytes + cluster.sent_messages * _FRAMING_BYTES


def _daemon(
    name: str,
    address: str,
    platform: platform_api.Platform,
    seeds: tuple[str, ...] = (),
) -> membership.Membership:
    context = lease_parts.make_context(
        name, time.time_ns(), platform, heartbeat_s=0.1, seeds=seeds
    )
    return membership.make_membership(context, address)


@pytest.mark.anyio
async def test_daemons_find_each_other_over_grpc_and_miss_a_stopped_one() -> (
    None
):
    platform = platform_memory.MemoryPlatform()
    members: list[membership.Membership] = []
    scopes: list[anyio.CancelScope] = []
    servers: list[grpc.aio.Server] = []

    async def run(found: membership.Membership) -> None:
        with anyio.CancelScope() as scope:
            scopes.append(scope)
            await found.run()

    async def until(names: set[str]) -> None:
        while any({m.name for m in x.live()} != names for x in members):
            await anyio.sleep(0.05)

    with anyio.fail_after(60):
        async with anyio.create_task_group() as group:
            for name in ("x", "y", "z"):
                server = grpc.aio.server()
                port = server.add_insecure_port("127.0.0.1:0")
                address = f"127.0.0.1:{port}"
                platform.vms.vms[name] = platform_api.VirtualMachine(
                    name, address, "a"
                )
                found = _daemon(name, address, platform.interfaces())
                found.register(server)
                await server.start()
                members.append(found)
                servers.append(server)
                group.start_soon(run, found)
            await until({"x", "y", "z"})
            scopes[2].cancel()
            members.pop()
            await servers[2].stop(None)
            await until({"x", "y"})
            group.cancel_scope.cancel()
        for server in servers:
            await server.stop(None)


@pytest.mark.anyio
async def test_heartbeats_go_on_after_their_connection_went_silent() -> None:
    # Fails if the next stream uses the connection of the silent one.
    platform = platform_memory.MemoryPlatform()
    server = grpc.aio.server()
    link = links.Link(server.add_insecure_port("127.0.0.1:0"))
    with anyio.fail_after(30):
        async with anyio.create_task_group() as group:
            await group.start(link.serve)
            address = f"127.0.0.1:{link.port}"
            other = _daemon("y", address, platform.interfaces())
            other.register(server)
            await server.start()
            this = _daemon(
                "x", "127.0.0.1:1", platform.interfaces(), (address,)
            )
            group.start_soon(other.run)
            group.start_soon(this.run)
            while len(this.live()) < 2:
                await anyio.sleep(0.05)
            link.stall_open()
            other._table.update_own(generation=7, leaving=False)
            while {item.generation for item in this.live()} != {0, 7}:
                await anyio.sleep(0.05)
            group.cancel_scope.cancel()
    await server.stop(None)


@pytest.mark.anyio
async def test_cancelled_call_ends_its_own_stream_only() -> None:
    # Fails if `_suppress_stream_end` propagates a CancelledError of grpc.aio,
    # which ends the whole group without an error since it does not come from
    # the cancel scope.
    platform = platform_memory.MemoryPlatform().interfaces()
    server = grpc.aio.server()
    address = f"127.0.0.1:{server.add_insecure_port('127.0.0.1:0')}"
    _daemon("y", address, platform).register(server)
    await server.start()
    streams = _daemon("x", "127.0.0.1:1", platform)._streams
    cycles = 0
    async with anyio.create_task_group() as group:
        for number in range(200):
            streams.maintain(group, frozenset({address}))
            await anyio.sleep(0.002 * (number % 10))
            streams.maintain(group, frozenset())
            await anyio.sleep(0.002)
            cycles += 1
        group.cancel_scope.cancel()
    await server.stop(None)
    assert cycles == 200


@pytest.mark.anyio
async def test_seeds_serve_while_the_list_of_vms_is_down() -> None:
    # Fails if discovery uses only the list of VMs.
    platform = platform_memory.MemoryPlatform()
    platform.vms.down = True
    server = grpc.aio.server()
    address = f"127.0.0.1:{server.add_insecure_port('127.0.0.1:0')}"
    old = _daemon("y", address, platform.interfaces())
    old.register(server)
    await server.start()
    new = _daemon("x", "127.0.0.1:1", platform.interfaces(), (address,))
    with anyio.fail_after(60):
        async with anyio.create_task_group() as group:
            group.start_soon(old.run)
            group.start_soon(new.run)
            while len(new.live()) < 2:
                await anyio.sleep(0.05)
            group.cancel_scope.cancel()
    await server.stop(None)
