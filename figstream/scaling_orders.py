"""Orders servers by number, in the one daemon that holds the lease.

Orders are absolute numbers, so a repeat does no harm and nothing needs to be
recorded: the next holder looks at what runs and orders what it wants.
"""

from collections.abc import Mapping
from typing import Final

from figstream import backend_server
from figstream import daemon_context
from figstream import lease as lease_lib
from figstream import logs
from figstream import platform_api
from figstream import scaling_plan
from figstream import server_directory

# How often the plan is made; a part of the time that a server takes to boot.
_STEP_S: Final = 0.5
# An order whose servers have not shown up is sent again after this time.
_REPEAT_S: Final = 6.0
_NEVER: Final = float("-inf")


class ScalingOrders:
    """Keeps the numbers of servers as planned; a `Role`."""

    def __init__(
        self,
        context: daemon_context.DaemonContext,
        scaling: platform_api.ServiceScaling,
        lease: lease_lib.HeldLease,
        directory: server_directory.ServerDirectory,
    ) -> None:
        """Starts with nothing ordered."""
        self._context = context
        self._clock = context.clock
        self._scaling = scaling
        self._lease = lease
        self._directory = directory
        self._plans: dict[str, scaling_plan.ScalingPlan] = {}
        self._sent: dict[scaling_plan.Subject, tuple[int, float]] = {}
        self._zones: set[str] = set()

    async def run(self) -> None:
        """Plans and orders until cancelled."""
        while True:
            await self.step()
            await self._clock.sleep(_STEP_S)

    async def hand_over(self) -> None:
        """Orders nothing more; the lease is given up on its own."""
        self._sent.clear()

    async def step(self) -> None:
        """Sends the orders that are due."""
        configuration = self._context.holder.current
        self._zones |= {item.zone for item in self._directory.servers}
        if self._lease.fencing() is None:
            self._sent.clear()
            return
        for service in configuration.gateway_services:
            if service.scaling is None:
                continue
            plan = self._plans.setdefault(
                service.name, scaling_plan.ScalingPlan(service.name)
            )
            running = self._running(service.name)
            wanted = plan.wanted(service.scaling, running, self._clock.now())
            for subject, count in wanted.items():
                await self._order(plan, subject, count, running)

    def _running(self, service: str) -> Mapping[str, scaling_plan.ZoneServers]:
        active = [
            item
            for item in self._directory.servers
            if item.service == service
            and item.state is backend_server.ServerState.ACTIVE
        ]
        return {
            zone: scaling_plan.ZoneServers(
                sum(x.zone == zone and not x.reclaimable for x in active),
                sum(x.zone == zone and x.reclaimable for x in active),
            )
            for zone in sorted(self._zones)
        }

    async def _order(
        self,
        plan: scaling_plan.ScalingPlan,
        subject: scaling_plan.Subject,
        count: int,
        running: Mapping[str, scaling_plan.ZoneServers],
    ) -> None:
        now = self._clock.now()
        sent, sent_at = self._sent.get(subject, (-1, _NEVER))
        zone = running[subject.zone]
        there = zone.reclaimable if subject.reclaimable else zone.firm
        if sent == count and (there == count or now - sent_at < _REPEAT_S):
            return
        fencing = self._lease.fencing()
        if fencing is None:
            return
        outcome = await self._scaling.send(
            platform_api.ScalingOrder(
                subject.service,
                subject.zone,
                count,
                subject.reclaimable,
                fencing,
            ),
            lambda: self._lease.fencing() == fencing,
        )
        self._take_note(plan, subject, count, there, outcome)

    def _take_note(
        self,
        plan: scaling_plan.ScalingPlan,
        subject: scaling_plan.Subject,
        count: int,
        there: int,
        outcome: platform_api.OrderOutcome,
    ) -> None:
        kind = type(outcome).__name__.lower()
        self._context.metrics.event(f"scaling_{kind}")
        now = self._clock.now()
        match outcome:
            case platform_api.OrderAccepted():
                self._sent[subject] = (count, now)
                if subject.reclaimable:
                    plan.available(subject.zone)
            case platform_api.OrderRefused(none_available=True):
                plan.none_available(subject.zone, now)
        logs.info(
            "scaling_ordered",
            service=subject.service,
            zone=subject.zone,
            reclaimable=subject.reclaimable,
            count=count,
            running=there,
            outcome=kind,
        )


def make_scaling_orders(
    context: daemon_context.DaemonContext,
    scaling: platform_api.ServiceScaling,
    lease: lease_lib.HeldLease,
    directory: server_directory.ServerDirectory,
) -> ScalingOrders:
    """Creates the role of a daemon, which works under a lease."""
    return ScalingOrders(context, scaling, lease, directory)
