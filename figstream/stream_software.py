"""Decides at which software version a stream may run.

A stream may go on only at the software version of the backend server that began
it. The request path asks for the version of each resumable stream before its
dispatch. A new stream gets the version that the shared plan assigns to its id.
A stream that its caller takes up again, perhaps at another daemon, gets the
version that all plans of the recent past assign to it. If they differ, its
version is known only if the daemon that began the stream has told the others.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
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
from figstream import software_history
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
# A daemon whose contact was not applied for so long was paused.
_MAX_CONTACT_AGE_S: Final = 1.0
# A crashed server is back in about that time.
_RETRY_AFTER_S: Final = 2.0
_R = reasons.RefusalReason


@attrs.frozen
class Stream:
    """A stream over all attempts of its caller.

    Attributes:
      name: id of the caller's attempt that brought the first event.
      service: the service that runs the stream.
      timeout_s: time limit of its route, in seconds.
      left_s: seconds for which the caller still waits.
      route: name of its route.
    """

    name: str
    service: str
    timeout_s: float
    left_s: float
    route: str = ""

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

    async def prepare_to_resume(self, stream: Stream) -> None:
        """Makes sure that `for_resumed` decides by the newest plan."""

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

    async def prepare_to_resume(self, stream: Stream) -> None:
        """Does nothing, since there is no plan."""

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
        self._limits = recent_limits.RecentLimits(clock)
        self._history = software_history.SoftwareHistory(clock)
        self._known: dict[int, str] = {}
        self._recent: dict[int, _BegunStream] = {}
        self._contact = membership_api.Contact()
        self._contact_at = math.inf
        self._may_be_outdated = False
        self._others_behind = False
        self._read_plan: Callable[[], Awaitable[None]] | None = None
        self._pending: dict[int, str] = {}
        self._listeners: list[Callable[[], None]] = []

    @property
    def history(self) -> software_history.SoftwareHistory:
        """Returns by which shares streams have begun."""
        return self._history

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Calls the listener when versions wait for `take_pending`."""
        self._listeners.append(listener)

    def set_plan_reader(self, read: Callable[[], Awaitable[None]]) -> None:
        """Sets the function that reads the newest plan."""
        self._read_plan = read

    def update_servers(
        self, servers: Iterable[backend_server.BackendServer]
    ) -> None:
        """Applies the present backend servers."""
        if self._history.update_servers(servers):
            self._tell_recent()

    def update_limits(self, limits_s: Mapping[str, float]) -> None:
        """Applies the time limits of routes, in seconds by route."""
        self._limits.update(limits_s)

    def apply_plan(
        self, plan: software_plan.SoftwarePlan, era: int = 0, version: int = 0
    ) -> None:
        """Applies the newest plan.

        Args:
          plan: the plan.
          era: present era of the store.
          version: version of the plan in the store.
        """
        self._history.apply_plan(plan, era, version)
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
        if since is not None:
            self._history.extend(since)
        behind = self._history.extend_unconfirmed(contact.oldest_plan)
        worse = (
            may_be_outdated > self._may_be_outdated
            or behind > self._others_behind
            or (
                since is not None
                and since < (self._contact.unheard_since or math.inf)
            )
        )
        if worse or (since is None) != (self._contact.unheard_since is None):
            logs.info(
                "plan_contact",
                unheard_s=round(now - since, 1) if since is not None else 0,
                outdated=may_be_outdated,
                others_behind=behind,
            )
        self._others_behind = behind
        self._contact = contact
        self._contact_at = now
        self._may_be_outdated = may_be_outdated
        if worse:
            self._tell_recent()

    def for_new(self, stream: Stream) -> str | None:
        """Returns the version at which a stream begins, None for any."""
        return software_plan.assign(
            stream.name, self._history.usable_weights(stream.service)
        )

    async def prepare_to_resume(self, stream: Stream) -> None:
        """Makes sure that `for_resumed` decides by the newest plan.

        Another plan may be in use since the stream began, of which this daemon
        has not heard yet.
        """
        known = stream.name and stream.key in self._known
        if self._read_plan and not known:
            await self._read_plan()

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
        active = software is not None and self._history.is_active(
            stream.service, software
        )
        if active and source == "plan":
            software = self._certain(stream)
        if software is None:
            self._metrics.event("stream_software_unknown")
            return errors.Refusal(
                _R.STREAM_SOFTWARE_UNKNOWN,
                detail=f"stream {stream.name}",
                retry_after_s=_RETRY_AFTER_S,
            )
        if not active:
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
        used = self._history.used(
            stream.service, stream.name, self._max_age_s(stream)
        )
        return software if used <= {software} else None

    def _planned(self, stream: Stream) -> str | None:
        """Returns the version to which all plans assign a stream, if known."""
        contact_age_s = self._clock.now() - self._contact_at
        if self._may_be_outdated or contact_age_s > _MAX_CONTACT_AGE_S:
            return None
        return self._history.planned(
            stream.service, stream.name, self._max_age_s(stream)
        )

    def _max_age_s(self, stream: Stream) -> float:
        """Returns the longest time since a stream began by a plan.

        A plan may have been in use at some daemons for a little longer.
        """
        limit_s = max(stream.timeout_s, self._limits.largest_s(stream.route))
        age_s = max(0.0, _PATIENCE_RATIO * limit_s - stream.left_s)
        return age_s + _SLACK_S
