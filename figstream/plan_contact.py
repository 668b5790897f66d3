"""Tells the streams of a daemon whether their plan may differ from others'.

The plan of software versions spreads among daemons that hear each other, and
through the store. A daemon that is cut off goes on with the plan that it had.
`stream_software` therefore needs to know which daemons are not heard, and
whether this daemon is cut off itself: it does not reach the store, and does not
hear a daemon that may reach it.
"""

from typing import Final

from figstream import clock as clock_lib
from figstream import membership
from figstream import membership_api
from figstream import object_follower
from figstream import stream_software

# Well below the time that a plan may take to reach all daemons.
_INTERVAL_S: Final = 0.25


class PlanContact:
    """Applies the contact of this daemon; a `daemon_context.Role`."""

    def __init__(
        self,
        streams: stream_software.StreamSoftware,
        members: membership.Membership,
        followers: tuple[object_follower.ObjectFollower, ...],
        clock: clock_lib.Clock,
    ) -> None:
        """Initializes the role.

        Args:
          streams: the streams of this daemon.
          members: the live daemons.
          followers: followers whose calls show whether the store is reached.
          clock: time source.
        """
        self._streams = streams
        self._members = members
        self._followers = followers
        self._clock = clock
        self._store_lost_at: float | None = None

    async def run(self) -> None:
        """Applies the present contact repeatedly, until cancelled."""
        while True:
            contact = self._members.contact
            self._streams.apply_contact(
                contact, may_be_outdated=self._may_be_outdated(contact)
            )
            await self._clock.sleep(_INTERVAL_S)

    async def hand_over(self) -> None:
        """Does nothing, since this role has nothing to hand over."""

    def _may_be_outdated(self, contact: membership_api.Contact) -> bool:
        """Returns whether other daemons may have a newer plan.

        While the store is lost for all daemons, nobody writes a new plan. Only
        after the time of detection is it certain that all are heard.
        """
        if not any(item.failing for item in self._followers):
            self._store_lost_at = None
            return False
        now = self._clock.now()
        if self._store_lost_at is None:
            self._store_lost_at = now
        all_heard = contact.unheard_since is None
        return not all_heard or now - self._store_lost_at < contact.detection_s
