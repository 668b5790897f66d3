"""Decides whether this daemon has a path of its own to backend servers.

A network partition may cut a daemon off from all servers while callers, peers
and the platform still reach it. New connections then hang or are refused, and
open ones hang, are reset, or go on. Failures at two servers make the daemon
suspect a partition; `path_probe` then connects to a few servers and tells the
outcome. Connections are opened through peers until a probe succeeds again.
"""

from collections.abc import Iterator
from collections.abc import Sequence
import contextlib
import itertools
import random
from typing import Final

from figstream import backend_server
from figstream import clock as clock_lib
from figstream import logs
from figstream import metrics as metrics_lib

# Failures at a single server are those of the server.
_MIN_FAILING_SERVERS: Final = 2
# Failures count for this time. A request meets the next server within a second.
_FAILURE_LIFETIME_S: Final = 2.0
# A request without an answer for this time, while no server answers anything,
# counts like a failure. Servers may need as long for an answer under load.
_OVERDUE_S: Final = 0.5
# One server of the own zone and two others: neither a partition between zones
# nor a crash of a few servers makes all of them fail.
MAX_PROBED_SERVERS: Final = 3


class ServerPaths:
    """What connections to backend servers say about this daemon's paths."""

    def __init__(
        self, clock: clock_lib.Clock, metrics: metrics_lib.Metrics
    ) -> None:
        """Initializes with a path."""
        self._clock = clock
        self._metrics = metrics
        self._direct = True
        self._changed_at = clock.now()
        self._heard_at = clock.now()
        self._failed_at: dict[str, float] = {}
        self._waits: dict[int, tuple[str, float]] = {}
        self._wait_numbers = itertools.count()

    @property
    def direct(self) -> bool:
        """Returns whether connections are opened by this daemon itself."""
        return self._direct

    def opened(self, server: str) -> None:
        """Records that a direct connection to a server was opened."""
        self._heard_at = self._clock.now()
        self._failed_at.clear()

    def failed(self, server: str) -> None:
        """Records that a direct connection to a server was not opened."""
        now = self._clock.now()
        self._failed_at = {
            name: at
            for name, at in self._failed_at.items()
            if now - at < _FAILURE_LIFETIME_S
        }
        self._failed_at[server] = now

    @contextlib.contextmanager
    def awaiting(self, server: str) -> Iterator[None]:
        """Surrounds the wait for the head of an answer on a direct path."""
        number = next(self._wait_numbers)
        self._waits[number] = server, self._clock.now()
        try:
            yield
            self._heard_at = self._clock.now()
        finally:
            del self._waits[number]

    def suspected(self, server_count: int) -> bool:
        """Returns whether the path may be lost.

        Args:
          server_count: number of backend servers that exist.
        """
        now = self._clock.now()
        needed = min(_MIN_FAILING_SERVERS, server_count)
        failing = {
            name
            for name, at in self._failed_at.items()
            if now - at < _FAILURE_LIFETIME_S
        }
        if now - self._heard_at > _OVERDUE_S:
            failing.update(
                server
                for server, sent_at in self._waits.values()
                if now - sent_at > _OVERDUE_S
            )
        return 0 < needed <= len(failing)

    def mark_lost(self, tried: Sequence[str]) -> None:
        """Records that probes of several servers failed."""
        self._change(direct=False)
        self._metrics.event("server_path_lost")
        logs.warning(
            "server_path_lost",
            tried=",".join(tried),
            failed=",".join(sorted(self._failed_at)) or "none",
            waiting=len(self._waits),
        )

    def mark_regained(self, server: str) -> None:
        """Records that a probe succeeded."""
        lost_s = self._clock.now() - self._changed_at
        self._change(direct=True)
        self.opened(server)
        self._metrics.event("server_path_regained")
        logs.info(
            "server_path_regained", server=server, lost_s=round(lost_s, 3)
        )

    def _change(self, *, direct: bool) -> None:
        self._direct = direct
        self._changed_at = self._clock.now()


def choose_probed(
    servers: Sequence[backend_server.BackendServer],
    zone: str,
    source: random.Random,
) -> Sequence[backend_server.BackendServer]:
    """Returns the servers to probe, one of them in the own zone if any is."""
    near = [item for item in servers if item.zone == zone]
    first = [source.choice(near)] if near else []
    others = [item for item in servers if item not in first]
    count = min(len(others), MAX_PROBED_SERVERS - len(first))
    return [*first, *source.sample(others, count)]
