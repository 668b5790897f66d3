"""Keeps the plan of software versions in the platform's store.

Every daemon follows the plan and may revise it when the backend servers of a
service change. The first daemon in rendezvous order does so at once, each
further one a little later, so that a revision is not late while some daemons
are frozen or partitioned. The write is conditional. Its content also travels
as a notice, since a daemon whose watch is not answered would go on with the
old plan.

A plan that daemons learn late states too early when they stopped using the one
before. A daemon that notices it writes the later end, since daemons that start
know only what is stored.
"""

import random
from typing import Final

import anyio

from figstream import clock as clock_lib
from figstream import configuration as configuration_lib
from figstream import configuration_holder
from figstream import daemon_context
from figstream import errors
from figstream import logs
from figstream import membership
from figstream import metrics as metrics_lib
from figstream import notices as notices_lib
from figstream import object_follower
from figstream import platform_api
from figstream import serialization
from figstream import server_directory
from figstream import software_plan
from figstream import store_era
from figstream import stream_software

PREFIX: Final = "software-plans/"
# Time within which the follower of the plan notices a silent store. Notices
# bring changes sooner, and a long watch costs few calls.
FOLLOW_S: Final = 20.0
_NAME: Final = "main"
_KIND: Final = "software_plan"
_TTL_S: Final = 60.0
# Time between checks of the plan without a change of servers.
_CHECK_INTERVAL_S: Final = 1.0
# Time by which each daemon waits longer than the one before it. A write takes
# milliseconds, its notice a tenth of a second.
_TURN_S: Final = 0.4
# Time by which each live daemon extends the wait before a later end is written,
# which many daemons may notice at once.
_SPREAD_S: Final = 0.02
_MS_PER_S: Final = 1000.0


class SoftwarePlanner:
    """Follows and revises the plan; a `daemon_context.Role`."""

    def __init__(
        self,
        follower: object_follower.ObjectFollower,
        entries: object_follower.ObjectFollower,
        directory: server_directory.ServerDirectory,
        streams: stream_software.StreamSoftware,
        members: membership.Membership,
        context: daemon_context.DaemonContext,
    ) -> None:
        """Subscribes to the plan, the backend servers and notices.

        Args:
          follower: follows the stored plan.
          entries: follows the entries of backend servers.
          directory: the backend servers.
          streams: receives servers and plan.
          members: the live daemons.
          context: objects that the roles of the daemon share.
        """
        self._follower = follower
        self._entries = entries
        self._directory = directory
        self._streams = streams
        self._members = members
        self._notices: notices_lib.Notices = members.notices
        self._holder: configuration_holder.ConfigurationHolder = context.holder
        self._objects = context.platform.objects
        self._era: store_era.StoreEra = context.platform.era
        self._clock: clock_lib.Clock = context.clock
        self._metrics: metrics_lib.Metrics = context.metrics
        self._random = random.Random()
        self._plan = software_plan.SoftwarePlan()
        self._changed = anyio.Event()
        directory.subscribe(self._update_servers)
        self._holder.subscribe(self._update_limits)
        follower.subscribe(self._apply_items)
        self._notices.subscribe(_KIND, self._apply_notice)

    async def run(self) -> None:
        """Revises the plan whenever it is due, until cancelled."""
        while True:
            with anyio.move_on_after(_CHECK_INTERVAL_S):
                await self._changed.wait()
            self._changed = anyio.Event()
            if self._due_plan() is None:
                continue
            await self._clock.sleep(self._turn_s())
            plan = self._due_plan()
            if plan is not None and not await self._write(plan):
                await self._clock.sleep(_TURN_S)

    async def hand_over(self) -> None:
        """Does nothing, since the next daemon in order revises the plan."""

    def _due_plan(self) -> software_plan.SoftwarePlan | None:
        """Returns the revised plan, None if none is due or it can't be told.

        After an outage of the store, servers may be missing that still run.
        """
        known = not self._follower.failing and not self._entries.failing
        if not known or not self._entries.settled:
            return None
        routes = self._holder.current.gateway_routes
        services = {
            part.service
            for route in routes
            if route.resumable
            for part in route.services
        }
        plan = software_plan.revised(
            software_plan.with_ends(
                self._plan, self._streams.history.late_ends
            ),
            self._directory.servers,
            services,
            self._now_ms(),
            self._era.current,
        )
        return None if plan is self._plan else plan

    def _turn_s(self) -> float:
        """Returns for how long this daemon waits before it writes a plan."""
        planned_s = _TURN_S * self._rank()
        if not any(self._streams.history.late_ends.values()):
            return planned_s
        spread_s = _SPREAD_S * len(self._members.live())
        return min(planned_s, self._random.uniform(0.0, spread_s))

    async def _write(self, plan: software_plan.SoftwarePlan) -> bool:
        stored = self._follower.items.get(_NAME)
        version = stored.version if stored else platform_api.ABSENT_VERSION
        body = serialization.to_json(plan)
        outcome = await self._objects.write(PREFIX + _NAME, body, version)
        if not isinstance(outcome, platform_api.Written):
            logs.info(
                "software_plan_not_written", outcome=type(outcome).__name__
            )
            # Another plan may be stored, or this one without an answer, and
            # the watch may have lost its answer too.
            self._follower.call_again()
            return False
        value = serialization.to_value(plan)
        item = platform_api.StoredItem(_NAME, outcome.version, value)
        self._adopt(item)
        payload = serialization.to_json(object_follower.StoredItems((item,)))
        if not self._notices.publish(_KIND, payload, _TTL_S):
            logs.info("software_plan_notice_dropped", bytes=len(payload))
        return True

    def _apply_notice(self, payload: bytes) -> None:
        try:
            found = serialization.from_json(
                payload, object_follower.StoredItems
            )
        except errors.ConfigurationError as error:
            logs.warning("software_plan_unreadable", detail=str(error))
            return
        for item in found.items:
            self._adopt(item)

    def _adopt(self, item: platform_api.StoredItem) -> None:
        self._follower.adopt(item.version, {item.name: item}, settled=True)

    def _apply_items(self, items: object_follower.Items) -> None:
        item = items.get(_NAME)
        if item is None:
            return
        try:
            plan = serialization.from_value(
                item.value, software_plan.SoftwarePlan
            )
        except errors.ConfigurationError as error:
            logs.warning("software_plan_unreadable", detail=str(error))
            return
        self._plan = plan
        self._metrics.event("software_plan_changed")
        for service, periods in plan.services.items():
            logs.info(
                "software_plan",
                service=service,
                weights=dict(periods[-1].weights) if periods else "none",
                since_ms=periods[-1].since_ms if periods else 0,
                era=plan.era,
                complete_since_ms=plan.complete_since_ms,
                version=item.version,
            )
        self._streams.apply_plan(plan, self._era.current, item.version)
        self._members.use_plan(item.version)

    def _update_servers(self, names: frozenset[str]) -> None:
        self._streams.update_servers(self._directory.servers)
        self._changed.set()

    def _update_limits(
        self, configuration: configuration_lib.Configuration
    ) -> None:
        routes = configuration.gateway_routes
        self._streams.update_limits(
            {item.name: item.timeout_s for item in routes if item.resumable}
        )

    def _rank(self) -> int:
        this = self._members.this().name
        names = [item.name for item in self._members.ranked(_KIND)]
        return names.index(this) if this in names else len(names)

    def _now_ms(self) -> int:
        return round(self._clock.wall() * _MS_PER_S)
