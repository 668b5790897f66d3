"""A gateway with stand-in workers of the platform, in one process."""

from collections.abc import AsyncIterator
from collections.abc import Sequence
import contextlib
from typing import Any

import anyio
import attrs
import httpx

from figstream import backend_server
from figstream import clock as clock_lib
from figstream import configuration_holder
from figstream import configuration_proof
from figstream import crash_parts
from figstream import daemon_context
from figstream import explain
from figstream import gateway_serving
from figstream import http_server
from figstream import metrics
from figstream import options
from figstream import placement
from figstream import platform_api
from figstream import platform_memory
from figstream import prompt_crashes
from figstream import request_crashes
from figstream import retry_budget
from figstream import scheduler
from figstream import server_connector
from figstream import usage_totals
from figstream_platform import callers
from figstream_platform import manifest
from figstream_platform import standin_worker
from figstream_platform import workers as workers_lib

KEY = "key-of-studio"
HOST = "caps.example"
# Longer than any test, so that the first proof of a configuration lasts.
_CHANGE_S = 600.0


def manifest_value(version: int = 7, **changes: Any) -> dict[str, Any]:
    """Returns a manifest with a safe, an unsafe and two streaming routes."""

    def route(name: str, kind: str, **more: Any) -> dict[str, Any]:
        return {
            "name": name,
            "host": HOST,
            "pathPrefix": f"/{name}/",
            "type": kind,
            "timeoutMs": 2000,
            "sloMs": 400,
            "priority": 2,
            "service": "llm" if kind == "streaming" else "render",
            "maxAttempts": 2,
            "public": False,
            "resumable": False,
            **more,
        }

    return {
        "version": version,
        "routes": [
            route("status", "safe"),
            route("order", "unsafe"),
            route("rewrite", "streaming", resumable=True),
            route("caption", "streaming", maxAttempts=1),
        ],
        "services": [{"name": "llm", "maxConns": 9}, {"name": "render"}],
        "limits": {"maxBodyBytes": 1_000_000},
        "tenants": [{"name": "studio", "apiKeys": [KEY]}],
        **changes,
    }


def decode_manifest(**changes: Any) -> Any:
    """Returns the configuration of a manifest."""
    item = platform_api.StoredItem("main", 1, manifest_value(**changes))
    return manifest.decode(item)


@attrs.define
class Front:
    """A served gateway, its workers and a client for requests."""

    url: str
    port: int
    workers: list[standin_worker.Worker]
    context: daemon_context.DaemonContext
    serving: gateway_serving.GatewayServing
    usage: usage_totals.UsageTotals
    client: httpx.AsyncClient

    @property
    def runs(self) -> list[standin_worker.Run]:
        """Returns all runs that workers began."""
        return [run for worker in self.workers for run in worker.runs]

    def headers(self, request_id: str, **more: str) -> dict[str, str]:
        """Returns the headers of a request."""
        return {
            "host": HOST,
            "x-request-id": request_id,
            "authorization": f"Bearer {KEY}",
            **{name.replace("_", "-"): value for name, value in more.items()},
        }

    async def send_request(
        self,
        route: str,
        request_id: str = "r1",
        body: bytes = b"",
        **more: str,
    ) -> httpx.Response:
        """Sends one request on a route and returns its answer."""
        if route in {"rewrite", "caption"}:
            more["accept"] = "text/event-stream"
        return await self.client.request(
            "GET" if route == "status" else "POST",
            f"{self.url}/{route}/x?y=1",
            headers=self.headers(request_id, **more),
            content=body,
        )

    async def send_raw(self, data: bytes, wait_s: float = 0.3) -> bytes:
        """Sends bytes and returns the bytes received within `wait_s`."""
        received = b""
        async with await anyio.connect_tcp("127.0.0.1", self.port) as stream:
            await stream.send(data)
            with anyio.move_on_after(wait_s):
                while True:
                    try:
                        received += await stream.receive()
                    except anyio.EndOfStream:
                        break
        return received


async def _read_nothing() -> bool:
    return False


def server_of(worker: standin_worker.Worker, service: str) -> Any:
    """Returns a worker as the backend server that the directory would list."""
    return backend_server.BackendServer(
        f"{worker.name}",
        f"http://127.0.0.1:{worker.port}",
        "a",
        kind=backend_server.ServerKind.SERVICE,
        service=service,
        slots=8,
        started_ms=worker.started_ms,
        software=worker.software,
    )


@contextlib.asynccontextmanager
async def front(
    *workers: standin_worker.Worker,
    budget: float = 50.0,
    connector: server_connector.ServerConnector | None = None,
) -> AsyncIterator[Front]:
    """Serves a gateway whose workers offer every service."""
    connector = connector or server_connector.DirectConnector(eager=True)
    clock = clock_lib.SystemClock()
    platform = platform_memory.MemoryPlatform()
    context = daemon_context.DaemonContext(
        options.Options("entry", "a", "r", "127.0.0.1", 0, 0, 0, ""),
        clock,
        1,
        platform.interfaces(),
        configuration_holder.ConfigurationHolder(clock),
        scheduler.make_scheduler_with(
            "a", lambda book, _: placement.make_placement(book, "a")
        ),
        explain.DecisionLog(),
        metrics.make_unexported_metrics(),
    )
    usage = usage_totals.UsageTotals()
    fleet_budget = retry_budget.FleetBudget(0.2, budget)
    fleet_budget.set_live_daemons(1)
    serving = gateway_serving.make_gateway_serving(
        context,
        callers.PlatformCallers(),
        workers_lib.WorkerDialect(),
        fleet_budget,
        crash_parts.CrashParts(
            request_crashes.make_request_crashes(),
            prompt_crashes.make_prompt_crashes(lambda: True),
            (),
        ),
        usage,
        connector,
        configuration_proof.ConfigurationProof(
            context.holder, clock, _CHANGE_S, _read_nothing
        ),
    )
    async with anyio.create_task_group() as group:
        for worker in workers:
            await group.start(worker.serve)
        set_workers(context, workers)
        group.start_soon(serving.gate.run)
        async with (
            http_server.serve_app(serving.app.application) as port,
            httpx.AsyncClient(timeout=5.0) as client,
        ):
            url = f"http://127.0.0.1:{port}"
            yield Front(
                url, port, list(workers), context, serving, usage, client
            )
        group.cancel_scope.cancel()


def set_workers(
    context: daemon_context.DaemonContext,
    workers: Sequence[standin_worker.Worker],
    **changes: Any,
) -> None:
    """Activates a manifest with the workers as servers of all services."""
    configuration = decode_manifest(**changes)
    servers = tuple(
        server_of(worker, service)
        for worker in workers
        for service in ("llm", "render")
    )
    context.holder.replace(configuration)
    context.holder.confirm(configuration.generation)
    context.scheduler.set_configuration(
        attrs.evolve(configuration, servers=servers)
    )
