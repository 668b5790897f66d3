"""Routes, services and limits in the configuration of the gateway.

A route maps a host and a path prefix to services. It determines which service
gets a request, within what time, and whether the request may be retried. The
request itself keeps its method, path and body.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import itertools

import attrs
import xxhash

from figstream import request_class as request_class_lib


@attrs.frozen
class WeightedService:
    """A service and its weight among the services of a route."""

    service: str
    weight: int


@attrs.frozen
class GatewayRoute:
    """A host and path prefix and where its requests go.

    Attributes:
      name: unique name.
      host: value of the Host header, in lower case and without a port.
      prefix: path prefix that begins and ends with a slash.
      services: the services that share the route's requests.
      request_class: class of the route's requests.
      timeout_s: longest time until a request must be answered.
      attempt_limit: largest number of servers that a request is sent to.
      idempotent: whether a request may be retried after it may have run.
      streamed: whether answers are streams of events.
      resumable: whether a broken stream may continue at another server.
      open: whether requests need no key.
      regions: home regions, in which requests may run; empty for all.
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
    regions: frozenset[str] = frozenset()

    def choose_service(self, name: str) -> str:
        """Chooses a service by weight; returns "" if the route has none.

        Args:
          name: id of the request, or of the stream that it resumes. The same
            name leads to the same service.
        """
        if not self.services:
            return ""
        total = sum(item.weight for item in self.services)
        if len(self.services) == 1 or total <= 0:
            return self.services[0].service
        place = xxhash.xxh3_64_intdigest(name.encode()) % total
        ends = itertools.accumulate(item.weight for item in self.services)
        return next(
            item.service
            for item, end in zip(self.services, ends, strict=True)
            if place < end
        )


class RouteTable:
    """Index of the routes of one configuration by host and path prefix."""

    def __init__(self, routes: Iterable[GatewayRoute]) -> None:
        """Indexes the routes by host and prefix."""
        self._by_host: dict[str, dict[str, GatewayRoute]] = {}
        for route in routes:
            prefixes = self._by_host.setdefault(route.host, {})
            prefixes[route.prefix] = route

    def find(self, host: str, path: str) -> GatewayRoute | None:
        """Returns the route with the longest matching prefix, or None."""
        prefixes = self._by_host.get(normalized_host(host))
        if not prefixes:
            return None
        end = path.rfind("/") + 1
        while end:
            found = prefixes.get(path[:end])
            if found:
                return found
            end = path.rfind("/", 0, end - 1) + 1
        return None


def normalized_host(host: str) -> str:
    """Returns a Host header in lower case and without its port."""
    return host.partition(":")[0].strip().lower()


@attrs.frozen
class GatewayLimits:
    """The operator's limits on requests and connections of callers.

    Attributes:
      header_bytes: largest size of the headers.
      body_bytes: largest size of the body.
      header_s: longest time until the headers are complete.
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
      least: smallest number of servers.
      most: largest number of servers, reclaimable and permanent together.
      boot_s: seconds from an order until the server is ready.
      reclaimable_price: price of a reclaimable server as a fraction of the
        price of a permanent server; 1 if there are no reclaimable servers.
      zone_prices: price of a server per second by availability zone.
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
      connection_limit: connections that a server accepts from all daemons.
      slots: requests that a server of the service runs concurrently, 0 if
        unknown.
      scaling: limits of scaling, None if the service is not scaled.
      cold_start_s: seconds for which a server warms up after its start.
      cold_per_s: requests a second that a server bears while it warms up, 0 if
        that is not limited.
    """

    name: str
    connection_limit: int = 0
    slots: int = 0
    scaling: ScalingLimits | None = None
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0
