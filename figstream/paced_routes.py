"""Tells which routes ask for steady streams rather than for quick ones.

A route names the longest time to the first event of an answer and the longest
pause between two events. A route that allows the first event several times the
pause is paced: its requests can wait for a server, but once a stream has begun,
its events must not stall. The services of paced routes divide their servers
between paced streams and all other work (`work_groups`).

Only the operator's configuration decides this. A service without a paced route
is served as if this module did not exist.
"""

from collections.abc import Iterable
from typing import Final

from figstream import gateway_route
from figstream import request_class as request_class_lib

# First-event target over pause limit from which a route is paced. Routes that
# want quick first events have targets of one or two pauses.
_PACED_RATIO: Final = 3.0


def is_paced(request_class: request_class_lib.RequestClass) -> bool:
    """Returns whether requests of a class are paced streams."""
    level = request_class.service_level
    return (
        level.between_tokens_s > 0.0
        and level.first_token_s >= _PACED_RATIO * level.between_tokens_s
    )


def paced_services(
    routes: Iterable[gateway_route.GatewayRoute],
) -> frozenset[str]:
    """Returns the services that serve at least one paced route."""
    return frozenset(
        weighted.service
        for route in routes
        if route.streamed and is_paced(route.request_class)
        for weighted in route.services
    )
