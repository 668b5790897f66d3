"""Finds backend servers that are slower than their pool.

Each observation is ranked among recent observations of the pool at a like
batch size. The rank becomes a normal score, and the scores of a server add up
in a CUSUM. Ranks make the rate of false alarms the same for every
distribution of latencies. An observation is divided by a tolerated factor
first, since a small but steady difference is no reason to lose a server's
capacity. A straggler comes back once its own observations
are like the pool's again. If it gets no work to show that, it comes back on
probation after a time. When too many servers of a pool alarm, the pool as a
whole has become slower, and its history is begun anew.
"""

import bisect
import collections
import statistics
from typing import Final

import attrs

# Sum of scores; see docs/design/stragglers.md for the rate of false alarms.
ALARM_LIMIT: Final = 4.0
# Score that each observation takes off; half the shift to be found.
ALLOWANCE: Final = 0.5
# Slowness, against the pool, that is no straggling.
TOLERATED_FACTOR: Final = 1.5
# Observations of the pool that ranks refer to.
REFERENCE_LENGTH: Final = 256
# Observations before anything is judged.
MIN_REFERENCE: Final = 50
# Seconds; doubled with each relapse.
FIRST_PROBATION_S: Final = 30.0
# Seconds of the longest probation.
LAST_PROBATION_S: Final = 480.0
# Servers kept; four times those that are planned for.
SERVER_LIMIT: Final = 4096
# One of this many servers may straggle at most.
_STRAGGLER_SHARE: Final = 3
_BACK_LIMIT: Final = ALARM_LIMIT / 2
# Bounds the time in which a server that recovered is cleared.
_HIGHEST_SUM: Final = 1.5 * ALARM_LIMIT
_NORMAL: Final = statistics.NormalDist()


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
        """Returns the normal score, 0 while too little is known."""
        count = len(self._ordered)
        if count < MIN_REFERENCE:
            return 0.0
        below = bisect.bisect_left(self._ordered, seconds)
        upto = bisect.bisect_right(self._ordered, seconds)
        return _NORMAL.inv_cdf((below + upto + 1) / (2 * count + 2))


@attrs.define
class _Server:
    """What is known of one server.

    Attributes:
      pool: its pool.
      sum: the cumulative sum.
      probation_s: seconds without work after which it comes back.
      out: whether it is a straggler.
      seen_at: time of its latest observation.
    """

    pool: str
    sum: float = 0.0
    probation_s: float = FIRST_PROBATION_S
    out: bool = False
    seen_at: float = 0.0


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
        known = self._known(server, pool)
        known.seen_at = now
        if self._out:
            self._end_probations(now)
        reference = self._pools[pool].references[batch.bit_length()]
        # To come back, a server must be like the pool, not just tolerable.
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
