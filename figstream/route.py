"""Routes to plain services."""

import attrs


@attrs.frozen
class Route:
    """A path prefix that leads to a plain service.

    Attributes:
      prefix: path prefix, such as /render.
      service: name of the plain service.
      request_class: class of the calls.
      customers: customers that may use it; empty means all with a key.
      open: whether it needs no key.
      idempotent: whether a call may be repeated.
    """

    prefix: str
    service: str
    request_class: str
    customers: tuple[str, ...] = ()
    open: bool = False
    idempotent: bool = False
