"""Detects silent neighbours and unreachable zones.

A silent neighbour is suspected first. The suspicion propagates, and the member
becomes dead only if its answer arrives on no path. Members of a zone that
can't be reached at all do not become dead, since they may continue to serve
behind the network partition.
"""

from typing import Final

import attrs

from figstream import logs
from figstream import member_rings
from figstream import member_table
from figstream import membership_api
from figstream import membership_heartbeat

# Heartbeat intervals of silence after which a neighbour is suspected.
SILENCE_HEARTBEATS: Final = 2.0
# Heartbeat intervals within which a suspected daemon must answer.
SUSPICION_TIMEOUT_HEARTBEATS: Final = 3.0
# Besides an unanswered suspicion, a death needs a second confirmation: within
# this many heartbeat intervals, the tick of the member's zone has increased
# and a heartbeat has arrived from any neighbour.
_DEFER_DEATH_HEARTBEATS: Final = 2.5
# Heartbeat intervals without a tick after which a zone is unreachable.
_UNREACHABLE_HEARTBEATS: Final = 5.0
# A member that is dead for longer than this serves no callers any more, or
# none who know it.
_MAX_DEAD_S: Final = 60.0
# If a check is late by more than this, this daemon itself was paused.
_PAUSE_HEARTBEATS: Final = 2.0
# Limits the backoff between two suspicions of the same neighbour.
_MAX_SUSPICION_INTERVAL_S: Final = 120.0
# Well above the hour that a network partition between regions lasts.
_MAX_DEFER_DEATH_S: Final = 6 * 3600.0


@attrs.define
class _Link:
    """State of the direct link to one neighbour.

    Attributes:
      received_at: time of the last heartbeat received from the neighbour.
      interval_s: seconds of silence before the next suspicion.
      suspect_at: time of the next suspicion, unless a heartbeat arrives.
    """

    received_at: float
    interval_s: float
    suspect_at: float = attrs.field(
        default=attrs.Factory(
            lambda self: self.received_at + self.interval_s, takes_self=True
        )
    )

    def record_heartbeat(self, at: float, silent_s: float) -> None:
        """Records the time of the neighbour's last heartbeat."""
        if at > self.received_at:
            self.received_at = at
            self.interval_s = silent_s
            self.suspect_at = at + silent_s

    def back_off(self, now: float) -> None:
        """Doubles the time until the next suspicion, up to a limit.

        Without the backoff, a single failed link would send suspicions
        through the whole fleet indefinitely.
        """
        doubled = 2 * self.interval_s
        self.interval_s = min(doubled, _MAX_SUSPICION_INTERVAL_S)
        self.suspect_at = now + self.interval_s


