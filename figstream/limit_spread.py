"""Passes the limits of backend servers between daemons.

A daemon that reads in an answer that a limit begins, changes or ends publishes
a notice. The others need not send a request to the server to hear of it. One
daemon repeats the limits that last, for daemons that start later.
"""

from collections.abc import Callable
from typing import Final

from figstream import clock as clock_lib
from figstream import errors
from figstream import first_member
from figstream import limit_announcements
from figstream import logs
from figstream import membership
from figstream import notices as notices_lib
from figstream import serialization

_KIND: Final = "server_limit"
_TTL_S: Final = 60.0
# Shorter than the life of a notice, so that a daemon that starts always
# receives one.
REPEAT_INTERVAL_S: Final = 45.0


class LimitSpread:
    """Publishes limits and applies those of other daemons; a `Role`."""

    def __init__(
        self,
        limits: limit_announcements.LimitAnnouncements,
        notices: notices_lib.Notices,
        clock: clock_lib.Clock,
        repeats: Callable[[], bool],
    ) -> None:
        """Subscribes to both sides.

        Args:
          limits: the limits that this daemon knows of.
          notices: the notices of the daemon.
          clock: source of the time between repeats.
          repeats: returns whether this daemon repeats the limits.
        """
        self._limits = limits
        self._notices = notices
        self._clock = clock
        self._repeats = repeats
        limits.subscribe(self._publish)
        notices.subscribe(_KIND, self._apply_notice)

    async def run(self) -> None:
        """Repeats the limits that last, until cancelled."""
        while True:
            await self._clock.sleep(REPEAT_INTERVAL_S)
            self.repeat()

    async def hand_over(self) -> None:
        """Does nothing; the next daemon in order repeats from now on."""

    def repeat(self) -> None:
        """Publishes all present limits if this daemon is to do so."""
        if self._repeats():
            for limit in self._limits.present:
                self._publish(limit)

    def _publish(self, limit: limit_announcements.ServerLimit) -> None:
        self._notices.publish(_KIND, serialization.to_json(limit), _TTL_S)

    def _apply_notice(self, payload: bytes) -> None:
        try:
            limit = serialization.from_json(
                payload, limit_announcements.ServerLimit
            )
        except errors.ConfigurationError as error:
            logs.warning("limit_notice_unreadable", detail=str(error))
            return
        self._limits.receive_from_peer(limit)


def make_limit_spread(
    limits: limit_announcements.LimitAnnouncements,
    members: membership.Membership,
    clock: clock_lib.Clock,
) -> LimitSpread:
    """Connects the limits of one daemon to its notices."""
    repeats = first_member.make_is_first(members, "server_limits")
    return LimitSpread(limits, members.notices, clock, repeats)
