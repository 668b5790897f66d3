"""Exchanges generations of the configuration with the peers of a daemon.

Announcements are forwarded along two trees (see `configuration_tree`). A
daemon that receives an announcement of a higher generation pulls that
generation from the announcing daemon.
"""

import random
from typing import Final

import anyio

from figstream import clock as clock_lib
from figstream import configuration_copy
from figstream import configuration_peer
from figstream import configuration_tree
from figstream import membership_api
from figstream import metrics as metrics_lib

# Enough for the trees of the last few changes.
_MAX_TREES: Final = 64
# Peers that are tried before the platform is read.
_MAX_PEERS_TRIED: Final = 3
_NEVER: Final = float("-inf")


class ConfigurationPeers:
    """Exchanges the configuration with the live daemons."""

    def __init__(
        self,
        copy: configuration_copy.ConfigurationCopy,
        members: membership_api.Members,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
        rng: random.Random,
        announce_interval_s: float,
    ) -> None:
        """Initializes the exchange.

        Args:
          copy: the configuration of this daemon.
          members: the live daemons.
          clock: the clock.
          metrics: counts failed calls.
          rng: shuffles the peers.
          announce_interval_s: seconds between announcements of an unchanged
            generation.
        """
        self._copy = copy
        self._members = members
        self._clock = clock
        self._metrics = metrics
        self._random = rng
        self._announce_interval_s = announce_interval_s
        self._forwarded: dict[str, tuple[int, float]] = {}
        self._pull_lock = anyio.Lock()

    def status(
        self, tree_root: str = "", *, backwards: bool = False
    ) -> configuration_peer.Status:
        """Returns the status that this daemon sends to its peers."""
        return configuration_peer.Status(
            daemon=self._members.this().name,
            generation=self._copy.generation,
            confirmed_age_s=self._copy.unconfirmed_s,
            tree_root=tree_root,
            backwards=backwards,
        )

    def root_status(self) -> configuration_peer.Status:
        """Returns the status that this daemon sends as the root of a tree."""
        this = self._members.this()
        chosen = configuration_tree.watchers(self._members, this.zone)
        first = chosen[0].name if chosen else this.name
        return self.status(this.name, backwards=this.name != first)

    async def handle(
        self, status: configuration_peer.Status, sent_at: float
    ) -> None:
        """Applies an announcement and forwards it along its tree.

        Args:
          status: the announced status.
          sent_at: lower bound of the clock time at which the status was sent.
        """
        sender = self._member(status.daemon)
        if sender and not await self._apply_status(sender, status, sent_at):
            return
        if status.tree_root and self._should_forward(status.tree_root):
            await self._forward(status.tree_root, backwards=status.backwards)

    async def pull_newest(self) -> bool:
        """Pulls from a peer whose heartbeat shows a higher generation.

        Returns:
          Whether no peer is known to have a higher generation any more.
        """
        live = self._members.live()
        highest = max((item.generation for item in live), default=0)
        if highest <= self._copy.generation:
            return True
        ahead = [item for item in self._peers() if item.generation == highest]
        for member in ahead[:_MAX_PEERS_TRIED]:
            if await self._pull_from(member, highest):
                return True
        return False

    async def poll(self) -> bool:
        """Exchanges statuses with one peer of each zone.

        Returns:
          Whether a peer of every other zone answered and this daemon is not
          behind any of them.
        """
        peer_by_zone = {item.zone: item for item in self._peers()}
        answered: set[str] = set()

        async def poll(member: membership_api.Member) -> None:
            if await self._announce_to(member, self.status()):
                answered.add(member.zone)

        async with anyio.create_task_group() as group:
            for member in peer_by_zone.values():
                group.start_soon(poll, member)
        # Without a configured zone, the set of zones that must answer is
        # unknown.
        if not self._copy.zones or not answered:
            return False
        own_zone = self._members.this().zone
        other_zones = (self._copy.zones | peer_by_zone.keys()) - {own_zone}
        return other_zones <= answered

    def _member(self, name: str) -> membership_api.Member | None:
        live = self._members.live()
        return next((item for item in live if item.name == name), None)

    def _peers(self) -> list[membership_api.Member]:
        """Returns the peers in random order, peers of this zone first."""
        this = self._members.this()
        peers = [m for m in self._members.live() if m.name != this.name]
        self._random.shuffle(peers)
        return sorted(peers, key=lambda item: item.zone != this.zone)

    async def _apply_status(
        self,
        member: membership_api.Member,
        status: configuration_peer.Status,
        sent_at: float,
    ) -> bool:
        """Applies the status of a peer: pulls its generation or confirms.

        Returns:
          Whether this daemon now has the generation of the peer or a higher
          one.
        """
        if status.generation > self._copy.generation:
            return await self._pull_from(member, status.generation)
        age_s = status.confirmed_age_s + self._clock.now() - sent_at
        self._copy.confirm(status.generation, age_s)
        return True

    async def _pull_from(
        self, member: membership_api.Member, generation: int
    ) -> bool:
        """Pulls a generation from a peer unless this daemon already has it.

        Returns:
          Whether this daemon now has the given generation or a higher one.
        """
        async with self._pull_lock:
            if self._copy.generation >= generation:
                return True
            asked_at = self._clock.now()
            pulled = await configuration_peer.pull(
                self._members, member, self._copy.snapshot
            )
        if pulled is None:
            self._metrics.event("configuration_pull_failed")
            return False
        confirmed_at = asked_at - pulled.confirmed_age_s
        activated = self._copy.activate(
            pulled.snapshot, confirmed_at, member.name
        )
        return activated and self._copy.generation >= generation

    def _should_forward(self, tree_root: str) -> bool:
        """Returns whether to forward the generation of this daemon.

        The generation is forwarded, and recorded as forwarded, if it is higher
        than the last one forwarded along this tree, or if its confirmation is
        more recent by more than half of the announcement interval.
        """
        confirmed_at = self._clock.now() - self._copy.unconfirmed_s
        generation, last_confirmed_at = self._forwarded.get(
            tree_root, (0, _NEVER)
        )
        is_recent = (
            confirmed_at > last_confirmed_at + self._announce_interval_s / 2
        )
        if self._copy.generation <= generation and not is_recent:
            return False
        if len(self._forwarded) >= _MAX_TREES:
            self._forwarded.clear()
        self._forwarded[tree_root] = (self._copy.generation, confirmed_at)
        return True

    async def _forward(self, tree_root: str, *, backwards: bool) -> None:
        children = configuration_tree.children(
            self._members, tree_root, backwards=backwards
        )
        async with anyio.create_task_group() as group:
            for child in children:
                status = self.status(tree_root, backwards=backwards)
                group.start_soon(self._announce_to, child, status)

    async def _announce_to(
        self,
        member: membership_api.Member,
        status: configuration_peer.Status,
    ) -> bool:
        """Sends a status to a peer and applies the status it returns.

        Returns:
          Whether the peer answered and this daemon is not behind the peer.
        """
        asked_at = self._clock.now()
        answer = await configuration_peer.announce(
            self._members, member, status
        )
        if answer is None:
            self._metrics.event("configuration_announce_failed")
            return False
        return await self._apply_status(member, answer, asked_at)


def make_configuration_peers(
    copy: configuration_copy.ConfigurationCopy,
    members: membership_api.Members,
    clock: clock_lib.Clock,
    metrics: metrics_lib.Metrics,
    seed: int,
    announce_interval_s: float,
) -> ConfigurationPeers:
    """Creates the exchange with the live daemons."""
    rng = random.Random(seed)
    return ConfigurationPeers(
        copy, members, clock, metrics, rng, announce_interval_s
    )
