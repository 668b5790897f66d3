"""Creates the roles with which a daemon takes part in ordering servers.

The lease of the zone decides which daemon orders the zone's backend servers.
"""

from collections.abc import Sequence
from typing import Final

from figstream import daemon_context
from figstream import demand as demand_lib
from figstream import lease as lease_lib
from figstream import leaving_servers
from figstream import membership
from figstream import server_ordering

LEASE_PREFIX: Final = "orders/"


def make_ordering_roles(
    context: daemon_context.DaemonContext,
    members: membership.Membership,
    listener: leaving_servers.LeavingListener,
) -> Sequence[daemon_context.Role]:
    """Creates the roles for the lease, the orders and their notices."""
    zone = context.options.zone
    lease = lease_lib.make_lease(LEASE_PREFIX + zone, zone, context, members)
    zone_demand = demand_lib.ZoneDemand(context.clock)
    leaving = leaving_servers.LeavingServers(
        listener, members.notices, context.clock
    )
    publisher = demand_lib.DemandPublisher(
        context.options.name,
        context.scheduler,
        members.notices,
        zone_demand,
        context.clock,
    )
    ordering = server_ordering.make_server_ordering(
        context, lease, zone_demand, leaving
    )
    return (ordering, lease, leaving, publisher)
