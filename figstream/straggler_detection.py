"""Detects stragglers: backend servers that are slower than their pool.

The scheduler reports the time per token of each answer here, and server
selection avoids the stragglers. Each observation is ranked among recent
observations of the pool at a similar batch size. The rank is converted to a
normal score, and the scores of a server are summed in a CUSUM. Ranks make the
rate of false alarms independent of the distribution of latencies. Each
observation is first divided by a tolerated factor, since a small but steady
difference does not justify losing a server's capacity.

A straggler is cleared once its observations are like the pool's again. If it
receives no requests, it is cleared on probation after a time. If too many
servers of a pool raise an alarm, the pool as a whole has become slower, and
its history is reset.
"""

import bisect
import collections
import statistics
from typing import Final

import attrs

# Limit of the CUSUM; docs/design/stragglers.md gives the rate of false alarms.
ALARM_LIMIT: Final = 4.0
# Subtracted from each score; half the shift to be detected.
ALLOWANCE: Final = 0.5
# A server that is slower than its pool by up to this factor is no straggler.
TOLERATED_FACTOR: Final = 1.5
# Number of recent pool observations that a new one is ranked among.
REFERENCE_LENGTH: Final = 256
# Observations are not scored before the pool has this many.
MIN_REFERENCE: Final = 50
# The probation time doubles with each relapse.
FIRST_PROBATION_S: Final = 30.0
LAST_PROBATION_S: Final = 480.0
# Four times the planned number of servers.
SERVER_LIMIT: Final = 4096
# At most one in this many servers of a pool may be a straggler.
_STRAGGLER_SHARE: Final = 3
_BACK_LIMIT: Final = ALARM_LIMIT / 2
# Bounds the time until a recovered server is cleared.
_HIGHEST_SUM: Final = 1.5 * ALARM_LIMIT
_NORMAL: Final = statistics.NormalDist()


class _Reference:
    """The latest healthy observations of a pool at similar batch sizes."""

    def __init__(self) -> None:
        """Initializes without observations."""
        self._latest: collections.deque[float] = collections.deque()
        self._ordered: list[float] = []

    def add(self, seconds: float) -> None:
        """Adds an observation and evicts the oldest from a full reference."""
        if len(self._latest) == REFERENCE_LENGTH:
            oldest = self._latest.popleft()
            del self._ordered[bisect.bisect_left(self._ordered, oldest)]
        self._latest.append(seconds)
        bisect.insort(self._ordered, seconds)

    def score(self, seconds: float) -> float:
        """Returns the normal score, or 0 with too few observations."""
        count = len(self._ordered)
        if count < MIN_REFERENCE:
            return 0.0
        below = bisect.bisect_left(self._ordered, seconds)
        upto = bisect.bisect_right(self._ordered, seconds)
        return _NORMAL.inv_cdf((below + upto + 1) / (2 * count + 2))


@attrs.define
class _Server:
    """The detection state of one server.

    Attributes:
      pool: name of its pool.
      sum: the cumulative sum of its scores.
      probation_s: time without observations after which a straggler is
        cleared on probation.
      out: whether the server is a straggler.
      seen_at: time of its latest observation.
    """

    pool: str
    sum: float = 0.0
    probation_s: float = FIRST_PROBATION_S
    out: bool = False
    seen_at: float = 0.0


@attrs.define
class _Pool:
    """The servers of a pool, and its references by batch size."""

    references: dict[int, _Reference] = attrs.field(
        factory=lambda: collections.defaultdict(_Reference)
    )
    members: set[str] = attrs.field(factory=set)


class RankCusumDetector:
    """Detects stragglers by a CUSUM of rank scores.

    Implements `straggler_api.StragglerDetector`.
    """

    def __init__(self) -> None:
        """Initializes without observations."""
        self._servers: collections.OrderedDict[str, _Server] = (
            collections.OrderedDict()
        )
        self._pools: dict[str, _Pool] = collections.defaultdict(_Pool)
        self._out: frozenset[str] = frozenset()

    def observe(
        self, server: str, pool: str, seconds: float, batch: int, now: float
    ) -> None:
        """Records the seconds per token that a server needed."""
        known = self._known(server, pool)
        known.seen_at = now
        if self._out:
            self._end_probations(now)
        reference = self._pools[pool].references[batch.bit_length()]
        # A straggler is cleared only if it is like the pool, not just within
        # the tolerated factor.
        factor = 1.0 if known.out else TOLERATED_FACTOR
        score = reference.score(seconds / factor)
        total = known.sum + score - ALLOWANCE
        known.sum = min(max(total, 0.0), _HIGHEST_SUM)
        if known.sum == 0.0:
            known.probation_s = FIRST_PROBATION_S
        if known.out and known.sum <= _BACK_LIMIT:
            self._set_out(server, known, False)
        elif not known.out and known.sum > ALARM_LIMIT:
            self._alarm(server, known)
        elif not known.out and known.sum < _BACK_LIMIT:
            reference.add(seconds)

    def stragglers(self) -> frozenset[str]:
        """Returns the current stragglers."""
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

    def _alarm(self, server: str, known: _Server) -> None:
        members = self._pools[known.pool].members
        allowed = max(1, len(members) // _STRAGGLER_SHARE)
        if len(members & self._out) >= allowed or len(members) == 1:
            self._begin_anew(known.pool)
        else:
            self._set_out(server, known, True)

    def _begin_anew(self, name: str) -> None:
        pool = self._pools[name]
        pool.references.clear()
        for member in pool.members:
            self._servers[member].sum = 0.0
            self._set_out(member, self._servers[member], False)

    def _end_probations(self, now: float) -> None:
        for server in self._out:
            known = self._servers[server]
            if now - known.seen_at >= known.probation_s:
                doubled_s = 2 * known.probation_s
                known.probation_s = min(doubled_s, LAST_PROBATION_S)
                known.sum = _BACK_LIMIT
                self._set_out(server, known, False)

    def _set_out(self, server: str, known: _Server, out: bool) -> None:
        known.out = out
        self._out = self._out | {server} if out else self._out - {server}


def make_straggler_detector() -> RankCusumDetector:
    """Creates the detector of a daemon."""
    return RankCusumDetector()
