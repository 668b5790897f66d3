"""Runs a complete system in one process: platform, servers and daemons.

The platform and the backend servers are stand-ins. All components communicate
over loopback, as separate processes would. The demo, the benchmarks and the
end-to-end tests use this module.
"""

from collections.abc import AsyncIterator
from collections.abc import Sequence
import contextlib
import functools
from typing import Final

import anyio
import attrs

from figstream import api_key
from figstream import backend_server
from figstream import clock
from figstream import configuration as configuration_lib
from figstream import configuration_store
from figstream import customer
from figstream import daemon as daemon_lib
from figstream import http_server
from figstream import metrics as metrics_lib
from figstream import options as options_lib
from figstream import platform_api
from figstream import platform_http
from figstream import platform_memory
from figstream import request_class
from figstream import route
from figstream import standin_engine
from figstream import standin_platform
from figstream import standin_service

HOST: Final = "127.0.0.1"
ZONES: Final = ("zone-a", "zone-b", "zone-c")
_READY_POLL_S: Final = 0.01
MODEL: Final = "caption-1"
SERVICE: Final = "bookings"

CHAT: Final = request_class.RequestClass(
    "chat",
    tier=0,
    minimum_share=0.2,
    service_level=request_class.ServiceLevel(0.43, 0.051, 30.0),
)
BATCH: Final = request_class.RequestClass(
    "batch",
    tier=2,
    minimum_share=0.1,
    service_level=request_class.ServiceLevel(2.0, 0.2, 60.0),
    preemptible=True,
)
CALLS: Final = request_class.RequestClass(
    "calls", tier=1, service_level=request_class.ServiceLevel(1.0, 0.0, 20.0)
)


@attrs.define
class Stack:
    """The components of a running system.

    Attributes:
      platform: the stand-in platform.
      platform_url: base address of the stand-in platform.
      engines: the stand-in engines.
      service: the stand-in plain service.
      daemons: the daemons.
      keys: a key of each customer, by name of the customer.
      configuration: the configuration that is active at the start.
    """

    platform: platform_memory.MemoryPlatform
    platform_url: str
    engines: list[standin_engine.StandInEngine]
    service: standin_service.StandInService
    daemons: list[daemon_lib.Daemon]
    keys: dict[str, str]
    configuration: configuration_lib.Configuration

    @property
    def store(self) -> configuration_store.ConfigurationStore:
        """Returns the store in which operators change the configuration."""
        return configuration_store.ConfigurationStore(
            self.platform.objects, clock.SystemClock()
        )

    async def withdraw_key(self, customer: str) -> None:
        """Withdraws all keys of a customer."""

        def change(
            current: configuration_lib.Configuration,
        ) -> configuration_lib.Configuration:
            keys = tuple(
                attrs.evolve(
                    item, withdrawn=item.withdrawn or item.customer == customer
                )
                for item in current.keys
            )
            return attrs.evolve(current, keys=keys)

        stored = await self.store.read_root()
        assert isinstance(stored, configuration_store.StoredRoot)
        accepted = await self.store.accept(change, stored.root.generation)
        assert isinstance(accepted, configuration_store.Accepted)

    def url(self, number: int) -> str:
        """Returns the base URL of one daemon for callers."""
        return f"http://{HOST}:{self.daemons[number].caller_port}"


@attrs.frozen
class StackOptions:
    """Size and composition of a stack.

    Attributes:
      daemons: number of daemons, distributed over the zones.
      engines: options of the engines, distributed over the zones.
      customers: names of the customers.
      log_level: lowest level of the log lines that daemons write.
    """

    daemons: int = 3
    engines: Sequence[standin_engine.EngineOptions] = tuple(
        standin_engine.EngineOptions(f"engine-{number}", (MODEL,))
        for number in range(3)
    )
    customers: tuple[str, ...] = ("studio", "trader")
    log_level: str = "warning"


