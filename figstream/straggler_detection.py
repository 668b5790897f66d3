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
MAX_PROBATION_S: Final = 480.0
# Four times the planned number of servers.
SERVER_LIMIT: Final = 4096
# At most one in this many servers of a pool may be a straggler.
_SERVERS_PER_STRAGGLER: Final = 3
_CLEAR_LIMIT: Final = ALARM_LIMIT / 2
# Bounds the time until a recovered server is cleared.
_MAX_SUM: Final = 1.5 * ALARM_LIMIT
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
class _ServerState:
    """The detection state of one server.

    Attributes:
      pool: name of its pool.
      sum: the cumulative sum of its scores.
      probation_s: time without observations after which a straggler is
        cleared on probation.
      is_straggler: whether the server is a straggler.
      seen_at: time of its latest observation.
    """

    pool: str
    sum: float = 0.0
    probation_s: float = FIRST_PROBATION_S
    is_straggler: bool = False
    seen_at: float = 0.0


@attrs.define
class _PoolState:
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
        self._servers: collections.OrderedDict[str, _ServerState] = (
            collections.OrderedDict()
        )
        self._pools: dict[str, _PoolState] = collections.defaultdict(_PoolState)
        self._stragglers: frozenset[str] = frozenset()

    def observe(
        self, server: str, pool: str, seconds: float, batch: int, now: float
    ) -> None:
        """Records the seconds per token that a server needed."""
        state = self._state_of(server, pool)
        state.seen_at = now
        if self._stragglers:
            self._end_probations(now)
        reference = self._pools[pool].references[batch.bit_length()]
        # A straggler is cleared only if it is like the pool, not just within
        # the tolerated factor.
        factor = 1.0 if state.is_straggler else TOLERATED_FACTOR
        score = reference.score(seconds / factor)
        total = state.sum + score - ALLOWANCE
        state.sum = min(max(total, 0.0), _MAX_SUM)
        if state.sum == 0.0:
            state.probation_s = FIRST_PROBATION_S
        if state.is_straggler and state.sum <= _CLEAR_LIMIT:
            self._set_straggler(server, state, False)
        elif not state.is_straggler and state.sum > ALARM_LIMIT:
            self._alarm(server, state)
        elif not state.is_straggler and state.sum < _CLEAR_LIMIT:
            reference.add(seconds)

    def stragglers(self) -> frozenset[str]:
        """Returns the current stragglers."""
        return self._stragglers

    def _state_of(self, server: str, pool: str) -> _ServerState:
        state = self._servers.get(server)
        if state is None or state.pool != pool:
            self._evict(server)
            state = self._servers[server] = _ServerState(pool)
            self._pools[pool].members.add(server)
            if len(self._servers) > SERVER_LIMIT:
                self._evict(next(iter(self._servers)))
        self._servers.move_to_end(server)
        return state

    def _evict(self, server: str) -> None:
        state = self._servers.pop(server, None)
        if state is None:
            return
        self._stragglers -= {server}
        pool = self._pools[state.pool]
        pool.members.discard(server)
        if not pool.members:
            del self._pools[state.pool]

    def _alarm(self, server: str, state: _ServerState) -> None:
        members = self._pools[state.pool].members
        allowed = max(1, len(members) // _SERVERS_PER_STRAGGLER)
        if len(members & self._stragglers) >= allowed or len(members) == 1:
            self._reset_pool(state.pool)
        else:
            self._set_straggler(server, state, True)

    def _reset_pool(self, name: str) -> None:
        pool = self._pools[name]
        pool.references.clear()
        for member in pool.members:
            self._servers[member].sum = 0.0
            self._set_straggler(member, self._servers[member], False)

    def _end_probations(self, now: float) -> None:
        for server in self._stragglers:
            state = self._servers[server]
            if now - state.seen_at >= state.probation_s:
                doubled_s = 2 * state.probation_s
                state.probation_s = min(doubled_s, MAX_PROBATION_S)
                state.sum = _CLEAR_LIMIT
                self._set_straggler(server, state, False)

    def _set_straggler(
        self, server: str, state: _ServerState, is_straggler: bool
    ) -> None:
        state.is_straggler = is_straggler
        self._stragglers = (
            self._stragglers | {server}
            if is_straggler
            else self._stragglers - {server}
        )


def make_straggler_detector() -> RankCusumDetector:
    """Creates the detector of a daemon."""
    return RankCusumDetector()
