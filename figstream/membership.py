"""Maintains the set of live daemons, as one daemon sees it.

The `Membership` role combines the member table, the heartbeat streams to a few
neighbours, the detection of silent neighbours, the discovery of new daemons,
and notices. Other roles rank the live members to find owners, and the
scheduler is notified of the number of daemons that share its servers.
"""

from collections.abc import Sequence
import math
from typing import Final

import anyio
import grpc

from figstream import configuration as configuration_lib
from figstream import daemon_context
from figstream import logs
from figstream import member_table
from figstream import member_zones
from figstream import membership_api
from figstream import membership_channels
from figstream import membership_discovery
from figstream import membership_heartbeat
from figstream import membership_silence
from figstream import membership_streams
from figstream import notices as notices_lib
from figstream import rendezvous

# Heartbeats within which a started daemon learns of the other daemons.
_STARTUP_GRACE_HEARTBEATS: Final = 3.0
# Longest time until streams to new neighbours are opened.
_CHECK_INTERVAL_S: Final = 1.0
# Limits of how often this daemon tells which plan it uses. All daemons tell it
# after each change of the plan, which a release changes every second.
_MIN_PLAN_INTERVAL_S: Final = 1.0
_PLANS_TOLD_PER_S: Final = 60.0
# Several times the delay with which changes are sent to neighbours.
_LEAVE_PROPAGATION_S: Final = 0.5


