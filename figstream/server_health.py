"""Quarantines unreachable backend servers and probes them.

The request path reports failures here, and the scheduler receives the set of
excluded servers. A server that refuses connections is quarantined until a
probe succeeds. A server whose connection broke is probed at once to
distinguish a crash from a lost connection; only a crash is blamed on the
requests that ran there.
"""

from typing import Final
from typing import Protocol

import anyio
import attrs

from figstream import backend_client
from figstream import backend_server
from figstream import blame_api
from figstream import clock as clock_lib
from figstream import configuration_holder
from figstream import engine_protocol
from figstream import logs
from figstream import metrics as metrics_lib
from figstream import scheduler_api

# Upper bound of the time from the return of a server to its use.
_PROBE_INTERVAL_S: Final = 0.5


class HealthListener(Protocol):
    """Receives the connection failures that the request path observes."""

    def unreachable(self, server: str) -> None:
        """Records that a server accepts no connections."""

    async def check_for_crash(
        self,
        server: backend_server.BackendServer,
        client: backend_client.BackendClient,
    ) -> bool:
        """Returns whether a server is gone whose connection broke."""


@attrs.define
class _LastRun:
    """The run that a server last reported; a change reveals a restart."""

    started: int = 0


class ServerHealth:
    """Reports quarantined and leaving servers to the scheduler."""

    def __init__(
        self,
        scheduler: scheduler_api.Scheduler,
        holder: configuration_holder.ConfigurationHolder,
        blame: blame_api.BlameTable,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
    ) -> None:
        """Initializes with all servers considered healthy."""
        self._scheduler = scheduler
        self._holder = holder
        self._blame = blame
        self._clock = clock
        self._metrics = metrics
        self._leaving: frozenset[str] = frozenset()
        self._quarantined: set[str] = set()
        self._last_runs: dict[str, _LastRun] = {}

    def set_leaving(self, servers: frozenset[str]) -> None:
        """Stores the set of servers that the platform is reclaiming."""
        self._leaving = servers
        self._apply()

    def on_load(self, server: str, report: engine_protocol.LoadReport) -> None:
        """Records a load report, and a crash if the report shows a restart."""
        last_run = self._last_runs.setdefault(server, _LastRun(report.started))
        if last_run.started != report.started:
            last_run.started = report.started
            self._report_crash(server)
        self._scheduler.report_load(
            scheduler_api.ServerLoad(
                server, report.running, report.waiting, self._clock.now()
            )
        )

    def unreachable(self, server: str) -> None:
        """Quarantines a server until a probe succeeds."""
        if server not in self._quarantined:
            logs.warning("server_quarantined", server=server)
            self._metrics.event("server_quarantined")
            self._quarantined.add(server)
            self._apply()

    async def check_for_crash(
        self,
        server: backend_server.BackendServer,
        client: backend_client.BackendClient,
    ) -> bool:
        """Probes a server whose connection broke; True if it is gone."""
        report = await client.probe(server)
        if report:
            self.on_load(server.name, report)
            return False
        self._report_crash(server.name)
        self.unreachable(server.name)
        return True

    async def run(self, client: backend_client.BackendClient) -> None:
        """Probes the quarantined servers at intervals until cancelled."""
        while True:
            await self._clock.sleep(_PROBE_INTERVAL_S)
            async with anyio.create_task_group() as group:
                for name in sorted(self._quarantined):
                    group.start_soon(self._probe, name, client)

    async def _probe(
        self, name: str, client: backend_client.BackendClient
    ) -> None:
        server = self._holder.current.servers_by_name.get(name)
        report = await client.probe(server) if server else None
        if server and not report:
            return
        self._quarantined.discard(name)
        self._apply()
        if report:
            logs.info("server_restored", server=name)
            self.on_load(name, report)

    def _report_crash(self, server: str) -> None:
        logs.warning("server_crashed", server=server)
        self._metrics.event("server_crashed")
        # The requests are not to blame if the platform reclaims the server.
        if server not in self._leaving:
            self._blame.crashed(server, self._clock.now())

    def _apply(self) -> None:
        excluded = self._leaving | self._quarantined
        self._scheduler.set_leaving(frozenset(excluded))
