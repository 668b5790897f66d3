"""Orders the numbers of servers that `scaling_plan` computes.

Only the daemon that holds the lease sends orders. An order contains an
absolute number of servers, so resending it does no harm and the next lease
holder need not know the earlier orders. The next holder must know how many
servers the operator provided initially, which can no longer be observed once
servers have been stopped. Therefore the first holder writes these numbers into
the object store, once. After a restore of the store from an older copy, a
holder that knows the numbers writes them again if they are missing.
"""

from collections.abc import Mapping
from typing import Final

import attrs

from figstream import backend_server
from figstream import daemon_context
from figstream import errors
from figstream import gateway_route
from figstream import lease as lease_lib
from figstream import logs
from figstream import platform_api
from figstream import scaling_plan
from figstream import serialization
from figstream import server_directory

PROVIDED_PREFIX: Final = "scaling/"
# A fraction of the boot time of a server.
_PLAN_INTERVAL_S: Final = 0.5
# Interval at which a daemon checks whether it has the lease.
_LEASE_CHECK_INTERVAL_S: Final = 1.0
# An order whose servers have not registered is sent again after this time.
_RESEND_S: Final = 6.0
# Servers register within one or two heartbeats of their start. If no further
# server registers for this time, the registered servers are taken to be those
# that the operator provided.
_REGISTRATION_SETTLE_S: Final = 2.0
_NEVER: Final = float("-inf")


@attrs.frozen
class ProvidedServers:
    """Numbers of servers that the operator provided initially, by zone."""

    zones: dict[str, int]


@attrs.define
class _ServiceState:
    """State of one service.

    Attributes:
      plan: scaling plan, None until the provided servers are known.
      observed: numbers of registered servers by zone, as last observed.
      changed_at: time at which `observed` last changed.
      provided: numbers of servers that the operator provided, by zone.
      stored_in_era: era of the store that surely has `provided`.
    """

    plan: scaling_plan.ScalingPlan | None = None
    observed: dict[str, int] = attrs.field(factory=dict)
    changed_at: float = _NEVER
    provided: dict[str, int] = attrs.field(factory=dict)
    stored_in_era: int = 0


