"""Tests that no daemon treats an outdated generation as confirmed.

A daemon would accept withdrawn keys if it confirmed a generation as the newest
although a higher one had been accepted. The test runs random sequences of
changes, reads, announcements, network partitions and platform outages.
"""

from collections.abc import Sequence

import anyio
import hypothesis
from hypothesis import strategies as st

from figstream import configuration_store
from tests import configuration_fleet

_STEPS = ("accept", "read", "catch_up", "tell", "advance", "cut", "block")


class Replay:
    """Runs random steps and records the changes that were accepted."""

    def __init__(
        self,
        fleet: configuration_fleet.Fleet,
        nodes: Sequence[configuration_fleet.Node],
    ) -> None:
        self._fleet = fleet
        self._nodes = nodes
        self._accepted: list[tuple[float, int]] = []
        self._highest = dict.fromkeys(range(len(nodes)), 0)

    async def run_step(self, step: str, index: int) -> None:
        node = self._nodes[index]
        clients = {n.member.name for n in self._nodes if _same_zone(n, node)}
        match step:
            case "accept":
                await self._accept(node)
            case "read":
                await node.propagation.read_platform()
            case "catch_up":
                await node.propagation.catch_up()
            case "tell":
                other = self._nodes[index - 1]
                other.propagation.receive(node.propagation.peers.status())
                await other.propagation.handle_next()
            case "advance":
                await self._propagate_in_zones()
                self._fleet.clock.advance(20.0 * (index + 1))
            case "cut":
                self._fleet.partitioned_zones ^= {node.member.zone}
            case _:
                self._fleet.memory.gate.faults.blocked_clients ^= clients

    def check(self) -> None:
        now = self._fleet.clock.now()
        for index, node in enumerate(self._nodes):
            generation = node.holder.current.generation
            assert generation >= self._highest[index], "reverted"
            self._highest[index] = generation
            confirmed_at = now - node.holder.unconfirmed_s
            newest = max(
                (g for at, g in self._accepted if at < confirmed_at), default=0
            )
            assert generation >= newest, (
                "confirmed although a higher generation had been accepted"
            )

    async def _accept(self, node: configuration_fleet.Node) -> None:
        stored = await self._fleet.store.read_root()
        assert isinstance(stored, configuration_store.StoredRoot)
        base = stored.root.generation
        accepted_at = self._fleet.clock.now()
        outcome = await node.propagation.accept(
            configuration_fleet.add_servers("abc"), base
        )
        if isinstance(outcome, configuration_store.Accepted):
            self._accepted.append((accepted_at, outcome.generation))

    async def _propagate_in_zones(self) -> None:
        # A change propagates within its zone in less than the time by which
        # the step "advance" moves the clock.
        for node in self._nodes:
            same = [n for n in self._nodes if _same_zone(n, node)]
            for peer in same:
                status = peer.propagation.peers.status()
                await node.propagation.peers.handle(
                    status, self._fleet.clock.now()
                )


def _same_zone(
    left: configuration_fleet.Node, right: configuration_fleet.Node
) -> bool:
    return left.member.zone == right.member.zone


async def _replay(steps: Sequence[tuple[str, int]]) -> None:
    fleet = configuration_fleet.Fleet()
    async with configuration_fleet.run_daemons(fleet, "aabc") as nodes:
        replay = Replay(fleet, nodes)
        for step, index in steps:
            await replay.run_step(step, index)
            replay.check()


@hypothesis.settings(max_examples=200, deadline=None, derandomize=True)
@hypothesis.given(
    st.lists(st.tuples(st.sampled_from(_STEPS), st.integers(0, 3)), max_size=30)
)
@hypothesis.example(
    [("accept", 2), ("advance", 0), ("cut", 0), ("catch_up", 0)]
)
def test_no_daemon_takes_an_old_generation_for_confirmed(
    steps: list[tuple[str, int]],
) -> None:
    """Fails if `poll` returns true without an answer from every zone."""
    anyio.run(_replay, steps)
