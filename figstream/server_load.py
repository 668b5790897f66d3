"""Estimates the load of each backend server, as seen by one daemon.

Server selection reads these estimates; the dispatcher and load reports update
them. Load reports are delayed, and other daemons use the same servers. The
estimate is the number of requests that this daemon runs at the server now,
plus the requests of other daemons: the reported load minus this daemon's own
requests at the time of the measurement. As a report ages, the estimate of the
other daemons' requests returns to their smoothed mean.
"""

import bisect
import collections
import math
from typing import Final

import attrs

from figstream import backend_server
from figstream import cold_servers
from figstream import refusal_limits
from figstream import scheduler_api
from figstream import server_limits

# More changes than occur during the delay of a report.
_MAX_CHANGES: Final = 64
# Several times the duration of a usual answer.
_REPORT_LIFETIME_S: Final = 10.0
# Within this time, other requests replace most of those running.
_TURNOVER_S: Final = 2.0
# Weight of the newest report in the smoothed mean.
_MEAN_SMOOTHING: Final = 0.2
# A full server has a free slot after this time.
_REFUSED_PAUSE_S: Final = 0.25
# First pause; the pause doubles with each consecutive failure.
_FAILED_PAUSE_S: Final = 0.5
# A server that has recovered is tried again within this time.
_MAX_PAUSE_S: Final = 30.0


def _new_changes() -> collections.deque[tuple[float, int]]:
    return collections.deque(maxlen=_MAX_CHANGES)


@attrs.define
class ServerState:
    """The load and recent failures of one backend server.

    Attributes:
      own_requests: running requests that this daemon sent to the server.
      other_requests: requests of other daemons, according to the last
        report.
      other_requests_mean: smoothed mean of `other_requests`.
      measured_at: time of the measurement in the last report.
      failures: number of consecutive failures.
      paused_until: time until which the server receives no new requests
        after a failure.
      reserved_for: id of the request that must run alone on the server, or
        "".
    """

    own_requests: int = 0
    other_requests: float = 0.0
    other_requests_mean: float = 0.0
    measured_at: float = -1e9
    failures: int = 0
    paused_until: float = -1e9
    reserved_for: str = ""
    _own_request_changes: collections.deque[tuple[float, int]] = attrs.field(
        factory=_new_changes
    )

    def change_own_requests(self, by: int, now: float) -> None:
        """Changes the number of this daemon's running requests."""
        self.own_requests += by
        self._own_request_changes.append((now, self.own_requests))

    def own_requests_at(self, moment: float) -> int:
        """Returns the number of this daemon's running requests at a time."""
        at = bisect.bisect_right(
            self._own_request_changes, moment, key=lambda e: e[0]
        )
        if at:
            return self._own_request_changes[at - 1][1]
        return (
            self._own_request_changes[0][1]
            if self._own_request_changes
            else self.own_requests
        )


