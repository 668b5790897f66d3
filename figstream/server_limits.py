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
that are used. Nothing here does input or output.
"""

import math
from typing import Final

import attrs

# Without this bound, the unused turns of hundreds of daemons could all be used
# at the same moment.
TURN_LIFETIME_S: Final = 1.0
# Part of the period between turns within which times count as equal. Covers
# rounding, since turns are counted from the Unix epoch.
_EQUAL_TURNS_RATIO: Final = 1e-3


@attrs.define
class _Limit:
    """The limit of one server.

    Attributes:
      per_s: requests a second over all daemons.
      epoch: clock time from which turns are counted.
      used: time of the last turn that was used, or from which turns count.
    """

    per_s: float
    epoch: float
    used: float


class ServerLimits:
    """The turns of one daemon at the servers that named a limit."""

    def __init__(self) -> None:
        """Initializes without limits, as the only daemon."""
        self._limits: dict[str, _Limit] = {}
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

    def set_limit(
        self, server: str, per_s: float, epoch: float, now: float
    ) -> None:
        """Applies the limit of a server, or another value of it.

        Args:
          server: name of the server.
          per_s: requests a second over all daemons, above 0.
          epoch: clock time of the Unix epoch, which all daemons share.
          now: the time in seconds.
        """
        known = self._limits.get(server)
        used = known.used if known else now
        self._limits[server] = _Limit(per_s, epoch, used)

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
        return now if limit is None else max(now, self._turn(limit, now))

    def use(self, server: str, now: float) -> None:
        """Records that a request was sent to a server."""
        limit = self._limits.get(server)
        if limit:
            limit.used = self._turn(limit, now)

    def _turn(self, limit: _Limit, now: float) -> float:
        """Returns the first turn that is neither used nor lapsed."""
        period_s = self._daemons / limit.per_s
        first = limit.epoch + self._rank / limit.per_s
        after = max(limit.used, now - TURN_LIFETIME_S)
        passed = math.floor((after - first) / period_s + _EQUAL_TURNS_RATIO)
        return first + (passed + 1) * period_s
