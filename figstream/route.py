"""Defines the routes to plain services, a part of the configuration."""

import attrs


@attrs.frozen
class Route:
    """Maps a path prefix to a plain service.

    Attributes:
      prefix: path prefix, such as /render.
      service: name of the plain service.
      request_class: request class of requests on this route.
      customers: customers that may use the route; empty means every customer
        with a key.
      open: whether requests need no key.
      idempotent: whether a request may run more than once.
    """

    prefix: str
    service: str
    request_class: str
    customers: tuple[str, ...] = ()
    open: bool = False
    idempotent: bool = False
