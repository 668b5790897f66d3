"""Propagates each accepted generation to every daemon and confirms it.

Two daemons of each zone (watchers) watch the platform and announce new
generations. The other daemons receive them from peers, and read the platform
only if the peers don't answer. Watches may fail or skip changes, so the root
is also read after each watch, and only such a read confirms that a generation
is the newest. Announcements include the age of the confirmation, so that a
partitioned zone knows how long its keys have been unconfirmed.
"""

import collections
import random
from typing import Final

import anyio
import attrs
import grpc

from figstream import configuration_copy
from figstream import configuration_peer
from figstream import configuration_peers
from figstream import configuration_store
from figstream import configuration_tree
from figstream import daemon_context
from figstream import membership_api
from figstream import platform_api
from figstream import serialization
from figstream.rpc import configuration_pb2
from figstream.rpc import configuration_pb2_grpc

# Received statuses that may be queued.
_MAX_QUEUED_STATUSES: Final = 256
_CONCURRENT_HANDLERS: Final = 16
# `receive` needs the time of the last check but one.
_CHECK_TIMES_KEPT: Final = 2
_REMOVAL_ROLE: Final = "configuration_removal"


@attrs.frozen
class _ReceivedStatus:
    """A status and a lower bound of the clock time at which it was sent."""

    status: configuration_peer.Status
    sent_at: float


@attrs.frozen
class Intervals:
    """Intervals and timeouts of the propagation, in seconds.

    Attributes:
      watch_timeout_s: timeout of one watch.
      watch_pause_s: pause between two watches.
      check_interval_s: interval of checks of the generations of peers.
      announce_interval_s: interval of announcements of an unchanged generation.
      stale_s: age of the confirmation above which peers are polled.
      poll_interval_s: longest interval of polls of the statuses of peers.
      propagation_s: longest time that a change takes to propagate within a
        zone.
      removal_interval_s: interval of removals of unused shards.
    """

    watch_timeout_s: float = 2.0
    watch_pause_s: float = 0.1
    check_interval_s: float = 0.5
    announce_interval_s: float = 10.0
    stale_s: float = 25.0
    poll_interval_s: float = 5.0
    propagation_s: float = 8.0
    removal_interval_s: float = 600.0