class Membership:
    """The live daemons; implements `Members` and `RpcRole`."""

    def __init__(
        self,
        context: daemon_context.DaemonContext,
        this: membership_api.Member,
    ) -> None:
        """Initializes the membership with only this daemon."""
        options = context.options
        now = context.clock.now()
        suspicion_s = (
            membership_silence.SUSPICION_TIMEOUT_HEARTBEATS
            * options.heartbeat_s
        )
        self._context = context
        self._table = member_table.MemberTable(this, suspicion_s, now)
        self._notices = notices_lib.Notices(
            self._table.own_run, this.zone, context.clock, context.metrics
        )
        shared = membership_heartbeat.HeartbeatState(
            self._table,
            member_zones.ZoneTicks(this.zone, now),
            self._notices,
            context.clock,
            context.metrics,
            options.heartbeat_s,
            last_received_at=now,
        )
        self._silence = membership_silence.SilenceDetector(
            shared, options.neighbours
        )
        self._channels = membership_channels.Channels(context.clock)
        self._streams = membership_streams.HeartbeatStreams(
            shared, self._channels
        )
        self._discovery = membership_discovery.Discovery(
            options,
            context.platform.vms,
            context.clock,
            self._table,
            self._streams,
            this.start_number,
        )
        self._live: tuple[membership_api.Member, ...] = (this,)
        self._live_cache_key: tuple[object, ...] = ()
        self._rankings: dict[
            tuple[str, str], tuple[membership_api.Member, ...]
        ] = {}
        self._last_counts = (0, 0, 0)
        self._started_at = now
        self._leaving = False
        self._plan_version = 0
        self._plan_told_at = -math.inf
        context.holder.subscribe(self._update_own_status)

    @property
    def notices(self) -> notices_lib.Notices:
        """Returns the notices that are sent with heartbeats."""
        return self._notices

    @property
    def streams(self) -> int:
        """Returns the number of open heartbeat streams."""
        return self._streams.count

    @property
    def unreachable_zones(self) -> frozenset[str]:
        """Returns the zones that can't be reached on any path."""
        return self._silence.unreachable_zones

    @property
    def contact(self) -> membership_api.Contact:
        """Returns how far this daemon is in contact with the others."""
        return self._silence.contact

    def this(self) -> membership_api.Member:
        """Returns this daemon."""
        entry = self._table.find(self._table.own_run)
        if entry is None:
            raise RuntimeError(
                "member table has no entry for this daemon; restart the daemon"
            )
        return entry.member

    def live(self) -> Sequence[membership_api.Member]:
        """Returns the live daemons that are not leaving, sorted by name.

        Members of unreachable zones are left out.
        """
        cache_key = (
            self._table.revision,
            self._silence.unreachable_zones,
            self._silence.isolated,
        )
        if cache_key != self._live_cache_key:
            reachable = [
                entry.member
                for entry in self._table.entries
                if self._silence.can_reach(entry) and not entry.member.leaving
            ]
            self._live = tuple(sorted(reachable, key=lambda item: item.name))
            self._live_cache_key = cache_key
            self._rankings.clear()
        return self._live

    def ranked(
        self, role: str, zone: str = ""
    ) -> Sequence[membership_api.Member]:
        """Returns live daemons in rendezvous order; the first is the owner."""
        live = self.live()
        found = self._rankings.get((role, zone))
        if found is None:
            members = {
                item.name: item
                for item in live
                if not zone or item.zone == zone
            }
            found = self._rankings[role, zone] = tuple(
                members[name] for name in rendezvous.rank(role, members)
            )
        return found

    def channel(self, member: membership_api.Member) -> grpc.aio.Channel:
        """Returns the open channel to a member."""
        return self._channels.get(member.address)

    def register(self, server: grpc.aio.Server) -> None:
        """Registers the gRPC service on the peer server."""
        self._streams.register(server)

    async def run(self) -> None:
        """Maintains table, streams and channels until cancelled."""
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._discovery.run)
                while True:
                    self._silence.check()
                    self._streams.close_silent()
                    self._streams.maintain(group, self._successor_addresses())
                    self._notify_scheduler()
                    self._tell_plan()
                    await self._channels.close_unused(self._known_addresses())
                    heartbeat_s = self._context.options.heartbeat_s
                    await anyio.sleep(min(_CHECK_INTERVAL_S, heartbeat_s))
        finally:
            with anyio.CancelScope(shield=True):
                await self._channels.close()

    def use_plan(self, version: int) -> None:
        """Tells the other daemons which plan of software versions is in use.

        Args:
          version: version of the plan in the store.
        """
        self._plan_version = version
        self._tell_plan()

    async def hand_over(self) -> None:
        """Notifies the other daemons that this daemon is leaving."""
        self._leaving = True
        self._update_own_status(self._context.holder.current)
        await anyio.sleep(_LEAVE_PROPAGATION_S)

    def _tell_plan(self) -> None:
        now = self._context.clock.now()
        interval_s = max(
            _MIN_PLAN_INTERVAL_S, len(self._table.entries) / _PLANS_TOLD_PER_S
        )
        due = now - self._plan_told_at >= interval_s
        if due and self.this().plan_version != self._plan_version:
            self._plan_told_at = now
            self._update_own_status(self._context.holder.current)

    def _update_own_status(
        self, configuration: configuration_lib.Configuration
    ) -> None:
        self._table.update_own(
            generation=configuration.generation,
            leaving=self._leaving,
            plan_version=self._plan_version,
        )

    def _successor_addresses(self) -> frozenset[str]:
        found = map(
            self._table.find_by_name,
            self._silence.current_neighbours.successors,
        )
        return frozenset(entry.member.address for entry in found if entry)

    def _known_addresses(self) -> frozenset[str]:
        return frozenset(entry.member.address for entry in self._table.entries)

    def _notify_scheduler(self) -> None:
        # Members behind a network partition are counted, since they continue
        # to serve. The share of each daemon must not grow merely because the
        # other daemons became unreachable.
        this = self.this()
        present = [
            entry.member
            for entry in self._table.entries
            if entry.state is not member_table.MemberState.DEAD
            and not entry.member.leaving
        ]
        in_zone = sum(item.zone == this.zone for item in present)
        rank = sum(item.name < this.name for item in present)
        counts = (max(1, in_zone), len(present), rank)
        grace_s = _STARTUP_GRACE_HEARTBEATS * self._context.options.heartbeat_s
        starting = self._context.clock.now() - self._started_at < grace_s
        if counts == self._last_counts or (starting and len(present) == 1):
            return
        self._last_counts = counts
        logs.info(
            "members", in_zone=counts[0], in_fleet=counts[1], rank=counts[2]
        )
        self._context.scheduler.set_live_daemons(*counts)


def make_membership(
    context: daemon_context.DaemonContext, address: str = ""
) -> Membership:
    """Creates the membership of a daemon.

    Args:
      context: objects shared by the roles of the daemon.
      address: address of the peer server, if other than in the settings.
    """
    options = context.options
    this = membership_api.Member(
        options.name,
        options.zone,
        options.region,
        address or f"{options.address}:{options.peer_port}",
        context.start_number,
        context.holder.current.generation,
    )
    return Membership(context, this)
