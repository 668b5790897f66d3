"""Finds unusable servers from outcomes alone, without probes.

Where probes are priced, or pass while requests fail, the load book's pauses
after failures do the work; this class only tells the scheduler the loads that
answers report.
"""

from figstream import backend_client
from figstream import backend_server
from figstream import clock as clock_lib
from figstream import engine_protocol
from figstream import logs
from figstream import metrics as metrics_lib
from figstream import scheduler_api


class PassiveHealth:
    """Satisfies `server_health.HealthWatch`."""

    def __init__(
        self,
        scheduler: scheduler_api.Scheduler,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
    ) -> None:
        """Reports to the scheduler."""
        self._scheduler = scheduler
        self._clock = clock
        self._metrics = metrics

    def on_load(self, server: str, report: engine_protocol.LoadReport) -> None:
        """Takes note of a load report."""
        self._scheduler.report_load(
            scheduler_api.ServerLoad(
                server, report.running, report.waiting, self._clock.now()
            )
        )

    def unreachable(self, server: str) -> None:
        """Takes note that a server takes no connections."""
        logs.warning("server_unreachable", server=server)
        self._metrics.event("server_unreachable")

    async def examine(
        self,
        server: backend_server.BackendServer,
        client: backend_client.BackendClient,
    ) -> None:
        """Takes note that a connection broke; the load book pauses it."""
        logs.warning("server_connection_lost", server=server.name)
        self._metrics.event("server_connection_lost")