class ConfigurationSpread:
    """Role that propagates the configuration to and from one daemon."""

    def __init__(
        self,
        context: daemon_context.DaemonContext,
        members: membership_api.Members,
        intervals: Intervals,
    ) -> None:
        """Initializes the role with generation 0."""
        self._objects = context.platform.objects
        self._clock = context.clock
        self._metrics = context.metrics
        self._members = members
        self._intervals = intervals
        self._random = random.Random(context.start_number)
        self._store = configuration_store.ConfigurationStore(
            context.platform.objects, context.clock
        )
        self.copy = configuration_copy.ConfigurationCopy(
            context.holder, context.clock, context.metrics
        )
        self.peers = configuration_peers.make_configuration_peers(
            self.copy,
            members,
            context.clock,
            context.metrics,
            context.start_number,
            intervals.announce_interval_s,
        )
        self._position = 0
        self._announced_generation = 0
        self._announced_at = float("-inf")
        self._next_poll_at = float("-inf")
        self._checked_at = collections.deque(
            [context.clock.now()], maxlen=_CHECK_TIMES_KEPT
        )
        self._status_sender, self._status_receiver = (
            anyio.create_memory_object_stream[_ReceivedStatus](
                _MAX_QUEUED_STATUSES
            )
        )

    async def run(self) -> None:
        """Runs until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._watch_forever)
            group.start_soon(self._catch_up_forever)
            group.start_soon(self._remove_shards_forever)
            for _ in range(_CONCURRENT_HANDLERS):
                group.start_soon(self._handle_forever)

    async def hand_over(self) -> None:
        """Does nothing, since this role has no state to transfer."""

    def register(self, server: grpc.aio.Server) -> None:
        """Registers the gRPC service that peers call."""
        configuration_pb2_grpc.add_ConfigurationSpreadServicer_to_server(
            configuration_peer.PeerServicer(self), server
        )

    def receive(
        self, status: configuration_peer.Status
    ) -> configuration_peer.Status:
        """Queues the status of a peer; returns the one of this daemon.

        While this process is paused, statuses wait in the socket buffer, so
        the time of receipt may be much later than the time of sending. A
        status is therefore treated as sent at the last check but one: any
        status sent earlier had been received by then.
        """
        try:
            received = _ReceivedStatus(status, self._checked_at[0])
            self._status_sender.send_nowait(received)
        except anyio.WouldBlock:
            self._metrics.event("configuration_inbox_full")
        return self.peers.status()

    async def handle_next(self) -> None:
        """Waits for the next queued status and handles it."""
        received = await self._status_receiver.receive()
        await self.peers.handle(received.status, received.sent_at)

    def pull_response(
        self, generation: int
    ) -> configuration_peer.PullResponse | None:
        """Returns the root and the shards that a lower generation lacks.

        Returns None if the given generation is not lower.
        """
        if generation >= self.copy.generation:
            return None
        root = configuration_pb2.RootPart(
            body=serialization.to_json(self.copy.snapshot.root),
            confirmed_age_s=self.copy.unconfirmed_s,
        )
        return configuration_peer.PullResponse(
            root, self.copy.shards_missing_from(generation)
        )

    async def accept(
        self,
        change: configuration_store.Change,
        base_generation: int,
        write_id: str = "",
    ) -> configuration_store.AcceptOutcome:
        """Applies a change to the base generation and announces the result.

        This daemon propagates the change to its peers itself, since the
        platform may become unavailable right after accepting the change.

        Args:
          change: returns the new configuration for the current one; may raise
            errors.ConfigurationError.
          base_generation: generation on which the change is based.
          write_id: unique id of the change; a retry with the same id never
            applies the change twice.
        """
        asked_at = self._clock.now()
        outcome = await self._store.accept(
            change, base_generation, write_id, self.copy.snapshot.bodies
        )
        if isinstance(outcome, configuration_store.Accepted):
            if outcome.snapshot:
                self.copy.activate(outcome.snapshot, asked_at, "operator")
            self.receive(self.peers.root_status())
            await self.peers.poll()
        return outcome

    async def watch_once(self) -> None:
        """Waits for a change, then reads and announces the newest generation.

        The platform is also read if the watch failed or showed no change.
        """
        changes = await self._objects.watch(
            configuration_store.ROOT,
            self._position,
            self._intervals.watch_timeout_s,
        )
        if isinstance(changes, platform_api.Unavailable):
            self._metrics.event("configuration_watch_failed")
            pause_s = self._random.uniform(0, self._intervals.check_interval_s)
            await self._clock.sleep(pause_s)
        else:
            self._position = changes.position
        await self.read_platform()
        self._announce_if_due()

    async def read_platform(self) -> None:
        """Reads the newest generation from the platform and confirms it."""
        asked_at = self._clock.now()
        found = await self._store.read_newest(self.copy.snapshot.bodies)
        if isinstance(found, platform_api.Unavailable):
            self._metrics.event("configuration_read_failed")
        else:
            self.copy.activate(found, asked_at, "platform")

    async def catch_up(self) -> None:
        """Pulls from a peer with a higher generation, or polls the peers.

        The peers are polled if the pull failed or the confirmation is stale.
        If the confirmation is still stale after that, the platform is read
        (unless this daemon is a watcher, which reads it anyway).
        """
        self._checked_at.append(self._clock.now())
        caught_up = await self.peers.pull_newest()
        if caught_up and not self._is_stale():
            return
        if self._clock.now() < self._next_poll_at:
            return
        wait_s = self._intervals.poll_interval_s * self._random.uniform(0.5, 1)
        asked_at = self._clock.now()
        self._next_poll_at = asked_at + wait_s
        every_zone_answered = await self.peers.poll()
        if self._is_stale() and not self._is_watcher():
            await self.read_platform()
        if self._is_stale() and every_zone_answered:
            self._confirm_by_zones(asked_at)

    def _confirm_by_zones(self, asked_at: float) -> None:
        """Confirms the generation while no zone can reach the platform.

        A change is accepted through a daemon and propagates within the zone
        of that daemon in `propagation_s`. If a peer of every zone answered
        without knowing a higher generation, then no change was accepted more
        than `propagation_s` before the peers were polled.
        """
        self._metrics.event("configuration_confirmed_by_zones")
        age_s = self._clock.now() - asked_at + self._intervals.propagation_s
        self.copy.confirm(self.copy.generation, age_s)

    def _announce_if_due(self) -> None:
        """Queues an announcement along the tree rooted at this daemon."""
        now = self._clock.now()
        due_at = self._announced_at + self._intervals.announce_interval_s
        changed = self._announced_generation != self.copy.generation
        if changed or now >= due_at:
            self._announced_generation = self.copy.generation
            self._announced_at = now
            self.receive(self.peers.root_status())

    def _is_stale(self) -> bool:
        return self.copy.unconfirmed_s > self._intervals.stale_s

    def _is_watcher(self) -> bool:
        this = self._members.this()
        chosen = configuration_tree.watchers(self._members, this.zone)
        return this.name in [item.name for item in chosen]

    async def _watch_forever(self) -> None:
        while True:
            if self._is_watcher():
                await self.watch_once()
                await self._clock.sleep(self._intervals.watch_pause_s)
            else:
                await self._clock.sleep(self._intervals.check_interval_s)

    async def _catch_up_forever(self) -> None:
        while True:
            await self._clock.sleep(self._intervals.check_interval_s)
            await self.catch_up()

    async def _handle_forever(self) -> None:
        while True:
            await self.handle_next()

    async def _remove_shards_forever(self) -> None:
        while True:
            await self._clock.sleep(self._intervals.removal_interval_s)
            first = self._members.ranked(_REMOVAL_ROLE)[:1]
            if self._members.this().name in [item.name for item in first]:
                removed = await self._store.remove_unreferenced()
                self._metrics.event("configuration_shards_removed", removed)


def make_configuration_propagation(
    context: daemon_context.DaemonContext,
    members: membership_api.Members,
    intervals: Intervals | None = None,
) -> ConfigurationSpread:
    """Creates the role that propagates the configuration."""
    return ConfigurationSpread(context, members, intervals or Intervals())
