"""Runs several daemons in one process, for tests of the configuration.

Each daemon has only the configuration role. The daemons call each other over
gRPC on the loopback interface.
"""

from collections.abc import AsyncIterator
from collections.abc import Sequence
import contextlib

import attrs
import grpc

from figstream import backend_server
from figstream import clock as clock_lib
from figstream import configuration as configuration_lib
from figstream import configuration_holder
from figstream import configuration_propagation
from figstream import configuration_store
from figstream import customer as customer_lib
from figstream import daemon_context
from figstream import explain
from figstream import membership_api
from figstream import metrics as metrics_lib
from figstream import options as options_lib
from figstream import platform_memory
from figstream import scheduler


class Fleet:
    """The daemons of a test, their platform and their network partitions."""

    def __init__(self) -> None:
        self.memory = platform_memory.MemoryPlatform()
        self.clock: clock_lib.ManualClock = clock_lib.ManualClock()
        self.nodes: dict[str, Node] = {}
        self.heartbeats = True
        self.stale_s = 25.0
        self.partitioned_zones: set[str] = set()
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
    """Stand-in for the membership: lists the daemons that one can reach."""

    def __init__(self, fleet: Fleet, name: str) -> None:
        self._fleet = fleet
        self._name = name

    def this(self) -> membership_api.Member:
        return self._fleet.nodes[self._name].member

    def live(self) -> Sequence[membership_api.Member]:
        zone = self.this().zone
        partitioned = self._fleet.partitioned_zones
        return [
            self._with_heartbeat_generation(node)
            for _, node in sorted(self._fleet.nodes.items())
            if node.member.zone == zone
            or not {zone, node.member.zone} & partitioned
        ]

    def ranked(
        self, role: str, zone: str = ""
    ) -> Sequence[membership_api.Member]:
        return [item for item in self.live() if zone in ("", item.zone)]

    def channel(self, member: membership_api.Member) -> grpc.aio.Channel:
        return self._fleet.nodes[member.name].channel

    def _with_heartbeat_generation(self, node: "Node") -> membership_api.Member:
        generation = node.propagation.copy.generation
        if not self._fleet.heartbeats:
            generation = 0
        return attrs.evolve(node.member, generation=generation)


class Node:
    """One daemon with only the configuration role."""

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
        self.propagation = (
            configuration_propagation.make_configuration_propagation(
                context,
                FakeMembers(fleet, name),
                configuration_propagation.Intervals(
                    watch_timeout_s=0.01, stale_s=fleet.stale_s
                ),
            )
        )
        self.propagation.register(self.server)
        fleet.nodes[name] = self


@contextlib.asynccontextmanager
async def run_daemons(
    fleet: Fleet, zones: str, clock: clock_lib.Clock | None = None
) -> AsyncIterator[Sequence[Node]]:
    """Starts one daemon for each letter of `zones`, which names its zone."""
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


def add_servers(zones: str) -> configuration_store.Change:
    servers = tuple(
        backend_server.BackendServer(f"s-{zone}", "http://127.0.0.1:9", zone)
        for zone in zones
    )
    return lambda old: attrs.evolve(old, servers=servers)
