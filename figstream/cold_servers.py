"""Servers that warm up and bear few requests until they are warm.

A server is cold for a time after its start, and may become cold again. It says
so in its entry in the platform's store and in answers. The operator says how
many requests a second a cold server of a service bears; at a rate well above
that it crashes. The daemons divide this rate among themselves by turns of the
wall clock (`server_limits`), without a message, so that all of them together
keep it in every second. Answers the load in which a zone or a whole service
comes back cold while callers wait: its servers are filled in steps, and the
others carry the rest.

Servers of services without such a rate are never limited.
"""

from collections.abc import Iterable
from typing import Final

from figstream import backend_server
from figstream import clock as clock_lib
from figstream import configuration_holder
from figstream import gateway_route
from figstream import logs
from figstream import metrics as metrics_lib
from figstream import scheduler_api

# A turn at a cold server lapses after this time; long enough that a daemon with
# some requests a second uses a part of its turns.
TURN_LIFETIME_S: Final = 0.25
# Most by which the clocks of two daemons differ.
CLOCK_SPREAD_S: Final = 0.6
# A server does not stay cold for longer than this without saying so again.
_MAX_COLD_S: Final = 300.0


def shared_rate(per_s: float, excess: float) -> float:
    """Returns the rate of turns that keeps a cold server within its bound.

    In one second, a server gets at most the requests of the turns that begin
    within the second or the life of a turn before it, by clocks that differ.

    Args:
      per_s: requests a second that a cold server bears.
      excess: factor by which a single second may exceed that rate.
    """
    return per_s * min(1.0, excess / (1.0 + TURN_LIFETIME_S + CLOCK_SPREAD_S))


class ColdServers:
    """Tells the scheduler which servers are cold, and until when."""

    def __init__(
        self,
        scheduler: scheduler_api.Scheduler,
        holder: configuration_holder.ConfigurationHolder,
        excess: float,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
    ) -> None:
        """Initializes without cold servers.

        Args:
          scheduler: receives the cold servers.
          holder: the operator's configuration, with what cold servers bear.
          excess: factor by which a single second may exceed that rate.
          clock: time source.
          metrics: instruments.
        """
        self._scheduler = scheduler
        self._holder = holder
        self._excess = excess
        self._clock = clock
        self._metrics = metrics
        # Start and time left that the entry of a server showed last.
        self._shown: dict[str, tuple[int, float]] = {}
        self._until: dict[str, float] = {}
        self._emptied_zones: frozenset[str] = frozenset()

    def update_servers(
        self,
        servers: Iterable[backend_server.BackendServer],
        emptied_zones: frozenset[str] = frozenset(),
    ) -> None:
        """Applies what the entries of the present servers say.

        Args:
          servers: the servers.
          emptied_zones: zones whose servers get no requests at present. The
            servers of a zone that is taken back may have become cold shortly
            before, which their entries don't show yet.
        """
        taken_back = self._emptied_zones - emptied_zones
        self._emptied_zones = emptied_zones
        shown = {}
        services = self._services()
        for server in servers:
            name = server.name
            entry = (server.started_ms, server.cold_left_s)
            shown[name] = entry
            service = services.get(server.service)
            if service is None:
                continue
            if self._shown.get(name) != entry and server.cold_left_s:
                self._set(server, service, server.cold_left_s, "entry")
            if server.zone in taken_back:
                self._set(server, service, service.cold_start_s, "zone")
        self._shown = shown
        now = self._clock.now()
        self._until = {
            name: until
            for name, until in self._until.items()
            if until > now and name in shown
        }

    def heard(
        self, server: backend_server.BackendServer, cold_s: float
    ) -> None:
        """Applies what an answer says.

        Args:
          server: the server that answered.
          cold_s: seconds for which it stays cold.
        """
        service = self._services().get(server.service)
        if service is not None:
            self._set(server, service, cold_s, "answer")

    def _services(self) -> dict[str, gateway_route.GatewayService]:
        """Returns the services whose cold servers bear a certain rate."""
        return {
            item.name: item
            for item in self._holder.current.gateway_services
            if item.cold_per_s > 0
        }

    def _set(
        self,
        server: backend_server.BackendServer,
        service: gateway_route.GatewayService,
        cold_s: float,
        source: str,
    ) -> None:
        """Limits a server for a time, unless it is limited for longer."""
        now = self._clock.now()
        until = now + min(cold_s, _MAX_COLD_S)
        known = self._until.get(server.name, now)
        if until <= known:
            return
        self._until[server.name] = until
        per_s = shared_rate(service.cold_per_s, self._excess)
        epoch = now - self._clock.wall()
        self._scheduler.set_cold(server.name, per_s, epoch, now, until)
        if known <= now:
            self._metrics.event("server_cold")
            logs.info(
                "server_cold",
                server=server.name,
                zone=server.zone,
                left_s=round(cold_s, 3),
                per_s=round(per_s, 3),
                source=source,
            )