@contextlib.asynccontextmanager
async def run_stack(stack_options: StackOptions) -> AsyncIterator[Stack]:
    """Runs a stack until the `async with` block ends."""
    platform = platform_memory.MemoryPlatform()
    service = standin_service.StandInService(SERVICE)
    engines = [
        standin_engine.StandInEngine(item) for item in stack_options.engines
    ]
    async with contextlib.AsyncExitStack() as exit_stack:
        serve = functools.partial(_serve, exit_stack)
        platform_port = await serve(standin_platform.make_app(platform))
        engine_ports = [await serve(item.application) for item in engines]
        service_port = await serve(service.application)
        issued = [api_key.issue(name) for name in stack_options.customers]
        configuration = make_configuration(
            stack_options,
            [item.record for item in issued],
            engine_ports,
            service_port,
        )
        metrics = metrics_lib.make_metrics()
        url = f"http://{HOST}:{platform_port}"
        daemons = [
            _make_daemon(number, url, stack_options.log_level, metrics)
            for number in range(stack_options.daemons)
        ]
        platform.vms.vms = {
            vm.name: vm for vm in map(_make_virtual_machine, daemons)
        }
        stack = Stack(
            platform,
            url,
            engines,
            service,
            daemons,
            {item.record.customer: item.text for item in issued},
            configuration,
        )
        accepted = await stack.store.accept(lambda _: configuration, 0)
        assert isinstance(accepted, configuration_store.Accepted)
        group = await exit_stack.enter_async_context(anyio.create_task_group())
        for daemon in daemons:
            group.start_soon(daemon.run)
        while not all(daemon.ready for daemon in daemons):
            await anyio.sleep(_READY_POLL_S)
        yield stack
        group.cancel_scope.cancel()


def make_configuration(
    stack_options: StackOptions,
    keys: Sequence[api_key.KeyRecord],
    engine_ports: Sequence[int],
    service_port: int,
) -> configuration_lib.Configuration:
    """Returns the initial configuration of a stack."""
    engines = tuple(
        backend_server.BackendServer(
            options.name,
            f"http://{HOST}:{port}",
            ZONES[number % len(ZONES)],
            models=options.models,
            slots=options.slots,
        )
        for number, (options, port) in enumerate(
            zip(stack_options.engines, engine_ports, strict=True)
        )
    )
    plain = backend_server.BackendServer(
        SERVICE,
        f"http://{HOST}:{service_port}",
        ZONES[0],
        kind=backend_server.ServerKind.SERVICE,
        service=SERVICE,
    )
    return configuration_lib.Configuration(
        generation=1,
        customers=tuple(
            customer.Customer(name, classes=("chat", "batch", "calls"))
            for name in stack_options.customers
        ),
        keys=tuple(keys),
        classes=(CHAT, BATCH, CALLS),
        servers=(*engines, plain),
        routes=(
            route.Route("/bookings", SERVICE, "calls"),
            route.Route(
                "/vault", SERVICE, "calls", stack_options.customers[-1:]
            ),
            route.Route(
                "/status", SERVICE, "calls", open=True, idempotent=True
            ),
        ),
        default_class="chat",
    )


async def _serve(
    exit_stack: contextlib.AsyncExitStack, app: http_server.Application
) -> int:
    return await exit_stack.enter_async_context(http_server.serve_app(app))


def _make_virtual_machine(
    daemon: daemon_lib.Daemon,
) -> platform_api.VirtualMachine:
    options = daemon.context.options
    return platform_api.VirtualMachine(
        options.name, daemon.peer_address, options.zone
    )


def _make_daemon(
    number: int,
    platform_url: str,
    log_level: str,
    metrics: metrics_lib.Metrics,
) -> daemon_lib.Daemon:
    options = options_lib.Options(
        f"entry-{number}",
        ZONES[number % len(ZONES)],
        "demo",
        HOST,
        0,
        0,
        0,
        platform_url,
        log_level=log_level,
        drain_delay_s=0.0,
    )
    platform = platform_http.make_platform(
        platform_url, options.name, options.platform_timeout_s
    )
    return daemon_lib.Daemon(
        daemon_lib.make_context(options, platform, metrics)
    )