class ScalingOrders:
    """Orders the planned numbers of servers; satisfies `Role`."""

    def __init__(
        self,
        context: daemon_context.DaemonContext,
        scaling: platform_api.ServiceScaling,
        lease: lease_lib.HeldLease,
        directory: server_directory.ServerDirectory,
    ) -> None:
        """Initializes the role without any orders sent."""
        self._context = context
        self._clock = context.clock
        self._scaling = scaling
        self._lease = lease
        self._directory = directory
        self._services: dict[str, _ServiceState] = {}
        self._sent: dict[scaling_plan.ScalingTarget, tuple[int, float]] = {}

    async def run(self) -> None:
        """Plans and orders until cancelled."""
        while True:
            await self.step()
            await self._clock.sleep(
                _LEASE_CHECK_INTERVAL_S
                if self._lease.fencing() is None
                else _PLAN_INTERVAL_S
            )

    async def hand_over(self) -> None:
        """Clears the sent orders; the lease is resigned by its own role."""
        self._sent.clear()

    async def step(self) -> None:
        """Updates the scaling plans and sends the orders that are due."""
        if self._lease.fencing() is None:
            self._sent.clear()
            return
        for service in self._context.holder.current.gateway_services:
            if service.scaling:
                await self._update_service(service.name, service.scaling)

    async def _update_service(
        self, name: str, limits: gateway_route.ScalingLimits
    ) -> None:
        service_state = self._services.setdefault(name, _ServiceState())
        if service_state.plan is None:
            service_state.plan = await self._make_plan(name, service_state)
        if service_state.plan is None:
            return
        await self._restore_provided(name, service_state)
        now = self._clock.now()
        active = self._active(name)
        names = frozenset(item.name for item in active)
        utilization = self._context.scheduler.utilization(names, now)
        service_state.plan.observe(limits, utilization, now)
        running = _by_zone(active)
        wanted = service_state.plan.wanted(
            limits, running, now, self._directory.emptied_zones
        )
        for target, count in wanted.items():
            await self._send_order(service_state.plan, target, count, running)

    async def _make_plan(
        self, name: str, service_state: _ServiceState
    ) -> scaling_plan.ScalingPlan | None:
        """Returns the plan, or None until the provided servers are known."""
        stored = await self._context.platform.objects.read(
            PROVIDED_PREFIX + name
        )
        if isinstance(stored, platform_api.Found):
            try:
                found = serialization.from_json(stored.body, ProvidedServers)
            except errors.ConfigurationError as error:
                logs.error("scaling_unreadable", detail=str(error))
                return None
            return self._plan_from(name, service_state, found.zones)
        if isinstance(stored, platform_api.Unavailable):
            return None
        observed = {
            zone: count.permanent + count.reclaimable
            for zone, count in _by_zone(self._active(name)).items()
        }
        now = self._clock.now()
        if self._directory.emptied_zones:
            # The servers of an emptied zone can't be observed.
            return None
        if observed != service_state.observed:
            service_state.observed, service_state.changed_at = observed, now
        if (
            not observed
            or now - service_state.changed_at < _REGISTRATION_SETTLE_S
        ):
            return None
        written = await self._context.platform.objects.write(
            PROVIDED_PREFIX + name,
            serialization.to_json(ProvidedServers(observed)),
            platform_api.ABSENT_VERSION,
        )
        if not isinstance(written, platform_api.Written):
            return None
        logs.info("scaling_provided", service=name, zones=observed)
        return self._plan_from(name, service_state, observed)

    def _plan_from(
        self, name: str, service_state: _ServiceState, zones: dict[str, int]
    ) -> scaling_plan.ScalingPlan:
        service_state.provided = zones
        service_state.stored_in_era = self._context.platform.era.current
        return scaling_plan.ScalingPlan(name, zones)

    async def _restore_provided(
        self, name: str, service_state: _ServiceState
    ) -> None:
        """Writes the provided numbers again if a restore has removed them."""
        era = self._context.platform.era.current
        if service_state.stored_in_era == era:
            return
        outcome = await self._context.platform.objects.write(
            PROVIDED_PREFIX + name,
            serialization.to_json(ProvidedServers(service_state.provided)),
            platform_api.ABSENT_VERSION,
        )
        if isinstance(outcome, platform_api.Written | platform_api.Conflict):
            service_state.stored_in_era = era

    def _active(self, service: str) -> list[backend_server.BackendServer]:
        return [
            item
            for item in self._directory.servers
            if item.service == service
            and item.state is backend_server.ServerState.ACTIVE
        ]

    async def _send_order(
        self,
        plan: scaling_plan.ScalingPlan,
        target: scaling_plan.ScalingTarget,
        count: int,
        running: Mapping[str, scaling_plan.ZoneServers],
    ) -> None:
        now = self._clock.now()
        sent, sent_at = self._sent.get(target, (-1, _NEVER))
        zone = running.get(target.zone, scaling_plan.ZoneServers(0, 0))
        running_count = (
            zone.reclaimable if target.reclaimable else zone.permanent
        )
        if sent == count and (
            running_count == count or now - sent_at < _RESEND_S
        ):
            return
        fencing = self._lease.fencing()
        if fencing is None:
            return
        outcome = await self._scaling.send(
            platform_api.ScalingOrder(
                target.service,
                target.zone,
                count,
                target.reclaimable,
                fencing,
            ),
            lambda: self._lease.fencing() == fencing,
        )
        self._record_outcome(plan, target, count, running_count, outcome)

    def _record_outcome(
        self,
        plan: scaling_plan.ScalingPlan,
        target: scaling_plan.ScalingTarget,
        count: int,
        running_count: int,
        outcome: platform_api.OrderOutcome,
    ) -> None:
        outcome_name = type(outcome).__name__.lower()
        self._context.metrics.event(f"scaling_{outcome_name}")
        now = self._clock.now()
        match outcome:
            case platform_api.OrderAccepted():
                self._sent[target] = (count, now)
                if target.reclaimable:
                    plan.available(target.zone)
            case platform_api.OrderRefused(none_available=True):
                plan.none_available(target.zone, now)
        logs.info(
            "scaling_ordered",
            service=target.service,
            zone=target.zone,
            reclaimable=target.reclaimable,
            count=count,
            running=running_count,
            outcome=outcome_name,
        )


def _by_zone(
    servers: list[backend_server.BackendServer],
) -> dict[str, scaling_plan.ZoneServers]:
    return {
        zone: scaling_plan.ZoneServers(
            sum(x.zone == zone and not x.reclaimable for x in servers),
            sum(x.zone == zone and x.reclaimable for x in servers),
        )
        for zone in sorted({item.zone for item in servers})
    }


def make_scaling_orders(
    context: daemon_context.DaemonContext,
    scaling: platform_api.ServiceScaling,
    lease: lease_lib.HeldLease,
    directory: server_directory.ServerDirectory,
) -> ScalingOrders:
    """Creates the role of a daemon that sends orders under a lease."""
    return ScalingOrders(context, scaling, lease, directory)
