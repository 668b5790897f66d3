"""Decides how much of a daemon's work leaves its availability zone.

Traffic between zones is slower and costs money, yet a zone's own servers are
sometimes too few. For each kind of work, a daemon keeps a share for each zone
and draws the zone of a request from the shares (`placement` then chooses the
server). The load that this answers: one zone loses most of its servers, or gets
a burst, while the others have room.

A share moves only in small steps, towards zones where a request costs less,
counting the delay there and what leaving costs. All daemons of a zone see the
same loads, and none of them knows what the others do about them: small steps
let the reported loads follow the moves. What needs no reports is done at once:
a zone without usable servers gets nothing, and a zone that has lost capacity
keeps no more than its capacity is of the mean.

Nothing here does input or output; times are clock seconds.
"""

from collections.abc import Mapping
from collections.abc import Sequence
from collections.abc import Set
import math
from typing import Final

import attrs

# Loads in answers are about a second old on average, so that a step shows in
# them before the next one or two follow.
_STEP_INTERVAL_S: Final = 0.5
# Largest part of the work that leaves the zone in one step. Three other zones
# may send as much to the same servers before reports show it.
_LEAVING_STEP: Final = 0.05
# Largest part that returns in one step; only daemons of the zone return to it.
_RETURNING_STEP: Final = 0.1
# Differences below this part of the time that callers allow are not worth a
# move; they are within the noise of a few reports.
_NOTICEABLE_RATIO: Final = 0.05
# Capacity below this part of a typical server is none.
_MIN_CAPACITY: Final = 1e-3
# Shorter delays count as this one in ratios.
_LEAST_DELAY_S: Final = 1e-3
# Shares below this are dropped: a zone with so little of the work would only
# spread prompt prefixes.
_MIN_SHARE: Final = 0.001
# Bounds the memory; more kinds of work than a configuration has routes in use.
_MAX_KINDS: Final = 256


@attrs.frozen
class ZoneState:
    """What a daemon knows of the servers of one zone for a kind of work.

    Attributes:
      zone: the availability zone.
      capacity: usable servers, weighted by their speed; 0 for none.
      delay_s: expected delay of a request there, without the way.
    """

    zone: str
    capacity: float
    delay_s: float


@attrs.frozen
class LeavingCost:
    """What leaving the zone costs a request, as seconds of delay.

    Attributes:
      latency_s: time on the way, both directions together.
      price_s: the operator's price of the bytes of request and answer.
    """

    latency_s: float
    price_s: float

    @property
    def total_s(self) -> float:
        """Returns the sum of both."""
        return self.latency_s + self.price_s


@attrs.frozen
class ShareChange:
    """A change of the shares of one kind of work, for the log.

    Attributes:
      kind: the kind of work.
      shares: the shares by zone after the change.
      reason: "start", "capacity" or "cost".
    """

    kind: str
    shares: Mapping[str, float]
    reason: str


@attrs.define
class _KindShares:
    """The shares of one kind of work and the time of its last step."""

    by_zone: dict[str, float]
    stepped_at: float


