"""Tells all daemons which one seals usage windows.

The lease on sealing goes to a daemon that ranked first in its own view, often
that of its first seconds, so that the others would probe the fleet for it. The
sealing daemon publishes a notice when it begins and again at intervals, for
daemons that joined since.
"""

from collections.abc import Callable
from typing import Final

from figstream import clock as clock_lib
from figstream import logs
from figstream import notices as notices_lib

_KIND: Final = "sealing"
# A daemon that joins learns the sealing daemon within a usage window.
_REPUBLISH_INTERVAL_S: Final = 5.0
# Three intervals, so that a lost notice does not matter.
_TTL_S: Final = 15.0
_MAX_NAME_BYTES: Final = 200


class SealingNotices:
    """Publishes and receives the name of the sealing daemon."""

    def __init__(
        self,
        own_name: str,
        notices: notices_lib.Notices,
        clock: clock_lib.Clock,
    ) -> None:
        """Initializes without a listener; nothing is published yet."""
        self._own_name = own_name
        self._notices = notices
        self._clock = clock
        self._published_epoch = ""
        self._published_at = float("-inf")

    def subscribe(self, listener: Callable[[str], None]) -> None:
        """Calls the listener with the name in each received notice."""

        def receive(payload: bytes) -> None:
            if len(payload) > _MAX_NAME_BYTES:
                logs.warning("sealing_notice_too_long", size_bytes=len(payload))
                return
            listener(payload.decode(errors="replace"))

        self._notices.subscribe(_KIND, receive)

    def publish(self, epoch: str) -> None:
        """Publishes that this daemon seals, unless it did so recently.

        Args:
          epoch: id of the present term of sealing, "" if it does not seal.
        """
        now = self._clock.now()
        recent = now - self._published_at < _REPUBLISH_INTERVAL_S
        if not epoch or (epoch == self._published_epoch and recent):
            return
        if self._notices.publish(_KIND, self._own_name.encode(), _TTL_S):
            self._published_epoch = epoch
            self._published_at = now


def make_sealing_notices(
    own_name: str, notices: notices_lib.Notices, clock: clock_lib.Clock
) -> SealingNotices:
    """Creates the notices of one daemon."""
    return SealingNotices(own_name, notices, clock)
