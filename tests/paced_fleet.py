"""Factories for a service with a paced route, shared by tests."""

from collections.abc import Iterable
from typing import Final

from figstream import backend_server
from figstream import configuration as configuration_lib
from figstream import gateway_route
from figstream import request_class
from figstream import request_target
from figstream import server_pool

SERVICE: Final = "engine"
SLOTS: Final = 64
CHAT = request_class.RequestClass(
    "chat",
    tier=0,
    service_level=request_class.ServiceLevel(
        first_token_s=1.0, between_tokens_s=0.2
    ),
)
PLAN = request_class.RequestClass(
    "plan",
    tier=2,
    service_level=request_class.ServiceLevel(
        first_token_s=1.2, between_tokens_s=0.8
    ),
)


def routes(paced: bool) -> tuple[gateway_route.GatewayRoute, ...]:
    """Returns a route of each kind, or only the one that is not paced."""
    return tuple(
        gateway_route.GatewayRoute(
            name=item.name,
            host=item.name,
            prefix="/",
            services=(gateway_route.WeightedService(SERVICE, 1),),
            request_class=item,
            timeout_s=15.0,
            streamed=True,
        )
        for item in ((CHAT, PLAN) if paced else (PLAN,))
    )


def server(
    zone: str, number: int, reclaimable: bool = False, software: str = ""
) -> backend_server.BackendServer:
    """Returns a server of the service."""
    return backend_server.BackendServer(
        f"i-{zone}{number}",
        "http://10.0.0.1:1",
        zone,
        service=SERVICE,
        slots=SLOTS,
        reclaimable=reclaimable,
        software=software,
    )


def servers(
    zones: str = "abcd", each: int = 15
) -> tuple[backend_server.BackendServer, ...]:
    """Returns servers of which the first of each zone is permanent."""
    return tuple(
        server(zone, number, number > 0)
        for zone in zones
        for number in range(each)
    )


def configuration(
    servers: Iterable[backend_server.BackendServer], paced: bool = True
) -> configuration_lib.Configuration:
    """Returns a configuration with these servers."""
    return configuration_lib.Configuration(
        servers=tuple(servers), gateway_routes=routes(paced)
    )


def pool(
    servers: Iterable[backend_server.BackendServer], software: str | None = None
) -> server_pool.ServerPool:
    """Returns the candidates of a stream among these servers."""
    index = server_pool.PoolIndex("a")
    index.set_configuration(configuration(servers))
    target = request_target.Target(service=SERVICE, software=software)
    return index.pool(target, CHAT)
