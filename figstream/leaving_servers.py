"""Propagates which backend servers are leaving or draining to every daemon.

The daemon that orders a zone's servers learns of a departure first. A notice
reaches the other daemons well before a change of the configuration would.
"""

from collections.abc import Iterable
import itertools
from typing import Final
from typing import Protocol

from google.protobuf import message as protobuf_message

from figstream import clock as clock_lib
from figstream import notices as notices_lib
from figstream.rpc import leaving_pb2

KIND: Final = "leaving"
# A third of `_TTL_S`, so that a server stays listed if a notice is lost.
REPUBLISH_INTERVAL_S: Final = 15.0
_TTL_S: Final = 45.0
# Total length of the names in one notice.
_MAX_NAMES_BYTES: Final = 800
# Longer names are not announced.
_MAX_NAME_LENGTH: Final = 120
# Bounds the memory for announced names.
_MAX_NAMES: Final = 4096
# Interval of checks for expired names.
_CHECK_INTERVAL_S: Final = 5.0


class LeavingListener(Protocol):
    """A receiver of the set of leaving servers, such as server health."""

    def set_leaving(self, servers: frozenset[str]) -> None:
        """Stores the set of all servers that are leaving now."""


class LeavingServers:
    """The leaving servers that all daemons have announced; a `Role`."""

    def __init__(
        self,
        listener: LeavingListener,
        notices: notices_lib.Notices,
        clock: clock_lib.Clock,
    ) -> None:
        """Initializes an empty set and subscribes to notices."""
        self._listener = listener
        self._notices = notices
        self._clock = clock
        self._expires_at: dict[str, float] = {}
        self._notified: frozenset[str] = frozenset()
        self._announced: frozenset[str] = frozenset()
        self._announced_at = float("-inf")
        notices.subscribe_lasting(KIND, self.receive)

    async def run(self) -> None:
        """Evicts servers that are no longer announced, until cancelled."""
        while True:
            self._notify_listener()
            await self._clock.sleep(_CHECK_INTERVAL_S)

    async def hand_over(self) -> None:
        """Does nothing, since announced names expire."""

    def announce(self, zone: str, names: frozenset[str]) -> None:
        """Publishes a zone's leaving servers to all daemons.

        New names are published at once, and all names again after
        `REPUBLISH_INTERVAL_S`.
        """
        age_s = self._clock.now() - self._announced_at
        if not names - self._announced and age_s < REPUBLISH_INTERVAL_S:
            return
        self._announced = names
        self._announced_at = self._clock.now()
        for group in _batches(sorted(names)):
            message = leaving_pb2.LeavingServers(zone=zone, names=group)
            self._notices.publish(KIND, message.SerializeToString(), _TTL_S)
        self._add(names, _TTL_S)

    def receive(self, payload: bytes, left_s: float) -> None:
        """Applies a notice of another daemon.

        Args:
          payload: the notice's payload.
          left_s: seconds until the names in it expire.
        """
        try:
            message = leaving_pb2.LeavingServers.FromString(payload)
        except protobuf_message.DecodeError:
            return
        self._add(message.names, left_s)

    def _add(self, names: Iterable[str], left_s: float) -> None:
        expires_at = self._clock.now() + left_s
        accepted = itertools.islice(
            names, max(0, _MAX_NAMES - len(self._expires_at))
        )
        self._expires_at |= {
            name: max(expires_at, self._expires_at.get(name, 0.0))
            for name in accepted
        }
        self._notify_listener()

    def _notify_listener(self) -> None:
        now = self._clock.now()
        self._expires_at = {
            name: expires_at
            for name, expires_at in self._expires_at.items()
            if expires_at > now
        }
        names = frozenset(self._expires_at)
        if names != self._notified:
            self._notified = names
            self._listener.set_leaving(names)


def _batches(names: Iterable[str]) -> Iterable[list[str]]:
    group: list[str] = []
    size = 0
    for name in names:
        if len(name) > _MAX_NAME_LENGTH:
            continue
        if size + len(name) > _MAX_NAMES_BYTES:
            yield group
            group, size = [], 0
        group.append(name)
        size += len(name)
    if group:
        yield group
