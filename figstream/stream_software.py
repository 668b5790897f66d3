"""Decides at which software version a stream may run.

A stream may go on only at the software version of the backend server that began
it. The request path asks for the version of each resumable stream before its
dispatch. A new stream gets the version that the shared plan assigns to its id.
A stream that its caller takes up again, perhaps at another daemon, gets the
version that all plans of the recent past assign to it. If they differ, its
version is known only if the daemon that began the stream has told the others.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import itertools
import math
from typing import Final
from typing import Protocol

import attrs
import xxhash

from figstream import backend_server
from figstream import bounded_records
from figstream import clock as clock_lib
from figstream import errors
from figstream import logs
from figstream import membership_api
from figstream import metrics as metrics_lib
from figstream import reasons
from figstream import recent_limits
from figstream import software_plan

# Differences between the clocks of daemons, and the time for a new plan to
# reach all daemons that are in contact.
_SLACK_S: Final = 3.0
# Callers may wait longer than the present time limit of their route, which
# operators change.
_PATIENCE_RATIO: Final = 1.5
# Streams whose versions are recorded; those that a large fleet begins within
# half a minute.
_MAX_KNOWN_STREAMS: Final = 65_536
# Streams that are told again when plans turn out to disagree about them.
_MAX_RECENT_STREAMS: Final = 8_192
# Streams whose versions wait for a notice; those of a minute of notices.
_MAX_PENDING_STREAMS: Final = 4_096
# Learning a plan later than this after it was written is no usual delay.
_LATE_MS: Final = 1_000
# A daemon whose contact was not applied for so long was paused.
_MAX_CONTACT_AGE_S: Final = 1.0
# A crashed server is back in about that time.
_RETRY_AFTER_S: Final = 2.0
_MS_PER_S: Final = 1000.0
_R = reasons.RefusalReason


@attrs.frozen
class Stream:
    """A stream over all attempts of its caller.

    Attributes:
      name: id of the caller's attempt that brought the first event.
      service: the service that runs the stream.
      timeout_s: time limit of its route, in seconds.
      left_s: seconds for which the caller still waits.
    """

    name: str
    service: str
    timeout_s: float
    left_s: float

    @property
    def key(self) -> int:
        """Returns a hash that identifies the stream among daemons."""
        return xxhash.xxh3_64_intdigest(f"{self.service}\n{self.name}".encode())


@attrs.frozen
class KnownStream:
    """The software version that began a stream, by the key of the stream."""

    key: int
    software: str


@attrs.define
class _Period:
    """Shares of the versions that daemons use or used.

    Attributes:
      weights: weight of each version.
      ended_at: time until which a daemon may have used them, in clock seconds.
      replaced_at: time at which daemons in contact stopped using them.
    """

    weights: Mapping[str, int]
    ended_at: float = math.inf
    replaced_at: float = math.inf


@attrs.define
class _BegunStream:
    """A stream that this daemon began.

    Attributes:
      stream: the stream.
      software: the version that began it.
      forget_at: clock time after which no caller resumes it.
    """

    stream: Stream
    software: str
    forget_at: float = math.inf


class StreamVersions(Protocol):
    """The software versions of streams, as the request path needs them."""

    def for_new(self, stream: Stream) -> str | None:
        """Returns the version at which a stream begins, None for any."""

    def for_resumed(self, stream: Stream) -> str | errors.Refusal:
        """Returns the only version at which a stream may go on."""

    def began(self, stream: Stream, software: str) -> None:
        """Records that the caller has the first event of a stream."""

    def ended(self, stream: Stream) -> None:
        """Records that this daemon no longer relays a stream."""


class AnyVersion:
    """Implements `StreamVersions` where streams stay at their server."""

    def for_new(self, stream: Stream) -> None:
        """Returns None, since any server may begin a stream."""

    def for_resumed(self, stream: Stream) -> str | errors.Refusal:
        """Refuses, since no other daemon can resume a stream."""
        return errors.Refusal(_R.STREAM_SOFTWARE_UNKNOWN)

    def began(self, stream: Stream, software: str) -> None:
        """Records nothing."""

    def ended(self, stream: Stream) -> None:
        """Records nothing."""


class StreamSoftware:
    """The software versions of the streams of a gateway.

    Implements `StreamVersions`.
    """

    def __init__(
        self, clock: clock_lib.Clock, metrics: metrics_lib.Metrics
    ) -> None:
        """Initializes without servers, plan and streams."""
        self._clock = clock
        self._metrics = metrics
        # Slots of the active servers, by service and version.
        self._active: dict[str, dict[str, int]] = {}
        self._limits = recent_limits.RecentLimits(clock)
        # By service and begin of the period in Unix milliseconds.
        self._periods: dict[str, dict[int, _Period]] = {}
        # Ends of periods that the plan states too early.
        self._late_ends: dict[str, dict[int, int]] = {}
        self._complete_since_ms = 0
        self._present: Mapping[str, tuple[software_plan.Shares, ...]] = {}
        # What daemons used while a planned version had no active server.
        self._fallbacks: dict[str, list[_Period]] = {}
        self._known: dict[int, str] = {}
        self._recent: dict[int, _BegunStream] = {}
        self._contact = membership_api.Contact()
        self._contact_at = math.inf
        self._may_be_outdated = False
        self._pending: dict[int, str] = {}
        self._listeners: list[Callable[[], None]] = []

    @property
    def late_ends(self) -> Mapping[str, Mapping[int, int]]:
        """Returns the ends of periods that the plan states too early.

        They are in Unix milliseconds, by service and begin of the period. A
        daemon that starts knows only what the plan states.
        """
        return self._late_ends

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Calls the listener when versions wait for `take_pending`."""
        self._listeners.append(listener)

    def update_servers(
        self, servers: Iterable[backend_server.BackendServer]
    ) -> None:
        """Applies the present backend servers."""
        active: dict[str, dict[str, int]] = {}
        for server in servers:
            if server.state is backend_server.ServerState.ACTIVE:
                slots = active.setdefault(server.service, {})
                slots[server.software] = (
                    slots.get(server.software, 0) + server.slots
                )
        self._active = active
        new = [self._note_fallback(item) for item in self._present]
        if any(new):
            self._tell_recent()

    def update_limits(self, limits_s: Mapping[str, float]) -> None:
        """Applies the largest time limits of routes, by service."""
        self._limits.update(limits_s)

    def apply_plan(
        self, plan: software_plan.SoftwarePlan, era: int = 0
    ) -> None:
        """Applies the newest plan; remembers the recent ones.

        Args:
          plan: the plan.
          era: present era of the store. A plan of another era came back with
            a restore, and tells nothing of the streams that began before.
        """
        now_ms = self._now_ms()
        complete_since_ms = plan.complete_since_ms
        if plan.era != era:
            complete_since_ms = now_ms
        self._complete_since_ms = max(
            self._complete_since_ms, complete_since_ms
        )
        for service, shares in plan.services.items():
            self._apply_shares(service, shares)
        self._present = plan.services
        for service in plan.services:
            self._note_fallback(service)
        self._tell_recent()

    def apply_contact(
        self, contact: membership_api.Contact, *, may_be_outdated: bool
    ) -> None:
        """Applies how far this daemon is in contact with the others.

        Args:
          contact: daemons that are not heard may go on with the plan that was
            in use when they were heard last.
          may_be_outdated: whether others may have a newer plan than this
            daemon.
        """
        since = contact.unheard_since
        now = self._clock.now()
        for period in itertools.chain.from_iterable(
            periods.values() for periods in self._periods.values()
        ):
            if since is not None and period.replaced_at >= since:
                period.ended_at = max(period.ended_at, now)
        worse = may_be_outdated > self._may_be_outdated or (
            since is not None
            and since < (self._contact.unheard_since or math.inf)
        )
        if worse or (since is None) != (self._contact.unheard_since is None):
            logs.info(
                "plan_contact",
                unheard_s=round(now - since, 1) if since is not None else 0,
                outdated=may_be_outdated,
            )
        self._contact = contact
        self._contact_at = now
        self._may_be_outdated = may_be_outdated
        if worse:
            self._tell_recent()

    def for_new(self, stream: Stream) -> str | None:
        """Returns the version at which a stream begins, None for any."""
        return software_plan.assign(
            stream.name, self._usable_weights(stream.service)
        )

    def for_resumed(self, stream: Stream) -> str | errors.Refusal:
        """Returns the only version at which a stream may go on.

        Returns:
          The version, or a refusal if the version is not certain or has no
          server.
        """
        software = self._known.get(stream.key) if stream.name else None
        source = "known"
        if software is None:
            software = self._planned(stream)
            source = "plan"
        active = self._active.get(stream.service, {})
        if software in active and source == "plan":
            software = self._certain(stream)
        if software is None:
            self._metrics.event("stream_software_unknown")
            return errors.Refusal(
                _R.STREAM_SOFTWARE_UNKNOWN,
                detail=f"stream {stream.name}",
                retry_after_s=_RETRY_AFTER_S,
            )
        if software not in active:
            self._metrics.event("stream_software_gone")
            return errors.Refusal(
                _R.STREAM_SOFTWARE_GONE,
                detail=f"stream {stream.name} software {software}",
                retry_after_s=_RETRY_AFTER_S,
            )
        logs.info(
            "stream_resumed",
            stream=stream.name,
            software=software,
            source=source,
        )
        return software

    def began(self, stream: Stream, software: str) -> None:
        """Records that the caller has the first event of a stream."""
        if not stream.name:
            return
        bounded_records.put(
            self._known, stream.key, software, _MAX_KNOWN_STREAMS
        )
        self._forget_old()
        begun = _BegunStream(stream, software)
        bounded_records.put(
            self._recent, stream.key, begun, _MAX_RECENT_STREAMS
        )
        self._tell_if_uncertain(stream, software)

    def ended(self, stream: Stream) -> None:
        """Records that this daemon no longer relays a stream."""
        begun = self._recent.get(stream.key)
        if begun:
            oldest = attrs.evolve(stream, left_s=0.0)
            begun.forget_at = self._clock.now() + self._max_age_s(oldest)

    def learn(self, found: Iterable[KnownStream]) -> None:
        """Records the versions of streams that other daemons began."""
        for item in found:
            bounded_records.put(
                self._known, item.key, item.software, _MAX_KNOWN_STREAMS
            )

    def take_pending(self, limit: int) -> list[KnownStream]:
        """Returns versions that other daemons can't derive, all of one kind.

        Args:
          limit: most streams to return; they all have the same version.
        """
        if not self._pending:
            return []
        software = next(iter(self._pending.values()))
        keys = [x for x, found in self._pending.items() if found == software]
        taken = keys[:limit]
        for key in taken:
            del self._pending[key]
        return [KnownStream(key, software) for key in taken]

    def _forget_old(self) -> None:
        """Forgets streams that ended, from the oldest on."""
        now = self._clock.now()
        while self._recent:
            key, oldest = next(iter(self._recent.items()))
            if oldest.forget_at > now:
                return
            del self._recent[key]

    def _tell_recent(self) -> None:
        now = self._clock.now()
        for begun in list(self._recent.values()):
            if begun.forget_at > now:
                self._tell_if_uncertain(begun.stream, begun.software)

    def _tell_if_uncertain(self, stream: Stream, software: str) -> None:
        """Tells other daemons of a stream unless the plans are enough."""
        oldest = attrs.evolve(stream, left_s=0.0)
        if self._certain(oldest) == software:
            return
        bounded_records.put(
            self._pending, stream.key, software, _MAX_PENDING_STREAMS
        )
        for listener in self._listeners:
            listener()

    def _certain(self, stream: Stream) -> str | None:
        """Returns the version that began a stream, None if it is not known."""
        software = self._planned(stream)
        since = self._clock.now() - self._max_age_s(stream)
        fallbacks = self._fallbacks.get(stream.service, ())
        used = _assigned(stream, fallbacks, since)
        return software if used <= {software} else None

    def _planned(self, stream: Stream) -> str | None:
        """Returns the version to which all plans assign a stream, if known."""
        periods = self._periods.get(stream.service, {})
        since_ms = self._now_ms() - _MS_PER_S * self._max_age_s(stream)
        # A plan that a restore lost as a whole was written anew, and says
        # nothing of the time before.
        complete_since_ms = max(
            self._complete_since_ms, min(periods, default=math.inf)
        )
        if self._may_be_outdated or since_ms < complete_since_ms:
            return None
        now = self._clock.now()
        if now - self._contact_at > _MAX_CONTACT_AGE_S:
            return None
        since = now - self._max_age_s(stream)
        found = _assigned(stream, periods.values(), since)
        return found.pop() if len(found) == 1 else None

    def _usable_weights(self, service: str) -> Mapping[str, int]:
        """Returns the weights by which streams begin, empty without servers."""
        active = self._active.get(service, {})
        periods = self._present.get(service)
        weights = periods[-1].weights if periods else active
        usable = {name: x for name, x in weights.items() if name in active}
        return usable or active

    def _note_fallback(self, service: str) -> bool:
        """Records what streams use instead of the plan; returns if it is new.

        The next plan may be written late, or never if the servers are back
        before.
        """
        now = self._clock.now()
        oldest = now - software_plan.HISTORY_MS / _MS_PER_S
        usable = self._usable_weights(service)
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
        self, service: str, shares: Sequence[software_plan.Shares]
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
        oldest = now - software_plan.HISTORY_MS / _MS_PER_S
        self._periods[service] = {
            since_ms: period
            for since_ms, period in periods.items()
            if period.ended_at >= oldest
        }

    def _max_age_s(self, stream: Stream) -> float:
        """Returns the longest time since a stream began by a plan.

        A plan may have been in use at some daemons for a little longer.
        """
        limit_s = max(stream.timeout_s, self._limits.largest_s(stream.service))
        age_s = max(0.0, _PATIENCE_RATIO * limit_s - stream.left_s)
        return age_s + _SLACK_S

    def _now_ms(self) -> int:
        return round(self._clock.wall() * _MS_PER_S)


def _assigned(
    stream: Stream, periods: Iterable[_Period], since: float
) -> set[str | None]:
    """Returns the versions at which a stream may have begun."""
    recent = [x.weights for x in periods if x.ended_at >= since]
    if stream.name:
        return {software_plan.assign(stream.name, x) for x in recent}
    return {name for weights in recent for name in weights}
