"""Measures the cost of membership and the time to notice a silent daemon.

The first table comes from a simulation in virtual time without gRPC: bytes
sent and received up to the planned size, and seconds until every other daemon
has noticed a paused one. The second table comes from daemons in one process
that communicate by gRPC over loopback. Its loopback column counts all traffic
on the machine's loopback device, so run the benchmark in a network namespace
of its own for an exact figure.
"""

from collections.abc import Sequence
import pathlib
import random
import time
from typing import Final

import anyio
import attrs
import grpc
import psutil

from bench import member_cluster
from figstream import clock as clock_lib
from figstream import configuration_holder
from figstream import daemon_context
from figstream import explain
from figstream import membership
from figstream import metrics
from figstream import options
from figstream import platform_api
from figstream import platform_memory
from figstream import scheduler

_VIRTUAL_SIZES: Final = (50, 200, 410)
_REAL_SIZES: Final = (9, 50, 100, 200)
_ZONES: Final = 8
_STEADY_S: Final = 4
_PAUSED_DAEMONS: Final = 8
_MEASURED_S: Final = 4.0
_SETTLE_S: Final = 4.0
_SEED: Final = 5
# HTTP/2 and gRPC headers of a message, TCP/IP headers, and an acknowledgement.
_FRAMING_BYTES: Final = 14 + 52 + 52
_CHANGES_PER_DAY: Final = 1300
_DAY_S: Final = 86_400


def main() -> None:
    """Prints both tables."""
    print("virtual time, 8 zones, heartbeat 1 s, bytes sent and received")
    print(
        "members  steady B/s  B a change  B/s with 1,300 changes a day"
        "  noticed by all after s: median  longest"
    )
    for size in _VIRTUAL_SIZES:
        _print_virtual(size)
    print("gRPC over loopback, daemons in one process, per daemon")
    print("members  CPU %  loopback B/s  memory KB  streams")
    for size in _REAL_SIZES:
        anyio.run(_print_real, size)


def _print_virtual(size: int) -> None:
    cluster = _make_cluster(size)
    steady = _bytes_sent(cluster, _STEADY_S) / _STEADY_S
    for node in cluster.nodes.values():
        node.table.update_own(generation=1, leaving=False)
    change = _bytes_sent(cluster, _STEADY_S) - steady * _STEADY_S
    both = 2 / size
    per_s = both * (steady + change * _CHANGES_PER_DAY / _DAY_S)
    noticed = sorted(_notice_times(cluster))
    print(
        f"{size:7}  {both * steady:10.0f}  {both * change:10.0f}  {per_s:28.0f}"
        f"  {noticed[len(noticed) // 2]:29}  {noticed[-1]:7}"
    )


def _make_cluster(size: int) -> member_cluster.Cluster:
    cluster = member_cluster.Cluster()
    for number in range(size):
        cluster.add(f"vm-{number:03}", f"zone-{number % _ZONES}")
    cluster.add_all_members()
    cluster.run(_STEADY_S)
    return cluster


def _bytes_sent(cluster: member_cluster.Cluster, seconds: int) -> int:
    cluster.sent_bytes = cluster.sent_messages = 0
    cluster.run(seconds)
    return cluster.sent_bytes + cluster.sent_messages * _FRAMING_BYTES


def _notice_times(cluster: member_cluster.Cluster) -> Sequence[int]:
    """Pauses some daemons; returns seconds until all others noticed each."""
    chosen = random.Random(_SEED).sample(sorted(cluster.nodes), _PAUSED_DAEMONS)
    cluster.paused = set(chosen)
    others = [n for name, n in cluster.nodes.items() if name not in chosen]
    noticed: dict[str, int] = {}
    seconds = 0
    while len(noticed) < len(chosen):
        cluster.run(1)
        seconds += 1
        for name in set(chosen) - noticed.keys():
            if not any(name in node.live for node in others):
                noticed[name] = seconds
    return list(noticed.values())


@attrs.frozen
class _Fleet:
    """Memberships of daemons in one process, their servers and platform."""

    platform: platform_memory.MemoryPlatform
    members: list[membership.Membership]
    servers: list[grpc.aio.Server]


async def _print_real(size: int) -> None:
    memory = psutil.Process().memory_info().rss
    fleet = _Fleet(platform_memory.MemoryPlatform(), [], [])
    async with anyio.create_task_group() as group:
        for number in range(size):
            await _start(fleet, number)
            group.start_soon(fleet.members[-1].run)
            # Starts are spread out, since one process handles every join.
            await anyio.sleep(0.02)
        while any(len(item.live()) < size for item in fleet.members):
            await anyio.sleep(0.1)
        await anyio.sleep(_SETTLE_S)
        cpu, received = time.process_time(), _loopback_bytes()
        started = time.monotonic()
        await anyio.sleep(_MEASURED_S)
        passed = time.monotonic() - started
        cpu_s = time.process_time() - cpu
        # Each byte on loopback is sent by one daemon and received by another.
        both = 2 * (_loopback_bytes() - received)
        grown = psutil.Process().memory_info().rss - memory
        print(
            f"{size:7}  {100 * cpu_s / passed / size:5.2f}"
            f"  {both / passed / size:12.0f}  {grown / size / 1024:9.0f}"
            f"  {sum(item.streams for item in fleet.members) / size:7.1f}"
        )
        group.cancel_scope.cancel()
    for server in fleet.servers:
        await server.stop(None)


async def _start(fleet: _Fleet, number: int) -> None:
    zone = f"zone-{number % _ZONES}"
    clock = clock_lib.SystemClock()
    server = grpc.aio.server()
    address = f"127.0.0.1:{server.add_insecure_port('127.0.0.1:0')}"
    context = daemon_context.DaemonContext(
        options.Options(f"vm-{number:03}", zone, "r", "", 0, 0, 0, ""),
        clock,
        time.time_ns(),
        fleet.platform.interfaces(),
        configuration_holder.ConfigurationHolder(clock),
        scheduler.make_scheduler(zone),
        explain.DecisionLog(16),
        metrics.make_unexported_metrics(),
    )
    found = membership.make_membership(context, address)
    found.register(server)
    await server.start()
    name = context.options.name
    vm = platform_api.VirtualMachine(name, address, zone)
    fleet.platform.vms.vms[name] = vm
    fleet.members.append(found)
    fleet.servers.append(server)


def _loopback_bytes() -> int:
    lines = pathlib.Path("/proc/net/dev").read_text().splitlines()
    found = next((x for x in lines if x.strip().startswith("lo:")), "lo: 0")
    return int(found.split()[1])
