"""Tells other daemons which software versions began this daemon's streams.

Only streams whose version does not follow from the shared plans are told, which
are those that begin or run while the plan changes. They are told in batches of
one notice; in a large fleet each daemon waits longer between them.
"""

from collections.abc import Callable
from typing import Final

import anyio
import attrs

from figstream import clock as clock_lib
from figstream import errors
from figstream import logs
from figstream import notices as notices_lib
from figstream import serialization
from figstream import stream_software

_KIND: Final = "stream_software"
# Streams are resumed within half a minute.
_TTL_S: Final = 30.0
# Shortest time between two notices, below the time in which a caller resumes a
# stream whose daemon was killed.
_INTERVAL_S: Final = 0.25
# Notices a second of all daemons together.
_FLEET_RATE_PER_S: Final = 60.0
_KEY_HEX_DIGITS: Final = 16
# Keys that fit into one notice beside the name of a version.
_MAX_STREAMS: Final = 48


@attrs.frozen
class BegunStreams:
    """Streams that one software version began.

    Attributes:
      software: the software version.
      keys: keys of the streams, in hexadecimal with a fixed number of digits.
    """

    software: str
    keys: str


class StreamSoftwareSpread:
    """Publishes and applies the versions of streams; a `Role`."""

    def __init__(
        self,
        streams: stream_software.StreamSoftware,
        notices: notices_lib.Notices,
        clock: clock_lib.Clock,
        daemon_count: Callable[[], int],
    ) -> None:
        """Subscribes to both sides.

        Args:
          streams: the streams of this daemon.
          notices: the notices of the daemon.
          clock: source of the time between two notices.
          daemon_count: returns the number of live daemons.
        """
        self._streams = streams
        self._notices = notices
        self._clock = clock
        self._daemon_count = daemon_count
        self._pending = anyio.Event()
        streams.subscribe(self._note_pending)
        notices.subscribe(_KIND, self._apply_notice)

    async def run(self) -> None:
        """Publishes what is pending, in batches, until cancelled."""
        while True:
            await self._pending.wait()
            self._pending = anyio.Event()
            interval_s = max(
                _INTERVAL_S, self._daemon_count() / _FLEET_RATE_PER_S
            )
            while self.publish_pending():
                await self._clock.sleep(interval_s)

    async def hand_over(self) -> None:
        """Publishes what is not published yet."""
        self.publish_pending()

    def publish_pending(self) -> bool:
        """Publishes one notice; returns whether there was anything to tell."""
        taken = self._streams.take_pending(_MAX_STREAMS)
        if not taken:
            return False
        keys = "".join(f"{item.key:0{_KEY_HEX_DIGITS}x}" for item in taken)
        payload = serialization.to_json(BegunStreams(taken[0].software, keys))
        if not self._notices.publish(_KIND, payload, _TTL_S):
            logs.info("stream_software_dropped", streams=len(taken))
        return True

    def _note_pending(self) -> None:
        self._pending.set()

    def _apply_notice(self, payload: bytes) -> None:
        try:
            begun = serialization.from_json(payload, BegunStreams)
            keys = [
                int(begun.keys[at : at + _KEY_HEX_DIGITS], 16)
                for at in range(0, len(begun.keys), _KEY_HEX_DIGITS)
            ]
        except (errors.ConfigurationError, ValueError) as error:
            logs.warning("stream_software_unreadable", detail=str(error))
            return
        self._streams.learn(
            stream_software.KnownStream(key, begun.software) for key in keys
        )
