"""Defines the objects that components of a daemon share, and their interface.

Each background role (membership, configuration, usage…) is a module with a
factory that receives the context and returns a `Role`. The daemon runs all
roles in one task group.
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
from figstream import work_groups


class Role(Protocol):
    """A background component of the daemon."""

    async def run(self) -> None:
        """Runs until cancelled."""

    async def hand_over(self) -> None:
        """Transfers or releases the role's state at a graceful shutdown."""


class RpcRole(Role, Protocol):
    """A role that also serves calls of other daemons."""

    def register(self, server: grpc.aio.Server) -> None:
        """Adds the role's gRPC services to the peer server."""


@attrs.frozen
class DaemonContext:
    """The objects that the components of one daemon share.

    Attributes:
      options: settings of the daemon.
      clock: time source.
      start_number: Unix time in nanoseconds at start; distinguishes
        successive runs on the same VM.
      platform: client of the platform.
      holder: holds the active configuration.
      scheduler: queues requests, enforces limits and selects servers.
      decisions: records of decisions for operators.
      metrics: counters and histograms.
      groups: servers of paced services for streams and for other work.
    """

    options: options_lib.Options
    clock: clock_lib.Clock
    start_number: int
    platform: platform_api.Platform
    holder: configuration_holder.ConfigurationHolder
    scheduler: scheduler_api.Scheduler
    decisions: explain.DecisionLog
    metrics: metrics_lib.Metrics
    groups: work_groups.WorkGroups = attrs.field(factory=work_groups.WorkGroups)
