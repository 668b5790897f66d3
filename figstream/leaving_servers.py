"""Tells every daemon which backend servers are leaving or draining.

The daemon that orders a zone's servers sees it first; a notice reaches the
others well before a change of the configuration would.
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
# Seconds; a third of the time that a notice lasts.
REPEAT_S: Final = 15.0
# Seconds that a notice lasts.
_TTL_S: Final = 45.0
# Bytes of names in one notice.
_NAMES_BYTES: Final = 800
# Characters of a name.
_NAME_LIMIT: Final = 120
# Names kept.
_MAX_NAMES: Final = 4096
# Seconds between looks at names that lapse.
_LOOK_S: Final = 5.0


class LeavingListener(Protocol):
    """What leaves the announced servers out."""

    def set_leaving(self, servers: frozenset[str]) -> None:
        """Takes note of all servers that are leaving now."""


class LeavingServers:
    """The servers that this daemon gives no new work; a `Role`."""

    def __init__(
        self,
        listener: LeavingListener,
        notices: notices_lib.Notices,
        clock: clock_lib.Clock,
    ) -> None:
        """Starts with none."""
        self._listener = listener
        self._notices = notices
        self._clock = clock
        self._until: dict[str, float] = {}
        self._told: frozenset[str] = frozenset()
        self._announced: frozenset[str] = frozenset()
        self._announced_at = float("-inf")
        notices.subscribe(KIND, self.hear)

    async def run(self) -> None:
        """Forgets servers that are no longer announced."""
        while True:
            self._tell()
            await self._clock.sleep(_LOOK_S)

    async def hand_over(self) -> None:
        """Does nothing; what was announced expires."""

    def announce(self, zone: str, names: frozenset[str]) -> None:
        """Tells all daemons, at once if there are new ones."""
        age_s = self._clock.now() - self._announced_at
        if not names - self._announced and age_s < REPEAT_S:
            return
        self._announced = names
        self._announced_at = self._clock.now()
        for group in _groups(sorted(names)):
            message = leaving_pb2.LeavingServers(zone=zone, names=group)
            self._notices.publish(KIND, message.SerializeToString(), _TTL_S)
        self._add(names)

    def hear(self, payload: bytes) -> None:
        """Takes in a notice."""
        try:
            message = leaving_pb2.LeavingServers.FromString(payload)
        except protobuf_message.DecodeError:
            return
        self._add(message.names)

    def _add(self, names: Iterable[str]) -> None:
        until = self._clock.now() + _TTL_S
        room = itertools.islice(names, max(0, _MAX_NAMES - len(self._until)))
        self._until |= dict.fromkeys(room, until)
        self._tell()

    def _tell(self) -> None:
        now = self._clock.now()
        self._until = {
            name: until for name, until in self._until.items() if until > now
        }
        names = frozenset(self._until)
        if names != self._told:
            self._told = names
            self._listener.set_leaving(names)


def _groups(names: Iterable[str]) -> Iterable[list[str]]:
    group: list[str] = []
    size = 0
    for name in names:
        if len(name) > _NAME_LIMIT:
            continue
        if size + len(name) > _NAMES_BYTES:
            yield group
            group, size = [], 0
        group.append(name)
        size += len(name)
    if group:
        yield group
