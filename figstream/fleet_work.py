"""Tells all daemons how many servers the fleet's paced streams need.

The daemon that seals usage windows hears within a second or two of each request
that any daemon started, by class. From their rate and from the duration of its
own streams it computes how many streams run in the whole fleet and how many
servers hold them, and publishes that as a notice. `work_groups` applies it at
every daemon.

The load that this answers: bursts of streams at 80 daemons that each see one of
them every few seconds, too few to tell a burst from chance.
"""

from collections.abc import Mapping
import math
from typing import Final

import attrs

from figstream import clock as clock_lib
from figstream import configuration as configuration_lib
from figstream import daemon_context
from figstream import errors
from figstream import logs
from figstream import metrics as metrics_lib
from figstream import notices as notices_lib
from figstream import paced_routes
from figstream import serialization
from figstream import usage_delta
from figstream import usage_sealing
from figstream import work_groups

_KIND: Final = "paced_need"
# Three repeats, so that a lost notice does not matter.
_TTL_S: Final = 15.0
_REPEAT_INTERVAL_S: Final = 5.0
# Shortest time between two computations; counts arrive more often.
_INTERVAL_S: Final = 0.5
# Time in which a past request loses most of its weight, shorter than a burst.
# The fleet starts a hundred streams in it, so that chance evens out.
_RATE_TIME_S: Final = 2.0
# Counts of a daemon arrive this long after its requests.
_COUNT_LAG_S: Final = 1.0
# Counts of less time give no rate.
_MIN_COUNTED_S: Final = 2.0
# Share of a server's slots that streams take. The rest is for servers that are
# slow or disturbed, and for streams that meet by chance.
_SLOT_SHARE: Final = 1 / 4
# More streams than the present rate, since a burst may be rising, and servers
# that join the group take over a second to settle.
_MARGIN: Final = 1.25
# Expected duration of a stream in targets of its first event. A route that lets
# callers wait for the first event has answers that take longer than that.
_EXPECTED_TARGETS: Final = 2.0
# The need falls only to this share of the published one or below, for
# `_FALL_TIME_S`, so that servers don't change groups to and fro.
_FALL_RATIO: Final = 0.75
_FALL_TIME_S: Final = 4.0
_MS_PER_S: Final = 1000.0


@attrs.frozen
class FleetNeed:
    """How many servers the paced streams of the fleet need.

    Attributes:
      decided_ms: Unix time of the decision in milliseconds.
      servers: number of servers by service.
    """

    decided_ms: int
    servers: Mapping[str, int]


class StartRates:
    """Rates at which the fleet starts paced streams, by service."""

    def __init__(self) -> None:
        """Initializes without counts."""
        self._weights: dict[str, float] = {}
        self._at = 0.0
        self._since = math.inf

    def add(
        self, service: str, requests: float, opened: float, now: float
    ) -> None:
        """Adds requests that a daemon counted.

        Args:
          service: the service.
          requests: number of requests.
          opened: Unix time at which the daemon counted the first one.
          now: Unix time.
        """
        self._decay(now)
        age_s = max(0.0, now - opened - _COUNT_LAG_S)
        weight = requests * math.exp(-age_s / _RATE_TIME_S)
        self._weights[service] = self._weights.get(service, 0.0) + weight
        self._since = min(self._since, max(opened, now - 4 * _RATE_TIME_S))

    def per_s(self, now: float) -> Mapping[str, float] | None:
        """Returns the rates by service, None while too little was counted."""
        counted_s = now - self._since
        if counted_s < _MIN_COUNTED_S:
            return None
        self._decay(now)
        # The share of all past time that was counted, by its weight.
        share = 1.0 - math.exp(-(counted_s - _COUNT_LAG_S) / _RATE_TIME_S)
        return {
            service: weight / (_RATE_TIME_S * share)
            for service, weight in self._weights.items()
        }

    def clear(self) -> None:
        """Forgets all counts."""
        self._weights.clear()
        self._since = math.inf

    def _decay(self, now: float) -> None:
        factor = math.exp(-max(0.0, now - self._at) / _RATE_TIME_S)
        self._at = now
        for service in self._weights:
            self._weights[service] *= factor


@attrs.define
class _Published:
    """The published need of a service and since when it is too high."""

    servers: int
    high_since: float = math.inf

    def update(self, need: int, now: float) -> None:
        """Applies a computed need."""
        if need > _FALL_RATIO * self.servers:
            self.high_since = math.inf
            self.servers = max(self.servers, need)
            return
        self.high_since = min(self.high_since, now)
        if now - self.high_since >= _FALL_TIME_S:
            self.servers = need
            self.high_since = math.inf


