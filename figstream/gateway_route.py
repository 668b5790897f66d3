"""Routes of the gateway: host and path prefix lead to services.

What passes through the gateway keeps its method, path and body; the route
says which service gets it, in what time and whether it may be repeated.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import random

import attrs

from figstream import request_class as request_class_lib


@attrs.frozen
class WeightedService:
    """A service and its weight among those of a route."""

    service: str
    weight: int


@attrs.frozen
class GatewayRoute:
    """A host and path prefix and where its requests go.

    Attributes:
      name: unique name.
      host: value of the Host header, in lower case and without a port.
      prefix: path prefix that begins and ends with a slash.
      services: the services that share its requests.
      request_class: class of its requests.
      timeout_s: longest time for which a request is kept waiting.
      attempt_limit: most servers that one request is sent to.
      idempotent: whether a request may be repeated.
      streamed: whether answers are streams of events.
      resumable: whether a broken stream may go on at another server.
      open: whether it needs no key.
    """

    name: str
    host: str
    prefix: str
    services: tuple[WeightedService, ...]
    request_class: request_class_lib.RequestClass
    timeout_s: float
    attempt_limit: int = 1
    idempotent: bool = False
    streamed: bool = False
    resumable: bool = False
    open: bool = False

    def choose(self, source: random.Random) -> str:
        """Draws the service of a request by weight."""
        if len(self.services) == 1:
            return self.services[0].service
        weights = [item.weight for item in self.services]
        names = [item.service for item in self.services]
        return source.choices(names, weights)[0]


class RouteTable:
    """Finds the route of a request; built once for each configuration."""

    def __init__(self, routes: Iterable[GatewayRoute]) -> None:
        """Indexes the routes by host and prefix."""
        self._by_host: dict[str, dict[str, GatewayRoute]] = {}
        for route in routes:
            prefixes = self._by_host.setdefault(route.host, {})
            prefixes[route.prefix] = route

    def find(self, host: str, path: str) -> GatewayRoute | None:
        """Returns the route with the longest prefix of the path."""
        prefixes = self._by_host.get(bare_host(host))
        if not prefixes:
            return None
        end = path.rfind("/") + 1
        while end:
            found = prefixes.get(path[:end])
            if found:
                return found
            end = path.rfind("/", 0, end - 1) + 1
        return None


def bare_host(host: str) -> str:
    """Returns a Host header in lower case and without its port."""
    return host.partition(":")[0].strip().lower()


@attrs.frozen
class GatewayLimits:
    """What the operator lets callers send, and how slowly.

    Attributes:
      header_bytes: longest headers.
      body_bytes: longest body.
      header_s: longest time for sending the headers.
      idle_s: longest time without a request on a connection.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_s: float = 3.0
    idle_s: float = 15.0


@attrs.frozen
class ScalingLimits:
    """How many servers a service may have in each availability zone.

    Attributes:
      least: fewest servers.
      most: most servers, of both kinds together.
      boot_s: seconds from an order until a server serves.
      reclaimable_price: price of a reclaimable server as a part of that of
        a server that stays; 1 if there are none.
      zone_prices: price of a server's second by availability zone.
    """

    least: int
    most: int
    boot_s: float
    reclaimable_price: float
    zone_prices: Mapping[str, float]


@attrs.frozen
class GatewayService:
    """A service behind the gateway.

    Attributes:
      name: unique name.
      connection_limit: connections that a server takes from all daemons.
      slots: requests that a server of it runs at once, 0 if not told.
      scaling: how it may be scaled, None if it may not.
    """

    name: str
    connection_limit: int = 0
    slots: int = 0
    scaling: ScalingLimits | None = None
