"""Defines the configuration: all settings that operators control.

A configuration is immutable. Each change creates a new one with a higher
generation, and daemons replace the whole object. `check` validates a new
configuration before it is accepted.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import functools
import ipaddress
import itertools
import urllib.parse

import attrs

from figstream import api_key
from figstream import backend_server
from figstream import customer as customer_lib
from figstream import errors
from figstream import gateway_route
from figstream import paced_routes
from figstream import request_class as request_class_lib
from figstream import route as route_lib


@attrs.frozen(slots=False)
class Configuration:
    """One generation of the configuration.

    Attributes:
      generation: rises by one with each accepted change.
      customers: all customers.
      keys: all API keys, including withdrawn ones.
      classes: all request classes.
      servers: all backend servers.
      routes: all routes to plain services.
      default_class: request class of requests that name none.
      gateway_routes: routes of the gateway.
      gateway_services: services behind the gateway.
      gateway_limits: limits on the requests that the gateway accepts.
      gateway_tiers: tier by customer name, for customers whose tier takes
        precedence over the tiers of the routes.
    """

    generation: int = 0
    customers: tuple[customer_lib.Customer, ...] = ()
    keys: tuple[api_key.KeyRecord, ...] = ()
    classes: tuple[request_class_lib.RequestClass, ...] = ()
    servers: tuple[backend_server.BackendServer, ...] = ()
    routes: tuple[route_lib.Route, ...] = ()
    default_class: str = ""
    gateway_routes: tuple[gateway_route.GatewayRoute, ...] = ()
    gateway_services: tuple[gateway_route.GatewayService, ...] = ()
    gateway_limits: gateway_route.GatewayLimits = attrs.field(
        factory=gateway_route.GatewayLimits
    )
    gateway_tiers: Mapping[str, int] = attrs.field(factory=dict)

    @functools.cached_property
    def customers_by_name(self) -> Mapping[str, customer_lib.Customer]:
        """Returns the customers by name."""
        return {item.name: item for item in self.customers}

    @functools.cached_property
    def keys_by_id(self) -> Mapping[str, api_key.KeyRecord]:
        """Returns the keys by id."""
        return {item.key_id: item for item in self.keys}

    @functools.cached_property
    def classes_by_name(
        self,
    ) -> Mapping[str, request_class_lib.RequestClass]:
        """Returns the request classes by name."""
        return {item.name: item for item in self.classes}

    @functools.cached_property
    def servers_by_name(self) -> Mapping[str, backend_server.BackendServer]:
        """Returns the backend servers by name."""
        return {item.name: item for item in self.servers}

    @functools.cached_property
    def models(self) -> tuple[str, ...]:
        """Returns the names of all models, sorted."""
        return tuple(
            sorted({model for item in self.servers for model in item.models})
        )

    @functools.cached_property
    def gateway_table(self) -> gateway_route.RouteTable:
        """Returns the gateway's routes by host and prefix."""
        return gateway_route.RouteTable(self.gateway_routes)

    @functools.cached_property
    def paced_services(self) -> frozenset[str]:
        """Returns the services that serve at least one paced route."""
        return paced_routes.paced_services(self.gateway_routes)

    @functools.cached_property
    def gateway_ranks(self) -> Mapping[tuple[int, int], int]:
        """Returns the rank of each pair of customer tier and route tier.

        Customers' tiers take precedence; among requests of equal customer
        tiers, the route's tier decides.
        """
        route_tiers = {x.request_class.tier for x in self.gateway_routes}
        # Customers without a tier have that of the route.
        customer_tiers = {*self.gateway_tiers.values(), *route_tiers}
        if len(self.gateway_tiers) >= len(self.customers):
            customer_tiers = set(self.gateway_tiers.values())
        pairs = sorted(itertools.product(customer_tiers, route_tiers))
        return {pair: rank for rank, pair in enumerate(pairs)}

    def gateway_tier(self, customer: str, route_tier: int) -> int:
        """Returns the tier of a customer's request on a route."""
        if not self.gateway_tiers:
            return route_tier
        tier = self.gateway_tiers.get(customer, route_tier)
        return self.gateway_ranks.get((tier, route_tier), route_tier)

    @functools.cached_property
    def routes_by_length(self) -> tuple[route_lib.Route, ...]:
        """Returns the routes, longest prefix first."""
        return tuple(sorted(self.routes, key=lambda item: -len(item.prefix)))

    def route_for(self, path: str) -> route_lib.Route | None:
        """Returns the route with the longest prefix that matches the path."""
        return next(
            (
                item
                for item in self.routes_by_length
                if path == item.prefix or path.startswith(item.prefix + "/")
            ),
            None,
        )


