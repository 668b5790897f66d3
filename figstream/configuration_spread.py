"""Brings each accepted generation to every daemon, and confirms it.

Two daemons of a zone watch the platform and announce what they find; the
others get it from their peers, and only if these are silent from the
platform. Watches may break or skip changes, so the root is also read after
each watch, and only such a read confirms that a generation is the newest.
The age of the confirmation travels along, so that a zone that is cut off
knows how long its keys have been unconfirmed.
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

# Announcements that may wait.
_INBOX_LIMIT: Final = 256
# Announcements handled at the same time.
_HANDLED_AT_ONCE: Final = 16
# Looks at peers that are compared.
_CHECKS_REMEMBERED: Final = 2
_REMOVAL_ROLE: Final = "configuration_removal"


@attrs.frozen
class _Received:
    """A status, and a clock time before which it was not sent."""

    status: configuration_peer.Status
    sent_at: float


@attrs.frozen
class Intervals:
    """How often things happen, in seconds.

    Attributes:
      watch_s: longest wait of one watch.
      settle_s: shortest time from one watch to the next.
      check_s: between looks at the generations of peers.
      announce_s: between announcements of an unchanged generation.
      stale_s: age of the confirmation from which peers are asked.
      ask_s: longest time between questions to peers.
      spread_s: longest time that a change takes within a zone.
      removal_s: between removals of unused shards.
    """

    watch_s: float = 2.0
    settle_s: float = 0.1
    check_s: float = 0.5
    announce_s: float = 10.0
    stale_s: float = 25.0
    ask_s: float = 5.0
    spread_s: float = 8.0
    removal_s: float = 600.0


class ConfigurationSpread:
    """The role that keeps the configuration of one daemon up to date."""

    def __init__(
        self,
        context: daemon_context.DaemonContext,
        members: membership_api.Members,
        intervals: Intervals,
    ) -> None:
        """Starts with generation 0."""
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
            intervals.announce_s,
        )
        self._position = 0
        self._announced_generation = 0
        self._announced_at = float("-inf")
        self._ask_at = float("-inf")
        self._checked_at = collections.deque(
            [context.clock.now()], maxlen=_CHECKS_REMEMBERED
        )
        self._inbox_in, self._inbox = anyio.create_memory_object_stream[
            _Received
        ](_INBOX_LIMIT)

    async def run(self) -> None:
        """Runs until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._watch_forever)
            group.start_soon(self._catch_up_forever)
            group.start_soon(self._remove_forever)
            for _ in range(_HANDLED_AT_ONCE):
                group.start_soon(self._handle_forever)

    async def hand_over(self) -> None:
        """Holds nothing that would have to be given up."""

    def register(self, server: grpc.aio.Server) -> None:
        """Adds the service that peers call."""
        configuration_pb2_grpc.add_ConfigurationSpreadServicer_to_server(
            configuration_peer.SpreadServicer(self), server
        )

    def receive(
        self, status: configuration_peer.Status
    ) -> configuration_peer.Status:
        """Queues a status; returns this daemon's.

        While this process is paused, statuses wait in the socket. So one
        counts as sent at the last check but one, since whatever came earlier
        had been received by then.
        """
        try:
            received = _Received(status, self._checked_at[0])
            self._inbox_in.send_nowait(received)
        except anyio.WouldBlock:
            self._metrics.event("configuration_inbox_full")
        return self.peers.status()

    async def handle_next(self) -> None:
        """Waits for a status that was received, and acts on it."""
        received = await self._inbox.receive()
        await self.peers.handle(received.status, received.sent_at)

    def parts_for(self, generation: int) -> configuration_peer.Handover | None:
        """Returns what a peer with a lower generation lacks."""
        if generation >= self.copy.generation:
            return None
        root = configuration_pb2.RootPart(
            body=serialization.to_json(self.copy.snapshot.root),
            confirmed_age_s=self.copy.unconfirmed_s,
        )
        return configuration_peer.Handover(
            root, self.copy.missing_in(generation)
        )

    async def accept(
        self,
        change: configuration_store.Change,
        base_generation: int,
        write_id: str = "",
    ) -> configuration_store.AcceptOutcome:
        """Makes a change on the generation named, and spreads it from here.

        Spreading does not need the platform, which may go down as soon as it
        has accepted the change.

        Args:
          change: makes the new configuration from the current one; may raise
            errors.ConfigurationError.
          base_generation: generation the change was made on.
          write_id: unique id of the change; a repeat with the same id never
            makes the change twice.
        """
        asked_at = self._clock.now()
        outcome = await self._store.accept(
            change, base_generation, write_id, self.copy.snapshot.bodies
        )
        if isinstance(outcome, configuration_store.Accepted):
            if outcome.snapshot:
                self.copy.take(outcome.snapshot, asked_at, "operator")
            self.receive(self.peers.root_status())
            await self.peers.ask()
        return outcome

    async def watch_once(self) -> None:
        """Waits for a change, then reads and announces the newest."""
        changes = await self._objects.watch(
            configuration_store.ROOT, self._position, self._intervals.watch_s
        )
        if isinstance(changes, platform_api.Unavailable):
            self._metrics.event("configuration_watch_failed")
            pause_s = self._random.uniform(0, self._intervals.check_s)
            await self._clock.sleep(pause_s)
        else:
            self._position = changes.position
        await self.read_platform()
        self._announce_if_due()

    async def read_platform(self) -> None:
        """Reads the newest generation and confirms it."""
        asked_at = self._clock.now()
        found = await self._store.read_newest(self.copy.snapshot.bodies)
        if isinstance(found, platform_api.Unavailable):
            self._metrics.event("configuration_read_failed")
        else:
            self.copy.take(found, asked_at, "platform")

    async def catch_up(self) -> None:
        """Pulls from a peer that is ahead, or asks when out of touch."""
        self._checked_at.append(self._clock.now())
        caught_up = await self.peers.pull_from_ahead()
        if caught_up and not self._is_out_of_touch():
            return
        if self._clock.now() < self._ask_at:
            return
        wait_s = self._intervals.ask_s * self._random.uniform(0.5, 1)
        asked_at = self._clock.now()
        self._ask_at = asked_at + wait_s
        every_zone_answered = await self.peers.ask()
        if self._is_out_of_touch() and not self._is_watcher():
            await self.read_platform()
        if self._is_out_of_touch() and every_zone_answered:
            self._confirm_by_zones(asked_at)

    def _confirm_by_zones(self, asked_at: float) -> None:
        """Confirms during an outage of the platform that hits every zone.

        A change is accepted through a daemon and reaches the others of its
        zone within `spread_s`. So if no zone knew of one, none was accepted
        earlier than that.
        """
        self._metrics.event("configuration_confirmed_by_zones")
        age_s = self._clock.now() - asked_at + self._intervals.spread_s
        self.copy.confirm(self.copy.generation, age_s)

    def _announce_if_due(self) -> None:
        """Queues an announcement along the tree that starts here."""
        now = self._clock.now()
        due_at = self._announced_at + self._intervals.announce_s
        changed = self._announced_generation != self.copy.generation
        if changed or now >= due_at:
            self._announced_generation = self.copy.generation
            self._announced_at = now
            self.receive(self.peers.root_status())

    def _is_out_of_touch(self) -> bool:
        return self.copy.unconfirmed_s > self._intervals.stale_s

    def _is_watcher(self) -> bool:
        this = self._members.this()
        chosen = configuration_tree.watchers(self._members, this.zone)
        return this.name in [item.name for item in chosen]

    async def _watch_forever(self) -> None:
        while True:
            if self._is_watcher():
                await self.watch_once()
                await self._clock.sleep(self._intervals.settle_s)
            else:
                await self._clock.sleep(self._intervals.check_s)

    async def _catch_up_forever(self) -> None:
        while True:
            await self._clock.sleep(self._intervals.check_s)
            await self.catch_up()

    async def _handle_forever(self) -> None:
        while True:
            await self.handle_next()

    async def _remove_forever(self) -> None:
        while True:
            await self._clock.sleep(self._intervals.removal_s)
            first = self._members.ranked(_REMOVAL_ROLE)[:1]
            if self._members.this().name in [item.name for item in first]:
                removed = await self._store.remove_unreferenced()
                self._metrics.event("configuration_shards_removed", removed)


def make_configuration_spread(
    context: daemon_context.DaemonContext,
    members: membership_api.Members,
    intervals: Intervals | None = None,
) -> ConfigurationSpread:
    """Creates the role that keeps the configuration up to date."""
    return ConfigurationSpread(context, members, intervals or Intervals())
