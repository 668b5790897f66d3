"""Feeds of the operator's configuration, of servers and emptied zones.

Followers receive the objects from the platform's store and apply them to the
active configuration and to the scheduler.
"""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence

import attrs

from figstream import configuration_feed
from figstream import daemon_context
from figstream import homes
from figstream import object_follower
from figstream import platform_api
from figstream import server_directory
from figstream import zone_evacuations

# Creates the follower of evacuations, given the one that leads after an outage.
FollowEvacuations = Callable[
    [object_follower.ObjectFollower], object_follower.ObjectFollower
]


@attrs.frozen
class SourceKinds:
    """Kinds and names of objects in the platform's store, and their decoders.

    Attributes:
      configuration_kind: kind of the operator's configuration object.
      configuration_name: name of the operator's configuration object.
      servers_kind: kind of the entries of backend servers.
      plans_kind: kind of the stored plan of software versions.
      evacuations_kind: kind of the objects that name emptied zones.
      decode_configuration: decodes the operator's configuration object.
      decode_server: decodes the entry of a backend server.
    """

    configuration_kind: str
    configuration_name: str
    servers_kind: str
    plans_kind: str
    evacuations_kind: str
    decode_configuration: configuration_feed.Decode
    decode_server: server_directory.Decode


@attrs.frozen
class Sources:
    """The followers of these objects, and the server directory.

    Attributes:
      configuration_follower: follows the operator's configuration object.
      entries: follows the entries of backend servers.
      directory: the backend servers decoded from the entries.
      configuration_feed: activates the operator's configuration.
      emptied_zones: applies the emptied zones, None if zones aren't emptied.
      evacuations: follower of the objects that name emptied zones, None if
        zones aren't emptied.
    """

    configuration_follower: object_follower.ObjectFollower
    entries: object_follower.ObjectFollower
    directory: server_directory.ServerDirectory
    configuration_feed: configuration_feed.ConfigurationFeed
    emptied_zones: zone_evacuations.ZoneEvacuations | None
    evacuations: object_follower.ObjectFollower | None

    @property
    def followers(self) -> tuple[object_follower.ObjectFollower, ...]:
        """Returns all followers."""
        both = (self.configuration_follower, self.entries)
        return (*both, self.evacuations) if self.evacuations else both

    @property
    def roles(self) -> Sequence[daemon_context.Role]:
        """Returns the roles that keep all this up to date."""
        roles: list[daemon_context.Role] = [*self.followers, self.directory]
        return [*roles, self.emptied_zones] if self.emptied_zones else roles


def make_sources(
    context: daemon_context.DaemonContext,
    feed: platform_api.ObjectFeed,
    kinds: SourceKinds,
    change_s: float,
    drain_s: float,
    follow_evacuations: FollowEvacuations | None,
    regions: Mapping[str, str],
) -> Sources:
    """Creates the followers and connects them to holder and scheduler.

    Args:
      context: objects shared by the roles of the daemon.
      feed: feed of both kinds of objects.
      kinds: kinds, names and decoders of the objects.
      change_s: seconds within which a configuration must become active.
      drain_s: seconds after which a leaving server must receive no requests.
      follow_evacuations: creates the follower of the objects that name emptied
        zones, None if zones aren't emptied.
      regions: region of each zone.
    """
    clock, metrics = context.clock, context.metrics
    entries = object_follower.ObjectFollower(
        kinds.servers_kind, feed, clock, metrics, drain_s
    )
    evacuations = follow_evacuations(entries) if follow_evacuations else None
    configuration_follower = object_follower.ObjectFollower(
        kinds.configuration_kind, feed, clock, metrics, change_s, entries
    )
    feed_of_configuration = configuration_feed.ConfigurationFeed(
        configuration_follower,
        kinds.configuration_name,
        kinds.decode_configuration,
        context.holder,
    )
    directory = server_directory.ServerDirectory(
        entries,
        kinds.decode_server,
        context.holder,
        context.scheduler,
        clock,
        metrics,
        frozenset() if evacuations is None else None,
        regions,
    )
    context.holder.subscribe(
        lambda found: homes.log_homeless(found, regions.values())
    )
    emptied_zones = None
    if evacuations:
        emptied_zones = zone_evacuations.ZoneEvacuations(
            evacuations, directory.set_emptied_zones, clock, metrics
        )
    return Sources(
        configuration_follower,
        entries,
        directory,
        feed_of_configuration,
        emptied_zones,
        evacuations,
    )
