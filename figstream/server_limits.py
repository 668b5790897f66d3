"""Shares the request rates that backend servers name among all daemons.

A server in need names how many requests a second it takes from all daemons
together. The daemons divide this rate without talking to each other: each
knows how many daemons there are and its own rank among them by name. With `n`
daemons and a rate of `r`, one turn comes every `1 / r` seconds of the wall
clock, and the daemon of rank `k` owns every `n`th turn, beginning with turn
`k`. A turn permits one request and lapses if it is not used soon. In any time
`t`, the server thus gets at most `r * (t + TURN_LIFETIME_S) + 1` requests, up
to differences between clocks and between views of the fleet.

The scheduler's load book asks for servers without a turn and records the turns
that are used. It has a second set of limits for servers that warm up
(`cold_servers`), which end by themselves and whose turns lapse sooner. Nothing
here does input or output.
"""

import math
from typing import Final

import attrs

# More than any server takes. The turns of much higher rates can't be computed.
MAX_PER_S: Final = 1e6
# Without this bound, the unused turns of hundreds of daemons could all be used
# at the same moment.
TURN_LIFETIME_S: Final = 1.0
# Part of the period between turns within which times count as equal. Covers
# rounding, since turns are counted from the Unix epoch.
_EQUAL_TURNS_RATIO: Final = 1e-3
# A daemon that has just started knows its place after about this time.
_UNPLACED_WAIT_S: Final = 1.0


@attrs.define
class _Limit:
    """The limit of one server.

    Attributes:
      per_s: requests a second over all daemons.
      epoch: clock time from which turns are counted.
      used: time of the last turn that was used, or from which turns count.
      until: time at which the limit ends.
    """

    per_s: float
    epoch: float
    used: float
    until: float


class ServerLimits:
    """The turns of one daemon at the servers that named a limit."""

    def __init__(
        self, lifetime_s: float = TURN_LIFETIME_S, *, placed: bool = True
    ) -> None:
        """Initializes without limits.

        Args:
          lifetime_s: seconds after which an unused turn lapses.
          placed: whether this daemon counts as the only one until `set_place`
            is called; otherwise it has no turns until then.
        """
        self._limits: dict[str, _Limit] = {}
        self._lifetime_s = lifetime_s
        self._placed = placed
        self._rank = 0
        self._daemons = 1

    @property
    def any(self) -> bool:
        """Returns whether any server has a limit."""
        return bool(self._limits)

    def set_place(self, rank: int, daemons: int) -> None:
        """Applies this daemon's rank among all daemons, from 0, and how many.

        Ranks follow the order of the names, so that all daemons agree.
        """
        self._rank = rank
        self._daemons = max(1, daemons)
        self._placed = True

    def set_limit(
        self,
        server: str,
        per_s: float,
        epoch: float,
        now: float,
        until: float = math.inf,
    ) -> None:
        """Applies the limit of a server, or another value of it.

        Args:
          server: name of the server.
          per_s: requests a second over all daemons, above 0.
          epoch: clock time of the Unix epoch, which all daemons share.
          now: the time in seconds.
          until: the time at which the limit ends.
        """
        known = self._limits.get(server)
        used = known.used if known else now
        per_s = min(per_s, MAX_PER_S)
        self._limits[server] = _Limit(per_s, epoch, used, until)

    def end_limits(self, now: float) -> None:
        """Removes the limits that have ended."""
        self._limits = {
            name: limit
            for name, limit in self._limits.items()
            if limit.until > now
        }

    def limited(self, now: float) -> frozenset[str]:
        """Returns the servers that have a limit at present."""
        return frozenset(
            name for name, limit in self._limits.items() if limit.until > now
        )

    def remove_limit(self, server: str) -> None:
        """Removes the limit of a server, if there is one."""
        self._limits.pop(server, None)

    def without_turn(self, now: float) -> frozenset[str]:
        """Returns the servers to which no request may be sent at present."""
        return frozenset(
            name for name in self._limits if self.next_turn(name, now) > now
        )

    def next_turn(self, server: str, now: float) -> float:
        """Returns when a request may be sent, `now` if one may be."""
        limit = self._limits.get(server)
        if limit is None or limit.until <= now:
            return now
        if not self._placed:
            return min(limit.until, now + _UNPLACED_WAIT_S)
        return max(now, min(limit.until, self._turn(limit, now)))

    def use(self, server: str, now: float) -> None:
        """Records that a request was sent to a server."""
        limit = self._limits.get(server)
        if limit:
            limit.used = self._turn(limit, now)

    def _turn(self, limit: _Limit, now: float) -> float:
        """Returns the first turn that is neither used nor lapsed."""
        period_s = self._daemons / limit.per_s
        first = limit.epoch + self._rank / limit.per_s
        after = max(limit.used, now - self._lifetime_s)
        passed = math.floor((after - first) / period_s + _EQUAL_TURNS_RATIO)
        return first + (passed + 1) * period_s