class LoadBook:
    """The load estimates of one daemon for all backend servers."""

    def __init__(self) -> None:
        """Initializes an empty book."""
        self.stragglers: frozenset[str] = frozenset()
        self._states: collections.defaultdict[str, ServerState] = (
            collections.defaultdict(ServerState)
        )
        self._pauses: dict[str, float] = {}
        self.limits = server_limits.ServerLimits()
        self.cold = server_limits.ServerLimits(
            cold_servers.TURN_LIFETIME_S, placed=False
        )
        self.refusals = refusal_limits.RefusalLimits()

    def state(self, server: str) -> ServerState:
        """Returns the load and failures of a server."""
        return self._states[server]

    def evict_except(self, servers: frozenset[str]) -> None:
        """Evicts other servers that run no request of this daemon."""
        for name in list(self._states):
            if name not in servers and not self._states[name].own_requests:
                del self._states[name]

    def pause(self, server: str, until: float, now: float) -> None:
        """Records until when a server has asked for no requests.

        Unlike the pauses after failures, this one is never shortened by a
        lack of other servers, and it survives the removal of the server.
        """
        self._pauses[server] = until
        self._pauses = {
            name: end for name, end in self._pauses.items() if end > now
        }

    def paused(self, now: float) -> frozenset[str]:
        """Returns the servers that want no request of this daemon now.

        They have asked for a pause, or have named a limit or warm up and this
        daemon has no turn at present.
        """
        limited = self.limits.without_turn(now)
        if self.cold.any:
            limited |= self.cold.without_turn(now)
        if not self._pauses:
            return limited
        return limited.union(
            name for name, until in self._pauses.items() if until > now
        )

    def has_room(
        self, server: backend_server.BackendServer, now: float
    ) -> bool:
        """Returns whether a server's refusal limit permits a request."""
        own_requests = self._states[server.name].own_requests
        return self.refusals.has_room(server, own_requests, now)

    def pause_end(self, servers: frozenset[str], now: float) -> float:
        """Returns the end of the first pause that one of the servers asked for.

        Returns `now` if one of them has asked for none.
        """
        if not self._pauses:
            return now
        ends = (self._pauses.get(name, now) for name in servers)
        return max(now, min(ends, default=now))

    def wanted_at(self, servers: frozenset[str], now: float) -> float:
        """Returns the first time at which one of the servers wants a request.

        Considers pauses, limits and servers that warm up.
        """
        if not self._pauses and not self.limits.any and not self.cold.any:
            return now
        times = (
            self.cold.next_turn(
                name,
                self.limits.next_turn(
                    name, max(now, self._pauses.get(name, now))
                ),
            )
            for name in servers
        )
        return min(times, default=now)

    def dispatched(self, server: str, now: float) -> None:
        """Records that this daemon sent a request to a server."""
        self._states[server].change_own_requests(1, now)
        self.limits.use(server, now)
        self.cold.use(server, now)

    def finished(
        self, server: str, result: scheduler_api.AttemptResult, now: float
    ) -> None:
        """Records the end of an attempt by this daemon, and any pause."""
        state = self._states[server]
        state.change_own_requests(-1, now)
        if result is scheduler_api.AttemptResult.ANSWERED:
            state.failures = 0
        elif result is scheduler_api.AttemptResult.REFUSED:
            state.paused_until = max(state.paused_until, now + _REFUSED_PAUSE_S)
        elif result is scheduler_api.AttemptResult.FAILED:
            self._pause_failed(state, now)

    def _pause_failed(self, state: ServerState, now: float) -> None:
        """Pauses a server, each time for longer.

        Failures during a pause are ignored, so that a crash that ends many
        requests counts once.
        """
        if state.paused_until > now:
            return
        pause_s = _FAILED_PAUSE_S * 2.0 ** min(state.failures, 10)
        state.failures += 1
        state.paused_until = now + min(pause_s, _MAX_PAUSE_S)

    def report(self, load: scheduler_api.ServerLoad) -> None:
        """Records a load report, unless a newer one is known."""
        state = self._states[load.server]
        if load.measured_at < state.measured_at:
            return
        own_requests = state.own_requests_at(load.measured_at)
        state.other_requests = max(
            0.0, load.running + load.waiting - own_requests
        )
        known = load.measured_at - state.measured_at <= _REPORT_LIFETIME_S
        weight = _MEAN_SMOOTHING if known else 1.0
        state.other_requests_mean += weight * (
            state.other_requests - state.other_requests_mean
        )
        state.measured_at = load.measured_at

    def confidence(self, server: str, now: float) -> float:
        """Returns the confidence in the last report, from 0 to 1."""
        age_s = now - self._states[server].measured_at
        if age_s > _REPORT_LIFETIME_S:
            return 0.0
        return math.exp(-age_s / _TURNOVER_S)

    def expected_requests(self, server: str, now: float) -> float:
        """Returns the expected number of requests at a server.

        The same as `estimate` for a server that no other daemon is assumed to
        use without a report; placement asks for it for each server of a pool.
        """
        state = self._states[server]
        age_s = now - state.measured_at
        if age_s > _REPORT_LIFETIME_S:
            return float(state.own_requests)
        mean = state.other_requests_mean
        excess = state.other_requests - mean
        if excess:
            excess *= math.exp(-age_s / _TURNOVER_S)
        return state.own_requests + mean + excess

    def known_requests(self, server: str, now: float) -> float | None:
        """Returns the requests at a server, None without a recent report."""
        age_s = now - self._states[server].measured_at
        if age_s > _REPORT_LIFETIME_S:
            return None
        return self.expected_requests(server, now)

    def estimate(self, server: str, sharers: int, confidence: float) -> float:
        """Returns the expected number of requests at a server.

        Args:
          server: the backend server.
          sharers: number of daemons that use the server. Without a recent
            report, each is assumed to run as many requests as this one.
          confidence: confidence in the last report, from 0 to 1.
        """
        state = self._states[server]
        if not confidence:
            return float(state.own_requests * sharers)
        excess = state.other_requests - state.other_requests_mean
        return (
            state.own_requests + state.other_requests_mean + confidence * excess
        )
