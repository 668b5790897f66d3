"""Simulates the memberships of many daemons in virtual time.

Links between the daemons can be cut, and daemons paused. The membership
benchmark and `tests/test_membership.py` use the simulation.
"""

from collections.abc import Iterable
import itertools

import attrs

from figstream import clock as clock_lib
from figstream import member_table
from figstream import member_zones
from figstream import membership_api
from figstream import membership_heartbeat
from figstream import membership_silence
from figstream import metrics
from figstream import notices

_EXCHANGES_PER_S = 5
NEIGHBOURS = 6


class Node:
    """One daemon's membership without gRPC."""

    def __init__(
        self, name: str, zone: str, start: int, clock: clock_lib.ManualClock
    ) -> None:
        """Initializes a membership that knows only this daemon."""
        this = membership_api.Member(name, zone, "r", f"{name}:1", start)
        now = clock.now()
        table = member_table.MemberTable(this, 3.0, now)
        unexported = metrics.make_unexported_metrics()
        self.notices = notices.Notices(table.own_run, zone, clock, unexported)
        self.shared = membership_heartbeat.HeartbeatState(
            table,
            member_zones.ZoneTicks(zone, now),
            self.notices,
            clock,
            unexported,
            1.0,
            last_received_at=now,
        )
        self.table = table
        self.zone = zone
        self.watch = membership_silence.SilenceDetector(self.shared, NEIGHBOURS)
        self.links: dict[str, membership_heartbeat.HeartbeatSession] = {}
        table.on_change(self._on_change)
        self.notices.set_forward(self._forward_notice)

    @property
    def live(self) -> set[str]:
        """Returns the names of the members that this daemon can reach."""
        return {
            item.member.name
            for item in self.table.entries
            if self.watch.can_reach(item)
        }

    def state(self, name: str) -> member_table.MemberState | None:
        """Returns the state of a member in this daemon's table, if listed."""
        entry = self.table.find_by_name(name)
        return entry.state if entry else None

    def _on_change(self, run: int, new: bool) -> None:
        for link in self.links.values():
            (link.add_entry if new else link.add_status)(run)

    def _forward_notice(self, notice: notices.Notice) -> None:
        for link in self.links.values():
            link.add_notice(notice)


@attrs.define
class Cluster:
    """Nodes that exchange heartbeats once per virtual second.

    Attributes:
      clock: virtual time.
      nodes: the daemons by name.
      paused: names of daemons that neither send nor receive.
      cut: pairs of names whose link is cut.
      sent_bytes: bytes of all messages sent, without framing.
      sent_messages: number of messages sent.
    """

    clock: clock_lib.ManualClock = attrs.field(factory=clock_lib.ManualClock)
    nodes: dict[str, Node] = attrs.field(factory=dict)
    paused: set[str] = attrs.field(factory=set)
    cut: set[frozenset[str]] = attrs.field(factory=set)
    sent_bytes: int = 0
    sent_messages: int = 0

    def add(self, name: str, zone: str, start: int = 1) -> Node:
        """Adds a daemon, which joins through the first daemon added."""
        node = Node(name, zone, start, self.clock)
        self.nodes[name] = node
        for seed in itertools.islice(self.nodes.values(), 1):
            if seed is not node:
                self.exchange_members(node, seed)
        return node

    def add_all_members(self) -> None:
        """Adds every member to every table, which saves the time of joining."""
        entries = [
            entry
            for node in self.nodes.values()
            if (entry := node.table.find(node.table.own_run))
        ]
        for node in self.nodes.values():
            for entry in entries:
                node.table.merge(entry.member, entry.status, self.clock.now())

    def partition_zone(self, zone: str) -> None:
        """Partitions a zone from all others."""
        inside = {n for n, node in self.nodes.items() if node.zone == zone}
        self.cut = {
            frozenset({a, b})
            for a in inside
            for b in self.nodes.keys() - inside
        }

    def run(self, seconds: int) -> None:
        """Advances the clock by seconds and exchanges heartbeats in each."""
        for _ in range(seconds):
            self.clock.advance(1.0)
            unpaused = [n for n in self.nodes if n not in self.paused]
            for name in unpaused:
                self.nodes[name].watch.check()
            self._update_links(unpaused)
            for number in range(_EXCHANGES_PER_S):
                self._exchange(unpaused, everyone=number == 0)

    def exchange_members(self, node: Node, seed: Node) -> None:
        """Exchanges members: the seed's table for the node's own entry."""
        for entry in seed.table.entries:
            node.table.merge(entry.member, entry.status, self.clock.now())
        own = node.table.find(node.table.own_run)
        assert own
        seed.table.merge(own.member, own.status, self.clock.now())

    def _is_link_open(self, a: str, b: str) -> bool:
        return b in self.nodes and frozenset({a, b}) not in self.cut

    def _update_links(self, unpaused: Iterable[str]) -> None:
        wanted = {
            frozenset({name, other})
            for name in unpaused
            for other in self.nodes[name].watch.current_neighbours.successors
            if self._is_link_open(name, other)
        }
        for name, node in self.nodes.items():
            for other in list(node.links):
                if frozenset({name, other}) not in wanted:
                    del node.links[other]
        for a, b in map(sorted, wanted):
            if b not in self.nodes[a].links or a not in self.nodes[b].links:
                for one, other in ((a, b), (b, a)):
                    shared = self.nodes[one].shared
                    self.nodes[one].links[other] = (
                        membership_heartbeat.HeartbeatSession(shared)
                    )

    def _exchange(self, unpaused: list[str], *, everyone: bool) -> None:
        present = set(unpaused)
        for name in unpaused:
            for other, link in list(self.nodes[name].links.items()):
                if other not in present or not (everyone or link.has_queued):
                    continue
                message = link.next_message()
                self.sent_bytes += message.ByteSize()
                self.sent_messages += 1
                reverse_link = self.nodes[other].links.get(name)
                if reverse_link:
                    reverse_link.receive(message)