class SilenceDetector:
    """Detects which neighbours and zones this daemon no longer reaches."""

    def __init__(
        self, shared: membership_heartbeat.HeartbeatState, neighbours: int
    ) -> None:
        """Initializes the detection for up to `neighbours` neighbours."""
        self._shared = shared
        self._max_neighbours = neighbours
        self._checked_at = shared.clock.now()
        self._silence_timeout_s = SILENCE_HEARTBEATS * shared.heartbeat_s
        self._links: dict[int, _Link] = {}
        self._known: frozenset[tuple[str, bool]] = frozenset()
        self._watched_leavers: frozenset[str] = frozenset()
        self._current_neighbours = member_rings.Neighbours(
            frozenset(), frozenset()
        )
        self._unreachable: frozenset[str] = frozenset()
        self._isolated = False

    @property
    def current_neighbours(self) -> member_rings.Neighbours:
        """Returns the neighbours as of the last check."""
        return self._current_neighbours

    @property
    def unreachable_zones(self) -> frozenset[str]:
        """Returns the zones that can't be reached on any path."""
        return self._unreachable

    @property
    def isolated(self) -> bool:
        """Returns whether heartbeats from all neighbours have stopped."""
        return self._isolated

    @property
    def contact(self) -> membership_api.Contact:
        """Returns how far this daemon is in contact with the others."""
        now = self._shared.clock.now()
        unheard = (
            entry
            for entry in self._shared.table.entries
            if entry.state is not member_table.MemberState.ALIVE
            or entry.member.zone in self._unreachable
        )
        since = [
            self._last_heard_at(entry, now)
            for entry in unheard
            if self._may_serve(entry, now)
        ]
        silent_s = now - self._shared.last_received_at
        if self._links and silent_s > self._silence_timeout_s:
            since.append(self._shared.last_received_at)
        # The last heartbeat may have come just before contact was lost, and a
        # suspicion takes up to another interval to reach this daemon.
        heartbeat_s = self._shared.heartbeat_s
        return membership_api.Contact(
            min(since) - 2 * heartbeat_s if since else None,
            self._silence_timeout_s + 2 * heartbeat_s,
            self._oldest_plan(now),
        )

    def can_reach(self, entry: member_table.Entry) -> bool:
        """Returns whether the member is believed to be reachable."""
        if entry.run == self._shared.table.own_run:
            return True
        if entry.state is member_table.MemberState.DEAD or self._isolated:
            return False
        return entry.member.zone not in self._unreachable

    def check(self) -> None:
        """Checks every neighbour and zone; called once per heartbeat."""
        now = self._shared.clock.now()
        self._compensate_own_pause(now)
        self._shared.ticks.increment_own(now)
        self._update_neighbours()
        self._suspect_silent(now)
        for entry in self._shared.table.expire(now, self._is_death_deferred):
            self._shared.metrics.event("member_died")
            logs.warning("member_died", member=entry.member.name)
        self._check_zones(now)

    def _may_serve(self, entry: member_table.Entry, now: float) -> bool:
        """Returns whether a member that is not heard may still serve."""
        if entry.member.leaving:
            return False
        dead = entry.state is member_table.MemberState.DEAD
        return not dead or now - entry.since < _MAX_DEAD_S

    def _oldest_plan(self, now: float) -> int:
        """Returns the oldest plan that a daemon may still use, 0 if none."""
        told = (
            entry.member.plan_version
            for entry in self._shared.table.entries
            if entry.state is member_table.MemberState.ALIVE
            or self._may_serve(entry, now)
        )
        return min((item for item in told if item), default=0)

    def _last_heard_at(self, entry: member_table.Entry, now: float) -> float:
        """Returns a time at which a member that is not heard still was."""
        ticks = self._shared.ticks
        silent_s = (
            ticks.seconds_since_tick(entry.member.zone, now)
            if entry.member.zone in self._unreachable
            else 0.0
        )
        suspected_at = entry.suspected_at or now
        return min(suspected_at - self._silence_timeout_s, now - silent_s)

    def _compensate_own_pause(self, now: float) -> None:
        # A paused daemon received no heartbeats, which does not show that its
        # neighbours were silent. All times are shifted by the pause.
        gap = now - self._checked_at - self._shared.heartbeat_s
        self._checked_at = now
        if gap <= _PAUSE_HEARTBEATS * self._shared.heartbeat_s:
            return
        shared = self._shared
        shared.metrics.event("own_pause")
        logs.warning("own_pause", seconds=round(gap, 3))
        shared.last_received_at += gap
        shared.received_at_by_run = {
            run: at + gap for run, at in shared.received_at_by_run.items()
        }
        for link in self._links.values():
            link.received_at += gap
            link.suspect_at += gap
        shared.ticks.postpone(gap)
        shared.table.postpone(gap)

    def _update_neighbours(self) -> None:
        table = self._shared.table
        present = [
            entry.member
            for entry in table.entries
            if entry.state is not member_table.MemberState.DEAD
        ]
        known = frozenset((item.name, item.leaving) for item in present)
        own = table.find(table.own_run)
        if known != self._known and own:
            self._known = known
            # A daemon that leaves goes on with the streams that it opens. Rings
            # that led through it would be broken until it is dead.
            staying = [item for item in present if not item.leaving]
            self._current_neighbours = member_rings.choose(
                own.member, staying, self._max_neighbours
            )
            beside = member_rings.choose(
                own.member, present, self._max_neighbours
            )
            leavers = {item.name for item in present if item.leaving}
            self._watched_leavers = beside.all & leavers

    def _suspect_silent(self, now: float) -> None:
        shared = self._shared
        names = self._current_neighbours.all | self._watched_leavers
        found = map(shared.table.find_by_name, names)
        watched = {entry.run for entry in found if entry}
        self._links = {
            run: self._links.get(run) or _Link(now, self._silence_timeout_s)
            for run in watched
        }
        shared.received_at_by_run = {
            run: at
            for run, at in shared.received_at_by_run.items()
            if run in watched
        }
        for run, link in self._links.items():
            link.record_heartbeat(
                shared.received_at_by_run.get(run, link.received_at),
                self._silence_timeout_s,
            )
            if now > link.suspect_at and shared.table.suspect(run, now):
                link.back_off(now)
                shared.metrics.event("member_suspected")

    def _is_death_deferred(self, entry: member_table.Entry) -> bool:
        now = self._shared.clock.now()
        if now - entry.since > _MAX_DEFER_DEATH_S:
            return False
        limit_s = _DEFER_DEATH_HEARTBEATS * self._shared.heartbeat_s
        zone = entry.member.zone
        stalled = self._shared.ticks.seconds_since_tick(zone, now) > limit_s
        return stalled or now - self._shared.last_received_at > limit_s

    def _check_zones(self, now: float) -> None:
        limit_s = _UNREACHABLE_HEARTBEATS * self._shared.heartbeat_s
        zones = {item.member.zone for item in self._shared.table.entries}
        stalled = frozenset(
            zone
            for zone in zones
            if self._shared.ticks.seconds_since_tick(zone, now) > limit_s
        )
        for zone in stalled - self._unreachable:
            logs.warning("zone_unreachable", zone=zone)
        for zone in self._unreachable - stalled:
            logs.info("zone_reachable", zone=zone)
        silent = now - self._shared.last_received_at > limit_s
        self._unreachable = stalled
        self._isolated = silent and bool(self._links)
