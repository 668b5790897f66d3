"""Assembles what keeps streams at the software version that began them.

The request path uses `stream_software`; the roles here keep the shared plan and
tell other daemons what it leaves open.
"""

from collections.abc import Sequence

from figstream import daemon_context
from figstream import feed_relay
from figstream import gateway_sources
from figstream import membership
from figstream import object_follower
from figstream import object_transfer
from figstream import plan_contact
from figstream import platform_api
from figstream import software_planner
from figstream import stream_software
from figstream import stream_software_spread


def make_plan_follower(
    context: daemon_context.DaemonContext,
    store: platform_api.ObjectFeed,
    kinds: gateway_sources.SourceKinds,
    sources: gateway_sources.Sources,
    members: membership.Membership,
    transfer: object_transfer.ObjectTransfer,
) -> object_follower.ObjectFollower:
    """Creates the follower of the plan of software versions.

    Args:
      context: objects shared by the roles of the daemon.
      store: feed of the platform's store.
      kinds: kinds of objects in the store.
      sources: the backend servers, whose follower leads after an outage.
      members: the live daemons.
      transfer: receives what relays send.
    """
    follow_s = software_planner.FOLLOW_S
    feed = feed_relay.make_relayed_feed(
        context, store, members, follow_s, transfer
    )
    return object_follower.ObjectFollower(
        kinds.plans_kind,
        feed,
        context.clock,
        context.metrics,
        follow_s,
        sources.entries,
    )


def make_stream_roles(
    context: daemon_context.DaemonContext,
    sources: gateway_sources.Sources,
    plans: object_follower.ObjectFollower,
    streams: stream_software.StreamSoftware,
    members: membership.Membership,
    store: platform_api.ObjectFeed,
) -> Sequence[daemon_context.Role]:
    """Creates the roles that supply the streams of a daemon.

    Args:
      context: objects shared by the roles of the daemon.
      sources: the backend servers.
      plans: follower of the plan.
      streams: the streams of the daemon.
      members: the live daemons.
      store: feed of the platform's store.
    """
    return (
        plans,
        software_planner.SoftwarePlanner(
            plans, sources.entries, sources.directory, streams, members, context
        ),
        plan_contact.PlanContact(
            streams, members, sources.entries, plans, store, context.clock
        ),
        stream_software_spread.StreamSoftwareSpread(
            streams,
            members.notices,
            context.clock,
            lambda: len(members.live()),
        ),
    )
