"""Applies what backend servers announce about themselves in their answers.

The client for backend servers passes each announcement on as soon as it has
read the head of the answer. A server that is leaving receives no further
requests, whatever its entry in the platform's store says. A server that asks
for a pause receives none until the pause ends. One that names a limit receives
no more than that (`limit_announcements`). One that crashes if it refuses too
many receives fewer (`refusal_limits`). An announcement holds for one run of a
server: after a restart under the same name, the server starts anew.
"""

from collections.abc import Iterable
from typing import Final

import attrs

from figstream import backend_server
from figstream import bounded_records
from figstream import clock as clock_lib
from figstream import cold_servers
from figstream import configuration_holder
from figstream import limit_announcements
from figstream import logs
from figstream import metrics as metrics_lib
from figstream import scheduler_api

# The entry of a server that wants no requests for longer is soon removed.
MAX_PAUSE_S: Final = 300.0
# Bounds the memory for announcements; more servers than run at once.
_MAX_SERVERS: Final = 4_096


@attrs.frozen
class Announcement:
    """What the head of an answer says about the server that sent it.

    Attributes:
      leaving: whether the server is about to exit.
      pause_s: seconds for which the server wants no requests, 0 for none.
      limit_per_s: requests a second that the server takes from all daemons
        together, None if it names no limit.
      limit_unreadable: whether the server names a limit that is no rate.
      refusal_limit_per_s: refusals a second above which the server crashes,
        None for no limit.
      cold_s: seconds for which the server still warms up, 0 if it doesn't.
    """

    leaving: bool = False
    pause_s: float = 0.0
    limit_per_s: float | None = None
    limit_unreadable: bool = False
    refusal_limit_per_s: float | None = None
    cold_s: float = 0.0


class ServerAnnouncements:
    """Keeps the announcements of servers and informs the scheduler."""

    def __init__(
        self,
        scheduler: scheduler_api.Scheduler,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
        cold: cold_servers.ColdServers,
    ) -> None:
        """Initializes without announcements."""
        self._cold = cold
        self._scheduler = scheduler
        self._clock = clock
        self._metrics = metrics
        # The start times of the servers tell their runs apart.
        self._known_runs: dict[str, int] = {}
        self._leaving_runs: dict[str, int] = {}
        self._paused_runs: dict[str, int] = {}
        self.limits = limit_announcements.LimitAnnouncements(
            scheduler, clock, metrics
        )

    def receive(
        self,
        server: backend_server.BackendServer,
        announcement: Announcement,
        sent_at: float,
    ) -> None:
        """Applies an announcement of a server.

        Args:
          server: the server that answered.
          announcement: what the head of its answer says.
          sent_at: clock time at which the request of the answer was sent.
        """
        name, run = server.name, server.started_ms
        if run < self._known_runs.get(name, 0):
            return
        if not announcement.limit_unreadable:
            self.limits.receive(server, announcement.limit_per_s, sent_at)
        if announcement.cold_s:
            self._cold.heard(server, announcement.cold_s)
        refusals_per_s = announcement.refusal_limit_per_s
        epoch = self._clock.now() - self._clock.wall()
        if self._scheduler.set_refusal_limit(
            server.service, refusals_per_s, sent_at, epoch
        ):
            event = "refusal_limit_named"
            if refusals_per_s is None:
                event = "refusal_limit_ended"
            self._metrics.event(event)
            logs.info(
                event,
                service=server.service,
                server=name,
                refusals_per_s=refusals_per_s,
            )
        if announcement.leaving and self._leaving_runs.get(name) != run:
            bounded_records.put(self._leaving_runs, name, run, _MAX_SERVERS)
            logs.info("server_announced_leaving", server=name, run=run)
            self._metrics.event("server_announced_leaving")
            self._scheduler.set_leaving(frozenset(self._leaving_runs))
        if announcement.pause_s > 0:
            pause_s = min(announcement.pause_s, MAX_PAUSE_S)
            bounded_records.put(self._paused_runs, name, run, _MAX_SERVERS)
            logs.info(
                "server_asked_for_pause",
                server=name,
                asked_s=announcement.pause_s,
                pause_s=pause_s,
            )
            self._metrics.event("server_asked_for_pause")
            self._scheduler.pause_server(name, self._clock.now() + pause_s)

    def update_servers(
        self,
        servers: Iterable[backend_server.BackendServer],
        emptied_zones: frozenset[str] = frozenset(),
    ) -> None:
        """Discards the announcements of servers that were restarted.

        Args:
          servers: the present servers.
          emptied_zones: zones whose servers get no requests at present.
        """
        servers = tuple(servers)
        self._cold.update_servers(servers, emptied_zones)
        self._known_runs = {item.name: item.started_ms for item in servers}
        self.limits.update_servers(self._known_runs)
        for name in self._restarted(self._paused_runs):
            del self._paused_runs[name]
            self._scheduler.pause_server(name, self._clock.now())
        restarted = self._restarted(self._leaving_runs)
        for name in restarted:
            del self._leaving_runs[name]
            logs.info("server_restarted", server=name)
        if restarted:
            self._scheduler.set_leaving(frozenset(self._leaving_runs))

    def _restarted(self, runs: dict[str, int]) -> list[str]:
        return [
            name
            for name, run in runs.items()
            if self._known_runs.get(name, run) != run
        ]


def make_server_announcements(
    scheduler: scheduler_api.Scheduler,
    holder: configuration_holder.ConfigurationHolder,
    clock: clock_lib.Clock,
    metrics: metrics_lib.Metrics,
    cold_excess: float = 1.0,
) -> ServerAnnouncements:
    """Creates the receiver of announcements of one daemon.

    Args:
      scheduler: receives what servers announce.
      holder: the operator's configuration.
      clock: time source.
      metrics: instruments.
      cold_excess: factor by which a single second may exceed the rate that a
        server bears while it warms up.
    """
    cold = cold_servers.ColdServers(
        scheduler, holder, cold_excess, clock, metrics
    )
    return ServerAnnouncements(scheduler, clock, metrics, cold)