def check(configuration: Configuration) -> None:
    """Checks a configuration for duplicates, broken references and ranges.

    Raises:
      errors.ConfigurationError: lists every violated rule and its remedy.
    """
    violations = [
        *_duplicates(configuration),
        *_dangling_references(configuration),
    ]
    violations += _invalid_values(configuration)
    if violations:
        raise errors.ConfigurationError("; ".join(violations))


def _duplicates(configuration: Configuration) -> Iterable[str]:
    names_by_kind: dict[str, list[str]] = {
        "customer": [item.name for item in configuration.customers],
        "key": [item.key_id for item in configuration.keys],
        "class": [item.name for item in configuration.classes],
        "backend server": [item.name for item in configuration.servers],
        "route": [item.prefix for item in configuration.routes],
    }
    for kind, names in names_by_kind.items():
        duplicates = sorted({name for name in names if names.count(name) > 1})
        for name in duplicates:
            yield f"{kind} {name!r} is defined twice; remove one"


def _dangling_references(configuration: Configuration) -> Iterable[str]:
    classes = set(configuration.classes_by_name)
    customers = set(configuration.customers_by_name)
    for key in configuration.keys:
        if key.customer not in customers:
            yield f"key {key.key_id!r}: add customer {key.customer!r} first"
    for item in configuration.customers:
        for name in sorted(set(item.classes) - classes):
            yield f"customer {item.name!r}: add class {name!r} first"
    for server in configuration.servers:
        for name in sorted(set(server.classes) - classes):
            yield f"backend server {server.name!r}: add class {name!r} first"
    for route in configuration.routes:
        if route.request_class not in classes:
            yield f"route {route.prefix!r}: add class {route.request_class!r}"
        for name in sorted(set(route.customers) - customers):
            yield f"route {route.prefix!r}: add customer {name!r} first"
    if configuration.default_class not in {*classes, ""}:
        yield f"default class: add class {configuration.default_class!r} first"


def _invalid_values(configuration: Configuration) -> Iterable[str]:
    for item in configuration.classes:
        if item.tier < 0:
            yield f"class {item.name!r}: tier must be 0 or more"
        if not 0.0 <= item.minimum_share <= 1.0:
            yield f"class {item.name!r}: minimum_share must be 0 to 1"
    if sum(item.minimum_share for item in configuration.classes) > 1.0:
        yield "classes: minimum shares must add up to 1 at most; lower some"
    for customer in configuration.customers:
        if customer.weight <= 0:
            yield f"customer {customer.name!r}: weight must be above 0"
    for server in configuration.servers:
        if server.slots < 1:
            yield f"backend server {server.name!r}: slots must be 1 or more"
        if not _is_ip_url(server.url):
            yield (
                f"backend server {server.name!r}: url must be http://IP:PORT, "
                "an IP address without a path"
            )
    for route in configuration.routes:
        if not route.prefix.startswith("/") or len(route.prefix) < 2:
            yield f"route {route.prefix!r}: start the prefix with '/'"


def _is_ip_url(url: str) -> bool:
    """Returns whether a URL is http://IP:PORT, which needs no DNS lookup."""
    try:
        parts = urllib.parse.urlsplit(url)
        ipaddress.ip_address(parts.hostname or "")
        has_port = parts.port is not None
    except ValueError:
        return False
    rest = (parts.path, parts.query, parts.fragment, parts.username)
    return parts.scheme == "http" and has_port and not any(rest)
