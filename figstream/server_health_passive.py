"""Tracks server health by the outcomes of requests, without probes.

This variant is for backends where probes cost money or succeed although
requests fail; there, the pauses after failures in the load book replace the
quarantine. The request path reports to this class, which forwards load reports
to the scheduler and reports crashes to the blame table. A server counts as
crashed if nothing listens at its address after a connection broke.
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
    """Implements `server_health.HealthListener` without a quarantine."""

    def __init__(
        self,
        scheduler: scheduler_api.Scheduler,
        blame: blame_api.BlameTable,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
    ) -> None:
        """Stores the scheduler and blame table that receive the reports."""
        self._scheduler = scheduler
        self._blame = blame
        self._clock = clock
        self._metrics = metrics

    def on_load(self, server: str, report: engine_protocol.LoadReport) -> None:
        """Sends a load report to the scheduler."""
        self._scheduler.report_load(
            scheduler_api.ServerLoad(
                server, report.running, report.waiting, self._clock.now()
            )
        )

    def unreachable(self, server: str) -> None:
        """Logs and counts that a server accepts no connections."""
        logs.warning("server_unreachable", server=server)
        self._metrics.event("server_unreachable")

    async def check_for_crash(
        self,
        server: backend_server.BackendServer,
        client: backend_client.BackendClient,
    ) -> bool:
        """Returns whether a server is gone whose connection broke."""
        listens = await client.listens(server)
        logs.warning(
            "server_connection_lost", server=server.name, listens=listens
        )
        self._metrics.event("server_connection_lost")
        if not listens:
            self._metrics.event("server_crashed")
            self._blame.crashed(server.name, self._clock.now())
        return not listens
