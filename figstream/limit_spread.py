"""Passes the limits of backend servers between daemons.

A daemon that reads in an answer that a limit begins, changes or ends publishes
a notice. The others need not send a request to the server to hear of it.
"""

from typing import Final

from figstream import errors
from figstream import limit_announcements
from figstream import logs
from figstream import notices as notices_lib
from figstream import serialization

_KIND: Final = "server_limit"
# Daemons that join within this time learn of the limit.
_TTL_S: Final = 60.0


class LimitSpread:
    """Publishes the changes of limits and applies those of other daemons."""

    def __init__(
        self,
        limits: limit_announcements.LimitAnnouncements,
        notices: notices_lib.Notices,
    ) -> None:
        """Subscribes to both sides."""
        self._limits = limits
        self._notices = notices
        limits.subscribe(self._publish)
        notices.subscribe(_KIND, self._apply_notice)

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
    notices: notices_lib.Notices,
) -> LimitSpread:
    """Connects the limits of one daemon to its notices.

    The subscriptions keep the object alive.
    """
    return LimitSpread(limits, notices)
