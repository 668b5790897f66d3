"""Watches the neighbours for silence and the zones for standstill.

A neighbour that stays silent is suspected, not dead: the suspicion spreads,
and only a suspect that no path lets answer dies. Members of a zone that can't
be reached at all are kept, since they may well serve on behind the partition.
"""

from typing import Final

import attrs

from figstream import logs
from figstream import member_rings
from figstream import member_table
from figstream import membership_heartbeat

# Multiples of the interval between heartbeats.
SILENT_BEATS: Final = 3.0
# Heartbeats that may be lost before a daemon is suspected.
SUSPICION_BEATS: Final = 3.0
# Heartbeats for which a suspicion waits for a second witness.
_HELD_BEATS: Final = 2.5
# Heartbeats of silence from a whole zone.
_UNREACHABLE_BEATS: Final = 5.0
# Heartbeats that this daemon itself missed while paused.
_PAUSED_BEATS: Final = 2.0

# Seconds; bounds the wait for daemons with long heartbeats.
_MAX_SUSPICION_INTERVAL_S: Final = 120.0
# Seconds; a partition between regions lasts an hour.
_MAX_HELD_S: Final = 6 * 3600.0


@attrs.define
class _Link:
    """What is known of the direct link to one neighbour.

    Attributes:
      heard_at: when it was last heard.
      interval_s: seconds of silence before the next suspicion.
      suspect_at: when to suspect it next, unless it is heard.
    """

    heard_at: float
    interval_s: float
    suspect_at: float = attrs.field(
        default=attrs.Factory(
            lambda self: self.heard_at + self.interval_s, takes_self=True
        )
    )

    def hear(self, at: float, silent_s: float) -> None:
        """Takes note of when the neighbour was heard."""
        if at > self.heard_at:
            self.heard_at = at
            self.interval_s = silent_s
            self.suspect_at = at + silent_s

    def back_off(self, now: float) -> None:
        """Waits longer before the next suspicion.

        A link that fails alone must not flood the fleet for ever.
        """
        doubled = 2 * self.interval_s
        self.interval_s = min(doubled, _MAX_SUSPICION_INTERVAL_S)
        self.suspect_at = now + self.interval_s


class SilenceWatch:
    """What this daemon has not heard for too long."""

    def __init__(
        self, shared: membership_heartbeat.Shared, neighbours: int
    ) -> None:
        """Watches at most the given number of neighbours."""
        self._shared = shared
        self._neighbours = neighbours
        self._checked_at = shared.clock.now()
        self._silent_s = SILENT_BEATS * shared.heartbeat_s
        self._links: dict[int, _Link] = {}
        self._names: frozenset[str] = frozenset()
        self._chosen = member_rings.Neighbours(frozenset(), frozenset())
        self._unreachable: frozenset[str] = frozenset()
        self._isolated = False

    @property
    def chosen(self) -> member_rings.Neighbours:
        """Returns the neighbours as of the last check."""
        return self._chosen

    @property
    def unreachable_zones(self) -> frozenset[str]:
        """Returns the zones from which nothing arrives on any path."""
        return self._unreachable

    @property
    def isolated(self) -> bool:
        """Returns whether no neighbour at all is heard."""
        return self._isolated

    def reaches(self, entry: member_table.Entry) -> bool:
        """Tells whether a path to the member is known to be open."""
        if entry.run == self._shared.table.own_run:
            return True
        if entry.state is member_table.MemberState.DEAD or self._isolated:
            return False
        return entry.member.zone not in self._unreachable

    def check(self) -> None:
        """Looks at every neighbour and zone; call it once a heartbeat."""
        now = self._shared.clock.now()
        self._excuse_own_pause(now)
        self._shared.ticks.raise_own(now)
        self._choose()
        self._suspect_silent(now)
        for entry in self._shared.table.expire(now, self._held):
            self._shared.metrics.event("member_died")
            logs.warning("member_died", member=entry.member.name)
        self._look_at_zones(now)

    def _excuse_own_pause(self, now: float) -> None:
        # A daemon that was stopped heard nobody; that says nothing of them.
        gap = now - self._checked_at - self._shared.heartbeat_s
        self._checked_at = now
        if gap <= _PAUSED_BEATS * self._shared.heartbeat_s:
            return
        shared = self._shared
        shared.metrics.event("own_pause")
        logs.warning("own_pause", seconds=round(gap, 3))
        shared.heard_any += gap
        shared.heard = {run: at + gap for run, at in shared.heard.items()}
        for link in self._links.values():
            link.heard_at += gap
            link.suspect_at += gap
        shared.ticks.postpone(gap)
        shared.table.postpone(gap)

    def _choose(self) -> None:
        table = self._shared.table
        present = [
            entry.member
            for entry in table.entries
            if entry.state is not member_table.MemberState.DEAD
        ]
        names = frozenset(item.name for item in present)
        own = table.find(table.own_run)
        if names != self._names and own:
            self._names = names
            self._chosen = member_rings.choose(
                own.member, present, self._neighbours
            )

    def _suspect_silent(self, now: float) -> None:
        shared = self._shared
        found = map(shared.table.find_name, self._chosen.all)
        watched = {entry.run for entry in found if entry}
        self._links = {
            run: self._links.get(run) or _Link(now, self._silent_s)
            for run in watched
        }
        shared.heard = {
            run: at for run, at in shared.heard.items() if run in watched
        }
        for run, link in self._links.items():
            link.hear(shared.heard.get(run, link.heard_at), self._silent_s)
            if now > link.suspect_at and shared.table.suspect(run, now):
                link.back_off(now)
                shared.metrics.event("member_suspected")

    def _held(self, entry: member_table.Entry) -> bool:
        now = self._shared.clock.now()
        if now - entry.since > _MAX_HELD_S:
            return False
        limit_s = _HELD_BEATS * self._shared.heartbeat_s
        zone = entry.member.zone
        stalled = self._shared.ticks.standstill_s(zone, now) > limit_s
        return stalled or now - self._shared.heard_any > limit_s

    def _look_at_zones(self, now: float) -> None:
        limit_s = _UNREACHABLE_BEATS * self._shared.heartbeat_s
        zones = {item.member.zone for item in self._shared.table.entries}
        stalled = frozenset(
            zone
            for zone in zones
            if self._shared.ticks.standstill_s(zone, now) > limit_s
        )
        for zone in stalled - self._unreachable:
            logs.warning("zone_unreachable", zone=zone)
        for zone in self._unreachable - stalled:
            logs.info("zone_reachable", zone=zone)
        silent = now - self._shared.heard_any > limit_s
        self._unreachable = stalled
        self._isolated = silent and bool(self._links)
