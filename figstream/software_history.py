"""Remembers by which shares of software versions streams have begun.

Shares come from the plan, of which `software_plan` keeps the recent past, and
from what this daemon uses while a planned version has no server. Shares end at
a daemon when it learns of the next ones, not when those were written, and a
daemon that is not heard may go on with the ones that it had. `stream_software`
asks at which version a stream of some age may have begun.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import itertools
import math
from typing import Final

import attrs

from figstream import backend_server
from figstream import clock as clock_lib
from figstream import software_plan

# Learning a plan later than this after it was written is no usual delay.
_LATE_MS: Final = 1_000
_MS_PER_S: Final = 1000.0


@attrs.define
class _Period:
    """Shares of the versions that daemons use or used.

    Attributes:
      weights: weight of each version.
      ended_at: time until which a daemon may have used them, in clock seconds.
      replaced_at: time at which daemons in contact stopped using them.
      replaced_by: version of the plan that ended them, 0 if they are in use.
    """

    weights: Mapping[str, int]
    ended_at: float = math.inf
    replaced_at: float = math.inf
    replaced_by: int = 0


class SoftwareHistory:
    """The shares of software versions now and in the recent past."""

    def __init__(self, clock: clock_lib.Clock) -> None:
        """Initializes without servers and plan."""
        self._clock = clock
        # Slots of the active servers, by service and version.
        self._active: dict[str, dict[str, int]] = {}
        # By service and begin of the period in Unix milliseconds.
        self._periods: dict[str, dict[int, _Period]] = {}
        # Ends of periods that the plan states too early.
        self._late_ends: dict[str, dict[int, int]] = {}
        self._complete_since_ms = 0
        self._present: Mapping[str, tuple[software_plan.Shares, ...]] = {}
        # What daemons used while a planned version had no active server.
        self._fallbacks: dict[str, list[_Period]] = {}

    @property
    def late_ends(self) -> Mapping[str, Mapping[int, int]]:
        """Returns the ends of periods that the plan states too early.

        They are in Unix milliseconds, by service and begin of the period. A
        daemon that starts knows only what the plan states.
        """
        return self._late_ends

    def update_servers(
        self, servers: Iterable[backend_server.BackendServer]
    ) -> bool:
        """Applies the present backend servers.

        Returns:
          Whether streams now begin by other shares than those of the plan.
        """
        active: dict[str, dict[str, int]] = {}
        for server in servers:
            if server.state is backend_server.ServerState.ACTIVE:
                slots = active.setdefault(server.service, {})
                slots[server.software] = (
                    slots.get(server.software, 0) + server.slots
                )
        self._active = active
        new = [self._note_fallback(item) for item in self._present]
        return any(new)

    def apply_plan(
        self, plan: software_plan.SoftwarePlan, era: int, version: int = 0
    ) -> None:
        """Applies the newest plan; remembers the recent ones.

        Args:
          plan: the plan.
          era: present era of the store. A plan of another era came back with
            a restore, and tells nothing of the streams that began before.
          version: version of the plan in the store.
        """
        complete_since_ms = plan.complete_since_ms
        if plan.era != era:
            complete_since_ms = self._now_ms()
        self._complete_since_ms = max(
            self._complete_since_ms, complete_since_ms
        )
        for service, shares in plan.services.items():
            self._apply_shares(service, shares, version)
        self._present = plan.services
        for service in plan.services:
            self._note_fallback(service)

    def extend(self, unheard_since: float) -> None:
        """Applies that some daemons are not heard since a clock time.

        They may go on with the plan that was in use when they were heard last.
        """
        now = self._clock.now()
        for period in itertools.chain.from_iterable(
            periods.values() for periods in self._periods.values()
        ):
            if period.replaced_at >= unheard_since:
                period.ended_at = max(period.ended_at, now)

    def extend_unconfirmed(self, oldest_plan: int) -> bool:
        """Applies that some daemons may still use an older plan.

        Args:
          oldest_plan: version of the oldest plan in use, 0 if it is not known.

        Returns:
          Whether the plan of this daemon is newer.
        """
        now = self._clock.now()
        unconfirmed = [
            period
            for periods in self._periods.values()
            for period in periods.values()
            if 0 < oldest_plan < period.replaced_by
        ]
        for period in unconfirmed:
            period.ended_at = max(period.ended_at, now)
        return bool(unconfirmed)

    def is_active(self, service: str, software: str) -> bool:
        """Returns whether a version has an active server."""
        return software in self._active.get(service, {})

    def usable_weights(self, service: str) -> Mapping[str, int]:
        """Returns the weights by which streams begin, empty without servers."""
        active = self._active.get(service, {})
        periods = self._present.get(service)
        weights = periods[-1].weights if periods else active
        usable = {name: x for name, x in weights.items() if name in active}
        return usable or active

    def planned(
        self, service: str, stream: str, max_age_s: float
    ) -> str | None:
        """Returns the version to which all plans assign a stream, if known.

        Args:
          service: the service of the stream.
          stream: name of the stream, "" if it is not known.
          max_age_s: longest time since it began.
        """
        periods = self._periods.get(service, {})
        since_ms = self._now_ms() - _MS_PER_S * max_age_s
        # A plan that a restore lost as a whole was written anew, and says
        # nothing of the time before.
        complete_since_ms = max(
            self._complete_since_ms, min(periods, default=math.inf)
        )
        if since_ms < complete_since_ms:
            return None
        found = self._assigned(stream, periods.values(), max_age_s)
        return found.pop() if len(found) == 1 else None

    def used(
        self, service: str, stream: str, max_age_s: float
    ) -> set[str | None]:
        """Returns the versions that a stream may have got beside the plan."""
        fallbacks = self._fallbacks.get(service, ())
        return self._assigned(stream, fallbacks, max_age_s)

    def _assigned(
        self, stream: str, periods: Iterable[_Period], max_age_s: float
    ) -> set[str | None]:
        since = self._clock.now() - max_age_s
        recent = [x.weights for x in periods if x.ended_at >= since]
        if stream:
            return {software_plan.assign(stream, x) for x in recent}
        return {name for weights in recent for name in weights}

    def _note_fallback(self, service: str) -> bool:
        """Records what streams use instead of the plan; returns if it is new.

        The next plan may be written late, or never if the servers are back
        before.
        """
        now = self._clock.now()
        oldest = now - software_plan.HISTORY_MS / _MS_PER_S
        usable = self.usable_weights(service)
        periods = self._present.get(service)
        planned = periods[-1].weights if periods else {}
        fallbacks = [
            item
            for item in self._fallbacks.get(service, ())
            if item.ended_at >= oldest
        ]
        for item in fallbacks:
            item.ended_at = min(item.ended_at, now)
        self._fallbacks[service] = fallbacks
        if not usable or usable.keys() == planned.keys():
            return False
        known = [x for x in fallbacks if x.weights == usable]
        for item in known:
            item.ended_at = math.inf
        if not known:
            fallbacks.append(_Period(usable))
        return not known

    def _apply_shares(
        self,
        service: str,
        shares: Sequence[software_plan.Shares],
        version: int,
    ) -> None:
        """Applies the periods of a service.

        A plan says that a period ended when its successor was written. The
        write may take effect later, so a period that was in use here until now
        ends now.
        """
        now, now_ms = self._clock.now(), self._now_ms()
        periods = self._periods.setdefault(service, {})
        noticed = {
            item.since_ms: now_ms
            for item in shares
            if item.since_ms in periods
            and periods[item.since_ms].ended_at == math.inf
            and item.ended_ms
        }
        # Another daemon that stopped sooner may have written its own end.
        late_ends = {**self._late_ends.get(service, {}), **noticed}
        self._late_ends[service] = {
            item.since_ms: late_ends[item.since_ms]
            for item in shares
            if item.since_ms in late_ends
            and 0 < item.ended_ms < late_ends[item.since_ms] - _LATE_MS
        }
        for period in periods.values():
            # A restore of the store may have lost the period.
            period.ended_at = min(period.ended_at, now)
            period.replaced_at = min(period.replaced_at, now)
        for item in shares:
            period = periods.setdefault(
                item.since_ms, _Period(item.weights, -math.inf, -math.inf)
            )
            stated_at = now - (now_ms - item.ended_ms) / _MS_PER_S
            if not item.ended_ms:
                stated_at = math.inf
            period.ended_at = max(period.ended_at, stated_at)
            period.replaced_at = max(period.replaced_at, stated_at)
        present_ms = shares[-1].since_ms if shares else None
        for since_ms, period in periods.items():
            if since_ms != present_ms:
                period.replaced_by = period.replaced_by or version
        oldest = now - software_plan.HISTORY_MS / _MS_PER_S
        self._periods[service] = {
            since_ms: period
            for since_ms, period in periods.items()
            if period.ended_at >= oldest
        }

    def _now_ms(self) -> int:
        return round(self._clock.wall() * _MS_PER_S)
