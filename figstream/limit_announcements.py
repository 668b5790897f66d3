"""Keeps the request rates that backend servers name in their answers.

`server_announcements` passes on what each answer says. A limit holds for one
run of a server until an answer no longer names it. Only the answer to a request
that was sent after the limit was known can end the limit, since answers may
overtake each other. Each change is told to listeners, which pass it to the
other daemons: a limited server answers each of them rarely.
"""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Final

import attrs

from figstream import backend_server
from figstream import bounded_records
from figstream import clock as clock_lib
from figstream import logs
from figstream import metrics as metrics_lib
from figstream import scheduler_api
from figstream import server_limits

# A server that got no requests at all could not say that it wants some again.
MIN_LIMIT_PER_S: Final = 0.1
# Bounds the memory for limits; more servers than run at once.
_MAX_SERVERS: Final = 4_096


@attrs.frozen
class ServerLimit:
    """What an answer said about the limit of its server.

    Attributes:
      server: name of the server.
      run: start time of the server's run, in Unix milliseconds.
      per_s: requests a second over all daemons, None for no limit.
      named_at: Unix time at which the answer was read.
    """

    server: str
    run: int
    per_s: float | None
    named_at: float


Listener = Callable[[ServerLimit], None]


@attrs.frozen
class _Known:
    """The last words of a server and the clock time when they were heard."""

    limit: ServerLimit
    heard_at: float


class LimitAnnouncements:
    """The limits that this daemon knows of."""

    def __init__(
        self,
        scheduler: scheduler_api.Scheduler,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
    ) -> None:
        """Initializes without limits."""
        self._scheduler = scheduler
        self._clock = clock
        self._metrics = metrics
        self._known: dict[str, _Known] = {}
        self._runs: Mapping[str, int] = {}
        self._listeners: list[Listener] = []

    @property
    def present(self) -> Sequence[ServerLimit]:
        """Returns the limits of the servers that exist at present."""
        limits = (known.limit for known in self._known.values())
        return [
            limit
            for limit in limits
            if limit.per_s is not None and limit.server in self._runs
        ]

    def subscribe(self, listener: Listener) -> None:
        """Calls the listener with each change that an answer brought."""
        self._listeners.append(listener)

    def receive(
        self,
        server: backend_server.BackendServer,
        per_s: float | None,
        sent_at: float,
    ) -> None:
        """Applies what an answer says.

        Args:
          server: the server that answered.
          per_s: the limit that it named, None if it named none.
          sent_at: clock time at which the request of the answer was sent.
        """
        per_s = self._usable(server.name, per_s)
        if per_s is None:
            known = self._known.get(server.name)
            if known is None or sent_at < known.heard_at:
                return
        limit = ServerLimit(
            server.name, server.started_ms, per_s, self._clock.wall()
        )
        if self._apply(limit, "answer"):
            for listener in self._listeners:
                listener(limit)

    def receive_from_peer(self, limit: ServerLimit) -> None:
        """Applies what another daemon read, unless newer words are known."""
        per_s = self._usable(limit.server, limit.per_s)
        limit = attrs.evolve(limit, per_s=per_s)
        known = self._known.get(limit.server)
        if known is None:
            self._apply(limit, "peer")
        elif known.limit.named_at < limit.named_at:
            # A repeat must not seem newer than requests sent before it.
            words = attrs.evolve(limit, named_at=known.limit.named_at)
            if words != known.limit:
                self._apply(limit, "peer")

    def update_servers(self, runs: Mapping[str, int]) -> None:
        """Discards the limits of servers that were restarted.

        Args:
          runs: start times of the present servers by name, in Unix
            milliseconds.
        """
        self._runs = runs
        for name, known in list(self._known.items()):
            if runs.get(name, known.limit.run) != known.limit.run:
                del self._known[name]
                if known.limit.per_s is not None:
                    self._set(name, None, "restart")

    def _usable(self, server: str, per_s: float | None) -> float | None:
        """Returns a limit that can be kept, None if there is none."""
        if per_s is None:
            return None
        if per_s > server_limits.MAX_PER_S:
            self._metrics.event("server_limit_out_of_range")
            logs.warning("server_limit_out_of_range", server=server)
            return None
        return max(per_s, MIN_LIMIT_PER_S)

    def _apply(self, limit: ServerLimit, source: str) -> bool:
        """Applies the words of a server; returns whether anything changed."""
        name = limit.server
        if limit.run < self._runs.get(name, 0):
            return False
        known = self._known.get(name)
        record = _Known(limit, self._clock.now())
        bounded_records.put(self._known, name, record, _MAX_SERVERS)
        if limit.per_s == (known.limit.per_s if known else None):
            return False
        self._set(name, limit.per_s, source)
        return True

    def _set(self, server: str, per_s: float | None, source: str) -> None:
        epoch = self._clock.now() - self._clock.wall()
        self._scheduler.limit_server(server, per_s, epoch)
        event = "server_limit_ended" if per_s is None else "server_named_limit"
        self._metrics.event(event)
        logs.info(event, server=server, per_s=per_s, source=source)
