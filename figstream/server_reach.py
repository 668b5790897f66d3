"""Assembles how a gateway daemon reaches backend servers.

Connections are opened directly, or through peers while this daemon has no path
of its own; other daemons are helped in the same way.
"""

from collections.abc import Awaitable
from collections.abc import Callable

import attrs

from figstream import daemon_context
from figstream import gateway_sources
from figstream import homes
from figstream import membership
from figstream import path_probe
from figstream import peer_tunnels
from figstream import server_connector
from figstream import server_paths
from figstream import tunnel_server


@attrs.frozen
class ServerReach:
    """What connects a daemon and its peers to backend servers.

    Attributes:
      connector: opens the connections of this daemon's requests.
      tunnels: opens connections for peers.
      make_probe: creates the role that probes the path; receives what to call
        when the path was lost.
    """

    connector: server_connector.ServerConnector
    tunnels: tunnel_server.TunnelServer
    make_probe: Callable[[Callable[[], Awaitable[None]]], path_probe.PathProbe]


def make_server_reach(
    context: daemon_context.DaemonContext,
    members: membership.Membership,
    sources: gateway_sources.Sources,
) -> ServerReach:
    """Creates the connections to backend servers of a gateway daemon."""
    clock, metrics = context.clock, context.metrics
    directory = sources.directory
    paths = server_paths.ServerPaths(clock, metrics)
    direct = server_connector.DirectConnector(eager=True)

    def region_of(name: str) -> str:
        # Without homes, a body may go through any peer.
        if not homes.are_used(context.holder.current):
            return ""
        regions = (x.region for x in directory.servers if x.name == name)
        return next(regions, "")

    tunnels = peer_tunnels.make_peer_tunnels(members, clock, metrics, region_of)
    return ServerReach(
        server_connector.PathConnector(direct, paths, tunnels),
        tunnel_server.TunnelServer(
            lambda name: next(
                (item for item in directory.reachable if item.name == name),
                None,
            ),
            paths,
            direct,
            metrics,
        ),
        lambda on_lost: path_probe.PathProbe(
            directory, context.options.zone, paths, direct, on_lost, clock
        ),
    )
