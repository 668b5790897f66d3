"""Members in virtual time, joined by links that a test can cut."""

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

_ROUNDS = 5
NEIGHBOURS = 6


class Node:
    """One daemon's membership without gRPC."""

    def __init__(
        self, name: str, zone: str, start: int, clock: clock_lib.ManualClock
    ) -> None:
        """Starts with this daemon alone."""
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
        table.on_change(self._changed)
        self.notices.set_forward(self._notice)

    @property
    def live(self) -> set[str]:
        """Returns the names of the members that it can reach."""
        return {
            item.member.name
            for item in self.table.entries
            if self.watch.can_reach(item)
        }

    def state(self, name: str) -> member_table.MemberState | None:
        """Returns what it believes about a member."""
        entry = self.table.find_by_name(name)
        return entry.state if entry else None

    def _changed(self, run: int, new: bool) -> None:
        for link in self.links.values():
            (link.add_entry if new else link.add_status)(run)

    def _notice(self, notice: notices.Notice) -> None:
        for link in self.links.values():
            link.add_notice(notice)


@attrs.define
class Cluster:
    """Nodes that exchange heartbeats once a virtual second.

    Attributes:
      clock: virtual time.
      nodes: the daemons by name.
      paused: names of daemons that do nothing.
      cut: pairs of names between which nothing passes.
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
        """Adds a daemon, which finds the others by the first one."""
        node = Node(name, zone, start, self.clock)
        self.nodes[name] = node
        for seed in itertools.islice(self.nodes.values(), 1):
            if seed is not node:
                self.greet(node, seed)
        return node

    def introduce_all(self) -> None:
        """Fills every table before any link is open, which saves time."""
        entries = [
            entry
            for node in self.nodes.values()
            if (entry := node.table.find(node.table.own_run))
        ]
        for node in self.nodes.values():
            for entry in entries:
                node.table.merge(entry.member, entry.status, self.clock.now())

    def cut_zone(self, zone: str) -> None:
        """Cuts a zone off from all others."""
        inside = {n for n, node in self.nodes.items() if node.zone == zone}
        self.cut = {
            frozenset({a, b})
            for a in inside
            for b in self.nodes.keys() - inside
        }

    def run(self, seconds: int) -> None:
        """Lets virtual seconds pass."""
        for _ in range(seconds):
            self.clock.advance(1.0)
            awake = [n for n in self.nodes if n not in self.paused]
            for name in awake:
                self.nodes[name].watch.check()
            self._relink(awake)
            for number in range(_ROUNDS):
                self._exchange(awake, everyone=number == 0)

    def greet(self, node: Node, seed: Node) -> None:
        """Lets two daemons exchange what they know of each other."""
        for entry in seed.table.entries:
            node.table.merge(entry.member, entry.status, self.clock.now())
        own = node.table.find(node.table.own_run)
        assert own
        seed.table.merge(own.member, own.status, self.clock.now())

    def _open(self, a: str, b: str) -> bool:
        return b in self.nodes and frozenset({a, b}) not in self.cut

    def _relink(self, awake: Iterable[str]) -> None:
        wanted = {
            frozenset({name, other})
            for name in awake
            for other in self.nodes[name].watch.current_neighbours.successors
            if self._open(name, other)
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

    def _exchange(self, awake: list[str], *, everyone: bool) -> None:
        present = set(awake)
        for name in awake:
            for other, link in list(self.nodes[name].links.items()):
                if other not in present or not (everyone or link.has_queued):
                    continue
                message = link.next_message()
                self.sent_bytes += message.ByteSize()
                self.sent_messages += 1
                back = self.nodes[other].links.get(name)
                if back:
                    back.receive(message)
