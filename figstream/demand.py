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

KIND: Final = "demand"
# Two refresh intervals.
_TTL_S: Final = 90.0
# Interval between notices while the demand is unchanged.
_REFRESH_S: Final = 45.0
# Bounds the rate of notices while the demand changes.
_SHORTEST_S: Final = 10.0
_LOOK_S: Final = 2.0
# Relative change of demand that triggers a notice before the next refresh.
_CHANGE: Final = 0.25
# Smallest change, in requests, that triggers such a notice.
_SMALL: Final = 4
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
class _Heard:
    """Latest demand received from one daemon."""

    demand: Demand
    expires_at: float


def add_up(items: Iterable[scheduler_api.ClassDemand]) -> Demand:
    """Returns the summed demand reported by one daemon's scheduler."""
    found: Demand = collections.Counter()
    for item in items:
        name = item.request_class
        key = DemandKey(item.model, name.tier, name.preemptible)
        found[key] += item.running + item.waiting
    return found


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


class DemandBoard:
    """Demand of a zone, as received from its daemons."""

    def __init__(self, clock: clock_lib.Clock) -> None:
        """Initializes a board without any demand."""
        self._clock = clock
        self._heard: dict[str, _Heard] = {}

    @property
    def total(self) -> Demand:
        """Returns the sum of all demand that has not expired."""
        now = self._clock.now()
        found: Demand = collections.Counter()
        for item in self._heard.values():
            if item.expires_at > now:
                found.update(item.demand)
        return found

    def hear(self, payload: bytes) -> None:
        """Stores the demand from a notice; ignores an undecodable payload."""
        try:
            message = demand_pb2.DaemonDemand.FromString(payload)
        except protobuf_message.DecodeError:
            return
        found: Demand = collections.Counter()
        for item in message.demands:
            key = DemandKey(item.model, item.tier, item.preemptible)
            found[key] += item.requests
        self.put(message.daemon, found)

    def put(self, daemon: str, demand: Demand) -> None:
        """Stores the demand of a daemon and removes expired entries."""
        now = self._clock.now()
        self._heard = {
            name: item
            for name, item in self._heard.items()
            if item.expires_at > now
        }
        if daemon in self._heard or len(self._heard) < _MAX_DAEMONS:
            self._heard[daemon] = _Heard(demand, now + _TTL_S)


class DemandPublisher:
    """Publishes the demand of this daemon to its zone; satisfies `Role`."""

    def __init__(
        self,
        daemon: str,
        scheduler: scheduler_api.Scheduler,
        notices: notices_lib.Notices,
        board: DemandBoard,
        clock: clock_lib.Clock,
    ) -> None:
        """Initializes the publisher and subscribes the board to notices.

        Args:
          daemon: name of this daemon.
          scheduler: source of the demand.
          notices: channel within the zone.
          board: board of this daemon, which also stores the daemon's own
            demand.
          clock: source of the time.
        """
        self._daemon = daemon
        self._scheduler = scheduler
        self._notices = notices
        self._board = board
        self._clock = clock
        self._sent: Demand = collections.Counter()
        self._sent_at = float("-inf")
        notices.subscribe(KIND, board.hear)

    async def run(self) -> None:
        """Polls the scheduler until cancelled."""
        while True:
            self.look()
            await self._clock.sleep(_LOOK_S)

    async def hand_over(self) -> None:
        """Does nothing; the published demand expires."""

    def look(self) -> None:
        """Stores the current demand and publishes it if a notice is due."""
        demand = add_up(self._scheduler.demand())
        self._board.put(self._daemon, demand)
        age_s = self._clock.now() - self._sent_at
        known = demand or self._sent
        due = age_s >= _REFRESH_S and known
        changed = age_s >= _SHORTEST_S and _differs(demand, self._sent)
        if not (due or changed):
            return
        payload = encode(self._daemon, demand)
        if self._notices.publish(KIND, payload, _TTL_S, within_zone=True):
            self._sent = demand
            self._sent_at = self._clock.now()


def _differs(new: Demand, old: Demand) -> bool:
    changed = sum(abs(new[key] - old[key]) for key in {*new, *old})
    return changed >= max(_SMALL, _CHANGE * old.total())
