"""Finds unusable servers from outcomes alone, without probes.

Where probes are priced, or pass while requests fail, the load book's pauses
after failures do the work. This class tells the scheduler the loads that
answers report, and blame of servers that crashed: those where nothing listens
after a connection broke.
"""

from figstream import backend_client
from figstream import backend_server
from figstream import blame_api
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
        blame: blame_api.BlameTable,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
    ) -> None:
        """Reports to the scheduler and the blame table."""
        self._scheduler = scheduler
        self._blame = blame
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
        """Finds out whether a server whose connection broke has crashed."""
        listens = await client.listens(server)
        logs.warning(
            "server_connection_lost", server=server.name, listens=listens
        )
        self._metrics.event("server_connection_lost")
        if not listens:
            self._metrics.event("server_crashed")
            self._blame.crashed(server.name, self._clock.now())
