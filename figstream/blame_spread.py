"""Propagates crash blame to the other daemons as notices.

New blame entries are published within `PUBLISH_INTERVAL_S`; the notice then
travels from neighbour to neighbour, one hop each.
"""

from collections.abc import Sequence
from typing import Final

import anyio
import attrs

from figstream import blame as blame_lib
from figstream import clock as clock_lib
from figstream import errors
from figstream import logs
from figstream import notices as notices_lib
from figstream import serialization

# Shorter than the time until a caller retries a request.
PUBLISH_INTERVAL_S: Final = 0.1
# Enough for a notice to reach every live daemon.
_NOTICE_TTL_S: Final = 60.0
_KIND: Final = "blame"


@attrs.frozen
class BlameDigest:
    """The payload of a blame notice."""

    entries: tuple[blame_lib.BlameEntry, ...]


class BlameSpread:
    """Publishes local blame entries and applies those of other daemons."""

    def __init__(
        self,
        blame: blame_lib.CrashBlame,
        notices: notices_lib.Notices,
        clock: clock_lib.Clock,
    ) -> None:
        """Subscribes to the blame notices of other daemons."""
        self._blame = blame
        self._notices = notices
        self._clock = clock
        self._unpublished: Sequence[blame_lib.BlameEntry] = ()
        self._pending = anyio.Event()
        blame.subscribe(self._note_pending)
        notices.subscribe(_KIND, self._apply_notice)

    async def run(self) -> None:
        """Publishes new entries in batches until cancelled."""
        while True:
            await self._pending.wait()
            self._pending = anyio.Event()
            await self._clock.sleep(PUBLISH_INTERVAL_S)
            while self.publish_pending():
                await self._clock.sleep(PUBLISH_INTERVAL_S)

    async def hand_over(self) -> None:
        """Publishes entries that are not published yet."""
        self.publish_pending()

    def publish_pending(self) -> bool:
        """Publishes pending entries, at most as many as a notice holds.

        Returns:
          Whether there were any entries.
        """
        now = self._clock.now()
        entries = self._unpublished or self._blame.digest(now)
        if not entries:
            return False
        payload = serialization.to_json(BlameDigest(tuple(entries)))
        sent = self._notices.publish(_KIND, payload, _NOTICE_TTL_S)
        self._unpublished = () if sent else entries
        return True

    def _note_pending(self) -> None:
        self._pending.set()

    def _apply_notice(self, payload: bytes) -> None:
        try:
            digest = serialization.from_json(payload, BlameDigest)
        except errors.ConfigurationError:
            logs.warning("blame_notice_malformed", size_bytes=len(payload))
            return
        self._blame.merge(digest.entries, self._clock.now())
