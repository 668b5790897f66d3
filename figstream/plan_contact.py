"""Tells the streams of a daemon whether their plan may differ from others'.

The plan of software versions spreads among daemons that hear each other, and
through the store. A daemon that is cut off goes on with the plan that it had.
`stream_software` therefore needs to know which daemons are not heard, and
whether this daemon is cut off itself: it does not reach the store, and does not
hear a daemon that may reach it.

A cut or a pause is noticed late. A daemon that resumes a stream by the plan
therefore first reads the plan from the store: an answer proves that no plan is
newer than the call, and so that none is newer than the stream.
"""

import math
from typing import Final

import anyio

from figstream import clock as clock_lib
from figstream import membership
from figstream import membership_api
from figstream import object_follower
from figstream import platform_api
from figstream import stream_software

# Well below the time that a plan may take to reach all daemons.
_INTERVAL_S: Final = 0.25
# A check that is later than this shows that the daemon was paused, and what it
# received meanwhile is read within the time below.
_PAUSE_S: Final = 1.0
_READ_S: Final = 1.0
# Shortest time between two calls that replace a watch of the plan. Each one is
# paid, and a store that refuses some calls is lost and regained many times.
_MIN_CALL_INTERVAL_S: Final = 5.0
# Time for which callers that resume streams are gathered for one call. Many
# come at once when another daemon has died.
_GATHER_S: Final = 0.02


class PlanContact:
    """Applies the contact of this daemon; a `daemon_context.Role`."""

    def __init__(
        self,
        streams: stream_software.StreamSoftware,
        members: membership.Membership,
        entries: object_follower.ObjectFollower,
        plans: object_follower.ObjectFollower,
        store: platform_api.ObjectFeed,
        clock: clock_lib.Clock,
    ) -> None:
        """Initializes the role.

        Args:
          streams: the streams of this daemon.
          members: the live daemons.
          entries: follows the backend servers; its watches are short, so it
            shows soon whether the store is reached.
          plans: follows the plan.
          store: feed of the store itself, not through other daemons.
          clock: time source.
        """
        self._streams = streams
        self._members = members
        self._entries = entries
        self._plans = plans
        self._store = store
        self._clock = clock
        self._store_lost_at: float | None = None
        # Whether a watch of the plan waited while the store was not reached.
        self._watched = False
        self._called_at = -math.inf
        self._checked_at = clock.now()
        self._read_at = -math.inf
        self._reading = anyio.Lock()
        # When the last read that was answered was sent, and when the last one
        # was that was not, unless other calls were answered since.
        self._answered_at = -math.inf
        self._unanswered_at: float | None = None
        # Callers come back as soon as a daemon has started.
        for follower in (entries, plans):
            follower.subscribe_confirmed(self._note_confirmed)
        streams.set_plan_reader(self.read_newest)

    async def run(self) -> None:
        """Applies the present contact repeatedly, until cancelled."""
        self._checked_at = self._clock.now()
        while True:
            self.check()
            await self._clock.sleep(_INTERVAL_S)

    async def hand_over(self) -> None:
        """Does nothing, since this role has nothing to hand over."""

    async def read_newest(self) -> None:
        """Reads the newest plan, or notes that it is out of reach."""
        asked_at = self._clock.now()
        async with self._reading:
            if self._answered_at >= asked_at or self._store_lost_at is not None:
                return
            await self._clock.sleep(_GATHER_S)
            sent_at = self._clock.now()
            if await self._plans.read_newer(self._store):
                self._answered_at = self._checked_at = sent_at
                # What came during a pause is known now.
                self._read_at = -math.inf
            else:
                self._unanswered_at = sent_at
            self.check()

    def check(self) -> None:
        """Applies the present contact."""
        contact = self._members.contact
        paused = self._was_paused()
        outdated = self._may_be_outdated(contact) or paused
        self._streams.apply_contact(contact, may_be_outdated=outdated)

    def _note_confirmed(self, age_s: float) -> None:
        sent_at = self._clock.now() - age_s
        if self._unanswered_at is not None and sent_at > self._unanswered_at:
            self._unanswered_at = None
        self.check()

    def _was_paused(self) -> bool:
        """Returns whether this daemon may still have to read newer plans."""
        now = self._clock.now()
        if now - self._checked_at > _INTERVAL_S + _PAUSE_S:
            self._read_at = now + _READ_S
        self._checked_at = now
        return now < self._read_at

    def _may_be_outdated(self, contact: membership_api.Contact) -> bool:
        """Returns whether other daemons may have a newer plan.

        While the store is lost for all daemons, nobody writes a new plan. Only
        after the time of detection is it certain that all are heard.
        """
        now = self._clock.now()
        reached = not self._entries.failing and not self._plans.failing
        if reached and self._unanswered_at is None:
            lost = self._store_lost_at is not None
            self._store_lost_at = None
            return lost and self._replace_watch(now)
        if self._store_lost_at is None:
            self._store_lost_at = now
        self._watched = not self._plans.failing
        all_heard = contact.unheard_since is None
        return not all_heard or now - self._store_lost_at < contact.detection_s

    def _replace_watch(self, now: float) -> bool:
        """Calls for the plan again if its watch may be lost; returns whether.

        A watch that waited while the store was not reached may be answered
        never, or long after the next plan.
        """
        recently = now - self._called_at < _MIN_CALL_INTERVAL_S
        if not self._watched or recently:
            return False
        self._called_at = now
        self._plans.call_again()
        return True
