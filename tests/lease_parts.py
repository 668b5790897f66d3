"""Fixtures shared by the tests of leases."""

from collections.abc import Sequence

import grpc

from figstream import clock as clock_lib
from figstream import configuration_holder
from figstream import daemon_context
from figstream import explain
from figstream import membership_api
from figstream import metrics
from figstream import options
from figstream import platform_api
from figstream import scheduler


class SingleMembership:
    """Membership in which the daemon is the only, first-ranked member."""

    def __init__(self, name: str) -> None:
        self._this = membership_api.Member(name, "a", "r", "", 1)

    def this(self) -> membership_api.Member:
        return self._this

    def live(self) -> Sequence[membership_api.Member]:
        return [self._this]

    def ranked(
        self, role: str, zone: str = ""
    ) -> Sequence[membership_api.Member]:
        return [self._this]

    def channel(self, member: membership_api.Member) -> grpc.aio.Channel:
        raise NotImplementedError


def make_context(
    name: str,
    start_number: int,
    platform: platform_api.Platform,
    clock: clock_lib.Clock | None = None,
    heartbeat_s: float = 1.0,
    seeds: tuple[str, ...] = (),
) -> daemon_context.DaemonContext:
    """Creates a daemon context with an unexported metrics registry."""
    clock = clock or clock_lib.SystemClock()
    return daemon_context.DaemonContext(
        options.Options(
            name,
            "a",
            "r",
            "",
            0,
            0,
            0,
            "",
            heartbeat_s=heartbeat_s,
            seeds=seeds,
        ),
        clock,
        start_number,
        platform,
        configuration_holder.ConfigurationHolder(clock),
        scheduler.make_scheduler("a"),
        explain.DecisionLog(),
        metrics.make_unexported_metrics(),
    )