class ZoneShares:
    """The shares of one daemon's work that go to each zone."""

    def __init__(self, zone: str) -> None:
        """Initializes without shares.

        Args:
          zone: the availability zone of the daemon.
        """
        self._zone = zone
        self._kinds: dict[str, _KindShares] = {}
        self._changes: list[ShareChange] = []

    def shares(
        self,
        kind: str,
        states: Sequence[ZoneState],
        cost: LeavingCost,
        tolerance_s: float,
        now: float,
    ) -> Mapping[str, float]:
        """Returns the share of each zone with usable servers.

        Args:
          kind: the kind of work, such as the name of its request class.
          states: what is known of each zone.
          cost: what leaving the own zone costs such a request.
          tolerance_s: delay that callers of such requests allow.
          now: clock seconds.

        Returns:
          Shares above 0 that add up to 1; empty if no zone has capacity.
        """
        usable = {
            item.zone: item for item in states if item.capacity >= _MIN_CAPACITY
        }
        if not usable:
            return {}
        known = self._kinds.get(kind)
        if known is None:
            known = self._start(kind, usable, now)
        elif self._fit_capacity(known, usable):
            self._note(kind, known, "capacity")
        if now - known.stepped_at >= _STEP_INTERVAL_S:
            known.stepped_at = now
            if self._step(known, usable, cost, tolerance_s):
                self._note(kind, known, "cost")
        return known.by_zone

    def take_changes(self) -> Sequence[ShareChange]:
        """Returns and clears the changes since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def _start(
        self, kind: str, usable: Mapping[str, ZoneState], now: float
    ) -> _KindShares:
        """Keeps the work in the zone as far as its capacity is usual."""
        if len(self._kinds) >= _MAX_KINDS:
            self._kinds.clear()
        known = _KindShares({self._zone: 1.0}, now)
        self._fit_capacity(known, usable)
        self._kinds[kind] = known
        self._note(kind, known, "start")
        return known

    def _fit_capacity(
        self, known: _KindShares, usable: Mapping[str, ZoneState]
    ) -> bool:
        """Moves work from zones that have lost capacity; returns whether so.

        The callers of all zones are taken to send alike, so that each zone can
        serve the part of its own callers that its capacity is of the mean.
        """
        total = sum(item.capacity for item in usable.values())
        mean = total / len(usable)
        own = usable.get(self._zone)
        most = min(1.0, own.capacity / mean) if own else 0.0
        kept = {
            zone: share
            for zone, share in known.by_zone.items()
            if zone in usable and zone != self._zone
        }
        own_share = min(known.by_zone.get(self._zone, 0.0), most)
        missing = 1.0 - own_share - sum(kept.values())
        others = total - (own.capacity if own else 0.0)
        if missing <= 1e-9:
            return False
        if others <= 0.0:
            known.by_zone = {self._zone: 1.0}
            return False
        moved = {
            zone: kept.get(zone, 0.0) + missing * item.capacity / others
            for zone, item in usable.items()
            if zone != self._zone
        }
        known.by_zone = _cleaned({self._zone: own_share, **moved})
        return True

    def _step(
        self,
        known: _KindShares,
        usable: Mapping[str, ZoneState],
        cost: LeavingCost,
        tolerance_s: float,
    ) -> bool:
        """Moves a small part of the work to where it costs less."""
        costs = {
            zone: item.delay_s + (0.0 if zone == self._zone else cost.total_s)
            for zone, item in usable.items()
        }
        own_s = costs.get(self._zone, math.inf)
        mean = sum(item.capacity for item in usable.values()) / len(usable)
        least_s = min(costs.values())
        noticeable_s = _NOTICEABLE_RATIO * tolerance_s
        if own_s - least_s > noticeable_s:
            # Work goes to all zones that cost about the least, not to one.
            targets = {
                zone: item.capacity
                for zone, item in usable.items()
                if costs[zone] - least_s <= noticeable_s / 2.0
            }
            excess = (own_s - least_s) / tolerance_s
            return _move(
                known, {self._zone}, targets, _LEAVING_STEP * min(1.0, excess)
            )
        returning = {
            zone
            for zone in known.by_zone
            if zone != self._zone and costs[zone] > own_s
        }
        if returning:
            # A small zone is soon full, and a nearly equal one soon equal.
            saved_s = min(costs[zone] for zone in returning) - own_s
            saved = saved_s / max(own_s, _LEAST_DELAY_S)
            step = min(1.0, saved, usable[self._zone].capacity / mean)
            return _move(
                known,
                returning,
                {self._zone: 1.0},
                _RETURNING_STEP * step,
            )
        dear = {
            zone
            for zone in known.by_zone
            if costs[zone] - least_s > noticeable_s
        }
        targets = {
            zone: item.capacity
            for zone, item in usable.items()
            if zone not in dear and zone != self._zone
        }
        return bool(targets) and _move(known, dear, targets, _LEAVING_STEP)

    def _note(self, kind: str, known: _KindShares, reason: str) -> None:
        self._changes.append(ShareChange(kind, known.by_zone, reason))


def _move(
    known: _KindShares,
    sources: Set[str],
    targets: Mapping[str, float],
    most: float,
) -> bool:
    """Moves up to a part of the work between zones; returns whether any.

    Args:
      known: the shares to change.
      sources: the zones that give work.
      targets: the zones that get it, with their weights.
      most: largest part of all work that moves.
    """
    available = sum(known.by_zone.get(zone, 0.0) for zone in sources)
    if available <= 0.0:
        return False
    moved = min(most, available)
    left = 1.0 - moved / available
    weights = sum(targets.values())
    shares = {
        zone: share * (left if zone in sources else 1.0)
        for zone, share in known.by_zone.items()
    }
    for zone, weight in targets.items():
        shares[zone] = shares.get(zone, 0.0) + moved * weight / weights
    known.by_zone = _cleaned(shares)
    return True


def _cleaned(shares: Mapping[str, float]) -> dict[str, float]:
    """Returns the shares without negligible ones, adding up to 1."""
    kept = {
        zone: share for zone, share in shares.items() if share >= _MIN_SHARE
    }
    total = sum(kept.values())
    return {zone: share / total for zone, share in kept.items()}


def make_zone_shares(zone: str) -> ZoneShares:
    """Creates the shares of a daemon in a zone."""
    return ZoneShares(zone)
