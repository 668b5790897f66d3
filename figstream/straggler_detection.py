"""Finds backend servers that are slower than their pool.

Each observation is ranked among recent observations of the pool at a like
batch size, and the ranks of a server add up in a CUSUM. Ranks make the rate
of false alarms the same for every distribution of latencies. A straggler
comes back on probation after a time, and soon leaves again if it is still
slow. When too many servers of a pool alarm, the pool as a whole has become
slower, and its history is begun anew.
"""

import bisect
import collections
import math
from typing import Final

import attrs

ALARM_LIMIT: Final = 6.8
ALLOWANCE: Final = 0.5
REFERENCE_LENGTH: Final = 256
MIN_REFERENCE: Final = 50
FIRST_PROBATION_S: Final = 30.0
LAST_PROBATION_S: Final = 480.0
SERVER_LIMIT: Final = 4096
_STRAGGLER_SHARE: Final = 3
_RANK_SCALE: Final = math.sqrt(12.0)


class _Reference:
    """The latest healthy observations of a pool at like batch sizes."""

    def __init__(self) -> None:
        """Starts empty."""
        self._latest: collections.deque[float] = collections.deque()
        self._ordered: list[float] = []

    def add(self, seconds: float) -> None:
        """Adds an observation; the oldest makes room."""
        if len(self._latest) == REFERENCE_LENGTH:
            oldest = self._latest.popleft()
            del self._ordered[bisect.bisect_left(self._ordered, oldest)]
        self._latest.append(seconds)
        bisect.insort(self._ordered, seconds)

    def score(self, seconds: float) -> float:
        """Returns the standardized rank, 0 while too little is known."""
        count = len(self._ordered)
        if count < MIN_REFERENCE:
            return 0.0
        below = bisect.bisect_left(self._ordered, seconds)
        upto = bisect.bisect_right(self._ordered, seconds)
        return ((below + upto) / (2 * count) - 0.5) * _RANK_SCALE


@attrs.define
class _Server:
    """What is known of one server.

    Attributes:
      pool: its pool.
      sum: the cumulative sum.
      probation_s: how long it stays out at the next alarm.
      out_until: when it comes back, or 0.
    """

    pool: str
    sum: float = 0.0
    probation_s: float = FIRST_PROBATION_S
    out_until: float = 0.0


@attrs.define
class _Pool:
    """What is known of one pool."""

    references: dict[int, _Reference] = attrs.field(
        factory=lambda: collections.defaultdict(_Reference)
    )
    members: set[str] = attrs.field(factory=set)


class RankCusumDetector:
    """Finds stragglers; satisfies `straggler_api.StragglerDetector`."""

    def __init__(self) -> None:
        """Starts without observations."""
        self._servers: collections.OrderedDict[str, _Server] = (
            collections.OrderedDict()
        )
        self._pools: dict[str, _Pool] = collections.defaultdict(_Pool)
        self._out: frozenset[str] = frozenset()

    def observe(
        self, server: str, pool: str, seconds: float, batch: int, now: float
    ) -> None:
        """Takes note of the seconds per token that a server needed."""
        if self._out:
            self._end_probations(now)
        known = self._known(server, pool)
        if known.out_until:
            return
        reference = self._pools[pool].references[batch.bit_length()]
        known.sum += reference.score(seconds) - ALLOWANCE
        if known.sum <= 0.0:
            known.sum = 0.0
            known.probation_s = FIRST_PROBATION_S
        if known.sum > ALARM_LIMIT:
            self._alarm(server, known, now)
        elif known.sum < ALARM_LIMIT / 2:
            reference.add(seconds)

    def stragglers(self) -> frozenset[str]:
        """Returns the servers that are stragglers at present."""
        return self._out

    def _known(self, server: str, pool: str) -> _Server:
        known = self._servers.get(server)
        if known is None or known.pool != pool:
            self._forget(server)
            known = self._servers[server] = _Server(pool)
            self._pools[pool].members.add(server)
            if len(self._servers) > SERVER_LIMIT:
                self._forget(next(iter(self._servers)))
        self._servers.move_to_end(server)
        return known

    def _forget(self, server: str) -> None:
        known = self._servers.pop(server, None)
        if known is None:
            return
        self._out -= {server}
        pool = self._pools[known.pool]
        pool.members.discard(server)
        if not pool.members:
            del self._pools[known.pool]

    def _alarm(self, server: str, known: _Server, now: float) -> None:
        members = self._pools[known.pool].members
        allowed = max(1, len(members) // _STRAGGLER_SHARE)
        if len(members & self._out) >= allowed or len(members) == 1:
            self._begin_anew(known.pool)
            return
        known.out_until = now + known.probation_s
        known.probation_s = min(2 * known.probation_s, LAST_PROBATION_S)
        self._out |= {server}

    def _begin_anew(self, name: str) -> None:
        pool = self._pools[name]
        pool.references.clear()
        self._out -= pool.members
        for member in pool.members:
            self._servers[member].sum = 0.0
            self._servers[member].out_until = 0.0

    def _end_probations(self, now: float) -> None:
        for server in self._out:
            known = self._servers[server]
            if known.out_until <= now:
                known.out_until = 0.0
                known.sum = ALARM_LIMIT / 2
                self._out -= {server}


def make_straggler_detector() -> RankCusumDetector:
    """Creates the detector of a daemon."""
    return RankCusumDetector()
