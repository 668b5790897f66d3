"""Feeds of the operator's configuration and of backend servers.

Followers receive the objects from the platform's store and apply them to the
active configuration and to the scheduler.
"""

import attrs

from figstream import configuration_feed
from figstream import daemon_context
from figstream import object_follower
from figstream import platform_api
from figstream import server_directory


@attrs.frozen
class SourceKinds:
    """Kinds and names of objects in the platform's store, and their decoders.

    Attributes:
      configuration_kind: kind of the operator's configuration object.
      configuration_name: name of the operator's configuration object.
      servers_kind: kind of the entries of backend servers.
      plans_kind: kind of the stored plan of software versions.
      decode_configuration: decodes the operator's configuration object.
      decode_server: decodes the entry of a backend server.
    """

    configuration_kind: str
    configuration_name: str
    servers_kind: str
    plans_kind: str
    decode_configuration: configuration_feed.Decode
    decode_server: server_directory.Decode


@attrs.frozen
class Sources:
    """The followers of both kinds of objects, and the server directory.

    Attributes:
      configuration_follower: follows the operator's configuration object.
      entries: follows the entries of backend servers.
      directory: the backend servers decoded from the entries.
      configuration_feed: activates the operator's configuration.
    """

    configuration_follower: object_follower.ObjectFollower
    entries: object_follower.ObjectFollower
    directory: server_directory.ServerDirectory
    configuration_feed: configuration_feed.ConfigurationFeed


def make_sources(
    context: daemon_context.DaemonContext,
    feed: platform_api.ObjectFeed,
    kinds: SourceKinds,
    change_s: float,
    drain_s: float,
) -> Sources:
    """Creates the followers and connects them to holder and scheduler.

    Args:
      context: objects shared by the roles of the daemon.
      feed: feed of both kinds of objects.
      kinds: kinds, names and decoders of the objects.
      change_s: seconds within which a configuration must become active.
      drain_s: seconds after which a leaving server must receive no requests.
    """
    clock, metrics = context.clock, context.metrics
    entries = object_follower.ObjectFollower(
        kinds.servers_kind, feed, clock, metrics, drain_s
    )
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
    )
    return Sources(
        configuration_follower, entries, directory, feed_of_configuration
    )
