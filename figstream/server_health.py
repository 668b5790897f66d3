"""Which backend servers this daemon leaves out, and the probes of them.

A server that refuses connections is left out until a probe succeeds. A
server whose connection broke is probed at once, to tell a crash from a lost
connection; only a crash is blamed on the requests that ran there.
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

# Seconds; a server is used again within it of its return.
_PROBE_INTERVAL_S: Final = 0.5


class HealthWatch(Protocol):
    """What the request path tells of the servers it used."""

    def unreachable(self, server: str) -> None:
        """Takes note that a server takes no connections."""

    async def examine(
        self,
        server: backend_server.BackendServer,
        client: backend_client.BackendClient,
    ) -> None:
        """Finds out whether a server whose connection broke has crashed."""


@attrs.define
class _Known:
    """What is known of one server."""

    started: int = 0


class ServerHealth:
    """The servers left out, as the scheduler sees them."""

    def __init__(
        self,
        scheduler: scheduler_api.Scheduler,
        holder: configuration_holder.ConfigurationHolder,
        blame: blame_api.BlameTable,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
    ) -> None:
        """Starts with every server taken for healthy."""
        self._scheduler = scheduler
        self._holder = holder
        self._blame = blame
        self._clock = clock
        self._metrics = metrics
        self._leaving: frozenset[str] = frozenset()
        self._quarantined: set[str] = set()
        self._known: dict[str, _Known] = {}

    def set_leaving(self, servers: frozenset[str]) -> None:
        """Takes note of the servers that the platform is taking back."""
        self._leaving = servers
        self._apply()

    def on_load(self, server: str, report: engine_protocol.LoadReport) -> None:
        """Takes note of a load report, and of a restart it reveals."""
        known = self._known.setdefault(server, _Known(report.started))
        if known.started != report.started:
            known.started = report.started
            self._crashed(server)
        self._scheduler.report_load(
            scheduler_api.ServerLoad(
                server, report.running, report.waiting, self._clock.now()
            )
        )

    def unreachable(self, server: str) -> None:
        """Leaves a server out until a probe succeeds."""
        if server not in self._quarantined:
            logs.warning("server_quarantined", server=server)
            self._metrics.event("server_quarantined")
            self._quarantined.add(server)
            self._apply()

    async def examine(
        self,
        server: backend_server.BackendServer,
        client: backend_client.BackendClient,
    ) -> None:
        """Probes a server whose connection broke."""
        report = await client.probe(server)
        if report:
            self.on_load(server.name, report)
            return
        self._crashed(server.name)
        self.unreachable(server.name)

    async def run(self, client: backend_client.BackendClient) -> None:
        """Probes the servers left out; runs until cancelled."""
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

    def _crashed(self, server: str) -> None:
        logs.warning("server_crashed", server=server)
        self._metrics.event("server_crashed")
        # A server that the platform takes back does not die of its requests.
        if server not in self._leaving:
            self._blame.crashed(server, self._clock.now())

    def _apply(self) -> None:
        left_out = self._leaving | self._quarantined
        self._scheduler.set_leaving(frozenset(left_out))
