"""The demand of a zone: what its daemons' requests ask for, by model.

Each daemon sends what runs and waits with it as a notice within the zone,
when it has changed much or has not been sent for long. Whoever orders backend
servers adds up what it has heard.
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
# Seconds; two refreshes.
_TTL_S: Final = 90.0
# Seconds between notices of an unchanged demand.
_REFRESH_S: Final = 45.0
# Seconds between notices; bounds their rate.
_SHORTEST_S: Final = 10.0
# Seconds between looks at the demand.
_LOOK_S: Final = 2.0
# Part by which demand must change to be told.
_CHANGE: Final = 0.25
# Requests below which a change is not told.
_SMALL: Final = 4
# Items that fit into one notice.
_MAX_ITEMS: Final = 24
# Daemons of a zone whose demand is kept.
_MAX_DAEMONS: Final = 512


@attrs.frozen
class DemandKey:
    """What demand is added up by.

    Attributes:
      model: the model.
      tier: tier of the class.
      preemptible: whether reclaimable servers may carry it.
    """

    model: str
    tier: int
    preemptible: bool


Demand = collections.Counter[DemandKey]


@attrs.frozen
class _Heard:
    """What one daemon said last."""

    demand: Demand
    expires_at: float


def add_up(items: Iterable[scheduler_api.ClassDemand]) -> Demand:
    """Returns the demand that one daemon's scheduler reports."""
    found: Demand = collections.Counter()
    for item in items:
        name = item.request_class
        key = DemandKey(item.model, name.tier, name.preemptible)
        found[key] += item.running + item.waiting
    return found


def encode(daemon: str, demand: Demand) -> bytes:
    """Encodes one daemon's demand, the largest parts first."""
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
    """The demand of a zone, as heard from its daemons."""

    def __init__(self, clock: clock_lib.Clock) -> None:
        """Starts with none."""
        self._clock = clock
        self._heard: dict[str, _Heard] = {}

    @property
    def total(self) -> Demand:
        """Returns the demand of all daemons heard lately."""
        now = self._clock.now()
        found: Demand = collections.Counter()
        for item in self._heard.values():
            if item.expires_at > now:
                found.update(item.demand)
        return found

    def hear(self, payload: bytes) -> None:
        """Takes in a notice."""
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
        """Takes in what a daemon asks for."""
        now = self._clock.now()
        self._heard = {
            name: item
            for name, item in self._heard.items()
            if item.expires_at > now
        }
        if daemon in self._heard or len(self._heard) < _MAX_DAEMONS:
            self._heard[daemon] = _Heard(demand, now + _TTL_S)


class DemandPublisher:
    """Tells the zone what this daemon asks for; a `Role`."""

    def __init__(
        self,
        daemon: str,
        scheduler: scheduler_api.Scheduler,
        notices: notices_lib.Notices,
        board: DemandBoard,
        clock: clock_lib.Clock,
    ) -> None:
        """Also tells this daemon's own board."""
        self._daemon = daemon
        self._scheduler = scheduler
        self._notices = notices
        self._board = board
        self._clock = clock
        self._sent: Demand = collections.Counter()
        self._sent_at = float("-inf")
        notices.subscribe(KIND, board.hear)

    async def run(self) -> None:
        """Looks at the scheduler until cancelled."""
        while True:
            self.look()
            await self._clock.sleep(_LOOK_S)

    async def hand_over(self) -> None:
        """Does nothing; what was said expires."""

    def look(self) -> None:
        """Sends the demand if it is time to."""
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
