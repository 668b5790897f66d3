"""Spreads crash blame to the other daemons as notices.

A finding leaves within `TELL_INTERVAL_S`; a notice then takes one hop for
each neighbour on its way.
"""

from collections.abc import Sequence
from typing import Final

import attrs

from figstream import blame as blame_lib
from figstream import clock as clock_lib
from figstream import errors
from figstream import logs
from figstream import notices as notices_lib
from figstream import serialization

# Seconds; below the time in which a caller repeats a request.
TELL_INTERVAL_S: Final = 0.1
# Seconds in which a notice has reached every live daemon.
_NOTICE_TTL_S: Final = 60.0
_KIND: Final = "blame"


@attrs.frozen
class BlameDigest:
    """The payload of a notice."""

    entries: tuple[blame_lib.BlameEntry, ...]


class BlameSpread:
    """Tells other daemons what is held against requests, and hears them."""

    def __init__(
        self,
        blame: blame_lib.CrashBlame,
        notices: notices_lib.Notices,
        clock: clock_lib.Clock,
    ) -> None:
        """Subscribes to the notices of other daemons."""
        self._blame = blame
        self._notices = notices
        self._clock = clock
        self._untold: Sequence[blame_lib.BlameEntry] = ()
        notices.subscribe(_KIND, self._hear)

    async def run(self) -> None:
        """Tells what was found until cancelled."""
        while True:
            await self._clock.sleep(TELL_INTERVAL_S)
            self.tell()

    async def hand_over(self) -> None:
        """Tells what was found and not told yet."""
        self.tell()

    def tell(self) -> None:
        """Publishes the findings that wait, up to the bound of a notice."""
        now = self._clock.now()
        entries = self._untold or self._blame.digest(now)
        if not entries:
            return
        payload = serialization.to_json(BlameDigest(tuple(entries)))
        sent = self._notices.publish(_KIND, payload, _NOTICE_TTL_S)
        self._untold = () if sent else entries

    def _hear(self, payload: bytes) -> None:
        try:
            digest = serialization.from_json(payload, BlameDigest)
        except errors.ConfigurationError:
            logs.warning("blame_notice_malformed", size_bytes=len(payload))
            return
        self._blame.merge(digest.entries, self._clock.now())
