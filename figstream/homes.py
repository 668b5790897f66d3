"""Regions that the operator allows for the requests of routes and customers.

A route or a customer may name its home regions. A request runs only at servers
of a region that all of them allow, which the scheduler sees as a part of the
request's target; retries, resumed streams and copies of prompts follow from
that. Bodies go through a peer only if it is in the region of the server.
"""

from collections.abc import Iterable
from collections.abc import Iterator

from figstream import configuration as configuration_lib
from figstream import logs

Homes = frozenset[str] | None


def common(route: frozenset[str], customer: frozenset[str]) -> Homes:
    """Returns the regions in which a request may run, None for all.

    Args:
      route: home regions of its route, empty if it has none.
      customer: home regions of its customer, empty if it has none.
    """
    if not route:
        return customer or None
    return route & customer if customer else route


def are_used(configuration: configuration_lib.Configuration) -> bool:
    """Returns whether any route or customer has homes."""
    return any(item.regions for item in configuration.gateway_routes) or any(
        item.regions for item in configuration.customers
    )


def homeless(
    configuration: configuration_lib.Configuration, regions: Iterable[str]
) -> Iterator[tuple[str, str]]:
    """Yields routes and customers whose requests may run nowhere.

    Args:
      configuration: the operator's configuration.
      regions: the regions that exist, none if the settings name none.

    Yields:
      The name of the route, and that of the customer or "" for all.
    """
    known = frozenset(regions)
    if not known:
        return
    bound = [item for item in configuration.customers if item.regions]
    for route in configuration.gateway_routes:
        if route.regions and not route.regions & known:
            yield route.name, ""
            continue
        for customer in bound if not route.open else ():
            if not (common(route.regions, customer.regions) or set()) & known:
                yield route.name, customer.name


def log_homeless(
    configuration: configuration_lib.Configuration, regions: Iterable[str]
) -> None:
    """Logs each route whose requests may run nowhere."""
    for route, customer in homeless(configuration, regions):
        logs.error(
            "route_without_region", route=route, customer=customer or "all"
        )
