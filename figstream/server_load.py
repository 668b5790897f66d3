"""What one daemon knows about the load of each backend server.

Load reports lag, and other daemons send as well. The load is estimated as
the requests this daemon has there now, plus what the report showed beyond
this daemon's own requests when it was measured. As a report ages, the other
daemons' requests are taken to go back to their smoothed mean.
"""

import bisect
import collections
import math
from typing import Final

import attrs

from figstream import scheduler_api

# Changes kept; reports lag by fewer.
_HISTORY: Final = 64
# Seconds; several times a usual answer.
_REPORT_LIFETIME_S: Final = 10.0
# Seconds in which most running requests are replaced by others.
_TURNOVER_S: Final = 2.0
# Weight of the newest report in the mean.
_MEAN_SMOOTHING: Final = 0.2
# Seconds; a full server has a free slot by then.
_REFUSED_PAUSE_S: Final = 0.25
# Seconds of the first pause; doubled with each failure in a row.
_FAILED_PAUSE_S: Final = 0.5
# Seconds; a server that is back is found again by then.
_MAX_PAUSE_S: Final = 30.0


def _history() -> collections.deque[tuple[float, int]]:
    return collections.deque(maxlen=_HISTORY)


@attrs.define
class ServerState:
    """What is known about one backend server.

    Attributes:
      own: requests of this daemon running there.
      others: requests of other daemons, as of the last report.
      others_mean: smoothed mean of `others`.
      measured_at: when the last report was measured.
      failures: failed attempts in a row.
      paused_until: until when it gets no new work after failures.
      reserved_for: id of the request that must run there alone, or "".
    """

    own: int = 0
    others: float = 0.0
    others_mean: float = 0.0
    measured_at: float = -1e9
    failures: int = 0
    paused_until: float = -1e9
    reserved_for: str = ""
    _events: collections.deque[tuple[float, int]] = attrs.field(
        factory=_history
    )

    def change_own(self, by: int, now: float) -> None:
        """Adds to the requests of this daemon running there."""
        self.own += by
        self._events.append((now, self.own))

    def own_at(self, moment: float) -> int:
        """Returns the requests of this daemon running there at a moment."""
        at = bisect.bisect_right(self._events, moment, key=lambda e: e[0])
        if at:
            return self._events[at - 1][1]
        return self._events[0][1] if self._events else self.own


class LoadBook:
    """The load of all backend servers as one daemon knows it."""

    def __init__(self) -> None:
        """Starts with no server known."""
        self.stragglers: frozenset[str] = frozenset()
        self._states: collections.defaultdict[str, ServerState] = (
            collections.defaultdict(ServerState)
        )

    def state(self, server: str) -> ServerState:
        """Returns what is known about a server."""
        return self._states[server]

    def forget_except(self, servers: frozenset[str]) -> None:
        """Forgets servers that are gone and idle."""
        for name in list(self._states):
            if name not in servers and not self._states[name].own:
                del self._states[name]

    def dispatched(self, server: str, now: float) -> None:
        """Takes note that this daemon sent a request."""
        self._states[server].change_own(1, now)

    def finished(
        self, server: str, result: scheduler_api.AttemptResult, now: float
    ) -> None:
        """Takes note that a request of this daemon ended."""
        state = self._states[server]
        state.change_own(-1, now)
        if result is scheduler_api.AttemptResult.ANSWERED:
            state.failures = 0
        elif result is scheduler_api.AttemptResult.REFUSED:
            state.paused_until = max(state.paused_until, now + _REFUSED_PAUSE_S)
        elif result is scheduler_api.AttemptResult.FAILED:
            self._pause_failed(state, now)

    def _pause_failed(self, state: ServerState, now: float) -> None:
        """Lengthens the pause; a crash that ends many requests counts once."""
        if state.paused_until > now:
            return
        pause_s = _FAILED_PAUSE_S * 2.0 ** min(state.failures, 10)
        state.failures += 1
        state.paused_until = now + min(pause_s, _MAX_PAUSE_S)

    def report(self, load: scheduler_api.ServerLoad) -> None:
        """Takes note of a load report."""
        state = self._states[load.server]
        if load.measured_at < state.measured_at:
            return
        own = state.own_at(load.measured_at)
        state.others = max(0.0, load.running + load.waiting - own)
        known = load.measured_at - state.measured_at <= _REPORT_LIFETIME_S
        weight = _MEAN_SMOOTHING if known else 1.0
        state.others_mean += weight * (state.others - state.others_mean)
        state.measured_at = load.measured_at

    def trust(self, server: str, now: float) -> float:
        """Returns how far the last report still tells the load, 0 to 1."""
        age_s = now - self._states[server].measured_at
        if age_s > _REPORT_LIFETIME_S:
            return 0.0
        return math.exp(-age_s / _TURNOVER_S)

    def estimate(self, server: str, sharers: int, trust: float) -> float:
        """Returns the expected number of requests at a server.

        Args:
          server: the backend server.
          sharers: daemons that send to it; without a fresh report they are
            taken to send as much as this one does.
          trust: how far the last report still tells the load, 0 to 1.
        """
        state = self._states[server]
        if not trust:
            return float(state.own * sharers)
        excess = state.others - state.others_mean
        return state.own + state.others_mean + trust * excess
