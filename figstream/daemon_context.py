"""What the parts of one daemon share.

Each role (membership, configuration, usage…) is a module with a factory that
takes the context and returns a `Role`; the daemon runs all roles in one task
group.
"""

from typing import Protocol

import attrs
import grpc

from figstream import clock as clock_lib
from figstream import configuration_holder
from figstream import explain
from figstream import metrics as metrics_lib
from figstream import options as options_lib
from figstream import platform_api
from figstream import scheduler_api


class Role(Protocol):
    """A background part of the daemon."""

    async def run(self) -> None:
        """Runs until cancelled."""

    async def hand_over(self) -> None:
        """Gives up what the role holds, at a graceful shutdown."""


class RpcRole(Role, Protocol):
    """A role that other daemons call."""

    def register(self, server: grpc.aio.Server) -> None:
        """Adds the role's gRPC services to the peer server."""


@attrs.frozen
class DaemonContext:
    """What the parts of one daemon share.

    Attributes:
      options: settings.
      clock: time source.
      start_number: tells two runs of the same VM apart; Unix time in
        nanoseconds at start.
      platform: interfaces to the platform.
      holder: the configuration in force.
      scheduler: queues, limits and choice of servers.
      decisions: records for operators.
      metrics: instruments.
    """

    options: options_lib.Options
    clock: clock_lib.Clock
    start_number: int
    platform: platform_api.Platform
    holder: configuration_holder.ConfigurationHolder
    scheduler: scheduler_api.Scheduler
    decisions: explain.DecisionLog
    metrics: metrics_lib.Metrics
