"""Publishes and aggregates the demand of a zone by model.

Each daemon publishes its numbers of running and waiting requests as a notice
within the zone, when they have changed considerably or at the refresh
interval. The daemon that orders backend servers for the zone sums up the
notices that it has received and passes the total to `capacity_policy`.
"""

import collections
from collections.abc import Iterable
from typing import Final

import attrs
from google.protobuf import message as protobuf_message

from figstream import clock as clock_lib
from figstream import notices as notices_lib
from figstream import scheduler_api
from figstream.rpc import demand_pb2

NOTICE_KIND: Final = "demand"
# Two refresh intervals.
_TTL_S: Final = 90.0
# Interval between notices while the demand is unchanged.
_REFRESH_S: Final = 45.0
# Bounds the rate of notices while the demand changes.
_MIN_INTERVAL_S: Final = 10.0
_POLL_S: Final = 2.0
# Relative change of demand that triggers a notice before the next refresh.
_MIN_CHANGE_RATIO: Final = 0.25
# Smallest change, in requests, that triggers such a notice.
_MIN_CHANGE_REQUESTS: Final = 4
# Number of items that fit into one notice.
_MAX_ITEMS: Final = 24
# Bounds the number of daemons whose demand is stored.
_MAX_DAEMONS: Final = 512


@attrs.frozen
class DemandKey:
    """Key by which demand is summed up.

    Attributes:
      model: name of the model.
      tier: tier of the request class.
      preemptible: whether reclaimable servers may run the requests.
    """

    model: str
    tier: int
    preemptible: bool


Demand = collections.Counter[DemandKey]


@attrs.frozen
class _ReceivedDemand:
    """Latest demand received from one daemon."""

    demand: Demand
    expires_at: float


def sum_demand(items: Iterable[scheduler_api.ClassDemand]) -> Demand:
    """Returns the summed demand reported by one daemon's scheduler."""
    summed: Demand = collections.Counter()
    for item in items:
        name = item.request_class
        key = DemandKey(item.model, name.tier, name.preemptible)
        summed[key] += item.running + item.waiting
    return summed


def encode(daemon: str, demand: Demand) -> bytes:
    """Encodes one daemon's demand; only the largest items are included."""
    largest = demand.most_common(_MAX_ITEMS)
    message = demand_pb2.DaemonDemand(
        daemon=daemon,
        demands=[
            demand_pb2.Demand(
                model=key.model,
                tier=key.tier,
                preemptible=key.preemptible,
                requests=count,
            )
            for key, count in largest
        ],
    )
    return message.SerializeToString()


class ZoneDemand:
    """Demand of a zone, as received from its daemons."""

    def __init__(self, clock: clock_lib.Clock) -> None:
        """Initializes the object without any demand."""
        self._clock = clock
        self._received: dict[str, _ReceivedDemand] = {}

    @property
    def total(self) -> Demand:
        """Returns the sum of all demand that has not expired."""
        now = self._clock.now()
        summed: Demand = collections.Counter()
        for item in self._received.values():
            if item.expires_at > now:
                summed.update(item.demand)
        return summed

    def receive(self, payload: bytes, left_s: float) -> None:
        """Stores the demand from a notice; ignores an undecodable payload.

        Args:
          payload: the notice's payload.
          left_s: seconds until the demand expires.
        """
        try:
            message = demand_pb2.DaemonDemand.FromString(payload)
        except protobuf_message.DecodeError:
            return
        summed: Demand = collections.Counter()
        for item in message.demands:
            key = DemandKey(item.model, item.tier, item.preemptible)
            summed[key] += item.requests
        self.put(message.daemon, summed, left_s)

    def put(self, daemon: str, demand: Demand, left_s: float = _TTL_S) -> None:
        """Stores the demand of a daemon, unless it knows a later one."""
        now = self._clock.now()
        self._received = {
            name: item
            for name, item in self._received.items()
            if item.expires_at > now
        }
        known = self._received.get(daemon)
        expires_at = now + left_s
        if known and known.expires_at > expires_at:
            return
        if known or len(self._received) < _MAX_DAEMONS:
            self._received[daemon] = _ReceivedDemand(demand, expires_at)


class DemandPublisher:
    """Publishes the demand of this daemon to its zone; satisfies `Role`."""

    def __init__(
        self,
        daemon: str,
        scheduler: scheduler_api.Scheduler,
        notices: notices_lib.Notices,
        zone_demand: ZoneDemand,
        clock: clock_lib.Clock,
    ) -> None:
        """Initializes the publisher and subscribes `zone_demand`.

        Args:
          daemon: name of this daemon.
          scheduler: source of the demand.
          notices: channel within the zone.
          zone_demand: demand of the zone, which also includes the demand of
            this daemon.
          clock: source of the time.
        """
        self._daemon = daemon
        self._scheduler = scheduler
        self._notices = notices
        self._zone_demand = zone_demand
        self._clock = clock
        self._published: Demand = collections.Counter()
        self._published_at = float("-inf")
        notices.subscribe_lasting(NOTICE_KIND, zone_demand.receive)

    async def run(self) -> None:
        """Polls the scheduler until cancelled."""
        while True:
            self.publish_if_due()
            await self._clock.sleep(_POLL_S)

    async def hand_over(self) -> None:
        """Does nothing; the published demand expires."""

    def publish_if_due(self) -> None:
        """Stores the current demand and publishes it if a notice is due."""
        demand = sum_demand(self._scheduler.demand())
        self._zone_demand.put(self._daemon, demand)
        age_s = self._clock.now() - self._published_at
        nonempty = demand or self._published
        due = age_s >= _REFRESH_S and nonempty
        changed = age_s >= _MIN_INTERVAL_S and _differs(demand, self._published)
        if not (due or changed):
            return
        payload = encode(self._daemon, demand)
        if self._notices.publish(
            NOTICE_KIND, payload, _TTL_S, within_zone=True
        ):
            self._published = demand
            self._published_at = self._clock.now()


def _differs(new: Demand, old: Demand) -> bool:
    changed = sum(abs(new[key] - old[key]) for key in {*new, *old})
    return changed >= max(_MIN_CHANGE_REQUESTS, _MIN_CHANGE_RATIO * old.total())
