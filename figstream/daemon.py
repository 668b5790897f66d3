"""Assembles one daemon, runs its servers and roles, and shuts it down.

The daemon receives requests over HTTP, serves other daemons and operators
over gRPC, and runs the background roles in one task group.
"""

from collections.abc import Sequence
import time
from typing import Final

import anyio

from figstream import claim_journal
from figstream import clock as clock_lib
from figstream import configuration_holder
from figstream import configuration_propagation
from figstream import crash_parts
from figstream import daemon_context
from figstream import explain
from figstream import http_server
from figstream import logs
from figstream import loop_delay
from figstream import membership
from figstream import metrics as metrics_lib
from figstream import operator_explain
from figstream import operator_server
from figstream import options as options_lib
from figstream import ordering_roles
from figstream import peer_server
from figstream import platform_api
from figstream import role_supervisor
from figstream import scheduler
from figstream import serving_parts
from figstream import usage_parts
from figstream import usage_totals

# The HTTP server accepts headers up to this multiple of the limit, so that the
# application can answer with an error that names the limit.
_HEADER_LIMIT_FACTOR: Final = 2
# Allows two platform timeouts for each role that writes to the platform.
_HAND_OVER_LIMIT_S: Final = 10.0


def make_context(
    options: options_lib.Options,
    platform: platform_api.Platform,
    metrics: metrics_lib.Metrics,
) -> daemon_context.DaemonContext:
    """Creates the objects that the components of a daemon share."""
    clock = clock_lib.SystemClock()
    context = daemon_context.DaemonContext(
        options,
        clock,
        time.time_ns(),
        platform,
        configuration_holder.ConfigurationHolder(clock),
        scheduler.make_scheduler(options.zone),
        explain.DecisionLog(options.explain_records),
        metrics,
    )
    context.holder.subscribe(context.scheduler.set_configuration)
    return context


class Daemon:
    """The components of one daemon, started and stopped in order."""

    def __init__(self, context: daemon_context.DaemonContext) -> None:
        """Creates every component without starting any of them."""
        self.context = context
        self._peers = peer_server.PeerServer(
            context.options.address, context.options.peer_port
        )
        self.members = membership.make_membership(context, self._peers.address)
        self.propagation = (
            configuration_propagation.make_configuration_propagation(
                context, self.members
            )
        )
        accounting = usage_parts.make_usage_parts(
            context, self.members, self.members.notices
        )
        self.usage = usage_totals.UsageTotals(accounting.ledger)
        explainer = operator_explain.make_explainer(context, self.members)
        self._operators = operator_server.make_operator_server(
            context,
            self.members,
            lambda: self.members.unreachable_zones,
            explainer,
            self.propagation,
        )
        self._rpc_roles: Sequence[daemon_context.RpcRole] = (
            self.propagation,
            accounting.handover,
            explainer,
            self.members,
        )
        claims = claim_journal.make_claim_journal(context)
        crashes = crash_parts.make_isolating_parts(self.members, context.clock)
        self._serving = serving_parts.make_serving_parts(
            context, claims, crashes, self.usage
        )
        # Membership comes last, because the other roles transfer their state to
        # members at shutdown.
        self._roles: Sequence[daemon_context.Role] = (
            claims,
            *crashes.roles,
            *accounting.roles,
            *ordering_roles.make_ordering_roles(
                context, self.members, self._serving.health
            ),
            loop_delay.LoopDelay(context.metrics),
            self._operators,
            self.propagation,
            self.members,
        )
        self._server = http_server.HttpServer(
            self._serving.app.application,
            context.options.address,
            context.options.caller_port,
            context.options.shutdown_limit_s,
            context.options.header_limit_bytes * _HEADER_LIMIT_FACTOR,
        )

    @property
    def ready(self) -> bool:
        """Returns whether the load balancer may send requests."""
        return self._serving.app.ready

    @property
    def peer_address(self) -> str:
        """Returns the address on which the daemon serves other daemons."""
        return self._peers.address

    @property
    def operator_address(self) -> str:
        """Returns the address on which the daemon serves operators."""
        return self._operators.address

    @property
    def caller_port(self) -> int:
        """Returns the port on which the daemon serves callers."""
        return self._server.port

    async def run(self) -> None:
        """Serves until `shut_down`, then completes the requests in flight."""
        options = self.context.options
        await self._peers.start(self._rpc_roles)
        try:
            async with anyio.create_task_group() as group:
                for role in self._roles:
                    group.start_soon(
                        role_supervisor.keep_running,
                        role,
                        self.context.clock,
                        self.context.metrics,
                    )
                group.start_soon(self._serving.gate.run)
                group.start_soon(
                    self._serving.health.run, self._serving.backends
                )
                logs.info(
                    "daemon_started",
                    vm=options.name,
                    zone=options.zone,
                    caller_port=self.caller_port,
                )
                await self._server.serve()
                await self._hand_over()
                group.cancel_scope.cancel()
        finally:
            with anyio.CancelScope(shield=True):
                await self._peers.stop()
        await self._serving.backends.close_idle()
        logs.info("daemon_stopped", vm=options.name)

    async def shut_down(self) -> None:
        """Fails readiness, then closes the listener and drains requests."""
        self._serving.app.leaving = True
        logs.info("daemon_leaving", vm=self.context.options.name)
        await anyio.sleep(self.context.options.drain_delay_s)
        self._serving.app.close(self.context.options.shutdown_limit_s)
        self._server.shut_down()

    async def _hand_over(self) -> None:
        with anyio.move_on_after(_HAND_OVER_LIMIT_S):
            for role in self._roles:
                await role_supervisor.hand_over(role)