class FleetWork:
    """Computes, publishes and applies the need of paced streams."""

    def __init__(
        self,
        groups: work_groups.WorkGroups,
        notices: notices_lib.Notices,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
    ) -> None:
        """Subscribes to the notices of other daemons.

        Args:
          groups: the groups of servers of this daemon.
          notices: the notices of the daemon.
          clock: time source.
          metrics: counters of notices and of requests outside their group.
        """
        self._groups = groups
        self._notices = notices
        self._clock = clock
        self._metrics = metrics
        self._class_services: Mapping[str, tuple[str, ...]] = {}
        self._expected_s: Mapping[str, float] = {}
        self._rates = StartRates()
        self._published: dict[str, _Published] = {}
        self._published_at = -math.inf
        self._computed_at = -math.inf
        self._applied = FleetNeed(0, {})
        self._applied_at = -math.inf
        notices.subscribe(_KIND, self._apply_notice)
        groups.set_on_outside(metrics.event)

    def set_configuration(
        self, configuration: configuration_lib.Configuration
    ) -> None:
        """Applies a new configuration."""
        paced = [
            route
            for route in configuration.gateway_routes
            if route.streamed and paced_routes.is_paced(route.request_class)
        ]
        self._class_services = {
            route.request_class.name: tuple(
                item.service for item in route.services
            )
            for route in paced
        }
        self._expected_s = {
            item.service: _EXPECTED_TARGETS
            * route.request_class.service_level.first_token_s
            for route in paced
            for item in route.services
        }

    def count(self, delta: usage_delta.UsageDelta) -> None:
        """Counts the requests of a delta that this daemon is to seal."""
        if not self._class_services:
            return
        now = self._clock.wall()
        for item in delta.items:
            # A customer's tier is a suffix of the name of the class.
            name = item.request_class
            if name not in self._class_services:
                name = name.rpartition("@")[0]
            services = self._class_services.get(name, ())
            for service in services:
                self._rates.add(
                    service,
                    item.requests / len(services),
                    delta.opened_ms / _MS_PER_S,
                    now,
                )
        self._compute()

    def forget(self) -> None:
        """Forgets the counts of an earlier term of sealing."""
        self._rates.clear()
        self._published.clear()

    def _compute(self) -> None:
        """Computes the need and publishes it if it changed or is due."""
        now, wall = self._clock.now(), self._clock.wall()
        if now - self._computed_at < _INTERVAL_S:
            return
        self._computed_at = now
        rates = self._rates.per_s(wall)
        if rates is None:
            return
        changed = False
        for service in sorted(rates):
            need = self._need(service, rates[service])
            if need is None:
                continue
            before = self._published.get(service)
            if before is None:
                # The fleet keeps what a sealing daemon before this one found.
                known = self._applied.servers.get(service, need)
                before = self._published[service] = _Published(known)
                changed = True
            old = before.servers
            before.update(need, now)
            if before.servers != old:
                changed = True
                logs.info(
                    "paced_need_changed",
                    service=service,
                    servers=before.servers,
                    starts_per_s=round(rates[service], 1),
                    stream_s=round(self._stream_s(service), 2),
                )
        due = now - self._published_at >= _REPEAT_INTERVAL_S
        if self._published and (changed or due):
            self._publish(now, wall)

    def _need(self, service: str, starts_per_s: float) -> int | None:
        """Returns how many servers hold the streams, None if unknown."""
        slots = self._groups.slots(service)
        if not slots:
            return None
        streams = starts_per_s * self._stream_s(service) * _MARGIN
        return max(1, math.ceil(streams / max(1.0, slots * _SLOT_SHARE)))

    def _stream_s(self, service: str) -> float:
        expected_s = self._expected_s.get(service, 0.0)
        return self._groups.stream_s(service, expected_s)

    def _publish(self, now: float, wall: float) -> None:
        need = FleetNeed(
            round(wall * _MS_PER_S),
            {name: x.servers for name, x in self._published.items()},
        )
        payload = serialization.to_json(need)
        if not self._notices.publish(_KIND, payload, _TTL_S):
            logs.warning("paced_need_dropped", size_bytes=len(payload))
            return
        self._published_at = now
        self._metrics.event("paced_need_published")
        self._apply(need)

    def _apply_notice(self, payload: bytes) -> None:
        try:
            need = serialization.from_json(payload, FleetNeed)
        except errors.ConfigurationError as error:
            logs.warning("paced_need_unreadable", detail=str(error))
            return
        self._apply(need)

    def _apply(self, need: FleetNeed) -> None:
        """Applies a need unless a newer one was applied recently."""
        now = self._clock.now()
        recent = now - self._applied_at < _TTL_S
        if recent and need.decided_ms < self._applied.decided_ms:
            self._metrics.event("paced_need_outdated")
            return
        self._applied = need
        self._applied_at = now
        self._groups.set_needs(need.servers)


def make_fleet_work(
    context: daemon_context.DaemonContext,
    sealing: usage_sealing.UsageSealing,
    notices: notices_lib.Notices,
) -> FleetWork:
    """Creates and connects the need of paced streams of one daemon."""
    work = FleetWork(context.groups, notices, context.clock, context.metrics)
    context.holder.subscribe(work.set_configuration)
    sealing.set_listener(work.count, work.forget)
    return work
