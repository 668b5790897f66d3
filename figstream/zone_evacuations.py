"""Zones whose backend servers must get nothing until they are taken back.

The operator names such a zone by an object in the platform's store, whose
answer to the operator starts the time within which every daemon must have
stopped. The daemons follow the objects through the relays of their zone. The
server directory then treats the servers of the zone as draining, so that no
request, retry, resumed stream, copy, probe or tunnel leads there; requests that
run there end there. Answers the load in which the operator needs a whole zone
empty within seconds while the other zones carry its load.

An evacuation holds while the store is silent. A daemon that starts knows no
servers until it knows the evacuations, from the store or from a peer. A restore
of the store from an older copy may lose an evacuation that was acknowledged:
daemons that knew it hold on to it for a while.
"""

from collections.abc import Callable
from typing import Final

from figstream import clock as clock_lib
from figstream import daemon_context
from figstream import feed_relay
from figstream import logs
from figstream import membership_api
from figstream import metrics as metrics_lib
from figstream import object_follower
from figstream import object_transfer
from figstream import platform_api
from figstream import store_era

# Part of the time allowed within which daemons hear of an evacuation. The rest
# is for requests that are under way to a server.
_HEARD_FRACTION: Final = 0.8
# Time for which an evacuation that a restore has lost is kept. The operator
# sees that the store lacks it and writes it again within that time.
LOST_HOLD_S: Final = 60.0
_CHECK_INTERVAL_S: Final = 0.1

Apply = Callable[[frozenset[str]], None]


class ZoneEvacuations:
    """Follows the emptied zones; a `daemon_context.Role`."""

    def __init__(
        self,
        follower: object_follower.ObjectFollower,
        apply: Apply,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
    ) -> None:
        """Subscribes to the evacuations.

        Args:
          follower: follows the objects that name emptied zones.
          apply: receives the emptied zones when they are known first and
            whenever they change.
          clock: time source.
          metrics: instruments.
        """
        self._follower = follower
        self._apply = apply
        self._clock = clock
        self._metrics = metrics
        self._known = False
        self._stored: frozenset[str] = frozenset()
        # Times until which evacuations are kept that a restore has lost.
        self._lost: dict[str, float] = {}
        self._since: dict[str, float] = {}
        self._era = 0
        follower.subscribe(self._apply_items)
        follower.subscribe_confirmed(self._confirm)

    @property
    def zones(self) -> frozenset[str]:
        """Returns the emptied zones."""
        return frozenset(self._since)

    async def run(self) -> None:
        """Ends what is kept after a restore in time, until cancelled."""
        while True:
            await self._clock.sleep(_CHECK_INTERVAL_S)
            self.step()

    def step(self) -> None:
        """Applies what time and peers have changed."""
        # What a peer has may differ in nothing but the position.
        if self._follower.position:
            self._confirm(0.0)
        if self._lost:
            self._update()

    async def hand_over(self) -> None:
        """Does nothing, since there is no state to transfer."""

    def _confirm(self, age_s: float) -> None:
        self._era = store_era.era_of(self._follower.position)
        if not self._known:
            self._update()

    def _apply_items(self, items: object_follower.Items) -> None:
        # An object without readable content names its zone all the same.
        stored = frozenset(items)
        now = self._clock.now()
        era = store_era.era_of(self._follower.position)
        if self._era and era != self._era:
            for zone in self._stored - stored:
                self._lost[zone] = now + LOST_HOLD_S
                self._metrics.event("evacuation_lost")
                logs.warning(
                    "evacuation_lost", zone=zone, era=era, kept_s=LOST_HOLD_S
                )
        self._era = era
        for zone in self._lost.keys() & stored:
            # Written again, so that its removal will be seen.
            del self._lost[zone]
        self._stored = stored
        self._update()

    def _update(self) -> None:
        """Applies the emptied zones if they changed."""
        now = self._clock.now()
        self._lost = {
            zone: until for zone, until in self._lost.items() if until > now
        }
        zones = self._stored | self._lost.keys()
        first, self._known = not self._known, True
        if not first and zones == self._since.keys():
            return
        for zone in zones - self._since.keys():
            self._since[zone] = now
            self._metrics.event("zone_emptied")
            logs.info(
                "zone_emptied", zone=zone, position=self._follower.position
            )
        for zone in self._since.keys() - zones:
            lasted_s = now - self._since.pop(zone)
            self._metrics.event("zone_taken_back")
            logs.info(
                "zone_taken_back",
                zone=zone,
                position=self._follower.position,
                lasted_s=round(lasted_s, 3),
            )
        self._apply(zones)


def make_evacuation_follower(
    context: daemon_context.DaemonContext,
    store: platform_api.ObjectFeed,
    kind: str,
    members: membership_api.Members,
    evacuate_s: float,
    transfer: object_transfer.ObjectTransfer,
    lead: object_follower.ObjectFollower,
) -> object_follower.ObjectFollower:
    """Creates the follower of the objects that name emptied zones.

    Args:
      context: objects shared by the roles of the daemon.
      store: feed of the platform's store.
      kind: kind of the objects in the store.
      members: the live daemons.
      evacuate_s: seconds within which nothing more may reach a server of an
        emptied zone.
      transfer: receives what relays send.
      lead: follower that shows when the store answers again after an outage.
    """
    heard_s = _HEARD_FRACTION * evacuate_s
    feed = feed_relay.make_relayed_feed(
        context, store, members, heard_s, transfer
    )
    return object_follower.ObjectFollower(
        kind, feed, context.clock, context.metrics, heard_s, lead
    )
